"""Requests, and parts of prompts, that may crash upstreams: the evidence and what follows from it.

A request is identified by its fingerprint, a hash of method, path, workspace and body.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.crashes.crash_evidence import CRASH_TTL_MS, CrashEvidence
from skylarklift.entry.crashes.crash_messages import CrashMessage, ServedReport
from skylarklift.entry.crashes.crash_records import CrashReport, Suspect, SuspectKind, suspects_of
from skylarklift.entry.crashes.quarantine import Hold, HoldState, Quarantine
from skylarklift.entry.model import Call
from skylarklift.entry.placement.prefixes import shared_parts
from skylarklift.hashing import body_fingerprint
from skylarklift.ids import Fingerprint, ReplicaId

# The requests that a crash breaks off end one by one, at several routers, so parts are judged this
# long after a report.
JUDGEMENT_DELAY_MS = 100
# In a large fleet, each router passes on what it has heard within this time, so that all hear of
# a crash although each sends to a few others at a time.
RELAY_MS = 600
# A part is reported as served again after this time at the earliest.
SERVED_REPORT_INTERVAL_MS = 500
MAX_SHARED_REPORTS = 1000
QUARANTINED = "quarantined"
QUARANTINE_ON_TRIAL = "quarantine_on_trial"
QUARANTINE_EXTENDED = "quarantine_extended"
QUARANTINE_RELEASED = "quarantine_released"
QUARANTINE_EXPIRED = "quarantine_expired"
MAX_PARTS_PER_REPORT = 32
# Longer names are not suspected, so that messages stay small.
MAX_PART_NAME_CHARS = 64


@dataclass(frozen=True, slots=True)
class HoldChange:
    """A change of what is held back, as written to the log."""

    event: str
    hold: Hold


@dataclass(frozen=True, slots=True)
class SharedItem:
    """A report for other routers, when it was learned, and whether it is this router's own."""

    learned_at: Millis
    report: CrashReport | ServedReport
    own: bool


class CrashSuspects:
    """Evidence of crashes, the holds that follow from it, and the messages about both."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._evidence = CrashEvidence(clock)
        self._quarantine = Quarantine(clock)
        self._shared: deque[SharedItem] = deque(maxlen=MAX_SHARED_REPORTS)
        self._served_reported: dict[Suspect, Millis] = {}

    # What this router sees.

    def record_own_crash(self, report: CrashReport) -> list[HoldChange]:
        """Record a crash that this router saw, and share it; return what is held back by it."""
        if self._evidence.is_known(report):
            return []
        self._shared.append(SharedItem(self._clock.now(), report, own=True))
        self._share_parts_served(report)
        return self._record_crash(report)

    def _record_crash(self, report: CrashReport) -> list[HoldChange]:
        """Record a crash; return the holds that it brings about at once or extends."""
        held = [hold for item in report.suspects() if (hold := self._quarantine.find([item]))]
        # A request that is held back does not explain its crashes: a part of its prompt may.
        parts = [hold.suspect for hold in held if hold.suspect.kind is SuspectKind.PART]
        convicted = self._evidence.record_crash(report, parts)
        known = [hold.suspect for hold in held]
        changes = [self._hold(suspect) for suspect in convicted if suspect not in known]
        for hold in held:
            if report.crashed_at >= hold.until and self._quarantine.is_on_trial(hold):
                longer = self._quarantine.hold(hold.suspect, hold.crashes + 1)
                changes.append(HoldChange(QUARANTINE_EXTENDED, longer))
        return changes

    def judge(self) -> list[HoldChange]:
        """Hold back the parts with enough evidence; release those that are cleared by that."""
        judgement = self._evidence.judge()
        # Another router may have come to the same judgement, and its decision arrived first.
        new = [item for item in judgement.convicted if self._quarantine.find([item]) is None]
        changes = [self._hold(suspect) for suspect in new]
        for suspect in judgement.acquitted:
            released = self._quarantine.release(suspect)
            if released is not None:
                changes.append(HoldChange(QUARANTINE_RELEASED, released))
        for suspect in judgement.doubted:
            if self._quarantine.find([suspect]) is None:
                hold = self._quarantine.put_on_trial(suspect, self._evidence.crash_total(suspect))
                changes.append(HoldChange(QUARANTINE_ON_TRIAL, hold))
        return changes

    def has_unjudged(self) -> bool:
        """Return whether there are suspects that have yet to be judged."""
        return self._evidence.has_unjudged()

    def _hold(self, suspect: Suspect) -> HoldChange:
        """Hold a suspect back."""
        hold = self._quarantine.hold(suspect, self._evidence.crash_total(suspect))
        return HoldChange(QUARANTINED, hold)

    def record_served(self, suspects: Iterable[Suspect]) -> list[HoldChange]:
        """Record that a request was served, whose upstream it has not crashed.

        Return the holds that end by it.
        """
        now = self._clock.now()
        changes = []
        for suspect in suspects:
            was_suspect = self._evidence.record_served(suspect, now)
            hold = self._quarantine.release(suspect)
            if hold is not None:
                changes.append(HoldChange(QUARANTINE_RELEASED, hold))
            if was_suspect or hold is not None:
                self._share_served(suspect, now)
        return changes

    def _share_served(self, suspect: Suspect, served_at: Millis, *, own: bool = True) -> None:
        """Share that a suspect was served, unless that was shared lately."""
        reported_at = self._served_reported.get(suspect)
        if reported_at is not None and served_at - reported_at < SERVED_REPORT_INTERVAL_MS:
            return
        self._served_reported.pop(suspect, None)
        self._served_reported[suspect] = served_at
        while len(self._served_reported) > MAX_SHARED_REPORTS:
            del self._served_reported[next(iter(self._served_reported))]
        report = ServedReport(suspect, served_at)
        self._shared.append(SharedItem(self._clock.now(), report, own))

    # What is held back.

    def may_be_convicted(self, suspects: Iterable[Suspect]) -> bool:
        """Return whether one of the suspects may be convicted by the crash reported last."""
        return any(self._evidence.may_be_convicted(suspect) for suspect in suspects)

    def replicas_crashed(self, fingerprint: Fingerprint) -> frozenset[ReplicaId]:
        """Return the replicas that crashed while a request ran, which was not served since."""
        if not self._evidence.suspect_count():
            return frozenset()
        requests = suspects_of(fingerprint, ())
        return frozenset().union(*map(self._evidence.replicas_crashed, requests))

    def is_on_trial(self, hold: Hold) -> bool:
        """Return whether a single request decides whether a hold goes on."""
        return self._quarantine.is_on_trial(hold)

    def find_hold(self, suspects: Iterable[Suspect]) -> Hold | None:
        """Return a hold on one of the suspects, `None` if none is held back."""
        return self._quarantine.find(suspects)

    def start_trial(self, hold: Hold, rank: int) -> bool:
        """Return whether a request that is held back may be let through as a trial."""
        return self._quarantine.start_trial(hold, rank)

    def held(self) -> list[Hold]:
        """Return the holds that are in force."""
        return self._quarantine.held()

    def suspect_count(self) -> int:
        """Return how many requests and parts are suspected."""
        return self._evidence.suspect_count()

    def expire(self) -> list[HoldChange]:
        """Drop what is too old; return the holds that ended without a trial."""
        limit = self._clock.now() - CRASH_TTL_MS
        while self._shared and self._shared[0].learned_at < limit:
            self._shared.popleft()
        return [HoldChange(QUARANTINE_EXPIRED, hold) for hold in self._quarantine.expire()]

    # Messages.

    def make_message(
        self, node: str, since: Millis, *, relay: bool, with_holds: bool
    ) -> CrashMessage | None:
        """Return the message to another router with what was learned since a time.

        A router that has just started, for which `since` is 0, is sent all that is known.  With
        `relay`, others are also sent what this router has heard, but nothing older than
        `RELAY_MS`.  With `with_holds`, all decisions are included, else those since then.
        Return `None` if there is nothing to send.
        """
        relay = relay or since == 0
        first = max(since, self._clock.now() - RELAY_MS) if relay and since > 0 else since
        items = [item for item in self._shared if item.learned_at >= first and (item.own or relay)]
        decisions = [
            hold for hold in self._quarantine.decisions() if with_holds or hold.learned_at >= since
        ]
        if not items and not decisions:
            return None
        return CrashMessage(
            node=node,
            crashes=tuple(item.report for item in items if isinstance(item.report, CrashReport)),
            served=tuple(item.report for item in items if isinstance(item.report, ServedReport)),
            decisions=tuple(decisions),
        )

    def has_changes_since(self, since: Millis) -> bool:
        """Return whether anything was learned since a time."""
        if self._shared and self._shared[-1].learned_at >= since:
            return True
        return any(hold.learned_at >= since for hold in self._quarantine.decisions())

    def apply_message(self, message: CrashMessage) -> list[HoldChange]:
        """Apply another router's message; return the changes of what is held back."""
        changes = []
        for report in message.served:
            changes += self._apply_served(report)
        for hold in message.decisions:
            if self._quarantine.apply_reported(hold):
                changes.append(HoldChange(self._event_of(hold), hold))
        for report in message.crashes:
            if not self._evidence.is_known(report):
                self._shared.append(SharedItem(self._clock.now(), report, own=False))
                changes += self._record_crash(report)
                self._share_parts_served(report)
        return changes

    def _event_of(self, hold: Hold) -> str:
        """Return the event by which another router's decision is written to the log."""
        if hold.state is HoldState.RELEASED:
            return QUARANTINE_RELEASED
        return QUARANTINE_ON_TRIAL if self._quarantine.is_on_trial(hold) else QUARANTINED

    def _apply_served(self, report: ServedReport) -> list[HoldChange]:
        """Apply another router's report that a suspect was served."""
        self._evidence.record_served(report.suspect, report.served_at)
        self._share_served(report.suspect, report.served_at, own=False)
        hold = self._quarantine.find([report.suspect])
        if hold is None or report.served_at < hold.held_at:
            return []
        released = self._quarantine.release(report.suspect)
        return [HoldChange(QUARANTINE_RELEASED, released)] if released else []

    def _share_parts_served(self, report: CrashReport) -> None:
        """Share which parts in a report this router has served lately."""
        for suspect in report.suspects():
            served_at = self._evidence.last_served(suspect)
            if served_at is not None:
                self._share_served(suspect, served_at)


def suspects_of_call(call: Call, fingerprint: Fingerprint) -> list[Suspect]:
    """Return a request and the shared parts of its prompt as suspects."""
    return suspects_of(fingerprint, suspect_parts(call))


def suspect_parts(call: Call) -> tuple[str, ...]:
    """Return the names of the parts that others share, of a prompt that has several parts."""
    if len(call.parts) < 2:
        return ()
    names = (part.name for part in shared_parts(call.parts)[:MAX_PARTS_PER_REPORT])
    return tuple(name for name in names if len(name) <= MAX_PART_NAME_CHARS)


def call_fingerprint(method: bytes, target: bytes, workspace: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request."""
    return body_fingerprint(workspace, b"\0".join((method, target, body)))
