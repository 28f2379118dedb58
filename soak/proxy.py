"""A loopback TCP proxy that delays, resets or holds back traffic, in one or both directions."""

import socket
from dataclasses import dataclass, field
from enum import Enum

import trio

from skylarklift.entry.requests.http_connection import RESET_ON_CLOSE

HOST = "127.0.0.1"
READ_BYTES = 65536
MS_PER_SECOND = 1000


class Mode(Enum):
    """Which directions the proxy forwards; it holds back the data of the others."""

    FORWARD = "forward"
    HOLD_BOTH = "hold_both"
    HOLD_TO_TARGET = "hold_to_target"
    HOLD_FROM_TARGET = "hold_from_target"


@dataclass
class LoopbackProxy:
    """A proxy in front of the port `target`.

    With `passes_resets`, a connection that one side resets is reset on the other one too, and so is
    one that the target refuses.
    """

    target: int
    mode: Mode = Mode.FORWARD
    delay_ms: int = 0
    port: int = 0
    passes_resets: bool = False
    _connections: set[trio.SocketStream] = field(default_factory=set)
    _frozen: set[trio.SocketStream] = field(default_factory=set)
    _changed: trio.Event = field(default_factory=trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Forward one connection until either side ends it."""
        try:
            other = await trio.open_tcp_stream(HOST, self.target)
        except OSError:
            if self.passes_resets:
                _reset_on_close(stream)
            stream.socket.close()
            return
        self._connections |= {stream, other}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, stream, other, Mode.HOLD_TO_TARGET, nursery)
                nursery.start_soon(self._forward, other, stream, Mode.HOLD_FROM_TARGET, nursery)
        finally:
            self._connections -= {stream, other}
            self._frozen -= {stream, other}
            stream.socket.close()
            other.socket.close()

    async def _forward(self, source, sink, cut_mode: Mode, nursery: trio.Nursery) -> None:
        """Forward one direction; `cut_mode` is the mode that holds it back."""
        try:
            while data := await source.receive_some(READ_BYTES):
                while self._holds(source, cut_mode):
                    await self._changed.wait()
                await trio.sleep(self.delay_ms / MS_PER_SECOND)
                await sink.send_all(data)
            await self._wait_thawed(source)
            await sink.send_eof()
            if cut_mode is Mode.HOLD_FROM_TARGET:
                # The server has ended its direction, so it accepts no further requests.
                nursery.cancel_scope.cancel()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await self._wait_thawed(source)
            if self.passes_resets:
                _reset_on_close(source)
                _reset_on_close(sink)
            nursery.cancel_scope.cancel()

    def _holds(self, source: trio.SocketStream, cut_mode: Mode) -> bool:
        """Return whether the data of one direction of a connection is held back."""
        return self.mode in (Mode.HOLD_BOTH, cut_mode) or source in self._frozen

    async def _wait_thawed(self, source: trio.SocketStream) -> None:
        """Wait while a connection is frozen, so that its end does not get through either."""
        while source in self._frozen:
            await self._changed.wait()

    def set_mode(self, mode: Mode) -> None:
        """Set the mode; data that was held back is sent once its direction is forwarded again."""
        self.mode = mode
        self._notify()

    def freeze(self) -> None:
        """Hold back both directions of the open connections; new ones are forwarded."""
        self._frozen |= self._connections

    def thaw(self) -> None:
        """Send what the frozen connections held back."""
        self._frozen.clear()
        self._notify()

    def _notify(self) -> None:
        """Let all connections see what has changed."""
        self._changed.set()
        self._changed = trio.Event()

    def carries(self, port: int) -> bool:
        """Return whether one of the proxy's open connections has a local port."""
        streams = (stream for stream in self._connections if stream.socket.fileno() >= 0)
        return any(stream.socket.getsockname()[1] == port for stream in streams)

    def break_off(self) -> None:
        """Reset all connections on both sides."""
        for stream in list(self._connections):
            _reset_on_close(stream)
            stream.socket.close()

    def reset(self) -> None:
        """Close all connections."""
        for stream in list(self._connections):
            stream.socket.close()


def _reset_on_close(stream: trio.SocketStream) -> None:
    """Make closing a connection reset it, unless it is closed already."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
