"""Measure the time from a patch's acceptance until it is in force at every router."""

import statistics
import time

from bench.deployments import make_deployment
from bench.report import Report
from bench.zone import wait_in_force
from standins.deployment import Shape

SIZES = (2, 8)
PATCHES = 12
IN_FORCE_LIMIT_S = 2.0


def run(seed: int) -> Report:
    """Measure several patches at each fleet size."""
    report = Report("patches", "from an accepted patch to in force everywhere")
    report.axes = ("routers", "seconds")
    for size in SIZES:
        with make_deployment(Shape(3, {"till": 3}, ("redeem",), size)) as deployment:
            durations = []
            for number in range(PATCHES):
                routers = deployment.routers()
                router = routers[number % len(routers)].name
                response = deployment.patch(
                    {"workspaces": {"wash-a": {"share": number + 1}}}, router=router
                )
                accepted = time.monotonic()
                durations.append(wait_in_force(deployment, response.json()["version"]) - accepted)
            report.add(f"median at {size} routers", statistics.median(durations), "s")
            report.at_most(
                f"longest of {PATCHES} at {size} routers", max(durations), IN_FORCE_LIMIT_S, "s"
            )
            report.series.setdefault("longest", []).append((size, round(max(durations), 3)))
    return report
