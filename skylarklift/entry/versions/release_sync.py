"""Keep the rows that say in which proportions the software versions of services begin streams.

The rows are known by age: what the store does not confirm any more may be outdated.
"""

from collections import Counter
from dataclasses import dataclass, replace

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.gossip.silences import SilenceReport
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.state.rows import ReleaseStore
from skylarklift.entry.versions.release_members import (
    MembersDigest,
    digest_members,
    name_processes,
)
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.release_steps import SPREAD_MS, ReleaseStep
from skylarklift.entry.versions.stream_deadlines import LongestDeadline
from skylarklift.entry.versions.version_counts import CountHistory
from skylarklift.errors import StoreError
from skylarklift.ids import ServiceId, SoftwareVersion

CHECK_INTERVAL_MS = 150
# After the store refused or lost a call.
RETRY_DELAY_MS = 600
# A router that reads the store reads the rows at this interval, and confirms them to the others.
READ_INTERVAL_MS = 1000
# A row is written for what it holds beside proportions at most once in this time.
REWRITE_INTERVAL_MS = 5000
# It is looked at this interval whether to write a row for nominal starts.
NOMINAL_INTERVAL_MS = 1000


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it was read from the store, and when its ages were right."""

    report: ReleaseReport
    read_at: Millis


class ReleaseSync:
    """Read the rows, and write them when the versions of a service change.

    Only routers that read the store do so, but for the first read.  Of two that write at once, one
    is refused and takes the row of the other.
    """

    def __init__(self, core: Core, store: ReleaseStore):
        self._core = core
        self._store = store
        # When the rows were read last, `None` if a write may have failed since.
        self._read_at: Millis | None = None
        self._stored: dict[ServiceId, StoredRow] = {}
        # When rows were written last, or tried, for more than their proportions.
        self._written_again_at: dict[ServiceId, Millis] = {}
        # When it was looked last whether to write rows for nominal starts.
        self._nominal_looked_at: dict[ServiceId, Millis] = {}
        self._counts = CountHistory(core.clock)

    async def run(self) -> None:
        """Read the rows, then follow the list of upstreams."""
        core = self._core
        while True:
            try:
                self._note_unchanged()
                core.releases.spans.allowed = core.fleet.all_know_nominal_starts()
                if self._is_read_due():
                    await self._read()
                self._judge_rows()
                if core.releases.has_absences():
                    self._note_counts()
                is_ready = core.releases.are_judged and core.cluster_state.complete
                if is_ready and all(core.reading_store.values()):
                    await self._write_changes()
                await trio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            except StoreError as exc:
                self._read_at = None
                self._judge_rows()
                self._note_counts()
                core.event_log.write("release_sync_failed", cause=str(exc))
                await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            except Exception as exc:
                # An odd row must not end the router.
                self._read_at = None
                core.record_fault(exc, "software versions")
                await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)

    def _is_read_due(self) -> bool:
        """Return whether to read the rows; without services of engines there are none."""
        core = self._core
        is_row_doubted = core.first_write_taken is False and not core.releases.are_judged
        if not core.releases_read.is_set() or (is_row_doubted and self._read_at is None):
            return True
        plan = core.cluster_state.plan
        if not all(core.reading_store.values()) or plan is None or not plan.has_engines():
            return False
        return self._read_at is None or core.clock.now() - self._read_at >= READ_INTERVAL_MS

    def _judge_rows(self) -> None:
        """Find, once, which versions may have been gone before this router started.

        The rows were right all the time if the store takes writes.
        """
        core = self._core
        is_known = core.releases_read.is_set() and core.cluster_state.complete
        if core.releases.are_judged or core.first_write_taken is None or not is_known:
            return
        for service in () if core.first_write_taken else core.cluster_state.plan.services:
            versions = core.releases.doubt_versions(service, self._records(service))
            if versions:
                core.event_log.write("release_doubted", subject=service, versions=sorted(versions))
        core.end_judgement()

    def _records(self, service: ServiceId) -> list[UpstreamRecord]:
        """Return the entries of the replicas of a service that may be used."""
        members = self._core.cluster_state.usable_members(service)
        return [upstream.record for upstream in members.values()]

    def _note_unchanged(self) -> None:
        """Record that nobody can write rows, if no router reads the store and all are heard."""
        fleet = self._core.fleet
        if fleet.hears_all() and not fleet.any_peer_reads_store():
            self._core.releases.note_unchanged()

    async def _read(self) -> None:
        """Read the rows, which were the newest ones at the time of the call at least."""
        core = self._core
        called_at = core.clock.now()
        reports = await self._store.read_releases()
        self._stored.clear()
        self._apply(reports)
        core.releases.confirm(core.clock.now() - called_at)
        core.releases_read.set()
        self._read_at = core.clock.now()

    async def _write_changes(self) -> None:
        """Write the rows of the services whose versions have changed."""
        core = self._core
        for service, counts in self._count_versions().items():
            members = self._digest_members(service)
            self._counts.record(service, counts)
            lag_ms = core.releases.spans.mean_lag_ms(service)
            forecast = self._counts.forecast(service, counts, lag_ms)
            steered = core.rollouts.steer_counts(service, counts)
            if steered != counts:
                counts = forecast = steered
            report = core.releases.next_report(service, counts, members, forecast)
            if report is None:
                report = self._nominal_report(service, members)
            if report is None:
                report = self._report_again(service, members)
            if report is not None:
                silences = self._find_silences(report.steps)
                processes = name_processes(self._records(service))
                await self._write(replace(report, silences=silences, processes=processes))

    async def _write(self, report: ReleaseReport) -> None:
        """Write a row, and use it as it is in the store then."""
        core = self._core
        called_at = core.clock.now()
        row = await self._store.write_release(report)
        self._apply([row])
        core.releases.note_written(report, row, core.clock.now() - called_at)

    def _note_counts(self) -> None:
        """Record which versions have replicas, as the rows may not say it."""
        core = self._core
        if not core.cluster_state.complete:
            return
        for service, counts in self._count_versions().items():
            core.releases.note_counts(service, core.rollouts.steer_counts(service, counts))

    def _nominal_report(
        self, service: ServiceId, members: MembersDigest | None
    ) -> ReleaseReport | None:
        """Return the row to write for nominal starts of streams, `None` if that is right."""
        now = self._core.clock.now()
        looked_at = self._nominal_looked_at.get(service)
        if looked_at is not None and now - looked_at < NOMINAL_INTERVAL_MS:
            return None
        self._nominal_looked_at[service] = now
        return self._core.releases.nominal_report(service, members)

    def _report_again(
        self, service: ServiceId, members: MembersDigest | None
    ) -> ReleaseReport | None:
        """Return the row to write for what it holds beside proportions, `None` if that is right.

        One that was written, or tried, a moment ago has time.  So a write that lost against another
        one is made again.
        """
        now = self._core.clock.now()
        written_at = self._written_again_at.get(service)
        if written_at is not None and now - written_at < REWRITE_INTERVAL_MS:
            return None
        report = self._outdated_report(service, members)
        if report is not None:
            self._written_again_at[service] = now
        return report

    def _outdated_report(
        self, service: ServiceId, members: MembersDigest | None
    ) -> ReleaseReport | None:
        """Return the row to write for its deadlines or its silences, `None` if both are right."""
        releases = self._core.releases
        stored = self._stored_deadlines(service)
        report = releases.deadline_report(service, stored, members)
        if report is not None:
            return report
        silences = self._stored_silences(service)
        for silence in self._find_silences(releases.steps(service)):
            if not any(silence.is_reported_by(other) for other in silences):
                return releases.make_current_report(service, members)
        return None

    def _find_silences(self, steps: tuple[ReleaseStep, ...]) -> tuple[SilenceReport, ...]:
        """Return the silences in which one of the steps began; others do not matter for them."""
        return tuple(
            silence
            for silence in self._core.fleet.known_silences()
            if any(
                silence.ended_ms <= step.age_ms <= silence.began_ms + SPREAD_MS for step in steps
            )
        )

    def _stored_deadlines(self, service: ServiceId) -> tuple[LongestDeadline, ...]:
        """Return the deadlines in the row of the store, with the ages of now."""
        stored = self._stored.get(service)
        if stored is None:
            return ()
        elapsed_ms = self._core.clock.now() - stored.read_at
        return tuple(
            replace(item, age_ms=item.age_ms + elapsed_ms) for item in stored.report.deadlines()
        )

    def _stored_silences(self, service: ServiceId) -> tuple[SilenceReport, ...]:
        """Return the silences in the row of the store, with the ages of now."""
        stored = self._stored.get(service)
        if stored is None:
            return ()
        elapsed_ms = self._core.clock.now() - stored.read_at
        return tuple(
            SilenceReport(item.began_ms + elapsed_ms, item.ended_ms + elapsed_ms)
            for item in stored.report.silences
        )

    def _apply(self, reports: list[ReleaseReport]) -> None:
        """Use rows of the store."""
        core = self._core
        for report in reports:
            self._stored[report.service] = StoredRow(report, core.clock.now())
            if self._read_at is None:
                # Later on, this router knows itself when others are silent, and for how long.
                for silence in report.silences:
                    core.fleet.silences.apply_report(silence)
            core.apply_release(report, "store")

    def _digest_members(self, service: ServiceId) -> MembersDigest | None:
        """Return the digest of the processes of a service's replicas."""
        state = self._core.cluster_state
        return digest_members(
            state.upstreams[replica].record for replica in state.services.replicas(service)
        )

    def _count_versions(self) -> dict[ServiceId, Counter[SoftwareVersion]]:
        """Return how many replicas of each version a service of engines has.

        A version of which none can be used counts as having none.
        """
        core = self._core
        state, blocked = core.cluster_state, core.health.blocked()
        found = {}
        for service, plan in state.plan.services.items():
            if not plan.engine_slots:
                continue
            counts: Counter[SoftwareVersion] = Counter()
            usable: set[SoftwareVersion] = set()
            for replica, upstream in state.usable_members(service).items():
                version = upstream.record.software
                if version is not None:
                    counts[version] += 1
                    if replica not in blocked:
                        usable.add(version)
            if len(usable) > 0:
                counts = Counter({item: n * (item in usable) for item, n in counts.items()})
            if counts:
                found[service] = counts
        return found
