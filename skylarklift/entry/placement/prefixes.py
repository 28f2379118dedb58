"""Track which replicas hold which parts of prompts in their prefix caches.

A cached part is useful at a replica only together with all parts before it.  The placements of
other routers are known from gossip; what a replica evicted for lack of memory is not known.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import PromptPart
from skylarklift.entry.state.upstream import Upstream
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


@dataclass(frozen=True, slots=True)
class Holders:
    """The upstreams that hold the same number of tokens from the start of a prompt."""

    tokens: int
    names: list[ReplicaId]


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

    def held_tokens(self, parts: Sequence[PromptPart], upstream: Upstream) -> int:
        """Return how many tokens from the start of a prompt an upstream holds.

        Uses before the upstream's known start do not count.
        """
        tokens = 0
        for part in parts:
            if not self._is_held(part, upstream):
                break
            tokens += part.tokens
        return tokens

    def _is_held(self, part: PromptPart, upstream: Upstream) -> bool:
        """Return whether an upstream was sent a part recently, since its known start."""
        last_used = self._holders.get(part.name, {}).get(upstream.record.replica)
        oldest = max(upstream.known_since, self._clock.now() - PLACEMENT_TTL_MS)
        return last_used is not None and last_used >= oldest

    def holders(
        self, parts: Sequence[PromptPart], upstreams: Mapping[ReplicaId, Upstream]
    ) -> Iterator[Holders]:
        """Yield the upstreams that hold the start of a prompt, those that hold most first.

        The last parts are known to few upstreams, the first ones often to all of them, so a
        caller that stops early spares most of the work.
        """
        seen: set[ReplicaId] = set()
        for count in range(len(parts), 0, -1):
            names = [
                name
                for name in self._holders.get(parts[count - 1].name, ())
                if name not in seen
                and name in upstreams
                and all(self._is_held(part, upstreams[name]) for part in parts[:count])
            ]
            if names:
                seen.update(names)
                yield Holders(sum(part.tokens for part in parts[:count]), names)


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts of a prompt that other requests may share: all but the last of several."""
    return parts[:-1] if len(parts) > 1 else parts
