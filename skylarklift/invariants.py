"""Invariants that the program checks about itself at run time.

A breach is counted and logged with its state.  `InvariantBreach` is raised before the
checked step takes effect.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from skylarklift.errors import InvariantBreach

BreachReporter = Callable[[str, dict[str, Any]], None]


class InvariantChecker:
    """Check invariants, count breaches by name and call the reporters for each."""

    def __init__(self):
        self.counts: Counter[str] = Counter()
        self.reporters: list[BreachReporter] = []

    def require(self, name: str, holds: bool, **state: Any) -> None:
        """Raise `InvariantBreach` unless the invariant holds."""
        if holds:
            return
        self.counts[name] += 1
        for reporter in self.reporters:
            reporter(name, state)
        raise InvariantBreach(f"{name}: {state}")


INVARIANTS = InvariantChecker()
