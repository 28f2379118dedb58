"""Listen at an address that may be in use for a while, and accept connections within limits."""

import errno
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import trio

from skylarklift.clock import Clock, sleep_ms
from skylarklift.util.failure_reports import FailureReports

LISTEN_BACKLOG = 1024
OPEN_RETRY_INTERVAL_MS = 200
# The system has no descriptor or no memory for a connection; one may be free again soon.
ACCEPT_PAUSE_MS = 50
SHORTAGE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

SocketT = TypeVar("SocketT")
Serve = Callable[[trio.SocketStream], Awaitable[None]]
WriteEvent = Callable[..., None]


def error_name(exc: OSError) -> str:
    """Return the name of a system error, such as EADDRINUSE, or its text if it has none."""
    return errno.errorcode.get(exc.errno or 0) or str(exc)


def is_shortage(exc: OSError) -> bool:
    """Return whether the process or the system has run out of descriptors or memory."""
    return exc.errno in SHORTAGE_ERRORS


def do_nothing() -> None:
    """Do nothing, where a callback is optional."""


async def open_with_retries(
    open_once: Callable[[], Awaitable[SocketT]],
    address: str,
    clock: Clock,
    write_event: WriteEvent,
    limit_ms: int | None = None,
) -> SocketT:
    """Open a socket at an address, trying again while that fails, for `limit_ms` if given."""
    reports = FailureReports(clock)
    started_at, failed = clock.now(), False
    while True:
        try:
            opened = await open_once()
        except OSError as exc:
            waited_ms = clock.now() - started_at
            if limit_ms is not None and waited_ms >= limit_ms:
                raise
            failed = True
            if count := reports.record(error_name(exc)):
                write_event("listen_failed", address=address, cause=str(exc), count=count)
            await sleep_ms(OPEN_RETRY_INTERVAL_MS)
            continue
        if failed:
            write_event("listening", address=address, waited_ms=clock.now() - started_at)
        return opened


async def open_datagram_socket(
    host: str, port: int, clock: Clock, write_event: WriteEvent
) -> trio.socket.SocketType:
    """Return a datagram socket, once its address is free."""
    bind = partial(_bind_datagram_socket, host, port)
    return await open_with_retries(bind, f"{host}:{port}/udp", clock, write_event)


async def _bind_datagram_socket(host: str, port: int) -> trio.socket.SocketType:
    """Return a socket bound to an address, which it shares with none; raise `OSError`."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    try:
        await sock.bind((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


class Acceptor:
    """Accept connections at one address, and serve each in a task of its own.

    `on_open` is called once the address listens, `on_shortage` when there is no descriptor or no
    memory for a connection.  `wait_turn` returns once a connection may be accepted.  With more than
    `max_open` connections, a new one is closed.  `serve` must not raise.
    """

    def __init__(
        self,
        host: str,
        port: int,
        serve: Serve,
        clock: Clock,
        write_event: WriteEvent,
        *,
        on_open: Callable[[], None] = do_nothing,
        on_shortage: Callable[[], None] = do_nothing,
        wait_turn: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
        max_open: Callable[[], int] | None = None,
        open_limit_ms: int | None = None,
    ):
        self._host = host
        self._port = port
        self._serve = serve
        self._clock = clock
        self._write_event = write_event
        self._on_open = on_open
        self._on_shortage = on_shortage
        self._wait_turn = wait_turn
        self._max_open = max_open
        self._open_count = 0
        self._open_limit_ms = open_limit_ms
        self._reports = FailureReports(clock)

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"{self._host}:{self._port}"

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen once the address is free, and serve connections until cancelled."""
        listeners = await open_with_retries(
            self._open, self.address, self._clock, self._write_event, self._open_limit_ms
        )
        self._on_open()
        task_status.started()
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(self._accept, listener, nursery)

    async def _open(self) -> list[trio.SocketListener]:
        """Open the listening sockets."""
        return await trio.open_tcp_listeners(self._port, host=self._host, backlog=LISTEN_BACKLOG)

    async def _accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled; a connection that fails ends nothing else."""
        async with listener:
            while True:
                await self._wait_turn()
                try:
                    stream = await listener.accept()
                except OSError as exc:
                    await self._handle_failure(exc)
                    continue
                nursery.start_soon(self._run_connection, stream)

    async def _handle_failure(self, exc: OSError) -> None:
        """Log a failure of accepting, and wait until it may work again."""
        if count := self._reports.record(error_name(exc)):
            self._write_event("accept_failed", address=self.address, cause=str(exc), count=count)
        if is_shortage(exc):
            self._on_shortage()
        await sleep_ms(ACCEPT_PAUSE_MS)

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection, unless too many are open, and close it."""
        self._open_count += 1
        try:
            if self._max_open is None or self._open_count <= self._max_open():
                await self._serve(stream)
        finally:
            self._open_count -= 1
            await trio.aclose_forcefully(stream)
