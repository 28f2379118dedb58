"""Run a whole deployment on the loopback address and print a report.

The demo starts the Wasgoed deployment, streams chats that return, sends each token
redemption twice, takes a zone out of service and back, and kills a router.  It exits
with 0 only if every guarantee that it checked held.
"""

import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import httpx

from standins.deployment import OPERATOR_TOKEN, ROOT, WASGOED, Deployment
from standins.engine import response_text

CALLERS = 18
TOKENS_PER_CHAT = 24
CHATS = 60
REDEMPTIONS = 20
PHASE_S = 3.0
ZONE = "zone-2"
BAR_WIDTH = 40
NEW_WORK_LIMIT_S = 3.0
NO_NEW_WORK_GUARANTEE = "no new work in a zone three seconds after it was taken out"


@dataclass
class DemoResults:
    """The guarantees that the demo checked, and what its callers measured."""

    guarantees: dict[str, bool] = field(default_factory=dict)
    chats: Counter = field(default_factory=Counter)
    first_token_ms: list[float] = field(default_factory=list)

    def check(self, guarantee: str, holds: bool) -> None:
        """Record whether a guarantee held; it counts as broken once it did not."""
        self.guarantees[guarantee] = self.guarantees.get(guarantee, True) and holds


class Callers:
    """Threads that send returning chats through any running router."""

    def __init__(self, deployment: Deployment, results: DemoResults):
        self._deployment = deployment
        self._results = results
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(CALLERS)
        self.killed_routers: set[str] = set()

    def start(self) -> None:
        """Start one thread for each caller."""
        for number in range(CALLERS):
            self._pool.submit(self._run, random.Random(number))

    def stop(self) -> None:
        """Stop the callers after their present chats."""
        self._stop.set()
        self._pool.shutdown()

    def _run(self, rng: random.Random) -> None:
        """Send chats one after another until `stop`."""
        with httpx.Client(timeout=30, trust_env=False) as client:
            while not self._stop.is_set():
                self._chat(client, rng)

    def _chat(self, client: httpx.Client, rng: random.Random) -> None:
        """Stream one chat and compare its response with the expected text."""
        routers = [
            item for item in self._deployment.routers() if item.name not in self.killed_routers
        ]
        router = rng.choice(routers)
        chat = int(CHATS * rng.random() ** 2)
        prompt = f"chat {chat}: how many washes were sold? " + "history " * 60
        body = {
            "model": "till-model",
            "stream": True,
            "max_tokens": TOKENS_PER_CHAT,
            "messages": [{"role": "user", "content": prompt}],
            "user": f"chat-{chat}",
        }
        headers = {
            "Skylarklift-Workspace": rng.choice(WASGOED.workspaces),
            "Skylarklift-Chat": f"chat-{chat}",
        }
        began = time.monotonic()
        first_token_ms, text = 0.0, b""
        try:
            url = f"{router.url}/v1/chat/completions"
            with client.stream("POST", url, json=body, headers=headers) as response:
                for data in response.iter_raw():
                    first_token_ms = first_token_ms or (time.monotonic() - began) * 1000
                    text += data
        except httpx.HTTPError as exc:
            # Only callers of a killed router may lose their connection.
            lost = router.name in self.killed_routers
            self._results.chats["connection lost with its router" if lost else repr(exc)] += 1
            self._results.check("every caller of another router gets a complete response", lost)
            return
        complete = streamed_content(text) == response_text(prompt, TOKENS_PER_CHAT)
        self._results.chats["complete" if complete else "incomplete"] += 1
        self._results.first_token_ms.append(first_token_ms)
        self._results.check("every caller of another router gets a complete response", complete)


def streamed_content(text: bytes) -> str:
    """Return the content of a streamed response, or an empty string if it is incomplete."""
    lines = text.decode().splitlines()
    events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    if not lines or "data: [DONE]" not in lines[-2:]:
        return ""
    return "".join(item["choices"][0]["delta"].get("content", "") for item in events)


def redeem_tokens(deployment: Deployment, results: DemoResults) -> None:
    """Send each redemption through one router, then again through another."""
    routers = deployment.routers()
    for number in range(REDEMPTIONS):
        headers = {
            "Skylarklift-Workspace": WASGOED.workspaces[0],
            "Skylarklift-Non-Idempotent": "true",
            "Idempotency-Key": f"token-{number}",
        }
        for step in range(2):
            router = routers[(number + step) % len(routers)]
            url = f"{router.url}/services/redeem/tokens/{number}"
            response = httpx.post(url, headers=headers, timeout=20, trust_env=False)
            results.check("each redemption request succeeds", response.status_code == 200)
    effects = deployment.control("redeem")["effects"]
    once = all(effects.get(f"token-{number}") == 1 for number in range(REDEMPTIONS))
    results.check("each token is redeemed exactly once", once)


def run_tool(deployment: Deployment, *arguments: str) -> None:
    """Run the command-line tool as an operator does and show its output."""
    url = str(deployment.operator().base_url)
    environment = {**os.environ, "SKYLARKLIFT_URL": url, "SKYLARKLIFT_TOKEN": OPERATOR_TOKEN}
    print(f"\n$ skylarklift {' '.join(arguments)}", flush=True)
    command = [sys.executable, "-m", "skylarklift.ui.main", *arguments]
    subprocess.run(command, cwd=ROOT, env=environment, check=False)


def zone_requests(deployment: Deployment) -> int:
    """Return how many requests the engines of the zone have received."""
    names = [
        n
        for n, item in deployment.routing["pools"]["till"]["replicas"].items()
        if item["zone"] == ZONE
    ]
    states = [deployment.control(name) for name in names]
    return sum(item["hits"] + item["misses"] for item in states)


def take_zone_out_and_in(deployment: Deployment, results: DemoResults) -> None:
    """Take the zone out, check that it gets no new work, then take it in again."""
    run_tool(deployment, "zone", "out", ZONE, "--wait")
    time.sleep(NEW_WORK_LIMIT_S)
    before = zone_requests(deployment)
    time.sleep(PHASE_S)
    results.check(NO_NEW_WORK_GUARANTEE, zone_requests(deployment) == before)
    run_tool(deployment, "status")
    run_tool(deployment, "zone", "in", ZONE, "--wait")
    time.sleep(PHASE_S)
    results.check("a zone that was taken in gets work again", zone_requests(deployment) > before)


def kill_router(deployment: Deployment, callers: Callers) -> None:
    """Kill the router that hosts the admitter of the pool."""
    status = deployment.status()["routers"]
    name = next(item["router"] for item in status.values() if item and item["pools"])
    print(f"\nkilling {name}, which hosts the admitter of the pool")
    callers.killed_routers.add(name)
    deployment.processes[name].signal(signal.SIGKILL)
    time.sleep(PHASE_S)


def print_trace(path) -> None:
    """Print the trace that spans the most routers as a tree of spans."""
    spans = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
    traces: dict[str, list[dict]] = {}
    for span in spans:
        traces.setdefault(span["trace"], []).append(span)
    if not traces:
        return
    chosen = max(traces.values(), key=lambda items: len({item["router"] for item in items}))
    print("\none trace:")
    known = {item["span"] for item in chosen}
    for root in [item for item in chosen if item["parent"] not in known]:
        print_span(root, chosen, 1)


def print_span(span: dict, spans: list[dict], depth: int) -> None:
    """Print a span and its descendants."""
    took_ms = (span["end_ns"] - span["start_ns"]) / 1e6
    print(f"{'  ' * depth}{span['name']:<{24 - 2 * depth}} {span['router']:<10} {took_ms:8.2f} ms")
    for child in sorted(spans, key=lambda item: item["start_ns"]):
        if child["parent"] == span["span"]:
            print_span(child, spans, depth + 1)


def print_report(deployment: Deployment, results: DemoResults, began: float) -> None:
    """Print load by replica, chats, first-token latency and the guarantees checked."""
    print("\nrequests by replica:")
    states = {n: deployment.control(n) for n in deployment.processes if n.startswith("till-")}
    totals = {name: item["hits"] + item["misses"] for name, item in states.items()}
    largest = max(totals.values())
    for name, total in totals.items():
        zone = deployment.routing["pools"]["till"]["replicas"][name]["zone"]
        bar = "#" * round(BAR_WIDTH * total / max(1, largest))
        share = states[name]["hits"] / max(1, total)
        print(f"  {name} {zone} {bar:<{BAR_WIDTH}} {total:>5}, prefix found {share:.0%}")
    firsts = sorted(results.first_token_ms)
    print(f"\nchats: {dict(results.chats)}")
    p95 = firsts[int(len(firsts) * 0.95)]
    print(f"first token: median {firsts[len(firsts) // 2]:.0f} ms, p95 {p95:.0f} ms")
    print("\nguarantees checked:")
    for guarantee, held in results.guarantees.items():
        print(f"  {'held  ' if held else 'BROKEN'}  {guarantee}")
    print(f"\ntook {time.monotonic() - began:.0f} s")


def main() -> int:
    """Run the demo; return 0 if every guarantee held."""
    began = time.monotonic()
    results = DemoResults()
    deployment = Deployment(WASGOED, engine_options=["--token-ms", "6"], slots=16)
    trace_file = deployment.folder / "spans.jsonl"
    deployment.settings = {
        "telemetry": {"trace_file": str(trace_file)},
        "shutdown": {"health_wait_ms": 50, "drain_limit_ms": 2000},
    }
    print("starting the platform, 6 engines, 2 plain services and 6 routers")
    with deployment:
        callers = Callers(deployment, results)
        callers.start()
        time.sleep(PHASE_S)
        print(f"redeeming {REDEMPTIONS} tokens, each sent twice through different routers")
        redeem_tokens(deployment, results)
        take_zone_out_and_in(deployment, results)
        kill_router(deployment, callers)
        callers.stop()
        routers = [item for item in deployment.status()["routers"].values() if item]
        breaches = sum(sum(item["breaches"].values()) for item in routers)
        results.check("no router reports a violated invariant", breaches == 0)
        same = len({item["digest"] for item in routers}) == 1
        results.check("every router acts on the same configuration", same)
        print_trace(trace_file)
        print_report(deployment, results, began)
    return 0 if results.guarantees and all(results.guarantees.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
