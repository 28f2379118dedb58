"""Time from an accepted patch to in force at every router, by the number of routers."""

import statistics
import time

from bench.deployments import make_deployment
from bench.report import Report
from bench.zone import wait_in_force
from standins.deployment import Shape

SIZES = (2, 8)
PATCHES = 12
IN_FORCE_S = 2.0


def run(seed: int) -> Report:
    """Measure three sizes."""
    report = Report("patches", "from an accepted patch to in force everywhere")
    report.axes = ("routers", "seconds")
    for size in SIZES:
        with make_deployment(Shape(3, {"till": 3}, ("redeem",), size)) as deployment:
            spans = []
            for number in range(PATCHES):
                routers = deployment.routers()
                router = routers[number % len(routers)].name
                answer = deployment.patch(
                    {"workspaces": {"wash-a": {"share": number + 1}}}, router=router
                )
                accepted = time.monotonic()
                spans.append(wait_in_force(deployment, answer.json()["version"]) - accepted)
            report.add(f"median at {size} routers", statistics.median(spans), "s")
            report.at_most(f"longest of {PATCHES} at {size} routers", max(spans), IN_FORCE_S, "s")
            report.series.setdefault("longest", []).append((size, round(max(spans), 3)))
    return report
