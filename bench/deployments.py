"""Helpers for benchmarks that run real processes: load, CPU time, memory, histograms."""

import os
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import httpx
from hdrh.histogram import HdrHistogram

from standins.deployment import Deployment, Shape

QUICK_SHUTDOWN = {"shutdown": {"health_wait_ms": 20, "drain_limit_ms": 2000}}
HISTOGRAM_LIMIT_MS = 120_000
MICROS_PER_MS = 1000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def make_deployment(shape: Shape, **options) -> Deployment:
    """Return a deployment whose routers shut down quickly."""
    return Deployment(shape, settings=QUICK_SHUTDOWN, **options)


def histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, HISTOGRAM_LIMIT_MS * MICROS_PER_MS, 3)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


@dataclass
class RequestResult:
    """The outcome of one request as its caller saw it; `status` is 0 on a transport error."""

    started_at: float
    status: int
    first_token_ms: float
    code: str = ""
    complete: bool = False


@dataclass
class LoadGenerator:
    """Threads that send returning chats, with `in_flight` requests at a time."""

    deployment: Deployment
    in_flight: int
    tokens: int = 40
    model: str = "till-model"
    chats: int = 400
    seed: int = 1
    workspaces: tuple[str, ...] = ()
    think_ms: float = 0
    results: list[RequestResult] = field(default_factory=list)

    def __post_init__(self):
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(self.in_flight)
        self._workspaces = self.workspaces or self.deployment.shape.workspaces

    def start(self) -> None:
        """Start one thread for each request in flight."""
        for number in range(self.in_flight):
            self._pool.submit(self._run_caller, number)

    def stop(self) -> None:
        """Stop the threads after their present requests."""
        self._stop.set()
        self._pool.shutdown()

    def _run_caller(self, number: int) -> None:
        """Send requests one after another until `stop`, with think time between them."""
        rng = random.Random(self.seed * 1000 + number)
        with httpx.Client(timeout=60, trust_env=False) as client:
            while not self._stop.is_set():
                self.results.append(self._send(client, rng))
                if self.think_ms:
                    time.sleep(rng.expovariate(1 / self.think_ms) / 1000)

    def _send(self, client: httpx.Client, rng: random.Random) -> RequestResult:
        """Send one chat through a random router and read the response to its end."""
        router = rng.choice(self.deployment.routers())
        # Squaring makes a few workspaces and chats much more frequent than the others.
        workspace = self._workspaces[int(len(self._workspaces) * rng.random() ** 2)]
        chat = int(self.chats * rng.random() ** 2)
        body = {
            "model": self.model,
            "stream": True,
            "max_tokens": max(1, int(rng.expovariate(1 / self.tokens))),
            "messages": [{"role": "user", "content": f"chat {chat} " + "x" * 400}],
            "user": f"chat-{chat}",
        }
        headers = {"Skylarklift-Workspace": workspace, "Skylarklift-Chat": f"chat-{chat}"}
        started_at = time.monotonic()
        first_token_ms, last, status = 0.0, b"", 0
        try:
            url = f"{router.url}/v1/chat/completions"
            with client.stream("POST", url, json=body, headers=headers) as response:
                status = response.status_code
                for data in response.iter_raw():
                    first_token_ms = first_token_ms or (time.monotonic() - started_at) * 1000
                    last = (last + data)[-600:]
        except httpx.HTTPError as exc:
            return RequestResult(started_at, 0, first_token_ms, type(exc).__name__)
        code = "" if status == 200 else httpx.Response(200, content=last).json()["error"]["code"]
        return RequestResult(
            started_at, status, first_token_ms, code, last.rstrip().endswith(b"data: [DONE]")
        )


def fleet_control_bytes(deployment: Deployment) -> dict[str, dict[str, int]]:
    """Return the control bytes of each router that answers, by message type."""
    routers = deployment.status()["routers"]
    return {name: item["control_bytes"] for name, item in routers.items() if item}
