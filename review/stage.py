"""A small deployment for the cases of the second review: real routers and small stand-ins.

The routers are processes of their own, started with the command of `deploy/system.toml`.  All have
the address 127.0.0.1 and ports of their own: a connection between two loopback addresses would not
come from that of its router, and routers tell each other by their addresses.  So seeds lead nowhere
here, and the routers find each other in the store; the metrics of all but one have no port.  The
platform's store, the replicas and the clients are stand-ins in the process of the case, which need
nothing but the standard library.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD = 0
# Python itself ends with 1 after an error, so `run.sh` turns this into 1, and all else into 2.
BROKEN = 10
NOT_RUN = 2
PORT_RANGE = (12_000, 31_000)
HEARTBEAT_S = 1.2
SETTLE_S = 5.0
# `drain_ms` is 2,000, and a replica that leaves serves on for a little longer.
LEAVES_AFTER_S = 2.2
STORE_ANSWER_S = 0.004
APP_HOST = "app.example"
API_KEY = "key-of-the-laundry"
ENGINE, APP = "lm-pool", "till-api"
MAX_HEAD_BYTES = 65536


class CaseFailed(Exception):
    """The deployment of a case did not come up, so nothing was shown."""


@dataclass
class Head:
    """The head of a request or an answer, with its body if that was read."""

    first: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split()[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split()[1]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, `None` if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return Head(first, fields)


async def read_body(
    reader: asyncio.StreamReader, head: Head, parts: list[bytes] | None = None
) -> bytes:
    """Return a body that has a length or chunks; raise `IncompleteReadError`.

    The chunks are added to `parts` as they come.
    """
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        parts = [] if parts is None else parts
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.fields.get("content-length", "0")))


def encode_head(first: str, fields: dict[str, str]) -> bytes:
    """Return a head as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


class Record:
    """The file in which a case says what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, event: str, **values: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


@dataclass
class Store:
    """The platform's store: rows with versions, a feed and transactions.

    It is away for writers of entries too while `is_away`; calls then get no answer.  While it
    `refuses_writes`, the routers' ones get 503.
    """

    tables: dict[str, dict[str, tuple[bytes | None, int]]] = field(default_factory=dict)
    version: int = 0
    is_away: bool = False
    refuses_writes: bool = False
    answer_s: float = STORE_ANSWER_S
    address: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, table: str, key: str, data: bytes | None) -> None:
        """Write a row, or remove it."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = (data, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def _row_version(self, table: str, key: str) -> int:
        data, version = self.tables.get(table, {}).get(key, (None, 0))
        return 0 if data is None else version

    def _encode(self, table: str, after: int) -> list[dict]:
        found = []
        for key, (data, version) in self.tables.get(table, {}).items():
            if version <= after or (after < 0 and data is None):
                continue
            row = {"table": table, "part": "", "key": key, "row_version": version}
            row |= {"deleted": True} if data is None else {"data": b64encode(data).decode()}
            found.append(row)
        return found

    def _read_page(self, query: dict[str, str]) -> dict:
        rows = [
            row for row in self._encode(query["table"], -1) if row["key"] >= query.get("source", "")
        ]
        rows.sort(key=lambda row: row["key"].encode())
        limit = min(int(query.get("limit", "500")), 500)
        return {"rows": rows[:limit], "has_more": len(rows) > limit}

    async def _read_feed(self, query: dict[str, str]) -> dict:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while not self._encode(table, after) and time.monotonic() < until:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
        return {"rows": sorted(self._encode(table, after), key=lambda row: row["row_version"])}

    def _transact(self, value: dict) -> int:
        for row in value.get("expected", ()):
            if self._row_version(row["table"], row["key"]) != row["row_version"]:
                return 412
        for row in value.get("write", ()):
            self.write(row["table"], row["key"], b64decode(row["data"]))
        for row in value.get("remove", ()):
            self.write(row["table"], row["key"], None)
        return 200

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if self.is_away:
                    # A call that came while the store is away is never answered.
                    await asyncio.Event().wait()
                await asyncio.sleep(self.answer_s)
                status, value = 200, {}
                parts = urlsplit(unquote(head.target))
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                if parts.path == "/-/rows-get":
                    value = self._read_page(query)
                elif parts.path == "/-/rows-feed":
                    value = await self._read_feed(query)
                elif parts.path == "/-/rows-tx":
                    status = 503 if self.refuses_writes else self._transact(json.loads(body))
                else:
                    status = 404
                if self.is_away:
                    continue
                value |= {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}
                data = json.dumps(value).encode()
                fields = {"Content-Length": str(len(data)), "Content-Type": "application/json"}
                writer.write(encode_head(f"HTTP/1.1 {status} OK", fields) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()


@dataclass
class Arrival:
    """A request that reached a replica, and whether the replica began to run it."""

    at: float
    request: str
    run: bool
    head: Head


@dataclass
class Replica:
    """A replica: it registers in the store, answers requests, and may crash and start again.

    `crashes_on` says which requests crash it as it begins to run them.  `cold_per_s` is what it
    bears while it is cold; above `cold_crash_per_s` in a second it crashes.
    """

    name: str
    service: str
    stage: "Stage"
    zone: str = "zone-a"
    slots: int = 64
    work_s: float = 0.02
    events: int = 6
    pace_s: float = 0.01
    back_after_s: float = 2.0
    cold_s: float = 0.0
    cold_crash_per_s: float = 0.0
    is_undelimited: bool = False
    idle_s: float = 5.0
    software: str = "v1"
    # Whether each start has an id of its own, as most have.
    has_new_ids: bool = False
    crashes_on: Callable[[Head], bool] | None = None
    answer: Callable[["Replica", Head], Head | None] | None = None
    port: int = 0
    born: int = 0
    cold_until: float = 0.0
    is_up: bool = False
    running: int = 0
    crash_count: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, *, cold: bool = False) -> None:
        """Listen, and register."""
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_HEAD_BYTES, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        if cold:
            self.become_cold()
        self.write_entry()
        self.stage.record.write("replica_up", replica=self.name, born=self.born, cold=cold)

    def become_cold(self) -> None:
        """Be cold from now on for `cold_s`."""
        self.cold_until = time.monotonic() + self.cold_s
        self.stage.record.write("replica_cold", replica=self.name, for_s=self.cold_s)

    def cold_left_ms(self) -> int:
        """Return how much longer the replica is cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def write_entry(self) -> None:
        """Write the entry in the store, if the store takes it."""
        if self.stage.store.is_away or not self.is_up:
            return
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": self.cold_left_ms(),
            "born": self.born,
            "sequence": int((time.time() * 1000 - self.born) / 100) + 1,
        }
        self.stage.store.write("servers", self.name, json.dumps(entry).encode())

    def leave(self) -> None:
        """Leave as planned: the entry is removed, and it serves on for a little over `drain_ms`."""
        self.is_up = False
        self.stage.store.write("servers", self.name, None)
        self.stage.record.write("replica_leaves", replica=self.name)
        self.stage.spawn(self._end())

    async def _end(self) -> None:
        """End some time after the entry was removed."""
        await asyncio.sleep(LEAVES_AFTER_S)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.stage.record.write("replica_ended", replica=self.name)

    async def beat(self) -> None:
        """Renew the entry at intervals."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.0))
            self.write_entry()

    def crash(self) -> None:
        """End as a killed process does: all connections and the listener are closed."""
        if not self.is_up:
            return
        self.is_up = False
        self.crash_count += 1
        self.crashes.append(self.stage.record.now())
        self.stage.record.write("replica_crashed", replica=self.name, count=self.crash_count)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.running = 0

    def crash_and_return(self) -> None:
        """Crash at once, and start again under the same id and address after a while."""
        if self.is_up:
            self.crash()
            self.stage.spawn(self._return())

    async def _return(self) -> None:
        """Start again."""
        if self.has_new_ids:
            self.stage.spawn(self._lapse(self.name))
        await asyncio.sleep(self.back_after_s)
        if self.has_new_ids:
            self.name, self.port = f"{self.name[:10]}-{self.crash_count}", 0
        await self.start(cold=self.cold_s > 0)

    async def _lapse(self, name: str) -> None:
        """Remove an entry that is not renewed after three heartbeats, as the store does."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.stage.store.write("servers", name, None)

    def count_last_second(self) -> int:
        """Return how many requests have reached it within the last second."""
        since = self.stage.record.now() - 1
        count = 0
        for arrival in reversed(self.arrivals):
            if arrival.at < since:
                break
            count += 1
        return count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        try:
            while (head := await asyncio.wait_for(read_head(reader), self.idle_s)) is not None:
                head.body = await read_body(reader, head)
                if not await self._serve_request(head, writer):
                    return
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has gone, the connection idled out, or the case has ended.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; return whether the connection can carry another."""
        if head.target == "/-/report" and self.service == ENGINE:
            await self._send(writer, 200, {}, json.dumps({"born": self.born}).encode())
            return True
        if head.target in ("/-/report", "/healthz"):
            status = 200 if head.target == "/healthz" else 404
            fields = {"X-Replica-Id": self.name}
            if self.cold_left_ms():
                fields["X-Cold-Start-Ms"] = str(self.cold_left_ms())
            await self._send(writer, status, fields)
            return True
        request = head.fields.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": request}
        if head.fields.get("x-expect-replica", self.name) != self.name:
            await self._send(writer, 421, {**echo, "X-Replica-Id": self.name})
            return True
        arrival = Arrival(self.stage.record.now(), request, False, head)
        self.arrivals.append(arrival)
        if self.answer is not None:
            answered = self.answer(self, head)
            if answered is not None:
                arrival.run = "x-not-executed" not in answered.fields
                self._note(arrival, answered.status)
                await self._send(
                    writer, answered.status, {**echo, **answered.fields}, answered.body
                )
                return True
        arrival.run = True
        self._note(arrival, 0)
        if self.crashes_on is not None and self.crashes_on(head):
            await asyncio.sleep(self.work_s)
            self.crash_and_return()
            return False
        if self.cold_left_ms() and self.cold_crash_per_s:
            if self.count_last_second() > self.cold_crash_per_s:
                self.crash_and_return()
                return False
        self.running += 1
        try:
            await self._run(head, writer, echo)
        finally:
            self.running = max(0, self.running - 1)
        return self.service != ENGINE or not self.is_undelimited

    def _note(self, arrival: Arrival, status: int) -> None:
        """Record that a request has arrived."""
        self.stage.record.write(
            "arrived",
            replica=self.name,
            request=arrival.request,
            run=arrival.run,
            **({"status": status} if status else {}),
        )

    async def _run(self, head: Head, writer: asyncio.StreamWriter, echo: dict[str, str]) -> None:
        """Answer a request that is run to its end."""
        signed = {
            **echo,
            "X-Replica-Signature": f"sig.{self.name}.{echo['X-Attempt-Id']}",
            "X-Replica-Load": f"{self.running},0,{self.slots}",
        }
        if self.idle_s >= 1:
            # Whole seconds, if there are any.
            signed["Keep-Alive"] = f"timeout={int(self.idle_s)}"
        await asyncio.sleep(self.work_s)
        if self.service != ENGINE:
            await self._send(writer, 200, signed, f"{self.name}:{echo['X-Attempt-Id']}".encode())
            return
        framing = (
            {"Connection": "close"} if self.is_undelimited else {"Transfer-Encoding": "chunked"}
        )
        fields = {**signed, "Content-Type": "text/event-stream", **framing}
        writer.write(encode_head("HTTP/1.1 200 OK", fields))
        first = int(head.fields.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            text = f"id: {number}\ndata: token-{number} {self.software}\n\n"
            data = text.encode()
            writer.write(data if self.is_undelimited else b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.pace_s)
        if not self.is_undelimited:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    @staticmethod
    async def _send(
        writer: asyncio.StreamWriter, status: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Send an answer with a length."""
        framed = {**fields, "Content-Length": str(len(body))}
        writer.write(encode_head(f"HTTP/1.1 {status} OK", framed) + body)
        await writer.drain()


@dataclass
class Router:
    """One router as a process of its own."""

    name: str
    zone: str
    settings: Path
    log: Path
    callers_port: int
    ready_port: int
    control_port: int
    peer_port: int
    process: subprocess.Popen | None = None

    def start(self, folder: Path) -> None:
        """Start it with the command of the deploy file."""
        words = _run_command()
        path = str(ROOT / "target" / "deps")
        environment = {"PATH": os.environ["PATH"], "HOME": str(folder), "PYTHONPATH": path}
        environment["SKYLARKLIFT_NODE_FILE"] = str(self.settings)
        with self.log.open("a") as target:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=target, stderr=target
            )

    def is_running(self) -> bool:
        """Return whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to its process."""
        if self.is_running():
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready, as the platform asks."""
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(HOST, self.ready_port)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and head.status == 200


def _run_command() -> list[str]:
    """Return the words of the command in the deploy file, without a shell."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        name, separator, value = line.partition("=")
        if separator and name.strip() == "run":
            return value.strip().strip('"').split()
    raise CaseFailed("the deploy file has no command")


class Stage:
    """A deployment for one case."""

    def __init__(self, folder: Path, routers: int = 2, zones: tuple[str, ...] = ("zone-a",)):
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.replicas: list[Replica] = []
        self.temporary = Path(tempfile.mkdtemp(prefix="skylarklift-review-"))
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None
        self._config_version = 0
        self.routers: list[Router] = []
        self.zones = zones
        self._router_count = routers
        self.bounds: dict[str, object] = {}

    async def __aenter__(self) -> "Stage":
        self._server = await asyncio.start_server(
            self.store.serve, HOST, 0, limit=MAX_HEAD_BYTES * 64
        )
        port = self._server.sockets[0].getsockname()[1]
        self.store.address = f"{HOST}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.send_signal(signal.SIGKILL)
            if router.process is not None:
                router.process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    def spawn(self, work: Awaitable[object]) -> asyncio.Task:
        """Run something until the case ends."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def add_replica(self, name: str, service: str, **options: object) -> Replica:
        """Start a replica, which renews its entry."""
        replica = Replica(name, service, self, **options)
        self.replicas.append(replica)
        await replica.start()
        self.spawn(replica.beat())
        return replica

    def write_config(
        self, routes: list[dict], services: list[dict], limits: dict[str, int] | None = None
    ) -> None:
        """Write the next version of the configuration, as the operator does."""
        self._config_version += 1
        value = {
            "version": self._config_version,
            "routes": [{"hostname": APP_HOST, "anonymous": False, **item} for item in routes],
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                **(limits or {}),
            },
            "tenants": [{"name": "laundry", "api_keys": [API_KEY], "priority": 1}],
        }
        self.store.write("op", "config", json.dumps(value).encode())

    async def start_routers(self) -> None:
        """Start the routers, and wait until all are ready and know each other."""
        for index in range(self._router_count):
            zone = self.zones[index % len(self.zones)]
            name = f"edge-{zone}-{index + 1}"
            path = self.temporary / f"{name}.conf"
            log = self.temporary / f"{name}.log"
            self.routers.append(Router(name, zone, path, log, *_find_free_ports(4)))
        for router in self.routers:
            router.settings.write_text(self._settings(router))
            router.start(self.temporary)
        await self.wait_ready()
        # By then each has heard all others, and the shares of limits are in use.
        await asyncio.sleep(SETTLE_S)

    async def wait_ready(self, limit_s: float = 20) -> None:
        """Wait until all routers are ready; raise `CaseFailed`."""
        until = time.monotonic() + limit_s
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > until or not router.is_running():
                    raise CaseFailed(f"{router.name} does not get ready")
                await asyncio.sleep(0.1)

    def _settings(self, router: Router) -> str:
        """Return the settings file of a router."""
        seeds = ",".join(f"{HOST}:{item.control_port}" for item in self.routers[:3])
        values = {
            "node_name": router.name,
            "role": "entry-router",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": HOST,
            "zone": router.zone,
            "region": "region-1",
            **{f"zones.{zone}": "region-1" for zone in self.zones},
            "listen.frontend": f"{HOST}:{router.callers_port}",
            "listen.ready_addr": f"{HOST}:{router.ready_port}",
            "listen.control_plane": f"{HOST}:{router.control_port}",
            "port_range": f"{router.peer_port},{router.peer_port}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.cpu_share": 0.537,
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "limits.disk_mb": 0,
            "discovery": "platform",
            "entry": "anycast",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,places,"
            "platform",
            "fault_tolerance.machines": 1,
            "fault_tolerance.zones": 1,
            "fault_tolerance.regions": 0,
            "bounds.seed_lag_s": 3,
            "bounds.reuse_after_s": 2,
            "bounds.stable_ms": 3000,
            "bounds.ack_ms": 4000,
            "bounds.catch_up_s": 4,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 2000,
            "bounds.downgrade_slack_ms": 250,
            "bounds.partition_max_ms": 5000,
            "bounds.revoke_strict": "false",
            "bounds.revoke_ms": 5000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_extra": 56,
            "bounds.cold_overshoot": 1.5,
            "bounds.cold_tolerance": 5,
            "bounds.evacuate_ms": 5000,
            "bounds.recover_s": 12,
            "bounds.stream_lag_ms": 120,
            "bounds.retry_after_s": 10,
            "bounds.cap_factor": 2,
            "platform.address": self.store.address,
            "platform.form": "table",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
            "platform.tx_ms": 3.0,
            "platform.part_writes_per_s": 300,
            "platform.row_bytes": 65536,
            "platform.cross_partition": "true",
            "platform.history_s": 20,
            "platform.blob_bytes": 8388608,
            "platform.blob_ms": 25.0,
            "platform.blob_mb_per_s": 80.0,
            **self.bounds,
        }
        return "".join(f"{name}={value}\n" for name, value in values.items())


def _find_free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on, for streams and for datagrams."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind((HOST, port))
                datagrams.bind((HOST, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


@dataclass
class Answer:
    """What a client got: `status` is 0 without a head, `whole` whether the answer was complete.

    `sent` is whether the whole request was written, so that the router could read it.
    """

    request: str
    status: int = 0
    whole: bool = False
    sent: bool = False
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    parts: list[bytes] = field(default_factory=list)
    sent_at: float = 0.0
    ended_at: float = 0.0


_ids = random.SystemRandom()


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{_ids.getrandbits(64):016x}"


class Client:
    """A client's connection to a router, which it may keep for several requests."""

    def __init__(self, stage: Stage, router: Router):
        self._stage = stage
        self._router = router
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 1500,
        fields: dict[str, str] | None = None,
    ) -> Answer:
        """Send one client attempt and return what came of it."""
        stage = self._stage
        answer = Answer(new_id(), sent_at=stage.record.now())
        head = {
            "Host": APP_HOST,
            "X-Attempt-Id": answer.request,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": API_KEY,
            **(fields or {}),
        }
        if body or method == "POST":
            head["Content-Length"] = str(len(body))
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(deadline_ms / 1000):
                await self._connect()
                self._writer.write(encode_head(f"{method} {target} HTTP/1.1", head) + body)
                await self._writer.drain()
                answer.sent, answer.sent_at = True, stage.record.now()
                found = await read_head(self._reader)
                if found is not None:
                    answer.status, answer.fields = found.status, found.fields
                    answer.body = await read_body(self._reader, found, answer.parts)
                    answer.whole = True
        answer.ended_at = stage.record.now()
        stage.record.write(
            "answered",
            request=answer.request,
            router=self._router.name,
            target=target,
            sent_at=f"{answer.sent_at:.3f}",
            sent=answer.sent,
            status=answer.status,
            whole=answer.whole,
            **({"got": len(b"".join(answer.parts))} if answer.parts else {}),
        )
        return answer

    async def _connect(self) -> None:
        """Connect unless there is a connection."""
        if self._writer is None:
            opened = asyncio.open_connection(HOST, self._router.callers_port)
            self._reader, self._writer = await asyncio.wait_for(opened, 1)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


async def call(stage: Stage, router: Router, method: str, target: str, **options: object) -> Answer:
    """Send one client attempt on a new connection and return what came of it."""
    client = Client(stage, router)
    try:
        return await client.send(method, target, **options)
    finally:
        client.close()


def run_case(play: Callable[[bool], Awaitable[int]]) -> None:
    """Play a case, with its disruption unless `TROUBLE=0`, and exit as it says.

    A case that is told to stop ends its processes first.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_until_stopped() -> int:
        task = asyncio.ensure_future(play(trouble))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        sys.exit(asyncio.run(play_until_stopped()))
    except asyncio.CancelledError:
        print("the case was told to stop")
    except CaseFailed as exc:
        print(f"the case could not run: {exc}")
    except Exception as exc:  # noqa: BLE001 - a fault of the case is no finding
        print(f"the case could not run: {exc!r}")
    sys.exit(NOT_RUN)
