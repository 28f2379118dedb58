"""The room of the replicas of one service, from their slots and the known loads."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from skylarklift.ids import ReplicaId

# An upstream may have this part of its slots in requests that wait there, so that a slot does not
# stay empty until a router has learned that it is free.
MAX_QUEUE_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class ReplicaRoom:
    """A replica, its slots, the known requests of all routers and those of this one there."""

    replica: ReplicaId
    slots: int
    load: int
    own: int
    usable: bool = True


class ServiceRoom:
    """What is known of the room at the replicas of a service.

    `alone` is whether this router hears nothing of the loads of the other `routers`; it then uses
    its equal share of the slots, at least one at each replica.
    """

    def __init__(self, replicas: Sequence[ReplicaRoom], routers: int = 1, *, alone: bool = False):
        self._replicas = {item.replica: item for item in replicas if item.usable}
        self._unusable = {item.replica: item for item in replicas if not item.usable}
        self._sharing_routers = routers if alone else 1
        usable = self._replicas.values()
        self.slots = sum(item.slots for item in usable)
        self.taken = sum(self._load(item) for item in usable)

    def count(self, replica: ReplicaId, change: int) -> None:
        """Count requests that this router has started or ended since the room was computed."""
        item = self._replicas.get(replica)
        if item is None:
            return
        load, own = max(0, item.load + change), max(0, item.own + change)
        changed = self._replicas[replica] = replace(item, load=load, own=own)
        self.taken += self._load(changed) - self._load(item)

    def full(self, left_ms: float, service_ms: float | None) -> set[ReplicaId]:
        """Return the replicas without room for a request that is to start within `left_ms`."""
        queued = queue_ratio(left_ms, service_ms)
        found = {item.replica for item in self._replicas.values() if self._is_full(item, queued)}
        return found.union(self._unusable)

    def has_any(self, left_ms: float, service_ms: float | None) -> bool:
        """Return whether some replica has room for a request."""
        return len(self.full(left_ms, service_ms)) < len(self._replicas) + len(self._unusable)

    def has_room(
        self, replica: ReplicaId, load: int, left_ms: float, service_ms: float | None
    ) -> bool:
        """Return whether a replica with a newer load has room."""
        # The best one may be an unusable one if all are.
        item = self._replicas.get(replica) or self._unusable.get(replica)
        if item is None or item.slots <= 0:
            return True
        if self._sharing_routers > 1:
            return not self._is_full(item, queue_ratio(left_ms, service_ms))
        return load < places(item.slots, queue_ratio(left_ms, service_ms))

    def _is_full(self, item: ReplicaRoom, queued: float) -> bool:
        """Return whether a replica has no room; one that names no slots always has some."""
        if item.slots <= 0:
            return False
        if self._sharing_routers > 1:
            return item.own >= max(1, item.slots // self._sharing_routers)
        return item.load >= places(item.slots, queued)

    def _load(self, item: ReplicaRoom) -> int:
        """Return the known or assumed load of a replica."""
        return max(item.load, item.own * self._sharing_routers)


def queue_ratio(left_ms: float, service_ms: float | None) -> float:
    """Return the part of its slots that a replica may have in requests that wait there.

    A replica starts as many requests as it has slots in the time that one request takes.
    """
    if not service_ms:
        return MAX_QUEUE_RATIO
    return min(MAX_QUEUE_RATIO, max(0.0, left_ms) / service_ms)


def places(slots: int, queued: float) -> int:
    """Return the requests that a replica may have, running and waiting."""
    return slots + int(slots * queued)
