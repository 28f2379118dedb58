"""The order in which a chat prefers the replicas of its service.

Holders of its prefix come first, those in the router's zone before others, then the other replicas
in the chat's rendezvous order; overloaded ones come last.  Of these, holders that carry no more
than the mean of the overloaded ones come first, then the least loaded: if all are busy, a chat that
leaves its holder for one request more is read again and keeps all busy for longer.  Loads are
weighted by how slow a replica is; those whose requests alone reach the limit come after those that
are overloaded for being slow, so that slow replicas push no other over the bound on load.  The
order is made step by step, since most requests take the first replica, and a service may have
hundreds.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from skylarklift.entry.model import Call
from skylarklift.entry.placement.candidates import Candidates
from skylarklift.entry.state.upstream import Upstream
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ReplicaId, ServiceId, ZoneId

# For each chat, this many replicas are remembered; few requests need more.
REMEMBERED_REPLICAS = 8
MAX_REMEMBERED_CHATS = 2000


@dataclass(frozen=True, slots=True)
class ChatZones:
    """The zones that a chat avoids while nearer ones have room.

    In those of `unpaid`, which are also in `far`, not even a holder is worth the way.
    """

    far: frozenset[ZoneId] = frozenset()
    unpaid: frozenset[ZoneId] = frozenset()


ANY_ZONE = ChatZones()


class RendezvousCache:
    """The rendezvous orders of recent chats, for each service."""

    def __init__(self):
        self._services: dict[ServiceId, ServiceOrders] = {}

    def order(
        self, key: str, service: ServiceId, members: Mapping[ReplicaId, Upstream]
    ) -> Iterator[ReplicaId]:
        """Yield a service's replicas in the order of a chat.

        `members` must be the same object as long as the replicas of the service are the same.
        """
        orders = self._services.get(service)
        if orders is None or orders.members is not members:
            orders = self._services[service] = ServiceOrders(members)
        return orders.order(key)


class ServiceOrders:
    """The first replicas in the rendezvous order of recent chats, for the members of a service."""

    def __init__(self, members: Mapping[ReplicaId, Upstream]):
        self.members = members
        self._first: OrderedDict[str, tuple[ReplicaId, ...]] = OrderedDict()

    def order(self, key: str) -> Iterator[ReplicaId]:
        """Yield all members in the order of a chat."""
        first = self._first.get(key)
        if first is None:
            first = tuple(_sort_by_weight(key, self.members)[:REMEMBERED_REPLICAS])
            self._first[key] = first
            while len(self._first) > MAX_REMEMBERED_CHATS:
                self._first.popitem(last=False)
        else:
            self._first.move_to_end(key)
        yield from first
        if len(self.members) > REMEMBERED_REPLICAS:
            yield from _sort_by_weight(key, self.members)[REMEMBERED_REPLICAS:]


def affinity_key(call: Call) -> str:
    """Return the hash key for affinity: the last shared part of the prompt.

    The name of that part stands for the whole shared prefix of a chat.
    """
    if len(call.parts) > 1:
        return call.parts[-2].name
    if call.parts:
        return call.parts[0].name
    return call.request


def order_by_affinity(
    key: str,
    ranked: Iterable[ReplicaId],
    candidates: Candidates,
    holders: Collection[ReplicaId],
    load_limit: float,
    zone: ZoneId,
    scarce: Collection[ReplicaId] = (),
    zones: ChatZones = ANY_ZONE,
) -> Iterator[ReplicaId]:
    """Yield the candidates from the best to the worst for a chat.

    Of several holders, the `scarce` ones come first, which take only a few requests, then those in
    `zone`: the chat costs the same there, and its bytes stay in the zone.  `ranked` yields at least
    all candidates, in the chat's rendezvous order.  Replicas in the far zones of `zones`, and full
    ones, come after the other ones.
    """
    load = candidates.weighted_load
    sound_holders = [name for name in holders if name in candidates and load(name) < load_limit]
    by_weight = _sort_by_weight(key, sound_holders)
    by_zone = sorted(
        by_weight, key=lambda name: (name not in scarce, candidates[name].record.zone != zone)
    )
    yield from (name for name in by_zone if candidates[name].record.zone not in zones.unpaid)
    far: list[ReplicaId] = []
    full: list[ReplicaId] = []
    # Slowdowns decay, so the load of a candidate may fall below the limit while the order is made.
    placed = set(sound_holders)
    for name in ranked:
        if name in candidates and name not in holders and load(name) < load_limit:
            placed.add(name)
            record = candidates[name].record
            if zones.far and load(name) >= record.slots:
                full.append(name)
            elif record.zone in zones.far:
                far.append(name)
            else:
                yield name
    yield from (name for name in by_zone if candidates[name].record.zone in zones.unpaid)
    yield from far
    yield from full
    overloaded = [name for name in candidates if name not in placed]
    if overloaded:
        yield from _order_overloaded(overloaded, holders, candidates, load_limit)


def _order_overloaded(
    overloaded: Collection[ReplicaId],
    holders: Collection[ReplicaId],
    candidates: Candidates,
    load_limit: float,
) -> list[ReplicaId]:
    """Return overloaded candidates, holders that are not fuller than their mean first."""
    load = candidates.weighted_load
    mean = sum(map(load, overloaded)) / len(overloaded)
    near = {name for name in holders if name in candidates and load(name) <= mean}

    def sort_key(name: ReplicaId) -> tuple[bool, bool, float]:
        return candidates.load(name) >= load_limit, name not in near, load(name)

    return sorted(overloaded, key=sort_key)


def _sort_by_weight(key: str, names: Iterable[ReplicaId]) -> list[ReplicaId]:
    """Return upstreams in the rendezvous order of a key."""
    return sorted(names, key=lambda name: rendezvous_weight(key, name), reverse=True)
