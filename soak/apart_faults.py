"""The faults of routers out of step that are injected only if they are named."""

import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress

import trio

from soak.out_of_step import BREAKS, JOIN_DELAY_S, OUT_OF_STEP_S, SERVE_S, OutOfStepFaults
from soak.peer_cuts import Loss
from soak.proxy import Mode
from soak.stream_checker import STREAM_SERVICE
from soak.stream_world import ReplicaProcess

# A router that is asked stands still so long after streams broke, and for so long.
ASKED_S = (0.02, 0.35)
STILL_S = (0.1, 0.9)
# A release that goes back meets so many replicas.
MOVED = (2, 4)
# So many are replaced once a router has lacked the store for so long.
REPLACED = (4, 7)
AWAY_S = (2.4, 3.2)


class ApartFaults(OutOfStepFaults):
    """Injects further faults in which a router is out of step."""

    def named_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that inject one fault each, apart from those of all runs."""
        cuts = [
            self.router_cut_from_routers_and_store,
            self.release_goes_back,
            self.replicas_replaced_apart,
        ]
        return [self.router_still_as_asked, *(cuts if self._world.peer_cuts else [])]

    @contextmanager
    def _out_of_step(self) -> Iterator[str | None]:
        """Let callers bring streams to a router; yield its name, `None` if none is free."""
        chosen = self._choose_routers(1)
        if not chosen:
            yield None
            return
        self._apart.update(chosen)
        item = self._world.take_ups.begin(chosen[0])
        try:
            yield chosen[0]
        finally:
            self._world.take_ups.end(item)
            self._apart.difference_update(chosen)

    async def router_still_as_asked(self) -> None:
        """Suspend a router, or all others, a moment after streams of a new version broke."""
        replicas = await self._start_replicas(self._name_release())
        self._list_replicas(replicas)
        with self._out_of_step() as name:
            for _ in range(self._rng.randint(*BREAKS)):
                await trio.sleep(self._rng.uniform(*SERVE_S))
                self._break_streams(replicas)
                await trio.sleep(self._rng.uniform(*ASKED_S))
                if name is not None:
                    await self._stand_still(self._choose_still(name))
        await self._leave(replicas)

    def _choose_still(self, name: str) -> list[str]:
        """Return the router that callers ask, or those that it asks in turn."""
        names = [item.name for item in self._world.routers if self._faults.is_free(item.name)]
        asks = self._rng.random() < 0.5
        return [item for item in names if (item == name) is asks]

    async def _stand_still(self, names: list[str]) -> None:
        """Suspend routers for a moment."""
        routers = [item for item in self._world.routers if item.name in names]
        self._world.run_log.write("routers_still", nodes=names)
        for router in routers:
            self._faults.hold(router.name)
            router.process.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(self._rng.uniform(*STILL_S))
        finally:
            for router in routers:
                with suppress(ProcessLookupError):
                    router.process.send_signal(signal.SIGCONT)
                self._faults.release_hold(router.name)

    async def router_cut_from_routers_and_store(self) -> None:
        """Cut a router off from the others and from the store as a new version joins."""
        replicas = await self._start_replicas(self._name_release())
        with self._out_of_step() as name:
            async with trio.open_nursery() as nursery:
                delay_s = self._rng.uniform(*JOIN_DELAY_S)
                nursery.start_soon(self._join_later, replicas, max(0.0, delay_s))
                await trio.sleep(max(0.0, -delay_s))
                if name is not None:
                    await self._cut_from_both(name)

    async def _cut_from_both(self, name: str) -> None:
        """Cut a router off from the others and the store; one of them may come back first."""
        names = [router.name for router in self._world.routers]
        proxy = self._faults.store_proxies[names.index(name)]
        ways = [lambda: self._restore([name]), lambda: proxy.set_mode(Mode.FORWARD)]
        self._rng.shuffle(ways)
        self._cut([name], self._rng.choice(list(Loss)))
        proxy.set_mode(Mode.HOLD_BOTH)
        try:
            await trio.sleep(self._rng.uniform(*OUT_OF_STEP_S))
            ways[0]()
            await trio.sleep(self._rng.uniform(*SERVE_S))
        finally:
            self._restore([name])
            proxy.set_mode(Mode.FORWARD)

    async def release_goes_back(self) -> None:
        """Replace replicas by ones of a new version and back, as a router is cut off."""
        software = self._name_release()
        moved = self._choose_moved(MOVED)
        with self._out_of_step() as name:
            if name is not None:
                self._cut([name], self._rng.choice(list(Loss)))
            try:
                async with trio.open_nursery() as nursery:
                    for replica in moved:
                        nursery.start_soon(self._move_and_back, replica, software)
            finally:
                if name is not None:
                    self._restore([name])

    async def replicas_replaced_apart(self) -> None:
        """Replace replicas and stop a router as another one lacks the store and the others."""
        software = self._name_release()
        with self._out_of_step() as name:
            if name is None:
                return
            with self._without_both(name):
                await trio.sleep(self._rng.uniform(*AWAY_S))
                moved = self._choose_moved(REPLACED)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._faults.router_stop)
                    for replica in moved:
                        nursery.start_soon(self._move_and_back, replica, software)

    def _choose_moved(self, count: tuple[int, int]) -> list[ReplicaProcess]:
        """Return some free replicas of streams, kept from other faults until they moved back."""
        free = self._faults.list_free_replicas()
        streams = [item for item in free if item.service == STREAM_SERVICE]
        moved = self._rng.sample(streams, min(len(streams), self._rng.randint(*count)))
        for replica in moved:
            self._faults.hold(replica.name)
        return moved

    @contextmanager
    def _without_both(self, name: str) -> Iterator[None]:
        """Cut a router off from the others and from the store."""
        names = [router.name for router in self._world.routers]
        proxy = self._faults.store_proxies[names.index(name)]
        self._cut([name], Loss.BOTH)
        proxy.set_mode(Mode.HOLD_BOTH)
        try:
            yield
        finally:
            self._restore([name])
            proxy.set_mode(Mode.FORWARD)

    async def _move_and_back(self, replica: ReplicaProcess, software: str) -> None:
        """Replace a replica by one of another version, and that by one of its own."""
        before = replica.software
        for version in (software, before):
            await self._faults.restart(replica, version, signal.SIGKILL)
            # One that is replaced twice at a time would leave a process behind.
            self._faults.hold(replica.name)
            await trio.sleep(self._rng.uniform(*SERVE_S))
        self._faults.release_hold(replica.name)
