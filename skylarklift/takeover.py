"""List the grants that all routers hold, when a router begins to admit for a pool."""

from collections.abc import Callable

import trio

from skylarklift.admission import PoolAdmitter
from skylarklift.errors import PeerError
from skylarklift.generated import Inventory, InventoryReply
from skylarklift.grants import Grant, GrantKey
from skylarklift.hostedpool import HostedPool
from skylarklift.ids import ChatKey, GrantId, PoolId, ReplicaId, RouterId, WorkspaceId
from skylarklift.peers import Peers

OwnGrants = Callable[[PoolId, int], list[Grant]]


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
            except PeerError:
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
