"""Whether a service's row on software versions is right, whole, or to be written again."""

from collections.abc import Mapping

from skylarklift.entry.versions.known_release import SAME_STEP_MS
from skylarklift.entry.versions.nominal_starts import RouteSpan
from skylarklift.entry.versions.release_members import MembersDigest
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.release_steps import (
    KNOWN_DELAY_MS,
    STEP_DELAY_MS,
    ReleaseStep,
    VersionWeight,
)
from skylarklift.entry.versions.stream_deadlines import MAX_SPAN_MS
from skylarklift.entry.versions.version_counts import FORECAST_TTL_MS, is_forecast_of
from skylarklift.ids import SoftwareVersion


def weights_of(counts: Mapping[SoftwareVersion, int]) -> tuple[VersionWeight, ...]:
    """Return the proportions of versions; of a single one, its number does not matter."""
    if len(counts) == 1:
        return (VersionWeight(next(iter(counts)), 1),)
    return tuple(VersionWeight(version, count) for version, count in sorted(counts.items()))


def is_right(step: ReleaseStep, counts: Mapping[SoftwareVersion, int]) -> bool:
    """Return whether proportions are right for the replicas of now, or for those expected."""
    if step.weights == weights_of(counts):
        return True
    weights = {item.version: item.weight for item in step.weights}
    return step.age_ms < FORECAST_TTL_MS and len(counts) > 1 and is_forecast_of(weights, counts)


def may_be_whole(
    report: ReleaseReport, weights: tuple[VersionWeight, ...], members: MembersDigest | None
) -> bool:
    """Return whether a row of a copy may be the newest one that was written.

    Other proportions need other processes of replicas, but for versions that cannot be used.
    """
    if not report.may_be_of_copy() or len(report.steps) < 2 or report.steps[-1].is_known:
        return False
    if report.members is None or report.members != members:
        return False
    return report.steps[-2].weights == weights


def is_written(report: ReleaseReport, row: ReleaseReport, elapsed_ms: int) -> bool:
    """Return whether a row has the steps of the report that was written `elapsed_ms` ago."""
    if len(report.steps) != len(row.steps):
        return False
    return all(
        step.weights == stored.weights
        and abs(step.age_ms + elapsed_ms - stored.age_ms) <= SAME_STEP_MS
        for step, stored in zip(report.steps, row.steps, strict=True)
    )


def differ(spans: tuple[RouteSpan, ...], others: tuple[RouteSpan, ...]) -> bool:
    """Return whether spans are others, or some have settled."""
    first, second = (
        [(span.route, span.span_ms, span.settled_ms is None) for span in items]
        for items in (spans, others)
    )
    return first != second


def copied_ms(report: ReleaseReport) -> int:
    """Return how long ago a step nominally began at the earliest that a copy may lack.

    It was written after all that the copy holds.
    """
    written = [step.age_ms for step in report.steps[-1:]]
    settled = [item.settled_ms for item in (*report.steps, *report.spans)]
    # Who wrote that something was known saw it that long before.
    written += [age_ms + KNOWN_DELAY_MS for age_ms in settled if age_ms is not None]
    return min(written, default=MAX_SPAN_MS) - STEP_DELAY_MS
