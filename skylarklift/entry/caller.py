"""Server side of HTTP/1.1: one client's connection."""

from dataclasses import dataclass

import h11
import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.model import CallerLimits, Headers
from skylarklift.errors import BadRequest, SkylarkError

READ_BYTES = 65536
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class CallerGone(SkylarkError):
    """The client closed its connection or does not read."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a client's request as it came."""

    method: bytes
    target: bytes
    headers: Headers


class CallerLink:
    """A client's connection: requests in, answers out, one after the other."""

    def __init__(self, stream: trio.SocketStream, header_limit: int):
        # `answered` is set right before the last bytes of an answer are written.
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_limit)
        self._ended = False
        self.answered = False
        self.head_sent = False
        self.last = False

    async def read_head(self, idle_ms: int, head_ms: int) -> RequestHead | None:
        """Return the next request's head, or `None` when the connection is over.

        Raises `BadRequest` for what is no request, too large, or too slow.
        """
        self.answered = self.head_sent = False
        with trio.move_on_after(idle_ms / MS_PER_SECOND):
            while self._http.trailing_data == (b"", False):
                if not await self._receive():
                    return None
        if self._http.trailing_data == (b"", False):
            return None
        with trio.move_on_after(head_ms / MS_PER_SECOND):
            event = await self._next_event()
            if isinstance(event, h11.Request):
                return self._checked(event)
            return None
        raise BadRequest("head_too_slow", "the request's head took too long", status=408)

    def _checked(self, event: h11.Request) -> RequestHead:
        """Return a request's head unless its framing is ambiguous."""
        headers = list(event.headers)
        framing = [name for name, _ in headers if name in FRAMING_FIELDS]
        if len(framing) > 1:
            raise BadRequest("ambiguous_framing", "more than one length of the body is given")
        return RequestHead(event.method, event.target, headers)

    async def read_body(self, limits: CallerLimits) -> bytes:
        """Return the whole body; raise `BadRequest` or `CallerGone`."""
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
                    raise CallerGone("closed within a request")
                size += len(event.data)
                if size > limits.body_bytes:
                    raise BadRequest("body_too_large", "the body is too large", status=413)
                parts.append(bytes(event.data))
        raise BadRequest("body_too_slow", "the request's body took too long", status=408)

    async def _next_event(self) -> h11.Event:
        """Return the next event, reading as needed."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                if self._ended:
                    raise CallerGone("closed within a request") from exc
                status = exc.error_status_hint
                raise BadRequest("not_http", str(exc), status=status) from exc
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> bool:
        """Read some bytes into the parser; tell whether there were any."""
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerGone("connection reset") from exc
        self._ended = not data
        self._http.receive_data(data)
        return bool(data)

    async def wait_gone(self) -> None:
        """Return when the client has closed; bytes of its next request are kept."""
        while not self._ended:
            try:
                if len(self._http.trailing_data[0]) > READ_BYTES:
                    return await trio.sleep_forever()
                if not await self._receive():
                    return None
            except CallerGone:
                return None
        return None

    # Answers.

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer; without a length its body is sent in chunks."""
        if self.last:
            headers = [*headers, (b"connection", b"close")]
        self.head_sent = True
        await self._write(self._http.send(h11.Response(status_code=status, headers=headers)))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._http.send(h11.Data(data=data)))

    async def send_end(self) -> None:
        """End the answer."""
        self.answered = True
        data = self._http.send(h11.EndOfMessage())
        if data:
            await self._write(data)

    async def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer in one piece."""
        fields = [*headers, (b"content-length", b"%d" % len(body))]
        if self.last:
            fields.append((b"connection", b"close"))
        self.head_sent = True
        data = self._http.send(h11.Response(status_code=status, headers=fields))
        if body and not self._bodiless(status):
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.answered = True
        await self._write(data)

    async def refuse(self, status: int, headers: Headers, code: str) -> None:
        """Answer what could not be read as a request, where an answer is still possible."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self.send_answer(status, headers, b'{"error":{"code":"%s"}}' % code.encode())

    def _bodiless(self, status: int) -> bool:
        """Tell whether an answer of this status has no body."""
        return status in (204, 304)

    async def _write(self, data: bytes) -> None:
        """Write bytes to the client."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerGone("connection reset") from exc

    def next_request(self) -> bool:
        """Get ready for the next request; tell whether the connection can carry one."""
        if self.last or not self.answered:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close after what was sent has a chance to arrive."""
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The client is gone already; there is nothing to say to it.
            self._ended = True
        self.abort()

    def abort(self) -> None:
        """Close at once."""
        self._stream.socket.close()
