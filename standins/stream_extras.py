"""What some replicas send after an answer although nobody asked for it."""

import time
from dataclasses import dataclass
from enum import Enum
from random import Random

from standins.stream_wire import Wire

# Part of the replicas that send extras, and part of their whole answers that one follows.
EXTRA_REPLICA_RATIO = 0.4
EXTRA_ANSWER_RATIO = 0.3
EXTRA_BYTES = (1, 400)
MAX_DELAY_S = 0.4


class ExtraKind(Enum):
    """What is sent beside the answers."""

    BYTES = "bytes"
    SECOND_ANSWER = "second answer"


class ExtraMoment(Enum):
    """When it is sent."""

    AT_ONCE = "at once"
    DELAYED = "delayed"
    BEFORE_NEXT = "before the next answer"


@dataclass(frozen=True)
class Extra:
    """What follows one answer, and when."""

    kind: ExtraKind
    moment: ExtraMoment
    data: bytes

    def describe(self) -> str:
        """Return kind and moment as text."""
        return f"{self.kind.value} {self.moment.value}"


class Extras:
    """Extras on one connection; the seed of `rng` determines what follows which answer."""

    def __init__(self, wire: Wire, rng: Random, ratio: float):
        self._wire = wire
        self._rng = rng
        self._ratio = ratio
        self._before_next = b""

    def draw(self) -> Extra | None:
        """Return what is to follow the last answer, `None` if nothing is."""
        if self._rng.random() >= self._ratio:
            return None
        kind = self._rng.choice(list(ExtraKind))
        return Extra(kind, self._rng.choice(list(ExtraMoment)), self._make(kind))

    def _make(self, kind: ExtraKind) -> bytes:
        """Return what is sent."""
        if kind is ExtraKind.SECOND_ANSWER:
            return self._wire.last_answer()
        return self._rng.randbytes(self._rng.randint(*EXTRA_BYTES))

    def send(self, extra: Extra) -> None:
        """Send an extra, or keep it until the next answer."""
        if extra.moment is ExtraMoment.BEFORE_NEXT:
            self._before_next = extra.data
            return
        if extra.moment is ExtraMoment.DELAYED:
            time.sleep(self._rng.uniform(0.0, MAX_DELAY_S))
        self._wire.write(extra.data)

    def precede_answer(self) -> None:
        """Send what was kept for the next answer."""
        data, self._before_next = self._before_next, b""
        if data:
            self._wire.write(data)


def draw_ratio(rng: Random) -> float:
    """Return which part of a replica's whole answers an extra follows."""
    return EXTRA_ANSWER_RATIO if rng.random() < EXTRA_REPLICA_RATIO else 0.0
