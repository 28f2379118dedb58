"""The spans of routes in services' rows, and the nominal starts of streams by them."""

from collections.abc import Mapping

from skylarklift.clock import Clock
from skylarklift.entry.versions.known_release import KnownRelease
from skylarklift.entry.versions.nominal_starts import (
    MAX_SPANS,
    NominalStart,
    RouteSpan,
    RouteSpans,
    RouteWait,
)
from skylarklift.entry.versions.nominal_steps import TOLERANCE_MS
from skylarklift.entry.versions.release_steps import STEP_DELAY_MS
from skylarklift.ids import ServiceId


class RowSpans:
    """The spans in the rows that a router knows, and what it has `seen` of routes' callers.

    They are `allowed` unless a router is there that does not know nominal starts.
    """

    def __init__(self, clock: Clock, known: Mapping[ServiceId, KnownRelease]):
        self._clock = clock
        self._known = known
        self.seen = RouteSpans(clock)
        self.allowed = True

    def nominal_age_ms(self, service: ServiceId, route: str, left_ms: int) -> int | None:
        """Return how long ago a stream nominally began, `None` if its route has no span.

        Its caller will wait for `left_ms` more, 0 if it names no time.
        """
        span = self._find(service, route)
        return None if span is None or left_ms <= 0 else span.nominal_age_ms(left_ms)

    def nominal_start(
        self, service: ServiceId, route: str, left_ms: int, waited_ms: int = 0
    ) -> NominalStart | None:
        """Return the nominal start of a stream that a caller resumes.

        Its request waited here for `waited_ms` at most.  Return `None` if some router may not have
        used it.
        """
        span = self._find(service, route)
        if span is None or not self.allowed or not 0 < left_ms <= span.span_ms:
            return None
        if self.seen.is_exceeded(service, span):
            return None
        age_ms = span.nominal_age_ms(left_ms)
        start = NominalStart(age_ms, age_ms + waited_ms)
        if span.settled_ms is None or span.settled_ms < start.oldest_ms + TOLERANCE_MS:
            return None
        return start

    def mean_lag_ms(self, service: ServiceId) -> int:
        """Return how long after it is written a step is used on average, 0 without spans."""
        known = self._known.get(service)
        spans = known.spans(self._clock.now()) if known else ()
        return STEP_DELAY_MS + self.seen.mean_lag_ms(service, spans) if spans else 0

    def waits(self) -> tuple[RouteWait, ...]:
        """Return what this router saw of callers for whom the rows have no span."""
        now = self._clock.now()
        found = [
            wait
            for service, known in self._known.items()
            for wait in self.seen.reports(service, known.spans(now))
        ]
        return tuple(found[:MAX_SPANS])

    def _find(self, service: ServiceId, route: str) -> RouteSpan | None:
        """Return the span of a route, `None` if it has none."""
        known = self._known.get(service)
        return known.find_span(route, self._clock.now()) if known else None

    def next_spans(self, service: ServiceId) -> tuple[RouteSpan, ...]:
        """Return the spans to write in a service's row."""
        known = self._known.get(service)
        spans = known.settled_spans(self._clock.now()) if known else ()
        others = (item for name, item in self._known.items() if name != service)
        most = MAX_SPANS - sum(len(item.report.spans) for item in others)
        return self.seen.update(service, spans, most=most if self.allowed else 0)
