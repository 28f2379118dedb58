"""HTTP client for upstreams: model engines and plain services."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import httpx
import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.ids import RequestId
from skylarklift.upstreams.body_end import JSON_TYPE, has_delimited_body, is_whole_json
from skylarklift.upstreams.failures import FailureKind, UpstreamError
from skylarklift.upstreams.reader import EventReader

CONNECT_TIMEOUT_MS = 1000
IDLE_TIMEOUT_MS = 30_000
# Shorter than the servers' own keep-alive time-out, so that no request is sent on a
# connection that the server is closing.
KEEPALIVE_EXPIRY_S = 2
REQUEST_ID_HEADER = "X-Request-Id"
RESUME_HEADER = "Last-Event-ID"
# The boot id of the load report, in a response.
ENGINE_BOOT_HEADER = "X-Engine-Boot"
# A response without a length that exceeds this is not expected to end.
MAX_UNDECLARED_BYTES = 4_194_304
# A part of a body counts at least this much, since each costs time however small it is.
MIN_PART_BYTES = 512
BUSY_STATUSES = (429, 503)
WRITE_FAILED_EVENTS = ("http11.send_request_headers.failed", "http11.send_request_body.failed")


@dataclass(frozen=True)
class BufferedResponse:
    """An upstream's response that was read to its end."""

    status: int
    content_type: str
    body: bytes


class WriteTrace:
    """A trace callback of httpcore that records whether sending a request failed.

    httpcore does not raise this error, and reads the response.  A failed write takes the socket's
    pending error, so a reset is then read as an orderly end.
    """

    def __init__(self):
        self.write_failed = False

    async def __call__(self, event: str, _info: dict[str, Any]) -> None:
        """Record one event of the request's progress."""
        if event in WRITE_FAILED_EVENTS:
            self.write_failed = True


class UpstreamClient:
    """Send requests to all upstreams over pooled connections."""

    def __init__(self):
        # The transport is used directly.  An httpx client would add headers of its own, ask
        # for compressed responses, which are not decompressed here, and cost a third more.
        timeout = httpx.Timeout(
            IDLE_TIMEOUT_MS / MS_PER_SECOND, connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND, pool=None
        )
        self._timeout = timeout.as_dict()
        limits = httpx.Limits(
            max_connections=None, max_keepalive_connections=256, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )
        self._transport = httpx.AsyncHTTPTransport(limits=limits)

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    async def send_request(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> httpx.Response:
        """Send a request and return its response once the head has arrived."""
        extensions = {"timeout": self._timeout, "trace": WriteTrace()}
        request = httpx.Request(method, url, headers=headers, content=body, extensions=extensions)
        try:
            response = await self._transport.handle_async_request(request)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise UpstreamError(FailureKind.UNREACHABLE, _error_text(exc), sent=False) from exc
        except httpx.HTTPError as exc:
            raise UpstreamError(FailureKind.BROKEN, _error_text(exc), sent=True) from exc
        response.request = request
        return response

    async def stream_events(
        self, response: httpx.Response, reader: EventReader
    ) -> AsyncIterator[bytes]:
        """Yield the new events of a streamed response; raise if it ends before its end marker."""
        try:
            async for data in response.aiter_raw():
                events = reader.feed(data)
                if events:
                    yield events
                reader.raise_failure()
        except httpx.HTTPError as exc:
            raise UpstreamError(FailureKind.BROKEN, _error_text(exc), sent=True) from exc
        if not reader.finished:
            raise UpstreamError(FailureKind.BROKEN, "the stream ended early", sent=True)

    async def read_response(self, response: httpx.Response) -> BufferedResponse:
        """Read a response to its end and close it; raise if nothing shows that it is whole."""
        parts, size = [], 0
        has_length = "content-length" in response.headers
        try:
            async for data in response.aiter_bytes():
                size += max(len(data), MIN_PART_BYTES)
                if not has_length and size > MAX_UNDECLARED_BYTES:
                    text = f"a body without a length exceeds {MAX_UNDECLARED_BYTES} bytes"
                    raise UpstreamError(FailureKind.BROKEN, text, sent=True)
                parts.append(data)
        except httpx.HTTPError as exc:
            raise UpstreamError(FailureKind.BROKEN, _error_text(exc), sent=True) from exc
        finally:
            await self.close_response(response)
        content_type = response.headers.get("content-type", "")
        body = b"".join(parts)
        if not has_delimited_body(response):
            if response.request.extensions["trace"].write_failed:
                text = "the connection was reset while the request was sent"
                raise UpstreamError(FailureKind.BROKEN, text, sent=True)
            if not is_whole_json(content_type, body):
                text = "the connection ended a body without a length"
                raise UpstreamError(FailureKind.BROKEN, text, sent=True)
        return BufferedResponse(response.status_code, content_type or JSON_TYPE, body)

    async def close_response(self, response: httpx.Response) -> None:
        """Close a response; this cancels the request at an engine that still runs it."""
        with trio.CancelScope(shield=True):
            await response.aclose()


def is_busy(response: httpx.Response) -> bool:
    """Return whether the status says that the upstream did not run the request."""
    return response.status_code in BUSY_STATUSES


def check_request_id(response: httpx.Response, request_id: RequestId) -> None:
    """Raise `UpstreamError` if the upstream echoes the id of another request."""
    echoed = response.headers.get(REQUEST_ID_HEADER, "")
    if echoed and echoed != request_id:
        text = "the answer carries the id of another request"
        raise UpstreamError(FailureKind.CROSSED, text, sent=True)


def _error_text(exc: Exception) -> str:
    """Return the text of an exception, or its class name if it has none."""
    return str(exc) or type(exc).__name__
