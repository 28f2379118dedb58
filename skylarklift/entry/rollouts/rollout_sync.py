"""Keep the states of roll-outs in the store.

Each router reads the rows once; then those that read the store do, and write what comes next.  A
write names the version of the row that it replaces, so that one with outdated knowledge fails.
"""

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.rollouts.exchange import apply_state, log_event
from skylarklift.entry.rollouts.state import StoredRollout
from skylarklift.entry.state.rows import RolloutStore, RowTable
from skylarklift.errors import StoreError
from skylarklift.ids import ServiceId

CHECK_INTERVAL_MS = 150
# After the store refused or lost a call.
RETRY_DELAY_MS = 600
READ_INTERVAL_MS = 1000


class RolloutSync:
    """Read the rows, and write them when a roll-out goes on."""

    def __init__(self, core: Core, store: RolloutStore):
        self._core = core
        self._store = store
        # When the rows were read last, `None` if a write may have failed since.
        self._read_at: Millis | None = None
        self._stored: dict[ServiceId, StoredRollout] = {}

    async def run(self) -> None:
        """Follow the orders while the settings ask for it."""
        core = self._core
        while True:
            try:
                if core.rollouts.enabled:
                    await self.check()
                await trio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            except StoreError as exc:
                self._read_at = None
                core.event_log.write("rollout_sync_failed", cause=str(exc))
                await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            except Exception as exc:
                # An odd row must not end the router.
                self._read_at = None
                core.record_fault(exc, "roll-outs")
                await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)

    async def judge_versions(self) -> None:
        """Revert what the evidence condemns, also while a call to the store takes long."""
        core = self._core
        while True:
            try:
                self._revert_condemned()
            except Exception as exc:
                # One odd report must not end the router.
                core.record_fault(exc, "roll-outs")
            await trio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)

    def _revert_condemned(self) -> None:
        """Revert here what the evidence condemns, and log it."""
        core = self._core
        for event in core.rollouts.revert_condemned():
            log_event(core, event, core.settings.node)

    async def check(self) -> None:
        """Judge the versions, then read and write rows; raise `StoreError`."""
        core = self._core
        self._revert_condemned()
        orders = core.cluster_state.rollout_orders
        if not core.cluster_state.complete or not orders:
            return
        reads_store = all(core.reading_store.values())
        if self._is_read_due(reads_store=reads_store):
            await self._read()
        if reads_store:
            for service in tuple(orders):
                await self._write_next(service)

    def _is_read_due(self, *, reads_store: bool) -> bool:
        """Return whether to read the rows; a router that does not read the store does so once."""
        if self._read_at is None:
            return True
        return reads_store and self._core.clock.now() - self._read_at >= READ_INTERVAL_MS

    async def _read(self) -> None:
        """Read the rows."""
        found = await self._store.read_rollouts()
        self._stored = {item.state.service: item for item in found}
        self._read_at = self._core.clock.now()
        for item in found:
            apply_state(self._core, item.state, "store")

    async def _write_next(self, service: ServiceId) -> None:
        """Write the next state of a service, unless the store has it."""
        core = self._core
        state = core.rollouts.next_state(service, others_busy=self._are_others_busy(service))
        stored = self._stored.get(service)
        if state is None:
            return
        if stored is not None and stored.state.is_of_same_order(state):
            if stored.state.progress() >= state.progress():
                return
        elif stored is not None and not self._knows_orders_of_read():
            # The row may be of an order that this router has not read yet.
            return
        row_version = 0 if stored is None else stored.row_version
        found = await self._store.write_rollout(state, row_version)
        if found is None:
            self._stored.pop(service, None)
            raise StoreError(f"the row of the roll-out of {service} is not readable")
        self._stored[service] = found
        apply_state(core, found.state, "store")

    def _knows_orders_of_read(self) -> bool:
        """Return whether the orders were confirmed after the rows were read."""
        confirmed_at = self._core.cluster_state.confirmed_at(RowTable.OPERATOR)
        return None not in (confirmed_at, self._read_at) and confirmed_at > self._read_at

    def _are_others_busy(self, service: ServiceId) -> bool:
        """Return whether replicas of other versions than the new one have requests."""
        core = self._core
        known = core.cluster_state.rollout_orders.get(service)
        if known is None:
            return False
        upstreams = core.cluster_state.upstreams
        return any(
            core.chooser.load(replica) > 0
            for replica in core.cluster_state.services.replicas(service)
            if upstreams[replica].record.software != known.order.to
        )
