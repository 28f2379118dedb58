"""Encode and decode the rows on software versions in gossip."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from skylarklift.entry.state.rows import Era
from skylarklift.entry.versions.nominal_starts import MAX_SPANS, RouteSpan
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.release_steps import (
    ReleaseStep,
    VersionWeight,
    bound_steps,
    encodable_steps,
    read_step,
)
from skylarklift.entry.versions.stream_deadlines import MAX_DEADLINES, LongestDeadline
from skylarklift.ids import ServiceId, SoftwareVersion
from skylarklift.util.bounded import MAX_INTEGER, checked_age, checked_integer, checked_text

RELEASES_KEY = "releases"
RELEASE_ERAS_KEY = "release_eras"
DEADLINES_KEY = "deadlines"
SHORTER_DEADLINES_KEY = "shorter_deadlines"
NOMINAL_STARTS_KEY = "nominal_starts"


def release_fields(reports: Sequence[ReleaseReport]) -> dict[str, Any]:
    """Return the fields for a message."""
    return {
        RELEASES_KEY: [_release_fields(report) for report in reports],
        RELEASE_ERAS_KEY: {
            report.service: report.written_in for report in reports if report.written_in is not None
        },
        DEADLINES_KEY: {
            report.service: (report.deadline.span_ms, report.deadline.age_ms)
            for report in reports
            if report.deadline is not None
        },
        SHORTER_DEADLINES_KEY: {
            report.service: [(item.span_ms, item.age_ms) for item in shorter]
            for report in reports
            if (shorter := report.shorter_deadlines)
        },
        NOMINAL_STARTS_KEY: {report.service: _nominal_fields(report) for report in reports},
    }


def _release_fields(report: ReleaseReport) -> tuple:
    """Return the fields of a row on software versions."""
    steps = [
        (step.age_ms, [(item.version, item.weight) for item in step.weights])
        for step in encodable_steps(report.steps)
    ]
    return report.service, report.row_version, report.era, steps


def _nominal_fields(report: ReleaseReport) -> tuple:
    """Return what a row says of nominal starts of streams."""
    spans = [(span.route, span.span_ms, span.settled_ms) for span in report.spans]
    steps = [(step.from_ms, step.settled_ms, step.stored_ms) for step in report.steps]
    return steps, spans


def decode_releases(extras: Mapping[str, Any]) -> tuple[ReleaseReport, ...]:
    """Return the rows on software versions; earlier releases send neither deadlines nor eras."""
    deadlines, eras = extras.get(DEADLINES_KEY, {}), extras.get(RELEASE_ERAS_KEY, {})
    shorter_deadlines = extras.get(SHORTER_DEADLINES_KEY, {})
    nominal_starts = extras.get(NOMINAL_STARTS_KEY, {})
    found = []
    for fields in extras.get(RELEASES_KEY, ()):
        report = _decode_release(*fields)
        if report.service in deadlines:
            shorter = shorter_deadlines.get(report.service, ())[:MAX_DEADLINES]
            report = replace(
                report,
                deadline=_decode_deadline(*deadlines[report.service]),
                shorter_deadlines=tuple(_decode_deadline(*fields) for fields in shorter),
            )
        if report.service in eras:
            report = replace(report, written_in=Era(checked_integer(eras[report.service])))
        if report.service in nominal_starts:
            report = _add_nominal_starts(report, *nominal_starts[report.service])
        found.append(report)
    return tuple(found)


def _add_nominal_starts(report: ReleaseReport, starts: Sequence, spans: Sequence) -> ReleaseReport:
    """Return a row with what it says of nominal starts of streams; raise `ValueError`."""
    steps = report.steps
    # Steps that were merged as they were read say it themselves.
    if len(starts) == len(steps):
        pairs = zip(steps, starts, strict=True)
        steps = tuple(_add_moments(step, *moments) for step, moments in pairs)
    found = tuple(_decode_span(*fields) for fields in spans[:MAX_SPANS])
    return replace(report, steps=steps, spans=found)


def _add_moments(step: ReleaseStep, from_ms: Any, settled_ms: Any, stored_ms: Any) -> ReleaseStep:
    """Return a step with when it counts, is known, and was stored; raise `ValueError`."""
    return replace(
        step,
        from_ms=_optional_start(from_ms),
        settled_ms=_optional_start(settled_ms),
        stored_ms=_optional_start(stored_ms),
    )


def _optional_start(value: Any) -> int | None:
    """Return how long ago a moment was, less than 0 if it is to come; raise `ValueError`."""
    return None if value is None else checked_integer(value, -MAX_INTEGER)


def _decode_span(route: Any, span_ms: Any, settled_ms: Any) -> RouteSpan:
    """Return the span of a route; raise `ValueError`."""
    return RouteSpan(checked_text(route), checked_integer(span_ms), _optional_start(settled_ms))


def _decode_deadline(span_ms: Any, age_ms: Any) -> LongestDeadline:
    """Return a deadline of a service; raise `ValueError`."""
    return LongestDeadline(checked_integer(span_ms), checked_age(age_ms))


def _decode_release(service: Any, row_version: Any, era: Any, steps: Sequence) -> ReleaseReport:
    """Return a row on software versions; its steps count as older by the message's way."""
    return ReleaseReport(
        ServiceId(checked_text(service)),
        checked_integer(row_version),
        bound_steps(tuple(_decode_step(*fields) for fields in steps)),
        Era(checked_integer(era)),
    )


def _decode_step(age_ms: Any, weights: Sequence) -> ReleaseStep:
    """Return the proportions since a moment."""
    return read_step(
        checked_age(age_ms),
        tuple(
            VersionWeight(SoftwareVersion(checked_text(version)), checked_integer(weight))
            for version, weight in weights
        ),
    )
