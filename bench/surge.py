"""Measure how a surge of requests from one workspace affects the others."""

import statistics
import time
from collections import Counter

from bench.deployments import LoadGenerator, make_deployment
from bench.report import Report
from standins.deployment import WASGOED

PHASE_S = 4.0
QUIET_MEAN_LOAD = 2
SURGES = {"ordinary": 30, "near full": 90}
FIRST_TOKEN_LIMIT_MS = 830


def run(seed: int) -> Report:
    """Measure the quiet workspaces before and during two surges of different size."""
    report = Report("surge", "a surge of one workspace, six replicas of four slots")
    for label, callers in SURGES.items():
        options = {
            "engine_options": ["--token-ms", "6"],
            "slots": 4,
            "pool_options": {"queue_limit": 40},
        }
        with make_deployment(WASGOED, **options) as deployment:
            quiet = WASGOED.workspaces[1:]
            quiet_load = LoadGenerator(
                deployment, QUIET_MEAN_LOAD * 6, tokens=20, seed=seed, workspaces=quiet
            )
            quiet_load.start()
            time.sleep(PHASE_S)
            began = time.monotonic()
            surge_load = LoadGenerator(
                deployment, callers, tokens=40, seed=seed + 1, workspaces=WASGOED.workspaces[:1]
            )
            surge_load.start()
            time.sleep(PHASE_S)
            surge_load.stop()
            quiet_load.stop()
            add_figures(report, label, quiet_load, surge_load, began)
            breaches = [item["breaches"] for item in deployment.status()["routers"].values()]
            report.at_most(f"{label}: breaches", sum(sum(b.values()) for b in breaches), 0)
    return report


def add_figures(
    report: Report, label: str, quiet_load: LoadGenerator, surge_load: LoadGenerator, began: float
) -> None:
    """Add the outcomes of the surge, and failures and latency of the quiet workspaces."""
    kinds = Counter(item.code or "served" for item in surge_load.results)
    report.add(f"{label}: requests of the surge", len(surge_load.results), "", str(dict(kinds)))
    before = [item for item in quiet_load.results if item.started_at < began]
    during = [item for item in quiet_load.results if item.started_at >= began]
    failed = [item for item in during if not item.complete]
    report.at_most(f"{label}: failed of {len(during)} quiet chats", len(failed), 0)
    for name, part in (("before", before), ("during", during)):
        firsts = [item.first_token_ms for item in part if item.complete]
        p95 = statistics.quantiles(firsts, n=20)[-1]
        report.at_most(f"{label}: quiet first token p95, {name}", p95, FIRST_TOKEN_LIMIT_MS, "ms")
