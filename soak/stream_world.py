"""Routers and replicas as real processes, for the soak of streams."""

import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any

import trio

from soak.builds import BuildMix, choose_arguments
from soak.peer_cuts import PeerCuts
from soak.proxy import LoopbackProxy
from soak.router_clocks import RouterClocks
from soak.router_limits import RouterLimits, lift_limits
from soak.router_paths import RouterPaths
from soak.stream_checker import PLAIN_SERVICE, STREAM_SERVICE, Kind
from soak.stream_load import SHORT
from soak.stream_records import ROUTER_START, LoggedStore, RunLog
from soak.take_ups import TakeUps
from standins.entry_world import ROOT, EntryWorld, RouterProcess
from standins.platform_world import HOST, ROUTE_DEFAULTS
from standins.replica_conduct import Conduct
from standins.stream_replica import Framing, open_listener
from standins.stream_wire import Ending

REPLICA_POLL_S = 0.02
REPLICA_START_POLLS = 500
# One replica of so many serves single answers, the others streams.
REPLICAS_PER_PLAIN = 3
# So many replicas in turn are in one zone.
REPLICAS_PER_ZONE = 3
ROUTE_FIELDS = {
    Kind.STREAM: {"route_type": "streaming", "stream_resume": True, "max_attempts": 2},
    Kind.ONCE: {"route_type": "streaming", "stream_resume": False, "max_attempts": 1},
    Kind.BRIEF: {"route_type": "streaming", "stream_resume": True, "max_attempts": 2},
    Kind.NON_IDEMPOTENT: {"route_type": "non_idempotent", "max_attempts": 1},
    Kind.IDEMPOTENT: {"route_type": "idempotent", "max_attempts": 2},
}
FIRST_VERSION = "v1"
ZONES = ("za", "zb")
PATH_ROUTER = ("-m", "standins.path_router")


class ReplicaPath(Enum):
    """What routers reach at a replica's address.

    `OWN`: its own listener, which ends with its process.  `KEPT`: a listener that stays open while
    the replica is restarted.  `PROXY`: a proxy, which can cut the path.
    """

    OWN = "own"
    KEPT = "kept"
    PROXY = "proxy"


PATH_WEIGHTS = {ReplicaPath.OWN: 3, ReplicaPath.KEPT: 4, ReplicaPath.PROXY: 2}


def make_routes(timeouts_ms: Mapping[Kind, int], changes: Mapping[str, Any]) -> list[dict]:
    """Return the routes of the operator's configuration, with `changes` in all of them."""
    return [
        {
            **ROUTE_DEFAULTS,
            **changes,
            "name": kind.value,
            "prefix": kind.value,
            "service": kind.service,
            "timeout_ms": timeouts_ms[kind],
            **fields,
        }
        for kind, fields in ROUTE_FIELDS.items()
    ]


@dataclass
class ReplicaProcess:
    """One replica: its process, and what it is started with.

    With a `listener` of this process its port can be reached while it is restarted.
    """

    name: str
    service: str
    zone: str
    path: ReplicaPath
    port: int
    listener: socket.socket | None
    software: str = FIRST_VERSION
    state: str = "ready"
    start_count: int = 0
    process: subprocess.Popen | None = None

    def is_running(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None


class StreamWorld(EntryWorld):
    """A store, and routers and replicas as processes."""

    def __init__(self, nursery: trio.Nursery, folder: str, seed: int):
        super().__init__(nursery, folder)
        self._seed = seed
        self.run_log = RunLog(self.folder / "run.log")
        self.store = LoggedStore(self.run_log)
        self.replica_processes: dict[str, ReplicaProcess] = {}
        self.replica_proxies: dict[str, LoopbackProxy] = {}
        # By the names of the routers whose ways to replicas can be cut.
        self.router_paths: dict[str, RouterPaths] = {}
        # A router and a replica that are added at the same time have a way between them.
        self._paths_lock = trio.Lock()
        # From which the replicas that are started next choose.
        self.replica_paths = tuple(ReplicaPath)
        self.framings = tuple(Framing)
        # The builds of the routers; if `None`, all are of this tree.
        self.builds: BuildMix | None = None
        # The clocks of the routers; if `None`, they have the machine's.
        self.clocks: RouterClocks | None = None
        # The cuts between routers; if `None`, none can be made.
        self.peer_cuts: PeerCuts | None = None
        self.take_ups = TakeUps()
        self.router_limits = RouterLimits()
        self.unframed_cut = Ending.RESET
        self.conduct = Conduct.FAULTY
        self.replicas_per_plain = REPLICAS_PER_PLAIN
        self.timeouts_ms: Mapping[Kind, int] = SHORT.deadlines_ms
        # What the operator has written, beside what never changes.
        self._route_changes: Mapping[str, Any] = {}
        self._evacuations: dict[str, bool] = {}

    def write_routes(self, changes: Mapping[str, Any] = MappingProxyType({})) -> None:
        """Write the next version of the configuration, with `changes` in all routes."""
        self._route_changes = changes
        self.write_plan({"routes": make_routes(self.timeouts_ms, changes)})

    def write_operator_rows_again(self) -> None:
        """Write what the operator has written, after the store has lost it."""
        self.write_routes(self._route_changes)
        for zone, active in self._evacuations.items():
            self.write_evacuation(zone, active)

    @property
    def replica_log(self) -> Path:
        """Return the file to which all replicas write."""
        return self.folder / "replicas.log"

    async def add_replica_process(self, number: int, rng: Random) -> None:
        """Start a replica of the service and in the zone that its number tells."""
        is_plain = number % self.replicas_per_plain == self.replicas_per_plain - 1
        service = PLAIN_SERVICE if is_plain else STREAM_SERVICE
        zone = ZONES[number // REPLICAS_PER_ZONE % len(ZONES)]
        await self.place_replica(number, service, zone, rng)

    async def place_replica(
        self,
        number: int,
        service: str,
        zone: str,
        rng: Random,
        software: str = FIRST_VERSION,
        *,
        is_listed: bool = True,
        hold: Callable[[str], None] | None = None,
    ) -> ReplicaProcess:
        """Start a replica and write its entry; some keep their port, some are behind a proxy.

        Without `is_listed` the entry is left to the caller.  `hold` is called with its name before
        any fault can meet it.
        """
        weights = [PATH_WEIGHTS[path] for path in self.replica_paths]
        path = rng.choices(self.replica_paths, weights)[0]
        name, port = f"{service}-{number}-{path.value}", self.reserve_port()
        if hold is not None:
            hold(name)
        listener = open_listener(port) if path is ReplicaPath.KEPT else None
        replica = ReplicaProcess(name, service, zone, path, port, listener, software)
        self.ports[name] = port
        if path is ReplicaPath.PROXY:
            proxy = LoopbackProxy(port, passes_resets=True)
            proxy.port = await self.listen(f"proxy-{name}", proxy.serve)
            self.proxy_ports[name], self.replica_proxies[name] = proxy.port, proxy
        async with self._paths_lock:
            for paths in self.router_paths.values():
                await paths.add(self.proxy_ports.get(name, port))
            self.start_replica_process(replica)
            self.replica_processes[name] = replica
        await self.wait_listening(replica)
        if is_listed:
            self.write_entry(replica)
        return replica

    def forget_replica(self, replica: ReplicaProcess) -> None:
        """Forget a replica that has left for good; its process has ended."""
        del self.replica_processes[replica.name]
        if replica.listener is not None:
            replica.listener.close()

    def remove_entry(self, replica: ReplicaProcess) -> None:
        """Remove a replica's entry from the store."""
        self.store.write("servers", replica.name, None)

    async def add_router_paths(self, name: str) -> None:
        """Let the ways to replicas of a router that is started later be cut."""
        paths = RouterPaths(self, name)
        async with self._paths_lock:
            self.router_paths[name] = paths
            for replica in list(self.replica_processes):
                await paths.add(self.proxy_ports.get(replica, self.ports[replica]))

    def _choose_program(self, settings: Path) -> tuple[str, ...]:
        """Return the Python arguments that start the router with this settings file."""
        program = super()._choose_program(settings)
        if settings.stem in self.router_paths:
            program = PATH_ROUTER
            if self.builds is not None:
                program = choose_arguments(self.builds.tree(settings.stem), PATH_ROUTER)
        if self.peer_cuts is not None:
            program = self.peer_cuts.choose_arguments(program)
        return self.clocks.choose_arguments(program) if self.clocks else program

    def launch_router(
        self, name: str, store_endpoint_index: int = 0, peer_port: int = 0
    ) -> RouterProcess:
        """Start a router without waiting until it is ready."""
        port = peer_port or self.reserve_port()
        if self.peer_cuts is not None:
            self.peer_cuts.add(name, port)
        return super().launch_router(name, store_endpoint_index, port)

    def _choose_tree(self, settings: Path) -> Path:
        """Return the folder of the build of a router that is started now."""
        return self.builds.choose(settings.stem) if self.builds else ROOT

    def _start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        """Start the process of a router, behind the log of those before it."""
        process = super()._start_process(settings, log)
        self.router_limits.apply(process.pid)
        self.run_log.write(ROUTER_START, node=settings.stem, pid=process.pid)
        return process

    def swap_addresses(self, one: ReplicaProcess, other: ReplicaProcess) -> None:
        """Let two replicas that do not run start at each other's address next."""
        one.port, other.port = other.port, one.port
        one.listener, other.listener = other.listener, one.listener
        for replica in (one, other):
            self.ports[replica.name] = replica.port

    def start_replica_process(self, replica: ReplicaProcess) -> None:
        """Start the process of a replica at its port."""
        replica.start_count += 1
        replica.state = "ready"
        seed = f"{self._seed * 1000 + replica.start_count}"
        arguments = [replica.name, replica.software, str(replica.start_count), seed]
        framings = ",".join(framing.value for framing in self.framings)
        arguments += [str(self.replica_log), framings, self.unframed_cut.value]
        arguments += [self.conduct.value, str(replica.port)]
        descriptors = []
        if replica.listener is not None:
            descriptors = [replica.listener.fileno()]
            arguments.append(str(descriptors[0]))
        with (self.folder / "replicas.err").open("a") as output:
            replica.process = subprocess.Popen(
                [sys.executable, "-m", "standins.stream_replica", *arguments],
                cwd=ROOT,
                pass_fds=descriptors,
                stdout=output,
                stderr=output,
            )

    async def wait_listening(self, replica: ReplicaProcess) -> None:
        """Wait until a replica accepts connections; fail if that takes too long."""
        for _ in range(REPLICA_START_POLLS):
            if await can_connect(replica.port):
                return
            await trio.sleep(REPLICA_POLL_S)
        raise AssertionError(f"{replica.name} does not listen")

    def write_entry(self, replica: ReplicaProcess, state: str = "ready") -> None:
        """Write a replica's entry to the store, as it does itself on the platform."""
        replica.state = state
        self.take_ups.note_software(replica.software)
        self.register_replica(
            replica.name,
            replica.service,
            replica.zone,
            born=replica.start_count,
            version=replica.software,
            state=state,
        )

    def write_evacuation(self, zone: str, active: bool) -> None:
        """Take a zone out, or put it back."""
        self._evacuations[zone] = active
        self.store.write("op", f"evacuate/{zone}", b"{}" if active else None)

    def log_lines(self) -> list[str]:
        """Return the lines that the replicas have logged."""
        text = self.replica_log.read_text() if self.replica_log.exists() else ""
        return text.splitlines()

    def run_log_lines(self) -> list[str]:
        """Return the lines on what the soak did to its processes."""
        return self.run_log.read_lines()

    def router_log_lines(self) -> Iterator[str]:
        """Yield the lines that the routers have logged."""
        for router in self.routers:
            with router.log.open(errors="replace") as log:
                yield from log

    def stop(self) -> None:
        """Kill all processes that this world started."""
        for router in self.routers:
            if router.process.poll() is None:
                lift_limits(router.process.pid)
        super().stop()
        for replica in self.replica_processes.values():
            if replica.is_running():
                replica.process.send_signal(signal.SIGCONT)
                replica.process.kill()
                replica.process.wait()
            if replica.listener is not None:
                replica.listener.close()
        for paths in self.router_paths.values():
            paths.close()
        if self.peer_cuts is not None:
            self.peer_cuts.close()


async def can_connect(port: int) -> bool:
    """Return whether a port accepts connections."""
    try:
        stream = await trio.open_tcp_stream(HOST, port)
    except OSError:
        return False
    await stream.aclose()
    return True


def write_lines(path: Path, lines: list[str]) -> None:
    """Write lines to a file."""
    path.write_text("".join(f"{line}\n" for line in lines))
