"""The faults of the soak of streams: signals to routers and replicas, cut links, releases."""

import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Collection, Iterator
from dataclasses import dataclass
from itertools import combinations
from random import Random

import trio

from soak.apart_faults import ApartFaults
from soak.checker import Checker
from soak.faults import RESTART_DELAY_S
from soak.proxy import LoopbackProxy
from soak.router_faults import RouterFaults
from soak.router_paths import Cut
from soak.store_losses import ENTRY_DELAY_S, StoreLosses
from soak.stream_checker import STREAM_SERVICE
from soak.stream_world import ZONES, ReplicaPath, ReplicaProcess, StreamWorld
from standins.entry_world import ROOT, RouterProcess

DOWN_S = (0.0, 1.5)
DRAIN_S = (0.2, 2.0)
# The part of the replicas that a fault of many meets at once.
MANY_RATIO = 0.7
MANY_PAUSE_S = (0.7, 1.4)
# The ways in which a router is cut off.
CUTS_OFF = (Cut.HANG, Cut.RESET, Cut.REFUSE)
LINKS_END_PAUSE_S = 0.2
# Parts of the routers that one herd kill ends.
HERD_RATIOS = (0.6, 1.0, 1.0)
ROUTER_POLL_S = 0.1
CONFIG_STEP_S = (0.0, 0.6)
MAX_BUSY_PROCESSES = 3
# Fields of all routes that a change of the configuration sets.
CONFIG_CHANGES = {
    "goal_ms": (100, 500, 3000),
    "priority": (1, 2, 5),
    "session_affinity": (True, False),
}


@dataclass(frozen=True)
class ReleasePace:
    """How fast a release replaces replicas; with `overlaps`, none waits for those before it."""

    pause_s: tuple[float, float] = (0.1, 1.0)
    overlaps: bool = False


SLOW_RELEASES = ReleasePace()
QUICK_RELEASES = ReleasePace(pause_s=(0.05, 0.3), overlaps=True)


class StreamFaults(RouterFaults):
    """Injects faults; replicas are processes, and routers are watched."""

    max_signals = 2

    def __init__(self, world: StreamWorld, rng: Random, checker: Checker):
        super().__init__(world, rng, checker)
        self._replica_world = world
        self.replica_proxies = world.replica_proxies
        self.release_count = 1
        self._zone_is_out = False
        self._machine_is_busy = False
        self._store_losses = StoreLosses(self, world, rng)
        self._out_of_step = ApartFaults(self, world, rng)
        self._cut_off: set[str] = set()
        self.release_pace = SLOW_RELEASES

    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that inject one fault each."""
        path_faults = [self.replica_path, self.replica_reset, self.replica_freeze]
        router_path_faults = [self.router_cut_off, self.router_links_end]
        return [
            *(path_faults if self.replica_proxies else []),
            *(router_path_faults if self._replica_world.router_paths else []),
            *self.router_kinds(),
            self.replica_kill,
            self.replica_kill,
            self.replica_pause,
            self.replica_cut,
            self.replicas_pause,
            self.replicas_cut,
            self.replica_other_version,
            self.replica_addresses_swap,
            self.release,
            self.config_change,
            self.zone_out,
            self.busy_machine,
            self.store_path,
            self.store_freeze,
            self.store_status,
            self.store_loses,
            self.store_forgets,
            *self._store_losses.kinds(),
            self.router_pause,
            self.router_kill,
            self.herd_kill,
            self.router_stop,
            self.router_stops_in_series,
            self.router_stop_signals,
            self.router_reloads,
            *self._out_of_step.kinds(),
        ]

    def draw_kinds(self, names: Collection[str]) -> Iterator[Callable[[], Awaitable[None]]]:
        """Return the faults to inject, without an end; each named one comes once in each round."""
        kinds = self.choose_kinds(names)
        while True:
            yield from self._rng.sample(kinds, len(kinds)) if names else [self._rng.choice(kinds)]

    def named_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that are called only by name."""
        return self._out_of_step.named_kinds()

    # What a fault keeps from others.

    def is_free(self, name: str) -> bool:
        """Return whether a router or a replica has no fault."""
        return name not in self._busy

    def hold(self, name: str) -> None:
        """Keep other faults from a router or a replica."""
        self._busy.add(name)

    def release_hold(self, name: str) -> None:
        """Let other faults meet a router or a replica again."""
        self._busy.discard(name)

    # Replicas.

    def list_free_replicas(self) -> list[ReplicaProcess]:
        """Return the replicas without a fault."""
        replicas = self._replica_world.replica_processes.values()
        return [item for item in replicas if item.name not in self._busy]

    def _choose_free_replica(self) -> ReplicaProcess | None:
        """Return a replica without a fault, or `None` if there is none."""
        free = self.list_free_replicas()
        return self._rng.choice(free) if len(free) > 1 else None

    async def replica_kill(self) -> None:
        """Kill a replica, some at once after a stop, and start it again."""
        replica = self._choose_free_replica()
        if replica is None:
            return
        self._busy.add(replica.name)
        if self._rng.random() < 0.3:
            # What routers send meanwhile stays unread, so that the kernel resets the connections.
            replica.process.send_signal(signal.SIGSTOP)
            await trio.sleep(self._rng.uniform(0.0, 0.5))
        await self.restart(replica, replica.software, signal.SIGKILL)

    async def replica_other_version(self) -> None:
        """Kill a replica and start it under its id with another version of the software."""
        replica = self._choose_free_replica()
        if replica is not None:
            software = f"v{self._rng.randint(1, self.release_count + 1)}"
            await self.restart(replica, software, signal.SIGKILL)

    async def replica_addresses_swap(self) -> None:
        """Kill a replica of each service, and start each at the address of the other one."""
        pair = self._choose_free_pair()
        if pair is None:
            return
        for replica in pair:
            self._busy.add(replica.name)
            replica.process.kill()
        for replica in pair:
            await trio.to_thread.run_sync(replica.process.wait)
        self._replica_world.swap_addresses(*pair)
        async with trio.open_nursery() as nursery:
            for replica in pair:
                nursery.start_soon(self.restart, replica, replica.software, signal.SIGKILL)

    def _choose_free_pair(self) -> tuple[ReplicaProcess, ReplicaProcess] | None:
        """Return two replicas of different services that routers reach in the same way, if any."""
        pairs = [
            (one, other)
            for one, other in combinations(self.list_free_replicas(), 2)
            if one.service != other.service and one.path is other.path is not ReplicaPath.PROXY
        ]
        return self._rng.choice(pairs) if pairs else None

    async def replica_pause(self) -> None:
        """Suspend a replica's process for a random duration."""
        replica = self._choose_free_replica()
        if replica is None:
            return
        self._busy.add(replica.name)
        replica.process.send_signal(signal.SIGSTOP)
        try:
            await self.wait_fault_duration()
        finally:
            replica.process.send_signal(signal.SIGCONT)
            self._busy.discard(replica.name)

    async def replica_cut(self) -> None:
        """Make a replica reset all its connections, or end them in order, a few times."""
        for _ in range(self._rng.randint(1, 3)):
            replica = self._choose_free_replica()
            if replica is not None:
                replica.process.send_signal(self._rng.choice((signal.SIGUSR1, signal.SIGUSR2)))
            await trio.sleep(self._rng.uniform(0.0, 0.3))

    def _choose_many_replicas(self) -> list[ReplicaProcess]:
        """Return most of the replicas without a fault."""
        free = self.list_free_replicas()
        return self._rng.sample(free, round(MANY_RATIO * len(free)))

    async def replicas_pause(self) -> None:
        """Suspend most replicas at once for about a second."""
        chosen = self._choose_many_replicas()
        for replica in chosen:
            self._busy.add(replica.name)
            replica.process.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(self._rng.uniform(*MANY_PAUSE_S))
        finally:
            for replica in chosen:
                replica.process.send_signal(signal.SIGCONT)
                self._busy.discard(replica.name)

    async def replicas_cut(self) -> None:
        """Make most replicas at once reset all their connections, or end them in order."""
        number = self._rng.choice((signal.SIGUSR1, signal.SIGUSR2))
        for replica in self._choose_many_replicas():
            replica.process.send_signal(number)

    async def release(self) -> None:
        """Replace the replicas of the streams by ones of a new version, one after the other."""
        self.release_count += 1
        software = f"v{self.release_count}"
        async with trio.open_nursery() as nursery:
            for replica in list(self._replica_world.replica_processes.values()):
                if self.ending:
                    return
                if replica.service != STREAM_SERVICE or replica.name in self._busy:
                    continue
                if replica.name not in self._replica_world.replica_processes:
                    # It has left meanwhile.
                    continue
                self._busy.add(replica.name)
                if self.release_pace.overlaps:
                    nursery.start_soon(self._replace, replica, software)
                else:
                    await self._replace(replica, software)
                await trio.sleep(self._rng.uniform(*self.release_pace.pause_s))

    async def _replace(self, replica: ReplicaProcess, software: str) -> None:
        """Replace a replica by one of another version; most say before that they leave."""
        if self._rng.random() < 0.7:
            self._replica_world.write_entry(replica, state="draining")
            await trio.sleep(self._rng.uniform(*DRAIN_S))
        await self.restart(replica, software, signal.SIGTERM)

    async def restart(self, replica: ReplicaProcess, software: str, number: signal.Signals) -> None:
        """End a replica's process and start it again; its entry follows within a second."""
        world = self._replica_world
        self._busy.add(replica.name)
        replica.process.send_signal(number)
        await trio.to_thread.run_sync(replica.process.wait)
        if self._rng.random() < 0.6:
            await trio.sleep(self._rng.uniform(*DOWN_S))
        replica.software = software
        world.start_replica_process(replica)
        early = self._rng.random() < 0.3
        if early:
            world.write_entry(replica)
        await world.wait_listening(replica)
        if not early:
            await trio.sleep(self._rng.uniform(0.0, ENTRY_DELAY_S))
            world.write_entry(replica)
        self._busy.discard(replica.name)

    # Network paths.

    async def replica_freeze(self) -> None:
        """Freeze the open connections to a replica."""
        await self._freeze(self._rng.choice(list(self.replica_proxies.values())))

    async def store_freeze(self) -> None:
        """Freeze the open connections of one router to the store."""
        await self._freeze(self._rng.choice(self.store_proxies))

    async def _freeze(self, proxy: LoopbackProxy) -> None:
        """Freeze the open connections of a path, then let them go on or close them."""
        proxy.freeze()
        await self.wait_fault_duration()
        if self._rng.random() < 0.5:
            proxy.reset()
        proxy.thaw()

    def _choose_whole_paths(self) -> list[str]:
        """Return one or all of the routers that can be cut off and are not."""
        whole = [name for name in self._replica_world.router_paths if name not in self._cut_off]
        self._rng.shuffle(whole)
        return whole if self._rng.random() < 0.5 else whole[:1]

    async def router_cut_off(self) -> None:
        """Cut one router, or most, off from all replicas, some in two ways in turn."""
        chosen = self._choose_whole_paths()
        self._cut_off.update(chosen)
        try:
            for _ in range(self._rng.choice((1, 1, 2))):
                self._cut_paths(chosen, self._rng.choice(CUTS_OFF))
                await self.wait_fault_duration()
        finally:
            for name in chosen:
                self._replica_world.router_paths[name].restore()
            self._cut_off.difference_update(chosen)

    async def router_links_end(self) -> None:
        """End the connections of one router, or most, to replicas in order, once or three times."""
        chosen = self._choose_whole_paths()
        for _ in range(self._rng.choice((1, 3))):
            self._cut_paths(chosen, Cut.END)
            await trio.sleep(LINKS_END_PAUSE_S)

    def _cut_paths(self, names: list[str], how: Cut) -> None:
        """Cut the ways of some routers to replicas."""
        for name in names:
            self._replica_world.router_paths[name].cut(how)

    # The operator.

    async def config_change(self) -> None:
        """Change the configuration a few times, in what must not change any answer."""
        for _ in range(self._rng.randint(1, 3)):
            changes = {name: self._rng.choice(values) for name, values in CONFIG_CHANGES.items()}
            self._replica_world.write_routes(changes)
            await trio.sleep(self._rng.uniform(*CONFIG_STEP_S))

    async def zone_out(self) -> None:
        """Take one zone out for a random duration and put it back, some twice in series."""
        if self._zone_is_out:
            return
        self._zone_is_out = True
        zone = self._rng.choice(ZONES)
        for _ in range(self._rng.choice((1, 1, 2))):
            self._replica_world.write_evacuation(zone, active=True)
            await self.wait_fault_duration()
            self._replica_world.write_evacuation(zone, active=False)
            await trio.sleep(self._rng.uniform(*CONFIG_STEP_S))
        self._zone_is_out = False

    # The machine.

    async def busy_machine(self) -> None:
        """Keep a few cores busy for a random duration."""
        if self._machine_is_busy:
            return
        self._machine_is_busy = True
        processes = [start_busy_process() for _ in range(self._rng.randint(1, MAX_BUSY_PROCESSES))]
        try:
            await self.wait_fault_duration()
        finally:
            for process in processes:
                process.kill()
                process.wait()
        self._machine_is_busy = False

    # Routers.

    async def herd_kill(self) -> None:
        """Kill most or all routers at the same moment and start them again."""
        await self.restart_routers(self.kill_routers(self._rng.choice(HERD_RATIOS)))

    def kill_routers(self, ratio: float) -> list[RouterProcess]:
        """Kill a part of the routers without a fault at the same moment; return them."""
        free = [item for item in self._world.routers if item.name not in self._busy]
        chosen = self._rng.sample(free, round(ratio * len(free)))
        for router in chosen:
            self._busy.add(router.name)
            router.process.kill()
        names = [router.name for router in chosen]
        self._replica_world.run_log.write("routers_killed", nodes=names)
        return chosen

    async def restart_routers(self, killed: list[RouterProcess]) -> None:
        """Start killed routers again after a moment."""
        await trio.sleep(RESTART_DELAY_S)
        for router in killed:
            await self._world.restart_router(router)
            self._busy.discard(router.name)

    async def watch_routers(self) -> None:
        """Report each router that ends by itself, and start it again."""
        while True:
            await trio.sleep(ROUTER_POLL_S)
            for router in self._world.routers:
                code = router.process.poll()
                if code is None or router.name in self._busy:
                    continue
                self._checker.violations.append(f"{router.name} ended by itself, code {code}")
                await self._world.restart_router(router)


def start_busy_process() -> subprocess.Popen:
    """Start a process that uses one core until it is killed."""
    return subprocess.Popen([sys.executable, "-m", "standins.busy_process"], cwd=ROOT)
