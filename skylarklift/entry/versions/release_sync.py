"""Keep the rows that say in which proportions the software versions of services begin streams.

The rows are known by age: what the store does not confirm any more may be outdated.
"""

from collections import Counter
from dataclasses import dataclass, replace

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.state.rows import ReleaseStore
from skylarklift.entry.versions.releases import ReleaseReport
from skylarklift.entry.versions.stream_deadlines import LongestDeadline
from skylarklift.errors import StoreError
from skylarklift.ids import ServiceId, SoftwareVersion

CHECK_INTERVAL_MS = 150
# After the store refused or lost a call.
RETRY_DELAY_MS = 600
# A router that reads the store reads the rows at this interval, and confirms them to the others.
READ_INTERVAL_MS = 1000
# A row is written for its deadline alone at most once in this time.
DEADLINE_INTERVAL_MS = 5000


@dataclass(frozen=True, slots=True)
class StoredDeadlines:
    """The deadlines in a row of the store, and when their ages were right."""

    deadlines: tuple[LongestDeadline, ...]
    known_at: Millis


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
        # The deadlines in the rows of the store, and when they were read.
        self._stored: dict[ServiceId, StoredDeadlines] = {}
        self._deadlines_written_at: dict[ServiceId, Millis] = {}

    async def run(self) -> None:
        """Read the rows, then follow the list of upstreams."""
        core = self._core
        while True:
            try:
                self._note_unchanged()
                if self._is_read_due():
                    await self._read()
                if core.cluster_state.complete and all(core.reading_store.values()):
                    await self._write_changes()
                await trio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            except StoreError as exc:
                self._read_at = None
                core.event_log.write("release_sync_failed", cause=str(exc))
                await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)

    def _is_read_due(self) -> bool:
        """Return whether to read the rows; without services of engines there are none."""
        core = self._core
        if not core.releases_read.is_set():
            return True
        plan = core.cluster_state.plan
        if not all(core.reading_store.values()) or plan is None or not plan.has_engines():
            return False
        return self._read_at is None or core.clock.now() - self._read_at >= READ_INTERVAL_MS

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
            report = core.releases.next_report(service, counts) or self._deadline_report(service)
            if report is not None:
                self._apply([await self._store.write_release(report)])

    def _deadline_report(self, service: ServiceId) -> ReleaseReport | None:
        """Return the row to write again for its deadline, `None` if that is right or was written.

        A write that lost against another one is made again after the same time.
        """
        now = self._core.clock.now()
        written_at = self._deadlines_written_at.get(service)
        if written_at is not None and now - written_at < DEADLINE_INTERVAL_MS:
            return None
        stored = self._stored_deadlines(service)
        report = self._core.releases.deadline_report(service, stored)
        if report is not None:
            self._deadlines_written_at[service] = now
        return report

    def _stored_deadlines(self, service: ServiceId) -> tuple[LongestDeadline, ...]:
        """Return the deadlines in the row of the store, with the ages of now."""
        stored = self._stored.get(service)
        if stored is None:
            return ()
        elapsed_ms = self._core.clock.now() - stored.known_at
        return tuple(replace(item, age_ms=item.age_ms + elapsed_ms) for item in stored.deadlines)

    def _apply(self, reports: list[ReleaseReport]) -> None:
        """Use rows of the store."""
        for report in reports:
            self._note_deadlines(report)
            self._core.apply_release(report, "store")

    def _note_deadlines(self, report: ReleaseReport) -> None:
        """Record the deadlines in a row of the store."""
        now = self._core.clock.now()
        self._stored[report.service] = StoredDeadlines(report.deadlines(), now)

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
