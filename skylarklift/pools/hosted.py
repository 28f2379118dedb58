"""One pool at a router that admits for it, or would like to."""

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
from skylarklift.votes.lease import LeaseHolder

DROP_ROUTER_AFTER_MS = 5000
CAUSES = list(ReleaseCause)


class _Answer:
    """A place for the decision on one request."""

    def __init__(self):
        self.done = trio.Event()
        self.decision: Decision | None = None

    def give(self, decision: Decision) -> None:
        """Hand over the decision and wake the tasks that wait."""
        self.decision = decision
        self.done.set()


@dataclass
class HostedPool:
    """The lease of a pool and, while it is held, the admitter and who waits for it.

    `silent` are the routers that did not list their grants at the takeover, and
    `open_at` is when the first grant may be given.
    """

    lease: LeaseHolder
    admitter: PoolAdmitter | None = None
    version: int = -1
    tenure: int = 0
    silent: set[RouterId] = field(default_factory=set)
    open_at: Millis = Millis(0)
    _waiting: dict[GrantKey, _Answer] = field(default_factory=dict)
    _gone_since: dict[RouterId, Millis] = field(default_factory=dict)

    def configure(self, table: RoutingTable, pool_id: PoolId) -> None:
        """Give the admitter the configuration in force."""
        if self.admitter is None or self.version == table.version:
            return
        pool = table.routing.pools[pool_id]
        self.admitter.configure(pool, table.ids_in_service(pool.replicas))
        self.version = table.version

    def stop(self) -> bool:
        """Close the account; what waits is asked elsewhere.  Tell whether it was open."""
        if self.admitter is None:
            return False
        self.deliver(self.admitter.hand_over())
        self.admitter = None
        return True

    async def decide(self, request: AdmissionRequest) -> Decision:
        """Put a request to the admitter and wait for its decision."""
        answer = self._waiting.setdefault(request.name, _Answer())
        self.deliver(self.admitter.ask(request))
        try:
            await answer.done.wait()
        finally:
            self._waiting.pop(request.name, None)
        return answer.decision

    def deliver(self, decisions: list[Decision]) -> None:
        """Hand each decision to the task that waits for it."""
        for decision in decisions:
            answer = self._waiting.get(decision.name)
            if answer is not None:
                answer.give(decision)
            elif isinstance(decision, Grant):
                # Nobody waits for this grant any more.
                self.deliver(self.admitter.release(decision.name))

    def release(self, router: RouterId, entries: list[ReleaseEntry]) -> None:
        """Take back grants of a router and learn how the replicas did."""
        if self.admitter is None:
            return
        for entry in entries:
            name = GrantKey(router, GrantId(entry.grant))
            replica = self.admitter.replica_of(name)
            if replica is not None:
                self._learn(replica, CAUSES[entry.cause], entry.first_token_ms)
            self.deliver(self.admitter.release(name))

    def _learn(self, replica: ReplicaId, cause: ReleaseCause, first_token_ms: int) -> None:
        """Note how a replica did with a request."""
        if cause is ReleaseCause.CRASHED:
            self.admitter.see_crash(replica)
        elif first_token_ms >= 0:
            self.admitter.see_first_token(replica, first_token_ms)

    def take_report(self, replica: ReplicaId, report: LoadReport) -> None:
        """Give a load report to the admitter."""
        boot = BootId(report.boot)
        self.admitter.see_report(replica, report.running, boot, not self.silent)

    def drop_gone_routers(self, now: Millis, members: set[RouterId]) -> None:
        """End the grants of routers that have been out of the view for some time."""
        holders = {grant.name.router for grant in self.admitter.grants()}
        absent = holders - members
        self._gone_since = {name: self._gone_since.get(name, now) for name in absent}
        for router, since in self._gone_since.items():
            if now - since >= DROP_ROUTER_AFTER_MS:
                self.deliver(self.admitter.drop_router(router))


def pool_lease_name(pool: PoolId) -> str:
    """Return the lease name of a pool."""
    return f"pool/{pool}"


def admitter_order(pool: PoolId, eligible: list[RouterId]) -> list[RouterId]:
    """Return the eligible routers in the order in which they are to admit for the pool."""
    return [RouterId(name) for name in rendezvous_order(pool_lease_name(pool), eligible)]
