"""Choose a replica for a chat: the policies and what they may know.

A policy sees the loads of one pool and the limit of each replica for the next
request.  It answers with a replica, with a replica worth a short wait, or with
neither when no replica has room.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass

from skylarklift.hashing import rendezvous_order
from skylarklift.ids import ChatKey, ReplicaId

HOLDERS_PER_CHAT = 3
DEFAULT_CHAT_LIMIT = 100_000


@dataclass(frozen=True)
class PoolLoad:
    """The loads and limits of the replicas that may take the next request."""

    loads: dict[ReplicaId, int]
    limits: dict[ReplicaId, int]

    def has_room(self, replica: ReplicaId) -> bool:
        """Tell whether one more request stays within the replica's limit."""
        return replica in self.limits and self.loads[replica] < self.limits[replica]


@dataclass(frozen=True)
class Choice:
    """A replica to use now, and one that is better but has no room yet."""

    replica: ReplicaId | None
    preferred: ReplicaId | None = None


class PrefixHolders:
    """Remember which replicas hold the prefix of a chat, for the latest chats only.

    The memory is bounded: a chat that was forgotten is placed by hashing again.
    """

    def __init__(self, chat_limit: int):
        self._chat_limit = chat_limit
        self._holders: OrderedDict[ChatKey, tuple[ReplicaId, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def holders(self, chat: ChatKey) -> tuple[ReplicaId, ...]:
        """Return the replicas that served the chat, the latest first."""
        return self._holders.get(chat, ())

    def record(self, chat: ChatKey, replica: ReplicaId) -> None:
        """Note that the replica serves the chat now."""
        others = tuple(name for name in self.holders(chat) if name != replica)
        self._holders[chat] = (replica, *others)[:HOLDERS_PER_CHAT]
        self._holders.move_to_end(chat)
        if len(self._holders) > self._chat_limit:
            self._holders.popitem(last=False)

    def remove_replica(self, replica: ReplicaId) -> None:
        """Forget all that a replica held, since it lost its cache."""
        for chat, names in list(self._holders.items()):
            if replica in names:
                self._holders[chat] = tuple(name for name in names if name != replica)


class PlacementPolicy(ABC):
    """A way to choose a replica."""

    @abstractmethod
    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return the choice for a chat."""

    def record_placement(self, chat: ChatKey, replica: ReplicaId) -> None:  # noqa: B027
        """Learn where a chat was placed."""

    def invalidate_replica(self, replica: ReplicaId) -> None:  # noqa: B027
        """Learn that a replica lost its cache."""


class AffinityPolicy(PlacementPolicy):
    """Prefer a replica that holds the chat's prefix, else the rendezvous order.

    A chat that was moved aside goes on where its prefix is, so that overload at one
    replica spreads the chats rather than moving them to and fro.  Moved chats go to
    the least loaded replica.  While no holder has room the choice names the best
    one, so that the admitter can wait for it; a chat without a holder never waits.
    """

    def __init__(self, chat_limit: int = DEFAULT_CHAT_LIMIT):
        self._prefix_holders = PrefixHolders(chat_limit)

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return a holder with room, the home replica, or the least loaded one."""
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
        """Return the replica that comes first for a chat without a holder."""
        return [ReplicaId(name) for name in rendezvous_order(chat, pool_load.limits)[:1]]

    def record_placement(self, chat: ChatKey, replica: ReplicaId) -> None:
        """Remember the holder."""
        self._prefix_holders.record(chat, replica)

    def invalidate_replica(self, replica: ReplicaId) -> None:
        """Forget a holder that lost its cache."""
        self._prefix_holders.remove_replica(replica)
