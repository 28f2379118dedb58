"""Collect the status of this router and of the others for operators."""

from collections.abc import Callable

import trio
from msgspec import json, to_builtins

from skylarklift.config.heads import HeadManager
from skylarklift.errors import PeerError
from skylarklift.generated import PoolStatus, RouterStatus, StatusAsk, StatusReply
from skylarklift.ids import PoolId, RouterId
from skylarklift.logger import FAILURES
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.routers.frames import TrafficCounter
from skylarklift.routers.peers import TcpPeerTransport


def pool_status(me: RouterId, pool_id: PoolId, admitter: PoolAdmitter) -> PoolStatus:
    """Return the status of a pool at its admitter."""
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
    """Return the bytes sent and received, summed by message type."""
    total = traffic.sent + traffic.received
    return dict(total)


class StatusCollector:
    """Collect the status of all routers in the view."""

    def __init__(
        self, heads: HeadManager, peers: TcpPeerTransport, own_status: Callable[[], RouterStatus]
    ):
        self._heads = heads
        self._peers = peers
        self._own_status = own_status

    async def answer(self, router: RouterId, message: StatusAsk) -> StatusReply:
        """Answer another router with this router's status."""
        return StatusReply(0, json.encode(self._own_status()))

    async def collect(self) -> dict:
        """Return the status of each router; `None` for one that does not answer."""
        own_status = self._own_status()
        by_router: dict[str, dict | None] = {own_status.router: to_builtins(own_status)}

        async def fetch(name: str) -> None:
            try:
                reply = await self._peers.call(RouterId(name), StatusAsk(0))
            except PeerError as exc:
                FAILURES.record("status_request_failed", exc, router=name)
                by_router[name] = None
                return
            if isinstance(reply, StatusReply):
                by_router[name] = json.decode(reply.body)

        async with trio.open_nursery() as nursery:
            for name in self._heads.view.members:
                if name != own_status.router:
                    nursery.start_soon(fetch, name)
        return {"version": self._heads.table.version, "routers": dict(sorted(by_router.items()))}
