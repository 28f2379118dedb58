"""How long the streams of a soak last, and how long its callers try."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from random import Random

from soak.stream_checker import Kind
from standins.stream_events import EVENT_PAUSE_MS

DEADLINES_MS = {
    Kind.STREAM: 15_000,
    Kind.ONCE: 12_000,
    Kind.BRIEF: 3000,
    Kind.NON_IDEMPOTENT: 2500,
    Kind.IDEMPOTENT: 2500,
}
EVENTS = {Kind.STREAM: (70, 76), Kind.ONCE: (50, 58), Kind.BRIEF: (3, 4)}
SLOW_EVENT_PAUSE_MS = 250
KIND_WEIGHTS = {
    Kind.STREAM: 10,
    Kind.ONCE: 4,
    Kind.BRIEF: 4,
    Kind.NON_IDEMPOTENT: 2,
    Kind.IDEMPOTENT: 2,
}


@dataclass(frozen=True)
class StreamLoad:
    """What callers ask for, and how long they try.

    A request may have `max_tries` that may have run, and `max_refusals` in all; those in flight
    when the load ends go on for `last_calls_s`.  Each request has at least `least_deadline` of its
    kind's deadline.
    """

    event_pause_ms: int = EVENT_PAUSE_MS
    events: Mapping[Kind, tuple[int, int]] = field(default_factory=lambda: EVENTS)
    deadlines_ms: Mapping[Kind, int] = field(default_factory=lambda: DEADLINES_MS)
    weights: Mapping[Kind, float] = field(default_factory=lambda: KIND_WEIGHTS)
    least_deadline: float = 1.0
    max_tries: int = 5
    max_refusals: int = 12
    last_calls_s: float = 3.0

    def draw_deadline_ms(self, kind: Kind, rng: Random) -> int:
        """Return the deadline of the next request of a kind."""
        if self.least_deadline == 1.0:
            return self.deadlines_ms[kind]
        return round(rng.uniform(self.least_deadline, 1.0) * self.deadlines_ms[kind])

    def with_more_tries(self) -> "StreamLoad":
        """Return the load of callers that try long enough to outlast a loss of all routers."""
        return replace(self, max_tries=15, max_refusals=40)


def make_slow_load(events: tuple[int, int], deadline_ms: int, last_calls_s: float) -> StreamLoad:
    """Return a load of slow streams with so many events, whose callers wait long for them."""
    streams = [kind for kind in Kind if kind.is_stream]
    return StreamLoad(
        event_pause_ms=SLOW_EVENT_PAUSE_MS,
        events={**EVENTS, Kind.STREAM: events},
        deadlines_ms={**DEADLINES_MS, **dict.fromkeys(streams, deadline_ms)},
        max_tries=25,
        max_refusals=60,
        last_calls_s=last_calls_s,
    )


SHORT = StreamLoad()
# Streams of at least 31 to 45 s, and of 62 to 72 s.
LONG = make_slow_load((125, 180), deadline_ms=90_000, last_calls_s=60.0)
LONGER = make_slow_load((250, 290), deadline_ms=120_000, last_calls_s=80.0)
LOADS = {"short": SHORT, "long": LONG, "longer": LONGER}
