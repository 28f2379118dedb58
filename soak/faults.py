"""The faults of the soak, each injected from outside the routers and removed again."""

import signal
from collections.abc import Awaitable, Callable, Collection
from random import Random

import trio

from soak.checker import GRACE_S, Checker
from soak.proxy import LoopbackProxy, Mode
from standins.entry_world import EntryWorld, RouterProcess
from standins.process_state import has_loaded, receives_signal
from standins.replica import Replica

MAX_FAULT_S = 3.0
RESTART_DELAY_S = 0.3
FURTHER_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAX_SIGNALS = 6
MAX_SIGNAL_GAP_S = 1.0
START_POLL_S = 0.005
START_POLLS = 2000
# A router loads it in the middle of its imports.
LIBRARY_OF_CODE = "msgpack"
EXTRA_RESPONSE = "extra_response"
RESPONSE_FAULTS = ("shed", "errors", "unsigned", "lose_response", EXTRA_RESPONSE, "encoded")


class Faults:
    """Injects faults; the seed of `rng` determines their parameters."""

    max_signals = MAX_SIGNALS

    def __init__(self, world: EntryWorld, rng: Random, checker: Checker):
        self._world = world
        self._rng = rng
        self._checker = checker
        self.replica_proxies: dict[str, LoopbackProxy] = {}
        self.store_proxies: list[LoopbackProxy] = []
        self._busy: set[str] = set()
        self._replica_restarts = 0

    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that inject one fault each."""
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
            self.router_stop_signals,
            self.router_reloads,
            self.router_start_reloads,
        ]

    def named_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that are called only by name."""
        return [self.replica_extra_response]

    def choose_kinds(self, names: Collection[str]) -> list[Callable[[], Awaitable[None]]]:
        """Return the named faults; without names all but those that need one.

        A kind in the list of all changes what each seed draws.
        """
        if not names:
            return self.kinds()
        kinds = [*self.kinds(), *self.named_kinds()]
        return [kind for kind in kinds if kind.__name__ in names]

    async def wait_fault_duration(self) -> None:
        """Wait for the random duration of a fault."""
        await trio.sleep(self._rng.uniform(0.2, MAX_FAULT_S))

    # Network paths.

    async def replica_path(self) -> None:
        """Delay the path to a replica, or cut it in one or both directions."""
        await self._disturb_path(self._rng.choice(list(self.replica_proxies.values())))

    async def store_path(self) -> None:
        """Delay or cut the path from one router, or from all, to the store."""
        proxies = self.store_proxies
        chosen = proxies if self._rng.random() < 0.4 else [self._rng.choice(proxies)]
        async with trio.open_nursery() as nursery:
            for proxy in chosen:
                nursery.start_soon(self._disturb_path, proxy)

    async def _disturb_path(self, proxy: LoopbackProxy) -> None:
        """Delay or cut one path for a random duration."""
        delay_ms = self._rng.choice((0, 0, 50, 400))
        if delay_ms:
            proxy.delay_ms = delay_ms
        else:
            proxy.set_mode(
                self._rng.choice((Mode.HOLD_BOTH, Mode.HOLD_TO_TARGET, Mode.HOLD_FROM_TARGET))
            )
        try:
            await self.wait_fault_duration()
        finally:
            proxy.delay_ms = 0
            proxy.set_mode(Mode.FORWARD)

    async def replica_reset(self) -> None:
        """Close all connections to a replica, once or three times."""
        proxy = self._rng.choice(list(self.replica_proxies.values()))
        for _ in range(self._rng.choice((1, 3))):
            proxy.reset()
            await trio.sleep(0.2)

    # Replicas.

    async def replica_fault(self) -> None:
        """Make a replica fail some of its next responses."""
        replica = self._choose_replica()
        name = self._rng.choice(RESPONSE_FAULTS)
        count = self._rng.randint(1, 6)
        replica.faults.break_after = self._rng.choice((None, 0, 3))
        await self._fail_responses(replica, name, count)
        replica.faults.break_after = None

    async def replica_extra_response(self) -> None:
        """Make a replica send a foreign response behind some of its single responses."""
        replica = self._choose_replica()
        await self._fail_responses(replica, EXTRA_RESPONSE, self._rng.randint(1, 6))

    def _choose_replica(self) -> Replica:
        """Return a random replica."""
        return self._rng.choice(list(self._world.replicas.values()))

    async def _fail_responses(self, replica: Replica, name: str, count: int) -> None:
        """Let a replica fail this many of its next responses, for a random duration at most."""
        setattr(replica.faults, name, count)
        await self.wait_fault_duration()
        for fault in RESPONSE_FAULTS:
            setattr(replica.faults, fault, 0)

    async def replica_crash(self) -> None:
        """Crash a replica and start it again at the same address with a new start number."""
        name = self._rng.choice(list(self._world.replicas))
        if name in self._busy:
            return
        self._busy.add(name)
        self._world.stop_replica(name)
        await self.wait_fault_duration()
        self._replica_restarts += 1
        await self._world.restart_replica(name, born=self._replica_restarts + 1)
        self._busy.discard(name)

    # The store.

    async def store_status(self) -> None:
        """Make the store refuse the calls of one router, or of all."""
        endpoints = [endpoint for endpoint, _ in self._world.store_endpoints]
        chosen = endpoints if self._rng.random() < 0.4 else [self._rng.choice(endpoints)]
        for endpoint in chosen:
            endpoint.faults.status = self._rng.choice((429, 503))
        await self.wait_fault_duration()
        for endpoint in chosen:
            endpoint.faults.status = 0

    async def store_loses(self) -> None:
        """Make the store lose its answers to one router."""
        endpoint = self._rng.choice(self._world.store_endpoints)[0]
        endpoint.faults.lose_answers = True
        await self.wait_fault_duration()
        endpoint.faults.lose_answers = False

    async def store_forgets(self) -> None:
        """Compact the store, so that routers cannot read earlier changes."""
        self._world.store.compact()

    # Routers.

    def _choose_free_router(self) -> RouterProcess | None:
        """Return a router without a fault, or `None` if no other one would be left."""
        free = [item for item in self._world.routers if item.name not in self._busy]
        return self._rng.choice(free) if len(free) > 1 else None

    async def router_pause(self) -> None:
        """Suspend a router's process for a random duration."""
        router = self._choose_free_router()
        if router is None:
            return
        self._busy.add(router.name)
        router.process.send_signal(signal.SIGSTOP)
        try:
            await self.wait_fault_duration()
        finally:
            router.process.send_signal(signal.SIGCONT)
            self._busy.discard(router.name)

    async def router_kill(self) -> None:
        """Kill a router and start it again."""
        router = self._choose_free_router()
        if router is None:
            return
        self._busy.add(router.name)
        router.process.kill()
        await trio.sleep(RESTART_DELAY_S)
        await self._world.restart_router(router)
        self._busy.discard(router.name)

    async def router_stop(self) -> None:
        """Shut one router down in order and start it again."""
        router = self._choose_free_router()
        if router is not None:
            await self._stop_router(router)

    async def router_stops_in_series(self) -> None:
        """Shut down two routers at short intervals, and start them again."""
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                router = self._choose_free_router()
                if router is not None:
                    nursery.start_soon(self._stop_router, router)
                    await trio.sleep(self._rng.uniform(0.1, 1.5))

    async def router_stop_signals(self) -> None:
        """Shut one router down, and send it further signals in its drain and until its end."""
        router = self._choose_free_router()
        if router is not None:
            await self._stop_router(router, further=self._draw_signals(FURTHER_SIGNALS))

    async def router_reloads(self) -> None:
        """Send SIGHUP to a router in series, with its settings file empty for a moment."""
        router = self._choose_free_router()
        if router is None:
            return
        self._busy.add(router.name)
        await self._wait_until_signals_are_received(router)
        text = router.settings.read_text()
        for content in (text, "", text):
            router.settings.write_text(content)
            await self._send_signals(router, self._draw_signals((signal.SIGHUP,)))
        self._check_runs_on(router)
        self._busy.discard(router.name)

    async def router_start_reloads(self) -> None:
        """Kill a router, start it again, and send SIGHUP in series while it starts."""
        router = self._choose_free_router()
        if router is None:
            return
        self._busy.add(router.name)
        router.process.kill()
        await self._world.restart_router(router)
        await self._wait_until_signals_are_received(router)
        await self._send_signals(router, self._draw_signals((signal.SIGHUP,)))
        self._check_runs_on(router)
        self._busy.discard(router.name)

    def _draw_signals(self, choices: tuple[signal.Signals, ...]) -> list[signal.Signals]:
        """Return a random series of signals."""
        return self._rng.choices(choices, k=self._rng.randint(1, self.max_signals))

    async def _send_signals(self, router: RouterProcess, numbers: list[signal.Signals]) -> None:
        """Send signals at short random intervals, as long as the process runs."""
        for number in numbers:
            if router.process.poll() is None:
                router.process.send_signal(number)
            await trio.sleep(self._rng.uniform(0.0, MAX_SIGNAL_GAP_S))

    async def _wait_until_signals_are_received(self, router: RouterProcess) -> None:
        """Wait until a starting process receives signals, which it must before it loads code."""
        for _ in range(START_POLLS):
            if self._receives_signals(router) or router.process.poll() is not None:
                return
            await trio.sleep(START_POLL_S)
        self._checker.violations.append(f"{router.name} does not come to receive signals")

    def _receives_signals(self, router: RouterProcess) -> bool:
        """Return whether a process receives signals; only a starting interpreter may not."""
        has_loaded_code = has_loaded(router.process.pid, LIBRARY_OF_CODE)
        receives = receives_signal(router.process.pid, signal.SIGTERM)
        if has_loaded_code and not receives and router.process.poll() is None:
            self._checker.violations.append(f"{router.name} loads code, but receives no signals")
        return receives

    def _check_runs_on(self, router: RouterProcess) -> None:
        """Check that a router has not ended."""
        code = router.process.poll()
        if code is not None:
            self._checker.violations.append(f"{router.name} exited with code {code} after SIGHUP")

    def note_stop(self, router: RouterProcess) -> None:
        """Note that a router is about to get SIGTERM."""
        self._checker.shutdowns.append((router.name, trio.current_time()))

    async def _stop_router(
        self, router: RouterProcess, further: list[signal.Signals] | None = None
    ) -> None:
        """Send SIGTERM to a router, which must exit with code 0 within its grace period."""
        self._busy.add(router.name)
        # While the interpreter starts, before the first statement, the default action holds.
        allowed = (0,) if self._receives_signals(router) else (0, -signal.SIGTERM)
        self.note_stop(router)
        router.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S + 1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_signals, router, further or [])
                await trio.to_thread.run_sync(router.process.wait, abandon_on_cancel=True)
                nursery.cancel_scope.cancel()
        code = router.process.poll()
        if code not in allowed:
            self._checker.violations.append(f"{router.name} exited with code {code} after SIGTERM")
        await self._world.restart_router(router)
        self._busy.discard(router.name)
