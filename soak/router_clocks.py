"""Step the routers' time of day."""

import json
import os
import time
from pathlib import Path
from random import Random

from standins.entry_world import ROOT
from standins.stepped_router import CLOCK_SUFFIX, NS_PER_S

PROGRAM = str(ROOT / "standins" / "stepped_router.py")
# How far a step goes, to either side.
STEPS_S = (0.05, 0.5, 2.0, 30.0, 3600.0)


class RouterClocks:
    """The clocks of routers that run as `standins.stepped_router`, by the routers' names."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._steps: dict[str, list[tuple[int, int]]] = {}

    def choose_arguments(self, arguments: tuple[str, ...]) -> tuple[str, ...]:
        """Return the Python arguments that start a router with such a clock."""
        return (PROGRAM, arguments[-1])

    def step(self, router: str, rng: Random) -> None:
        """Set the clock of a router forward or back from now on."""
        step_s = rng.choice(STEPS_S) * rng.choice((-1, 1))
        self._steps.setdefault(router, []).append((time.time_ns(), int(step_s * NS_PER_S)))
        self._write(router)

    def _write(self, router: str) -> None:
        """Write the file that a router reads, at once."""
        path = self._folder / f"{router}{CLOCK_SUFFIX}"
        draft = path.with_suffix(f"{CLOCK_SUFFIX}.new")
        draft.write_text(json.dumps(self._steps[router]))
        os.replace(draft, path)
