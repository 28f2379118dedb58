"""The faults of the soak of streams in which the store loses rows, or performs writes late."""

import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

import trio

from soak.stream_world import ReplicaProcess, StreamWorld
from standins.rows import STATUS_UNAVAILABLE, LateWrites

if TYPE_CHECKING:
    from soak.stream_faults import StreamFaults

# A replica's entry follows its start by up to this.
ENTRY_DELAY_S = 1.0
# The age of a copy from which the store comes back, and for how long it is away before.
COPY_AGE_S = (2.0, 6.0)
STORE_AWAY_S = (0.0, 0.5)
# The parts of the writes that are performed late, and for how long the store does so.
LATE_RATIOS = (0.3, 0.6, 1.0)
LATE_SPAN_S = (2.0, 6.0)
# All routers are killed this long after the store began to perform writes late.
KILL_DELAY_S = (1.0, 5.0)
# The parts of the replicas that lose power with all routers.
POWER_RATIOS = (0.3, 0.7, 1.0)
# A replica comes back with the software of up to so many releases before.
MAX_OLDER_RELEASES = 2


class StoreLosses:
    """Injects the faults of the store, some with the power of routers and replicas."""

    def __init__(self, faults: "StreamFaults", world: StreamWorld, rng: Random):
        self._faults = faults
        self._world = world
        self._rng = rng
        self._has_copy = False

    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that inject one fault each."""
        return [
            self.store_restored,
            self.store_restored_herd_kill,
            self.store_writes_late,
            self.store_writes_late_herd_kill,
            self.all_lose_power,
        ]

    async def store_restored(self) -> None:
        """Let the store come back from a copy some seconds old."""
        await self._restore()

    async def store_restored_herd_kill(self) -> None:
        """Let the store come back from a copy some seconds old as all routers are killed."""
        await self._restore(kills_routers=True)

    async def all_lose_power(self) -> None:
        """Let all routers and many replicas lose power as the store comes back from a copy."""
        await self._restore(kills_routers=True, kills_replicas=True)

    async def store_writes_late(self) -> None:
        """Let the store perform a part of the writes seconds later, and not answer them."""
        rng, ratio = Random(self._rng.random()), self._rng.choice(LATE_RATIOS)
        endpoints = [endpoint for endpoint, _ in self._world.store_endpoints]
        for endpoint in endpoints:
            endpoint.faults.late_writes = LateWrites(rng, ratio)
        await trio.sleep(self._rng.uniform(*LATE_SPAN_S))
        for endpoint in endpoints:
            endpoint.faults.late_writes = None

    async def store_writes_late_herd_kill(self) -> None:
        """Let the store perform writes late, and kill all routers meanwhile or soon after."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.store_writes_late)
            await trio.sleep(self._rng.uniform(*KILL_DELAY_S))
            await self._faults.restart_routers(self._faults.kill_routers(1.0))

    async def _restore(self, *, kills_routers: bool = False, kills_replicas: bool = False) -> None:
        """Let the store be away for a moment, and come back from a copy some seconds old."""
        if self._has_copy:
            return
        self._has_copy = True
        store = self._world.store
        copy = store.copy()
        await trio.sleep(self._rng.uniform(*COPY_AGE_S))
        killed = self._faults.kill_routers(1.0) if kills_routers else []
        async with trio.open_nursery() as nursery:
            if kills_replicas:
                self._restart_replicas(nursery)
            if self._rng.random() < 0.5:
                await self._take_away()
            store.restore(copy)
            self._has_copy = False
            nursery.start_soon(self._faults.restart_routers, killed)
            await self._write_rows_again()

    def _restart_replicas(self, nursery: trio.Nursery) -> None:
        """Kill a part of the replicas; they come back with their software, or with other ones."""
        free = self._faults.list_free_replicas()
        ratio = self._rng.choice(POWER_RATIOS)
        keeps_software = self._rng.random() < 0.5
        for replica in self._rng.sample(free, round(ratio * len(free))):
            older = self._rng.randint(0, MAX_OLDER_RELEASES)
            other = f"v{max(1, self._faults.release_count - older)}"
            software = replica.software if keeps_software else other
            nursery.start_soon(self._faults.restart, replica, software, signal.SIGKILL)

    async def _take_away(self) -> None:
        """Make the store refuse all calls for a moment."""
        endpoints = [endpoint for endpoint, _ in self._world.store_endpoints]
        for endpoint in endpoints:
            endpoint.faults.status = STATUS_UNAVAILABLE
        await trio.sleep(self._rng.uniform(*STORE_AWAY_S))
        for endpoint in endpoints:
            endpoint.faults.status = 0

    async def _write_rows_again(self) -> None:
        """Let the operator and the replicas write again what they had written."""
        world = self._world
        world.write_operator_rows_again()
        at_once = self._rng.random() < 0.5
        async with trio.open_nursery() as nursery:
            for replica in world.replica_processes.values():
                delay_s = 0.0 if at_once else self._rng.uniform(0.0, ENTRY_DELAY_S)
                nursery.start_soon(self._write_entry_again, replica, delay_s)

    async def _write_entry_again(self, replica: ReplicaProcess, delay_s: float) -> None:
        """Write the entry of a replica again if its process runs."""
        await trio.sleep(delay_s)
        if replica.is_running():
            self._world.write_entry(replica, replica.state)
