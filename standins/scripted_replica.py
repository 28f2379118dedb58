"""A replica that answers each request of a connection with bytes that a test chooses."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from skylarklift.entry.requests.http_connection import RESET_ON_CLOSE
from standins.raw_replica import NO_STATUS
from standins.replica import STATUS_PATH
from standins.request_heads import HEAD_END, READ_BYTES, receive_head

SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-replica-signature: s\r\n"
EVENT_STREAM = b"content-type: text/event-stream\r\n"
EVENTS = b"".join(b"id: %d\ndata: e-%d\n\n" % (number, number) for number in range(1, 7))
TWO_EVENTS = b"id: 1\ndata: e-1\n\nid: 2\ndata: e-2\n\n"


class Ending(Enum):
    """What a replica does after the bytes of an answer."""

    KEEP = "keep the connection"
    CLOSE = "close the connection"
    RESET = "reset the connection"
    CRASH = "crash"
    CRASH_REFUSE_SOON = "crash, and refuse connections 5 ms later"
    CRASH_REFUSE_LATE = "crash, and refuse connections 50 ms later"
    CRASH_RESTARTED = "crash, and accept connections as before"


# How long after the connections of a process that crashes its listener closes.
REFUSE_DELAYS_MS = {
    Ending.CRASH: 0,
    Ending.CRASH_REFUSE_SOON: 5,
    Ending.CRASH_REFUSE_LATE: 50,
    Ending.CRASH_RESTARTED: None,
}


@dataclass(frozen=True, slots=True)
class Reply:
    """The bytes of an answer, in which `%s` stands for the request's id, and what follows."""

    data: bytes
    ending: Ending = Ending.KEEP


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the replica received it; `number` counts those of its connection, from 0."""

    request_id: str
    last_event: str
    number: int
    target: bytes = b""


@dataclass
class ScriptedReplica:
    """Answer by a function of the request; `ran` holds the ids of the requests that it ran.

    `born` is when its process started, `None` if it does not say so; with `hides_status` it does
    not answer when it is asked, and with `status` it answers that.  It does so `status_late_ms`
    later.  After a crash it is `restarted_born`, if that is set.  From the end of an answer on it
    answers nothing for `silent_ms`, although it accepts connections.  `accepted` counts its
    connections.
    """

    answer: Callable[[ReceivedRequest], Reply]
    on_crash: Callable[[], None] | None = None
    received: list[ReceivedRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    connections: set[trio.SocketStream] = field(default_factory=set)
    born: int | None = None
    hides_status: bool = False
    status: bytes | None = None
    status_late_ms: int = 0
    restarted_born: int | None = None
    silent_ms: int = 0
    silent_until: float = 0.0
    accepted: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections.add(stream)
        self.accepted += 1
        number = 0
        buffer = b""
        try:
            while True:
                request, buffer = await self._read_request(stream, buffer, number)
                if request is None:
                    return
                await trio.sleep_until(self.silent_until)
                if request.target == STATUS_PATH and self.hides_status:
                    await trio.sleep_forever()
                if request.target == STATUS_PATH:
                    await trio.sleep(self.status_late_ms / 1000)
                    await stream.send_all(self._status())
                    continue
                self.received.append(request)
                reply = self.answer(request)
                await stream.send_all(reply.data.replace(b"%s", request.request_id.encode()))
                if reply.ending is not Ending.KEEP:
                    await self._end(stream, reply.ending)
                    return
                number += 1
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The router closed the connection, or this replica crashed.
            return
        finally:
            self.connections.discard(stream)
            stream.socket.close()

    def _status(self) -> bytes:
        """Return the answer to a question about the process."""
        if self.status is not None:
            return self.status
        if self.born is None:
            return NO_STATUS
        return framed(b"HTTP/1.1 200 OK\r\n", b'{"born":%d}' % self.born)

    async def _end(self, stream: trio.SocketStream, ending: Ending) -> None:
        """End the connection, once what was sent may have arrived."""
        await trio.sleep(0.05)
        self.silent_until = trio.current_time() + self.silent_ms / 1000
        if ending in REFUSE_DELAYS_MS:
            await self._crash(REFUSE_DELAYS_MS[ending])
        if ending is Ending.RESET:
            stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)

    async def _crash(self, refuse_after_ms: int | None) -> None:
        """Close all connections in order, and the listener as long after as is given."""
        self.born = self.restarted_born or self.born
        if refuse_after_ms == 0 and self.on_crash is not None:
            self.on_crash()
        for stream in list(self.connections):
            stream.socket.close()
        if refuse_after_ms and self.on_crash is not None:
            await trio.sleep(refuse_after_ms / 1000)
            self.on_crash()

    async def _read_request(
        self, stream: trio.SocketStream, buffer: bytes, number: int
    ) -> tuple[ReceivedRequest | None, bytes]:
        """Return the next request, `None` at the end of the connection, and the bytes after it."""
        buffer = await receive_head(stream, buffer)
        if not buffer:
            return None, b""
        head, _, rest = buffer.partition(HEAD_END)
        fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
        length = int(fields.get(b"content-length", b"0"))
        while len(rest) < length:
            rest += await stream.receive_some(READ_BYTES)
        request = ReceivedRequest(
            fields.get(b"x-attempt-id", b"").decode(),
            fields.get(b"last-event-id", b"").decode(),
            number,
            head.split(b" ", 2)[1],
        )
        return request, rest[length:]


def chunked(data: bytes, *, whole: bool = True) -> bytes:
    """Return data as a chunked body, with its last chunk if it is `whole`."""
    return b"%x\r\n%s\r\n" % (len(data), data) + (b"0\r\n\r\n" if whole else b"")


def framed(head: bytes, body: bytes) -> bytes:
    """Return an answer whose head declares the length of its body."""
    return head + b"content-length: %d\r\n\r\n" % len(body) + body
