"""The faults of the soak of streams in which a router is out of step with the other routers."""

import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import trio

from soak.peer_cuts import Loss
from soak.stream_checker import STREAM_SERVICE
from soak.stream_world import ZONES, ReplicaProcess, StreamWorld

if TYPE_CHECKING:
    from soak.stream_faults import StreamFaults

CUT_S = (0.5, 4.0)
# Replicas of a new version are listed so long before or after their router is out of step.
JOIN_DELAY_S = (-0.4, 0.2)
JOINING = (2, 5)
# How long they serve before their streams break, and how often they break.
SERVE_S = (0.15, 0.8)
BREAKS = (2, 5)
# For so long their router is out of step, and for so long they go on serving afterwards.
OUT_OF_STEP_S = (0.8, 3.0)
STAY_S = (0.5, 2.5)
# They are numbered from here on, behind the replicas of the beginning.
FIRST_NUMBER = 1000


class Standing(Enum):
    """How a router is out of step: cut off from the other routers, suspended, or both."""

    CUT = "cut"
    PAUSED = "paused"
    BOTH = "both"


class OutOfStepFaults:
    """Injects the faults in which a router is out of step."""

    def __init__(self, faults: "StreamFaults", world: StreamWorld, rng: Random):
        self._faults = faults
        self._world = world
        self._rng = rng
        self._number = FIRST_NUMBER
        self._apart: set[str] = set()

    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that inject one fault each."""
        cuts = [self.router_cut_from_routers, self.router_out_of_step]
        return [self.replicas_join, *(cuts if self._world.peer_cuts else [])]

    def _choose_routers(self, count: int) -> list[str]:
        """Return up to so many routers that are not cut off and have no other fault."""
        names = [item.name for item in self._world.routers if self._faults.is_free(item.name)]
        free = [name for name in names if name not in self._apart]
        return self._rng.sample(free, min(count, max(0, len(free) - 1)))

    async def router_cut_from_routers(self) -> None:
        """Cut one or two routers off from the other routers alone, some in two ways in turn."""
        chosen = self._choose_routers(self._rng.choice((1, 1, 2)))
        self._apart.update(chosen)
        times = [self._world.take_ups.begin(name) for name in chosen]
        try:
            for _ in range(self._rng.choice((1, 1, 2))):
                loss = self._rng.choice(list(Loss))
                self._cut(chosen, loss)
                await trio.sleep(self._rng.uniform(*CUT_S))
        finally:
            self._restore(chosen)
            for item in times:
                self._world.take_ups.end(item)

    def _cut(self, names: list[str], loss: Loss) -> None:
        """Cut routers off from the other routers."""
        self._world.peer_cuts.cut(names, loss)
        self._world.run_log.write("routers_apart", nodes=names, loss=loss.value)

    def _restore(self, names: list[str]) -> None:
        """Let routers reach the others again."""
        self._world.peer_cuts.restore(names)
        self._world.run_log.write("routers_back", nodes=names)
        self._apart.difference_update(names)

    async def replicas_join(self) -> None:
        """Add replicas of a new version, break their streams soon after, and remove them."""
        replicas = await self._start_replicas(self._name_release())
        self._list_replicas(replicas)
        await self._break_and_leave(replicas)

    def _name_release(self) -> str:
        """Return the software of the next release."""
        self._faults.release_count += 1
        return f"v{self._faults.release_count}"

    async def _start_replicas(self, software: str) -> list[ReplicaProcess]:
        """Start replicas that no entry names yet."""
        replicas = []
        for _ in range(self._rng.randint(*JOINING)):
            self._number += 1
            zone = self._rng.choice(ZONES)
            replica = await self._world.place_replica(
                self._number,
                STREAM_SERVICE,
                zone,
                self._rng,
                software,
                is_listed=False,
                hold=self._faults.hold,
            )
            replicas.append(replica)
        return replicas

    def _list_replicas(self, replicas: list[ReplicaProcess]) -> None:
        """Write the entries of replicas."""
        for replica in replicas:
            self._world.write_entry(replica)

    async def _break_and_leave(self, replicas: list[ReplicaProcess]) -> None:
        """Break the streams of replicas a few times, then let the replicas leave."""
        for _ in range(self._rng.randint(*BREAKS)):
            await trio.sleep(self._rng.uniform(*SERVE_S))
            self._break_streams(replicas)
        await self._leave(replicas)

    def _break_streams(self, replicas: list[ReplicaProcess]) -> None:
        """Let replicas reset all their connections, or end them in order."""
        number = self._rng.choice((signal.SIGUSR1, signal.SIGUSR2))
        for replica in replicas:
            replica.process.send_signal(number)

    async def _leave(self, replicas: list[ReplicaProcess]) -> None:
        """Let replicas serve for a while, and then leave."""
        await trio.sleep(self._rng.uniform(*STAY_S))
        for replica in replicas:
            await self._remove(replica)

    async def _remove(self, replica: ReplicaProcess) -> None:
        """Remove a replica that was added, drained or at once."""
        if self._rng.random() < 0.5:
            self._world.write_entry(replica, state="draining")
            await trio.sleep(self._rng.uniform(0.0, 0.5))
        replica.process.send_signal(self._rng.choice((signal.SIGTERM, signal.SIGKILL)))
        await trio.to_thread.run_sync(replica.process.wait)
        self._world.remove_entry(replica)
        self._world.forget_replica(replica)
        self._faults.release_hold(replica.name)

    async def router_out_of_step(self) -> None:
        """Add replicas of a new version, break their streams, and let a router be out of step."""
        chosen = self._choose_routers(1)
        if not chosen:
            return
        name, software = chosen[0], self._name_release()
        self._apart.add(name)
        standing = self._rng.choice(list(Standing))
        delay_s = self._rng.uniform(*JOIN_DELAY_S)
        replicas = await self._start_replicas(software)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join_later, replicas, max(0.0, delay_s))
            await trio.sleep(max(0.0, -delay_s))
            item = self._world.take_ups.begin(name)
            try:
                await self._stand_apart(name, standing)
            finally:
                self._world.take_ups.end(item)

    async def _join_later(self, replicas: list[ReplicaProcess], delay_s: float) -> None:
        """List replicas after a time, break their streams and let them leave."""
        await trio.sleep(delay_s)
        self._list_replicas(replicas)
        await self._break_and_leave(replicas)

    async def _stand_apart(self, name: str, standing: Standing) -> None:
        """Cut a router off, suspend it, or both, and let it come back."""
        router = next(item for item in self._world.routers if item.name == name)
        is_paused = standing is not Standing.CUT and self._faults.is_free(name)
        if is_paused:
            self._faults.hold(name)
            router.process.send_signal(signal.SIGSTOP)
        if standing is not Standing.PAUSED:
            self._cut([name], self._rng.choice(list(Loss)))
        self._world.run_log.write("router_out_of_step", node=name, how=standing.value)
        try:
            await trio.sleep(self._rng.uniform(*OUT_OF_STEP_S))
        finally:
            if is_paused:
                with suppress(ProcessLookupError):
                    router.process.send_signal(signal.SIGCONT)
                self._faults.release_hold(name)
            if is_paused and standing is Standing.BOTH:
                # Its first moment back, before it hears any other router.
                with trio.CancelScope(shield=True):
                    await trio.sleep(self._rng.uniform(0.0, 0.5))
            self._restore([name])
