"""Whole entry routers in one process, on a virtual network and in virtual time."""

from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from random import Random

import trio

from features.entry_fixtures import RecordingEventLog
from skylarklift.clock import LoopClock
from skylarklift.entry.core import Core, make_core
from skylarklift.entry.model import Bounds, Endpoint, NodeSettings
from skylarklift.entry.process import EntryRouter
from skylarklift.ids import ZoneId
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import PlatformStore
from standins.platformworld import PlatformWorld
from standins.replica import Replica
from standins.virtualnet import VirtualNet

STORE_HOST = "10.200.0.1"
CLIENT_HOST = "10.9.0.1"
CALLER_PORT = 8227
READY_PORT = 8220
PEER_PORT = 7340
ZONES = ("za", "zb")


@dataclass
class Arrival:
    """A request that reached a replica, and what the replica held then."""

    at: float
    router: str
    request: str
    rejected: bool
    running: int


@dataclass
class WatchedReplica(Replica):
    """A replica that notes each arrival with its moment and sender."""

    arrivals: list[Arrival] = field(default_factory=list)
    running: int = 0

    async def _serve(self, caller, stream, head, body) -> bool:
        fields = dict(head.headers)
        rejected = fields.get(b"x-expect-replica", self.name.encode()) != self.name.encode()
        router = stream.socket.getpeername()[0]
        request = fields.get(b"x-attempt-id", b"").decode()
        now = trio.current_time()
        self.arrivals.append(Arrival(now, router, request, rejected, self.running))
        self.running += 1
        try:
            return await super()._serve(caller, stream, head, body)
        finally:
            self.running -= 1


@dataclass
class VirtualRouter:
    """One router: its host, its core while it runs, its log over all its starts."""

    name: str
    host: str
    zone: str
    door: int
    core: Core | None = None
    lines: list[dict] = field(default_factory=list)
    scope: trio.CancelScope | None = None
    signals: trio.MemorySendChannel | None = None
    ended: trio.Event = field(default_factory=trio.Event)
    fault: BaseException | None = None

    def is_up(self) -> bool:
        """Tell whether it runs."""
        return self.core is not None


class VirtualWorld(PlatformWorld):
    """Routers, replicas and a store, each on a host of its own."""

    def __init__(self, nursery: trio.Nursery, rng: Random, bounds: Bounds):
        super().__init__(nursery)
        self.rng = rng
        self.bounds = bounds
        self.net = VirtualNet(nursery, rng)
        trio.socket.set_custom_socket_factory(self.net)
        self.routers: list[VirtualRouter] = []
        self.hosts: dict[str, str] = {}
        # Which start of a replica under one name it is.
        self.borns: dict[str, int] = {}

    def host_of(self, name: str) -> str:
        if name.startswith("door-"):
            return STORE_HOST
        return self.hosts.setdefault(name, f"10.2.0.{len(self.hosts) + 1}")

    def placed(self, name: str) -> AbstractContextManager:
        return self.net.at(self.host_of(name))

    def make_replica(self, name: str) -> Replica:
        return WatchedReplica(name)

    # Routers.

    async def start_router(self, zone: str) -> VirtualRouter:
        """Start one more router."""
        await self.open_door()
        number = len(self.routers)
        host = f"10.1.0.{number + 1}"
        router = VirtualRouter(f"n{number}", host, zone, number)
        self.routers.append(router)
        self.launch(router)
        return router

    def launch(self, router: VirtualRouter) -> None:
        """Start the process of a router, or start it again."""
        settings = self._settings(router)
        journal = RecordingEventLog()
        journal.lines = router.lines
        rows = PlatformRowFormat()
        with self.net.at(router.host):
            core = make_core(settings, LoopClock(), PlatformHeaderCodec(), rows, journal)
            core.rng = Random(self.rng.random())
            router.core = core
            router.scope = trio.CancelScope()
            router.ended = trio.Event()
            store = PlatformStore(settings.store, rows)
            program = EntryRouter(core, store, store, lambda: settings, 9464)
            router.signals, signals = trio.open_memory_channel(4)
            self.nursery.start_soon(self._run, router, program, signals)

    async def _run(self, router: VirtualRouter, program: EntryRouter, signals) -> None:
        """Run a router's process to its end."""
        with router.scope:
            try:
                await program.run(signals)
            except Exception as exc:
                if not router.scope.cancel_called:
                    router.fault = exc
        self.net.reset(router.host)
        router.core = None
        router.ended.set()

    def _settings(self, router: VirtualRouter) -> NodeSettings:
        """Return the settings of a router."""
        return NodeSettings(
            node=router.name,
            zone=ZoneId(router.zone),
            regions=dict.fromkeys(ZONES, "za"),
            callers=Endpoint(router.host, CALLER_PORT),
            readiness=Endpoint(router.host, READY_PORT),
            peers=Endpoint(router.host, PEER_PORT),
            seeds=(),
            store=Endpoint(STORE_HOST, self.doors[router.door][1]),
            bounds=self.bounds,
        )

    async def kill(self, router: VirtualRouter) -> None:
        """End a router's process at once."""
        router.scope.cancel()
        self.net.reset(router.host)
        await router.ended.wait()

    def is_ready(self, router: VirtualRouter) -> bool:
        """Tell whether clients are sent to a router."""
        core = router.core
        return core is not None and core.cluster_state.complete and core.stopping_since is None
