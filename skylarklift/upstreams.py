"""Talk to the back ends over HTTP: model engines and plain services.

A streamed answer is forwarded as it came.  Of each event only the id line is read
(the offset, as Server-Sent Events define it) and whether it carries the request's
own id; the JSON inside is never parsed.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

import httpx
import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.errors import SkylarkError
from skylarklift.ids import RequestId

CONNECT_TIMEOUT_MS = 1000
IDLE_TIMEOUT_MS = 30_000
REPORT_TIMEOUT_MS = 1000
# Shorter than the servers' own limit, so that no request meets a closing connection.
KEEPALIVE_S = 2
EVENT_END = b"\n\n"
ID_MARK = b"id: "
LAST_EVENT = b"data: [DONE]"
REQUEST_ID_HEADER = "X-Request-Id"
RESUME_HEADER = "Last-Event-ID"
BUSY_STATUSES = (429, 503)


class FailureKind(Enum):
    """How an upstream failed."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    BROKEN = "broken"
    CROSSED = "crossed"


class UpstreamError(SkylarkError):
    """An upstream that did not give the whole answer.

    `sent` tells whether any byte of the request may have reached it.
    """

    def __init__(self, kind: FailureKind, text: str, *, sent: bool):
        super().__init__(text)
        self.kind = kind
        self.sent = sent


@dataclass(frozen=True)
class LoadReport:
    """An engine's load as it was `age_ms` ago."""

    running: int
    boot: str
    age_ms: int


@dataclass(frozen=True)
class WholeAnswer:
    """A complete answer of an upstream."""

    status: int
    content_type: str
    body: bytes


class EventReader:
    """Cut a stream into whole events and check the order of their offsets.

    Events up to `offset` were forwarded before and are dropped, which makes a
    resumed stream safe against an engine that repeats some.
    """

    def __init__(self, request_id: RequestId, offset: int):
        self._mark = f"chatcmpl-{request_id}".encode()
        self._buffer = b""
        self.offset = offset
        self.repeated = 0
        self.numbered = False
        self.finished = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole new events of the data, to be forwarded as they are."""
        self._buffer += data
        cut = self._buffer.rfind(EVENT_END)
        if cut < 0:
            return b""
        whole, self._buffer = self._buffer[: cut + 2], self._buffer[cut + 2 :]
        kept = [event for event in whole.split(EVENT_END) if event and self._accept(event)]
        return b"".join(event + EVENT_END for event in kept)

    def _accept(self, event: bytes) -> bool:
        """Check one event; tell whether to forward it."""
        if event.startswith(LAST_EVENT):
            self.finished = True
            return True
        if self._mark not in event:
            raise UpstreamError(FailureKind.CROSSED, "an event of another request", sent=True)
        if not event.startswith(ID_MARK):
            return True
        return self._accept_offset(int(event[len(ID_MARK) : event.index(b"\n")]))

    def _accept_offset(self, offset: int) -> bool:
        """Check that an offset follows on the last one; tell whether it is new."""
        self.numbered = True
        if offset <= self.offset:
            self.repeated += 1
            return False
        if offset != self.offset + 1:
            text = f"offset {offset} after {self.offset}"
            raise UpstreamError(FailureKind.BROKEN, text, sent=True)
        self.offset = offset
        return True


class UpstreamClient:
    """The connections of one router to all upstreams."""

    def __init__(self):
        # The transport is used without a client, which would add headers of its own, ask
        # for compression that is not undone here, and cost a third more.
        timeout = httpx.Timeout(
            IDLE_TIMEOUT_MS / MS_PER_SECOND, connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND, pool=None
        )
        self._extensions = {"timeout": timeout.as_dict()}
        limits = httpx.Limits(
            max_connections=None, max_keepalive_connections=256, keepalive_expiry=KEEPALIVE_S
        )
        self._transport = httpx.AsyncHTTPTransport(limits=limits)

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    async def open(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> httpx.Response:
        """Send a request and return once the head of the answer is there."""
        request = httpx.Request(
            method, url, headers=headers, content=body, extensions=self._extensions
        )
        try:
            return await self._transport.handle_async_request(request)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise UpstreamError(FailureKind.UNREACHABLE, _text(exc), sent=False) from exc
        except httpx.HTTPError as exc:
            raise UpstreamError(FailureKind.BROKEN, _text(exc), sent=True) from exc

    async def events(self, response: httpx.Response, reader: EventReader) -> AsyncIterator[bytes]:
        """Yield the events of a streamed answer; raise unless it ends as it should."""
        try:
            async for data in response.aiter_raw():
                events = reader.feed(data)
                if events:
                    yield events
        except httpx.HTTPError as exc:
            raise UpstreamError(FailureKind.BROKEN, _text(exc), sent=True) from exc
        if not reader.finished:
            raise UpstreamError(FailureKind.BROKEN, "the stream ended early", sent=True)

    async def whole(self, response: httpx.Response) -> WholeAnswer:
        """Read an answer to its end."""
        try:
            body = await response.aread()
        except httpx.HTTPError as exc:
            raise UpstreamError(FailureKind.BROKEN, _text(exc), sent=True) from exc
        finally:
            await self.finish(response)
        return WholeAnswer(
            response.status_code, response.headers.get("content-type", "application/json"), body
        )

    async def finish(self, response: httpx.Response) -> None:
        """Close an answer, which cancels the request at an engine that is not done."""
        with trio.CancelScope(shield=True):
            await response.aclose()


class LoadReporter:
    """Read the load reports of engines."""

    def __init__(self):
        timeout = httpx.Timeout(REPORT_TIMEOUT_MS / MS_PER_SECOND)
        self._extensions = {"timeout": timeout.as_dict()}
        self._transport = httpx.AsyncHTTPTransport()

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    async def read(self, url: str) -> LoadReport | None:
        """Return an engine's load report, or `None` if there is none to be had."""
        try:
            request = httpx.Request("GET", f"{url}/load", extensions=self._extensions)
            response = await self._transport.handle_async_request(request)
            await response.aread()
            await response.aclose()
            body = response.json()
            return LoadReport(int(body["running"]), str(body["boot"]), int(body["age_ms"]))
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return None


def is_busy(response: httpx.Response) -> bool:
    """Tell whether an upstream refused a request without running it."""
    return response.status_code in BUSY_STATUSES


def check_echo(response: httpx.Response, request_id: RequestId) -> None:
    """Raise unless the answer is to this request, where the upstream echoes the id."""
    echoed = response.headers.get(REQUEST_ID_HEADER, "")
    if echoed and echoed != request_id:
        text = "the answer carries the id of another request"
        raise UpstreamError(FailureKind.CROSSED, text, sent=True)


def _text(exc: Exception) -> str:
    """Return the text of an error that may have none."""
    return str(exc) or type(exc).__name__
