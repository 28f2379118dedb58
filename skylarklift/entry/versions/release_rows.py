"""A service's row on software versions: what it holds, and how it is written in the store."""

import json
from dataclasses import dataclass
from typing import Any

from skylarklift.entry.gossip.silences import MAX_REPORTED_SILENCES, SilenceReport
from skylarklift.entry.state.rows import FIRST_ERA, NO_ERA, Era
from skylarklift.entry.versions.nominal_starts import MAX_SPANS, RouteSpan
from skylarklift.entry.versions.release_members import (
    MAX_NAMED_VERSIONS,
    MAX_PROCESSES,
    MembersDigest,
    ProcessName,
    VersionProcesses,
)
from skylarklift.entry.versions.release_steps import (
    ReleaseStep,
    VersionWeight,
    bound_steps,
    encodable_steps,
    read_step,
)
from skylarklift.entry.versions.stream_deadlines import MAX_DEADLINES, LongestDeadline
from skylarklift.ids import ServiceId, SoftwareVersion
from skylarklift.util.bounded import checked_integer, checked_list, checked_text, parse_json


@dataclass(frozen=True, slots=True)
class ReleaseReport:
    """A service's row as a router knows it: its version and its steps, the oldest first.

    `deadline` is the longest that callers of the service have named, `None` if none is known;
    `shorter_deadlines` are those that were named later and count for longer.  `era` is that in
    which the row was read, `written_in` the one that its writer knew, `None` if it was a router of
    an earlier release.  `silences` are those in which the proportions changed, and
    `members` the processes for which it was written, `None` if it was not read from the store.
    `spans` are those of routes whose streams get their versions by nominal starts.  `processes` are
    some of each version as it was written, none if it was not read from the store, or written by a
    router of an earlier release.
    """

    service: ServiceId
    row_version: int
    steps: tuple[ReleaseStep, ...]
    era: Era = NO_ERA
    deadline: LongestDeadline | None = None
    written_in: Era | None = None
    shorter_deadlines: tuple[LongestDeadline, ...] = ()
    silences: tuple[SilenceReport, ...] = ()
    members: MembersDigest | None = None
    spans: tuple[RouteSpan, ...] = ()
    processes: tuple[VersionProcesses, ...] = ()

    def deadlines(self) -> tuple[LongestDeadline, ...]:
        """Return all deadlines."""
        return () if self.deadline is None else (self.deadline, *self.shorter_deadlines)

    def is_newer_than(self, other: "ReleaseReport") -> bool:
        """Return whether the store accepted this row after the other one."""
        return (self.era, self.row_version) > (other.era, other.row_version)

    def has_more_than(self, other: "ReleaseReport") -> bool:
        """Return whether this is the same row as the other one, with more of its fields."""
        if (self.era, self.row_version) != (other.era, other.row_version):
            return False
        return self._fields_present() > other._fields_present()

    def _fields_present(self) -> int:
        """Return how many fields are there that not every report of the row has."""
        fields = (self.written_in is not None, self.members is not None, self.spans, self.processes)
        return sum(map(bool, fields))

    def may_be_of_copy(self) -> bool:
        """Return whether the store may have lost later rows since this one was written."""
        return self.era > FIRST_ERA and self.written_in != self.era


@dataclass(frozen=True, slots=True)
class ReleaseRow:
    """The data of a service's row."""

    steps: tuple[ReleaseStep, ...] = ()
    deadline: LongestDeadline | None = None
    written_in: Era | None = None
    shorter_deadlines: tuple[LongestDeadline, ...] = ()
    silences: tuple[SilenceReport, ...] = ()
    members: MembersDigest | None = None
    spans: tuple[RouteSpan, ...] = ()
    processes: tuple[VersionProcesses, ...] = ()


def encode_report(report: ReleaseReport, now_ms: int) -> bytes:
    """Return the data of a service's row; times are those of the store's clock."""
    row = ReleaseRow(
        report.steps,
        report.deadline,
        report.written_in,
        report.shorter_deadlines,
        report.silences,
        report.members,
        report.spans,
        report.processes,
    )
    return encode_release_row(row, now_ms)


def decode_report(
    service: ServiceId, row_version: int, data: bytes, now_ms: int, era: Era
) -> ReleaseReport:
    """Return a service's row that was read in an era, without steps if it is invalid."""
    row = decode_release_row(data, now_ms)
    return ReleaseReport(
        service,
        row_version,
        row.steps,
        era,
        row.deadline,
        row.written_in,
        row.shorter_deadlines,
        row.silences,
        row.members,
        row.spans,
        row.processes,
    )


def encode_release_row(row: ReleaseRow, now_ms: int) -> bytes:
    """Return the data of a row; times are those of the store's clock."""
    steps = [_encode_step(step, now_ms) for step in encodable_steps(row.steps)]
    value: dict[str, Any] = {"steps": steps}
    if row.written_in is not None:
        value["era"] = row.written_in
    if row.members is not None:
        value["members"] = row.members
    if row.deadline is not None:
        value["deadline_ms"] = row.deadline.span_ms
        value["deadline_named_ms"] = now_ms - row.deadline.age_ms
    if row.shorter_deadlines:
        value["shorter_deadlines"] = [
            {"span_ms": item.span_ms, "named_ms": now_ms - item.age_ms}
            for item in row.shorter_deadlines
        ]
    if row.silences:
        value["silences"] = [
            {"began_ms": now_ms - item.began_ms, "ended_ms": now_ms - item.ended_ms}
            for item in row.silences
        ]
    if row.spans:
        value["spans"] = [_encode_span(span, now_ms) for span in row.spans]
    if row.processes:
        value["processes"] = {item.version: item.names for item in row.processes}
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_step(step: ReleaseStep, now_ms: int) -> dict[str, Any]:
    """Return a step as a row has it."""
    value: dict[str, Any] = {
        "since_ms": now_ms - step.age_ms if step.stored_ms is None else step.stored_ms,
        "replicas": {item.version: item.weight for item in step.weights},
    }
    if step.from_ms is not None:
        value["from_ms"] = now_ms - step.from_ms
    if step.settled_ms is not None:
        value["settled_ms"] = now_ms - step.settled_ms
    return value


def _encode_span(span: RouteSpan, now_ms: int) -> dict[str, Any]:
    """Return a route's span as a row has it."""
    value: dict[str, Any] = {"route": span.route, "span_ms": span.span_ms}
    if span.settled_ms is not None:
        value["settled_ms"] = now_ms - span.settled_ms
    return value


def decode_release_row(data: bytes, now_ms: int) -> ReleaseRow:
    """Return the data of a row, without steps if it is invalid."""
    try:
        value = parse_json(data)
        written_in = Era(checked_integer(value["era"])) if "era" in value else None
        members = MembersDigest(checked_text(value["members"])) if "members" in value else None
        steps, deadline = _decode_steps(value, now_ms), _decode_deadline(value, now_ms)
        shorter = tuple(
            _make_deadline(item["span_ms"], item["named_ms"], now_ms)
            for item in checked_list(value.get("shorter_deadlines", []))[:MAX_DEADLINES]
        )
        silences = tuple(
            _make_silence(item["began_ms"], item["ended_ms"], now_ms)
            for item in checked_list(value.get("silences", []))[:MAX_REPORTED_SILENCES]
        )
        spans = tuple(
            _decode_span(item, now_ms) for item in checked_list(value.get("spans", []))[:MAX_SPANS]
        )
        processes = _decode_processes(value.get("processes", {}))
        return ReleaseRow(steps, deadline, written_in, shorter, silences, members, spans, processes)
    except (ValueError, TypeError, KeyError, AttributeError):
        return ReleaseRow()


def _decode_processes(value: dict[str, Any]) -> tuple[VersionProcesses, ...]:
    """Return the processes in a row; raise `ValueError` and others if they are invalid."""
    return tuple(
        VersionProcesses(
            SoftwareVersion(checked_text(version)),
            tuple(ProcessName(checked_text(name)) for name in checked_list(names)[:MAX_PROCESSES]),
        )
        for version, names in sorted(value.items())[:MAX_NAMED_VERSIONS]
    )


def _optional_age(value: dict[str, Any], key: str, now_ms: int) -> int | None:
    """Return how long ago a moment in a row was, `None` without one; raise `ValueError`."""
    return now_ms - checked_integer(value[key]) if key in value else None


def _decode_span(value: dict[str, Any], now_ms: int) -> RouteSpan:
    """Return a route's span in a row; raise `ValueError`."""
    settled_ms = _optional_age(value, "settled_ms", now_ms)
    return RouteSpan(checked_text(value["route"]), checked_integer(value["span_ms"]), settled_ms)


def _decode_deadline(value: dict[str, Any], now_ms: int) -> LongestDeadline | None:
    """Return the longest deadline in a row, `None` without one; raise `ValueError`."""
    if "deadline_ms" not in value:
        return None
    return _make_deadline(value["deadline_ms"], value.get("deadline_named_ms"), now_ms)


def _make_deadline(span_ms: Any, named_ms: Any, now_ms: int) -> LongestDeadline:
    """Return a deadline in a row; raise `ValueError`."""
    return LongestDeadline(checked_integer(span_ms), max(0, now_ms - checked_integer(named_ms)))


def _make_silence(began_ms: Any, ended_ms: Any, now_ms: int) -> SilenceReport:
    """Return a silence in a row; raise `ValueError`."""
    return SilenceReport(now_ms - checked_integer(began_ms), now_ms - checked_integer(ended_ms))


def _decode_steps(value: dict[str, Any], now_ms: int) -> tuple[ReleaseStep, ...]:
    """Return the steps in a row; raise `ValueError` and others if they are invalid."""
    return bound_steps(
        tuple(
            read_step(
                max(0, now_ms - checked_integer(row["since_ms"])),
                tuple(
                    VersionWeight(SoftwareVersion(checked_text(version)), checked_integer(count))
                    for version, count in sorted(row["replicas"].items())
                ),
                _optional_age(row, "from_ms", now_ms),
                _optional_age(row, "settled_ms", now_ms),
                checked_integer(row["since_ms"]),
            )
            for row in checked_list(value["steps"])
        )
    )
