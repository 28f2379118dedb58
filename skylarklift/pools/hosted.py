"""One pool at a router: its lease and, while the lease is held, its admitter."""

from dataclasses import dataclass, field

import trio

from skylarklift.clock import Millis
from skylarklift.config.routing import RoutingTable
from skylarklift.generated import ReleaseCause, ReleaseEntry
from skylarklift.hashing import rendezvous_order
from skylarklift.ids import BootId, GrantId, PoolId, ReplicaId, RouterId
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import AdmissionRequest, Decision, Grant, GrantKey
from skylarklift.upstreams.reports import LoadReport
from skylarklift.votes.lease import LeaseClient

# The grants of a router that left the view count for this long, since its requests may still run.
DEPARTED_ROUTER_TTL_MS = 5000
RELEASE_CAUSES = list(ReleaseCause)


class _PendingDecision:
    """A request that waits for its decision."""

    def __init__(self):
        self.done = trio.Event()
        self.decision: Decision | None = None

    def resolve(self, decision: Decision) -> None:
        """Set the decision and wake the tasks that wait for it."""
        self.decision = decision
        self.done.set()


@dataclass
class HostedPool:
    """The lease of a pool, its admitter while the lease is held, and the pending requests.

    `version` is the configuration version that the admitter uses.  `not_listed` are
    the routers that have not listed their grants since the takeover.  Before
    `admits_from` no grant is given.
    """

    lease: LeaseClient
    admitter: PoolAdmitter | None = None
    version: int = -1
    tenure: int = 0
    not_listed: set[RouterId] = field(default_factory=set)
    admits_from: Millis = Millis(0)
    _pending: dict[GrantKey, _PendingDecision] = field(default_factory=dict)
    _absent_since: dict[RouterId, Millis] = field(default_factory=dict)

    def configure(self, table: RoutingTable, pool_id: PoolId) -> None:
        """Pass the configuration to the admitter, unless it uses this version already."""
        if self.admitter is None or self.version == table.version:
            return
        pool = table.routing.pools[pool_id]
        self.admitter.configure(pool, table.ids_in_service(pool.replicas))
        self.version = table.version

    def stop_admitting(self) -> bool:
        """Refuse the queue and remove the admitter; return whether there was one."""
        if self.admitter is None:
            return False
        self.deliver(self.admitter.refuse_queued())
        self.admitter = None
        return True

    async def decide(self, request: AdmissionRequest) -> Decision:
        """Pass a request to the admitter and wait for its decision."""
        pending = self._pending.setdefault(request.key, _PendingDecision())
        self.deliver(self.admitter.ask(request))
        try:
            await pending.done.wait()
        finally:
            self._pending.pop(request.key, None)
        return pending.decision

    def deliver(self, decisions: list[Decision]) -> None:
        """Pass each decision to the task that waits for it."""
        for decision in decisions:
            pending = self._pending.get(decision.key)
            if pending is not None:
                pending.resolve(decision)
            elif isinstance(decision, Grant):
                # The call that asked for this grant has ended, so the grant cannot be delivered.
                self.deliver(self.admitter.release(decision.key))

    def release(self, router: RouterId, entries: list[ReleaseEntry]) -> None:
        """Release grants of a router and record the outcome at their replicas."""
        if self.admitter is None:
            return
        for entry in entries:
            key = GrantKey(router, GrantId(entry.grant))
            replica = self.admitter.replica_of(key)
            if replica is not None:
                self._record_outcome(replica, RELEASE_CAUSES[entry.cause], entry.first_token_ms)
            self.deliver(self.admitter.release(key))

    def _record_outcome(self, replica: ReplicaId, cause: ReleaseCause, first_token_ms: int) -> None:
        """Record a crash of a replica, or the time to its first token."""
        if cause is ReleaseCause.CRASHED:
            self.admitter.record_crash(replica)
        elif first_token_ms >= 0:
            self.admitter.record_first_token(replica, first_token_ms)

    def apply_report(self, replica: ReplicaId, report: LoadReport) -> None:
        """Pass a load report to the admitter."""
        boot = BootId(report.boot)
        self.admitter.apply_report(replica, report.running, boot, not self.not_listed)

    def drop_absent_routers(self, now: Millis, members: set[RouterId]) -> None:
        """End the grants of routers that left the view at least `DEPARTED_ROUTER_TTL_MS` ago."""
        holders = {grant.key.router for grant in self.admitter.grants()}
        absent = holders - members
        self._absent_since = {name: self._absent_since.get(name, now) for name in absent}
        for router, since in self._absent_since.items():
            if now - since >= DEPARTED_ROUTER_TTL_MS:
                self.deliver(self.admitter.drop_router(router))


def pool_lease_name(pool: PoolId) -> str:
    """Return the lease name of a pool."""
    return f"pool/{pool}"


def admitter_order(pool: PoolId, eligible: list[RouterId]) -> list[RouterId]:
    """Return the eligible routers in the order in which they should admit for the pool."""
    return [RouterId(name) for name in rendezvous_order(pool_lease_name(pool), eligible)]
