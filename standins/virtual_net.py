"""A simulated network within one process: hosts, the paths between them, and their faults.

It is installed as trio's socket factory, so that unmodified programs run on it in virtual time
and, for a given seed, always in the same order.
"""

import errno
import socket
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from enum import Enum
from random import Random

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.requests.http_connection import RESET_ON_CLOSE

WINDOW_BYTES = 65536
FIRST_PORT = 40000
# The host on which the current task opens sockets.
_current_host: ContextVar[str] = ContextVar("host", default="10.9.0.1")


class ControlItem(Enum):
    """What a connection carries besides data: the end of a direction (FIN) or a reset (RST)."""

    END = "end"
    RESET = "reset"


def _closed_error() -> OSError:
    """Return the error that using a closed socket raises."""
    return OSError(errno.EBADF, "closed")


class VirtualNet(trio.abc.SocketFactory):
    """Hosts that reach each other unless the path between them is cut."""

    def __init__(self, nursery: trio.Nursery, rng: Random, delay_ms: int = 1):
        self.nursery = nursery
        self._rng = rng
        self._delay_ms = delay_ms
        self._cuts: set[tuple[str, str]] = set()
        self._healed = trio.Event()
        self.loss_rate = 0.0
        self.listeners: dict[tuple[str, int], VirtualSocket] = {}
        self.datagram_sockets: dict[tuple[str, int], VirtualSocket] = {}
        self._open: dict[str, list[VirtualSocket]] = {}
        self._port = FIRST_PORT

    def socket(self, family=None, type=None, proto=None) -> "VirtualSocket":  # noqa: A002
        """Return a socket on the current task's host."""
        return VirtualSocket(self, type or socket.SOCK_STREAM, _current_host.get())

    @contextmanager
    def on_host(self, host: str) -> Iterator[None]:
        """Open the block's sockets, and those of tasks started in it, on a host."""
        token = _current_host.set(host)
        try:
            yield
        finally:
            _current_host.reset(token)

    def next_port(self) -> int:
        """Return a port that no socket has used before."""
        self._port += 1
        return self._port

    # Faults.

    def cut(self, source: str, target: str) -> None:
        """Hold back what one host sends to another; connections stay open."""
        self._cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Open a path again and deliver what was held back."""
        self._cuts.discard((source, target))
        self._healed.set()
        self._healed = trio.Event()

    def reset(self, host: str) -> None:
        """Close all sockets of a host, as the end of its process would."""
        for sock in self._open.pop(host, []):
            sock.close()

    # Paths between hosts.

    def register_socket(self, sock: "VirtualSocket") -> None:
        """Record an open socket under its host."""
        known = self._open.setdefault(sock.host, [])
        known[:] = [item for item in known if not item.closed]
        known.append(sock)

    def is_open(self, source: str, target: str) -> bool:
        """Return whether the path from one host to another is open."""
        return (source, target) not in self._cuts

    async def transit(self, source: str, target: str) -> None:
        """Wait for the delay of a path, and as long as it is cut."""
        await trio.sleep(self._delay_ms / MS_PER_SECOND)
        while not self.is_open(source, target):
            await self._healed.wait()

    def drops_datagram(self) -> bool:
        """Return whether to drop a datagram, drawn at random by the loss rate."""
        return self._rng.random() < self.loss_rate


class Flow:
    """One direction of a connection: data in transit and data received."""

    def __init__(self, net: VirtualNet, source: str, target: str):
        self._net = net
        self._source = source
        self._target = target
        # With the moment at which each item was sent.
        self._in_transit: deque[tuple[float, bytes | ControlItem]] = deque()
        self._sent = trio.Event()
        self.received = bytearray()
        # When the data that was received last had been sent.
        self.received_sent_at = 0.0
        self.at_eof = False
        self.was_reset = False
        self.reader_closed = False
        self.changed = trio.Event()
        # The opposite direction, which carries the reset sent in response to data for a
        # closed socket.
        self.reverse: Flow | None = None

    def send(self, item: bytes | ControlItem) -> None:
        """Put data or a control item in transit."""
        self._in_transit.append((trio.current_time(), item))
        self._sent.set()

    @property
    def is_full(self) -> bool:
        """Return whether the window is full, so that the receiver must read before more is sent."""
        waiting = sum(len(item) for _, item in self._in_transit if isinstance(item, bytes))
        return waiting + len(self.received) >= WINDOW_BYTES

    def notify_change(self) -> None:
        """Wake the tasks that wait for a change of this flow."""
        self.changed.set()
        self.changed = trio.Event()

    async def deliver(self) -> None:
        """Deliver items in order until the direction can carry nothing more."""
        while True:
            while not self._in_transit:
                self._sent = trio.Event()
                await self._sent.wait()
            await self._net.transit(self._source, self._target)
            sent_at, item = self._in_transit.popleft()
            if item is ControlItem.RESET:
                self.was_reset = True
                self.received.clear()
            elif item is ControlItem.END:
                self.at_eof = True
            elif self.reader_closed:
                self.reverse.send(ControlItem.RESET)
            else:
                self.received += item
                self.received_sent_at = sent_at
            self.notify_change()
            if item is ControlItem.RESET or (item is ControlItem.END and self.reader_closed):
                return


class VirtualSocket(trio.socket.SocketType):
    """A socket of the virtual network: a connection, a listener or a datagram socket."""

    family = socket.AF_INET
    proto = 0
    type = socket.SOCK_STREAM
    did_shutdown_SHUT_WR = False

    def __init__(self, net: VirtualNet, kind: int, host: str):
        super().__init__()
        self._net = net
        self.type = socket.SocketKind(kind)
        self.host = host
        self.closed = False
        self._address: tuple[str, int] = (host, 0)
        self._peer: tuple[str, int] | None = None
        self._incoming: Flow | None = None
        self._outgoing: Flow | None = None
        self._queue: deque = deque()
        self._arrival = trio.Event()
        self._listening = False
        self._reset_on_close = False
        net.register_socket(self)

    # Addresses and options.

    def fileno(self) -> int:
        """Return 1, or -1 once the socket is closed."""
        return -1 if self.closed else 1

    def getsockname(self):
        """Return the socket's own address."""
        return self._address

    def getpeername(self):
        """Return the peer's address."""
        if self._peer is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self._peer

    def setsockopt(self, level, option, value, length=None) -> None:
        """Make `close` send a reset if `SO_LINGER` is on; ignore all other options."""
        if self.closed:
            raise _closed_error()
        if option == socket.SO_LINGER:
            self._reset_on_close = value == RESET_ON_CLOSE

    def getsockopt(self, level, option, length=None):
        """Return whether the socket listens, the only option that trio reads."""
        return int(self._listening)

    async def bind(self, address) -> None:
        """Bind to an address, choosing a port for port 0."""
        await trio.lowlevel.checkpoint()
        host, port = address[:2]
        self._address = (host, port or self._net.next_port())
        if self.type == socket.SOCK_DGRAM:
            self._net.datagram_sockets[self._address] = self

    # Connections.

    def listen(self, backlog: int = 0) -> None:
        """Start to accept connections."""
        if self._address in self._net.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        self._listening = True
        self._net.listeners[self._address] = self

    async def accept(self):
        """Return the next connection and the address of its peer."""
        sock = await self._next_queued()
        return sock, sock.getpeername()

    async def _next_queued(self):
        """Return the first item of the queue, waiting for one."""
        while not self._queue:
            if self.closed:
                raise trio.ClosedResourceError
            self._arrival = trio.Event()
            await self._arrival.wait()
        if self.closed:
            raise trio.ClosedResourceError
        await trio.lowlevel.checkpoint()
        return self._queue.popleft()

    def enqueue(self, item) -> None:
        """Queue a connection for a listener, or a datagram for a datagram socket."""
        self._queue.append(item)
        self._arrival.set()

    async def connect(self, address) -> None:
        """Connect to an address, waiting while the path is cut in either direction."""
        net = self._net
        host, port = address[:2]
        await net.transit(self.host, host)
        listener = net.listeners.get((host, port))
        if listener is None:
            await net.transit(host, self.host)
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        outbound, inbound = Flow(net, self.host, host), Flow(net, host, self.host)
        outbound.reverse, inbound.reverse = inbound, outbound
        self._address = (self.host, net.next_port())
        with net.on_host(host):
            other = net.socket()
        other._attach(inbound, outbound, (host, port), self._address)
        self._attach(outbound, inbound, self._address, (host, port))
        for flow in (outbound, inbound):
            net.nursery.start_soon(flow.deliver)
        listener.enqueue(other)
        await net.transit(host, self.host)

    def _attach(self, outgoing: Flow, incoming: Flow, own, peer) -> None:
        """Make this socket one end of a connection."""
        self._outgoing, self._incoming = outgoing, incoming
        self._address, self._peer = own, peer

    async def send(self, data, flags: int = 0) -> int:
        """Send bytes, waiting while the peer's window is full."""
        await trio.lowlevel.checkpoint()
        while self._outgoing.is_full and not (self.closed or self._incoming.was_reset):
            await self._wait_change(self._outgoing)
        if self.closed:
            raise _closed_error()
        if self._incoming.was_reset:
            raise BrokenPipeError(errno.EPIPE, "reset by the other side")
        self._outgoing.send(bytes(data))
        return len(data)

    async def _wait_change(self, flow: Flow) -> None:
        """Wait for a change of a flow, 50 ms at most, since the other flow may change instead."""
        changed = flow.changed
        with trio.move_on_after(0.05):
            await changed.wait()

    async def recv(self, count: int, flags: int = 0) -> bytes:
        """Return received bytes, waiting for some; nothing at the end of the stream."""
        await trio.lowlevel.checkpoint()
        flow = self._incoming
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if flow.was_reset:
                raise ConnectionResetError(errno.ECONNRESET, "reset by the other side")
            if flow.received:
                data = bytes(flow.received[:count])
                del flow.received[:count]
                flow.notify_change()
                return data
            if flow.at_eof:
                return b""
            await flow.changed.wait()

    def received_sent_at(self) -> float:
        """Return when the data that was received last had been sent by the peer."""
        return self._incoming.received_sent_at

    def is_readable(self) -> bool:
        """Return whether reading would return at once."""
        if self.closed:
            raise _closed_error()
        flow = self._incoming
        if flow is None:
            return bool(self._queue)
        return bool(flow.received) or flow.at_eof or flow.was_reset

    def shutdown(self, how: int) -> None:
        """End the outgoing direction."""
        if self.closed:
            raise _closed_error()
        self.did_shutdown_SHUT_WR = True
        self._outgoing.send(ControlItem.END)

    def close(self) -> None:
        """Close the socket; unread data resets the connection."""
        if self.closed:
            return
        self.closed = True
        self._net.listeners.pop(self._address, None) if self._listening else None
        if self._net.datagram_sockets.get(self._address) is self:
            del self._net.datagram_sockets[self._address]
        self._arrival.set()
        for waiting in self._queue if self._listening else ():
            waiting.close()
        if self._incoming is not None:
            unread = bool(self._incoming.received)
            self._incoming.reader_closed = True
            self._outgoing.send(
                ControlItem.RESET if self._reset_on_close or unread else ControlItem.END
            )
            self._incoming.notify_change()
            if self._incoming.at_eof or self._incoming.was_reset:
                # Nothing else arrives on this flow; the reset ends its delivery task.
                self._incoming.send(ControlItem.RESET)

    # Datagrams.

    async def sendto(self, data, address) -> int:
        """Send a datagram, or drop it by the loss rate."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise _closed_error()
        if not self._net.drops_datagram():
            self._net.nursery.start_soon(self._deliver_datagram, bytes(data), tuple(address))
        return len(data)

    async def _deliver_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Deliver one datagram; it is lost if the path is cut when it is sent."""
        source, net = self._address, self._net
        if not net.is_open(source[0], address[0]):
            return
        await net.transit(source[0], address[0])
        receiver = net.datagram_sockets.get(address)
        if receiver is not None:
            receiver.enqueue((data, source))

    async def recvmsg(self, count: int, control_size: int):
        """Return the next datagram, no control messages, no flags, and its sender."""
        data, sender = await self._next_queued()
        return data, [], 0, sender
