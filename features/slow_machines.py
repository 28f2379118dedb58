"""Replicas whose machines slow down for a time and recover, in virtual time."""

import random
from dataclasses import dataclass, field

from skylarklift.clock import Millis

SLOW_FACTOR = 2.5
SLOW_MS = 600
# The share of the time in which a machine is slow.
SLOW_RATIO = 0.15
# Every third machine is always this much slower than the others.
WEAK_FACTOR = 1.3
WEAK_EACH = 3
USUAL_MS = SLOW_MS * (1 - SLOW_RATIO) / SLOW_RATIO


@dataclass
class Timeline:
    """The moments at which a machine changes between its usual speed, which is first, and slow."""

    base: float
    rng: random.Random
    changes: list[Millis] = field(default_factory=list)

    def factor_at(self, moment: Millis) -> tuple[float, Millis]:
        """Return how slow the machine is at a moment, and until when."""
        while not self.changes or self.changes[-1] <= moment:
            slow = len(self.changes) % 2
            mean_ms = SLOW_MS if slow else USUAL_MS
            span_ms = mean_ms * self.rng.uniform(0.5, 1.5)
            last = self.changes[-1] if self.changes else moment - self.rng.randrange(int(USUAL_MS))
            self.changes.append(Millis(int(last + span_ms)))
        index = next(n for n, change in enumerate(self.changes) if change > moment)
        return self.base * (SLOW_FACTOR if index % 2 else 1.0), self.changes[index]


class SlowMachines:
    """The speeds of all replicas."""

    def __init__(self, replicas: list[str], seed: int):
        self._timelines = {
            name: Timeline(
                WEAK_FACTOR if number % WEAK_EACH == 0 else 1.0, random.Random(f"{seed}/{name}")
            )
            for number, name in enumerate(replicas)
        }

    def factor(self, replica: str, moment: Millis) -> float:
        """Return how many times as long as usual work takes at a moment."""
        return self._timelines[replica].factor_at(moment)[0]

    def is_slow(self, replica: str, moment: Millis) -> bool:
        """Return whether a replica has slowed down."""
        return self.factor(replica, moment) >= SLOW_FACTOR

    def span_ms(self, replica: str, began: Millis, work_ms: float) -> int:
        """Return how long work takes that begins at a moment and would usually take `work_ms`."""
        moment = began
        while True:
            factor, until = self._timelines[replica].factor_at(moment)
            if moment + work_ms * factor <= until:
                return int(moment + work_ms * factor - began)
            work_ms -= (until - moment) / factor
            moment = until
