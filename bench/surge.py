"""A surge of one workspace: refusals by kind, and what the others notice."""

import statistics
import time
from collections import Counter

from bench.deployments import Load, make_deployment
from bench.report import Report
from standins.deployment import WASGOED

PHASE_S = 4.0
QUIET_MEAN = 2
SURGES = {"ordinary": 30, "near full": 90}
FIRST_TOKEN_MS = 830


def run(seed: int) -> Report:
    """Measure the quiet workspaces before and during two surges."""
    report = Report("surge", "a surge of one workspace, six replicas of four slots")
    for label, callers in SURGES.items():
        options = {
            "engine_options": ["--token-ms", "6"],
            "slots": 4,
            "pool_options": {"queue_limit": 40},
        }
        with make_deployment(WASGOED, **options) as deployment:
            quiet = WASGOED.workspaces[1:]
            calm = Load(deployment, QUIET_MEAN * 6, tokens=20, seed=seed, workspaces=quiet)
            calm.start()
            time.sleep(PHASE_S)
            began = time.monotonic()
            storm = Load(
                deployment, callers, tokens=40, seed=seed + 1, workspaces=WASGOED.workspaces[:1]
            )
            storm.start()
            time.sleep(PHASE_S)
            storm.stop()
            calm.stop()
            add_figures(report, label, calm, storm, began)
            breaches = [item["breaches"] for item in deployment.status()["routers"].values()]
            report.at_most(f"{label}: breaches", sum(sum(b.values()) for b in breaches), 0)
    return report


def add_figures(report: Report, label: str, calm: Load, storm: Load, began: float) -> None:
    """Add what both sides saw."""
    kinds = Counter(item.code or "served" for item in storm.sent)
    report.add(f"{label}: requests of the surge", len(storm.sent), "", str(dict(kinds)))
    before = [item for item in calm.sent if item.started < began]
    during = [item for item in calm.sent if item.started >= began]
    failed = [item for item in during if not item.whole]
    report.at_most(f"{label}: failed of {len(during)} quiet chats", len(failed), 0)
    for name, part in (("before", before), ("during", during)):
        firsts = [item.first_ms for item in part if item.whole]
        p95 = statistics.quantiles(firsts, n=20)[-1]
        report.at_most(f"{label}: quiet first token p95, {name}", p95, FIRST_TOKEN_MS, "ms")
