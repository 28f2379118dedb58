"""Find out which requests, or which parts of prompts, crash the upstreams that run them.

A crash breaks off all requests that run on the upstream, most of which have nothing to do with
it.  A request or a shared part of a prompt is convicted when it was about to be answered at
several crashes and has not been served since the first of them.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.ids import Fingerprint, ReplicaId

CRASHES_TO_CONVICT = 3
# A part that was served within `SERVED_TTL_MS` is convicted only after this many crashes, which
# also convict a part that one replica alone ran.
CRASHES_TO_CONVICT_SERVED = 5
# The weight of a crash at which a suspect was only in requests that had been answered for a while.
ANSWERED_WEIGHT = 0.5
CRASH_TTL_MS = 60_000
SERVED_TTL_MS = 300_000
# A part that was served within this time did not cause a crash.
RECENTLY_SERVED_MS = 1500
# Reports of one replica's crash by several routers differ by less than this.  A replica needs
# longer to start again.
SAME_CRASH_MS = 1500
# Crashes of several replicas within this time count once: they have another cause, such as a
# loss of power.
SIMULTANEOUS_MS = 50
# Reports of a crash by other routers may come this long after the first one.
LATE_REPORT_MS = 600
MAX_SUSPECTS = 2000
MAX_SERVED_PARTS = 4000
MAX_RECENT_REPORTS = 2000
MAX_CONVICTED = 64


class SuspectKind(Enum):
    """What is suspected: one request, sent repeatedly, or a part that several prompts share."""

    REQUEST = "request"
    PART = "part"


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request, named by its fingerprint, or a shared part of prompts, by its name."""

    kind: SuspectKind
    name: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that was about to be answered, or had just begun to be, at a replica's crash.

    `parts` are the names of its prompt's shared parts, in order.  `answered` is true if its first
    event had come a while before the crash, which makes it less suspect.
    """

    replica: ReplicaId
    crashed_at: Millis
    fingerprint: Fingerprint
    parts: tuple[str, ...] = ()
    answered: bool = False

    def suspects(self) -> list[Suspect]:
        """Return what the report makes suspect: the request and each of the parts."""
        return suspects_of(self.fingerprint, self.parts)


@dataclass(eq=False, slots=True)
class Crash:
    """One crash of a replica.

    `explained` is set while a part in it is convicted.  If a request was convicted, `only_parts`
    are those of its prompt: one of them may be the cause, other parts are not.
    """

    replica: ReplicaId
    crashed_at: Millis
    explained: bool = False
    only_parts: frozenset[Suspect] | None = None

    def may_be_caused_by(self, suspect: Suspect) -> bool:
        """Return whether a suspect that was there may be the cause."""
        if suspect.kind is SuspectKind.REQUEST or self.only_parts is None:
            return True
        return suspect in self.only_parts


@dataclass(slots=True)
class SuspectRecord:
    """The crashes in which a suspect took part.

    `unanswered` are the crashes at which it was in a request without an answer.  `fingerprints`
    are the requests that had a part, `depth` is its place in their prompts, and `behind` are the
    parts before it in all of them, `None` without a prompt yet.
    """

    crashes: list[Crash] = field(default_factory=list)
    unanswered: set[Crash] = field(default_factory=set)
    fingerprints: set[Fingerprint] = field(default_factory=set)
    depth: int = 0
    behind: frozenset[Suspect] | None = None

    def note_prompt(self, fingerprint: Fingerprint, before: frozenset[Suspect]) -> None:
        """Record a request that had a part, and the parts before that one in its prompt."""
        if len(self.fingerprints) < CRASHES_TO_CONVICT:
            self.fingerprints.add(fingerprint)
        self.depth = max(self.depth, len(before))
        self.behind = before if self.behind is None else self.behind & before

    def is_of_several_requests(self) -> bool:
        """Return whether the evidence is of more than one request that is sent repeatedly."""
        return len(self.fingerprints) > 1


@dataclass(slots=True)
class Judgement:
    """Parts that have been convicted, and earlier convicted ones that are cleared by that."""

    convicted: list[Suspect] = field(default_factory=list)
    acquitted: list[Suspect] = field(default_factory=list)


class CrashEvidence:
    """Crashes by suspect, from reports of this router and of others, and the parts served."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: OrderedDict[Suspect, SuspectRecord] = OrderedDict()
        self._crashes: deque[Crash] = deque()
        self._served: OrderedDict[Suspect, Millis] = OrderedDict()
        # The suspects with evidence since parts were judged last.
        self._unjudged: set[Suspect] = set()
        self._convicted: OrderedDict[Suspect, list[Crash]] = OrderedDict()
        self._recent_reports: OrderedDict[tuple[Fingerprint, ReplicaId], Millis] = OrderedDict()

    def is_known(self, report: CrashReport) -> bool:
        """Return whether this report was recorded before; remember it if not."""
        key = (report.fingerprint, report.replica)
        reported_at = self._recent_reports.get(key)
        if reported_at is not None and abs(report.crashed_at - reported_at) < SAME_CRASH_MS:
            return True
        self._recent_reports[key] = report.crashed_at
        self._recent_reports.move_to_end(key)
        _limit_size(self._recent_reports, MAX_RECENT_REPORTS)
        return False

    def record_crash(self, report: CrashReport, held: Iterable[Suspect] = ()) -> list[Suspect]:
        """Record a report; return the request if that convicts it.

        `held` are those of the report's parts that were convicted before: they explain the
        crash.  Parts are judged later, when all reports of the crash may have arrived.
        """
        crash = self._find_crash(report)
        if list(held):
            crash.explained = True
            return []
        suspects = report.suspects()
        requests = [item for item in suspects if item.kind is SuspectKind.REQUEST]
        parts = [item for item in suspects if item.kind is SuspectKind.PART]
        for suspect in suspects:
            if not self._recently_served(suspect):
                depth = parts.index(suspect) if suspect in parts else 0
                self._add(suspect, crash, report, frozenset(parts[:depth]))
                self._unjudged.add(suspect)
        convicted = [item for item in requests if self._is_guilty(item)]
        for suspect in convicted:
            self._limit_to_parts(suspect, report)
        return convicted

    def _limit_to_parts(self, request: Suspect, report: CrashReport) -> None:
        """Let the crashes of a convicted request count only for the parts of its prompt."""
        parts = frozenset(suspects_of(Fingerprint(0), report.parts))
        for crash in self._records[request].crashes:
            crash.only_parts = parts

    def _find_crash(self, report: CrashReport) -> Crash:
        """Return the crash that a report is about; add it if it is new."""
        limit = self._clock.now() - CRASH_TTL_MS
        while self._crashes and self._crashes[0].crashed_at < limit:
            self._crashes.popleft()
        for crash in reversed(self._crashes):
            apart_ms = abs(crash.crashed_at - report.crashed_at)
            if crash.replica == report.replica and apart_ms < SAME_CRASH_MS:
                return crash
        crash = Crash(report.replica, report.crashed_at)
        self._crashes.append(crash)
        return crash

    def _add(
        self, suspect: Suspect, crash: Crash, report: CrashReport, before: frozenset[Suspect]
    ) -> None:
        """Add a crash to the record of a suspect; `before` are the parts before it."""
        record = self._records.setdefault(suspect, SuspectRecord())
        self._records.move_to_end(suspect)
        _limit_size(self._records, MAX_SUSPECTS)
        if crash not in record.crashes:
            record.crashes.append(crash)
        if not report.answered:
            record.unanswered.add(crash)
        record.note_prompt(report.fingerprint, before)

    def judge_parts(self) -> Judgement:
        """Convict the parts with enough new evidence, the most suspect one first.

        The crashes of a convicted part are explained by it, so they no longer count for others.
        All requests with a part also have those before it.  So these are in all its crashes, and in
        others besides: they are convicted only if it does not explain as much.
        """
        judgement = Judgement()
        # By name, so that all routers come to the same judgement on parts of the same rank.
        parts = sorted(
            (item for item in self._unjudged if item.kind is SuspectKind.PART),
            key=lambda item: item.name,
        )
        self._unjudged.clear()
        while guilty := [item for item in parts if self._is_guilty(item)]:
            most_suspect = max(guilty, key=self._rank)
            worst = self._narrowest(most_suspect)
            if self._awaits_reports(worst):
                parts.remove(most_suspect)
                self._unjudged.add(most_suspect)
                continue
            crashes = self._records[worst].crashes
            judgement.acquitted += self._acquit(crashes)
            judgement.convicted.append(worst)
            self._convicted[worst] = crashes
            _limit_size(self._convicted, MAX_CONVICTED)
            for crash in crashes:
                crash.explained = True
        return judgement

    def _acquit(self, crashes: list[Crash]) -> list[Suspect]:
        """Return the convicted parts whose crashes a newly convicted part took part in as well."""
        acquitted = [
            suspect
            for suspect, earlier in self._convicted.items()
            if all(crash in crashes for crash in earlier)
        ]
        for suspect in acquitted:
            del self._convicted[suspect]
        return acquitted

    def _is_guilty(self, suspect: Suspect) -> bool:
        """Return whether the evidence suffices to convict a suspect."""
        record = self._records.get(suspect)
        if record is None:
            return False
        counted = self._counted_crashes(suspect, record)
        replicas = {crash.replica for crash in counted}
        if suspect.kind is SuspectKind.REQUEST:
            unanswered = {crash.replica for crash in counted if crash in record.unanswered}
            weight = len(unanswered) + ANSWERED_WEIGHT * len(replicas - unanswered)
            return weight >= CRASHES_TO_CONVICT
        if not record.is_of_several_requests():
            # One request that is sent repeatedly says nothing of the parts of its prompt.
            return False
        count = self.crash_weight(suspect)
        if count >= CRASHES_TO_CONVICT_SERVED:
            return True
        served = self.last_served(suspect) is not None
        return not served and count >= CRASHES_TO_CONVICT and len(replicas) >= 2

    def has_unjudged(self) -> bool:
        """Return whether there are suspects that have yet to be judged."""
        return bool(self._unjudged)

    def _narrowest(self, part: Suspect) -> Suspect:
        """Return the part that explains all crashes of a guilty one, and is in the fewest requests.

        It need not weigh as much: at some of them its requests may have been answered, while
        others, which had only the parts before it, were not.
        """
        crashes = self._crashes_of(part)
        explaining = [
            suspect for suspect in self._parts_behind(part) if crashes <= self._crashes_of(suspect)
        ]
        return max(explaining, key=lambda item: self._records[item].depth, default=part)

    def _awaits_reports(self, part: Suspect) -> bool:
        """Return whether a part behind a guilty one may explain its crashes, too.

        It does so if it took part in most of them, and reports of the others may be under way.
        """
        crashes = self._crashes_of(part)
        settled_at = self._clock.now() - LATE_REPORT_MS
        for suspect in self._parts_behind(part):
            missing = crashes - self._crashes_of(suspect)
            may_come = all(crash.crashed_at > settled_at for crash in missing)
            if missing and may_come and len(crashes - missing) >= CRASHES_TO_CONVICT - 1:
                return True
        return False

    def _parts_behind(self, part: Suspect) -> list[Suspect]:
        """Return the parts of several requests that always came behind a part.

        Behind one that was never served, those that were served with other prompts are left out.
        """
        served = self.last_served(part) is not None
        return [
            suspect
            for suspect, record in self._records.items()
            if record.behind is not None
            and part in record.behind
            and record.is_of_several_requests()
            and (served or self.last_served(suspect) is None)
        ]

    def _crashes_of(self, suspect: Suspect) -> set[Crash]:
        """Return the recent crashes that are evidence against a suspect."""
        return set(self._counted_crashes(suspect, self._records[suspect]))

    def _rank(self, part: Suspect) -> tuple[float, bool, int]:
        """Return how suspect a part is: by its crashes, if it was never served, by its depth.

        Of the parts of one prompt, fewer other requests share the deeper ones.
        """
        record = self._records[part]
        return self.crash_weight(part), self.last_served(part) is None, record.depth

    def _counted_crashes(self, suspect: Suspect, record: SuspectRecord) -> list[Crash]:
        """Return the recent crashes in a suspect's record that are evidence against it."""
        limit = self._clock.now() - CRASH_TTL_MS
        recent = [
            crash
            for crash in record.crashes
            if crash.crashed_at > limit and crash.may_be_caused_by(suspect)
        ]
        if suspect.kind is SuspectKind.REQUEST or all(crash.explained for crash in recent):
            return [crash for crash in recent if not crash.explained]
        disputed = self._disputed_crashes(record)
        return [crash for crash in recent if not crash.explained or crash in disputed]

    def _disputed_crashes(self, record: SuspectRecord) -> list[Crash]:
        """Return the crashes of convicted parts that a suspect explains as well.

        A crash without the convicted part then shows that the suspect is the cause of all.
        """
        return [
            crash
            for crashes in self._convicted.values()
            if all(crash in record.crashes for crash in crashes)
            for crash in crashes
        ]

    def crash_weight(self, suspect: Suspect) -> float:
        """Return how much the crashes weigh that count for a suspect.

        Simultaneous ones count once, and those at which it was only in answered requests less.
        """
        record = self._records.get(suspect)
        if record is None:
            return 0.0
        weight, last = 0.0, None
        counted = self._counted_crashes(suspect, record)
        for crash in sorted(counted, key=lambda item: item.crashed_at):
            if last is None or crash.crashed_at - last >= SIMULTANEOUS_MS:
                weight += 1.0 if crash in record.unanswered else ANSWERED_WEIGHT
                last = crash.crashed_at
        return weight

    def may_be_convicted(self, suspect: Suspect) -> bool:
        """Return whether one more crash may convict a part, if it is not served meanwhile."""
        if suspect.kind is not SuspectKind.PART or suspect not in self._records:
            return False
        return self.crash_weight(suspect) >= CRASHES_TO_CONVICT - 1

    def crash_total(self, suspect: Suspect) -> int:
        """Return all recent crashes in which a suspect took part."""
        record = self._records.get(suspect)
        return len(record.crashes) if record else 0

    def suspect_count(self) -> int:
        """Return how many suspects there are."""
        return len(self._records)

    # Service.

    def record_served(self, suspect: Suspect, served_at: Millis) -> bool:
        """Record that a request was served; return whether it, or its part, was suspect.

        What was served does not crash its upstream, so earlier crashes no longer count.
        """
        if suspect.kind is SuspectKind.PART:
            self._served[suspect] = max(served_at, self._served.get(suspect, served_at))
            self._served.move_to_end(suspect)
            _limit_size(self._served, MAX_SERVED_PARTS)
        record = self._records.get(suspect)
        if record is None or not any(crash.crashed_at <= served_at for crash in record.crashes):
            return False
        del self._records[suspect]
        self._clear(suspect)
        return True

    def _clear(self, suspect: Suspect) -> None:
        """Let the crashes of a convicted part that was served count for others again."""
        crashes = self._convicted.pop(suspect, [])
        for crash in crashes:
            crash.explained = any(crash in others for others in self._convicted.values())

    def last_served(self, suspect: Suspect) -> Millis | None:
        """Return when a part was last served, `None` if that is too long ago."""
        served_at = self._served.get(suspect)
        if served_at is None or self._clock.now() - served_at > SERVED_TTL_MS:
            return None
        return served_at

    def _recently_served(self, suspect: Suspect) -> bool:
        """Return whether a part was served so recently that it did not cause a crash."""
        served_at = self.last_served(suspect)
        return served_at is not None and self._clock.now() - served_at < RECENTLY_SERVED_MS


def suspects_of(fingerprint: Fingerprint, parts: Iterable[str]) -> list[Suspect]:
    """Return a request and the shared parts of its prompt as suspects."""
    found = [Suspect(SuspectKind.PART, part) for part in parts]
    if fingerprint:
        found.insert(0, Suspect(SuspectKind.REQUEST, f"{fingerprint:08x}"))
    return found


def _limit_size(items: OrderedDict, limit: int) -> None:
    """Drop the oldest items above a limit."""
    while len(items) > limit:
        items.popitem(last=False)
