"""The demo: a whole deployment on the loopback address, with a report at the end.

It starts the Wasgoed deployment, streams returning chats, redeems tokens twice each,
takes a zone out and back, kills a router, and exits with 0 only if every promise that
it watched held.
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
TOKENS = 24
CHATS = 60
REDEMPTIONS = 20
PHASE_S = 3.0
ZONE = "zone-2"
BAR_WIDTH = 40
NO_NEW_WORK_S = 3.0
LATE_TEXT = "no new work in a zone three seconds after it was taken out"


@dataclass
class Watched:
    """The promises that the demo watches, and what it saw."""

    promises: dict[str, bool] = field(default_factory=dict)
    chats: Counter = field(default_factory=Counter)
    first_ms: list[float] = field(default_factory=list)

    def check(self, promise: str, holds: bool) -> None:
        """Note whether a promise held; once broken it stays broken."""
        self.promises[promise] = self.promises.get(promise, True) and holds


class Callers:
    """Callers whose chats return, through any running router."""

    def __init__(self, deployment: Deployment, watched: Watched):
        self._deployment = deployment
        self._watched = watched
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(CALLERS)
        self.avoid: set[str] = set()

    def start(self) -> None:
        """Start all callers."""
        for number in range(CALLERS):
            self._pool.submit(self._run, random.Random(number))

    def stop(self) -> None:
        """Let the last chats end."""
        self._stop.set()
        self._pool.shutdown()

    def _run(self, rng: random.Random) -> None:
        """Send one chat after another."""
        with httpx.Client(timeout=30, trust_env=False) as client:
            while not self._stop.is_set():
                self._chat(client, rng)

    def _chat(self, client: httpx.Client, rng: random.Random) -> None:
        """Stream one chat and compare its answer with what it must be."""
        routers = [item for item in self._deployment.routers() if item.name not in self.avoid]
        router = rng.choice(routers)
        chat = int(CHATS * rng.random() ** 2)
        prompt = f"chat {chat}: how many washes were sold? " + "history " * 60
        body = {
            "model": "till-model",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": prompt}],
            "user": f"chat-{chat}",
        }
        headers = {
            "Skylarklift-Workspace": rng.choice(WASGOED.workspaces),
            "Skylarklift-Chat": f"chat-{chat}",
        }
        began = time.monotonic()
        first_ms, text = 0.0, b""
        try:
            url = f"{router.url}/v1/chat/completions"
            with client.stream("POST", url, json=body, headers=headers) as answer:
                for data in answer.iter_raw():
                    first_ms = first_ms or (time.monotonic() - began) * 1000
                    text += data
        except httpx.HTTPError as exc:
            # A caller of a router that is killed loses its connection.
            lost = router.name in self.avoid
            self._watched.chats["connection lost with its router" if lost else repr(exc)] += 1
            self._watched.check("every other caller gets its whole answer", lost)
            return
        whole = streamed_content(text) == response_text(prompt, TOKENS)
        self._watched.chats["whole" if whole else "not whole"] += 1
        self._watched.first_ms.append(first_ms)
        self._watched.check("every other caller gets its whole answer", whole)


def streamed_content(text: bytes) -> str:
    """Return the content of a streamed answer that ended as it should, else nothing."""
    lines = text.decode().splitlines()
    events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    if not lines or "data: [DONE]" not in lines[-2:]:
        return ""
    return "".join(item["choices"][0]["delta"].get("content", "") for item in events)


def redeem_tokens(deployment: Deployment, watched: Watched) -> None:
    """Redeem each token through one router and again through another."""
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
            answer = httpx.post(url, headers=headers, timeout=20, trust_env=False)
            watched.check("each redemption is answered", answer.status_code == 200)
    effects = deployment.control("redeem")["effects"]
    once = all(effects.get(f"token-{number}") == 1 for number in range(REDEMPTIONS))
    watched.check("each token is redeemed exactly once", once)


def run_tool(deployment: Deployment, *arguments: str) -> None:
    """Run the command-line tool as an operator does and show what it says."""
    url = str(deployment.operator().base_url)
    environment = {**os.environ, "SKYLARKLIFT_URL": url, "SKYLARKLIFT_TOKEN": OPERATOR_TOKEN}
    print(f"\n$ skylarklift {' '.join(arguments)}", flush=True)
    command = [sys.executable, "-m", "skylarklift.ui.main", *arguments]
    subprocess.run(command, cwd=ROOT, env=environment, check=False)


def zone_requests(deployment: Deployment) -> int:
    """Return how many requests the engines of the zone got so far."""
    names = [
        n
        for n, item in deployment.routing["pools"]["till"]["replicas"].items()
        if item["zone"] == ZONE
    ]
    states = [deployment.control(name) for name in names]
    return sum(item["hits"] + item["misses"] for item in states)


def take_zone_out_and_in(deployment: Deployment, watched: Watched) -> None:
    """Take the zone out, see that it gets no new work, take it in again."""
    run_tool(deployment, "zone", "out", ZONE, "--wait")
    time.sleep(NO_NEW_WORK_S)
    before = zone_requests(deployment)
    time.sleep(PHASE_S)
    watched.check(LATE_TEXT, zone_requests(deployment) == before)
    run_tool(deployment, "status")
    run_tool(deployment, "zone", "in", ZONE, "--wait")
    time.sleep(PHASE_S)
    watched.check("a zone that was taken in gets work again", zone_requests(deployment) > before)


def kill_router(deployment: Deployment, callers: Callers) -> None:
    """Kill the router that admits for the pool."""
    status = deployment.status()["routers"]
    name = next(item["router"] for item in status.values() if item and item["pools"])
    print(f"\nkilling {name}, which admits for the pool")
    callers.avoid.add(name)
    deployment.processes[name].signal(signal.SIGKILL)
    time.sleep(PHASE_S)


def print_trace(path) -> None:
    """Print one trace as a tree, a line for each hop."""
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
    """Print a span and those below it."""
    took_ms = (span["end_ns"] - span["start_ns"]) / 1e6
    print(f"{'  ' * depth}{span['name']:<{24 - 2 * depth}} {span['router']:<10} {took_ms:8.2f} ms")
    for child in sorted(spans, key=lambda item: item["start_ns"]):
        if child["parent"] == span["span"]:
            print_span(child, spans, depth + 1)


def print_report(deployment: Deployment, watched: Watched, began: float) -> None:
    """Print what happened."""
    print("\nrequests by replica:")
    states = {n: deployment.control(n) for n in deployment.processes if n.startswith("till-")}
    totals = {name: item["hits"] + item["misses"] for name, item in states.items()}
    largest = max(totals.values())
    for name, total in totals.items():
        zone = deployment.routing["pools"]["till"]["replicas"][name]["zone"]
        bar = "#" * round(BAR_WIDTH * total / max(1, largest))
        share = states[name]["hits"] / max(1, total)
        print(f"  {name} {zone} {bar:<{BAR_WIDTH}} {total:>5}, prefix found {share:.0%}")
    firsts = sorted(watched.first_ms)
    print(f"\nchats: {dict(watched.chats)}")
    p95 = firsts[int(len(firsts) * 0.95)]
    print(f"first token: median {firsts[len(firsts) // 2]:.0f} ms, p95 {p95:.0f} ms")
    print("\npromises watched:")
    for promise, held in watched.promises.items():
        print(f"  {'held  ' if held else 'BROKEN'}  {promise}")
    print(f"\ntook {time.monotonic() - began:.0f} s")


def main() -> int:
    """Run the demo; return its exit code."""
    began = time.monotonic()
    watched = Watched()
    deployment = Deployment(WASGOED, engine_options=["--token-ms", "6"], slots=16)
    trace_file = deployment.folder / "spans.jsonl"
    deployment.settings = {
        "telemetry": {"trace_file": str(trace_file)},
        "shutdown": {"health_wait_ms": 50, "drain_limit_ms": 2000},
    }
    print("starting the platform, 6 engines, 2 plain services and 6 routers")
    with deployment:
        callers = Callers(deployment, watched)
        callers.start()
        time.sleep(PHASE_S)
        print(f"redeeming {REDEMPTIONS} tokens, each sent twice through different routers")
        redeem_tokens(deployment, watched)
        take_zone_out_and_in(deployment, watched)
        kill_router(deployment, callers)
        callers.stop()
        routers = [item for item in deployment.status()["routers"].values() if item]
        breaches = sum(sum(item["breaches"].values()) for item in routers)
        watched.check("no invariant was broken in any router", breaches == 0)
        same = len({item["digest"] for item in routers}) == 1
        watched.check("every router acts on the same configuration", same)
        print_trace(trace_file)
        print_report(deployment, watched, began)
    return 0 if watched.promises and all(watched.promises.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
