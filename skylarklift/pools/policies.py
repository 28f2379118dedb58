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
CHATS_REMEMBERED = 100_000


@dataclass(frozen=True)
class PoolView:
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
    worth_waiting_for: ReplicaId | None = None


class PrefixMemory:
    """Remember which replicas hold the prefix of a chat, for the latest chats only.

    The memory is bounded: a chat that was forgotten is placed by hashing again.
    """

    def __init__(self, chat_limit: int):
        self._chat_limit = chat_limit
        self._holders: OrderedDict[ChatKey, tuple[ReplicaId, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def holders(self, key: ChatKey) -> tuple[ReplicaId, ...]:
        """Return the replicas that served the chat, the latest first."""
        return self._holders.get(key, ())

    def note(self, key: ChatKey, replica: ReplicaId) -> None:
        """Note that the replica serves the chat now."""
        others = tuple(name for name in self.holders(key) if name != replica)
        self._holders[key] = (replica, *others)[:HOLDERS_PER_CHAT]
        self._holders.move_to_end(key)
        if len(self._holders) > self._chat_limit:
            self._holders.popitem(last=False)

    def forget_replica(self, replica: ReplicaId) -> None:
        """Forget all that a replica held, since it lost its cache."""
        for key, names in list(self._holders.items()):
            if replica in names:
                self._holders[key] = tuple(name for name in names if name != replica)


class PlacementPolicy(ABC):
    """A way to choose a replica."""

    @abstractmethod
    def choose(self, key: ChatKey, view: PoolView) -> Choice:
        """Return the choice for a chat."""

    def note_placed(self, key: ChatKey, replica: ReplicaId) -> None:  # noqa: B027
        """Learn where a chat was placed."""

    def forget_replica(self, replica: ReplicaId) -> None:  # noqa: B027
        """Learn that a replica lost its cache."""


class AffinityPolicy(PlacementPolicy):
    """Prefer a replica that holds the chat's prefix, else the rendezvous order.

    A chat that was moved aside goes on where its prefix is, so that overload at one
    replica spreads the chats rather than moving them to and fro.  Moved chats go to
    the least loaded replica.  While no holder has room the choice names the best
    one, so that the admitter can wait for it; a chat without a holder never waits.
    """

    def __init__(self, chat_limit: int = CHATS_REMEMBERED):
        self._memory = PrefixMemory(chat_limit)

    def choose(self, key: ChatKey, view: PoolView) -> Choice:
        """Return a holder with room, the home replica, or the least loaded one."""
        holders = [name for name in self._memory.holders(key) if name in view.limits]
        for name in holders or self._home(key, view):
            if view.has_room(name):
                return Choice(name)
        worth_waiting_for = holders[0] if holders else None
        roomy = [name for name in view.limits if view.has_room(name)]
        if not roomy:
            return Choice(None, worth_waiting_for)
        return Choice(min(roomy, key=lambda name: (view.loads[name], name)), worth_waiting_for)

    def _home(self, key: ChatKey, view: PoolView) -> list[ReplicaId]:
        """Return the replica that comes first for a chat without a holder."""
        return [ReplicaId(name) for name in rendezvous_order(key, view.limits)[:1]]

    def note_placed(self, key: ChatKey, replica: ReplicaId) -> None:
        """Remember the holder."""
        self._memory.note(key, replica)

    def forget_replica(self, replica: ReplicaId) -> None:
        """Forget a holder that lost its cache."""
        self._memory.forget_replica(replica)
