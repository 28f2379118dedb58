"""Measure the highest load over the mean by the number of routers, and its messages."""

from bench.report import Report
from features.choice_fleet import MAX_OVER_RATIO, ROUND_MS, ChoiceFleet, Outcome
from skylarklift.entry.gossip.fleet import GOSSIP_FANOUT

# Routers, replicas and requests a second.
SIZES = ((30, 24, 86), (195, 78, 285), (390, 156, 570))
SPAN_MS = 12_000
BUSY_SUBJECT_RATIO = 0.05
MS_PER_SECOND = 1000


def run(seed: int) -> Report:
    """Measure fleets of several sizes, calm and with a zone out and a busy subject."""
    report = Report("load_bound", "load of replicas over the mean by routers, choices in process")
    report.axes = ("routers", "highest load over the mean")
    for routers, replicas, rate in SIZES:
        for name, trouble in (("calm", False), ("trouble", True)):
            outcome = measure(routers, replicas, rate, seed, trouble=trouble)
            what = f"{routers} routers, {name}"
            report.add(f"{what}: highest load over the mean", outcome.peak())
            report.at_most(
                f"{what}: worst 5 s over the bound", outcome.worst_window(), MAX_OVER_RATIO
            )
            sent = outcome.messages / routers / SPAN_MS * MS_PER_SECOND
            least = min(GOSSIP_FANOUT, routers - 1) / ROUND_MS * MS_PER_SECOND
            report.add(f"{what}: messages of a router", sent, "a second", f"{least:.0f} at rest")
            report.series.setdefault(name, []).append((routers, outcome.peak()))
    return report


def measure(routers: int, replicas: int, rate: int, seed: int, *, trouble: bool) -> Outcome:
    """Return the outcome of one run."""
    fleet = ChoiceFleet(routers, replicas, rate, seed)
    if trouble:
        fleet.at(2000, lambda: fleet.evacuate("cape-a", True))
        fleet.at(7000, lambda: fleet.evacuate("cape-a", False))
        fleet.at(3000, lambda: setattr(fleet, "hot_ratio", BUSY_SUBJECT_RATIO))
        fleet.at(9000, lambda: setattr(fleet, "hot_ratio", 0.0))
    return fleet.run(SPAN_MS)
