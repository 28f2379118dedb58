"""Keep the admitters of a router up to date: load reports of replicas, grants of other routers."""

from collections.abc import Mapping

import trio

from skylarklift.clock import Clock, Millis, sleep_ms
from skylarklift.errors import PeerError
from skylarklift.generated import Inventory, InventoryReply
from skylarklift.ids import GrantId, PoolId, ReplicaId, RouterId
from skylarklift.logger import FAILURES
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import GRANT_TTL_MS
from skylarklift.pools.hosted import HostedPool
from skylarklift.routers.peers import PeerTransport
from skylarklift.upstreams.reports import LoadReportClient

REPORT_CHECK_INTERVAL_MS = 200
RECONCILE_INTERVAL_MS = 10_000


class AdmitterMaintenance:
    """Collect load reports and reconcile grants for the pools that a router admits for."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        pools: Mapping[PoolId, HostedPool],
        peers: PeerTransport,
        load_reports: LoadReportClient,
    ):
        self._clock = clock
        self._me = me
        self._pools = pools
        self._peers = peers
        self._load_reports = load_reports

    async def run_reports(self) -> None:
        """Collect the replicas' load reports for each pool that this router admits for."""
        async with trio.open_nursery() as nursery:
            due: dict[PoolId, Millis] = {}
            while True:
                now = self._clock.now()
                for pool_id, hosted in self._pools.items():
                    if hosted.admitter is not None and due.get(pool_id, now) <= now:
                        due[pool_id] = Millis(now + hosted.admitter.pool.report_interval_ms)
                        nursery.start_soon(self._collect_reports, pool_id)
                await sleep_ms(REPORT_CHECK_INTERVAL_MS)

    async def _collect_reports(self, pool_id: PoolId) -> None:
        """Request the load report of each replica of a pool."""
        hosted = self._pools.get(pool_id)
        if hosted is None or hosted.admitter is None:
            # The admitter was removed after this task was scheduled.
            return

        async def collect(name: ReplicaId, url: str) -> None:
            report = await self._load_reports.read(url)
            if report is not None and hosted.admitter is not None:
                hosted.apply_report(name, report)

        async with trio.open_nursery() as nursery:
            for name, replica in hosted.admitter.pool.replicas.items():
                nursery.start_soon(collect, ReplicaId(name), replica.url)

    async def run_reconciliation(self) -> None:
        """Reconcile the grants periodically with those that routers hold; a release may be lost."""
        while True:
            await sleep_ms(RECONCILE_INTERVAL_MS)
            for pool_id, hosted in list(self._pools.items()):
                if hosted.admitter is not None:
                    await self._reconcile(pool_id, hosted, hosted.admitter)

    async def _reconcile(self, pool_id: PoolId, hosted: HostedPool, admitter: PoolAdmitter) -> None:
        """End the grants of one pool that their routers no longer hold."""
        for router in {grant.key.router for grant in admitter.grants()} - {self._me}:
            asked_at = self._clock.now()
            try:
                reply = await self._peers.call(router, Inventory(0, pool_id, hosted.tenure))
            except PeerError as exc:
                FAILURES.record("inventory_request_failed", exc, router=router)
                continue
            if isinstance(reply, InventoryReply) and hosted.admitter is admitter:
                held = {GrantId(entry.grant) for entry in reply.entries}
                # A younger grant may not have reached its router before the inventory.
                before = Millis(asked_at - GRANT_TTL_MS)
                hosted.deliver(admitter.reconcile(router, held, before))
