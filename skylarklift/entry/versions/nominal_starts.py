"""The nominal starts of streams: the same for all tries of one caller, at any router.

A caller names how long it will still wait, so its deadline is the same moment in each of its tries.
The nominal start of its stream is a span before that deadline.  The span of a route is the longest
time for which its callers wait, so that a nominal start never lies after a stream's true begin.
Routers keep the spans in a service's row; a stream whose nominal start lies after the moment
since which all routers use a span got its version by that start.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ServiceId

# Further routes of a service have no span.
MAX_SPANS = 64
MAX_ROUTES = 5000
# Spans are rounded up, so that they seldom change, to less than the margin of longest deadlines.
MAX_UNIT_MS = 500
UNITS_PER_SPAN = 8
# A route's time-out is its span if callers wait for at least this part of it.
MIN_TIMEOUT_RATIO = 0.75
# Where callers start this long after their nominal starts on average, these are of no use: streams
# would begin by the proportions of long ago.
MAX_MEAN_LAG_MS = 5000
# The mean is one of about so many streams, and counts once there were some.
MEAN_COUNT = 64
MIN_COUNT = 4
# A span is withdrawn only if the mean is one of so many, and comes back after this time: routers
# see different callers.
MIN_WITHDRAWAL_COUNT = 32
WITHDRAWAL_MS = 60_000
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

    def may_begin(self, span_ms: int) -> bool:
        """Return whether a span may be used from now on."""
        return self.count >= MIN_COUNT and span_ms - self.mean_ms <= MAX_MEAN_LAG_MS / 2

    def must_end(self, span_ms: int) -> bool:
        """Return whether callers start so long after their nominal starts that it is of no use."""
        is_known = self.count >= MIN_WITHDRAWAL_COUNT
        return is_known and span_ms - self.mean_ms > MAX_MEAN_LAG_MS


class RouteSpans:
    """The spans that a service's routes should have, by the callers seen here."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[tuple[ServiceId, str], WaitingTimes] = {}
        self._timeouts_ms: dict[tuple[ServiceId, str], int] = {}
        # The routes that had spans in a service's row, and when they lost them.
        self._routes: dict[ServiceId, frozenset[str]] = {}
        self._withdrawn_at: dict[tuple[ServiceId, str], Millis] = {}

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
            self._withdrawn_at.pop(oldest, None)

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
        self._note_withdrawn(service, found.keys())
        for (other, route), waiting in self._seen.items():
            if other != service or not waiting.longest():
                continue
            span = self._update_span(service, found.pop(route, None), route, waiting)
            if span is not None:
                found[route] = span
        return tuple(sorted(found.values(), key=lambda item: item.route))[:MAX_SPANS]

    def _note_withdrawn(self, service: ServiceId, routes: Set[str]) -> None:
        """Note the routes whose spans are in the row no longer."""
        for route in self._routes.get(service, frozenset()) - routes:
            self._withdrawn_at[service, route] = self._clock.now()
        self._routes[service] = frozenset(routes)

    def _update_span(
        self, service: ServiceId, span: RouteSpan | None, route: str, waiting: WaitingTimes
    ) -> RouteSpan | None:
        """Return the span of a route, `None` if none is of use."""
        longest_ms = waiting.longest()
        span_ms = _round_span(longest_ms, self._timeouts_ms[service, route])
        if span is not None and longest_ms <= span.span_ms:
            return None if waiting.must_end(span.span_ms) else span
        if span is not None:
            return None if waiting.must_end(span_ms) else RouteSpan(route, span_ms)
        withdrawn_at = self._withdrawn_at.get((service, route))
        if withdrawn_at is not None and self._clock.now() - withdrawn_at < WITHDRAWAL_MS:
            return None
        return RouteSpan(route, span_ms) if waiting.may_begin(span_ms) else None


def _round_span(longest_ms: int, timeout_ms: int) -> int:
    """Return the span for callers that wait for `longest_ms` at most."""
    if MIN_TIMEOUT_RATIO * timeout_ms <= longest_ms <= timeout_ms:
        return timeout_ms
    unit_ms = max(1, min(MAX_UNIT_MS, longest_ms // UNITS_PER_SPAN))
    return -(-longest_ms // unit_ms) * unit_ms
