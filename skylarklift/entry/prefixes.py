"""Which replicas hold which parts of prompts, as far as this router knows.

A part is of use at a replica only together with all parts before it.  What other routers sent
is known from what they tell; what a replica dropped for lack of memory is not known.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import PromptPart
from skylarklift.ids import ReplicaId

PLACEMENT_TTL_MS = 60000
MAX_PARTS = 4000
# A placement that all routers know is told again only after this long.
ANNOUNCE_AGAIN_MS = 3000
# A router that has just started is told the placements of this span.
ANNOUNCE_WINDOW_MS = 15000


@dataclass(frozen=True, slots=True)
class Placement:
    """A prompt's shared parts, in order, and the replica that reads them."""

    part_names: tuple[str, ...]
    replica: ReplicaId


class PrefixIndex:
    """The replicas of each shared part, with the moment of its last use there."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._holders: OrderedDict[str, dict[ReplicaId, Millis]] = OrderedDict()
        self._own_placements: deque[tuple[Millis, Placement]] = deque()

    def record_own(self, parts: Sequence[PromptPart], replica: ReplicaId) -> None:
        """Note that this router sends a prompt to a replica."""
        if not parts:
            return
        now = self._clock.now()
        last = self._holders.get(parts[-1].name, {}).get(replica)
        names = tuple(part.name for part in parts)
        self._record_use(names, replica, now)
        if last is None or now - last > ANNOUNCE_AGAIN_MS:
            self._own_placements.append((now, Placement(names, replica)))

    def record_reported(self, placement: Placement) -> None:
        """Note that another router sent a prompt to a replica."""
        self._record_use(placement.part_names, placement.replica, self._clock.now())

    def _record_use(self, names: Sequence[str], replica: ReplicaId, now: Millis) -> None:
        """Note the use of parts at a replica."""
        for name in names:
            self._holders.setdefault(name, {})[replica] = now
            self._holders.move_to_end(name)
        while len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def own_placements_since(self, since: Millis) -> list[Placement]:
        """Return the placements made here from a moment on."""
        limit = self._clock.now() - ANNOUNCE_WINDOW_MS
        while self._own_placements and self._own_placements[0][0] < limit:
            self._own_placements.popleft()
        return [placement for moment, placement in self._own_placements if moment >= since]

    def held_tokens(self, parts: Sequence[PromptPart], replica: ReplicaId, since: Millis) -> int:
        """Return how many tokens from the start of a prompt a replica holds.

        What was noted before `since`, the replica's start as far as known, does not count.
        """
        oldest = max(since, self._clock.now() - PLACEMENT_TTL_MS)
        tokens = 0
        for part in parts:
            moment = self._holders.get(part.name, {}).get(replica)
            if moment is None or moment < oldest:
                break
            tokens += part.tokens
        return tokens


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts of a prompt that other requests may share: all but the last."""
    return parts[:-1] if len(parts) > 1 else parts
