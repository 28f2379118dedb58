"""A service's row as a router knows it, with the ages of any later moment."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from skylarklift.clock import Millis
from skylarklift.entry.versions.nominal_starts import RouteSpan
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.release_steps import STEP_DELAY_MS, ReleaseStep

# A step that is read again has about the same age.
SAME_STEP_MS = 250


@dataclass(frozen=True, slots=True)
class KnownRelease:
    """A service's row, when its ages were right, and since when the store is in its era.

    `step_seen_at` and `spans_seen_at` are since when this router knows its last step, and each of
    its spans by the route.
    """

    report: ReleaseReport
    known_at: Millis
    era_since: Millis
    step_seen_at: Millis
    spans_seen_at: Mapping[str, Millis]

    def steps(self, now: Millis) -> tuple[ReleaseStep, ...]:
        """Return the steps with the ages of now."""
        return tuple(step.aged(now - self.known_at) for step in self.report.steps)

    def spans(self, now: Millis) -> tuple[RouteSpan, ...]:
        """Return the spans with the ages of now."""
        return tuple(span.aged(now - self.known_at) for span in self.report.spans)

    def report_at(self, now: Millis) -> ReleaseReport:
        """Return the row with the steps and spans of now."""
        return replace(self.report, steps=self.steps(now), spans=self.spans(now))

    def find_span(self, route: str, now: Millis) -> RouteSpan | None:
        """Return the span of a route, `None` if it has none."""
        found = (span for span in self.report.spans if span.route == route)
        span = next(found, None)
        return None if span is None else span.aged(now - self.known_at)

    def settle(self, steps: tuple[ReleaseStep, ...], now: Millis) -> tuple[ReleaseStep, ...]:
        """Return steps, of which the last one known until now says since when all know it."""
        last = self.steps(now)[-1:]
        settled_ms = now - self.step_seen_at - STEP_DELAY_MS
        return tuple(
            (
                replace(step, settled_ms=settled_ms)
                if step.settled_ms is None and (step,) == last
                else step
            )
            for step in steps
        )

    def settled_spans(self, now: Millis) -> tuple[RouteSpan, ...]:
        """Return the spans, each of which says since when all routers know it."""
        return tuple(
            (
                replace(span, settled_ms=now - self.spans_seen_at[span.route] - STEP_DELAY_MS)
                if span.settled_ms is None
                else span
            )
            for span in self.spans(now)
        )


def learn_release(report: ReleaseReport, known: KnownRelease | None, now: Millis) -> KnownRelease:
    """Return what a router knows that has read a row, and knew another one before."""
    is_same_era = known is not None and known.report.era == report.era
    return KnownRelease(
        report,
        now,
        known.era_since if is_same_era else now,
        _step_seen_at(report, known, now),
        _spans_seen_at(report, known, now),
    )


def _step_seen_at(report: ReleaseReport, known: KnownRelease | None, now: Millis) -> Millis:
    """Return since when a router knows the last step of a row."""
    before = known.steps(now) if known else ()
    if not before or not report.steps or before[-1].weights != report.steps[-1].weights:
        return now
    is_same = abs(before[-1].age_ms - report.steps[-1].age_ms) <= SAME_STEP_MS
    return known.step_seen_at if is_same else now


def _spans_seen_at(
    report: ReleaseReport, known: KnownRelease | None, now: Millis
) -> dict[str, Millis]:
    """Return since when a router knows each span of a row."""
    before = {span.route: span.span_ms for span in known.report.spans} if known else {}
    return {
        span.route: (
            known.spans_seen_at[span.route] if before.get(span.route) == span.span_ms else now
        )
        for span in report.spans
    }
