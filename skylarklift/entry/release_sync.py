"""Keep the rows that say in which proportions the software versions of services begin streams."""

from collections import Counter

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.releases import ReleaseReport
from skylarklift.entry.rows import ReleaseStore
from skylarklift.errors import StoreError
from skylarklift.ids import ServiceId, SoftwareVersion

CHECK_INTERVAL_MS = 150
# After the store refused or lost a call.
RETRY_DELAY_MS = 600


class ReleaseSync:
    """Read the rows once, and write them when the versions of a service change.

    Only routers that read the store write.  Of two that write at once, one is refused and takes
    the row of the other.
    """

    def __init__(self, core: Core, store: ReleaseStore):
        self._core = core
        self._store = store

    async def run(self) -> None:
        """Read the rows, then follow the list of upstreams."""
        core = self._core
        while True:
            try:
                if not core.releases_read.is_set():
                    self._apply(await self._store.read_releases())
                    core.releases_read.set()
                if core.cluster_state.complete and all(core.reading_store.values()):
                    await self._write_changes()
                await trio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            except StoreError as exc:
                core.event_log.write("release_sync_failed", cause=str(exc))
                await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)

    async def _write_changes(self) -> None:
        """Write the rows of the services whose versions have changed."""
        core = self._core
        for service, counts in self._count_versions().items():
            steps = core.releases.next_row(service, counts)
            if steps is not None:
                report = ReleaseReport(
                    service,
                    core.releases.row_version(service),
                    steps,
                    deadline=core.releases.deadlines.longest(service),
                )
                self._apply([await self._store.write_release(report)])

    def _apply(self, reports: list[ReleaseReport]) -> None:
        """Use rows of the store."""
        for report in reports:
            self._core.apply_release(report, "store")

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
