"""The check that every request passes right before it is dispatched.

The process may have been suspended since its last check.  The clock, the freshness
evidence and the configuration are therefore checked again before a grant or an
upstream is used.
"""

from skylarklift.clock import Clock, sleep_ms
from skylarklift.config.heads import HeadManager
from skylarklift.config.routing import RoutingTable
from skylarklift.errors import Refusal
from skylarklift.generated import Replica
from skylarklift.pools.placer import Placement
from skylarklift.votes.freshness import Freshness

STALE_RETRY_AFTER_MS = 2000
MAX_FRESH_WAIT_MS = 1000
FRESH_POLL_INTERVAL_MS = 10


class Gate:
    """Let requests pass only while this router's configuration is known to be fresh."""

    def __init__(self, clock: Clock, freshness: Freshness, heads: HeadManager):
        self._clock = clock
        self._freshness = freshness
        self._heads = heads
        self.closed = False
        self.stale_refusals = 0

    async def enter(self, limit_ms: int) -> RoutingTable:
        """Return the configuration for a new request; raise `Refusal` if it may not start.

        A request that has entered is completed even if a shutdown starts meanwhile.
        """
        if self.closed:
            raise Refusal("shutting_down", "this router is shutting down")
        return await self.require_fresh_within(limit_ms)

    async def require_fresh_within(self, limit_ms: int) -> RoutingTable:
        """Wait up to `limit_ms` for evidence of freshness, then do as `require_fresh` does.

        Evidence is missing for a moment after each change of version, so the wait is at most
        `MAX_FRESH_WAIT_MS`.
        """
        deadline = self._clock.now() + min(limit_ms, MAX_FRESH_WAIT_MS)
        while not self._freshness.is_fresh() and self._clock.now() < deadline:
            await sleep_ms(FRESH_POLL_INTERVAL_MS)
        return self.require_fresh()

    def require_fresh(self) -> RoutingTable:
        """Return the configuration in force; raise `Refusal` if it may be stale."""
        if not self._freshness.is_fresh():
            self.stale_refusals += 1
            text = "this router cannot show that its configuration is the newest"
            raise Refusal("stale_router", text, retry_after_ms=STALE_RETRY_AFTER_MS)
        return self._heads.table

    def table(self) -> RoutingTable:
        """Return the configuration in force without a check of its freshness."""
        return self._heads.table

    def check_placement(self, placement: Placement) -> Replica | None:
        """Return the replica of a grant, or `None` if the grant may not be used now."""
        if self._clock.now() >= placement.usable_until or not self._freshness.is_fresh():
            return None
        pool = self._heads.table.pool(placement.request.pool)
        replica = pool.replicas.get(placement.replica) if pool else None
        if replica is None or not self._heads.table.in_service(replica):
            return None
        return replica

    def check_upstream(self, upstream: Replica) -> bool:
        """Return whether a call may be sent to a plain service's upstream now."""
        return self._freshness.is_fresh() and self._heads.table.in_service(upstream)
