"""How a replica of the soak of streams behaves: whether it breaks off, and when it is silent."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class Ratios:
    """Which part of its answers a replica breaks off, and of its events and ends a pause precedes.

    One that is not `sound` also sends what nobody asked for.
    """

    sound: bool
    breaks: float = 0.0
    pauses: float = 0.0
    end_pauses: float = 0.0
    pause_s: tuple[float, float] = (0.0, 0.0)


class Conduct(Enum):
    """The conduct of all replicas of a run: faulty, or sound without or with silences."""

    FAULTY = "faulty"
    STEADY = "steady"
    SILENT = "silent"

    @property
    def ratios(self) -> Ratios:
        """Return the ratios of the conduct."""
        return RATIOS[self]


# How long a sound replica may fall silent.
SILENCE_S = (1.0, 1.3)
RATIOS = {
    Conduct.FAULTY: Ratios(sound=False, breaks=0.12, pauses=0.02, pause_s=(0.2, 1.2)),
    Conduct.STEADY: Ratios(sound=True),
    Conduct.SILENT: Ratios(sound=True, pauses=0.01, end_pauses=0.2, pause_s=SILENCE_S),
}
