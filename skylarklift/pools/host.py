"""Host the admissions of the pools that this router holds the lease for.

The router that comes first in rendezvous order among the live members is to admit
for a pool.  It asks for the lease, lists the grants that the other routers hold,
and then admits.  One that is no longer first hands over and gives up the lease.
"""

import random

import trio

from skylarklift.clock import Clock, Millis, sleep_ms
from skylarklift.config.heads import HeadKeeper
from skylarklift.errors import PeerError
from skylarklift.generated import (
    Ask,
    Done,
    FreshnessSettings,
    Granted,
    Inventory,
    InventoryReply,
    Refused,
    Release,
    Unvote,
    Vote,
    VoteReply,
)
from skylarklift.ids import (
    ChatKey,
    Fingerprint,
    GrantId,
    PoolId,
    ReplicaId,
    RouterId,
    WorkspaceId,
)
from skylarklift.logger import FAILURES, log
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import AdmissionRequest, Grant, GrantKey, RefusalCode
from skylarklift.pools.hosted import HostedPool, admitter_order, pool_lease_name
from skylarklift.pools.takeover import GrantLister, OwnGrants, RecentRouters, count_unlisted
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import Peers
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.crashes import CrashTracker
from skylarklift.upstreams.reports import LoadReportClient
from skylarklift.votes.freshness import Freshness
from skylarklift.votes.lease import LeaseHolder, LeaseVoter, VoterSets

# A grant must be used within this span, counted by the router that asked from
# before it asked.  A new admitter waits as long when it cannot list all grants.
GRANT_VALID_MS = 1500
TICK_INTERVAL_MS = 20
IDLE_TICK_INTERVAL_MS = 200
RECONCILE_INTERVAL_MS = 10_000
TENURE_BITS = 31

NOT_ADMITTING = "not_admitting"
STALE = "stale_router"
POISONED = "poisoned"


class PoolHost:
    """The pools that this router admits for, or would like to."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        cfg: FreshnessSettings,
        heads: HeadKeeper,
        freshness: Freshness,
        membership: Membership,
        voters: VoterSets,
        peers: Peers,
        poison: CrashTracker,
        reporter: LoadReportClient,
        own_grants: OwnGrants,
        telemetry: Telemetry,
    ):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self._heads = heads
        self._freshness = freshness
        self._membership = membership
        self._voters = voters
        self._peers = peers
        self._poison = poison
        self._reporter = reporter
        self._lister = GrantLister(me, peers, own_grants)
        self._telemetry = telemetry
        self.voter = LeaseVoter(clock, cfg.lease_ms)
        self._pools: dict[PoolId, HostedPool] = {}
        self._recent = RecentRouters(clock, membership)
        self.leaving = False
        heads.on_change.append(self._take_configuration)

    # Configuration.

    def _take_configuration(self) -> None:
        """Open and close pools, and give the admitters the new configuration."""
        routing = self._heads.table.routing
        for pool_id in routing.pools:
            if pool_id not in self._pools:
                name = pool_lease_name(PoolId(pool_id))
                lease = LeaseHolder(self._clock, self._voters, name, self._cfg.lease_ms)
                self._pools[PoolId(pool_id)] = HostedPool(lease)
        for pool_id in [name for name in self._pools if name not in routing.pools]:
            self._stop_admitting(pool_id)
            del self._pools[pool_id]
        for pool_id, hosted in self._pools.items():
            hosted.configure(self._heads.table, pool_id)

    # Tasks.

    async def run(self) -> None:
        """Renew leases, let time act, and collect load reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_leases, nursery)
            nursery.start_soon(self._run_ticks)
            nursery.start_soon(self._run_reports)
            nursery.start_soon(self._run_reconciliation)

    async def _run_leases(self, nursery: trio.Nursery) -> None:
        """Ask for the leases that this router should have, at each renewal."""
        while True:
            for pool_id in list(self._pools):
                nursery.start_soon(self._tend, pool_id)
            await sleep_ms(self._cfg.renew_interval_ms * random.uniform(0.8, 1.0))

    async def _tend(self, pool_id: PoolId) -> None:
        """Take, renew or hand over one lease."""
        hosted = self._pools.get(pool_id)
        if hosted is None:
            return
        first = self.should_admit(pool_id)
        if first and not self.leaving and self._freshness.is_fresh():
            await self._renew(pool_id, hosted)
        elif hosted.admitter is not None or hosted.lease.holds():
            await self.hand_over(pool_id)

    def should_admit(self, pool_id: PoolId) -> bool:
        """Tell whether this router comes first for the pool."""
        order = admitter_order(pool_id, self._membership.eligible())
        return bool(order) and order[0] == self._me

    async def _renew(self, pool_id: PoolId, hosted: HostedPool) -> None:
        """Collect votes; start to admit when the lease is new."""
        lease = hosted.lease
        asked = lease.start_round()
        number = lease.round_number()

        async def ask(router: RouterId) -> None:
            granted = await self._ask_vote(router, lease)
            lease.take_answer(number, router, granted)

        async with trio.open_nursery() as nursery:
            for router in asked:
                nursery.start_soon(ask, router)
        if not lease.holds() or self._pools.get(pool_id) is not hosted:
            return
        if hosted.admitter is None:
            await self._start_admitting(pool_id, hosted)
        elif hosted.silent:
            asked = hosted.silent & set(self._membership.members)
            silent = await self._lister.list_grants(hosted, pool_id, hosted.admitter, asked)
            hosted.silent = silent | (hosted.silent & self._recent.left())

    async def _ask_vote(self, router: RouterId, lease: LeaseHolder) -> bool:
        """Ask one voter; tell whether it granted."""
        if router == self._me:
            return self.voter.ask(lease.name, self._me, lease.span_ms).granted
        message = Vote(0, lease.name, lease.span_ms, self._heads.view.number)
        try:
            reply = await self._peers.call(router, message)
        except PeerError as exc:
            FAILURES.record("vote_not_had", exc, router=router)
            return False
        return isinstance(reply, VoteReply) and reply.granted

    async def _start_admitting(self, pool_id: PoolId, hosted: HostedPool) -> None:
        """List the grants that others hold, then open the account."""
        table = self._heads.table
        pool = table.routing.pools[pool_id]
        hosted.tenure = random.getrandbits(TENURE_BITS)
        admitter = PoolAdmitter(self._clock, pool, table.serving(pool.replicas))
        members = set(self._membership.members)
        silent = await self._lister.list_grants(hosted, pool_id, admitter, members)
        # A router that has just left the view cannot be asked, but its requests may still run.
        silent |= self._recent.left()
        if silent:
            await count_unlisted(self._reporter, pool, admitter)
        if not hosted.lease.holds() or hosted.admitter is not None:
            return
        admitter.start_from_loads()
        hosted.version = table.version
        hosted.silent = silent
        wait_ms = GRANT_VALID_MS if silent else 0
        hosted.open_at = Millis(self._clock.now() + wait_ms)
        hosted.admitter = admitter
        hosted.configure(self._heads.table, pool_id)
        log.info("admitting_started", pool=pool_id, not_listed=sorted(silent))

    async def hand_over(self, pool_id: PoolId) -> None:
        """Stop admitting and let the voters vote for another router at once."""
        hosted = self._pools.get(pool_id)
        if hosted is None:
            return
        self._stop_admitting(pool_id)
        asked = hosted.lease.start_round()
        hosted.lease.give_up()

        async def tell(router: RouterId) -> None:
            if router == self._me:
                self.voter.take_back(hosted.lease.name, self._me)
                return
            try:
                await self._peers.call(router, Unvote(0, hosted.lease.name))
            except PeerError as exc:
                FAILURES.record("vote_not_given_back", exc, router=router)

        async with trio.open_nursery() as nursery:
            for router in asked:
                nursery.start_soon(tell, router)

    async def hand_over_all(self) -> None:
        """Hand over every pool before the router ends."""
        self.leaving = True
        async with trio.open_nursery() as nursery:
            for pool_id in list(self._pools):
                nursery.start_soon(self.hand_over, pool_id)

    def _stop_admitting(self, pool_id: PoolId) -> None:
        """Close the account; what waits in the queue is asked elsewhere."""
        if self._pools[pool_id].stop():
            log.info("admitting_stopped", pool=pool_id)

    async def _run_ticks(self) -> None:
        """Let time act on the admitters; close those whose lease ended."""
        while True:
            self._recent.left()
            for pool_id, hosted in list(self._pools.items()):
                if hosted.admitter is None:
                    continue
                if not hosted.lease.holds():
                    self._stop_admitting(pool_id)
                    continue
                hosted.drop_gone_routers(self._clock.now(), set(self._membership.members))
                hosted.deliver(hosted.admitter.tick())
            await sleep_ms(TICK_INTERVAL_MS if self._has_queue() else IDLE_TICK_INTERVAL_MS)

    def _has_queue(self) -> bool:
        """Tell whether requests wait at any admitter."""
        return any(item.admitter and item.admitter.queued() for item in self._pools.values())

    async def _run_reports(self) -> None:
        """Collect the load reports of the replicas of the pools admitted for."""
        async with trio.open_nursery() as nursery:
            due: dict[PoolId, Millis] = {}
            while True:
                now = self._clock.now()
                for pool_id, hosted in self._pools.items():
                    if hosted.admitter is not None and due.get(pool_id, now) <= now:
                        due[pool_id] = Millis(now + hosted.admitter.pool.report_interval_ms)
                        nursery.start_soon(self._collect_reports, pool_id)
                await sleep_ms(IDLE_TICK_INTERVAL_MS)

    async def _collect_reports(self, pool_id: PoolId) -> None:
        """Ask each replica of a pool for its load."""
        hosted = self._pools.get(pool_id)
        if hosted is None or hosted.admitter is None:
            # The pool was closed between the start of this task and now.
            return

        async def collect(name: ReplicaId, url: str) -> None:
            report = await self._reporter.read(url)
            if report is not None and hosted.admitter is not None:
                hosted.take_report(name, report)

        async with trio.open_nursery() as nursery:
            for name, replica in hosted.admitter.pool.replicas.items():
                nursery.start_soon(collect, ReplicaId(name), replica.url)

    async def _run_reconciliation(self) -> None:
        """Compare the account with what the routers hold, in case a release was lost."""
        while True:
            await sleep_ms(RECONCILE_INTERVAL_MS)
            for pool_id, hosted in list(self._pools.items()):
                if hosted.admitter is not None:
                    await self._reconcile(pool_id, hosted, hosted.admitter)

    async def _reconcile(self, pool_id: PoolId, hosted: HostedPool, admitter: PoolAdmitter) -> None:
        """Take off the account what its router no longer holds."""
        for router in {grant.name.router for grant in admitter.grants()} - {self._me}:
            asked_at = self._clock.now()
            try:
                reply = await self._peers.call(router, Inventory(0, pool_id, hosted.tenure))
            except PeerError as exc:
                FAILURES.record("grants_not_listed", exc, router=router)
                continue
            if isinstance(reply, InventoryReply) and hosted.admitter is admitter:
                held = {GrantId(entry.grant) for entry in reply.entries}
                before = Millis(asked_at - GRANT_VALID_MS)
                hosted.deliver(admitter.reconcile(router, held, before))

    # Answering.

    async def answer_ask(self, router: RouterId, message: Ask) -> Granted | Refused:
        """Decide on a request, waiting for a place if need be."""
        pool_id = PoolId(message.pool)
        hosted = self._pools.get(pool_id)
        code = self._refusal_before_asking(router, hosted, message)
        if code is not None:
            return Refused(0, code, 0, self._first_admitter(pool_id))
        with self._telemetry.span("admit", message.trace, pool=message.pool):
            return await self._decide(router, message, pool_id, hosted)

    async def _decide(
        self, router: RouterId, message: Ask, pool_id: PoolId, hosted: HostedPool
    ) -> Granted | Refused:
        """Put a request to the admitter and wait for its decision."""
        asked_at = self._clock.now()
        tenure = hosted.tenure
        name = GrantKey(router, GrantId(message.grant))
        decision = await hosted.decide(self._request(name, message))
        if isinstance(decision, Grant):
            waited_ms = self._clock.now() - asked_at
            return Granted(0, message.grant, decision.replica, hosted.version, waited_ms, tenure)
        code = NOT_ADMITTING if decision.code is RefusalCode.HANDED_OVER else decision.code.value
        return Refused(0, code, decision.retry_ms, self._first_admitter(pool_id))

    def _refusal_before_asking(
        self, router: RouterId, hosted: HostedPool | None, message: Ask
    ) -> str | None:
        """Return why this router cannot decide on a request now, or `None`."""
        if hosted is None or hosted.admitter is None or not hosted.lease.holds():
            return NOT_ADMITTING
        if self._clock.now() < hosted.open_at or router not in self._membership.members:
            # The grants of a router outside the view would be missed at a takeover.
            return NOT_ADMITTING
        if not self._freshness.is_fresh() or message.version > hosted.version:
            return STALE
        if self._poison.is_poisoned(Fingerprint(message.fingerprint)):
            return POISONED
        return None

    def _first_admitter(self, pool_id: PoolId) -> str:
        """Return the router that should admit for the pool as far as this one knows."""
        order = admitter_order(pool_id, self._membership.eligible())
        return order[0] if order else ""

    def _request(self, name: GrantKey, message: Ask) -> AdmissionRequest:
        """Return the request of a message, with what the configuration says of its workspace."""
        workspace = self._heads.table.workspace(WorkspaceId(message.workspace))
        return AdmissionRequest(
            name=name,
            chat=ChatKey(message.key),
            workspace=WorkspaceId(message.workspace),
            priority=message.priority,
            wait_ms=message.wait_ms,
            avoid=frozenset(ReplicaId(item) for item in message.avoid),
            share=workspace.share if workspace else 1.0,
            in_flight_limit=workspace.in_flight_limit if workspace else 1,
        )

    async def answer_release(self, router: RouterId, message: Release) -> Done:
        """Take back grants."""
        hosted = self._pools.get(PoolId(message.pool))
        if hosted is not None:
            hosted.release(router, message.grants)
        return Done(0)

    async def answer_vote(self, router: RouterId, message: Vote) -> VoteReply:
        """Vote on a lease, unless our views differ."""
        if message.view != self._heads.view.number:
            return VoteReply(0, False, "", 0)
        answer = self.voter.ask(message.key, router, message.span_ms)
        return VoteReply(0, answer.granted, answer.holder, answer.left_ms)

    async def answer_unvote(self, router: RouterId, message: Unvote) -> Done:
        """End a vote at its holder's wish."""
        self.voter.take_back(message.key, router)
        return Done(0)

    # Reading.

    def admitters(self) -> dict[PoolId, PoolAdmitter]:
        """Return the admitters of the pools that this router admits for."""
        return {
            name: hosted.admitter
            for name, hosted in self._pools.items()
            if hosted.admitter is not None and hosted.lease.holds()
        }
