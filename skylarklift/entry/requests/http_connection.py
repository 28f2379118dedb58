"""The client side of HTTP/1.1: one connection, one request at a time."""

import errno
import socket
import struct

import h11
import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.model import Headers, ProcessStart
from skylarklift.entry.relays.relayed_stream import RelayedStream
from skylarklift.errors import (
    ConnectFailed,
    ConnectTimeout,
    LocalShortage,
    ResponseBroken,
    ResponseInvalid,
    TransportError,
)
from skylarklift.util.listening import SHORTAGE_ERRORS

READ_BYTES = 16384
# No local port is free for a connection, or see there.
LOCAL_CONNECT_ERRORS = SHORTAGE_ERRORS | {errno.EADDRNOTAVAIL}
# A request of up to this size is sent before its response is read.  The rest of a longer one is
# sent while the response is read, since a response may arrive before the whole body is sent.
MAX_FIRST_WRITE_BYTES = 16384
# Responses read for one request, including those that belong to other requests.
MAX_RESPONSES_READ = 3
# Limit on the body of a response that belongs to another request.
MAX_SKIPPED_BYTES = 65536
# Limit on the interim (1xx) responses before one response.
MAX_INTERIM_RESPONSES = 8
# SO_LINGER with a time-out of 0: closing discards unsent data and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# SO_LINGER off: unsent data is still sent, then the end of the connection.
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
# A part of a body, such as a chunk, counts at least this much towards a limit on the body, since
# each costs time however small it is.
MIN_PART_BYTES = 512
# After this many parts that arrived together, other tasks get a turn.
MAX_PARTS_PER_TURN = 64
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")
# Statuses whose responses have no body.
NO_BODY_STATUSES = (204, 304)
BODY_METHODS = (b"POST", b"PUT", b"PATCH")


# A connection that this process has made itself, or one that another router relays.
UpstreamStream = trio.SocketStream | RelayedStream


async def connect(host: str, port: int, timeout_ms: int) -> trio.SocketStream:
    """Return a connection to an IPv4 address; raise `ConnectFailed`."""
    try:
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
    except OSError as exc:
        raise _connect_error(host, port, exc) from exc
    try:
        with trio.fail_after(timeout_ms / MS_PER_SECOND):
            await sock.connect((host, port))
    except (OSError, trio.TooSlowError) as exc:
        sock.close()
        raise _connect_error(host, port, exc) from exc
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def _connect_error(host: str, port: int, exc: OSError | trio.TooSlowError) -> ConnectFailed:
    """Return the error for a connection that failed: only some failures are the other side's."""
    kind = ConnectTimeout
    if isinstance(exc, OSError):
        kind = LocalShortage if exc.errno in LOCAL_CONNECT_ERRORS else ConnectFailed
    return kind(f"{host}:{port}: {type(exc).__name__} {exc}")


class HttpConnection:
    """A connection to an upstream, to the store, or to a router's metrics address."""

    def __init__(self, stream: UpstreamStream, authority: str):
        # When the connection was made, if it is one of a pool.
        self.connected_at = Millis(0)
        # What the process behind it has said of itself, `None` if it was not asked.
        self.process: ProcessStart | None = None
        self._stream = stream
        self._authority = authority.encode("ascii")
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._unsent = memoryview(b"")
        self._must_close = False
        # Whether a write failed, or a write of a long body did not come to its end.
        self._write_failed = False
        self._body_cut = False
        self._eof_received = False
        self._peeked: h11.Event | None = None
        # Whether only the end of the connection ends the current response.
        self.ends_with_connection = False
        # Whether it ended by a reset, in place of the other side's orderly end.
        self.was_reset = False
        # Whether an earlier request was sent on the connection.
        self.reused = False
        # The bytes of the current response's body that count towards a limit.
        self.counted_bytes = 0

    @property
    def relay(self) -> str | None:
        """Return the router that relays the connection, `None` for a direct one."""
        return self._stream.relay if isinstance(self._stream, RelayedStream) else None

    async def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a request, up to `MAX_FIRST_WRITE_BYTES`; `send_remaining_body` sends the rest."""
        framed = list(headers)
        if not any(name == b"host" for name, _ in framed):
            framed.insert(0, (b"host", self._authority))
        if body or method in BODY_METHODS:
            framed.append((b"content-length", b"%d" % len(body)))
        self._request = h11.Request(method=method, target=target, headers=framed)
        head = self._http.send(self._request)
        if body:
            # A request with a length is sent as it is, so that the body need not be copied.
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self._unsent = memoryview(body)[MAX_FIRST_WRITE_BYTES:]
        await self._write(head + body[:MAX_FIRST_WRITE_BYTES])

    async def send_remaining_body(self) -> None:
        """Send what `send` left of a long body."""
        rest, self._unsent = self._unsent, memoryview(b"")
        if not rest:
            return
        # Stays set if the write fails or is cancelled.
        self._body_cut = True
        await self._write(rest)
        self._body_cut = self._write_failed

    @property
    def has_unsent_body(self) -> bool:
        """Return whether a part of the body is still to be sent."""
        return bool(self._unsent)

    async def _write(self, data: bytes | memoryview) -> None:
        """Write bytes; do not raise if the other side has closed the connection.

        It may have sent a response before it closed, so only reading shows whether the request
        failed.  A failed write takes the socket's pending error, so a reset is then read as an
        orderly end.
        """
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._must_close = self._write_failed = True

    async def read_head(self) -> tuple[int, Headers]:
        """Return status and header fields of the response; skip a few interim responses."""
        self.counted_bytes = 0
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                self.ends_with_connection = not any(
                    name in FRAMING_FIELDS for name, _ in event.headers
                )
                return event.status_code, list(event.headers)
            raise ResponseBroken("connection closed before the response")
        self._must_close = True
        raise ResponseInvalid(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, or `None` at its end.

        These are the parts that have arrived, up to `MAX_PARTS_PER_TURN` of them.
        """
        event = await self._next_event()
        parts = []
        while isinstance(event, h11.Data):
            self._peeked = None
            parts.append(bytes(event.data))
            self.counted_bytes += max(len(event.data), MIN_PART_BYTES)
            if len(parts) >= MAX_PARTS_PER_TURN:
                await trio.lowlevel.checkpoint()
                return b"".join(parts)
            event = self._peek_event()
        if parts:
            return b"".join(parts)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ResponseBroken("connection closed within the response's body")

    async def read_all(self, limit: int) -> bytes:
        """Return the whole body; raise `ResponseInvalid` if it counts more than `limit` bytes."""
        parts = []
        while (data := await self.read_body()) is not None:
            if self.counted_bytes > limit:
                raise ResponseInvalid(f"response body exceeds {limit} bytes")
            parts.append(data)
        return b"".join(parts)

    async def skip_response(self) -> None:
        """Read the rest of a response to another request, and prepare to read the next response."""
        await self.read_all(MAX_SKIPPED_BYTES)
        if self._http.their_state is not h11.DONE:
            raise ResponseBroken("connection closed after a response to another request")
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        # The new parser must know the request to parse its response.  It is not sent again.
        self._http.send(self._request)
        if rest:
            self._http.receive_data(rest)

    async def _next_event(self) -> h11.Event:
        """Return the next protocol event, reading from the connection as needed."""
        while True:
            event, self._peeked = self._peeked or self._parse_event(), None
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    def _peek_event(self) -> h11.Event | None:
        """Return the event that `_next_event` will return, if it has arrived.

        An event that cannot be parsed is left for `_next_event`, which then fails.
        """
        try:
            event = self._parse_event()
        except TransportError:
            # The parser keeps its error state and raises it again.
            return None
        self._peeked = None if event is h11.NEED_DATA else event
        return self._peeked

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return the next event of what has arrived; raise `TransportError`."""
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            self._must_close = True
            kind = ResponseBroken if self._eof_received else ResponseInvalid
            raise kind(str(exc)) from exc

    async def _receive(self) -> None:
        """Read some bytes into the parser."""
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self._must_close = self.was_reset = True
            raise ResponseBroken("connection reset") from exc
        if not data:
            self._eof_received = True
            self._must_close = True
            if self._write_failed and self.ends_with_connection:
                self.was_reset = True
                raise ResponseBroken("connection reset while the request was sent")
        try:
            self._http.receive_data(data)
        except RuntimeError as exc:
            raise ResponseBroken("connection closed by the other side") from exc

    def prepare_next_request(self) -> bool:
        """Reset the parser for the next request; return whether the connection can be reused."""
        if self._must_close or self._body_cut or self._unsent or self._http.trailing_data[0]:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self.reused = True
        return True

    def has_no_input(self) -> bool:
        """Return whether the idle connection has received neither data nor an end of stream."""
        try:
            return not (self._holds_input() or self._stream.socket.is_readable())
        except (OSError, ValueError):
            return False

    def _holds_input(self) -> bool:
        """Return whether a relayed connection has brought more than was read."""
        return isinstance(self._stream, RelayedStream) and self._stream.holds_input

    def abort(self) -> None:
        """Reset the connection, so that what the other side has not read yet is discarded."""
        self._must_close = True
        try:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except (OSError, trio.ClosedResourceError):
            # The connection is closed already.
            return
        self._stream.socket.close()

    def close(self) -> None:
        """Close an idle connection."""
        self._must_close = True
        self._stream.socket.close()
