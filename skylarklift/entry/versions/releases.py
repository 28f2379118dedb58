"""Which software version begins a stream, so that it can be found again without any memory of it.

While several versions of a service serve, each prompt is assigned to one of them by a hash of what
its requests share, in proportion to the replicas of each version.  The proportions are a row of the
store, which changes only with a release.  A version gets resumable streams only once the row has
it.  Older proportions stay in the row for as long as a stream that began under them can be taken
up: such a stream may go on where all of them assign its prompt to the same version.

Streams of callers that name their deadlines get their versions by their nominal starts instead,
which are the same in all tries of a caller, so that no time that a router had to know decides.

A row says in which era of the store it was written.  In a later era it is one of a copy, and what
was in force since the copy was made is unknown to who did not follow the rows until then, unless
the replicas' entries show that no proportions can have changed.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import replace

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.state.rows import FIRST_ERA, NO_ERA, Era
from skylarklift.entry.versions.absences import VersionAbsences
from skylarklift.entry.versions.known_release import KnownRelease, learn_release
from skylarklift.entry.versions.nominal_starts import NominalStart
from skylarklift.entry.versions.nominal_steps import version_at, versions_at
from skylarklift.entry.versions.release_decisions import (
    copied_ms,
    differ,
    is_right,
    is_written,
    may_be_whole,
    weights_of,
)
from skylarklift.entry.versions.release_members import MembersDigest, find_certain
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.release_steps import (
    SPREAD_MS,
    ReleaseStep,
    bound_steps,
    join_steps,
    known_for_ms,
    mark_unmarked_cuts,
    pick_version,
    possible_versions,
    steps_since,
    undisturbed_steps,
    unknown_step,
)
from skylarklift.entry.versions.row_spans import RowSpans
from skylarklift.entry.versions.stream_deadlines import (
    MAX_DEADLINE_MS,
    MAX_SPAN_MS,
    LongestDeadline,
    StreamDeadlines,
)
from skylarklift.ids import ServiceId, SoftwareVersion

# Proportions count as long as a stream that began under them may be resumed, also by a router that
# was not heard for a while.
STEP_TTL_MS = MAX_DEADLINE_MS + 60_000
# Rows that were not known to be the newest ones within this time may be outdated.
CONFIRMED_TTL_MS = 2500
# A report counts as this much older than it says, for its time on the way.
REPORT_DELAY_MS = 50
# By then the replicas have written their entries again in a store that was restored.
ENTRIES_SETTLE_MS = 2500


class Releases:
    """The proportions of the software versions of each service, and how long callers wait."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._known: dict[ServiceId, KnownRelease] = {}
        self.deadlines = StreamDeadlines(clock)
        self._absences = VersionAbsences(clock)
        # Whether it was looked which versions may have been gone before this router started.
        self.are_judged = True
        self.spans = RowSpans(clock, self._known)
        # When the known rows were the newest ones for certain.
        self._confirmed_at: Millis | None = None
        # Until when nobody can have written rows that this router does not know.
        self._followed_until: Millis | None = None
        # The newest era of the store that this router knows.
        self._era = NO_ERA

    def note_era(self, era: Era) -> None:
        """Record the era of the store."""
        self._era = max(self._era, era)

    def confirm(self, age_ms: int) -> None:
        """Record that, `age_ms` ago, the store had no newer rows than are known now."""
        confirmed_at = Millis(self._clock.now() - age_ms)
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
        if self._followed_until is None or confirmed_at > self._followed_until:
            self._followed_until = confirmed_at

    def note_unchanged(self) -> None:
        """Record that nobody can write rows now, as the store is away from all routers."""
        if self._are_followed():
            self._followed_until = self._clock.now()

    def _are_followed(self) -> bool:
        """Return whether this router knows all rows that were written until lately."""
        gap_ms = self._unfollowed_ms()
        return gap_ms is not None and gap_ms <= CONFIRMED_TTL_MS

    def _unfollowed_ms(self) -> int | None:
        """Return for how long others may have written rows, `None` if that is not known."""
        return None if self._followed_until is None else self._clock.now() - self._followed_until

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
        for deadline in report.deadlines():
            age_ms = deadline.age_ms + REPORT_DELAY_MS
            self.deadlines.record(report.service, deadline.span_ms, age_ms)
        known = self._known.get(report.service)
        is_newer = known is None or report.is_newer_than(known.report)
        if not is_newer and not report.has_more_than(known.report):
            return False
        now, steps = self._clock.now(), self._complete_steps(report, known)
        if not is_newer and report.written_in == known.report.written_in:
            steps = known.steps(now)
        self._known[report.service] = learn_release(replace(report, steps=steps), known, now)
        if is_newer:
            self._absences.forget_written(report.service, steps)
        return is_newer and bool(report.steps)

    def _complete_steps(
        self, report: ReleaseReport, known: KnownRelease | None
    ) -> tuple[ReleaseStep, ...]:
        """Return the steps of a row, with those that it lost or with a sign that it lost some."""
        steps = report.steps
        if report.written_in is None:
            steps = mark_unmarked_cuts(steps)
        is_later_era = known is not None and report.era > known.report.era
        is_copy = report.may_be_of_copy() or (is_later_era and report.written_in != report.era)
        if not steps or (is_copy and steps[-1].is_known):
            steps = (*steps, unknown_step(from_ms=copied_ms(report)))
        before = known.steps(self._clock.now()) if known else ()
        knows_more = bool(before) and known_for_ms(before) > known_for_ms(steps)
        if not knows_more or not self._are_followed():
            return bound_steps(steps)
        span_ms, is_newest = self._unfollowed_ms() + SPREAD_MS, not (is_copy and is_later_era)
        return join_steps(before, steps, span_ms, is_newest=is_newest)

    def reports(self) -> tuple[ReleaseReport, ...]:
        """Return the rows, with the ages of now."""
        now = self._clock.now()
        return tuple(self._with_deadlines(known.report_at(now)) for known in self._known.values())

    def _with_deadlines(self, report: ReleaseReport) -> ReleaseReport:
        """Return a row with the deadlines that are known now."""
        longest, *shorter = self.deadlines.all(report.service) or (None,)
        return replace(report, deadline=longest, shorter_deadlines=tuple(shorter))

    def row_version(self, service: ServiceId) -> int:
        """Return the version of a service's row, 0 without one."""
        known = self._known.get(service)
        return known.report.row_version if known else 0

    def steps(self, service: ServiceId) -> tuple[ReleaseStep, ...]:
        """Return the steps of a service's row, the oldest first."""
        known = self._known.get(service)
        return known.steps(self._clock.now()) if known else ()

    def history(self, service: ServiceId) -> tuple[ReleaseStep, ...]:
        """Return the steps of a service's row, and what this router could not write."""
        return self._absences.add_to(service, self.steps(service))

    def note_counts(self, service: ServiceId, counts: Mapping[SoftwareVersion, int]) -> None:
        """Record which versions have no replicas, as the row may not be written."""
        steps = self.steps(service)
        if steps and steps[-1].is_known:
            self._absences.record(service, steps[-1], counts)

    def doubt_versions(
        self, service: ServiceId, records: Collection[UpstreamRecord]
    ) -> frozenset[SoftwareVersion]:
        """Record that versions of the row may have had no replicas before, and return them.

        `records` are the service's replicas of now.  Without another version, none can have served
        in its place; a row without processes tells nothing.
        """
        known = self._known.get(service)
        steps = self.steps(service)
        if not steps or not steps[-1].is_known or not known.report.processes:
            return frozenset()
        serving = Counter(record.software for record in records if record.software is not None)
        listed = {item.version for item in steps[-1].weights if item.weight}
        versions = frozenset(listed - find_certain(known.report.processes, records))
        if not versions or len(listed.union(serving)) < 2:
            return frozenset()
        others = weights_of({item: n for item, n in serving.items() if item not in versions})
        self._absences.record_past(service, versions, others, steps[-1].age_ms)
        return versions

    def has_absences(self) -> bool:
        """Return whether some version has no replicas, which no row tells."""
        return self._absences.is_any_open()

    def note_written(self, report: ReleaseReport, row: ReleaseReport, elapsed_ms: int) -> None:
        """Record the row of the store after a write that took some time."""
        if is_written(report, row, elapsed_ms):
            self._absences.forget(report.service)

    def count_steps(self, service: ServiceId, max_age_ms: int) -> int:
        """Return how many proportions some router may have used at most `max_age_ms` ago."""
        return len(steps_since(self.history(service), max_age_ms))

    def assigned_version(
        self, service: ServiceId, key: str, nominal_age_ms: int | None = None
    ) -> SoftwareVersion | None:
        """Return the version that begins streams of a prompt, `None` without a row.

        Without a nominal start, the newest proportions decide.
        """
        steps = [step for step in self.steps(service) if step.is_known]
        if not steps:
            return None
        if nominal_age_ms is None:
            return pick_version(key, steps[-1].weights)
        return version_at(steps, key, nominal_age_ms)

    def may_lack_steps(self, service: ServiceId) -> bool:
        """Return whether newer proportions may be in force at routers that lived on.

        The row is one of a copy that was not written again yet.
        """
        steps = self.steps(service)
        return bool(steps) and not steps[-1].is_known

    def begins_only_at(self, service: ServiceId, version: SoftwareVersion | None) -> bool:
        """Return whether all known proportions give each prompt to this version."""
        known = self._known.get(service)
        if known is None or version is None:
            return False
        return all(step.only_version() == version for step in known.report.steps)

    def began_at(
        self, service: ServiceId, key: str, max_age_ms: int, apart_ms: int = 0
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions at which a stream of at most this age can have begun.

        A router that has been, or was, apart since `apart_ms` ago may have begun it by the
        proportions of then.  Return `None` if it is not known which proportions were in force.
        """
        steps, span_ms = self.history(service), max(max_age_ms, apart_ms)
        if span_ms > STEP_TTL_MS and steps and steps[0].age_ms < span_ms:
            return None
        return possible_versions(steps, key, span_ms)

    def began_nominally(
        self, service: ServiceId, key: str, start: NominalStart, apart_ms: int = 0
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions at which a stream with this nominal start can have begun.

        A router that has been, or was, apart since `apart_ms` ago may have begun it by the
        proportions of then.  Return `None` if it is not known which proportions were in force.
        """
        if service not in self._known:
            return None
        oldest_ms = max(start.oldest_ms, apart_ms)
        return versions_at(self.history(service), key, start.age_ms, oldest_ms)

    def max_age_ms(self, service: ServiceId, timeout_ms: int, left_ms: int) -> int:
        """Return how long ago a stream that a caller resumes began at most.

        Without a bound it may be as old as any caller's; one that still waits for longer than
        those that do not say so may wait for as long as any.
        """
        found = self.deadlines.max_age_ms(service, timeout_ms, left_ms)
        if found is None:
            return MAX_SPAN_MS if left_ms > MAX_DEADLINE_MS else MAX_DEADLINE_MS
        return found

    def settles_in_ms(self, service: ServiceId) -> int | None:
        """Return when a history that may be lost is known again at the latest.

        Return `None` if it is known, or lost.
        """
        known = self._known.get(service)
        if known is None or not known.report.may_be_of_copy():
            return None
        left_ms = ENTRIES_SETTLE_MS - (self._clock.now() - known.era_since)
        return left_ms if left_ms > 0 else None

    def next_report(
        self,
        service: ServiceId,
        counts: Mapping[SoftwareVersion, int],
        members: MembersDigest | None = None,
        forecast: Mapping[SoftwareVersion, int] | None = None,
    ) -> ReleaseReport | None:
        """Return the row to write for the replicas of each version, `None` if all is right.

        `members` are the processes of the service's replicas, and `forecast` the numbers of those
        that are expected when new proportions are used.
        """
        known = self._known.get(service)
        if known is not None and may_be_whole(known.report, weights_of(counts), members):
            if self.settles_in_ms(service) is not None:
                return None
            return self.make_report(service, undisturbed_steps(self.history(service)[:-1]), members)
        steps = self.next_row(service, counts, forecast)
        if steps is None and known is not None and known.report.members not in (None, members):
            # A copy of the store must hold the processes of its time.
            steps = self.history(service)
        return None if steps is None else self.make_report(service, steps, members)

    def make_report(
        self,
        service: ServiceId,
        steps: tuple[ReleaseStep, ...],
        members: MembersDigest | None = None,
    ) -> ReleaseReport:
        """Return the row to write with these steps."""
        known = self._known.get(service)
        if known is not None and steps:
            steps = known.settle(steps, self._clock.now())
        return self._with_deadlines(
            ReleaseReport(
                service,
                self.row_version(service),
                steps,
                written_in=known.report.era if known else self._era,
                members=members,
                spans=self.spans.next_spans(service),
            )
        )

    def nominal_report(
        self, service: ServiceId, members: MembersDigest | None = None
    ) -> ReleaseReport | None:
        """Return the row to write for its spans, or as its last step is in force by now.

        Return `None` if both are right.  A row of a copy is written for its proportions first.
        """
        known = self._known.get(service)
        if known is None or not known.report.steps or known.report.may_be_of_copy():
            return None
        report = self.make_current_report(service, members)
        last, seen_ms = known.report.steps[-1], self._clock.now() - known.step_seen_at
        # The next step would say it, too.
        has_settled = last.is_known and last.settled_ms is None and seen_ms >= SPREAD_MS
        # The first proportions follow no others.
        is_missed = has_settled and bool(report.spans) and len(report.steps) > 1
        return report if is_missed or differ(report.spans, known.report.spans) else None

    def deadline_report(
        self,
        service: ServiceId,
        stored: tuple[LongestDeadline, ...],
        members: MembersDigest | None = None,
    ) -> ReleaseReport | None:
        """Return the row to write again for its deadlines, `None` if those `stored` are enough."""
        is_stored = all(
            any(deadline.is_stored_as(item) for item in stored)
            for deadline in self.deadlines.all(service)
        )
        if is_stored or not self.steps(service):
            return None
        return self.make_current_report(service, members)

    def make_current_report(
        self, service: ServiceId, members: MembersDigest | None = None
    ) -> ReleaseReport | None:
        """Return the row to write again with the steps that it has.

        A row of a copy stays as it is until its steps are known.
        """
        if self._known[service].report.may_be_of_copy():
            return None
        return self.make_report(service, steps_since(self.history(service), STEP_TTL_MS), members)

    def next_row(
        self,
        service: ServiceId,
        counts: Mapping[SoftwareVersion, int],
        forecast: Mapping[SoftwareVersion, int] | None = None,
    ) -> tuple[ReleaseStep, ...] | None:
        """Return the steps to write for the replicas of each version, `None` if all is right.

        A row of a copy is written again, so that it says in which era its steps are known, and one
        that lacks what could not be written.
        """
        known, steps = self._known.get(service), self.steps(service)
        weights = weights_of(forecast or counts)
        is_in_force = bool(steps) and is_right(steps[-1], counts)
        is_whole = is_in_force and not self._absences.of(service)
        if not weights or (is_whole and not known.report.may_be_of_copy()):
            return None
        if not steps and self._era > FIRST_ERA:
            steps = (unknown_step(),)
        kept = steps_since(self._absences.add_to(service, steps), STEP_TTL_MS)
        return kept if is_in_force else bound_steps((*kept, ReleaseStep(0, weights)))
