"""The nominal starts of streams: the same for all tries of one caller, at any router.

A caller names how long it will still wait, so its deadline is the same moment in each of its tries.
The nominal start of its stream is a span before that deadline.  The span of a route is the longest
time for which its callers wait, so that a nominal start never lies after a stream's true begin.
Routers keep the spans in a service's row; a stream whose nominal start lies after the moment
since which all routers use a span got its version by that start.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ServiceId

# Further routes of a service have no span.
MAX_SPANS = 64
MAX_ROUTES = 5000
# Spans are rounded up to this part of a power of two, so that they seldom change.
PARTS_PER_OCTAVE = 8
# A route's time-out is its span if callers wait for at least this part of it.
MIN_TIMEOUT_RATIO = 0.75
# Where callers start this long after their nominal starts on average, these are of no use: streams
# would begin by the proportions of long ago.
MAX_MEAN_LAG_MS = 5000
# The mean is one of about so many streams, and counts once there were some.
MEAN_COUNT = 64
MIN_COUNT = 4
# The longest time that a caller named counts for one to two of these.
WINDOW_MS = 120_000


@dataclass(frozen=True, slots=True)
class RouteSpan:
    """The span of a route, and how long ago all routers began to use it, `None` if not known."""

    route: str
    span_ms: int
    settled_ms: int | None = None

    def aged(self, elapsed_ms: int) -> "RouteSpan":
        """Return this span as it is `elapsed_ms` later."""
        settled_ms = None if self.settled_ms is None else self.settled_ms + elapsed_ms
        return RouteSpan(self.route, self.span_ms, settled_ms)

    def nominal_age_ms(self, left_ms: int) -> int:
        """Return how long ago a stream nominally began whose caller waits for `left_ms` more."""
        return max(0, self.span_ms - left_ms)


@dataclass(frozen=True, slots=True)
class NominalStart:
    """How long ago a stream nominally began, between `age_ms` and `oldest_ms`."""

    age_ms: int
    oldest_ms: int


@dataclass(slots=True)
class WaitingTimes:
    """How long the callers of a route wait when their streams begin, as seen here."""

    window_began_at: Millis
    mean_ms: float = 0.0
    count: int = 0
    longest_ms: int = 0
    longest_before_ms: int = 0

    def record(self, left_ms: int, now: Millis) -> None:
        """Record how long a caller will wait."""
        if now - self.window_began_at >= WINDOW_MS:
            self.longest_before_ms, self.longest_ms = self.longest_ms, 0
            self.window_began_at = now
        self.count += 1
        self.mean_ms += (left_ms - self.mean_ms) / min(self.count, MEAN_COUNT)
        self.longest_ms = max(self.longest_ms, left_ms)

    def longest(self) -> int:
        """Return the longest time that a caller named lately."""
        return max(self.longest_ms, self.longest_before_ms)

    def is_span_of_use(self, span_ms: int) -> bool:
        """Return whether callers start soon after their nominal starts by a span."""
        return self.count < MIN_COUNT or span_ms - self.mean_ms <= MAX_MEAN_LAG_MS


class RouteSpans:
    """The spans that a service's routes should have, by the callers seen here."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[tuple[ServiceId, str], WaitingTimes] = {}
        self._timeouts_ms: dict[tuple[ServiceId, str], int] = {}

    def record(self, service: ServiceId, route: str, left_ms: int, timeout_ms: int) -> None:
        """Record how long the caller of a new stream will wait."""
        if left_ms <= 0:
            return
        key, now = (service, route), self._clock.now()
        self._seen.setdefault(key, WaitingTimes(now)).record(left_ms, now)
        self._timeouts_ms[key] = timeout_ms
        while len(self._seen) > MAX_ROUTES:
            oldest = next(iter(self._seen))
            del self._seen[oldest], self._timeouts_ms[oldest]

    def mean_lag_ms(self, service: ServiceId, spans: Iterable[RouteSpan]) -> int:
        """Return how long after their nominal starts the streams of a service begin on average."""
        total = count = 0
        for span in spans:
            waiting = self._seen.get((service, span.route))
            if waiting is not None:
                total += waiting.count * max(0.0, span.span_ms - waiting.mean_ms)
                count += waiting.count
        return round(total / count) if count else 0

    def update(
        self, service: ServiceId, spans: Iterable[RouteSpan], *, allowed: bool
    ) -> tuple[RouteSpan, ...]:
        """Return the spans that a service's row should hold, where it now holds `spans`.

        There are none while a router is there that does not use them.
        """
        if not allowed:
            return ()
        found = {item.route: item for item in spans}
        for (other, route), waiting in self._seen.items():
            if other != service or not waiting.longest():
                continue
            span = self._update_span(route, found.pop(route, None), waiting, service)
            if span is not None:
                found[route] = span
        return tuple(sorted(found.values(), key=lambda item: item.route))[:MAX_SPANS]

    def _update_span(
        self, route: str, span: RouteSpan | None, waiting: WaitingTimes, service: ServiceId
    ) -> RouteSpan | None:
        """Return the span of a route, `None` if none is of use."""
        if span is None or waiting.longest() > span.span_ms:
            span_ms = _round_span(waiting.longest(), self._timeouts_ms[service, route])
            span = RouteSpan(route, span_ms)
        return span if waiting.is_span_of_use(span.span_ms) else None


def _round_span(longest_ms: int, timeout_ms: int) -> int:
    """Return the span for callers that wait for `longest_ms` at most."""
    if MIN_TIMEOUT_RATIO * timeout_ms <= longest_ms <= timeout_ms:
        return timeout_ms
    unit_ms = max(1, (1 << (longest_ms - 1).bit_length()) // PARTS_PER_OCTAVE)
    return -(-longest_ms // unit_ms) * unit_ms
