"""Tell which streams a router completed behind an early end that nothing it knew spoke against.

An end in order between two events looks the same to a router whether the stream is whole or not.
One without another run that tells may be believed, unless an early end of its software was seen.
Nor can it tell two runs of one answer that both end early, in order and right behind the same event
from two that are whole.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from soak.lost_answers import BROKEN_OFF, parse_line
from soak.stream_checker import ReplicaRun, SentCall, Try
from standins.stream_replica import UNFRAMED
from standins.stream_wire import Ending

# A router must doubt an end if an early end of the software came so long before the request, or
# later.
DOUBT_MS = 2500
# A router that is not held up waits for so long at least for another run.
CONFIRMATION_MS = 1000
# It completes a stream so soon after that.
REACTION_MS = 300
FRAMINGS = {framing.value for framing in UNFRAMED}
EVENTS = ("start", "early_end", "request")


class Proof(Enum):
    """What a router took for the proof of an end that may have been early, as it logs it."""

    BELIEVED = "no_early_end"
    SECOND_RUN = "second_run"


# How many runs of a try must have ended early at its last event.
RUNS_NEEDED = {Proof.BELIEVED: 1, Proof.SECOND_RUN: 2}
PROOFS = {proof.value: proof for proof in Proof}


@dataclass
class RouterLog:
    """The early ends that a router's process has logged so far, by software."""

    early_ends_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def is_doubted(self, software: Iterable[str], since_ms: int) -> bool:
        """Return whether an early end of some software speaks against a request's answer."""
        moments = [ms for item in software for ms in self.early_ends_ms[item]]
        return any(ms >= since_ms - DOUBT_MS for ms in moments)


def find_believed(lines: Iterable[str], runs: Iterable[ReplicaRun]) -> dict[str, Proof]:
    """Return the tries completed by such a proof with no early end against it, and the proof."""
    # By replica, and by try.
    software: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        software[run.replica].add(run.software)
        software[run.attempt].add(run.software)
    logs: dict[str, RouterLog] = {}
    found: dict[str, Proof] = {}
    for line in lines:
        fields = _parse(line)
        node = fields.get("node", "")
        if fields.get("event") == "start":
            # Its clock begins anew.
            logs[node] = RouterLog()
        log = logs.setdefault(node, RouterLog())
        if fields.get("event") == "early_end":
            # Without a version, one of any software that the replica ever ran.
            version = fields.get("version")
            for item in (version,) if version else software[fields["upstream"]]:
                log.early_ends_ms[item].append(fields["ms"])
        elif fields.get("end_proof") in PROOFS and not _was_doubted(fields, log, software):
            found[fields["id"]] = PROOFS[fields["end_proof"]]
    return found


def _parse(line: str) -> dict[str, Any]:
    """Return the fields of a line that matters, none of another or of one that was cut off."""
    if not any(f'"{event}"' in line for event in EVENTS):
        return {}
    return parse_line(line)


def _was_doubted(
    fields: Mapping[str, Any], log: RouterLog, software: Mapping[str, set[str]]
) -> bool:
    """Return whether an answer was to be doubted by what its router had logged of its software."""
    versions = software.get(fields["id"], set())
    return log.is_doubted(versions, fields["ms"] - fields["ms_taken"])


def mark_believed(
    calls: Iterable[SentCall], runs: Iterable[ReplicaRun], believed: Mapping[str, Proof]
) -> Counter[Proof]:
    """Mark the tries that were completed so behind an early end; return how many by each proof."""
    by_attempt: dict[str, list[ReplicaRun]] = defaultdict(list)
    for run in runs:
        by_attempt[run.attempt].append(run)
    marked: Counter[Proof] = Counter()
    for item in (item for call in calls for item in call.tries):
        proof = believed.get(item.attempt)
        ends = _count_ends(item, by_attempt[item.attempt])
        item.end_believed = proof is not None and ends >= RUNS_NEEDED[proof]
        if item.end_believed:
            marked[proof] += 1
    return marked


def _count_ends(item: Try, runs: list[ReplicaRun]) -> int:
    """Return how many runs ended early where a try did, and no other one spoke against."""
    return sum(
        _looks_whole(run, item.last_event)
        and not any(_speaks_against(other, run, item) for other in runs)
        for run in runs
    )


def _looks_whole(run: ReplicaRun, last_event: int | None) -> bool:
    """Return whether a replica ended a run without a length in order and early, behind an event."""
    if run.ended != Ending.ORDERLY.value or run.framing not in FRAMINGS:
        return False
    return run.last_sent == last_event and run.last_sent >= run.first


def _speaks_against(other: ReplicaRun, run: ReplicaRun, item: Try) -> bool:
    """Return whether a later run broke off in time, and its router completed the try upon that."""
    if other.ended not in BROKEN_OFF or _looks_whole(other, item.last_event):
        return False
    is_in_time = run.ended_ms <= other.ended_ms < run.ended_ms + CONFIRMATION_MS
    return is_in_time and other.ended_ms <= item.ended_ms < other.ended_ms + REACTION_MS
