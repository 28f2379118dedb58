"""Track which replicas hold which parts of prompts in their prefix caches.

A cached part is useful at a replica only together with all parts before it.  The placements of
other routers are known from gossip; what a replica evicted for lack of memory is not known.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import PromptPart
from skylarklift.ids import ReplicaId

PLACEMENT_TTL_MS = 60000
MAX_PARTS = 4000
# A placement is announced again only if its last use before was longer ago than this.
REANNOUNCE_IDLE_MS = 3000
# Own placements are kept for this long, to be announced to routers that have just started.
OWN_PLACEMENT_TTL_MS = 15000


@dataclass(frozen=True, slots=True)
class Placement:
    """The names of a prompt's shared parts, in order, and the replica it was sent to."""

    part_names: tuple[str, ...]
    replica: ReplicaId


class PrefixIndex:
    """The replicas of each shared part, with the time of its last use there."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._holders: OrderedDict[str, dict[ReplicaId, Millis]] = OrderedDict()
        self._own_placements: deque[tuple[Millis, Placement]] = deque()

    def record_own(self, parts: Sequence[PromptPart], replica: ReplicaId) -> None:
        """Record that this router sends a prompt to a replica."""
        if not parts:
            return
        now = self._clock.now()
        last = self._holders.get(parts[-1].name, {}).get(replica)
        names = tuple(part.name for part in parts)
        self._record_use(names, replica, now)
        if last is None or now - last > REANNOUNCE_IDLE_MS:
            self._own_placements.append((now, Placement(names, replica)))

    def record_reported(self, placement: Placement) -> None:
        """Record a placement reported by another router."""
        self._record_use(placement.part_names, placement.replica, self._clock.now())

    def _record_use(self, names: Sequence[str], replica: ReplicaId, now: Millis) -> None:
        """Record the use of parts at a replica; evict the least recently used parts."""
        for name in names:
            self._holders.setdefault(name, {})[replica] = now
            self._holders.move_to_end(name)
        while len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def own_placements_since(self, since: Millis) -> list[Placement]:
        """Return the placements by this router since a time."""
        limit = self._clock.now() - OWN_PLACEMENT_TTL_MS
        while self._own_placements and self._own_placements[0][0] < limit:
            self._own_placements.popleft()
        return [placement for placed_at, placement in self._own_placements if placed_at >= since]

    def held_tokens(self, parts: Sequence[PromptPart], replica: ReplicaId, since: Millis) -> int:
        """Return how many tokens from the start of a prompt a replica holds.

        Uses before `since`, the replica's known start, do not count.
        """
        oldest = max(since, self._clock.now() - PLACEMENT_TTL_MS)
        tokens = 0
        for part in parts:
            last_used = self._holders.get(part.name, {}).get(replica)
            if last_used is None or last_used < oldest:
                break
            tokens += part.tokens
        return tokens


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts of a prompt that other requests may share: all but the last of several."""
    return parts[:-1] if len(parts) > 1 else parts
