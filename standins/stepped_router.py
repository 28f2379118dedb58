"""Start an entry router whose time of day a test can step, as on a machine whose clock is set.

A file beside its settings, with the suffix ``.clock``, lists the steps, as a JSON array of pairs of
the time of day at which each takes force and its nanoseconds.  The kernel stamps datagrams by the
same clock, so their stamps are shifted by the steps that were in force as they arrived.

Usage: python standins/stepped_router.py MODULE, in the folder of the router's build
"""

import json
import os
import runpy
import socket
import struct
import sys
import time
from pathlib import Path

CLOCK_SUFFIX = ".clock"
PATH_VARIABLE = "SKYLARKLIFT_NODE_FILE"
NS_PER_S = 1_000_000_000
# Linux' SO_TIMESTAMPNS for a timespec of two longs, which Python does not name.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("@ll")


class SteppedClock:
    """The time of day of this process; the file of its steps is read again when it changes."""

    def __init__(self, path: Path):
        self._path = path
        self._read_at = 0
        self._steps: list[tuple[int, int]] = []
        self._true_ns = time.time_ns

    def time(self) -> float:
        """Return the time of day in seconds."""
        return self.time_ns() / NS_PER_S

    def time_ns(self) -> int:
        """Return the time of day in nanoseconds."""
        return self.shift(self._true_ns())

    def shift(self, true_ns: int) -> int:
        """Return what this clock showed at a true time of day."""
        self._read_changes()
        return true_ns + sum(step for at, step in self._steps if at <= true_ns)

    def shift_stamps(self, control: list[tuple[int, int, bytes]]) -> list[tuple[int, int, bytes]]:
        """Return the control messages of a datagram, with its arrival by this clock."""
        return [
            (level, kind, self._shift_stamp(value) if is_stamp(level, kind, value) else value)
            for level, kind, value in control
        ]

    def _shift_stamp(self, value: bytes) -> bytes:
        """Return the stamp of a datagram by this clock."""
        seconds, nanoseconds = TIMESPEC.unpack(value)
        return TIMESPEC.pack(*divmod(self.shift(seconds * NS_PER_S + nanoseconds), NS_PER_S))

    def _read_changes(self) -> None:
        """Read the file if it has changed."""
        if not self._path.exists():
            return
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._read_at:
            self._steps = [tuple(pair) for pair in json.loads(self._path.read_text())]
            self._read_at = changed_at


def is_stamp(level: int, kind: int, value: bytes) -> bool:
    """Return whether a control message tells when a datagram arrived."""
    return (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(value) == TIMESPEC.size


def install(clock: SteppedClock) -> None:
    """Let this process tell the time of day by a clock; the event loop is not imported yet."""
    time.time, time.time_ns = clock.time, clock.time_ns
    receive = socket.socket.recvmsg

    def receive_shifted(self: socket.socket, *arguments):
        data, control, flags, address = receive(self, *arguments)
        return data, clock.shift_stamps(control), flags, address

    socket.socket.recvmsg = receive_shifted


if __name__ == "__main__":
    # The build's programs, in place of those beside this file.
    sys.path[0] = os.getcwd()
    install(SteppedClock(Path(os.environ[PATH_VARIABLE]).with_suffix(CLOCK_SUFFIX)))
    runpy.run_module(sys.argv.pop(1), run_name="__main__", alter_sys=True)
