"""Entry routers in one process, on a virtual network and in virtual time."""

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
from skylarklift.platform.status import PlatformStatusFormat
from skylarklift.platform.store import PlatformStore
from standins.platform_world import PlatformWorld
from standins.replica import STATUS_PATH, Replica
from standins.virtual_net import VirtualNet

STORE_HOST = "10.200.0.1"
CALLER_HOST = "10.9.0.1"
CALLER_PORT = 8227
READY_PORT = 8220
PEER_PORT = 7340
ZONES = ("za", "zb")


@dataclass
class Arrival:
    """A request that reached a replica, and how many requests the replica ran then.

    It was at the router until `sent_at`, and then on its way, which a cut can make long.
    """

    at: float
    router: str
    request: str
    rejected: bool
    running: int
    sent_at: float


@dataclass
class RecordingReplica(Replica):
    """A replica that records each arriving request with its time and router."""

    arrivals: list[Arrival] = field(default_factory=list)
    running: int = 0

    async def _serve_request(self, caller, stream, head, body) -> bool:
        if head.target == STATUS_PATH:
            # A request is one attempt of a client; a question to a process is none.
            return await super()._serve_request(caller, stream, head, body)
        fields = dict(head.headers)
        rejected = fields.get(b"x-expect-replica", self.name.encode()) != self.name.encode()
        router = stream.socket.getpeername()[0]
        request = fields.get(b"x-attempt-id", b"").decode()
        now = trio.current_time()
        sent_at = stream.socket.received_sent_at()
        self.arrivals.append(Arrival(now, router, request, rejected, self.running, sent_at))
        self.running += 1
        try:
            return await super()._serve_request(caller, stream, head, body)
        finally:
            self.running -= 1


@dataclass
class VirtualRouter:
    """One router: its host, its core while it runs, and its log lines from all its processes."""

    name: str
    host: str
    zone: str
    store_endpoint_index: int
    core: Core | None = None
    log_lines: list[dict] = field(default_factory=list)
    cancel_scope: trio.CancelScope | None = None
    signals: trio.MemorySendChannel | None = None
    ended: trio.Event = field(default_factory=trio.Event)
    error: BaseException | None = None

    def is_running(self) -> bool:
        """Return whether its process runs."""
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
        # Number of starts of each replica that was restarted, by its name.
        self.start_counts: dict[str, int] = {}

    def host_of(self, name: str) -> str:
        if name.startswith("store-endpoint-"):
            return STORE_HOST
        return self.hosts.setdefault(name, f"10.2.0.{len(self.hosts) + 1}")

    def on_host_of(self, name: str) -> AbstractContextManager:
        return self.net.on_host(self.host_of(name))

    def make_replica(self, name: str) -> Replica:
        return RecordingReplica(name)

    # Routers.

    async def start_router(self, zone: str) -> VirtualRouter:
        """Start one more router."""
        await self.open_store_endpoint()
        number = len(self.routers)
        host = f"10.1.0.{number + 1}"
        router = VirtualRouter(f"n{number}", host, zone, number)
        self.routers.append(router)
        self.start_process(router)
        return router

    def start_process(self, router: VirtualRouter) -> None:
        """Start or restart the process of a router."""
        settings = self._settings(router)
        event_log = RecordingEventLog()
        event_log.lines = router.log_lines
        rows = PlatformRowFormat()
        with self.net.on_host(router.host):
            core = make_core(
                settings,
                LoopClock(),
                PlatformHeaderCodec(),
                rows,
                PlatformStatusFormat(),
                event_log,
            )
            core.rng = Random(self.rng.random())
            router.core = core
            router.cancel_scope = trio.CancelScope()
            router.ended = trio.Event()
            store = PlatformStore(settings.store, rows)
            entry_router = EntryRouter(
                core, store, store, store, lambda: settings, 9464, rollouts=store
            )
            router.signals, signals = trio.open_memory_channel(4)
            self.nursery.start_soon(self._run, router, entry_router, signals)

    async def _run(self, router: VirtualRouter, entry_router: EntryRouter, signals) -> None:
        """Run a router until its process ends; keep the error that ended it."""
        with router.cancel_scope:
            try:
                await entry_router.run(signals)
            except Exception as exc:
                if not router.cancel_scope.cancel_called:
                    router.error = exc
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
            store=Endpoint(STORE_HOST, self.store_endpoints[router.store_endpoint_index][1]),
            bounds=self.bounds,
        )

    async def kill(self, router: VirtualRouter) -> None:
        """Kill a router's process."""
        router.cancel_scope.cancel()
        self.net.reset(router.host)
        await router.ended.wait()

    def is_ready(self, router: VirtualRouter) -> bool:
        """Return whether a router is ready, so that callers send it requests."""
        core = router.core
        return core is not None and core.cluster_state.complete and core.stopping_since is None
