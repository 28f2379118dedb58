"""The server side of HTTP/1.1: one caller's connection."""

import socket
from dataclasses import dataclass

import h11
import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.model import CallerLimits, Headers
from skylarklift.entry.requests.buffer_budget import BufferShare
from skylarklift.entry.requests.http_connection import (
    CLOSE_IN_ORDER,
    FRAMING_FIELDS,
    NO_BODY_STATUSES,
    RESET_ON_CLOSE,
)
from skylarklift.errors import BadRequest, Refusal, SkylarkError

READ_BYTES = 65536
# A body waits this long for the memory that other requests use.
MAX_BUFFER_WAIT_MS = 1000
BUFFER_POLL_INTERVAL_MS = 20
# The rest of a request that was refused is read and dropped for this long.
DISCARD_MS = 1000
OVERLOADED_RETRY_AFTER_MS = 1000


class CallerDisconnected(SkylarkError):
    """The caller closed or reset its connection within a request or a response."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a caller's request as received."""

    method: bytes
    target: bytes
    headers: Headers


class CallerConnection:
    """A caller's connection, which carries one request and its response at a time.

    `response_complete` is set right before the last bytes of a response are written.
    """

    def __init__(self, stream: trio.SocketStream, header_limit: int):
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_limit)
        self._eof_received = False
        self.response_complete = False
        self.head_sent = False
        self.close_after_response = False

    async def read_head(self, idle_ms: int, head_ms: int) -> RequestHead | None:
        """Return the head of the next request, or `None` if the connection ended or idled out.

        Raise `BadRequest` for a head that is malformed, too large, or too slow.
        """
        return await self.read_begun_head(head_ms) if await self.wait_request(idle_ms) else None

    async def wait_request(self, idle_ms: int) -> bool:
        """Wait for the first bytes of the next request; return whether there are any."""
        self.response_complete = self.head_sent = False
        with trio.move_on_after(idle_ms / MS_PER_SECOND):
            while not self._has_input():
                if not await self._receive():
                    return False
        return self._has_input()

    def _has_input(self) -> bool:
        """Return whether bytes of a request, or the end of the connection, have been read."""
        return self._http.trailing_data != (b"", False)

    def is_quiet(self) -> bool:
        """Return whether nothing has arrived, also nothing that has not been read yet."""
        try:
            return not self._has_input() and not self._stream.socket.is_readable()
        except (OSError, ValueError):
            return False

    async def read_begun_head(self, head_ms: int) -> RequestHead | None:
        """Return the head of a request whose first bytes have come, as `read_head` does."""
        with trio.move_on_after(head_ms / MS_PER_SECOND):
            event = await self._next_event()
            if isinstance(event, h11.Request):
                return self._check_framing(event)
            return None
        raise BadRequest("head_too_slow", f"no complete head within {head_ms} ms", status=408)

    def _check_framing(self, event: h11.Request) -> RequestHead:
        """Return the head of a request; raise `BadRequest` if its body's length is ambiguous."""
        headers = list(event.headers)
        framing = [name for name, _ in headers if name in FRAMING_FIELDS]
        if len(framing) > 1:
            raise BadRequest("ambiguous_framing", "more than one header field gives a body length")
        return RequestHead(event.method, event.target, headers)

    async def read_body(self, limits: CallerLimits, share: BufferShare | None = None) -> bytes:
        """Return the whole body, charged to `share`; raise `RequestError` or `CallerDisconnected`.

        While other requests use up the budget, the rest is not read; after `MAX_BUFFER_WAIT_MS`
        the request is refused.
        """
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._http.send(go_on))
        parts, size = [], 0
        with trio.move_on_after(limits.idle_ms / MS_PER_SECOND):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
                if not isinstance(event, h11.Data):
                    raise CallerDisconnected("connection closed within a request")
                size += len(event.data)
                if size > limits.body_bytes:
                    raise BadRequest("body_too_large", "the body is too large", status=413)
                if share is not None:
                    await _charge(share, size)
                parts.append(bytes(event.data))
        raise BadRequest("body_too_slow", "the request's body took too long", status=408)

    async def _next_event(self) -> h11.Event:
        """Return the next protocol event, reading from the connection as needed."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                if self._eof_received:
                    raise CallerDisconnected("connection closed within a request") from exc
                status = exc.error_status_hint
                raise BadRequest("not_http", str(exc), status=status) from exc
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> bool:
        """Read some bytes into the parser; return whether there were any."""
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerDisconnected("connection reset") from exc
        self._eof_received = not data
        self._http.receive_data(data)
        return bool(data)

    async def wait_disconnected(self) -> None:
        """Return when the caller has closed the connection; keep bytes of its next request.

        Never return once more than `READ_BYTES` of later requests are buffered.
        """
        while not self._eof_received:
            try:
                if len(self._http.trailing_data[0]) > READ_BYTES:
                    return await trio.sleep_forever()
                if not await self._receive():
                    return None
            except CallerDisconnected:
                return None
        return None

    # Responses.

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response; without a content-length, the body has chunked encoding."""
        if self.close_after_response:
            headers = [*headers, (b"connection", b"close")]
        self.head_sent = True
        if self._ends_with_connection():
            self._set_linger(RESET_ON_CLOSE)
        await self._write(self._http.send(h11.Response(status_code=status, headers=headers)))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._http.send(h11.Data(data=data)))

    async def send_end(self) -> None:
        """End the response."""
        self.response_complete = True
        data = self._http.send(h11.EndOfMessage())
        if data:
            await self._write(data)
        if self._ends_with_connection():
            self._set_linger(CLOSE_IN_ORDER)

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write."""
        fields = [*headers, (b"content-length", b"%d" % len(body))]
        if self.close_after_response:
            fields.append((b"connection", b"close"))
        self.head_sent = True
        data = self._http.send(h11.Response(status_code=status, headers=fields))
        if body and status not in NO_BODY_STATUSES:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.response_complete = True
        await self._write(data)

    async def send_error(self, status: int, headers: Headers, code: str) -> None:
        """Respond to an invalid request with an error code, if no response has been started."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self.send_response(status, headers, b'{"error":{"code":"%s"}}' % code.encode())

    async def _write(self, data: bytes) -> None:
        """Write bytes to the caller; raise `CallerDisconnected`."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerDisconnected("connection reset") from exc

    def prepare_next_request(self) -> bool:
        """Reset the parser for the next request; return whether the connection can be reused."""
        if self.close_after_response or not self.response_complete:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Shut down the sending side, so that sent data can arrive, then close the connection."""
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller has disconnected already.
            self._eof_received = True
        self.abort()

    async def close_unread(self) -> None:
        """Close the connection after a response to a request that was not read to its end.

        Closing with unread bytes resets the connection, and the response is lost on its way.
        """
        try:
            await self._stream.send_eof()
            with trio.move_on_after(DISCARD_MS / MS_PER_SECOND):
                while await self._stream.receive_some(READ_BYTES):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller has disconnected already.
            self._eof_received = True
        self.abort()

    def abort(self) -> None:
        """Close the connection immediately; reset it within a response without framing."""
        self._stream.socket.close()

    def _ends_with_connection(self) -> bool:
        """Return whether the caller takes the end of the connection for the end of the body."""
        return self._http.their_http_version in (None, b"1.0")

    def _set_linger(self, linger: bytes) -> None:
        """Set how the connection ends, also when this process is killed.

        Within a response without framing it must not end in order, which would look complete.
        """
        try:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except (OSError, trio.ClosedResourceError):
            # The connection is closed already.
            return


async def _charge(share: BufferShare, size: int) -> None:
    """Charge for a body of which `size` bytes have come; raise `Refusal` if that takes too long."""
    with trio.move_on_after(MAX_BUFFER_WAIT_MS / MS_PER_SECOND):
        while True:
            if share.resize(size):
                return
            await trio.sleep(BUFFER_POLL_INTERVAL_MS / MS_PER_SECOND)
    raise Refusal(
        "memory_used_up",
        "the bodies of other requests use up the memory for them",
        retry_after_ms=OVERLOADED_RETRY_AFTER_MS,
    )
