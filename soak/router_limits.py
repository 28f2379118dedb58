"""Hold the routers of a soak to the memory and the cores that their machines have."""

import os
import resource
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from standins.process_state import resident_bytes

BYTES_PER_MB = 1024 * 1024
POLL_S = 0.25
PROBE_S = 1.0
PROBE_POLL_S = 0.01


class Cores:
    """The cores that processes are held to in turn: those at which a process gets to run now."""

    def __init__(self):
        self._usable: list[int] = []
        self._given = 0

    def choose(self, count: int) -> set[int]:
        """Return so many cores for one process."""
        if not self._usable:
            self._usable = find_responsive_cores()
        self._given += count
        return {self._usable[(self._given + index) % len(self._usable)] for index in range(count)}


def find_responsive_cores() -> list[int]:
    """Return the cores at which a short process ends soon, all if there are none.

    On a machine that others use, a process that is held to one core may not run for minutes.
    """
    cores = sorted(os.sched_getaffinity(0))
    probes = {core: start_probe(core) for core in cores}
    end = time.monotonic() + PROBE_S
    while time.monotonic() < end and any(probe.poll() is None for probe in probes.values()):
        time.sleep(PROBE_POLL_S)
    found = [core for core, probe in probes.items() if probe.poll() == 0]
    for probe in probes.values():
        if probe.poll() is None:
            lift_limits(probe.pid)
            probe.kill()
        probe.wait()
    return found or cores


def start_probe(core: int) -> subprocess.Popen:
    """Start a process that ends at once, on one core."""
    probe = subprocess.Popen([sys.executable, "-S", "-c", "pass"])
    os.sched_setaffinity(probe.pid, {core})
    return probe


def lift_limits(pid: int) -> None:
    """Let a process run on any core, so that it can end."""
    with suppress(ProcessLookupError):
        os.sched_setaffinity(pid, os.sched_getaffinity(0))


@dataclass(frozen=True)
class RouterLimits:
    """The most memory and cores of each router, 0 for as many as there are.

    The kernel refuses memory beyond that for data.  What counts on a machine is the memory in use,
    which a run watches.
    """

    memory_mb: int = 0
    cores: int = 0
    _chooser: Cores = field(default_factory=Cores, repr=False, compare=False)

    def apply(self, pid: int) -> None:
        """Limit the process of a router that was just started."""
        # One that has ended already is found by whoever watches it.
        with suppress(ProcessLookupError):
            if self.memory_mb:
                limit = self.memory_mb * BYTES_PER_MB
                resource.prlimit(pid, resource.RLIMIT_DATA, (limit, limit))
            if self.cores:
                os.sched_setaffinity(pid, self._chooser.choose(self.cores))


class MemoryWatch:
    """The most memory that the routers were seen to use, and what is wrong with it."""

    def __init__(self, limits: RouterLimits):
        self._limits = limits
        self._peaks: dict[str, int] = {}

    async def run(self, routers: list) -> None:
        """Read the memory of the routers' processes at intervals."""
        while True:
            for router in routers:
                used = resident_bytes(router.process.pid)
                self._peaks[router.name] = max(used, self._peaks.get(router.name, 0))
            await trio.sleep(POLL_S)

    def peak_mb(self) -> float:
        """Return the most memory that one of them used."""
        return max(self._peaks.values(), default=0) / BYTES_PER_MB

    def violations(self) -> list[str]:
        """Return which routers used more than they may."""
        if not self._limits.memory_mb:
            return []
        limit = self._limits.memory_mb * BYTES_PER_MB
        return [
            f"{name} used {peak / BYTES_PER_MB:.0f} MB of {self._limits.memory_mb}"
            for name, peak in sorted(self._peaks.items())
            if peak > limit
        ]
