"""The admission state of one router: queues, rates, work of workspaces and refused requests."""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.admission.drain_rates import DrainRates
from skylarklift.entry.admission.queue import AdmissionQueue, QueuedRequest
from skylarklift.entry.admission.refusals import RefusedRequests
from skylarklift.entry.admission.room import ReplicaRoom, ServiceRoom
from skylarklift.entry.admission.workspace_work import WorkspaceWork
from skylarklift.entry.gossip.fleet import Fleet
from skylarklift.entry.metrics import Metrics
from skylarklift.entry.placement.candidates import Candidates
from skylarklift.entry.placement.choose import Chooser
from skylarklift.entry.placement.health import Health
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.ids import ReplicaId, ServiceId

# The loads of all replicas are summed again after this time; this router's own requests are counted
# at once.
ROOM_TTL_MS = 5


@dataclass(frozen=True, slots=True)
class KnownRoom:
    """The room of a service and when it was computed."""

    room: ServiceRoom
    known_at: Millis


class Gate:
    """What admission knows of each service; requests wait in `queue`."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        health: Health,
        chooser: Chooser,
        fleet: Fleet,
        metrics: Metrics,
    ):
        self._clock = clock
        self._cluster_state = cluster_state
        self._health = health
        self._chooser = chooser
        self._fleet = fleet
        self._metrics = metrics
        self._queues: dict[ServiceId, AdmissionQueue] = {}
        self._rooms: dict[ServiceId, KnownRoom] = {}
        self.work = WorkspaceWork(clock)
        self.rates = DrainRates(clock)
        self.refused = RefusedRequests(clock)

    def queue(self, service: ServiceId) -> AdmissionQueue:
        """Return the queue of a service."""
        if service not in self._queues:
            self._queues[service] = AdmissionQueue(self.work.level)
        return self._queues[service]

    def room(self, service: ServiceId) -> ServiceRoom:
        """Return the room of a service, at most `ROOM_TTL_MS` old."""
        known, now = self._rooms.get(service), self._clock.now()
        if known is None or now - known.known_at >= ROOM_TTL_MS:
            known = KnownRoom(self._sum_room(service), now)
            self._rooms[service] = known
        return known.room

    def count(self, service: ServiceId, replica: ReplicaId, change: int) -> None:
        """Count requests of this router that start or end at a replica."""
        known = self._rooms.get(service)
        if known is not None:
            known.room.count(replica, change)

    def _sum_room(self, service: ServiceId) -> ServiceRoom:
        """Return the room of a service by the loads that are known now."""
        chooser, routers = self._chooser, self._fleet.router_count()
        own, members = chooser.in_flight, self._cluster_state.usable_members(service)
        peer_loads, observed_loads = self._fleet.peer_loads(), chooser.observed_loads.loads()
        slowdown = chooser.speeds.slowdown
        candidates = Candidates(members, (), own, peer_loads, observed_loads, slowdown)
        excluded = self._health.blocked() | chooser.hold_offs.active(members)
        replicas = [
            ReplicaRoom(
                name,
                candidates[name].record.slots,
                candidates.load(name),
                own[name],
                name not in excluded,
            )
            for name in candidates
        ]
        return ServiceRoom(replicas, routers, alone=self.hears_no_loads())

    def hears_no_loads(self) -> bool:
        """Return whether there are other routers, but nothing is known of their requests."""
        return not self._fleet.hears_loads() and self._fleet.router_count() > 1

    def drain_per_s(self, service: ServiceId) -> float | None:
        """Return how many requests of this router a service starts in a second."""
        slots = self.room(service).slots
        return self.rates.per_second(service, slots, self._fleet.router_count())

    def push(self, service: ServiceId, request: QueuedRequest) -> None:
        """Let a request wait."""
        self.queue(service).push(request)
        self._update_gauge(service)

    def leave(self, service: ServiceId, request: QueuedRequest, *, sent: bool = False) -> None:
        """Remove a request from its queue and wake the one whose turn it is now."""
        queue = self.queue(service)
        if request.waiting:
            if sent:
                queue.take(request)
            else:
                queue.remove(request)
            self._update_gauge(service)
        self.wake(service)

    def wake(self, service: ServiceId) -> None:
        """Let the request whose turn it is check for room."""
        queue = self._queues.get(service)
        if queue:
            queue.first(self._clock.now()).wake()

    def wake_all(self) -> None:
        """Let the first request of each service check for room, as loads or limits changed."""
        for service in self._queues:
            self.wake(service)

    def _update_gauge(self, service: ServiceId) -> None:
        """Show how many requests wait."""
        self._metrics.set_gauge("admission_waiting", len(self.queue(service)), service)
