"""The state of a roll-out, which is stored in one row and sent between routers."""

from dataclasses import dataclass, replace
from enum import Enum

from skylarklift.clock import Millis
from skylarklift.entry.rollouts.order import KnownOrder
from skylarklift.entry.rollouts.plan import planned_ms
from skylarklift.ids import ServiceId, SoftwareVersion


class RolloutPhase(Enum):
    """How far a roll-out is; the values are written to the status row."""

    IN_PROGRESS = "in_progress"
    REVERTED = "reverted"
    COMPLETED = "completed"


# A later phase replaces an earlier one.  The old replicas stop at `COMPLETED`, so that is final.
PHASE_ORDER = (RolloutPhase.IN_PROGRESS, RolloutPhase.REVERTED, RolloutPhase.COMPLETED)


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The state of the roll-out of one order.

    `order_version` is the version of the order's row, `ordered_at` when some router saw the order
    first, and `step` the index of the step of the plan that is in force.
    """

    service: ServiceId
    to: SoftwareVersion
    order_version: int
    ordered_at: Millis
    duration_ms: int
    phase: RolloutPhase = RolloutPhase.IN_PROGRESS
    step: int = 0

    def is_of(self, known: KnownOrder) -> bool:
        """Return whether this is the state of an order."""
        return self.order_version == known.row_version and self.to == known.order.to

    def is_of_same_order(self, other: "RolloutState") -> bool:
        """Return whether both are states of the same order."""
        return self.order_version == other.order_version and self.to == other.to

    def progress(self) -> tuple[int, int]:
        """Return a key by which a later state of the same order is larger."""
        return PHASE_ORDER.index(self.phase), self.step

    def merge(self, other: "RolloutState") -> "RolloutState":
        """Return the later of two states of the same order, with the earlier start."""
        later = max(self, other, key=RolloutState.progress)
        return replace(later, ordered_at=min(self.ordered_at, other.ordered_at))

    def elapsed(self, now: Millis) -> float:
        """Return the part of the planned time that has passed; more than 1 after its end."""
        return (now - self.ordered_at) / planned_ms(self.duration_ms)


@dataclass(frozen=True, slots=True)
class StoredRollout:
    """A state as it is in the store, with the version of its row, 0 without a row."""

    state: RolloutState
    row_version: int
