"""Measure failures, latency and prefix reuse while a zone is taken out and back."""

import statistics
import time

from bench.deployments import LoadGenerator, make_deployment
from bench.report import Report
from standins.deployment import GLOBOS, WASGOED, Deployment, Shape

PHASE_S = 4.0
LOADS = {"ordinary": 3, "near full": 8}
NEW_WORK_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 2.0
POLL_INTERVAL_S = 0.05


def run(seed: int) -> Report:
    """Measure both sample deployments at two loads."""
    report = Report("zone", "service and reuse while a zone leaves and returns")
    for name, shape, pool in (("wasgoed", WASGOED, "till"), ("globos", GLOBOS, "assistant")):
        for label, mean in LOADS.items():
            options = {"engine_options": ["--token-ms", "12"], "slots": 12}
            with make_deployment(shape, **options) as deployment:
                measure(report, deployment, f"{name}, {label}", shape, pool, mean, seed)
    return report


def measure(
    report: Report,
    deployment: Deployment,
    label: str,
    shape: Shape,
    pool: str,
    mean: int,
    seed: int,
) -> None:
    """Take a zone out and back under load, and add the figures."""
    engines = [name for name in deployment.processes if name.startswith(f"{pool}-")]
    leaving = [engines[n] for n in range(len(engines)) if n % shape.zones == 1]
    load = LoadGenerator(
        deployment, mean * len(engines), tokens=40, model=f"{pool}-model", seed=seed
    )
    load.start()
    time.sleep(PHASE_S)
    phase_ends = [time.monotonic()]
    prefix_counts_at_ends = [prefix_counts(deployment, engines)]
    began = time.monotonic()
    response = deployment.patch({"zones": {"zone-2": {"state": "out"}}})
    accepted = time.monotonic()
    in_force = wait_in_force(deployment, response.json()["version"]) - accepted
    last_new = last_new_work(deployment, leaving, accepted)
    time.sleep(max(0.0, PHASE_S - (time.monotonic() - began)))
    phase_ends.append(time.monotonic())
    prefix_counts_at_ends.append(prefix_counts(deployment, engines))
    deployment.patch({"zones": {"zone-2": {"state": "in"}}})
    time.sleep(PHASE_S)
    phase_ends.append(time.monotonic())
    prefix_counts_at_ends.append(prefix_counts(deployment, engines))
    load.stop()
    report.at_most(f"{label}: patch in force at 6 routers", in_force, IN_FORCE_LIMIT_S, "s")
    report.at_most(f"{label}: last new work in the zone", last_new, NEW_WORK_LIMIT_S, "s")
    failed = [item for item in load.results if not item.complete]
    codes = sorted({item.code for item in failed})
    report.at_most(
        f"{label}: failed of {len(load.results)} chats", len(failed), 0, "", baseline=str(codes)
    )
    add_phases(report, label, load, phase_ends, prefix_counts_at_ends)
    breaches = [item["breaches"] for item in deployment.status()["routers"].values()]
    report.at_most(f"{label}: breaches", sum(sum(item.values()) for item in breaches), 0)


def add_phases(
    report: Report,
    label: str,
    load: LoadGenerator,
    phase_ends: list[float],
    prefix_counts_at_ends: list,
) -> None:
    """Add first-token latency and reuse before, during and after the zone was out."""
    names = ("before", "out", "back")
    for index, name in enumerate(names):
        start = phase_ends[index - 1] if index else 0
        firsts = [
            item.first_token_ms
            for item in load.results
            if start <= item.started_at < phase_ends[index]
        ]
        if len(firsts) > 20:
            p95 = statistics.quantiles(firsts, n=20)[-1]
            report.at_most(f"{label}: first token p95, {name}", p95, 830, "ms")
        if index:
            gained = prefix_counts_at_ends[index][0] - prefix_counts_at_ends[index - 1][0]
            asked = gained + prefix_counts_at_ends[index][1] - prefix_counts_at_ends[index - 1][1]
            report.add(f"{label}: prefixes found, {name}", gained / max(1, asked), "share")


def prefix_counts(deployment: Deployment, engines: list[str]) -> tuple[int, int]:
    """Return how many prefixes the engines have found in their caches, and missed."""
    states = [deployment.control(name) for name in engines]
    return sum(item["hits"] for item in states), sum(item["misses"] for item in states)


def wait_in_force(deployment: Deployment, version: int) -> float:
    """Return when every router had the version and was fresh."""
    deployment.wait_until(
        lambda: all(
            item and item["version"] >= version and item["fresh"]
            for item in deployment.status()["routers"].values()
        ),
        "the patch to be in force",
    )
    return time.monotonic()


def last_new_work(deployment: Deployment, leaving: list[str], accepted: float) -> float:
    """Return the seconds from the acceptance to the last request at an engine of the zone."""
    last = 0.0
    seen = request_count(deployment, leaving)
    while time.monotonic() - accepted < NEW_WORK_LIMIT_S + 0.5:
        now = request_count(deployment, leaving)
        if now != seen:
            seen, last = now, time.monotonic() - accepted
        time.sleep(POLL_INTERVAL_S)
    return last


def request_count(deployment: Deployment, engines: list[str]) -> int:
    """Return how many requests the engines have received."""
    return sum(sum(prefix_counts(deployment, [name])) for name in engines)
