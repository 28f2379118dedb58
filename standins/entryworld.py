"""Routers as processes before a store and replicas of this process, for tests and the soak."""

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom

import h11
import trio

from standins.platformworld import HOST, PlatformWorld

ROOT = Path(__file__).resolve().parent.parent
START_LIMIT_S = 10
LOOKS_A_SECOND = 20
LOG_SHOWN = 2000
PORT_RANGE = (11000, 32000)
# Ports differ between test processes that run side by side.
_port_choice = SystemRandom()
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that nobody uses now and that was not given out before.

    It lies below those that the system gives to outgoing connections, one of which could
    take it before its router does.
    """
    while True:
        port = _port_choice.randrange(*PORT_RANGE)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            return port


@dataclass
class Answer:
    """What a client got; `whole` tells that the answer did not break off."""

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


@dataclass
class RouterProcess:
    """One router: its process, its addresses, its log."""

    name: str
    process: subprocess.Popen
    callers: int
    readiness: int
    settings: Path
    log: Path
    starts: int = 1

    def is_up(self) -> bool:
        """Tell whether the process that was started last has come as far as to log it."""
        return sum(line["event"] == "start" for line in self.lines()) >= self.starts

    def lines(self) -> list[dict]:
        """Return the log lines that are whole."""
        text = self.log.read_text() if self.log.exists() else ""
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]


class EntryWorld(PlatformWorld):
    """A store, replicas and routers on the loopback address."""

    def __init__(self, nursery: trio.Nursery, folder: str):
        super().__init__(nursery)
        self.folder = Path(folder)
        self.routers: list[RouterProcess] = []
        # What starts a router; empty for the daemon itself.
        self.program: tuple[str, ...] = ()

    # Routers.

    async def start_router(self, name: str, door: int = 0, first_port: int = 0) -> RouterProcess:
        """Start a router and wait until it is ready."""
        router = self._spawn(name, door, first_port or free_port())
        self.routers.append(router)
        await self._until_ready(router)
        return router

    async def restart_router(self, router: RouterProcess) -> None:
        """Start a router that has ended again, at the same addresses."""
        router.process.wait()
        router.starts += 1
        router.process = self._start_process(router.settings, router.log)

    async def _until_ready(self, router: RouterProcess) -> None:
        """Wait until a router is ready; tell what it logged where it does not get so far."""
        for _ in range(START_LIMIT_S * LOOKS_A_SECOND):
            if await self.ready(router):
                return
            await trio.sleep(1 / LOOKS_A_SECOND)
        text = router.log.read_text()[-LOG_SHOWN:]
        raise AssertionError(f"{router.name} is not ready, exit {router.process.poll()}: {text}")

    def _spawn(self, name: str, door: int, inner: int) -> RouterProcess:
        """Start a router's process."""
        callers, readiness = free_port(), free_port()
        settings, log = self.folder / f"{name}.conf", self.folder / f"{name}.log"
        fields = {
            "node_name": name,
            "zone": "za",
            "listen.frontend": f"{HOST}:{callers}",
            "listen.ready_addr": f"{HOST}:{readiness}",
            "port_range": f"{inner},{inner}",
            "platform.address": f"{HOST}:{self.doors[door][1]}",
            "bounds.grace_s": 8,
        }
        settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        process = self._start_process(settings, log)
        return RouterProcess(name, process, callers, readiness, settings, log)

    def _start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        """Start the program of a router."""
        program = self.program or ("-m", "skylarklift.platform.daemon")
        environment = {**os.environ, "SKYLARKLIFT_NODE_FILE": str(settings)}
        with log.open("a") as output:
            return subprocess.Popen(
                [sys.executable, *program],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    async def ready(self, router: RouterProcess) -> bool:
        """Ask a router whether it is ready."""
        try:
            answer = await self.ask(router.readiness, "GET", "/-/readyz", {})
        except OSError:
            return False
        return answer.status == 200

    # Clients.

    async def ask(
        self,
        port: int,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes = b"",
        leave_after_ms: int | None = None,
    ) -> Answer:
        """Send one request on a new connection and read its answer."""
        with trio.move_on_after((leave_after_ms or 20000) / 1000):
            stream = await trio.open_tcp_stream(HOST, port)
            async with stream:
                return await exchange(stream, method, target, fields, body)
        return Answer()

    async def call(self, router: RouterProcess, target: str, **options) -> Answer:
        """Send a client's request as the platform's clients do."""
        fields = {
            "host": "app.example",
            "x-attempt-id": options.pop("request", os.urandom(6).hex()),
            "x-api-key": options.pop("key", "key-1"),
            "x-deadline-ms": str(options.pop("deadline_ms", 4000)),
            **options.pop("fields", {}),
        }
        if target.startswith(("/chat/", "/once/")):
            fields.setdefault("x-token-count", "100,50")
            fields.setdefault("x-prefix-hash", "aa:50,bb:40,cc:10")
        method = "GET" if target.startswith("/check/") else "POST"
        body = b"" if method == "GET" else options.pop("body", b"work")
        return await self.ask(router.callers, method, target, fields, body, **options)

    def stop(self) -> None:
        """End the routers that this world started."""
        for router in self.routers:
            if router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
            router.process.wait()


async def exchange(stream, method, target, fields, body) -> Answer:
    """Send a request and read its answer on an open connection."""
    http = h11.Connection(h11.CLIENT)
    headers = [(name, value) for name, value in {"host": "x", **fields}.items()]
    if body:
        headers.append(("content-length", str(len(body))))
    data = http.send(h11.Request(method=method, target=target, headers=headers))
    if body:
        data += http.send(h11.Data(data=body))
    data += http.send(h11.EndOfMessage())
    await stream.send_all(data)
    answer = Answer()
    parts = []
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            break
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.fields = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
            break
        elif isinstance(event, h11.ConnectionClosed):
            break
    answer.body = b"".join(parts)
    return answer
