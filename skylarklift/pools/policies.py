"""Policies that choose a replica for a chat.

A policy sees the load of each replica of one pool and its limit for the next
request.  It returns a replica with room, if there is one, and a preferred replica
that has no room yet but is worth a short wait, if there is one.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass

from skylarklift.hashing import rendezvous_order
from skylarklift.ids import ChatKey, ReplicaId

MAX_HOLDERS_PER_CHAT = 3
MAX_CHATS = 100_000


@dataclass(frozen=True)
class PoolLoad:
    """The loads and limits of the replicas that may take the next request."""

    loads: dict[ReplicaId, int]
    limits: dict[ReplicaId, int]

    def has_room(self, replica: ReplicaId) -> bool:
        """Return whether one more request stays within the replica's limit."""
        return replica in self.limits and self.loads[replica] < self.limits[replica]


@dataclass(frozen=True)
class Choice:
    """A replica with room, and a preferred one that is worth a wait; `None` where there is none."""

    replica: ReplicaId | None
    preferred: ReplicaId | None = None


class PrefixHolders:
    """An LRU map from a chat to the replicas that have its prefix in their cache.

    Its size is bounded; a chat that was evicted is placed by hashing again.
    """

    def __init__(self, chat_limit: int):
        self._chat_limit = chat_limit
        self._holders: OrderedDict[ChatKey, tuple[ReplicaId, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def holders(self, chat: ChatKey) -> tuple[ReplicaId, ...]:
        """Return the replicas that served the chat, the most recent first."""
        return self._holders.get(chat, ())

    def record(self, chat: ChatKey, replica: ReplicaId) -> None:
        """Record that the replica serves the chat now."""
        others = tuple(name for name in self.holders(chat) if name != replica)
        self._holders[chat] = (replica, *others)[:MAX_HOLDERS_PER_CHAT]
        self._holders.move_to_end(chat)
        if len(self._holders) > self._chat_limit:
            self._holders.popitem(last=False)

    def remove_replica(self, replica: ReplicaId) -> None:
        """Remove a replica that lost its cache from all chats."""
        for chat, names in list(self._holders.items()):
            if replica in names:
                self._holders[chat] = tuple(name for name in names if name != replica)


class PlacementPolicy(ABC):
    """An algorithm that chooses a replica for each request."""

    @abstractmethod
    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return the choice for the next request of a chat."""

    def record_placement(self, chat: ChatKey, replica: ReplicaId) -> None:  # noqa: B027
        """Record where a chat was placed."""

    def invalidate_replica(self, replica: ReplicaId) -> None:  # noqa: B027
        """Discard what is known of the cache of a replica that lost it."""


class AffinityPolicy(PlacementPolicy):
    """Prefers a replica that holds the chat's prefix, else the first in rendezvous order.

    If none of these has room, the chat is moved aside to the least loaded replica.
    It then stays there, where its prefix is now cached, so that the overload of one
    replica spreads the chats without moving them back and forth.  If no holder
    has room, the choice also names the most recent holder as `preferred`, so that
    the admitter can wait for it; a chat without a holder never waits.
    """

    def __init__(self, chat_limit: int = MAX_CHATS):
        self._prefix_holders = PrefixHolders(chat_limit)

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return a holder with room, else the home replica, else the least loaded one."""
        holders = [name for name in self._prefix_holders.holders(chat) if name in pool_load.limits]
        for name in holders or self._home_replica(chat, pool_load):
            if pool_load.has_room(name):
                return Choice(name)
        preferred = holders[0] if holders else None
        with_room = [name for name in pool_load.limits if pool_load.has_room(name)]
        if not with_room:
            return Choice(None, preferred)
        return Choice(min(with_room, key=lambda name: (pool_load.loads[name], name)), preferred)

    def _home_replica(self, chat: ChatKey, pool_load: PoolLoad) -> list[ReplicaId]:
        """Return the first replica in the rendezvous order of a chat, in a list."""
        return [ReplicaId(name) for name in rendezvous_order(chat, pool_load.limits)[:1]]

    def record_placement(self, chat: ChatKey, replica: ReplicaId) -> None:
        """Record the replica as the most recent holder of the chat's prefix."""
        self._prefix_holders.record(chat, replica)

    def invalidate_replica(self, replica: ReplicaId) -> None:
        """Remove a replica that lost its cache from the holders."""
        self._prefix_holders.remove_replica(replica)
