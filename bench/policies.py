"""Baselines that the placement policy is compared with."""

import random

from skylarklift.hashing import rendezvous_order
from skylarklift.ids import ChatKey, ReplicaId
from skylarklift.pools.policies import Choice, PlacementPolicy, PoolLoad


class RandomPolicy(PlacementPolicy):
    """Any replica with room."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return a random replica with room."""
        candidates = [name for name in pool_load.limits if pool_load.has_room(name)]
        return Choice(self._rng.choice(candidates) if candidates else None)


class LeastLoadPolicy(PlacementPolicy):
    """The replica with the least load."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return the least loaded replica with room; ties fall at random."""
        candidates = [name for name in pool_load.limits if pool_load.has_room(name)]
        if not candidates:
            return Choice(None)
        return Choice(min(candidates, key=lambda name: (pool_load.loads[name], self._rng.random())))


class HashPolicy(PlacementPolicy):
    """Bounded-load rendezvous hashing: the first in order that has room."""

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return the first replica in rendezvous order with room."""
        for name in rendezvous_order(chat, pool_load.limits):
            if pool_load.has_room(ReplicaId(name)):
                return Choice(ReplicaId(name))
        return Choice(None)
