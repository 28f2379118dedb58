"""Admit the requests of one pool: the account of each replica's load, and the queue.

One router at a time admits for a pool (see `lease`), so its account is exact: a
request is carried from its grant until the release.  `PoolAdmitter` does no I/O;
it is asked, and it returns the decisions that became due.
"""

from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.generated import Pool, Replica
from skylarklift.ids import BootId, GrantId, ReplicaId, RouterId, WorkspaceId
from skylarklift.invariants import INVARIANTS
from skylarklift.pools.bound import load_bound, service_set
from skylarklift.pools.grants import (
    AdmissionRequest,
    Decision,
    Grant,
    GrantKey,
    RefusalCode,
    Refused,
)
from skylarklift.pools.policies import AffinityPolicy, Choice, PlacementPolicy, PoolView
from skylarklift.pools.ramp import ReplicaRamp

RETRY_AFTER_MS = 1000


@dataclass
class _Waiting:
    """A queued request."""

    request: AdmissionRequest
    number: int
    until: Millis
    affinity_until: Millis


@dataclass
class _Account:
    """What one replica carries."""

    ramp: ReplicaRamp
    load: int = 0
    unlisted: int = 0


@dataclass
class AdmissionCounts:
    """Totals for metrics."""

    granted: int = 0
    refused: int = 0
    waited_for_affinity: int = 0
    moved_aside: int = 0
    by_code: dict[RefusalCode, int] = field(default_factory=dict)


class PoolAdmitter:
    """The admissions of one pool."""

    def __init__(
        self,
        clock: Clock,
        pool: Pool,
        serving: list[ReplicaId],
        policy: PlacementPolicy | None = None,
        *,
        warm: bool = False,
    ):
        self._clock = clock
        self._policy = policy or AffinityPolicy()
        self._accounts: dict[ReplicaId, _Account] = {}
        self._grants: dict[GrantKey, Grant] = {}
        self._queue: list[_Waiting] = []
        self._held: dict[WorkspaceId, int] = {}
        self._shares: dict[WorkspaceId, float] = {}
        self._number = 0
        self._in_service: list[ReplicaId] = []
        self.counts = AdmissionCounts()
        self.configure(pool, serving, warm=warm)

    # Configuration.

    def configure(self, pool: Pool, serving: list[ReplicaId], *, warm: bool = False) -> None:
        """Take over a version of the configuration; running requests stay on account."""
        self.pool = pool
        self._serving = [name for name in serving if name in pool.replicas]
        for name in self._serving:
            self._adopt_replica(name, pool.replicas[name], warm)
        for name in list(self._accounts):
            if name not in self._serving and not self._accounts[name].load:
                del self._accounts[name]
        self._refresh_service()

    def _adopt_replica(self, name: ReplicaId, replica: Replica, warm: bool) -> None:
        """Open the account of a replica, or change its limits."""
        account = self._accounts.get(name)
        if account is None:
            ramp = ReplicaRamp(self._clock, replica.slots, self.pool.ramp, warm=warm)
            self._accounts[name] = _Account(ramp)
            return
        account.ramp.slots = replica.slots
        account.ramp.ramp = self.pool.ramp

    def _refresh_service(self) -> None:
        """Decide anew which replicas take part in the bound."""
        limits = {name: self._accounts[name].ramp.limit() for name in self._serving}
        demand = len(self._grants) + len(self._queue)
        self._in_service = service_set(self.pool.load_factor, limits, demand)

    # Asking and releasing.

    def ask(self, request: AdmissionRequest) -> list[Decision]:
        """Ask for a place; the decision comes now or from a later call."""
        known = self._grants.get(request.name)
        if known is not None:
            return [known]
        if any(item.request.name == request.name for item in self._queue):
            return []
        now = self._clock.now()
        self._number += 1
        self._shares[request.workspace] = request.share
        waiting = _Waiting(
            request,
            self._number,
            Millis(now + request.wait_ms),
            Millis(now + min(self.pool.affinity_wait_ms, request.wait_ms)),
        )
        code = self._refusal_at_once(request)
        if code is not None:
            return [self._refuse(waiting, code)]
        self._queue.append(waiting)
        decisions = self._run_queue()
        return decisions + self._trim_queue()

    def _refusal_at_once(self, request: AdmissionRequest) -> RefusalCode | None:
        """Return why a request cannot even wait, or `None`."""
        if not any(name not in request.avoid for name in self._serving):
            return RefusalCode.NO_REPLICA
        if self._held.get(request.workspace, 0) >= request.in_flight_limit:
            return RefusalCode.WORKSPACE_LIMIT
        return None

    def release(self, name: GrantKey) -> list[Decision]:
        """End a grant, or give up a waiting request; unknown names do nothing."""
        self._queue = [item for item in self._queue if item.request.name != name]
        grant = self._grants.pop(name, None)
        if grant is None:
            return []
        self._uncount(grant)
        return self._run_queue()

    def drop_router(self, router: RouterId) -> list[Decision]:
        """End all grants of a router that is gone."""
        self._queue = [item for item in self._queue if item.request.name.router != router]
        for name in [name for name in self._grants if name.router == router]:
            self._uncount(self._grants.pop(name))
        return self._run_queue()

    def reconcile(self, router: RouterId, held: set[GrantId], before: Millis) -> list[Decision]:
        """End the grants given before a moment that their router does not hold."""
        for name, grant in list(self._grants.items()):
            if name.router == router and name.grant not in held and grant.since < before:
                self._uncount(self._grants.pop(name))
        return self._run_queue()

    def tick(self) -> list[Decision]:
        """Let time act: ramps, waits that end."""
        self._refresh_service()
        decisions = self._run_queue()
        now = self._clock.now()
        over = [item for item in self._queue if item.until <= now]
        self._queue = [item for item in self._queue if item.until > now]
        return decisions + [self._refuse(item, RefusalCode.WAIT_OVER) for item in over]

    # What the replicas tell.

    def see_report(self, replica: ReplicaId, running: int, boot: BootId, listed: bool) -> None:
        """Take a load report.

        While not every router's grants are listed, requests that only the replica
        knows of are counted too.
        """
        account = self._accounts.get(replica)
        if account is None:
            return
        if account.ramp.see_boot(boot):
            self._policy.forget_replica(replica)
        account.unlisted = 0 if listed else max(0, running - account.load)

    def see_first_token(self, replica: ReplicaId, span_ms: int) -> None:
        """Take the time to the first token of a request."""
        account = self._accounts.get(replica)
        if account is None:
            return
        if account.ramp.see_first_token(span_ms, self.pool.slow_first_token_ms):
            self._policy.forget_replica(replica)

    def see_crash(self, replica: ReplicaId) -> None:
        """Hold a replica cold after a connection to it broke."""
        account = self._accounts.get(replica)
        if account is not None and account.ramp.is_warm():
            account.ramp.fall_back()

    # Handover.

    def adopt(self, grants: list[Grant]) -> None:
        """Count requests that another admitter let in.

        A replica that is out of service now may return while they still run.
        """
        for grant in grants:
            if grant.name in self._grants:
                continue
            if grant.replica not in self._accounts and grant.replica in self.pool.replicas:
                self._adopt_replica(grant.replica, self.pool.replicas[grant.replica], False)
            if grant.replica in self._accounts:
                self._grants[grant.name] = grant
                self._accounts[grant.replica].load += 1
                self._count_workspace(grant.workspace, 1)
                self._policy.note_placed(grant.chat, grant.replica)

    def start_from_loads(self) -> None:
        """Let each replica carry at first what it carries already, and grow from there.

        A new admitter does not know how long a replica has been warm, but the load
        that was listed shows what it bears.
        """
        for account in self._accounts.values():
            account.ramp.start_at(account.load)
        self._refresh_service()

    def hand_over(self) -> list[Decision]:
        """Give up the queue, since another router admits from now on."""
        queue, self._queue = self._queue, []
        return [Refused(item.request.name, RefusalCode.HANDED_OVER, 0) for item in queue]

    # Reading.

    def grants(self) -> list[Grant]:
        """Return the grants on account."""
        return list(self._grants.values())

    def replica_of(self, name: GrantKey) -> ReplicaId | None:
        """Return where a grant was placed, or `None` for an unknown grant."""
        grant = self._grants.get(name)
        return None if grant is None else grant.replica

    def loads(self) -> dict[ReplicaId, int]:
        """Return the load of each replica, with requests that only it knows of."""
        return {name: self._carried(name) for name in self._accounts}

    def in_service(self) -> list[ReplicaId]:
        """Return the replicas that take part in the bound."""
        return list(self._in_service)

    def limits(self) -> dict[ReplicaId, int]:
        """Return the ramp limit of each replica."""
        return {name: account.ramp.limit() for name, account in self._accounts.items()}

    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def bound(self) -> int:
        """Return the load bound that the next request would meet."""
        total = sum(self._carried(name) for name in self._in_service) + 1
        return load_bound(self.pool.load_factor, total, len(self._in_service))

    # The queue.

    def _run_queue(self) -> list[Decision]:
        """Grant every waiting request that has a place now, the most urgent first."""
        decisions: list[Decision] = []
        progress = True
        while progress and self._queue:
            progress = False
            view = self._view()
            if not any(view.has_room(name) for name in view.limits):
                break
            for item in sorted(self._queue, key=self._urgency):
                replica = self._place(item, view)
                if replica is not None:
                    self._queue.remove(item)
                    decisions.append(self._grant(item.request, replica))
                    progress = True
                    break
        return decisions

    def _urgency(self, item: _Waiting) -> tuple[int, float, int]:
        """Order by priority, then by how little of its share a workspace has, then by age."""
        workspace = item.request.workspace
        used = self._held.get(workspace, 0) / self._shares.get(workspace, 1.0)
        return (item.request.priority, used, item.number)

    def _view(self) -> PoolView:
        """Return what a policy may know for the next request."""
        bound = self.bound()
        loads = {name: self._carried(name) for name in self._in_service}
        limits = {name: min(bound, self._accounts[name].ramp.limit()) for name in self._in_service}
        return PoolView(loads, limits)

    def _place(self, item: _Waiting, view: PoolView) -> ReplicaId | None:
        """Return the replica for a waiting request, or `None` to let it wait."""
        if item.request.avoid:
            kept = {n: v for n, v in view.limits.items() if n not in item.request.avoid}
            view = PoolView(view.loads, kept)
        choice = self._policy.choose(item.request.chat, view)
        if choice.replica is None:
            return None
        if choice.worth_waiting_for is None:
            return choice.replica
        return self._place_aside(item, choice)

    def _place_aside(self, item: _Waiting, choice: Choice) -> ReplicaId | None:
        """Return the second choice once the wait for the first one is over."""
        if self._clock.now() < item.affinity_until:
            self.counts.waited_for_affinity += 1
            return None
        self.counts.moved_aside += 1
        return choice.replica

    def _trim_queue(self) -> list[Decision]:
        """Refuse from the workspace that queues the most, relative to its share."""
        decisions: list[Decision] = []
        while len(self._queue) > self.pool.queue_limit:
            queued: dict[WorkspaceId, int] = {}
            for item in self._queue:
                queued[item.request.workspace] = queued.get(item.request.workspace, 0) + 1
            worst = max(queued, key=lambda name: queued[name] / self._shares.get(name, 1.0))
            own = [item for item in self._queue if item.request.workspace == worst]
            last = max(own, key=lambda item: (item.request.priority, item.number))
            self._queue.remove(last)
            decisions.append(self._refuse(last, RefusalCode.QUEUE_FULL))
        return decisions

    # The account.

    def _carried(self, name: ReplicaId) -> int:
        """Return what a replica carries, with requests that only it knows of."""
        account = self._accounts[name]
        return account.load + account.unlisted

    def _grant(self, request: AdmissionRequest, replica: ReplicaId) -> Grant:
        """Put a request on account, after checking the promises on load."""
        bound = self.bound()
        account = self._accounts[replica]
        carried = self._carried(replica) + 1
        INVARIANTS.require(
            "load_bound", carried <= bound, replica=replica, carried=carried, bound=bound
        )
        limit = account.ramp.limit()
        INVARIANTS.require(
            "ramp_limit", carried <= limit, replica=replica, carried=carried, limit=limit
        )
        INVARIANTS.require("in_service", replica in self._serving, replica=replica)
        since = self._clock.now()
        grant = Grant(request.name, replica, request.workspace, request.chat, since)
        self._grants[request.name] = grant
        account.load += 1
        self._count_workspace(request.workspace, 1)
        self._policy.note_placed(request.chat, replica)
        self.counts.granted += 1
        return grant

    def _uncount(self, grant: Grant) -> None:
        """Take a grant off the account."""
        account = self._accounts[grant.replica]
        INVARIANTS.require("account", account.load > 0, replica=grant.replica)
        account.load -= 1
        self._count_workspace(grant.workspace, -1)
        if not account.load and grant.replica not in self._serving:
            del self._accounts[grant.replica]

    def _count_workspace(self, workspace: WorkspaceId, change: int) -> None:
        """Change the number of requests that a workspace holds."""
        held = self._held.get(workspace, 0) + change
        if held:
            self._held[workspace] = held
        else:
            self._held.pop(workspace, None)

    def _refuse(self, item: _Waiting, code: RefusalCode) -> Refused:
        """Count and return a refusal."""
        self.counts.refused += 1
        self.counts.by_code[code] = self.counts.by_code.get(code, 0) + 1
        return Refused(item.request.name, code, RETRY_AFTER_MS)
