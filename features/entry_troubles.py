"""The faults of a random run of entry routers."""

import signal

import trio

from features.entry_scene import (
    COLD_S,
    DRAIN_S,
    PACE_MS,
    ROUTERS,
    SERVICES,
    STABLE_S,
    Leaving,
    Scene,
)
from features.virtual_world import VirtualRouter


class Troubles(Scene):
    """Faults of routers, replicas, the store and the ways between them, at random."""

    async def _bring_faults(self, nursery: trio.Nursery) -> None:
        """Bring faults about, in series and overlapping, with calm spans between."""
        kinds = [
            self._cut_routers,
            self._cut_store,
            self._store_fails,
            self._store_forgets,
            self._lossy,
            self._cut_replica,
            self._crash,
            self._drain,
            self._spoil,
            self._kill,
            self._stop,
        ]
        if self._only:
            kinds = [kind for kind in kinds if kind.__name__.strip("_") in self._only]
        pauses = (0.2,) if self._only else (0.5, 2.0, 2 * STABLE_S)
        while kinds:
            for _ in range(self._rng.randint(1, 3)):
                kind = self._rng.choice(kinds)
                self.result.counts[kind.__name__.strip("_")] += 1
                nursery.start_soon(kind)
                await trio.sleep(self._rng.uniform(0.0, 2.0))
            await trio.sleep(self._rng.choice(pauses))

    async def _hold(self) -> None:
        """Let a fault last."""
        await trio.sleep(self._rng.uniform(0.2, 5.0))

    async def _cut(self, pairs: list[tuple[str, str]]) -> None:
        """Cut ways for a while."""
        net = self.world.net
        for pair in pairs:
            net.cut(*pair)
        await self._hold()
        for pair in pairs:
            net.heal(*pair)

    async def _cut_routers(self) -> None:
        """Part a router from the other routers, in one direction or both."""
        router = self._rng.choice(self.world.routers)
        others = [item.host for item in self.world.routers if item is not router]
        ways = self._rng.choice(((True,), (False,), (True, False)))
        pairs = []
        for other in others:
            pairs += [(router.host, other) if out else (other, router.host) for out in ways]
        with self._trouble(*(item.name for item in self.world.routers)):
            await self._cut(pairs)

    async def _cut_store(self) -> None:
        """Part a router, or all, from the store."""
        routers = self.world.routers
        chosen = routers if self._rng.random() < 0.3 else [self._rng.choice(routers)]
        pairs = [(item.host, "10.200.0.1") for item in chosen]
        with self._trouble("store", *(item.name for item in chosen)):
            self._store_away += chosen is routers
            await self._cut(pairs)
            self._let_store_back(chosen is routers)

    async def _store_fails(self) -> None:
        """Let the store be silent, refuse, or lose answers for some routers or all."""
        doors = [door for door, _ in self.world.doors]
        chosen = doors if self._rng.random() < 0.5 else [self._rng.choice(doors)]
        name, value = self._rng.choice(
            (("silent", True), ("status", 503), ("status", 429), ("lose_answers", True))
        )
        with self._trouble("store"):
            self._store_away += chosen is doors
            for door in chosen:
                setattr(door.faults, name, value)
            await self._hold()
            self._let_store_back(chosen is doors)
            for door in chosen:
                setattr(door.faults, name, type(value)(0))

    async def _store_forgets(self) -> None:
        """Let the store forget its history."""
        with self._trouble("store"):
            self.world.store.compact()

    async def _lossy(self) -> None:
        """Lose a part of all datagrams."""
        with self._trouble(*(item.name for item in self.world.routers)):
            self.world.net.loss = 0.2
            await self._hold()
            self.world.net.loss = 0.0

    async def _cut_replica(self) -> None:
        """Part a replica from some routers."""
        name = self._rng.choice(list(self.world.replicas))
        routers = self._rng.sample(self.world.routers, self._rng.randint(1, ROUTERS))
        pairs = [(item.host, self.world.host_of(name)) for item in routers]
        if self._rng.random() < 0.5:
            pairs = [(target, source) for source, target in pairs]
        with self._trouble(name):
            await self._cut(pairs)

    async def _crash(self) -> None:
        """End a replica and start it again at its address, cold."""
        name = self._take_replica()
        if name is None:
            return
        with self._trouble(name):
            self.world.stop_replica(name)
            self.world.net.reset(self.world.host_of(name))
            await self._hold()
            born = self.world.start_counts[name] = self.world.start_counts.get(name, 1) + 1
            now = trio.current_time()
            self._cold[name].append(Leaving(now, now + COLD_S))
            await self.world.restart_replica(name, born)
            self._busy.discard(name)
            self._list(name)

    def _take_replica(self) -> str | None:
        """Return a replica that nothing else happens to."""
        free = [
            name
            for name in self.world.replicas
            if name not in self._busy and name not in self._draining
        ]
        if not free:
            return None
        name = self._rng.choice(free)
        self._busy.add(name)
        return name

    async def _drain(self) -> None:
        """Drain a replica, let it leave, and put another one at its address."""
        name = self._take_replica()
        service = name and self.world.services[name]
        running = [n for n in self.world.replicas if self.world.services[n] == service]
        if name is None or len(running) <= 2:
            self._busy.discard(name)
            return
        self._draining[name] = Leaving(trio.current_time())
        if self._rng.random() < 0.7:
            self._list(name, state="draining")
            await trio.sleep(DRAIN_S + self._rng.uniform(0.1, 3.0))
        self.world.store.write("servers", name, None)
        await trio.sleep(DRAIN_S)
        replica = self.world.replicas.pop(name)
        self._gone.append(replica)
        self.world.shut(name)
        replica.drop_links()
        await trio.sleep(2.0)
        await self._replace(name, self._rng.choice(list(SERVICES)))

    async def _replace(self, old: str, service: str) -> None:
        """Start a replica, of any service, where another one was."""
        self._number += 1
        name = f"{service}-r{self._number}"
        self.world.hosts[name] = self.world.host_of(old)
        self.world.ports[name] = self.world.ports[old]
        self._zones[name] = self._zones[old]
        now = trio.current_time()
        self._cold[name].append(Leaving(now, now + COLD_S))
        replica = await self.world.add_replica(name, service, self._zones[name])
        replica.pace_ms = PACE_MS[service]
        self._list(name)

    async def _spoil(self) -> None:
        """Let a replica spoil some of its answers."""
        name = self._rng.choice(list(self.world.replicas))
        replica = self.world.replicas[name]
        kinds = ("shed", "errors", "unsigned", "lose_answer", "extra_answer", "encoded")
        with self._trouble(name):
            setattr(replica.faults, self._rng.choice(kinds), self._rng.randint(1, 6))
            replica.faults.break_after = self._rng.choice((None, 0, 3))
            await self._hold()
            replica.faults.break_after = None
            for kind in kinds:
                setattr(replica.faults, kind, 0)

    def _take_router(self) -> VirtualRouter | None:
        """Return a router that runs and that nothing else happens to."""
        free = [r for r in self.world.routers if r.is_running() and r.name not in self._busy]
        if len(free) < 2:
            return None
        router = self._rng.choice(free)
        self._busy.add(router.name)
        return router

    async def _kill(self) -> None:
        """Kill a router and start it again."""
        router = self._take_router()
        if router is None:
            return
        with self._trouble(router.name):
            await self.world.kill(router)
            await self._hold()
            self._versions.pop(router.name, None)
            self.world.start_process(router)
        self._busy.discard(router.name)

    async def _stop(self) -> None:
        """Stop a router in order and start it again."""
        router = self._take_router()
        if router is None:
            return
        with self._trouble(router.name, planned=True):
            self._stops.append((router.name, trio.current_time()))
            await router.signals.send(signal.SIGTERM)
            with trio.move_on_after(self.world.bounds.grace_ms / 1000):
                await router.ended.wait()
            if router.is_running():
                self._breaks(f"{router.name} did not end in time")
                await self.world.kill(router)
            self._versions.pop(router.name, None)
            self.world.start_process(router)
        self._busy.discard(router.name)
