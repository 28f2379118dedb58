"""Entry routers as processes, with a store and replicas served by this process.

The process tests and the soak use it.
"""

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import h11
import trio

from standins.platform_world import PlatformWorld
from standins.ports import HOST, release_ports, reserve_port

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 10
POLLS_PER_SECOND = 20
LOG_TAIL_CHARS = 2000


@dataclass
class Response:
    """The response that a caller received; `complete` if it was received to its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


@dataclass
class RouterProcess:
    """One router: its process, ports, settings file and log file."""

    name: str
    process: subprocess.Popen
    caller_port: int
    readiness_port: int
    settings: Path
    log: Path

    def lines(self) -> list[dict]:
        """Return the log records that are written completely."""
        text = self.log.read_text() if self.log.exists() else ""
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]


def free_port() -> int:
    """Return a port for a program outside a world, reserved until this process ends."""
    return reserve_port()


class EntryWorld(PlatformWorld):
    """A store, replicas and routers on the loopback interface."""

    def __init__(self, nursery: trio.Nursery, folder: str):
        super().__init__(nursery)
        self.folder = Path(folder)
        self.routers: list[RouterProcess] = []
        self._reserved_ports: list[int] = []
        # Python arguments that start a router; if empty, the platform's daemon is started.
        self.program: tuple[str, ...] = ()
        # Settings of the routers that are started next, beside the usual ones or in their place.
        self.extra_settings: dict[str, str] = {}

    # Ports.

    def reserve_port(self) -> int:
        """Return a port that no other test process gets before this world has stopped."""
        port = reserve_port()
        self._reserved_ports.append(port)
        return port

    async def listen(self, name: str, handler, port: int = 0) -> int:
        """Start a server under a name, by default at a reserved port, and return its port."""
        return await super().listen(name, handler, port or self.reserve_port())

    # Routers.

    async def start_router(
        self, name: str, store_endpoint_index: int = 0, peer_port: int = 0
    ) -> RouterProcess:
        """Start a router and wait until it is ready."""
        router = self.launch_router(name, store_endpoint_index, peer_port)
        await self.wait_ready(router)
        return router

    def launch_router(
        self, name: str, store_endpoint_index: int = 0, peer_port: int = 0
    ) -> RouterProcess:
        """Start a router without waiting until it is ready."""
        router = self._launch(name, store_endpoint_index, peer_port or self.reserve_port())
        self.routers.append(router)
        return router

    async def restart_router(self, router: RouterProcess) -> None:
        """Start a router again on its previous ports after its process has ended."""
        router.process.wait()
        router.process = self._start_process(router.settings, router.log)

    async def wait_ready(self, router: RouterProcess) -> None:
        """Wait until a router is ready; on a timeout, fail with the end of its log."""
        for _ in range(START_TIMEOUT_S * POLLS_PER_SECOND):
            if await self.is_ready(router):
                return
            await trio.sleep(1 / POLLS_PER_SECOND)
        text = router.log.read_text()[-LOG_TAIL_CHARS:]
        raise AssertionError(
            f"{router.name} is not ready, exit code {router.process.poll()}: {text}"
        )

    def _launch(self, name: str, store_endpoint_index: int, peer_port: int) -> RouterProcess:
        """Write a router's settings file and start the router's process."""
        callers, readiness = self.reserve_port(), self.reserve_port()
        settings, log = self.folder / f"{name}.conf", self.folder / f"{name}.log"
        fields = {
            "node_name": name,
            "zone": "za",
            "listen.frontend": f"{HOST}:{callers}",
            "listen.ready_addr": f"{HOST}:{readiness}",
            "port_range": f"{peer_port},{peer_port}",
            "platform.address": f"{HOST}:{self.store_endpoints[store_endpoint_index][1]}",
            "bounds.grace_s": 8,
            "limits.memory_mb": 300,
            **self.extra_settings,
        }
        settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        process = self._start_process(settings, log)
        return RouterProcess(name, process, callers, readiness, settings, log)

    def _start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        """Start the process of a router, with its output appended to the log file."""
        environment = {**os.environ, "SKYLARKLIFT_NODE_FILE": str(settings)}
        tree = self._choose_tree(settings)
        with log.open("a") as output:
            return subprocess.Popen(
                [sys.executable, *self._choose_program(settings)],
                cwd=tree,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def _choose_tree(self, settings: Path) -> Path:
        """Return the folder whose programs the router with this settings file runs."""
        return ROOT

    def _choose_program(self, settings: Path) -> tuple[str, ...]:
        """Return the Python arguments that start the router with this settings file."""
        return self.program or ("-m", "skylarklift.platform.daemon")

    async def is_ready(self, router: RouterProcess) -> bool:
        """Return whether a router's readiness endpoint responds with 200."""
        try:
            response = await self.send_request(router.readiness_port, "GET", "/-/readyz", {})
        except OSError:
            return False
        return response.status == 200

    # Callers.

    async def send_request(
        self,
        port: int,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        disconnect_after_ms: int | None = None,
    ) -> Response:
        """Send one request on a new connection and return its response.

        Disconnect after `disconnect_after_ms`, or after 20 s without it.
        """
        with trio.move_on_after((disconnect_after_ms or 20000) / 1000):
            stream = await trio.open_tcp_stream(HOST, port)
            async with stream:
                return await exchange(stream, method, target, headers, body)
        return Response()

    async def call(self, router: RouterProcess, target: str, **options) -> Response:
        """Send a request with the header fields that the platform's callers set."""
        headers = {
            "host": "app.example",
            "x-attempt-id": options.pop("request_id", os.urandom(6).hex()),
            "x-api-key": options.pop("key", "key-1"),
            "x-deadline-ms": str(options.pop("deadline_ms", 4000)),
            **options.pop("headers", {}),
        }
        if target.startswith(("/chat/", "/once/")):
            headers.setdefault("x-token-count", "100,50")
            headers.setdefault("x-prefix-hash", "aa:50,bb:40,cc:10")
        method = "GET" if target.startswith("/check/") else "POST"
        body = b"" if method == "GET" else options.pop("body", b"work")
        return await self.send_request(router.caller_port, method, target, headers, body, **options)

    def stop(self) -> None:
        """Kill the routers that this world started, and release its ports after that."""
        for router in self.routers:
            if router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
            router.process.wait()
        release_ports(self._reserved_ports)
        self._reserved_ports.clear()


async def exchange(stream, method, target, headers, body) -> Response:
    """Send a request on an open connection and return its response."""
    http = h11.Connection(h11.CLIENT)
    fields = [(name, value) for name, value in {"host": "x", **headers}.items()]
    if body:
        fields.append(("content-length", str(len(body))))
    data = http.send(h11.Request(method=method, target=target, headers=fields))
    if body:
        data += http.send(h11.Data(data=body))
    data += http.send(h11.EndOfMessage())
    await stream.send_all(data)
    response = Response()
    body_parts = []
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            break
        if isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body_parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            response.complete = True
            break
        elif isinstance(event, h11.ConnectionClosed):
            break
    response.body = b"".join(body_parts)
    return response
