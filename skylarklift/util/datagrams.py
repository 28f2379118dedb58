"""Receive datagrams, and tell how long each had waited to be read."""

import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from skylarklift.clock import MS_PER_SECOND

# Linux' SO_TIMESTAMPNS for a timespec of two longs, which Python does not name.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("@ll")
CONTROL_BYTES = 64
NS_PER_S = 1_000_000_000
# The two clocks are read one after the other, and a process may be interrupted in between.
CLOCK_TOLERANCE_S = 0.005


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram, its sender, and the milliseconds from its arrival until it was read."""

    data: bytes
    host: str
    port: int
    waited_ms: int = 0


@dataclass(frozen=True, slots=True)
class Moment:
    """A moment by the monotonic clock and by the time of day, in seconds."""

    monotonic: float
    time_of_day: float

    def offset(self) -> float:
        """Return the difference of the clocks, which changes when the time of day is set."""
        return self.time_of_day - self.monotonic


def read_clocks() -> Moment:
    """Return the current moment."""
    return Moment(time.monotonic(), time.time())


class DatagramReceiver:
    """Receive the datagrams of one socket.

    The system records arrivals by the time of day, which may be set before a datagram is read.
    Then it counts as arrived when the socket was last found empty: it came later than that.
    """

    def __init__(self, sock: trio.socket.SocketType, clocks: Callable[[], Moment] = read_clocks):
        self._socket = sock
        self._clocks = clocks
        self._empty_at = clocks()
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        except OSError:
            # Then all count as read when they arrive.
            return

    async def receive(self, limit: int) -> Datagram:
        """Return the next datagram of at most `limit` bytes."""
        now = self._clocks()
        if not self._socket.is_readable():
            self._empty_at = now
        data, control, _, (host, port) = await self._socket.recvmsg(limit, CONTROL_BYTES)
        return Datagram(data, host, port, self._waited_ms(control))

    def _waited_ms(self, control: list[tuple[int, int, bytes]]) -> int:
        """Return how long a datagram had waited, by its control messages."""
        recorded_at = _recorded_arrival(control)
        if recorded_at is None:
            return 0
        now = self._clocks()
        waited_s = now.time_of_day - recorded_at
        longest_s = now.monotonic - self._empty_at.monotonic
        was_set = abs(now.offset() - self._empty_at.offset()) > CLOCK_TOLERANCE_S
        if was_set or waited_s < -CLOCK_TOLERANCE_S:
            return int(longest_s * MS_PER_SECOND)
        return int(min(max(0.0, waited_s), longest_s) * MS_PER_SECOND)


def _recorded_arrival(control: list[tuple[int, int, bytes]]) -> float | None:
    """Return the time of day of a datagram's arrival in seconds, `None` if it was not recorded."""
    for level, kind, value in control:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(value) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(value)
            return seconds + nanoseconds / NS_PER_S
    return None
