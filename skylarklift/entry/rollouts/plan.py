"""The steps by which the share of the new version rises.

A version may turn bad late, and each request that it got since the order counts against the bound
on exposure.  So most of the time is spent at a small share, and the rest of the traffic is moved in
a last part of the time that is itself shorter than the bound.
"""

from dataclasses import dataclass
from functools import lru_cache

# While evidence is collected, the version gets this part of the bound on exposure.
HOLD_RATIO = 0.3
# Each later step begins this many times the bound on exposure before the end of the plan, with at
# least this share.  All steps together use 0.72 of a bound of 0.1 if the demand stays the same; the
# rest is for waves.  Until the last step some requests go to the other version for comparison.
RISE_BEFORE_END = ((0.9, 0.0), (0.6, 0.3), (0.45, 0.6), (0.3, 0.9), (0.15, 1.0))
# A larger bound counts as this one, so that the steps stay in the last half of the time.
MAX_EXPOSURE_SHARE = 0.5
# The plan ends this part of the duration before the deadline, and this long at most: an order is
# read up to 1.1 s late, and another router may have to go on with the roll-out.
MARGIN_RATIO = 0.07
MAX_MARGIN_MS = 6000
PER_MILLE = 1000


@dataclass(frozen=True, slots=True)
class PlanStep:
    """A share of the requests, and the part of the planned time after which it may begin."""

    from_elapsed: float
    share: float

    def per_mille(self) -> int:
        """Return the share as an integer, at least 1."""
        return max(1, round(self.share * PER_MILLE))


def planned_ms(duration_ms: int) -> int:
    """Return the time in which a roll-out is to be completed."""
    return max(1, duration_ms - min(MAX_MARGIN_MS, int(MARGIN_RATIO * duration_ms)))


@lru_cache(maxsize=8)
def plan_steps(exposure_share: float) -> tuple[PlanStep, ...]:
    """Return the steps of a roll-out under a bound on exposure."""
    bound = min(exposure_share, MAX_EXPOSURE_SHARE)
    rises = [PlanStep(1 - before * bound, max(bound, share)) for before, share in RISE_BEFORE_END]
    return (PlanStep(0.0, HOLD_RATIO * bound), *rises)
