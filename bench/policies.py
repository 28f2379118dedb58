"""Placement policies that serve as baselines."""

import random

from skylarklift.hashing import rendezvous_order
from skylarklift.ids import ChatKey, ReplicaId
from skylarklift.pools.policies import Choice, PlacementPolicy, PoolLoad


class RandomPolicy(PlacementPolicy):
    """Choose any replica with room at random."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return a random replica with room."""
        candidates = [name for name in pool_load.limits if pool_load.has_room(name)]
        return Choice(self._rng.choice(candidates) if candidates else None)


class LeastLoadPolicy(PlacementPolicy):
    """Choose the replica with the least load."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return the least loaded replica with room; ties are broken at random."""
        candidates = [name for name in pool_load.limits if pool_load.has_room(name)]
        if not candidates:
            return Choice(None)
        return Choice(min(candidates, key=lambda name: (pool_load.loads[name], self._rng.random())))


class HashPolicy(PlacementPolicy):
    """Choose by rendezvous hashing with bounded loads."""

    def choose(self, chat: ChatKey, pool_load: PoolLoad) -> Choice:
        """Return the first replica with room in the chat's rendezvous order."""
        for name in rendezvous_order(chat, pool_load.limits):
            if pool_load.has_room(ReplicaId(name)):
                return Choice(ReplicaId(name))
        return Choice(None)
