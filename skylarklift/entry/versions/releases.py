"""Which software version begins a stream, so that it can be found again without any memory of it.

While several versions of a service serve, each prompt is assigned to one of them by a hash of what
its requests share, in proportion to the replicas of each version.  The proportions are a row of the
store, which changes only with a release.  A version gets resumable streams only once the row has
it.  Older proportions stay in the row for as long as a stream that began under them can be taken
up: such a stream may go on where all of them assign its prompt to the same version."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from skylarklift.clock import Clock, Millis
from skylarklift.entry.state.rows import NO_ERA, Era
from skylarklift.entry.versions.release_steps import (
    ReleaseStep,
    VersionWeight,
    bound_steps,
    pick_version,
    possible_versions,
    steps_since,
)
from skylarklift.entry.versions.stream_deadlines import (
    MAX_DEADLINE_MS,
    LongestDeadline,
    StreamDeadlines,
)
from skylarklift.ids import ServiceId, SoftwareVersion
from skylarklift.util.bounded import checked_integer, checked_list, checked_text, parse_json

# Proportions count as long as a stream that began under them may be resumed, also by a router that
# was not heard for a while.
STEP_TTL_MS = MAX_DEADLINE_MS + 60_000
# Rows that were not known to be the newest ones within this time may be outdated.
CONFIRMED_TTL_MS = 2500
# A report counts as this much older than it says, for its time on the way.
REPORT_DELAY_MS = 50


@dataclass(frozen=True, slots=True)
class ReleaseReport:
    """A service's row as a router knows it: its version and its steps, the oldest first.

    `deadline` is the longest that callers of the service have named, `None` if none is known.
    """

    service: ServiceId
    row_version: int
    steps: tuple[ReleaseStep, ...]
    era: Era = NO_ERA
    deadline: LongestDeadline | None = None

    def is_newer_than(self, other: "ReleaseReport") -> bool:
        """Return whether the store accepted this row after the other one."""
        return (self.era, self.row_version) > (other.era, other.row_version)


@dataclass(frozen=True, slots=True)
class ReleaseRow:
    """The data of a service's row."""

    steps: tuple[ReleaseStep, ...] = ()
    deadline: LongestDeadline | None = None


@dataclass(frozen=True, slots=True)
class KnownRelease:
    """A service's row and when its ages were right."""

    report: ReleaseReport
    known_at: Millis


class Releases:
    """The proportions of the software versions of each service, and how long callers wait."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._known: dict[ServiceId, KnownRelease] = {}
        self.deadlines = StreamDeadlines(clock)
        # When the known rows were the newest ones for certain.
        self._confirmed_at: Millis | None = None

    def confirm(self, age_ms: int) -> None:
        """Record that, `age_ms` ago, the store had no newer rows than are known now."""
        confirmed_at = Millis(self._clock.now() - age_ms)
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def age_ms(self) -> int | None:
        """Return how long ago the known rows were the newest ones, `None` if that is not known."""
        return None if self._confirmed_at is None else self._clock.now() - self._confirmed_at

    def are_current(self) -> bool:
        """Return whether the known rows were the newest ones lately.

        If not, there may be versions and proportions that this router has not heard of.
        """
        age_ms = self.age_ms()
        return age_ms is not None and age_ms <= CONFIRMED_TTL_MS

    def apply(self, report: ReleaseReport) -> bool:
        """Use a row from now on, unless a newer one is known; return whether it is new."""
        if report.deadline is not None:
            self.deadlines.record(
                report.service, report.deadline.span_ms, report.deadline.age_ms + REPORT_DELAY_MS
            )
        known = self._known.get(report.service)
        if known and not report.is_newer_than(known.report):
            return False
        steps = report.steps
        if known and (report.era > known.report.era or not steps):
            # The row may be one of a copy, which lacks steps of which streams are left.
            before = self._current(known)
            steps = (*before, *(step for step in steps if step not in before))
        report = replace(report, steps=bound_steps(steps))
        self._known[report.service] = KnownRelease(report, self._clock.now())
        return bool(report.steps)

    def reports(self) -> tuple[ReleaseReport, ...]:
        """Return the rows, with the ages of now."""
        return tuple(
            replace(
                known.report, steps=self._current(known), deadline=self.deadlines.longest(service)
            )
            for service, known in self._known.items()
        )

    def row_version(self, service: ServiceId) -> int:
        """Return the version of a service's row, 0 without one."""
        known = self._known.get(service)
        return known.report.row_version if known else 0

    def steps(self, service: ServiceId) -> tuple[ReleaseStep, ...]:
        """Return the steps of a service, the oldest first."""
        known = self._known.get(service)
        return self._current(known) if known else ()

    def count_steps(self, service: ServiceId, max_age_ms: int) -> int:
        """Return how many proportions some router may have used at most `max_age_ms` ago."""
        return len(steps_since(self.steps(service), max_age_ms))

    def _current(self, known: KnownRelease) -> tuple[ReleaseStep, ...]:
        """Return the steps of a row with the ages of now."""
        elapsed_ms = self._clock.now() - known.known_at
        return tuple(
            ReleaseStep(step.age_ms + elapsed_ms, step.weights) for step in known.report.steps
        )

    def assigned_version(self, service: ServiceId, key: str) -> SoftwareVersion | None:
        """Return the version that begins streams of a prompt, `None` without a row."""
        known = self._known.get(service)
        weights = [step.weights for step in known.report.steps if step.is_known] if known else []
        return pick_version(key, weights[-1]) if weights else None

    def began_at(
        self, service: ServiceId, key: str, max_age_ms: int, silence_ms: int = 0
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions at which a stream of at most this age can have begun.

        A router that was not heard for `silence_ms` may have begun it by proportions that were
        replaced since then.  Return `None` if it is not known which proportions were in force.
        """
        steps, span_ms = self.steps(service), max_age_ms + silence_ms
        if span_ms > STEP_TTL_MS and steps and steps[0].age_ms < span_ms:
            return None
        return possible_versions(steps, key, span_ms)

    def max_age_ms(self, service: ServiceId, timeout_ms: int, left_ms: int) -> int:
        """Return how long ago a stream that a caller resumes began at most.

        Without a bound it may be as old as any caller's.
        """
        found = self.deadlines.max_age_ms(service, timeout_ms, left_ms)
        return MAX_DEADLINE_MS if found is None else found

    def next_report(
        self, service: ServiceId, counts: Mapping[SoftwareVersion, int]
    ) -> ReleaseReport | None:
        """Return the row to write for the replicas of each version, `None` if all is right."""
        steps = self.next_row(service, counts)
        if steps is None:
            return None
        deadline = self.deadlines.longest(service)
        return ReleaseReport(service, self.row_version(service), steps, deadline=deadline)

    def next_row(
        self, service: ServiceId, counts: Mapping[SoftwareVersion, int]
    ) -> tuple[ReleaseStep, ...] | None:
        """Return the steps to write for the replicas of each version, `None` if all is right."""
        steps = self.steps(service)
        weights = _weights(counts)
        if not weights or (steps and steps[-1].weights == weights):
            return None
        return bound_steps((*steps_since(steps, STEP_TTL_MS), ReleaseStep(0, weights)))


def _weights(counts: Mapping[SoftwareVersion, int]) -> tuple[VersionWeight, ...]:
    """Return the proportions of versions; of a single one, its number does not matter."""
    if len(counts) == 1:
        return (VersionWeight(next(iter(counts)), 1),)
    return tuple(VersionWeight(version, count) for version, count in sorted(counts.items()))


def encode_report(report: ReleaseReport, now_ms: int) -> bytes:
    """Return the data of a service's row; times are those of the store's clock."""
    return encode_release_row(ReleaseRow(report.steps, report.deadline), now_ms)


def decode_report(
    service: ServiceId, row_version: int, data: bytes, now_ms: int, era: Era
) -> ReleaseReport:
    """Return a service's row that was read in an era, without steps if it is invalid."""
    row = decode_release_row(data, now_ms)
    return ReleaseReport(service, row_version, row.steps, era, row.deadline)


def encode_release_row(row: ReleaseRow, now_ms: int) -> bytes:
    """Return the data of a row; times are those of the store's clock."""
    steps = [
        {
            "since_ms": now_ms - step.age_ms,
            "replicas": {item.version: item.weight for item in step.weights},
        }
        for step in row.steps
    ]
    value: dict[str, Any] = {"steps": steps}
    if row.deadline is not None:
        value["deadline_ms"] = row.deadline.span_ms
        value["deadline_named_ms"] = now_ms - row.deadline.age_ms
    return json.dumps(value, separators=(",", ":")).encode()


def decode_release_row(data: bytes, now_ms: int) -> ReleaseRow:
    """Return the data of a row, without steps if it is invalid."""
    try:
        value = parse_json(data)
        return ReleaseRow(_decode_steps(value, now_ms), _decode_deadline(value, now_ms))
    except (ValueError, TypeError, KeyError, AttributeError):
        return ReleaseRow()


def _decode_deadline(value: dict[str, Any], now_ms: int) -> LongestDeadline | None:
    """Return the longest deadline in a row, `None` without one; raise `ValueError`."""
    if "deadline_ms" not in value:
        return None
    named_ms = checked_integer(value.get("deadline_named_ms"))
    return LongestDeadline(checked_integer(value["deadline_ms"]), max(0, now_ms - named_ms))


def _decode_steps(value: dict[str, Any], now_ms: int) -> tuple[ReleaseStep, ...]:
    """Return the steps in a row; raise `ValueError` and others if they are invalid."""
    return bound_steps(
        tuple(
            ReleaseStep(
                max(0, now_ms - checked_integer(row["since_ms"])),
                tuple(
                    VersionWeight(SoftwareVersion(checked_text(version)), checked_integer(count))
                    for version, count in sorted(row["replicas"].items())
                ),
            )
            for row in checked_list(value["steps"])
        )
    )
