"""One accepted connection of a replica, on a raw socket, and the requests that come on it."""

import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"
IDLE_POLL_S = 0.05
HEAD_POLL_S = 0.001
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Ending(Enum):
    """How a connection is ended."""

    ORDERLY = "fin"
    RESET = "reset"


class ConnectionEnded(Exception):
    """The connection was ended, by the router or by this replica."""


@dataclass(frozen=True)
class Request:
    """A request that was read, but for its body."""

    method: str
    target: str
    headers: dict[str, str]

    @property
    def attempt(self) -> str:
        """Return the id of the caller's attempt."""
        return self.headers.get("x-attempt-id", "")

    @property
    def body_bytes(self) -> int:
        """Return the size of the body."""
        return int(self.headers.get("content-length", "0"))

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return "x-token-count" in self.headers


@dataclass
class ConnectionCuts:
    """How often a replica was told to end all its connections, and how it is to end them."""

    count: int = 0
    ending: Ending = Ending.ORDERLY


class Wire:
    """One accepted connection."""

    def __init__(self, sock: socket.socket, cuts: ConnectionCuts):
        self._sock = sock
        self._cuts = cuts
        self._cuts_seen = cuts.count
        # How it is ended in place of what is asked for, if set.
        self.cut_ending: Ending | None = None
        self._written: list[bytes] = []
        sock.settimeout(IDLE_POLL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def check_cut(self) -> None:
        """End the connection if the replica was told to end all; raise `ConnectionEnded`."""
        if self._cuts_seen != self._cuts.count:
            self.end(self._cuts.ending)

    def end(self, ending: Ending) -> None:
        """Close the connection and raise `ConnectionEnded`."""
        ending = self.cut_ending or ending
        if ending is Ending.RESET:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()
        raise ConnectionEnded(ending.value)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _receive(self, size: int, flags: int = 0) -> bytes:
        """Return some bytes; raise `ConnectionEnded` if no more come."""
        while True:
            self.check_cut()
            try:
                data = self._sock.recv(size, flags)
            except TimeoutError:
                continue
            if not data:
                raise ConnectionEnded("closed by the router")
            return data

    def read_head(self) -> Request:
        """Read the head of a request, and none of its body."""
        while HEAD_END not in (seen := self._receive(READ_BYTES, socket.MSG_PEEK)):
            time.sleep(HEAD_POLL_S)
        head = self._receive(seen.index(HEAD_END) + len(HEAD_END)).decode("latin-1")
        start, *lines = head.split("\r\n")
        method, target, _ = start.split(" ")
        self._written.clear()
        fields = (line.partition(":") for line in lines if line)
        return Request(method, target, {name.lower(): text.strip() for name, _, text in fields})

    def read_body(self, size: int) -> None:
        """Read and drop a body."""
        while size > 0:
            size -= len(self._receive(min(size, READ_BYTES)))

    def last_answer(self) -> bytes:
        """Return all bytes that were written since the last request."""
        return b"".join(self._written)

    def write(self, data: bytes) -> None:
        """Write bytes, however slowly the router reads them."""
        self._written.append(data)
        rest = memoryview(data)
        while rest:
            self.check_cut()
            try:
                rest = rest[self._sock.send(rest) :]
            except TimeoutError:
                continue
