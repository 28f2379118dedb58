"""A replica that answers each request with bytes of the test's choice, valid HTTP or not."""

from dataclasses import dataclass

import trio

from standins.replica import STATUS_PATH
from standins.request_heads import receive_head

NO_STATUS = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-replica-signature: s\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
EVENT_STREAM = b"content-type: text/event-stream\r\n"
FILLER_BYTES = 65536


@dataclass(frozen=True)
class Script:
    """The bytes of an answer: an opening, then a part that is repeated.

    `%s` in the opening stands for the request's id.  Without `repeats` the part is sent until
    the router closes the connection.
    """

    opening: bytes
    part: bytes
    pace_ms: int = 2
    repeats: int | None = None
    ending: bytes = b""


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


FILLER = b"a" * FILLER_BYTES
ENDLESS = {
    "head line": Script(b"HTTP/1.1 200 OK\r\nx-a: ", FILLER),
    "head": Script(b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n" * 1000),
    "status line": Script(b"HTTP/1.1 200 ", FILLER),
    "bytes that are not HTTP": Script(b"", FILLER),
    "interim responses": Script(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "body of another request": Script(
        b"HTTP/1.1 200 OK\r\nx-attempt-id: other\r\n" + CHUNKED, chunk(FILLER)
    ),
    "chunk header": Script(ANSWER_HEAD + CHUNKED, b"0" * FILLER_BYTES),
    "trailer": Script(ANSWER_HEAD + CHUNKED + b"0\r\n", b"x-a: b\r\n" * 1000),
    "event": Script(ANSWER_HEAD + EVENT_STREAM + CHUNKED, chunk(FILLER)),
    "lines of one event": Script(
        ANSWER_HEAD + EVENT_STREAM + CHUNKED, chunk(b"data: a\n" * (FILLER_BYTES // 8))
    ),
    "event of small chunks": Script(ANSWER_HEAD + EVENT_STREAM + CHUNKED, chunk(b"aaaa") * 8000),
    "body without a length": Script(ANSWER_HEAD + b"\r\n", FILLER),
    "body of small chunks": Script(ANSWER_HEAD + CHUNKED, chunk(b"aaaa") * 8000),
}

EVENTS = b"".join(chunk(b"id: %d\ndata: e-%d\n\n" % (number, number)) for number in (1, 2))
DRIPS = {
    "a byte of an event": Script(
        ANSWER_HEAD + EVENT_STREAM + CHUNKED + EVENTS, chunk(b"a"), pace_ms=100
    ),
    "a comment": Script(
        ANSWER_HEAD + EVENT_STREAM + CHUNKED + EVENTS, chunk(b": wait\n\n"), pace_ms=100
    ),
    "an interim response": Script(b"", b"HTTP/1.1 102 Processing\r\n\r\n", pace_ms=1000),
}
PARTS = 20
SLOW_BODIES = {
    "with a length": Script(
        ANSWER_HEAD + b"content-length: %d\r\n\r\n" % (PARTS * 1024), b"a" * 1024, 200, PARTS
    ),
    "in chunks": Script(ANSWER_HEAD + CHUNKED, chunk(b"a" * 1024), 200, PARTS, ending=b"0\r\n\r\n"),
    "without a length": Script(ANSWER_HEAD + b"\r\n", b"a" * 1024, 200, PARTS),
}
BROKEN_STREAM = Script(
    ANSWER_HEAD + EVENT_STREAM + CHUNKED + EVENTS, b"", pace_ms=50, repeats=2, ending=b"5\r\nid"
)


class RawReplica:
    """Answer each connection's first request by a script, and record how that ended.

    `closed_after_ms` is the time from the request until the router closed the connection,
    `None` before.
    """

    def __init__(self, script: Script):
        self.script = script
        self.requests = 0
        self.bytes_sent = 0
        self.closed_after_ms: float | None = None
        self._closed = trio.Event()

    async def wait_closed(self, span_ms: float) -> None:
        """Wait until the router has closed a connection, at most this long."""
        with trio.move_on_after(span_ms / 1000):
            await self._closed.wait()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            request = await self._read_request(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The router has only asked for the status, and closed the connection.
            request = b""
        if not request:
            stream.socket.close()
            return
        self.requests += 1
        started = trio.current_time()
        try:
            await self._answer(stream, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The router closed the connection, which is what the tests wait for.
            self.closed_after_ms = (trio.current_time() - started) * 1000
            self._closed.set()
        finally:
            stream.socket.close()

    async def _read_request(self, stream: trio.SocketStream) -> bytes:
        """Return the head of the first request that does not ask for the status."""
        request = await receive_head(stream)
        while request.startswith(b"GET " + STATUS_PATH):
            await stream.send_all(NO_STATUS)
            request = await receive_head(stream)
        return request

    async def _answer(self, stream: trio.SocketStream, request: bytes) -> None:
        """Send the script's bytes; raise when the router has closed the connection."""
        lines = request.split(b"\r\n")
        ids = [line[14:] for line in lines if line.lower().startswith(b"x-attempt-id: ")]
        script = self.script
        await self._send(stream, script.opening.replace(b"%s", ids[0]))
        sent = 0
        while script.repeats is None or sent < script.repeats:
            await self._send(stream, script.part)
            sent += 1
            await trio.sleep(script.pace_ms / 1000)
        await self._send(stream, script.ending)

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        """Send bytes and count them."""
        await stream.send_all(data)
        self.bytes_sent += len(data)
