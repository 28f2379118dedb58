"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""

from dataclasses import dataclass, field
from enum import Enum

import trio

HOST = "127.0.0.1"
READ_BYTES = 65536
MS = 1000


class Mode(Enum):
    """What the proxy does with the bytes that arrive."""

    PASS = "pass"
    SILENT = "silent"
    NO_WAY_THERE = "no_way_there"
    NO_WAY_BACK = "no_way_back"


@dataclass
class LoopbackProxy:
    """One address in front of another one."""

    target: int
    mode: Mode = Mode.PASS
    delay_ms: int = 0
    port: int = 0
    _links: set[trio.SocketStream] = field(default_factory=set)
    _changed: trio.Event = field(default_factory=trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Pass one connection on until either side ends it."""
        try:
            other = await trio.open_tcp_stream(HOST, self.target)
        except OSError:
            stream.socket.close()
            return
        self._links |= {stream, other}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, stream, other, Mode.NO_WAY_THERE, nursery)
                nursery.start_soon(self._pass, other, stream, Mode.NO_WAY_BACK, nursery)
        finally:
            self._links -= {stream, other}
            stream.socket.close()
            other.socket.close()

    async def _pass(self, source, sink, cut: Mode, nursery: trio.Nursery) -> None:
        """Pass bytes one way."""
        try:
            while data := await source.receive_some(READ_BYTES):
                while self.mode in (Mode.SILENT, cut):
                    await self._changed.wait()
                await trio.sleep(self.delay_ms / MS)
                await sink.send_all(data)
            await sink.send_eof()
            if cut is Mode.NO_WAY_BACK:
                # The answering side is done, and nothing more can be asked of it.
                nursery.cancel_scope.cancel()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to the bytes; those held back go on when it passes again."""
        self.mode = mode
        self._changed.set()
        self._changed = trio.Event()

    def reset(self) -> None:
        """Break all connections."""
        for stream in list(self._links):
            stream.socket.close()
