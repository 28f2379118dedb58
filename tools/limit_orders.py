"""Systems of routers that share the limits of a replica, for the search of orders."""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from skylarklift.clock import ManualClock
from skylarklift.entry.model import Bounds
from skylarklift.entry.placement.fleet_limits import ColdRequestLimit, FleetShare
from skylarklift.entry.placement.rate_limits import LimitReport, RateLimits
from tools.order_search import System

# A replica that names a limit.

NAMED_PER_S = 0.25
NAMED_STEP_MS = 2000
NAMED_WINDOW_MS = 4000
MOST_IN_WINDOW = 1.5 * NAMED_PER_S * NAMED_WINDOW_MS / 1000 + 5


@dataclass
class NamedLimitSystem(System):
    """Two routers and a replica that names a limit of a request in four seconds."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(100_000))
    limits: list[RateLimits] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)

    def __post_init__(self):
        self.limits = [RateLimits(self.clock) for _ in range(2)]

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        yield "time passes"
        for rank, limits in enumerate(self.limits):
            yield f"name {rank}"
            yield f"restart {rank}"
            if self.limits[1 - rank].reports():
                yield f"tell {rank}"
            if limits.is_limited("r0"):
                yield f"lift {rank}"
                if limits.allows("r0", FleetShare(2, rank)):
                    yield f"send {rank}"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        if event == "time passes":
            self.clock.advance(NAMED_STEP_MS)
            return
        name, number = event.split()
        limits = self.limits[int(number)]
        match name:
            case "name":
                limits.record_named("r0", NAMED_PER_S)
            case "lift":
                limits.record_lifted("r0", self.clock.now())
            case "tell":
                for report in self.limits[1 - int(number)].reports():
                    limits.apply_report(LimitReport(report.replica, report.per_second, 100))
            case "restart":
                self.limits[int(number)] = RateLimits(self.clock)
            case "send":
                limits.record_request("r0")
                self.sent_at.append(self.clock.now())

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        now = self.clock.now()
        known = tuple(
            tuple(
                (item.per_second, now - item.observed_at, now - item.filled_at, item.tokens)
                for item in limits._limits.values()
            )
            for limits in self.limits
        )
        return (known, tuple(now - moment for moment in self.sent_at))

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        recent = [moment for moment in self.sent_at if moment > self.clock.now() - NAMED_WINDOW_MS]
        return f"{len(recent)} requests in 4 s" if len(recent) > MOST_IN_WINDOW else ""


# A cold replica.

ROUTERS = 3
LIMIT_PER_S = 2
STEP_MS = 250


@dataclass
class ColdReplicaSystem(System):
    """Three routers and a cold replica that accepts two requests a second."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(10_000))
    limits: list[ColdRequestLimit] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)

    def __post_init__(self):
        bounds = Bounds(cold_overshoot=1.0, cold_tolerance=0)
        self.limits = [ColdRequestLimit(self.clock, bounds) for _ in range(ROUTERS)]

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        yield "time passes"
        for rank in range(ROUTERS):
            if self.limits[rank].allows("r0", LIMIT_PER_S, FleetShare(ROUTERS, rank)):
                yield f"send {rank}"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        if event == "time passes":
            self.clock.advance(STEP_MS)
            return
        self.limits[int(event.split()[1])].record_request("r0")
        self.sent_at.append(self.clock.now())

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        now = self.clock.now()
        ages = [
            tuple(now - moment for moment in limit._sent.get("r0", ())) for limit in self.limits
        ]
        return (tuple(ages), tuple(now - moment for moment in self.sent_at[-LIMIT_PER_S:]))

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        recent = [moment for moment in self.sent_at if moment > self.clock.now() - 1000]
        return f"{len(recent)} requests within a second" if len(recent) > LIMIT_PER_S else ""
