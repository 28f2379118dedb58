"""Faults of a site's days that meet routers and their links: kills, stops, cuts, added routers."""

import signal

import trio

from soak.faults import RESTART_DELAY_S
from soak.proxy import LoopbackProxy, Mode
from soak.router_paths import Cut
from soak.site_file import SiteFault
from soak.site_replicas import ReplicaFaults, slow_down
from standins.entry_world import RouterProcess

# A lost packet arrives late by about this, as TCP sends it again.
RESEND_MS = 250
LOSSY_STEP_S = 0.25
# Of the steps of a lossy link so many times as many are late as packets are lost.
PACKETS_PER_STEP = 10


class RouterFaults(ReplicaFaults):
    """Injects the faults of routers that a site file names."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._spares = list(self._site.spares)
        self._removed: list[RouterProcess] = []
        self._zones: dict[str, str] = {}
        self._start_lock = trio.Lock()

    async def add_router(self, zone: str) -> RouterProcess:
        """Start a router in a zone, with links to the store and to replicas that can be cut."""
        async with self._start_lock:
            return await self._start_router(zone, len(self._world.routers))

    async def _start_router(self, zone: str, number: int) -> RouterProcess:
        """Start the router with the next number."""
        world, name = self._replica_world, f"n{number}"
        await world.open_store_endpoint()
        proxy = LoopbackProxy(world.store_endpoints[number][1])
        port = await world.listen(f"proxy-store-endpoint-{number}", proxy.serve)
        world.store_endpoints[number] = (world.store_endpoints[number][0], port)
        self.store_proxies.append(proxy)
        world.extra_settings["zone"] = self._zones[name] = zone
        await world.add_router_paths(name)
        return world.launch_router(name, store_endpoint_index=number)

    def _choose_routers(self, fault: SiteFault, default_share: float) -> list[RouterProcess]:
        """Return the routers that a fault meets."""
        free = [item for item in self._world.routers if item.name not in self._busy]
        if not free:
            return []
        return self._rng.sample(free, fault.choose_count(len(free), default_share))

    async def play_herd_kill(self, fault: SiteFault) -> None:
        """Kill many routers at the same moment; after a loss of power they are away longer."""
        await self._kill(self._choose_routers(fault, 0.6), fault)

    async def play_node_kill(self, fault: SiteFault) -> None:
        """Kill a few routers at the same moment."""
        await self._kill(self._choose_routers(fault, 0.1), fault)

    async def _kill(self, chosen: list[RouterProcess], fault: SiteFault) -> None:
        """Kill routers and start them again."""
        for router in chosen:
            self._busy.add(router.name)
            router.process.kill()
        names = [router.name for router in chosen]
        self._replica_world.run_log.write("routers_killed", nodes=names)
        if "power" in fault.how:
            await trio.sleep(max(0.0, fault.for_s - RESTART_DELAY_S))
        await self.restart_routers(chosen)

    async def play_node_freeze(self, fault: SiteFault) -> None:
        """Suspend routers for a while."""
        chosen = self._choose_routers(fault, 0.1)
        self._busy.update(item.name for item in chosen)
        for router in chosen:
            router.process.send_signal(signal.SIGSTOP)
        await trio.sleep(fault.for_s)
        for router in chosen:
            router.process.send_signal(signal.SIGCONT)
        self._busy.difference_update(item.name for item in chosen)

    async def play_node_slow(self, fault: SiteFault) -> None:
        """Let routers run so many times slower."""
        chosen = self._choose_routers(fault, 0.1)
        self._busy.update(item.name for item in chosen)
        await slow_down([item.process for item in chosen], fault.x or 5.0, fault.for_s)
        self._busy.difference_update(item.name for item in chosen)

    async def play_roll_term(self, fault: SiteFault) -> None:
        """Stop routers in order, some at a time, and start them again unless they are removed."""
        chosen, at_once = self._choose_routers(fault, 1.0), round(fault.x or 1)
        async with trio.open_nursery() as nursery:
            for number, router in enumerate(chosen):
                if number and number % at_once == 0:
                    await trio.sleep(fault.gap_s)
                if self.ending:
                    return
                if router.name not in self._busy:
                    stop = self._remove if self._may_remove(fault) else self._stop_router
                    nursery.start_soon(stop, router)

    def _may_remove(self, fault: SiteFault) -> bool:
        """Return whether a router that is stopped is not started again."""
        return "remove" in fault.how and 2 * len(self._removed) + 2 <= len(self._site.routers)

    async def _remove(self, router: RouterProcess) -> None:
        """Stop a router for good, or until routers are added."""
        self._removed.append(router)
        self._busy.add(router.name)
        await self._wait_until_signals_are_received(router)
        self.note_stop(router)
        router.process.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(router.process.wait)

    async def play_add_nodes(self, fault: SiteFault) -> None:
        """Add routers: those that were removed, and spare ones."""
        while self._removed:
            router = self._removed.pop()
            await self._world.restart_router(router)
            self._busy.discard(router.name)
        for _ in range(fault.choose_count(len(self._spares), 1.0)):
            if self._spares:
                await self.add_router(self._spares.pop())

    async def play_hup(self, fault: SiteFault) -> None:
        """Send SIGHUP to routers, one after the other."""
        for router in self._choose_routers(fault, 0.3):
            await self._wait_until_signals_are_received(router)
            router.process.send_signal(signal.SIGHUP)
            await trio.sleep(fault.gap_s / len(self._world.routers))

    async def play_node_cut(self, fault: SiteFault) -> None:
        """Cut routers off from the store, and in two of the ways from replicas too."""
        chosen = self._choose_routers(fault, 0.1)
        proxies = [self.store_proxies[self._world.routers.index(item)] for item in chosen]
        for proxy in proxies:
            proxy.set_mode(Mode.HOLD_BOTH)
        if {"all", "servers"} & set(fault.how):
            self._cut_paths([item.name for item in chosen], Cut.HANG)
        await trio.sleep(fault.for_s)
        for proxy in proxies:
            proxy.set_mode(Mode.FORWARD)
        self._restore_paths()

    async def play_zone_cut(self, fault: SiteFault) -> None:
        """Cut the ways between the routers and the replicas of a zone and those of the others."""
        zone = fault.zone or self._rng.choice(self._site.zones)
        for name, paths in self._replica_world.router_paths.items():
            paths.cut(Cut.HANG, self._list_ports(zone, inside=self._zones[name] != zone))
        await trio.sleep(fault.for_s)
        self._restore_paths()

    def _list_ports(self, zone: str, *, inside: bool) -> set[int]:
        """Return the ports of the replicas in a zone, or of those in the others."""
        replicas = self._replica_world.replica_processes.values()
        return {item.port for item in replicas if (item.zone == zone) is inside}

    def _restore_paths(self) -> None:
        """Let all ways to replicas work again."""
        for paths in self._replica_world.router_paths.values():
            paths.restore()

    async def play_lossy(self, fault: SiteFault) -> None:
        """Delay what goes between a zone and the others now and then, as lost packets do."""
        zone = fault.zone or self._rng.choice(self._site.zones)
        ratio = min(1.0, PACKETS_PER_STEP * (fault.x or 0.03))
        proxies = []
        for name, paths in self._replica_world.router_paths.items():
            ports = self._list_ports(zone, inside=self._zones[name] != zone)
            proxies += paths.list_proxies(ports)
        for _ in range(round(fault.for_s / LOSSY_STEP_S)):
            for proxy in proxies:
                proxy.delay_ms = RESEND_MS if self._rng.random() < ratio else 0
            await trio.sleep(LOSSY_STEP_S)
        for proxy in proxies:
            proxy.delay_ms = 0

    async def play_reset_conns(self, fault: SiteFault) -> None:
        """Reset the connections of routers to replicas."""
        for router in self._choose_routers(fault, 0.1):
            paths = self._replica_world.router_paths[router.name]
            paths.cut(Cut.RESET)
            paths.restore()
