"""What a router tells operators of itself, and of the others by asking them."""

from collections.abc import Callable

import trio
from msgspec import json, to_builtins

from skylarklift.config.heads import HeadKeeper
from skylarklift.errors import PeerError
from skylarklift.generated import PoolStatus, RouterStatus, StatusAsk, StatusReply
from skylarklift.ids import PoolId, RouterId
from skylarklift.logger import FAILURES
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.routers.frames import TrafficCounter
from skylarklift.routers.peers import PeerDirectory


def pool_status(me: RouterId, pool_id: PoolId, admitter: PoolAdmitter) -> PoolStatus:
    """Return the state of a pool at the router that admits for it."""
    return PoolStatus(
        pool=pool_id,
        admitter=me,
        in_service=list(admitter.in_service()),
        loads=dict(admitter.loads()),
        limits=dict(admitter.limits()),
        bound=admitter.bound(),
        queued=admitter.queued(),
        granted=admitter.counts.granted,
        refused=admitter.counts.refused,
        moved_aside=admitter.counts.moved_aside,
    )


def traffic_counts(traffic: TrafficCounter) -> dict[str, int]:
    """Return the bytes sent and received by message type."""
    total = traffic.sent + traffic.received
    return dict(total)


class StatusCollector:
    """Collects the status of all routers of the view."""

    def __init__(self, heads: HeadKeeper, peers: PeerDirectory, own: Callable[[], RouterStatus]):
        self._heads = heads
        self._peers = peers
        self._own = own

    async def answer(self, router: RouterId, message: StatusAsk) -> StatusReply:
        """Answer another router with the own status."""
        return StatusReply(0, json.encode(self._own()))

    async def collect(self) -> dict:
        """Return the status of each router; one that does not answer has none."""
        own = self._own()
        by_router: dict[str, dict | None] = {own.router: to_builtins(own)}

        async def ask(name: str) -> None:
            try:
                reply = await self._peers.call(RouterId(name), StatusAsk(0))
            except PeerError as exc:
                FAILURES.record("status_not_told", exc, router=name)
                by_router[name] = None
                return
            if isinstance(reply, StatusReply):
                by_router[name] = json.decode(reply.body)

        async with trio.open_nursery() as nursery:
            for name in self._heads.view.members:
                if name != own.router:
                    nursery.start_soon(ask, name)
        return {"version": self._heads.table.version, "routers": dict(sorted(by_router.items()))}
