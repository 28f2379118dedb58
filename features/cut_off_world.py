"""Routers, each with ways of its own to paced replicas, and callers that read from them."""

import signal
from dataclasses import dataclass, field

import h11
import trio

from features.world_thread import WorldThread, event_ids
from skylarklift.upstreams.events import EventSplitter
from soak.router_paths import Cut, RouterPaths
from standins.entry_world import HOST, EntryWorld, RouterProcess
from standins.paced_replica import PacedReplica, PacedRun

READ_BYTES = 65536
LONGEST_READ_S = 14
# The versions, and all routers, are known to each router some time after the start.
SETTLE_S = 2.0
ROUTE_TIMEOUT_MS = 8000
DEFAULT_DEADLINE_MS = 6000
POLL_S = 0.01


@dataclass
class Reading:
    """What a caller got: `arrived` holds when each event came; times are in seconds."""

    request_id: str
    path: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    arrived: dict[int, float] = field(default_factory=dict)

    @property
    def numbers(self) -> list[int | None]:
        """Return the ids of the events."""
        return event_ids(self.body)

    @property
    def served(self) -> bool:
        """Return whether this is a complete success."""
        return self.status == 200 and self.complete

    @property
    def took_s(self) -> float:
        """Return how long the answer took."""
        return self.ended_at - self.sent_at


class CutOffWorld:
    """A store, paced replicas and routers, whose ways to the replicas can be cut."""

    def __init__(self, world: EntryWorld):
        self.world = world
        self.paths: dict[str, RouterPaths] = {}
        self.routers: dict[str, RouterProcess] = {}
        self.peer_ports: dict[str, int] = {}
        self.replicas: dict[str, PacedReplica] = {}
        self._numbers = 0

    async def open(self, routers: list[str], replicas: list[PacedReplica], zones=()) -> None:
        """Start the store, the replicas, in turn in the zones, and the routers."""
        world = self.world
        world.program = ("-m", "standins.path_router")
        await world.open_store_endpoint()
        world.write_plan(timeout_ms=ROUTE_TIMEOUT_MS)
        zones = zones or ("za",)
        for replica in replicas:
            self.replicas[replica.name] = replica
            world.replicas[replica.name] = replica
            world.services[replica.name] = replica.name.split("-")[0]
            world.ports[replica.name] = await world.listen(replica.name, replica.serve)
            self.register(replica, zones[int(replica.name.split("-")[1]) % len(zones)])
        for name in routers:
            await self.launch(name)
        for router in self.routers.values():
            await world.wait_ready(router)
        await trio.sleep(SETTLE_S)

    def register(self, replica: PacedReplica, zone: str = "za", **fields) -> None:
        """Write the entry of a replica to the store."""
        service = self.world.services[replica.name]
        self.world.register_replica(
            replica.name, service, zone, **{"version": replica.version, **fields}
        )

    async def launch(self, name: str, cut: Cut | None = None) -> None:
        """Start a router with ways to all replicas, cut from the start if that is asked for."""
        self.paths[name] = RouterPaths(self.world, name)
        for port in (self.world.ports[replica] for replica in self.replicas):
            await self.paths[name].add(port)
        if cut is not None:
            self.paths[name].cut(cut)
        self.peer_ports[name] = self.world.reserve_port()
        self.routers[name] = self.world.launch_router(name, peer_port=self.peer_ports[name])

    def close(self) -> None:
        """Close what the ways hold in this process."""
        for paths in self.paths.values():
            paths.close()

    # Faults.

    async def cut(self, names: list[str], how: Cut, ports: set[int] | None = None) -> None:
        """Cut the ways of routers, by default all."""
        for name in names:
            self.paths[name].cut(how, ports)

    async def restore(self) -> None:
        """Let all ways work again."""
        for paths in self.paths.values():
            paths.restore()

    async def fault(self, name: str, what: str) -> None:
        """Let a router be killed, frozen, stopped, or cut off."""
        signals = {
            "is killed": signal.SIGKILL,
            "is frozen": signal.SIGSTOP,
            "stops": signal.SIGTERM,
        }
        if what in signals:
            self.routers[name].process.send_signal(signals[what])
            return
        how = {"is cut off, its connections hang": Cut.HANG, "is cut off by resets": Cut.RESET}
        self.paths[name].cut(how[what])

    # What happened.

    def runs(self, request_id: str = "") -> list[PacedRun]:
        """Return the runs of a request, by default of all, in the order in which they began."""
        runs = [run for replica in self.replicas.values() for run in replica.runs]
        chosen = [run for run in runs if not request_id or run.request_id == request_id]
        return sorted(chosen, key=lambda run: run.began_at)

    def router_of(self, run: PacedRun) -> str | None:
        """Return the name of the router that connected to the replica for a run."""
        names = [name for name, paths in self.paths.items() if paths.carries(run.port)]
        return names[0] if names else None

    async def wait_run(self, request_id: str, parts: int, limit_s: float = 4.0) -> PacedRun:
        """Wait until a run of a request has made some events or parts, and return it."""
        for _ in range(int(limit_s / POLL_S)):
            for run in self.runs(request_id):
                if len(run.made_at) >= parts:
                    return run
            await trio.sleep(POLL_S)
        raise AssertionError(f"no run of {request_id} has made {parts} parts in {limit_s} s")

    # Callers.

    async def read(self, router: str, path: str, **options) -> Reading:
        """Send a request to a router, and read its answer to the end."""
        self._numbers += 1
        reading = Reading(options.pop("request_id", f"q{self._numbers}"), path)
        await self.read_into(reading, router, **options)
        return reading

    async def read_into(self, reading: Reading, router: str, **options) -> None:
        """Send a request to a router, and record its answer up to its end, or a cancellation."""
        head = request_head(reading, **options)
        reading.sent_at = trio.current_time()
        try:
            with trio.fail_after(LONGEST_READ_S):
                stream = await trio.open_tcp_stream(HOST, self.routers[router].caller_port)
                async with stream:
                    await stream.send_all(head)
                    await read_answer(stream, reading)
        finally:
            reading.ended_at = trio.current_time()


def request_head(
    reading: Reading,
    http: str = "1.1",
    deadline_ms: int = DEFAULT_DEADLINE_MS,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a request without a body."""
    path = reading.path
    fields = {
        "host": "app.example",
        "x-attempt-id": reading.request_id,
        "x-api-key": "key-1",
        "x-deadline-ms": str(deadline_ms),
    }
    if path.startswith(("/chat/", "/once/")):
        fields |= {"x-token-count": "100,50"}
        fields |= {"x-prefix-hash": f"aa:50,{reading.request_id}:40,cc:10"}
    method = "GET" if path.startswith("/check/") else "POST"
    if method == "POST":
        fields["content-length"] = "0"
    lines = [f"{name}: {value}\r\n" for name, value in {**fields, **(headers or {})}.items()]
    return f"{method} {path} HTTP/{http}\r\n{''.join(lines)}\r\n".encode()


async def read_answer(stream: trio.SocketStream, reading: Reading) -> None:
    """Record what a caller makes of the answer on a connection."""
    http, splitter = h11.Connection(h11.CLIENT), EventSplitter()
    http.send(h11.Request(method="POST", target=reading.path, headers=[("host", "app.example")]))
    http.send(h11.EndOfMessage())
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(READ_BYTES))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return
        if isinstance(event, h11.Response):
            reading.status = event.status_code
        elif isinstance(event, h11.Data):
            reading.body += event.data
            for item in splitter.feed(event.data):
                if item.event_id is not None:
                    reading.arrived[item.event_id] = trio.current_time()
        elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
            reading.complete = isinstance(event, h11.EndOfMessage)
            return


def open_cut_off_world(context, routers: int, replicas: list[PacedReplica], zones=()) -> None:
    """Start the routers a, b, and so on, before replicas; a scenario's end stops them."""
    context.thread = WorldThread()
    context.fleet = CutOffWorld(context.thread.world)
    cleanups = [context.fleet.close, context.thread.close]
    context.cleanups = [*getattr(context, "cleanups", []), *cleanups]
    names = [chr(ord("a") + number) for number in range(routers)]
    context.thread.run(context.fleet.open, names, replicas, zones)


def make_replicas(count: int, **options) -> list[PacedReplica]:
    """Return replicas of both services, a number of each."""
    return [
        PacedReplica(f"{service}-{number}", **options)
        for number in range(1, count + 1)
        for service in ("lm", "till")
    ]
