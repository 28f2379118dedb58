"""Admission of the requests of one pool: the load of each replica, and the queue.

One router at a time admits for a pool (see `skylarklift.votes.lease`), so it knows
the exact load: a request counts from its grant until its release.  `PoolAdmitter`
does no I/O; each method returns the decisions that became possible with the call.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.generated import Pool, Replica
from skylarklift.ids import BootId, GrantId, ReplicaId, RouterId, WorkspaceId
from skylarklift.invariants import INVARIANTS
from skylarklift.pools.admission_state import AdmissionCounts, QueuedRequest, ReplicaState
from skylarklift.pools.bound import load_bound, select_in_service
from skylarklift.pools.grants import (
    AdmissionRequest,
    Decision,
    Grant,
    GrantKey,
    RefusalCode,
    Refused,
)
from skylarklift.pools.policies import AffinityPolicy, Choice, PlacementPolicy, PoolLoad
from skylarklift.pools.ramp import ReplicaRamp

RETRY_AFTER_MS = 1000


class PoolAdmitter:
    """Grants the requests of one pool and queues those that have to wait.

    `serving` are the replicas that the configuration has in service.  `in_service()`
    returns those of them that the load bound is computed over.
    """

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
        self._replicas: dict[ReplicaId, ReplicaState] = {}
        self._grants: dict[GrantKey, Grant] = {}
        self._queue: list[QueuedRequest] = []
        self._in_flight: dict[WorkspaceId, int] = {}
        self._shares: dict[WorkspaceId, float] = {}
        self._last_sequence = 0
        self._in_service: list[ReplicaId] = []
        self.counts = AdmissionCounts()
        self.configure(pool, serving, warm=warm)

    # Configuration.

    def configure(self, pool: Pool, serving: list[ReplicaId], *, warm: bool = False) -> None:
        """Apply a version of the configuration; requests that run keep counting."""
        self.pool = pool
        self._serving = [name for name in serving if name in pool.replicas]
        for name in self._serving:
            self._configure_replica(name, pool.replicas[name], warm)
        for name in list(self._replicas):
            if name not in self._serving and not self._replicas[name].granted:
                del self._replicas[name]
        self._refresh_in_service()

    def _configure_replica(self, name: ReplicaId, replica: Replica, warm: bool) -> None:
        """Add a replica, or change the slots and the ramp of a known one."""
        state = self._replicas.get(name)
        if state is None:
            ramp = ReplicaRamp(self._clock, replica.slots, self.pool.ramp, warm=warm)
            self._replicas[name] = ReplicaState(ramp)
            return
        state.ramp.slots = replica.slots
        state.ramp.cfg = self.pool.ramp

    def _refresh_in_service(self) -> None:
        """Reselect the replicas that the load bound is computed over."""
        limits = {name: self._replicas[name].ramp.limit() for name in self._serving}
        demand = len(self._grants) + len(self._queue)
        self._in_service = select_in_service(self.pool.load_factor, limits, demand)

    # Requests and releases.

    def ask(self, request: AdmissionRequest) -> list[Decision]:
        """Queue a request; this call or a call of another method returns its decision."""
        existing = self._grants.get(request.key)
        if existing is not None:
            return [existing]
        if any(item.request.key == request.key for item in self._queue):
            return []
        now = self._clock.now()
        self._last_sequence += 1
        self._shares[request.workspace] = request.share
        queued = QueuedRequest(
            request,
            self._last_sequence,
            Millis(now + request.wait_ms),
            Millis(now + min(self.pool.affinity_wait_ms, request.wait_ms)),
        )
        code = self._immediate_refusal(request)
        if code is not None:
            return [self._refuse(queued, code)]
        self._queue.append(queued)
        decisions = self._run_queue()
        return decisions + self._trim_queue()

    def _immediate_refusal(self, request: AdmissionRequest) -> RefusalCode | None:
        """Return why a request must not be queued, or `None`."""
        if not any(name not in request.avoid for name in self._serving):
            return RefusalCode.NO_REPLICA
        if self._in_flight.get(request.workspace, 0) >= request.in_flight_limit:
            return RefusalCode.WORKSPACE_LIMIT
        return None

    def release(self, key: GrantKey) -> list[Decision]:
        """End a grant, or remove a queued request; an unknown key is ignored."""
        self._queue = [item for item in self._queue if item.request.key != key]
        grant = self._grants.pop(key, None)
        if grant is None:
            return []
        self._remove_grant(grant)
        return self._run_queue()

    def drop_router(self, router: RouterId) -> list[Decision]:
        """End all grants and queued requests of a router that is no longer a member."""
        self._queue = [item for item in self._queue if item.request.key.router != router]
        for name in [name for name in self._grants if name.router == router]:
            self._remove_grant(self._grants.pop(name))
        return self._run_queue()

    def reconcile(self, router: RouterId, held: set[GrantId], before: Millis) -> list[Decision]:
        """End the grants of a router that were given before `before` and are not in `held`."""
        for key, grant in list(self._grants.items()):
            if key.router == router and key.number not in held and grant.granted_at < before:
                self._remove_grant(self._grants.pop(key))
        return self._run_queue()

    def tick(self) -> list[Decision]:
        """Apply the ramps' new limits, grant what fits, and refuse requests past their deadline."""
        self._refresh_in_service()
        decisions = self._run_queue()
        now = self._clock.now()
        expired = [item for item in self._queue if item.deadline <= now]
        self._queue = [item for item in self._queue if item.deadline > now]
        return decisions + [self._refuse(item, RefusalCode.NO_CAPACITY) for item in expired]

    # Observations of replicas.

    def apply_report(
        self, replica: ReplicaId, running: int, boot: BootId, all_listed: bool
    ) -> None:
        """Apply a load report.

        Until all routers have listed their grants, the requests that the replica runs
        beyond the known grants count as load too.
        """
        state = self._replicas.get(replica)
        if state is None:
            return
        if state.ramp.record_boot(boot):
            self._policy.invalidate_replica(replica)
        state.unlisted = 0 if all_listed else max(0, running - state.granted)

    def record_first_token(self, replica: ReplicaId, first_token_ms: int) -> None:
        """Record the time to the first token of a request."""
        state = self._replicas.get(replica)
        if state is None:
            return
        if state.ramp.record_first_token(first_token_ms, self.pool.slow_first_token_ms):
            self._policy.invalidate_replica(replica)

    def record_crash(self, replica: ReplicaId) -> None:
        """Restart the ramp of a warm replica after a connection to it broke."""
        state = self._replicas.get(replica)
        if state is not None and state.ramp.is_warm():
            state.ramp.restart()

    # Handover.

    def add_grants(self, grants: list[Grant]) -> None:
        """Count grants that an earlier admitter gave.

        Grants on a replica that is out of service count too, since the replica may
        return to service while their requests still run.
        """
        for grant in grants:
            if grant.key in self._grants:
                continue
            if grant.replica not in self._replicas and grant.replica in self.pool.replicas:
                self._configure_replica(grant.replica, self.pool.replicas[grant.replica], False)
            if grant.replica in self._replicas:
                self._grants[grant.key] = grant
                self._replicas[grant.replica].granted += 1
                self._change_in_flight(grant.workspace, 1)
                self._policy.record_placement(grant.chat, grant.replica)

    def start_ramps_from_loads(self) -> None:
        """Start each replica's ramp at the load of the grants it has now.

        A new admitter does not know how long a replica has been warm, but the listed
        grants show how many requests it can run.
        """
        for state in self._replicas.values():
            state.ramp.start_from_load(state.granted)
        self._refresh_in_service()

    def refuse_queued(self) -> list[Decision]:
        """Empty the queue and refuse its requests, since another router admits from now on."""
        queue, self._queue = self._queue, []
        return [Refused(item.request.key, RefusalCode.HANDED_OVER, 0) for item in queue]

    # Queries.

    def grants(self) -> list[Grant]:
        """Return the grants that have not ended."""
        return list(self._grants.values())

    def replica_of(self, key: GrantKey) -> ReplicaId | None:
        """Return the replica of a grant, or `None` for an unknown grant."""
        grant = self._grants.get(key)
        return None if grant is None else grant.replica

    def loads(self) -> dict[ReplicaId, int]:
        """Return the load of each replica, unlisted requests included."""
        return {name: self._load_of(name) for name in self._replicas}

    def in_service(self) -> list[ReplicaId]:
        """Return the replicas that the load bound is computed over."""
        return list(self._in_service)

    def limits(self) -> dict[ReplicaId, int]:
        """Return the ramp limit of each replica."""
        return {name: state.ramp.limit() for name, state in self._replicas.items()}

    def queued(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)

    def bound(self) -> int:
        """Return the load bound for the next request."""
        total = sum(self._load_of(name) for name in self._in_service) + 1
        return load_bound(self.pool.load_factor, total, len(self._in_service))

    # The queue.

    def _run_queue(self) -> list[Decision]:
        """Grant every queued request that a replica has room for, in queue order."""
        decisions: list[Decision] = []
        progress = True
        while progress and self._queue:
            progress = False
            pool_load = self._pool_load()
            if not any(pool_load.has_room(name) for name in pool_load.limits):
                break
            for item in sorted(self._queue, key=self._queue_order):
                replica = self._choose_replica(item, pool_load)
                if replica is not None:
                    self._queue.remove(item)
                    decisions.append(self._add_grant(item.request, replica))
                    progress = True
                    break
        return decisions

    def _queue_order(self, item: QueuedRequest) -> tuple[int, float, int]:
        """Return the sort key: priority, requests in flight relative to the share, arrival."""
        workspace = item.request.workspace
        relative_use = self._in_flight.get(workspace, 0) / self._shares.get(workspace, 1.0)
        return (item.request.priority, relative_use, item.sequence)

    def _pool_load(self) -> PoolLoad:
        """Return the loads and limits that the policy sees for the next request."""
        bound = self.bound()
        loads = {name: self._load_of(name) for name in self._in_service}
        limits = {name: min(bound, self._replicas[name].ramp.limit()) for name in self._in_service}
        return PoolLoad(loads, limits)

    def _choose_replica(self, item: QueuedRequest, pool_load: PoolLoad) -> ReplicaId | None:
        """Return the replica for a queued request, or `None` to leave it in the queue."""
        if item.request.avoid:
            allowed = {n: v for n, v in pool_load.limits.items() if n not in item.request.avoid}
            pool_load = PoolLoad(pool_load.loads, allowed)
        choice = self._policy.choose(item.request.chat, pool_load)
        if choice.replica is None:
            return None
        if choice.preferred is None:
            return choice.replica
        return self._second_choice(item, choice)

    def _second_choice(self, item: QueuedRequest, choice: Choice) -> ReplicaId | None:
        """Return the replica with room once the wait for the preferred one is over, else `None`."""
        if self._clock.now() < item.affinity_deadline:
            self.counts.waited_for_affinity += 1
            return None
        self.counts.moved_aside += 1
        return choice.replica

    def _trim_queue(self) -> list[Decision]:
        """Refuse requests beyond the queue limit.

        Each is the newest of the lowest priority from the workspace that has the most
        queued requests relative to its share.
        """
        decisions: list[Decision] = []
        while len(self._queue) > self.pool.queue_limit:
            queued: dict[WorkspaceId, int] = {}
            for item in self._queue:
                queued[item.request.workspace] = queued.get(item.request.workspace, 0) + 1
            workspace = max(queued, key=lambda name: queued[name] / self._shares.get(name, 1.0))
            candidates = [item for item in self._queue if item.request.workspace == workspace]
            last = max(candidates, key=lambda item: (item.request.priority, item.sequence))
            self._queue.remove(last)
            decisions.append(self._refuse(last, RefusalCode.QUEUE_FULL))
        return decisions

    # Load.

    def _load_of(self, name: ReplicaId) -> int:
        """Return the load of a replica, unlisted requests included."""
        state = self._replicas[name]
        return state.granted + state.unlisted

    def _add_grant(self, request: AdmissionRequest, replica: ReplicaId) -> Grant:
        """Give a grant and count it, after checking the invariants on load."""
        bound = self.bound()
        state = self._replicas[replica]
        carried = self._load_of(replica) + 1
        INVARIANTS.require(
            "load_bound", carried <= bound, replica=replica, carried=carried, bound=bound
        )
        limit = state.ramp.limit()
        INVARIANTS.require(
            "ramp_limit", carried <= limit, replica=replica, carried=carried, limit=limit
        )
        INVARIANTS.require("in_service", replica in self._serving, replica=replica)
        granted_at = self._clock.now()
        grant = Grant(request.key, replica, request.workspace, request.chat, granted_at)
        self._grants[request.key] = grant
        state.granted += 1
        self._change_in_flight(request.workspace, 1)
        self._policy.record_placement(request.chat, replica)
        self.counts.granted += 1
        return grant

    def _remove_grant(self, grant: Grant) -> None:
        """Stop counting a grant that ended."""
        state = self._replicas[grant.replica]
        INVARIANTS.require("account", state.granted > 0, replica=grant.replica)
        state.granted -= 1
        self._change_in_flight(grant.workspace, -1)
        if not state.granted and grant.replica not in self._serving:
            del self._replicas[grant.replica]

    def _change_in_flight(self, workspace: WorkspaceId, change: int) -> None:
        """Add `change` to the number of requests that a workspace has in flight."""
        in_flight = self._in_flight.get(workspace, 0) + change
        if in_flight:
            self._in_flight[workspace] = in_flight
        else:
            self._in_flight.pop(workspace, None)

    def _refuse(self, item: QueuedRequest, code: RefusalCode) -> Refused:
        """Count a refusal and return it."""
        self.counts.refused += 1
        self.counts.by_code[code] = self.counts.by_code.get(code, 0) + 1
        return Refused(item.request.key, code, RETRY_AFTER_MS)
