"""Measure the first-token latency and the chunks per CPU second that a router costs.

The baseline ("bare") is the engine stand-in without a router.  The same load goes to
it directly and through a router in one run; the CPU time of each server process is
counted separately.
"""

import time
from concurrent.futures import ThreadPoolExecutor

import httpx

from bench.deployments import cpu_seconds, histogram, make_deployment
from bench.report import Report
from standins.deployment import Deployment, Shape

LATENCY_REQUESTS = 200
STREAMS = 8
ROUNDS = 4
TOKENS = 400
MICROS_PER_S = 1e6
LOADS = {"ordinary": 4, "near full": 16}


def run(seed: int) -> Report:
    """Measure latency, then throughput at two loads."""
    report = Report("path", "a router against the bare stack")
    shape = Shape(1, {"till": 1}, ("redeem",), 1)
    options = ["--token-ms", "0"]
    with make_deployment(shape, engine_options=options, slots=64) as deployment:
        engine = deployment.processes["till-1"]
        router = deployment.processes["router-1"]
        deployment.control("till-1", batch_cost=0.0)
        send_all(router.url, 8, 4, 4)
        bare = first_byte_times(engine.url)
        routed = first_byte_times(router.url)
        report.add("first token p50, bare", bare.get_value_at_percentile(50) / 1000, "ms")
        report.add("first token p95, bare", bare.get_value_at_percentile(95) / 1000, "ms")
        report.add(
            "first token p95, through a router", routed.get_value_at_percentile(95) / 1000, "ms"
        )
        ratio = routed.get_value_at_percentile(50) / bare.get_value_at_percentile(50)
        report.at_most("first token p50 over bare", ratio, 1.3, "x")
        for label, streams in LOADS.items():
            measure_chunks(report, deployment, label, streams)
    return report


def first_byte_times(url: str):
    """Return a histogram of the time to the first byte of sequential requests."""
    found = histogram()
    with httpx.Client(timeout=30, trust_env=False) as client:
        for number in range(LATENCY_REQUESTS):
            found.record_value(int(stream_once(client, url, number, 1)[0] * MICROS_PER_S))
    return found


def stream_once(client: httpx.Client, url: str, number: int, tokens: int) -> tuple[float, int]:
    """Stream one chat; return the seconds to its first byte and its number of events."""
    body = {
        "model": "till-model",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hello"}],
    }
    headers = {"Skylarklift-Workspace": "wash-a", "Skylarklift-Chat": f"c{number}"}
    began = time.monotonic()
    first_byte_s, events = 0.0, 0
    with client.stream(
        "POST", f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        for data in response.iter_raw():
            first_byte_s = first_byte_s or time.monotonic() - began
            events += data.count(b"\n\n")
    if events != tokens + 2:
        raise RuntimeError(f"got {events} events instead of {tokens + 2}")
    return first_byte_s, events


def send_all(url: str, streams: int, rounds: int, tokens: int) -> int:
    """Stream chats in `streams` parallel threads; return the total number of events."""

    def run_caller(number: int) -> int:
        with httpx.Client(timeout=60, trust_env=False) as client:
            return sum(stream_once(client, url, number, tokens)[1] for _ in range(rounds))

    with ThreadPoolExecutor(streams) as pool:
        return sum(pool.map(run_caller, range(streams)))


def measure_chunks(report: Report, deployment: Deployment, label: str, streams: int) -> None:
    """Add the chunks per CPU second of the engine alone and of the router."""
    engine = deployment.processes["till-1"]
    router = deployment.processes["router-1"]
    bare = chunks_per_core_second(engine.url, engine.process.pid, streams)
    routed = chunks_per_core_second(router.url, router.process.pid, streams)
    report.add(f"chunks a second a core, bare, {label}", bare, "1/s")
    report.add(f"chunks a second a core, router, {label}", routed, "1/s")
    report.at_least(f"router over bare, {label}", routed / bare, 0.5, "x")


def chunks_per_core_second(url: str, pid: int, streams: int) -> float:
    """Return the events per CPU second of one server process."""
    before = cpu_seconds(pid)
    events = send_all(url, streams, ROUNDS, TOKENS)
    return events / (cpu_seconds(pid) - before)
