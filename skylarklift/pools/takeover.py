"""Collect the grants that all routers hold, for a router that starts to admit for a pool."""

from collections.abc import Callable

import trio

from skylarklift.clock import Clock, Millis
from skylarklift.errors import PeerError
from skylarklift.generated import Inventory, InventoryReply, Pool
from skylarklift.ids import BootId, ChatKey, GrantId, PoolId, ReplicaId, RouterId, WorkspaceId
from skylarklift.logger import FAILURES
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import Grant, GrantKey
from skylarklift.pools.hosted import DEPARTED_ROUTER_TTL_MS, HostedPool
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import PeerTransport
from skylarklift.upstreams.reports import LoadReportClient

OwnGrants = Callable[[PoolId, int], list[Grant]]


class DepartedRouters:
    """Routers that left the view so recently that their requests may still run."""

    def __init__(self, clock: Clock, membership: Membership):
        self._clock = clock
        self._membership = membership
        self._noted: set[RouterId] = set()
        self._departed_at: dict[RouterId, Millis] = {}

    def recently_departed(self) -> set[RouterId]:
        """Note the present members; return the routers that left the view recently.

        A departure counts from when it is noticed, as this router may have stood still before.
        Call it at least once for each view, or members of that view may be missed.
        """
        now = self._clock.now()
        members = set(self._membership.members)
        self._departed_at.update(dict.fromkeys(self._noted - members, now))
        self._noted = members
        oldest = now - DEPARTED_ROUTER_TTL_MS
        self._departed_at = {
            name: moment
            for name, moment in self._departed_at.items()
            if moment > oldest and name not in members
        }
        return set(self._departed_at)


async def count_unlisted_requests(
    load_reports: LoadReportClient, pool: Pool, admitter: PoolAdmitter
) -> None:
    """Pass the replicas' load reports to the admitter, which counts requests no router listed."""

    async def collect(name: ReplicaId, url: str) -> None:
        report = await load_reports.read(url)
        if report is not None:
            admitter.apply_report(name, report.running, BootId(report.boot), all_listed=False)

    async with trio.open_nursery() as nursery:
        for name, replica in pool.replicas.items():
            nursery.start_soon(collect, ReplicaId(name), replica.url)


class GrantCollector:
    """Asks routers to list their grants and adds these to a new admitter."""

    def __init__(self, me: RouterId, peers: PeerTransport, own_grants: OwnGrants):
        self._me = me
        self._peers = peers
        self._own_grants = own_grants

    async def collect(
        self, hosted: HostedPool, pool_id: PoolId, admitter: PoolAdmitter, routers: set[RouterId]
    ) -> set[RouterId]:
        """Add the grants of routers to the admitter; return the routers that did not answer."""
        not_listed: set[RouterId] = set()

        async def request_grants(router: RouterId) -> None:
            try:
                reply = await self._peers.call(router, Inventory(0, pool_id, hosted.tenure))
            except PeerError as exc:
                FAILURES.record("inventory_request_failed", exc, router=router)
                not_listed.add(router)
                return
            if isinstance(reply, InventoryReply):
                admitter.add_grants(_listed_grants(router, reply))

        async with trio.open_nursery() as nursery:
            for router in sorted(routers):
                if router == self._me:
                    admitter.add_grants(self._own_grants(pool_id, hosted.tenure))
                else:
                    nursery.start_soon(request_grants, router)
        return not_listed


def _listed_grants(router: RouterId, reply: InventoryReply) -> list[Grant]:
    """Return the grants that a router listed in its reply."""
    return [
        Grant(
            GrantKey(router, GrantId(entry.grant)),
            ReplicaId(entry.replica),
            WorkspaceId(entry.workspace),
            ChatKey(entry.key),
        )
        for entry in reply.entries
    ]
