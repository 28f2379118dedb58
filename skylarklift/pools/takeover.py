"""List the grants that all routers hold, when a router begins to admit for a pool."""

from collections.abc import Callable

import trio

from skylarklift.clock import Clock, Millis
from skylarklift.errors import PeerError
from skylarklift.generated import Inventory, InventoryReply, Pool
from skylarklift.ids import BootId, ChatKey, GrantId, PoolId, ReplicaId, RouterId, WorkspaceId
from skylarklift.logger import FAILURES
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import Grant, GrantKey
from skylarklift.pools.hosted import DROP_ROUTER_AFTER_MS, HostedPool
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import Peers
from skylarklift.upstreams.reports import LoadReportClient

OwnGrants = Callable[[PoolId, int], list[Grant]]


class RecentRouters:
    """The routers that left the view so short a time ago that their requests may still run."""

    def __init__(self, clock: Clock, membership: Membership):
        self._clock = clock
        self._membership = membership
        self._seen: dict[RouterId, Millis] = {}

    def left(self) -> set[RouterId]:
        """Return those routers; to be called often enough to see each view."""
        now = self._clock.now()
        members = self._membership.members
        self._seen.update(dict.fromkeys(members, now))
        limit = now - DROP_ROUTER_AFTER_MS
        self._seen = {name: moment for name, moment in self._seen.items() if moment > limit}
        return self._seen.keys() - members.keys()


async def count_unlisted(reporter: LoadReportClient, pool: Pool, admitter: PoolAdmitter) -> None:
    """Take from the replicas' reports the requests that no router listed."""

    async def collect(name: ReplicaId, url: str) -> None:
        report = await reporter.read(url)
        if report is not None:
            admitter.see_report(name, report.running, BootId(report.boot), listed=False)

    async with trio.open_nursery() as nursery:
        for name, replica in pool.replicas.items():
            nursery.start_soon(collect, ReplicaId(name), replica.url)


class GrantLister:
    """Asks routers for their grants and takes them on account."""

    def __init__(self, me: RouterId, peers: Peers, own_grants: OwnGrants):
        self._me = me
        self._peers = peers
        self._own_grants = own_grants

    async def list_grants(
        self, hosted: HostedPool, pool_id: PoolId, admitter: PoolAdmitter, routers: set[RouterId]
    ) -> set[RouterId]:
        """Take the grants of routers on account; return the routers that gave no answer."""
        silent: set[RouterId] = set()

        async def ask(router: RouterId) -> None:
            try:
                reply = await self._peers.call(router, Inventory(0, pool_id, hosted.tenure))
            except PeerError as exc:
                FAILURES.record("grants_not_listed", exc, router=router)
                silent.add(router)
                return
            if isinstance(reply, InventoryReply):
                admitter.adopt(_listed_grants(router, reply))

        async with trio.open_nursery() as nursery:
            for router in sorted(routers):
                if router == self._me:
                    admitter.adopt(self._own_grants(pool_id, hosted.tenure))
                else:
                    nursery.start_soon(ask, router)
        return silent


def _listed_grants(router: RouterId, reply: InventoryReply) -> list[Grant]:
    """Return the grants that a router listed."""
    return [
        Grant(
            GrantKey(router, GrantId(entry.grant)),
            ReplicaId(entry.replica),
            WorkspaceId(entry.workspace),
            ChatKey(entry.key),
        )
        for entry in reply.entries
    ]
