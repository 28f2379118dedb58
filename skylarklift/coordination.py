"""The coordination of one router with the others, without any server.

`Coordination` is given its connections to the other routers and to the store, so that
the daemon runs it on sockets and a test on fakes.
"""

import trio

from skylarklift.clock import Clock
from skylarklift.config.heads import HeadManager
from skylarklift.errors import PatchError, PeerError, StoreError
from skylarklift.generated import Crash, Done, Settings
from skylarklift.ids import Fingerprint, ReplicaId, RouterId
from skylarklift.logger import log
from skylarklift.pools.host import PoolHost
from skylarklift.pools.placer import Placer
from skylarklift.requests.claims import ClaimWriter
from skylarklift.requests.gate import Gate
from skylarklift.routers.gossip import Gossip
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import PeerTransport
from skylarklift.routers.views import ViewChanger
from skylarklift.routers.wire import Message
from skylarklift.store.base import ObjectStore, TableStore, VMList
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.crashes import CrashTracker
from skylarklift.upstreams.reports import LoadReportClient
from skylarklift.upstreams.retries import RetryBudget
from skylarklift.votes.freshness import Freshness
from skylarklift.votes.lease import VoterSets


class Coordination:
    """The components through which one router coordinates with the others."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        peers: PeerTransport,
        tables: TableStore,
        objects: ObjectStore,
        vms: VMList,
        load_reports: LoadReportClient,
        telemetry: Telemetry,
        nursery: trio.Nursery,
    ):
        self.me = RouterId(cfg.router)
        self.clock = clock
        self.peers = peers
        self._nursery = nursery
        fresh_for_ms, lease_ms = cfg.freshness.fresh_for_ms, cfg.freshness.lease_ms
        self.voters = VoterSets(clock, cfg.freshness.voters, fresh_for_ms + lease_ms)
        self.freshness = Freshness(clock, fresh_for_ms, self.voters)
        self.heads = HeadManager(clock, cfg.store, tables, objects, self.freshness, self.voters)
        self.views = ViewChanger(self.heads, tables)
        self.membership = Membership(clock, self.me, cfg.peers)
        self.gossip = Gossip(
            clock,
            self.me,
            self.membership,
            peers,
            self.heads,
            self.views,
            self.freshness,
            self.voters,
            vms,
        )
        self.poison = CrashTracker(clock, cfg.retries.poison_crashes, cfg.retries.poison_keep_ms)
        self.budget = RetryBudget(cfg.retries)
        self.placer = Placer(clock, self.me, self.membership, peers, nursery)
        self.pools = PoolHost(
            clock,
            self.me,
            cfg.freshness,
            self.heads,
            self.freshness,
            self.membership,
            self.voters,
            peers,
            self.poison,
            load_reports,
            self.placer.own_grants,
            telemetry,
        )
        self.placer.pool_host = self.pools
        self.gate = Gate(clock, self.freshness, self.heads)
        self.claims = ClaimWriter(clock, self.me, cfg.store, tables)
        self.handlers = {
            "Pull": self.gossip.answer_pull,
            "Suspicions": self.gossip.answer_suspicions,
            "Fetch": self.gossip.answer_fetch,
            "Prepare": self.gossip.answer_prepare,
            "Withdraw": self.gossip.answer_withdraw,
            "Vote": self.pools.answer_vote,
            "Unvote": self.pools.answer_unvote,
            "Ask": self.pools.answer_ask,
            "Release": self.pools.answer_release,
            "Inventory": self.placer.answer_inventory,
            "Crash": self._answer_crash,
        }

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.heads.run_polls)
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self.pools.run)
            nursery.start_soon(self.claims.run)

    async def answer(self, router: RouterId, message: Message) -> Message:
        """Return the answer to a message of another router."""
        handler = self.handlers.get(type(message).__name__)
        if handler is None:
            raise PeerError(f"no handler for message type {type(message).__name__}")
        return await handler(router, message)

    def is_ready(self) -> bool:
        """Return whether this router can serve callers now."""
        return self.gossip.is_member() and self.freshness.is_fresh()

    async def hand_over(self) -> bool:
        """Mark this router as leaving and hand over its pools; return whether that worked.

        The router stays in the view, so that the new admitters can list the grants of
        the requests that still run here.  If the store is unavailable, the router
        continues to admit until it stops; the other routers then detect its absence.
        """
        self.gossip.leaving = True
        try:
            await self.views.mark_leaving(self.me)
        except (StoreError, PatchError, PeerError) as exc:
            log.warning("leaving_mark_failed", reason=str(exc))
            return False
        await self.pools.hand_over_all()
        return True

    async def leave(self) -> None:
        """Leave the view; if the store is unavailable, the other routers detect the absence."""
        await self.pools.hand_over_all()
        try:
            await self.views.remove([self.me])
        except (StoreError, PatchError, PeerError) as exc:
            log.warning("view_leave_failed", reason=str(exc))

    # Crashes.

    async def _answer_crash(self, router: RouterId, message: Crash) -> Done:
        """Record a crash that another router reported."""
        replica = ReplicaId(message.replica)
        self.poison.record_crash(Fingerprint(message.fingerprint), replica, message.age_ms)
        return Done(0)

    def broadcast_crash(self, fingerprint: Fingerprint, replica: ReplicaId) -> None:
        """Send a crash report to the other routers in the background."""
        log.warning("replica_crashed", replica=replica, fingerprint=fingerprint)
        recorded_at = self.clock.now()

        async def send(router: RouterId) -> None:
            age_ms = self.clock.now() - recorded_at
            try:
                await self.peers.call(router, Crash(0, fingerprint, replica, age_ms))
            except PeerError:
                return

        for router in self.membership.live_peers():
            self._nursery.start_soon(send, router)
