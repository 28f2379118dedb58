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

# Further routes of all services together have no span, so that messages have room for all.
MAX_SPANS = 256
MAX_ROUTES = 1000
MAX_SERVICES = 5000
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


@dataclass(frozen=True, slots=True)
class RouteWait:
    """How long the callers of a route wait, as a router saw it whose row has no such span."""

    service: ServiceId
    route: str
    timeout_ms: int
    longest_ms: int
    mean_ms: int
    count: int


@dataclass(slots=True)
class LongestWait:
    """The longest of the times of this window and the one before."""

    window_began_at: Millis
    longest_ms: int = 0
    before_ms: int = 0

    def record(self, wait_ms: int, now: Millis) -> None:
        """Record a time."""
        if now - self.window_began_at >= WINDOW_MS:
            self.before_ms, self.longest_ms = self.longest_ms, 0
            self.window_began_at = now
        self.longest_ms = max(self.longest_ms, wait_ms)

    def longest(self) -> int:
        """Return the longest time, 0 without any."""
        return max(self.longest_ms, self.before_ms)


class WaitingTimes:
    """How long the callers of a route wait when their streams begin.

    What other routers `reported` is kept apart from what this one has `seen`, so that it is not
    reported again, and is forgotten in the end.
    """

    def __init__(self, timeout_ms: int, now: Millis):
        self.timeout_ms = timeout_ms
        self.seen = LongestWait(now)
        self.reported = LongestWait(now)
        self.mean_ms = 0.0
        self.count = 0

    def record(self, left_ms: int, now: Millis) -> None:
        """Record how long a caller will wait."""
        self.count += 1
        self.mean_ms += (left_ms - self.mean_ms) / min(self.count, MEAN_COUNT)
        self.seen.record(left_ms, now)
        self.reported.record(0, now)

    def apply_report(self, wait: RouteWait, now: Millis) -> None:
        """Use what another router saw, its mean only where this one saw fewer callers."""
        self.reported.record(wait.longest_ms, now)
        if wait.count > self.count:
            self.mean_ms, self.count = float(wait.mean_ms), wait.count

    def longest(self) -> int:
        """Return the longest time that a caller named lately."""
        return max(self.seen.longest(), self.reported.longest())

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
        self._seen: dict[ServiceId, dict[str, WaitingTimes]] = {}
        # The routes that had spans in a service's row, and when they lost them.
        self._routes: dict[ServiceId, frozenset[str]] = {}
        self._withdrawn_at: dict[tuple[ServiceId, str], Millis] = {}

    def record(self, service: ServiceId, route: str, left_ms: int, timeout_ms: int) -> None:
        """Record how long the caller of a new stream will wait."""
        if left_ms <= 0:
            return
        now = self._clock.now()
        self._waiting_times(service, route, timeout_ms).record(left_ms, now)

    def apply_report(self, wait: RouteWait) -> None:
        """Use what another router saw of a route's callers."""
        waiting = self._waiting_times(wait.service, wait.route, wait.timeout_ms)
        waiting.apply_report(wait, self._clock.now())

    def reports(self, service: ServiceId, spans: Iterable[RouteSpan]) -> list[RouteWait]:
        """Return what the router that writes the row has to know, where it holds `spans`."""
        known = {span.route: span.span_ms for span in spans}
        return [
            RouteWait(
                service,
                route,
                waiting.timeout_ms,
                waiting.seen.longest(),
                round(waiting.mean_ms),
                waiting.count,
            )
            for route, waiting in self._seen.get(service, {}).items()
            if waiting.seen.longest() > known.get(route, 0)
        ]

    def _waiting_times(self, service: ServiceId, route: str, timeout_ms: int) -> WaitingTimes:
        """Return what is known of a route's callers."""
        routes = self._seen.setdefault(service, {})
        if route not in routes:
            routes[route] = WaitingTimes(timeout_ms, self._clock.now())
        found = routes[route]
        found.timeout_ms = timeout_ms
        while len(routes) > MAX_ROUTES:
            oldest = next(iter(routes))
            del routes[oldest]
            self._withdrawn_at.pop((service, oldest), None)
        while len(self._seen) > MAX_SERVICES:
            del self._seen[next(iter(self._seen))]
        return found

    def is_exceeded(self, service: ServiceId, span: RouteSpan) -> bool:
        """Return whether a caller lately waited for longer than a route's span."""
        waiting = self._seen.get(service, {}).get(span.route)
        return waiting is not None and waiting.longest() > span.span_ms

    def mean_lag_ms(self, service: ServiceId, spans: Iterable[RouteSpan]) -> int:
        """Return how long after their nominal starts the streams of a service begin on average."""
        total = count = 0
        for span in spans:
            waiting = self._seen.get(service, {}).get(span.route)
            if waiting is not None:
                total += waiting.count * max(0.0, span.span_ms - waiting.mean_ms)
                count += waiting.count
        return round(total / count) if count else 0

    def update(
        self, service: ServiceId, spans: Iterable[RouteSpan], *, most: int
    ) -> tuple[RouteSpan, ...]:
        """Return the spans that a service's row should hold, where it now holds `spans`.

        It may hold `most` of them, none while a router is there that does not use them.
        """
        if most <= 0:
            return ()
        found = {item.route: item for item in spans}
        self._note_withdrawn(service, found.keys())
        for route, waiting in self._seen.get(service, {}).items():
            if not waiting.longest():
                continue
            span = self._update_span(service, found.pop(route, None), route, waiting)
            if span is not None:
                found[route] = span
        return tuple(sorted(found.values(), key=lambda item: item.route))[:most]

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
        span_ms = _round_span(longest_ms, waiting.timeout_ms)
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
