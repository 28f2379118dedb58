"""Tell which tries break the rule LOST: cut off though a router had passed them on, without I/O."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from fractions import Fraction
from typing import Any

from soak.stream_checker import STATUS_OK, Kind, ReplicaRun, SentCall, Try, TryEnd
from soak.stream_records import ROUTER_START, ROUTER_STOP
from standins.stream_wire import Ending

# A request sent up to so long after SIGTERM may be cut in the last sixth of the grace period, if
# its replica is still at work then.
LATE_REQUEST_MS = 3000
UNBOUND_GRACE = Fraction(5, 6)
KILLED = "killed"
WHOLE = "whole"
BROKEN_OFF = {ending.value for ending in Ending}
CUT_ENDS = (TryEnd.CUT, TryEnd.RESET)
# Fields of a router's line on a request that tell why it ended it.
SHOWN_FIELDS = (
    "status",
    "sends",
    "last_event",
    "end_proof",
    "doubt",
    "no_retry",
    "error",
    "outcome",
)
FAILED_EVENT = "request_failed"


class Fate(Enum):
    """What became of a try; only the last one breaks the rule."""

    ANSWERED = "answered"
    FAILED = "answered with a failure after a run"
    NOT_RUN = "not run"
    LEFT = "left by the caller"
    REPLICA_ENDED = "broken off by its replica"
    TIME_USED = "out of time"
    GRACE_USED = "at work at the end of the grace period"
    UNREAD = "unread by a slow caller at the end of the grace period"
    LOST = "lost"


@dataclass(frozen=True)
class RouterStop:
    """A SIGTERM of a router, and when its next process was started, if it was."""

    router: str
    at_ms: int
    next_start_ms: float = float("inf")


@dataclass(frozen=True)
class Bounds:
    """The limits of a run: the grace period, and the timeouts of the routes.

    If `replicas_live`, no replica's process ends, so that a run without a logged end goes on.
    """

    grace_ms: int
    timeouts_ms: Mapping[Kind, int]
    replicas_live: bool = True


@dataclass
class LostSummary:
    """How many tries had which fate, and how many were cut off although their run was whole."""

    fates: Counter[Fate] = field(default_factory=Counter)
    cut_whole: int = 0

    def describe(self) -> str:
        """Return the counts as text."""
        cut = [fate for fate in Fate if fate not in (Fate.ANSWERED, Fate.NOT_RUN, Fate.LEFT)]
        counts = ", ".join(f"{fate.value} {self.fates[fate]}" for fate in cut)
        return f"tries {counts}; whole runs cut off {self.cut_whole}"


class LostJudge:
    """Decide the fate of each try, by the logs of replicas and of the run."""

    def __init__(
        self, runs: Iterable[ReplicaRun], stops: Iterable[RouterStop], bounds: Bounds
    ) -> None:
        self._runs: dict[str, list[ReplicaRun]] = defaultdict(list)
        for run in runs:
            self._runs[run.attempt].append(run)
        self._stops = sorted(stops, key=lambda stop: stop.at_ms)
        self._bounds = bounds
        self.summary = LostSummary()

    def count(self, call: SentCall) -> list[Try]:
        """Count the tries of a request, and return those that break the rule."""
        fates = [(item, self.decide(call.kind, item)) for item in call.tries]
        self.summary.fates.update(fate for _, fate in fates)
        self.summary.cut_whole += sum(self._is_cut_whole(item) for item in call.tries)
        return [item for item, fate in fates if fate is Fate.LOST]

    def decide(self, kind: Kind, item: Try) -> Fate:
        """Return the fate of a try."""
        if item.end is TryEnd.LEFT:
            return Fate.LEFT
        runs = self._runs[item.attempt]
        if not runs:
            return Fate.NOT_RUN
        if item.end not in CUT_ENDS:
            return Fate.ANSWERED if item.status == STATUS_OK else Fate.FAILED
        if any(self._broke_off(run) for run in runs):
            return Fate.REPLICA_ENDED
        if self._is_time_used(kind, item):
            return Fate.TIME_USED
        if not self._is_cut_by_grace(item):
            return Fate.LOST
        if self._is_at_work_until(self._grace_end_ms(item), runs):
            return Fate.GRACE_USED
        if not item.reads_slowly or item.status != STATUS_OK:
            return Fate.LOST
        return Fate.LOST if self._was_read(item, runs) else Fate.UNREAD

    def find_stop_age_ms(self, item: Try) -> int | None:
        """Return how long after a SIGTERM of its router a try ended, `None` without one."""
        stop = self._find_stop(item)
        return None if stop is None else item.ended_ms - stop.at_ms

    def _is_cut_whole(self, item: Try) -> bool:
        """Return whether a replica sent all of an answer that did not reach the caller whole."""
        runs = self._runs[item.attempt]
        return item.end in CUT_ENDS and any(run.ended == WHOLE for run in runs)

    def _broke_off(self, run: ReplicaRun) -> bool:
        """Return whether the replica ended a run early."""
        if run.ended == KILLED:
            return not self._bounds.replicas_live
        return run.ended in BROKEN_OFF

    def _is_time_used(self, kind: Kind, item: Try) -> bool:
        """Return whether a try went on until its deadline or the timeout of its route."""
        limit_ms = item.started_ms + self._bounds.timeouts_ms[kind]
        if item.deadline_ms is not None:
            limit_ms = min(limit_ms, item.deadline_ms)
        return item.ended_ms >= limit_ms

    def _is_cut_by_grace(self, item: Try) -> bool:
        """Return whether a try that came in time was cut as a grace period ran out."""
        stop = self._find_stop(item)
        if stop is None or item.started_ms > stop.at_ms + LATE_REQUEST_MS:
            return False
        return item.ended_ms >= self._grace_end_ms(item)

    def _grace_end_ms(self, item: Try) -> Fraction:
        """Return from when on the grace period of the stop that met a try counts as used."""
        return self._find_stop(item).at_ms + UNBOUND_GRACE * self._bounds.grace_ms

    @staticmethod
    def _is_at_work_until(moment_ms: Fraction, runs: list[ReplicaRun]) -> bool:
        """Return whether a replica was still at work at a moment."""
        return any(run.ended_ms is None or run.ended_ms >= moment_ms for run in runs)

    def _was_read(self, item: Try, runs: list[ReplicaRun]) -> bool:
        """Return whether the caller had all events of a whole run before a grace period ran out.

        Only the end of the answer was left to send then.
        """
        if item.progress_ms >= self._grace_end_ms(item):
            return False
        return any(run.ended == WHOLE and run.last_sent == item.last_event for run in runs)

    def _find_stop(self, item: Try) -> RouterStop | None:
        """Return the stop of the process that had a try, if it came before the try ended."""
        for stop in self._stops:
            if stop.router == item.router and item.started_ms < stop.next_start_ms:
                return stop if stop.at_ms <= item.ended_ms else None
        return None


def describe_lost(item: Try, reports: Mapping[str, str], stop_age_ms: int | None = None) -> str:
    """Return a lost try as text, with the time after a SIGTERM, and what its router logged."""
    report = reports.get(item.attempt, "no failure")
    stop = "" if stop_age_ms is None else f", {stop_age_ms} ms after a SIGTERM"
    return (
        f"LOST {item.attempt}: {item.end.value} after event {item.last_event}, status "
        f"{item.status}{stop}; {item.router} logged {report}"
    )


def parse_stops(lines: Iterable[str]) -> list[RouterStop]:
    """Return the first SIGTERM of each process of a router, from the lines of a run's log."""
    stops: list[RouterStop] = []
    open_stops: dict[str, RouterStop] = {}
    for line in lines:
        fields = json.loads(line)
        if fields["event"] == ROUTER_STOP:
            open_stops.setdefault(fields["node"], RouterStop(fields["node"], fields["at_ms"]))
        elif fields["event"] == ROUTER_START and fields["node"] in open_stops:
            stop = open_stops.pop(fields["node"])
            stops.append(RouterStop(stop.router, stop.at_ms, fields["at_ms"]))
    return stops + list(open_stops.values())


def parse_reports(lines: Iterable[str]) -> dict[str, str]:
    """Return what routers logged of the requests that they did not complete, by their ids."""
    reports = {}
    for line in lines:
        if f'"{FAILED_EVENT}"' in line:
            fields = parse_line(line)
            shown = {name: fields[name] for name in SHOWN_FIELDS if fields.get(name) is not None}
            reports[fields.get("id", "")] = f"{FAILED_EVENT} {json.dumps(shown)}"
    return reports


def parse_line(line: str) -> dict[str, Any]:
    """Return the fields of a line, none if its router was killed as it wrote it."""
    try:
        return json.loads(line)
    except ValueError:
        return {}
