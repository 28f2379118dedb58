"""Receive datagrams, and tell how long each had waited to be read."""

import socket
import struct
import time
from dataclasses import dataclass

import trio

from skylarklift.clock import MS_PER_SECOND

# Linux' SO_TIMESTAMPNS for a timespec of two longs, which Python does not name.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("@ll")
CONTROL_BYTES = 64
NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram, its sender, and the milliseconds from its arrival until it was read."""

    data: bytes
    host: str
    port: int
    waited_ms: int = 0


def record_arrivals(sock: trio.socket.SocketType) -> None:
    """Let the system record when datagrams arrive, where it can."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    except OSError:
        # Then all count as read when they arrive.
        return


async def receive_datagram(sock: trio.socket.SocketType, limit: int) -> Datagram:
    """Return the next datagram of at most `limit` bytes."""
    data, control, _, (host, port) = await sock.recvmsg(limit, CONTROL_BYTES)
    return Datagram(data, host, port, _waited_ms(control))


def _waited_ms(control: list[tuple[int, int, bytes]]) -> int:
    """Return how long a datagram had waited, by its control messages.

    Both moments are of the time of day: if that is set back in between, the result is 0.
    """
    for level, kind, value in control:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(value) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(value)
            arrived_at = seconds + nanoseconds / NS_PER_S
            return max(0, int((time.time() - arrived_at) * MS_PER_SECOND))
    return 0
