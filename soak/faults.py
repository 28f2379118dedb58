"""The faults of the soak, each brought about from outside and ended again."""

import signal
from collections.abc import Awaitable, Callable
from random import Random

import trio

from soak.judge import GRACE_S, Judge
from soak.proxy import LoopbackProxy, Mode
from standins.entryworld import EntryWorld, RouterProcess

LONGEST_S = 3.0
RESTART_S = 0.3


class Faults:
    """Faults at random, one seed giving one order of them."""

    def __init__(self, world: EntryWorld, rng: Random, judge: Judge):
        self._world = world
        self._rng = rng
        self._judge = judge
        self.replica_proxies: dict[str, LoopbackProxy] = {}
        self.store_proxies: list[LoopbackProxy] = []
        self._busy: set[str] = set()
        self._starts = 0

    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the kinds of faults."""
        return [
            self.replica_path,
            self.replica_reset,
            self.replica_fault,
            self.replica_crash,
            self.store_path,
            self.store_status,
            self.store_loses,
            self.store_forgets,
            self.router_pause,
            self.router_kill,
            self.router_stop,
            self.router_stops_in_series,
        ]

    async def hold(self) -> None:
        """Let a fault last."""
        await trio.sleep(self._rng.uniform(0.2, LONGEST_S))

    # Paths.

    async def replica_path(self) -> None:
        """Delay, silence or cut one way the path to a replica."""
        await self._spoil(self._rng.choice(list(self.replica_proxies.values())))

    async def store_path(self) -> None:
        """Delay, silence or cut one way the path from one router, or all, to the store."""
        proxies = self.store_proxies
        chosen = proxies if self._rng.random() < 0.4 else [self._rng.choice(proxies)]
        async with trio.open_nursery() as nursery:
            for proxy in chosen:
                nursery.start_soon(self._spoil, proxy)

    async def _spoil(self, proxy: LoopbackProxy) -> None:
        """Spoil one path for a while."""
        delay_ms = self._rng.choice((0, 0, 50, 400))
        if delay_ms:
            proxy.delay_ms = delay_ms
        else:
            proxy.set_mode(self._rng.choice((Mode.SILENT, Mode.NO_WAY_THERE, Mode.NO_WAY_BACK)))
        try:
            await self.hold()
        finally:
            proxy.delay_ms = 0
            proxy.set_mode(Mode.PASS)

    async def replica_reset(self) -> None:
        """Break all connections to a replica, a few times."""
        proxy = self._rng.choice(list(self.replica_proxies.values()))
        for _ in range(self._rng.choice((1, 3))):
            proxy.reset()
            await trio.sleep(0.2)

    # Replicas.

    async def replica_fault(self) -> None:
        """Let a replica spoil some of its answers."""
        replica = self._rng.choice(list(self._world.replicas.values()))
        names = ("shed", "errors", "unsigned", "lose_answer", "extra_answer", "encoded")
        setattr(replica.faults, self._rng.choice(names), self._rng.randint(1, 6))
        replica.faults.break_after = self._rng.choice((None, 0, 3))
        await self.hold()
        replica.faults.break_after = None
        for name in names:
            setattr(replica.faults, name, 0)

    async def replica_crash(self) -> None:
        """End a replica and start it again under a new name at the same address."""
        name = self._rng.choice(list(self._world.replicas))
        if name in self._busy:
            return
        self._busy.add(name)
        self._world.stop_replica(name)
        await self.hold()
        self._starts += 1
        await self._world.restart_replica(name, born=self._starts + 1)
        self._busy.discard(name)

    # The store.

    async def store_status(self) -> None:
        """Let the store refuse one router, or all."""
        doors = [door for door, _ in self._world.doors]
        chosen = doors if self._rng.random() < 0.4 else [self._rng.choice(doors)]
        for door in chosen:
            door.faults.status = self._rng.choice((429, 503))
        await self.hold()
        for door in chosen:
            door.faults.status = 0

    async def store_loses(self) -> None:
        """Let answers of the store get lost."""
        door = self._rng.choice(self._world.doors)[0]
        door.faults.lose_answers = True
        await self.hold()
        door.faults.lose_answers = False

    async def store_forgets(self) -> None:
        """Let the store forget its history."""
        self._world.store.compact()

    # Routers.

    def _any_router(self) -> RouterProcess | None:
        """Return a router that nothing else happens to, if another one serves."""
        free = [item for item in self._world.routers if item.name not in self._busy]
        return self._rng.choice(free) if len(free) > 1 else None

    async def router_pause(self) -> None:
        """Stop a router's process for a while."""
        router = self._any_router()
        if router is None:
            return
        self._busy.add(router.name)
        router.process.send_signal(signal.SIGSTOP)
        try:
            await self.hold()
        finally:
            router.process.send_signal(signal.SIGCONT)
            self._busy.discard(router.name)

    async def router_kill(self) -> None:
        """Kill a router and start it again."""
        router = self._any_router()
        if router is None:
            return
        self._busy.add(router.name)
        router.process.kill()
        await trio.sleep(RESTART_S)
        await self._world.restart_router(router)
        self._busy.discard(router.name)

    async def router_stop(self) -> None:
        """Tell a router to stop, and start it again when it has ended."""
        router = self._any_router()
        if router is not None:
            await self._stop(router)

    async def router_stops_in_series(self) -> None:
        """Stop several routers one soon after the other."""
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                router = self._any_router()
                if router is not None:
                    nursery.start_soon(self._stop, router)
                    await trio.sleep(self._rng.uniform(0.1, 1.5))

    async def _stop(self, router: RouterProcess) -> None:
        """Stop one router in order; it must end by itself, in time, with code 0."""
        self._busy.add(router.name)
        self._judge.stops.append((router.name, trio.current_time()))
        was_up = router.is_up()
        router.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S + 1):
            await trio.to_thread.run_sync(router.process.wait, abandon_on_cancel=True)
        code = router.process.poll()
        # A process that is still loading its code takes no signal yet, and no request.
        if code != 0 and (was_up or code != -signal.SIGTERM):
            self._judge.broken.append(f"{router.name} was told to stop and ended with {code}")
        await self._world.restart_router(router)
        self._busy.discard(router.name)
