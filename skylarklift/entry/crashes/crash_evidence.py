"""Find out which requests, or which parts of prompts, crash the upstreams that run them.

A crash breaks off all requests that run on the upstream, most of which have nothing to do with
it.  A request or a shared part of a prompt is convicted when it was about to be answered at
several crashes and has not been served since the first of them.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.entry.crashes.crash_records import (
    Crash,
    CrashReport,
    Suspect,
    SuspectKind,
    SuspectRecord,
    suspects_of,
)
from skylarklift.entry.crashes.process_crashes import ANSWERED_WEIGHT, ProcessCrashes
from skylarklift.ids import Fingerprint, ReplicaId

CRASHES_TO_CONVICT = 3
# A part that was served within `SERVED_TTL_MS` is convicted only after this many crashes, which
# also convict a part that one replica alone ran.
CRASHES_TO_CONVICT_SERVED = 5
CRASH_TTL_MS = 60_000
SERVED_TTL_MS = 300_000
# A part that was served within this time did not cause a crash.
RECENTLY_SERVED_MS = 1500
# Reports of one replica's crash by several routers differ by less than this.
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


@dataclass(slots=True)
class Judgement:
    """Suspects that have been convicted, and earlier convicted ones that are cleared by that.

    `doubted` are parts at several replicas that crashed together: they are the cause, or another
    one is, such as a loss of power.
    """

    convicted: list[Suspect] = field(default_factory=list)
    acquitted: list[Suspect] = field(default_factory=list)
    doubted: list[Suspect] = field(default_factory=list)


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
        self._recent_reports: OrderedDict[tuple[Fingerprint, ReplicaId, int], Millis] = (
            OrderedDict()
        )

    def is_known(self, report: CrashReport) -> bool:
        """Return whether this report was recorded before; remember it if not."""
        key = (report.fingerprint, report.replica, report.started_ms)
        reported_at = self._recent_reports.get(key)
        if reported_at is not None and abs(report.crashed_at - reported_at) < SAME_CRASH_MS:
            return True
        self._recent_reports[key] = report.crashed_at
        self._recent_reports.move_to_end(key)
        _limit_size(self._recent_reports, MAX_RECENT_REPORTS)
        return False

    def record_crash(self, report: CrashReport, held: Iterable[Suspect] = ()) -> list[Suspect]:
        """Record a report; return the request if it has now crashed enough replicas.

        `held` are those of the report's parts that were convicted before: they explain the
        crash.  Others are judged later, when all reports of the crash may have arrived.
        """
        crash = self._find_crash(report)
        if list(held):
            crash.explained = True
            return []
        parts = suspects_of(Fingerprint(0), report.parts)
        suspects = [item for item in report.suspects() if not self._recently_served(item)]
        for suspect in suspects:
            depth = parts.index(suspect) if suspect in parts else len(parts)
            self._add(suspect, crash, report, frozenset(parts[:depth]))
        self._unjudged.update(suspects)
        requests = [item for item in suspects if item.kind is SuspectKind.REQUEST]
        return [item for item in requests if self._has_crashed_replicas(item)]

    def _has_crashed_replicas(self, request: Suspect) -> bool:
        """Return whether a request has crashed enough different replicas; convict it then."""
        return self._convict_request(request, self._process_crashes(request).replica_weight())

    def _has_crashed_processes(self, request: Suspect) -> bool:
        """Return whether a request alone has crashed enough processes; convict it then."""
        if request not in self._records:
            return False
        return self._convict_request(request, self._process_crashes(request).process_weight())

    def _process_crashes(self, request: Suspect) -> ProcessCrashes:
        """Return the crashes that are evidence against a request."""
        counted = self._counted_crashes(request, self._records[request])
        return ProcessCrashes(request, counted, self._crashes, self._records)

    def _convict_request(self, request: Suspect, weight: float) -> bool:
        """Let the crashes of a request of enough weight count only for the parts of its prompt."""
        if weight < CRASHES_TO_CONVICT:
            return False
        record = self._records[request]
        for crash in record.crashes:
            crash.only_parts = record.parts
        self._note_convicted(request, record.crashes)
        return True

    def _note_convicted(self, suspect: Suspect, crashes: list[Crash]) -> None:
        """Keep the crashes of a convicted suspect."""
        self._convicted[suspect] = list(crashes)
        _limit_size(self._convicted, MAX_CONVICTED)

    def _find_crash(self, report: CrashReport) -> Crash:
        """Return the crash that a report is about; add it if it is new."""
        limit = self._clock.now() - CRASH_TTL_MS
        while self._crashes and self._crashes[0].crashed_at < limit:
            self._crashes.popleft()
        for crash in reversed(self._crashes):
            apart_ms = abs(crash.crashed_at - report.crashed_at)
            if apart_ms < SAME_CRASH_MS and crash.may_be_of(report):
                crash.started_ms = crash.started_ms or report.started_ms
                return crash
        crash = Crash(report.replica, report.crashed_at, report.started_ms)
        self._crashes.append(crash)
        return crash

    def _add(
        self, suspect: Suspect, crash: Crash, report: CrashReport, before: frozenset[Suspect]
    ) -> None:
        """Add a crash to the record of a suspect; `before` are the parts before it.

        Those before a request are all that its prompt shares with others.
        """
        record = self._records.setdefault(suspect, SuspectRecord())
        self._records.move_to_end(suspect)
        _limit_size(self._records, MAX_SUSPECTS)
        record.note_crash(crash, answered=report.answered)
        if suspect.kind is SuspectKind.PART:
            record.note_prompt(report.fingerprint, before)
        else:
            record.parts |= before

    def judge(self) -> Judgement:
        """Convict those with enough new evidence: requests, and then the most suspect parts.

        The crashes of a convicted part are explained by it, so they no longer count for others.
        All requests with a part also have those before it.  So these are in all its crashes, and in
        others besides: they are convicted only if it does not explain as much.
        """
        # By name, so that all routers come to the same judgement on parts of the same rank.
        suspects = sorted(self._unjudged, key=lambda item: item.name)
        self._unjudged.clear()
        requests = [item for item in suspects if item.kind is SuspectKind.REQUEST]
        judgement = Judgement([item for item in requests if self._has_crashed_processes(item)])
        parts = [item for item in suspects if item.kind is SuspectKind.PART]
        while guilty := [item for item in parts if self._is_guilty(item)]:
            most_suspect = max(guilty, key=self._rank)
            worst = self._narrowest(most_suspect)
            if self._awaits_reports(worst):
                parts.remove(most_suspect)
                self._unjudged.add(most_suspect)
                continue
            crashes = self._records[worst].crashes
            judgement.acquitted += self._acquit(worst)
            judgement.convicted.append(worst)
            self._note_convicted(worst, crashes)
            for crash in crashes:
                crash.explained = True
        doubted = [self._narrowest(part) for part in parts if self._was_at_group(part)]
        judgement.doubted += dict.fromkeys(doubted)
        return judgement

    def _was_at_group(self, part: Suspect) -> bool:
        """Return whether a part was at all of several replicas that crashed together."""
        record = self._records.get(part)
        if record is None or not record.is_of_several_requests():
            return False
        crashes = self._crashes_of(part)
        if len({crash.replica for crash in crashes}) < CRASHES_TO_CONVICT:
            return False
        since = min(crash.crashed_at for crash in crashes) - SIMULTANEOUS_MS
        until = max(crash.crashed_at for crash in crashes) + SIMULTANEOUS_MS
        beside = (crash for crash in self._crashes if since < crash.crashed_at < until)
        return self.last_served(part) is None and all(crash in record.crashes for crash in beside)

    def _acquit(self, part: Suspect) -> list[Suspect]:
        """Return those convicted before whose crashes a newly convicted part was in as well.

        A request that holds the part crashed its replicas by it, and stays convicted.
        """
        crashes = self._records[part].crashes
        acquitted = [
            suspect
            for suspect, earlier in self._convicted.items()
            if all(crash in crashes for crash in earlier) and not self._holds(suspect, part)
        ]
        for suspect in acquitted:
            del self._convicted[suspect]
        return acquitted

    def _holds(self, suspect: Suspect, part: Suspect) -> bool:
        """Return whether a suspect is a request with a part."""
        record = self._records.get(suspect)
        return record is not None and part in record.parts

    def _is_guilty(self, suspect: Suspect) -> bool:
        """Return whether the evidence suffices to convict a part."""
        record = self._records.get(suspect)
        if record is None:
            return False
        replicas = {crash.replica for crash in self._counted_crashes(suspect, record)}
        if not record.is_of_several_requests():
            # One request that is sent repeatedly says nothing of the parts of its prompt.
            return False
        count = self.crash_weight(suspect)
        if count >= CRASHES_TO_CONVICT_SERVED:
            return True
        served = self.last_served(suspect) is not None
        return not served and count >= CRASHES_TO_CONVICT and len(replicas) >= 2

    def replicas_crashed(self, suspect: Suspect) -> frozenset[ReplicaId]:
        """Return the replicas in whose recent crashes a suspect took part."""
        record = self._records.get(suspect)
        if record is None:
            return frozenset()
        return frozenset(crash.replica for crash in self._counted_crashes(suspect, record))

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
        recent = [crash for crash in record.crashes if crash.crashed_at > limit]
        own = [item for item in recent if not item.explained and item.may_be_caused_by(suspect)]
        if suspect.kind is SuspectKind.REQUEST or not own:
            return own
        disputed = self._disputed_crashes(record)
        return [crash for crash in recent if crash in own or crash in disputed]

    def _disputed_crashes(self, record: SuspectRecord) -> list[Crash]:
        """Return the crashes of convicted suspects that a part explains as well.

        A crash without the convicted one then shows that the part is the cause of all.
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
        """Return whether a suspect may be convicted by the crash reported last, or the next one.

        A part may be if it is not served meanwhile, a request if it awaits the judgement.
        """
        if suspect not in self._records:
            return False
        if suspect.kind is SuspectKind.REQUEST:
            return self._process_crashes(suspect).process_weight() >= CRASHES_TO_CONVICT
        if self.last_served(suspect) is None:
            return len(self.replicas_crashed(suspect)) >= CRASHES_TO_CONVICT - 1
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
        """Let the crashes of a convicted suspect that was served count for others again."""
        crashes = self._convicted.pop(suspect, [])
        if suspect.kind is SuspectKind.REQUEST:
            for crash in crashes:
                crash.only_parts = None
            return
        parts = [item for item in self._convicted if item.kind is SuspectKind.PART]
        for crash in crashes:
            crash.explained = any(crash in self._convicted[part] for part in parts)

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


def _limit_size(items: OrderedDict, limit: int) -> None:
    """Drop the oldest items above a limit."""
    while len(items) > limit:
        items.popitem(last=False)
