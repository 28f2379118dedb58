"""Calls between routers: a client link per called router, and a server.

A call carries a sequence number that its answer repeats.  An answer with an
unknown sequence number, such as one after the time-out, is dropped and counted.
"""

import ssl
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, LoopClock, Millis
from skylarklift.errors import PeerError, PeerTimeout, PeerUnreachable, SkylarkError
from skylarklift.generated import Address, Failure, PeerSettings
from skylarklift.ids import BootId, RouterId, ZoneId
from skylarklift.logger import FAILURES, log
from skylarklift.routers.frames import (
    FrameStream,
    TrafficCounter,
    authenticate_as_client,
    authenticate_as_server,
)
from skylarklift.routers.wire import Message
from skylarklift.serving import PORT_WAIT_LIMIT_MS
from skylarklift.util.listening import Acceptor

Handler = Callable[[RouterId, Message], Awaitable[Message]]

HANDSHAKE_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_MS = 1000
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1000
MAX_CONCURRENT_CALLS_PER_CONNECTION = 2048


@dataclass
class PeerIdentity:
    """The identity, settings and TLS contexts that this router uses towards peers."""

    router: RouterId
    boot: BootId
    zone: ZoneId
    cfg: PeerSettings
    client_tls: ssl.SSLContext | None = None
    server_tls: ssl.SSLContext | None = None


@dataclass
class PeerCounts:
    """Counters of the connections to and from peers."""

    traffic: TrafficCounter = field(default_factory=TrafficCounter)
    late_answers: int = 0
    broken_connections: int = 0
    refused_connections: int = 0


class _PendingCall:
    """A call that waits for its answer; `answer` stays `None` if the connection failed."""

    def __init__(self):
        self.done = trio.Event()
        self.answer: Message | None = None


class PeerLink:
    """A link to one router: its connection is opened on demand and reopened after a failure."""

    def __init__(self, identity: PeerIdentity, address: Address, clock: Clock, counts: PeerCounts):
        self._identity = identity
        self.address = address
        self._clock = clock
        self._counts = counts
        limit = identity.cfg.queue_limit_frames
        self._send_queue, self._queued_messages = trio.open_memory_channel[Message](limit)
        self._pending: dict[int, _PendingCall] = {}
        self._seq = 0
        self._blocked_until = Millis(0)
        self._backoff_ms = MIN_BACKOFF_MS
        self._connected = False

    async def run(self) -> None:
        """Connect when a call is queued, and again after a failure, until cancelled."""
        async for message in self._queued_messages:
            if message.seq not in self._pending:
                continue
            try:
                await self._run_connection(message)
            except* (OSError, PeerError, trio.BrokenResourceError, trio.TooSlowError):
                self._counts.broken_connections += 1
            self._handle_disconnect()

    async def _run_connection(self, first: Message) -> None:
        """Connect, authenticate, and transfer messages until the connection ends."""
        with trio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
            stream = await self._connect()
        frames = FrameStream(stream, self._identity.cfg.frame_limit_bytes, self._counts.traffic)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_MS / MS_PER_SECOND):
                identity = self._identity
                await authenticate_as_client(
                    frames, identity.router, identity.boot, identity.cfg.keys
                )
            self._connected = True
            self._backoff_ms = MIN_BACKOFF_MS
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, frames, nursery.cancel_scope)
                await frames.send(first)
                async for message in self._queued_messages:
                    if message.seq in self._pending:
                        await frames.send(message)
        finally:
            with trio.CancelScope(shield=True):
                await frames.close()

    async def _connect(self) -> trio.abc.Stream:
        """Open a TCP connection, with TLS if the settings name a certificate."""
        host, port = self.address.host, self.address.port
        if self._identity.client_tls is None:
            return await trio.open_tcp_stream(host, port)
        return await trio.open_ssl_over_tcp_stream(
            host, port, ssl_context=self._identity.client_tls
        )

    async def _receive(self, frames: FrameStream, scope: trio.CancelScope) -> None:
        """Deliver each answer to its pending call; cancel `scope` at the end of the stream."""
        try:
            while (answer := await frames.receive()) is not None:
                pending = self._pending.pop(answer.seq, None)
                if pending is None:
                    self._counts.late_answers += 1
                    continue
                pending.answer = answer
                pending.done.set()
        finally:
            scope.cancel()

    def _handle_disconnect(self) -> None:
        """Fail all pending calls; if the connection attempt failed, also back off."""
        if not self._connected:
            self._blocked_until = Millis(self._clock.now() + self._backoff_ms)
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        self._connected = False
        for pending in self._pending.values():
            pending.done.set()
        self._pending.clear()

    async def call(self, message: Message, timeout_ms: int) -> Message:
        """Send a message and return the answer.

        Raises `PeerUnreachable` when the message was not sent and `PeerTimeout` when the
        message may have arrived.
        """
        if self._clock.now() < self._blocked_until:
            raise PeerUnreachable(f"{self.address.host}:{self.address.port}")
        self._seq += 1
        message.seq = self._seq
        pending = self._pending[message.seq] = _PendingCall()
        try:
            self._send_queue.send_nowait(message)
        except trio.WouldBlock as exc:
            del self._pending[message.seq]
            raise PeerUnreachable("the link's send queue is full") from exc
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            await pending.done.wait()
        self._pending.pop(message.seq, None)
        if pending.answer is None:
            if self._clock.now() < self._blocked_until:
                raise PeerUnreachable(f"{self.address.host}:{self.address.port}")
            raise PeerTimeout(f"{self.address.host}:{self.address.port}")
        if isinstance(pending.answer, Failure):
            raise PeerError(pending.answer.code)
        return pending.answer


class PeerServer:
    """Accepts connections from other routers and answers their calls."""

    def __init__(self, identity: PeerIdentity, handler: Handler, counts: PeerCounts):
        self._identity = identity
        self._handler = handler
        self._counts = counts

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled; raise `OSError` if the address stays in use."""
        listen = self._identity.cfg.listen
        acceptor = Acceptor(
            listen.host,
            listen.port,
            self._serve_isolated,
            LoopClock(),
            log.warning,
            open_limit_ms=PORT_WAIT_LIMIT_MS,
        )
        await acceptor.run(task_status)

    async def _serve_isolated(self, stream: trio.SocketStream) -> None:
        """Serve a connection, logging exceptions so that they end only that connection."""
        tls = self._identity.server_tls
        try:
            if tls is None:
                await self._serve_connection(stream)
            else:
                await self._serve_connection(trio.SSLStream(stream, tls, server_side=True))
        except* Exception as group:
            self._counts.broken_connections += 1
            FAILURES.record("peer_connection_serve_failed", group)

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; its failures do not affect other connections."""
        frames = FrameStream(stream, self._identity.cfg.frame_limit_bytes, self._counts.traffic)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_MS / MS_PER_SECOND):
                hello = await authenticate_as_server(frames, self._identity.cfg.keys)
        except (OSError, SkylarkError, trio.BrokenResourceError, trio.TooSlowError):
            self._counts.refused_connections += 1
            await frames.close()
            return
        try:
            await self._answer_calls(RouterId(hello.router), frames)
        except* (OSError, SkylarkError, trio.BrokenResourceError, trio.ClosedResourceError):
            self._counts.broken_connections += 1
        finally:
            with trio.CancelScope(shield=True):
                await frames.close()

    async def _answer_calls(self, router: RouterId, frames: FrameStream) -> None:
        """Answer each call in its own task, so that a slow call does not delay others."""
        send_lock = trio.Lock()
        call_slots = trio.Semaphore(MAX_CONCURRENT_CALLS_PER_CONNECTION)

        async def answer(message: Message) -> None:
            seq = message.seq
            try:
                reply = await self._handler(router, message)
            except SkylarkError as exc:
                reply = Failure(seq, type(exc).__name__)
            except Exception as exc:
                # A bug in one handler must not end the other calls.
                log.error("peer_call_serve_failed", router_from=router, error=repr(exc))
                reply = Failure(seq, "internal")
            finally:
                call_slots.release()
            reply.seq = seq
            async with send_lock:
                await frames.send(reply)

        async with trio.open_nursery() as nursery:
            while (message := await frames.receive()) is not None:
                await call_slots.acquire()
                nursery.start_soon(answer, message)
            nursery.cancel_scope.cancel()


class PeerTransport(ABC):
    """Base class of transports that call other routers by id."""

    def __init__(self, identity: PeerIdentity):
        self.identity = identity

    @abstractmethod
    def set_addresses(self, addresses: dict[RouterId, Address]) -> None:
        """Replace the addresses of the routers that can be called."""

    @abstractmethod
    async def call(
        self, router: RouterId, message: Message, timeout_ms: int | None = None
    ) -> Message:
        """Send a message and return the answer.

        Raises `PeerUnreachable` when the message was not sent and `PeerTimeout` when the
        message may have arrived.
        """


class TcpPeerTransport(PeerTransport):
    """Calls the other routers over TCP, with one link per router."""

    def __init__(self, identity: PeerIdentity, clock: Clock, nursery: trio.Nursery):
        super().__init__(identity)
        self._clock = clock
        self._nursery = nursery
        self._links: dict[RouterId, PeerLink] = {}
        self._scopes: dict[RouterId, trio.CancelScope] = {}
        self.counts = PeerCounts()

    def set_addresses(self, addresses: dict[RouterId, Address]) -> None:
        """Open links to new addresses and close those to removed or changed ones."""
        for router in list(self._links):
            if addresses.get(router) != self._links[router].address:
                self._scopes.pop(router).cancel()
                del self._links[router]
        for router, address in addresses.items():
            if router not in self._links and router != self.identity.router:
                self._start_link(router, address)

    def _start_link(self, router: RouterId, address: Address) -> None:
        """Create a link and start its task."""
        link = PeerLink(self.identity, address, self._clock, self.counts)
        scope = trio.CancelScope()
        self._links[router] = link
        self._scopes[router] = scope

        async def run() -> None:
            with scope:
                await link.run()

        self._nursery.start_soon(run)

    async def call(
        self, router: RouterId, message: Message, timeout_ms: int | None = None
    ) -> Message:
        """Call a router whose address is set."""
        link = self._links.get(router)
        if link is None:
            raise PeerUnreachable(f"router {router} is not in the view")
        return await link.call(message, timeout_ms or self.identity.cfg.call_timeout_ms)
