"""Admission for the pools whose lease this router holds, and answers to messages about it.

The router that comes first in rendezvous order among the eligible members should
admit for a pool.  It collects votes for the pool's lease, collects the grants that
the routers hold, and then admits.  A router that is no longer first stops
admitting and releases the lease.
"""

import random

import trio

from skylarklift.clock import Clock, Millis, sleep_ms
from skylarklift.config.heads import HeadManager
from skylarklift.errors import PeerError
from skylarklift.generated import (
    Ask,
    Done,
    FreshnessSettings,
    Granted,
    Refused,
    Release,
    Unvote,
    Vote,
    VoteReply,
)
from skylarklift.ids import ChatKey, Fingerprint, GrantId, PoolId, ReplicaId, RouterId, WorkspaceId
from skylarklift.logger import FAILURES, log
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import (
    GRANT_TTL_MS,
    AdmissionRequest,
    Grant,
    GrantKey,
    RefusalCode,
)
from skylarklift.pools.hosted import HostedPool, admitter_order, pool_lease_name
from skylarklift.pools.maintenance import AdmitterMaintenance
from skylarklift.pools.takeover import (
    DepartedRouters,
    GrantCollector,
    OwnGrants,
    count_unlisted_requests,
)
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import PeerTransport
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.crashes import CrashTracker
from skylarklift.upstreams.reports import LoadReportClient
from skylarklift.votes.freshness import Freshness
from skylarklift.votes.lease import LeaseClient, LeaseVoter, VoterSets

TICK_INTERVAL_MS = 20
IDLE_TICK_INTERVAL_MS = 200
TENURE_BITS = 31

NOT_ADMITTING = "not_admitting"
STALE = "stale_router"
POISONED = "poisoned"


class PoolHost:
    """Holds the leases of the pools that this router should admit for, and their admitters."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        cfg: FreshnessSettings,
        heads: HeadManager,
        freshness: Freshness,
        membership: Membership,
        voters: VoterSets,
        peers: PeerTransport,
        crash_tracker: CrashTracker,
        load_reports: LoadReportClient,
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
        self._crash_tracker = crash_tracker
        self._load_reports = load_reports
        self._grant_collector = GrantCollector(me, peers, own_grants)
        self._telemetry = telemetry
        self.voter = LeaseVoter(clock, cfg.lease_ms)
        self._pools: dict[PoolId, HostedPool] = {}
        self._maintenance = AdmitterMaintenance(clock, me, self._pools, peers, load_reports)
        self._departed = DepartedRouters(clock, membership)
        self.leaving = False
        heads.on_change.append(self._apply_configuration)

    # Configuration.

    def _apply_configuration(self) -> None:
        """Add and remove pools, and pass the new configuration to the admitters."""
        routing = self._heads.table.routing
        for pool_id in routing.pools:
            if pool_id not in self._pools:
                name = pool_lease_name(PoolId(pool_id))
                lease = LeaseClient(self._clock, self._voters, name, self._cfg.lease_ms)
                self._pools[PoolId(pool_id)] = HostedPool(lease)
        for pool_id in [name for name in self._pools if name not in routing.pools]:
            self._stop_admitting(pool_id)
            del self._pools[pool_id]
        for pool_id, hosted in self._pools.items():
            hosted.configure(self._heads.table, pool_id)

    # Tasks.

    async def run(self) -> None:
        """Renew leases, tick and reconcile admitters, and collect load reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_leases, nursery)
            nursery.start_soon(self._run_ticks)
            nursery.start_soon(self._maintenance.run_reports)
            nursery.start_soon(self._maintenance.run_reconciliation)

    async def _run_leases(self, nursery: trio.Nursery) -> None:
        """Update the lease of each pool at every renewal interval."""
        while True:
            for pool_id in list(self._pools):
                nursery.start_soon(self._update_lease, pool_id)
            await sleep_ms(self._cfg.renew_interval_ms * random.uniform(0.8, 1.0))

    async def _update_lease(self, pool_id: PoolId) -> None:
        """Acquire, renew or hand over the lease of one pool."""
        hosted = self._pools.get(pool_id)
        if hosted is None:
            return
        should_admit = self.should_admit(pool_id)
        if should_admit and not self.leaving and self._freshness.is_fresh():
            await self._renew(pool_id, hosted)
        elif hosted.admitter is not None or hosted.lease.is_held():
            await self.hand_over(pool_id)

    def should_admit(self, pool_id: PoolId) -> bool:
        """Return whether this router is first in the pool's order of admitters."""
        order = admitter_order(pool_id, self._membership.eligible())
        return bool(order) and order[0] == self._me

    async def _renew(self, pool_id: PoolId, hosted: HostedPool) -> None:
        """Collect votes for a lease; start to admit if the lease is newly held.

        If this router admits already, ask again the routers that have not listed their
        grants.
        """
        lease = hosted.lease
        if not lease.is_held():
            # Another router may have admitted since the lease ended.
            self._stop_admitting(pool_id)
        asked = lease.start_round()
        number = lease.round_number()

        async def request_vote(router: RouterId) -> None:
            granted = await self._request_vote(router, lease)
            lease.record_vote(number, router, granted)

        async with trio.open_nursery() as nursery:
            for router in asked:
                nursery.start_soon(request_vote, router)
        if not lease.is_held() or self._pools.get(pool_id) is not hosted:
            return
        if hosted.admitter is None:
            await self._start_admitting(pool_id, hosted)
        elif hosted.not_listed:
            asked = hosted.not_listed & set(self._membership.members)
            not_listed = await self._grant_collector.collect(
                hosted, pool_id, hosted.admitter, asked
            )
            hosted.not_listed = not_listed | (
                hosted.not_listed & self._departed.recently_departed()
            )

    async def _request_vote(self, router: RouterId, lease: LeaseClient) -> bool:
        """Request the vote of one router; return whether it granted it."""
        if router == self._me:
            return self.voter.vote(lease.name, self._me, lease.duration_ms, lease.hold).granted
        message = Vote(0, lease.name, lease.duration_ms, self._heads.view.number, lease.hold)
        try:
            reply = await self._peers.call(router, message)
        except PeerError as exc:
            FAILURES.record("vote_request_failed", exc, router=router)
            return False
        return isinstance(reply, VoteReply) and reply.granted

    async def _start_admitting(self, pool_id: PoolId, hosted: HostedPool) -> None:
        """Collect the grants that all routers hold, then start the admitter.

        If not all routers listed theirs, no grant is given for `GRANT_TTL_MS`.
        """
        table = self._heads.table
        pool = table.routing.pools[pool_id]
        hosted.tenure = random.getrandbits(TENURE_BITS)
        admitter = PoolAdmitter(self._clock, pool, table.ids_in_service(pool.replicas))
        members = set(self._membership.members)
        not_listed = await self._grant_collector.collect(hosted, pool_id, admitter, members)
        # A router that has just left the view cannot list its grants, but its requests may
        # still run.
        not_listed |= self._departed.recently_departed()
        if not_listed:
            await count_unlisted_requests(self._load_reports, pool, admitter)
        if not hosted.lease.is_held() or hosted.admitter is not None:
            return
        admitter.start_ramps_from_loads()
        hosted.version = table.version
        hosted.not_listed = not_listed
        wait_ms = GRANT_TTL_MS if not_listed else 0
        hosted.admits_from = Millis(self._clock.now() + wait_ms)
        hosted.admitter = admitter
        hosted.configure(self._heads.table, pool_id)
        log.info("admitting_started", pool=pool_id, not_listed=sorted(not_listed))

    async def hand_over(self, pool_id: PoolId) -> None:
        """Stop admitting and end the votes, so that another router can get the lease at once."""
        hosted = self._pools.get(pool_id)
        if hosted is None:
            return
        self._stop_admitting(pool_id)
        asked = hosted.lease.start_round()
        hold = hosted.lease.hold
        hosted.lease.release()

        async def send_unvote(router: RouterId) -> None:
            if router == self._me:
                self.voter.unvote(hosted.lease.name, self._me, hold)
                return
            try:
                await self._peers.call(router, Unvote(0, hosted.lease.name, hold))
            except PeerError as exc:
                FAILURES.record("unvote_send_failed", exc, router=router)

        async with trio.open_nursery() as nursery:
            for router in asked:
                nursery.start_soon(send_unvote, router)

    async def hand_over_all(self) -> None:
        """Hand over every pool before this router shuts down."""
        self.leaving = True
        async with trio.open_nursery() as nursery:
            for pool_id in list(self._pools):
                nursery.start_soon(self.hand_over, pool_id)

    def _stop_admitting(self, pool_id: PoolId) -> None:
        """Remove the admitter of a pool and refuse its queue, so that askers try the next one."""
        if self._pools[pool_id].stop_admitting():
            log.info("admitting_stopped", pool=pool_id)

    async def _run_ticks(self) -> None:
        """Tick the admitters periodically; stop those whose lease ended."""
        while True:
            # Called only to record the members of the present view.
            self._departed.recently_departed()
            for pool_id, hosted in list(self._pools.items()):
                if hosted.admitter is None:
                    continue
                if not hosted.lease.is_held():
                    self._stop_admitting(pool_id)
                    continue
                hosted.drop_absent_routers(self._clock.now(), set(self._membership.members))
                hosted.deliver(hosted.admitter.tick())
            await sleep_ms(TICK_INTERVAL_MS if self._has_queue() else IDLE_TICK_INTERVAL_MS)

    def _has_queue(self) -> bool:
        """Return whether any admitter has queued requests."""
        return any(item.admitter and item.admitter.queued() for item in self._pools.values())

    # Message handlers.

    async def answer_ask(self, router: RouterId, message: Ask) -> Granted | Refused:
        """Answer an `Ask` with a grant or a refusal, after a wait in the queue if necessary."""
        pool_id = PoolId(message.pool)
        hosted = self._pools.get(pool_id)
        code = self._refusal_before_admission(router, hosted, message)
        if code is not None:
            return Refused(0, code, 0, self._expected_admitter(pool_id))
        with self._telemetry.span("admit", message.trace, pool=message.pool):
            return await self._decide(router, message, pool_id, hosted)

    async def _decide(
        self, router: RouterId, message: Ask, pool_id: PoolId, hosted: HostedPool
    ) -> Granted | Refused:
        """Pass a request to the admitter, wait for its decision and return it as a message."""
        asked_at = self._clock.now()
        tenure = hosted.tenure
        key = GrantKey(router, GrantId(message.grant))
        decision = await hosted.decide(self._admission_request(key, message))
        if isinstance(decision, Grant):
            # The grant's time runs from the decision on, whatever held up this answer.
            waited_ms = max(0, decision.granted_at - asked_at)
            return Granted(0, message.grant, decision.replica, hosted.version, waited_ms, tenure)
        code = NOT_ADMITTING if decision.code is RefusalCode.HANDED_OVER else decision.code.value
        return Refused(0, code, decision.retry_ms, self._expected_admitter(pool_id))

    def _refusal_before_admission(
        self, router: RouterId, hosted: HostedPool | None, message: Ask
    ) -> str | None:
        """Return the code to refuse an `Ask` with before it reaches the admitter, or `None`."""
        if hosted is None or hosted.admitter is None or not hosted.lease.is_held():
            return NOT_ADMITTING
        if self._clock.now() < hosted.admits_from or router not in self._membership.members:
            # At a takeover only members list their grants, so other routers must get none.
            return NOT_ADMITTING
        if not self._freshness.is_fresh() or message.version > hosted.version:
            return STALE
        if self._crash_tracker.is_poisoned(Fingerprint(message.fingerprint)):
            return POISONED
        return None

    def _expected_admitter(self, pool_id: PoolId) -> str:
        """Return the router that should admit for the pool, as far as this router knows."""
        order = admitter_order(pool_id, self._membership.eligible())
        return order[0] if order else ""

    def _admission_request(self, key: GrantKey, message: Ask) -> AdmissionRequest:
        """Return the request of an `Ask` with its workspace's share and limit."""
        workspace = self._heads.table.workspace(WorkspaceId(message.workspace))
        return AdmissionRequest(
            key=key,
            chat=ChatKey(message.key),
            workspace=WorkspaceId(message.workspace),
            priority=message.priority,
            wait_ms=message.wait_ms,
            avoid=frozenset(ReplicaId(item) for item in message.avoid),
            share=workspace.share if workspace else 1.0,
            in_flight_limit=workspace.in_flight_limit if workspace else 1,
        )

    async def answer_release(self, router: RouterId, message: Release) -> Done:
        """Release the grants of a `Release` message."""
        hosted = self._pools.get(PoolId(message.pool))
        if hosted is not None:
            hosted.release(router, message.grants)
        return Done(0)

    async def answer_vote(self, router: RouterId, message: Vote) -> VoteReply:
        """Vote on a lease; refuse a router whose view has another number than this router's."""
        if message.view != self._heads.view.number:
            return VoteReply(0, False, "", 0)
        answer = self.voter.vote(message.key, router, message.span_ms, message.hold)
        return VoteReply(0, answer.granted, answer.holder, answer.left_ms)

    async def answer_unvote(self, router: RouterId, message: Unvote) -> Done:
        """End a vote at the request of the lease's holder."""
        self.voter.unvote(message.key, router, message.hold)
        return Done(0)

    # Queries.

    def admitters(self) -> dict[PoolId, PoolAdmitter]:
        """Return the admitter of each pool whose lease this router holds."""
        return {
            name: hosted.admitter
            for name, hosted in self._pools.items()
            if hosted.admitter is not None and hosted.lease.is_held()
        }
