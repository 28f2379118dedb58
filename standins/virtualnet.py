"""A network within one process: hosts, the ways between them, and what breaks on them.

It is installed as trio's factory of sockets, so that whole programs run on it as they are, in
virtual time and, for one seed, always in the same order.
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

WINDOW_BYTES = 65536
FIRST_PORT = 40000
# The host whose tasks open sockets now.
_here: ContextVar[str] = ContextVar("host", default="10.9.0.1")


class Mark(Enum):
    """What goes over a connection besides bytes."""

    END = "end"
    RESET = "reset"


def _closed() -> OSError:
    """Return the error for the use of a closed socket."""
    return OSError(errno.EBADF, "closed")


class VirtualNet(trio.abc.SocketFactory):
    """Hosts that reach each other unless a way is cut."""

    def __init__(self, nursery: trio.Nursery, rng: Random, delay_ms: int = 1):
        self.nursery = nursery
        self._rng = rng
        self._delay_ms = delay_ms
        self._cuts: set[tuple[str, str]] = set()
        self._healed = trio.Event()
        self.loss = 0.0
        self.listeners: dict[tuple[str, int], VirtualSocket] = {}
        self.mailboxes: dict[tuple[str, int], VirtualSocket] = {}
        self._open: dict[str, list[VirtualSocket]] = {}
        self._port = FIRST_PORT

    def socket(self, family=None, type=None, proto=None) -> "VirtualSocket":  # noqa: A002
        """Return a socket of the host whose task asks for it."""
        return VirtualSocket(self, type or socket.SOCK_STREAM, _here.get())

    @contextmanager
    def at(self, host: str) -> Iterator[None]:
        """Let the block's sockets and tasks belong to a host."""
        token = _here.set(host)
        try:
            yield
        finally:
            _here.reset(token)

    def next_port(self) -> int:
        """Return a port that was not used before."""
        self._port += 1
        return self._port

    # Faults.

    def cut(self, source: str, target: str) -> None:
        """Let nothing pass from one host to another; connections stay open and wait."""
        self._cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Let everything pass again, also what was held back."""
        self._cuts.discard((source, target))
        self._healed.set()
        self._healed = trio.Event()

    def reset(self, host: str) -> None:
        """Close all sockets of a host, as the end of its process does."""
        for sock in self._open.pop(host, []):
            sock.close()

    # Ways.

    def note(self, sock: "VirtualSocket") -> None:
        """Remember an open socket of a host."""
        known = self._open.setdefault(sock.host, [])
        known[:] = [item for item in known if not item.closed]
        known.append(sock)

    def passes(self, source: str, target: str) -> bool:
        """Tell whether the way from one host to another is open."""
        return (source, target) not in self._cuts

    async def travel(self, source: str, target: str) -> None:
        """Wait for as long as the way takes."""
        await trio.sleep(self._delay_ms / MS_PER_SECOND)
        while not self.passes(source, target):
            await self._healed.wait()

    def loses(self) -> bool:
        """Tell whether a datagram is lost."""
        return self._rng.random() < self.loss


class Flow:
    """One direction of a connection: what is under way and what has arrived."""

    def __init__(self, net: VirtualNet, source: str, target: str):
        self._net = net
        self._source = source
        self._target = target
        self._under_way: deque[bytes | Mark] = deque()
        self._sent = trio.Event()
        self.arrived = bytearray()
        self.ended = False
        self.broken = False
        self.unread = False
        self.changed = trio.Event()
        # The way back, on which a reset goes that answers data for a closed socket.
        self.back: Flow | None = None

    def push(self, item: bytes | Mark) -> None:
        """Send something."""
        self._under_way.append(item)
        self._sent.set()

    @property
    def full(self) -> bool:
        """Tell whether the receiver must read before more can be sent."""
        waiting = sum(len(item) for item in self._under_way if isinstance(item, bytes))
        return waiting + len(self.arrived) >= WINDOW_BYTES

    def wake(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    async def carry(self) -> None:
        """Carry what is sent to the other side until the last of it is there."""
        while True:
            while not self._under_way:
                self._sent = trio.Event()
                await self._sent.wait()
            await self._net.travel(self._source, self._target)
            item = self._under_way.popleft()
            if item is Mark.RESET:
                self.broken = True
                self.arrived.clear()
            elif item is Mark.END:
                self.ended = True
            elif self.unread:
                self.back.push(Mark.RESET)
            else:
                self.arrived += item
            self.wake()
            if item is Mark.RESET or (item is Mark.END and self.unread):
                return


class VirtualSocket(trio.socket.SocketType):
    """A socket of the virtual network: a connection, a listener or a mailbox for datagrams."""

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
        self._waiting: deque = deque()
        self._arrival = trio.Event()
        self._listening = False
        self._resets = False
        net.note(self)

    # Addresses and options.

    def fileno(self) -> int:
        """Return -1 once the socket is closed."""
        return -1 if self.closed else 1

    def getsockname(self):
        """Return the own address."""
        return self._address

    def getpeername(self):
        """Return the address of the other side."""
        if self._peer is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self._peer

    def setsockopt(self, level, option, value, length=None) -> None:
        """Note that closing is to reset; other options change nothing here."""
        if self.closed:
            raise _closed()
        if option == socket.SO_LINGER:
            self._resets = True

    def getsockopt(self, level, option, length=None):
        """Tell whether the socket listens, the one option that is asked for."""
        return int(self._listening)

    async def bind(self, address) -> None:
        """Take an address."""
        await trio.lowlevel.checkpoint()
        host, port = address[:2]
        self._address = (host, port or self._net.next_port())
        if self.type == socket.SOCK_DGRAM:
            self._net.mailboxes[self._address] = self

    # Connections.

    def listen(self, backlog: int = 0) -> None:
        """Take connections."""
        if self._address in self._net.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        self._listening = True
        self._net.listeners[self._address] = self

    async def accept(self):
        """Return the next connection and where it comes from."""
        sock = await self._next()
        return sock, sock.getpeername()

    async def _next(self):
        """Return what arrived first, waiting for it."""
        while not self._waiting:
            if self.closed:
                raise trio.ClosedResourceError
            self._arrival = trio.Event()
            await self._arrival.wait()
        if self.closed:
            raise trio.ClosedResourceError
        await trio.lowlevel.checkpoint()
        return self._waiting.popleft()

    def put(self, item) -> None:
        """Let something arrive at a listener or a mailbox."""
        self._waiting.append(item)
        self._arrival.set()

    async def connect(self, address) -> None:
        """Connect to an address; hang while a way is cut."""
        net = self._net
        host, port = address[:2]
        await net.travel(self.host, host)
        listener = net.listeners.get((host, port))
        if listener is None:
            await net.travel(host, self.host)
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        there, back = Flow(net, self.host, host), Flow(net, host, self.host)
        there.back, back.back = back, there
        self._address = (self.host, net.next_port())
        with net.at(host):
            other = net.socket()
        other._join(back, there, (host, port), self._address)
        self._join(there, back, self._address, (host, port))
        for flow in (there, back):
            net.nursery.start_soon(flow.carry)
        listener.put(other)
        await net.travel(host, self.host)

    def _join(self, outgoing: Flow, incoming: Flow, own, peer) -> None:
        """Become one end of a connection."""
        self._outgoing, self._incoming = outgoing, incoming
        self._address, self._peer = own, peer

    async def send(self, data, flags: int = 0) -> int:
        """Send bytes, waiting while the other side does not read."""
        await trio.lowlevel.checkpoint()
        while self._outgoing.full and not (self.closed or self._incoming.broken):
            await self._wait(self._outgoing)
        if self.closed:
            raise _closed()
        if self._incoming.broken:
            raise BrokenPipeError(errno.EPIPE, "reset by the other side")
        self._outgoing.push(bytes(data))
        return len(data)

    async def _wait(self, flow: Flow) -> None:
        """Wait for a change of either direction."""
        changed = flow.changed
        with trio.move_on_after(0.05):
            await changed.wait()

    async def recv(self, count: int, flags: int = 0) -> bytes:
        """Return bytes that have arrived, waiting for some."""
        await trio.lowlevel.checkpoint()
        flow = self._incoming
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if flow.broken:
                raise ConnectionResetError(errno.ECONNRESET, "reset by the other side")
            if flow.arrived:
                data = bytes(flow.arrived[:count])
                del flow.arrived[:count]
                flow.wake()
                return data
            if flow.ended:
                return b""
            await flow.changed.wait()

    def is_readable(self) -> bool:
        """Tell whether reading would not wait."""
        if self.closed:
            raise _closed()
        flow = self._incoming
        return bool(flow.arrived) or flow.ended or flow.broken

    def shutdown(self, how: int) -> None:
        """End the own direction."""
        if self.closed:
            raise _closed()
        self.did_shutdown_SHUT_WR = True
        self._outgoing.push(Mark.END)

    def close(self) -> None:
        """Close; data that was not read resets the connection."""
        if self.closed:
            return
        self.closed = True
        self._net.listeners.pop(self._address, None) if self._listening else None
        if self._net.mailboxes.get(self._address) is self:
            del self._net.mailboxes[self._address]
        self._arrival.set()
        for waiting in self._waiting if self._listening else ():
            waiting.close()
        if self._incoming is not None:
            unread = bool(self._incoming.arrived)
            self._incoming.unread = True
            self._outgoing.push(Mark.RESET if self._resets or unread else Mark.END)
            self._incoming.wake()
            if self._incoming.ended or self._incoming.broken:
                # Nothing more comes that way.
                self._incoming.push(Mark.RESET)

    # Datagrams.

    async def sendto(self, data, address) -> int:
        """Send a datagram."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise _closed()
        if not self._net.loses():
            self._net.nursery.start_soon(self._deliver, bytes(data), tuple(address))
        return len(data)

    async def _deliver(self, data: bytes, address: tuple[str, int]) -> None:
        """Carry one datagram; one that meets a cut way is lost."""
        source, net = self._address, self._net
        if not net.passes(source[0], address[0]):
            return
        await net.travel(source[0], address[0])
        box = net.mailboxes.get(address)
        if box is not None:
            box.put((data, source))

    async def recvfrom(self, count: int):
        """Return the next datagram and its sender."""
        return await self._next()
