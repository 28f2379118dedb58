"""A connection to an upstream that another router relays."""

from typing import Any

import trio

from skylarklift.entry.gossip.wire import LENGTH_BYTES

READ_BYTES = 16384
MAX_RELAYED_FRAME_BYTES = 1_048_576


class RelayedStream:
    """The side of the router that has asked for it; `relay` names the router in the middle.

    It has what `HttpConnection` uses of a direct connection.  `receive_some` returns no bytes at
    the end of the upstream's connection, and raises `BrokenResourceError` at that of the relay's.
    """

    def __init__(self, stream: trio.SocketStream, relay: str):
        self._stream = stream
        self.relay = relay
        self.socket = stream.socket
        self._received = bytearray()
        self._left_of_frame = 0
        self._ended = False

    @property
    def holds_input(self) -> bool:
        """Return whether bytes or an end have been received that were not read yet."""
        return self._ended or bool(self._received)

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option of the connection to the relay, which ends the upstream's likewise."""
        self._stream.setsockopt(level, option, value)

    async def send_all(self, data: bytes | memoryview) -> None:
        """Send bytes to the upstream."""
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the next bytes of the upstream, none at the end of its connection."""
        while True:
            data = self._take(max_bytes)
            if data or self._ended:
                return data
            received = await self._stream.receive_some(READ_BYTES)
            if not received:
                raise trio.BrokenResourceError("the relay ended the connection")
            self._received += received

    def _take(self, limit: int) -> bytes:
        """Return what has been received of frames, up to a limit; note the frame that ends all."""
        parts, size = [], 0
        while size < limit and not self._ended:
            if not self._left_of_frame and not self._start_frame():
                break
            part = bytes(self._received[: min(self._left_of_frame, limit - size)])
            if not part:
                break
            del self._received[: len(part)]
            self._left_of_frame -= len(part)
            size += len(part)
            parts.append(part)
        return b"".join(parts)

    def _start_frame(self) -> bool:
        """Read the length of the next frame; return whether it holds bytes."""
        if len(self._received) < LENGTH_BYTES:
            return False
        length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
        if length > MAX_RELAYED_FRAME_BYTES:
            raise trio.BrokenResourceError(f"a frame of {length} bytes from the relay")
        del self._received[:LENGTH_BYTES]
        self._left_of_frame = length
        self._ended = length == 0
        return not self._ended
