"""The check that every piece of work passes right before it is given out.

A process may have been frozen since it last looked, so nothing that it held is
used before the clock, the freshness and the configuration are looked at again.
"""

from skylarklift.clock import Clock, sleep_ms
from skylarklift.config.heads import HeadKeeper
from skylarklift.config.routing import RoutingTable
from skylarklift.errors import Refusal
from skylarklift.generated import Replica
from skylarklift.pools.placer import Placement
from skylarklift.votes.freshness import Freshness

STALE_RETRY_AFTER_MS = 2000
FRESH_WAIT_LIMIT_MS = 1000
FRESH_POLL_INTERVAL_MS = 10


class Gate:
    """Lets work pass only while this router may give out work."""

    def __init__(self, clock: Clock, freshness: Freshness, heads: HeadKeeper):
        self._clock = clock
        self._freshness = freshness
        self._heads = heads
        self.closed = False
        self.stale_refusals = 0

    async def enter(self, limit_ms: int) -> RoutingTable:
        """Let a new request in, or raise `Refusal`.

        A request that is in is completed, also when a shutdown begins meanwhile.
        """
        if self.closed:
            raise Refusal("shutting_down", "this router is shutting down")
        return await self.require_fresh_within(limit_ms)

    async def require_fresh_within(self, limit_ms: int) -> RoutingTable:
        """Do as `check`, but wait a moment for evidence, as after a change of version."""
        deadline = self._clock.now() + min(limit_ms, FRESH_WAIT_LIMIT_MS)
        while not self._freshness.is_fresh() and self._clock.now() < deadline:
            await sleep_ms(FRESH_POLL_INTERVAL_MS)
        return self.require_fresh()

    def require_fresh(self) -> RoutingTable:
        """Return the configuration in force; raise `Refusal` when it may not be used."""
        if not self._freshness.is_fresh():
            self.stale_refusals += 1
            text = "this router cannot show that its configuration is the newest"
            raise Refusal("stale_router", text, retry_after_ms=STALE_RETRY_AFTER_MS)
        return self._heads.table

    def table(self) -> RoutingTable:
        """Return the configuration in force, for reading only."""
        return self._heads.table

    def check_placement(self, placement: Placement) -> Replica | None:
        """Return the replica of a grant, or `None` when the grant must not be used."""
        if self._clock.now() >= placement.usable_until or not self._freshness.is_fresh():
            return None
        pool = self._heads.table.pool(placement.request.pool)
        replica = pool.replicas.get(placement.replica) if pool else None
        if replica is None or not self._heads.table.in_service(replica):
            return None
        return replica

    def check_upstream(self, upstream: Replica) -> bool:
        """Tell whether a plain service's upstream may be given work now."""
        return self._freshness.is_fresh() and self._heads.table.in_service(upstream)
