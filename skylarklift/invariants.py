"""Invariants that the program asserts about itself while it runs.

A breach is counted and logged with its state, and the step that found it is
refused: `InvariantBreach` is raised before anything is given out.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from skylarklift.errors import InvariantBreach

BreachReporter = Callable[[str, dict[str, Any]], None]


class InvariantChecker:
    """Count breaches by name and hand each to the reporters."""

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
