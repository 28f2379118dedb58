"""Which streams callers take up at routers that are, or just were, out of step."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from soak.stream_checker import SentCall, Try
from soak.stream_decisions import Decision
from soak.stream_records import now_ms
from standins.entry_world import RouterProcess

# A router counts as out of step until so long after its fault has ended.
BACK_MS = 1000
# A version joined while a router was out of step if it was listed since so long before.
JOIN_MS = 500
# The part of the take-ups that go to a router that is out of step, if there is one.
CHOSEN_RATIO = 0.6


@dataclass
class OutOfStep:
    """A router that is out of step, since when and until when."""

    router: str
    began_ms: int
    ended_ms: int | None = None

    def holds_at(self, at_ms: int) -> bool:
        """Return whether the router is out of step, or was a moment before."""
        return self.began_ms <= at_ms and (
            self.ended_ms is None or at_ms <= self.ended_ms + BACK_MS
        )


class TakeUps:
    """The routers that are out of step, to which callers bring streams that broke off."""

    def __init__(self):
        self._all: list[OutOfStep] = []
        # When the first replica with each software version was listed.
        self._listed_ms: dict[str, int] = {}

    def note_software(self, software: str) -> None:
        """Record that a replica with a software version is listed."""
        self._listed_ms.setdefault(software, now_ms())

    def begin(self, router: str) -> OutOfStep:
        """Record that a router is out of step from now on."""
        item = OutOfStep(router, now_ms())
        self._all.append(item)
        return item

    def end(self, item: OutOfStep) -> None:
        """Record that a router is in step again, its callers not yet."""
        item.ended_ms = now_ms()

    def choose_router(
        self, routers: Iterable[RouterProcess], but_not: set[str], rng: Random
    ) -> RouterProcess | None:
        """Return the router at which to take a stream up now, `None` if any will do."""
        at_ms = now_ms()
        names = {item.router for item in self._all if item.holds_at(at_ms)} - but_not
        if not names or rng.random() >= CHOSEN_RATIO:
            return None
        chosen = [router for router in routers if router.name in names]
        return rng.choice(chosen) if chosen else None

    def count(self, calls: Iterable[SentCall], decisions: Mapping[str, Decision]) -> "TakeUpCounts":
        """Count the streams that were taken up, and how their routers decided."""
        counts = TakeUpCounts()
        for call in calls:
            for item in call.tries:
                if item.resume_after and not item.repeats_id:
                    self._count_one(call, item, decisions.get(item.attempt), counts)
        return counts

    def _count_one(
        self, call: SentCall, item: Try, decision: Decision | None, counts: "TakeUpCounts"
    ) -> None:
        """Count one try that takes a stream up."""
        counts.all += 1
        counts.whole += item.resume_after == call.last
        found = [
            other
            for other in self._all
            if other.router == item.router and other.holds_at(item.started_ms)
        ]
        if not found:
            return
        source = decision.source if decision is not None else "undecided"
        counts.out_of_step[source] += 1
        began = {event.software for other in call.tries for event in other.events[:1]}
        since_ms = min(other.began_ms for other in found) - JOIN_MS
        if any(self._listed_ms.get(software, 0) >= since_ms for software in began):
            counts.joining[source] += 1


@dataclass
class TakeUpCounts:
    """How many streams were taken up, and by which decisions at routers out of step.

    `whole` is how many had all their events before, and `joining` counts those of a version whose
    first replicas joined while the router was out of step.
    """

    all: int = 0
    whole: int = 0
    out_of_step: Counter[str] = field(default_factory=Counter)
    joining: Counter[str] = field(default_factory=Counter)

    def describe(self) -> str:
        """Return the counts as text."""
        return (
            f"taken up {self.all}, of them whole {self.whole}; at routers out of step "
            f"{dict(self.out_of_step)}, of them of a version that joined meanwhile "
            f"{dict(self.joining)}"
        )
