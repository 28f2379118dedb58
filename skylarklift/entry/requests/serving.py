"""Serve callers' connections, readiness checks and metrics."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.model import Call, CallerLimits
from skylarklift.entry.requests.caller_connection import (
    CallerConnection,
    CallerDisconnected,
    RequestHead,
)
from skylarklift.entry.requests.request_handler import RequestHandler, error_headers
from skylarklift.errors import BadRequest, RequestError

# A stopping router keeps idle connections for this long.  By then the readiness checks have taken
# it out of rotation, and it gets no new connections.
IDLE_CLOSE_DELAY_MS = 3000
MONITORING_LIMITS = CallerLimits(header_bytes=4096, body_bytes=1024)
METRICS_PATH = b"/metrics"
METRICS_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]


class CallerServer:
    """Serve the connections of callers."""

    def __init__(self, core: Core):
        self._core = core
        self._idle_scopes: set[trio.CancelScope] = set()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        plan = self._core.cluster_state.plan
        limits = plan.limits if plan else CallerLimits()
        caller = CallerConnection(stream, limits.header_bytes)
        try:
            while await self._serve_one(caller):
                pass
        except CallerDisconnected:
            # The work for the request has been cancelled already.
            self._core.metrics.increment("callers_gone")
        finally:
            caller.abort()

    async def _serve_one(self, caller: CallerConnection) -> bool:
        """Read and serve one request; return whether the connection can carry another."""
        core = self._core
        plan = core.cluster_state.plan
        limits = plan.limits if plan else CallerLimits()
        head: RequestHead | None = None
        try:
            with trio.CancelScope() as scope:
                self._idle_scopes.add(scope)
                try:
                    if not self._closes_idle():
                        head = await caller.read_head(limits.idle_ms, limits.header_ms)
                finally:
                    self._idle_scopes.discard(scope)
            if head is None:
                await caller.close()
                return False
            core.requests_open += 1
            try:
                await self._serve_request(caller, head, limits)
            finally:
                core.requests_open -= 1
        except RequestError as exc:
            await self._reject(caller, exc)
            return False
        if not caller.prepare_next_request():
            await caller.close()
            return False
        return True

    def _closes_idle(self) -> bool:
        """Return whether the router has been stopping for `IDLE_CLOSE_DELAY_MS`."""
        span = self._core.stopping_ms()
        return span is not None and span >= IDLE_CLOSE_DELAY_MS

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self._idle_scopes):
            scope.cancel()

    async def _serve_request(
        self, caller: CallerConnection, head: RequestHead, limits: CallerLimits
    ) -> None:
        """Read and serve one request."""
        core = self._core
        call = core.header_codec.decode_request(
            head.method, head.target, head.headers, core.clock.now()
        )
        with core.buffers.open_share() as share:
            call.body = await caller.read_body(limits, share)
            caller.close_after_response = core.stopping_since is not None
            await self._run_request(caller, call)

    async def _run_request(self, caller: CallerConnection, call: Call) -> None:
        """Run a request that was read; cancel its work when the caller disconnects."""
        disconnect: CallerDisconnected | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, caller, nursery.cancel_scope)
            try:
                await RequestHandler(self._core, caller, call).run()
            except CallerDisconnected as exc:
                disconnect = exc
            nursery.cancel_scope.cancel()
        if disconnect is not None:
            raise disconnect

    @staticmethod
    async def _cancel_on_disconnect(caller: CallerConnection, scope: trio.CancelScope) -> None:
        """Cancel a request whose caller disconnects before the response is complete."""
        await caller.wait_disconnected()
        if not caller.response_complete:
            scope.cancel()

    async def _reject(self, caller: CallerConnection, exc: RequestError) -> None:
        """Respond to a request that cannot be read with an error, and close the connection."""
        self._core.metrics.increment("requests", str(exc.status))
        self._core.event_log.write("request_invalid", code=exc.code, cause=str(exc))
        caller.close_after_response = True
        try:
            await caller.send_error(exc.status, error_headers(exc), exc.code)
        except CallerDisconnected:
            self._core.metrics.increment("callers_gone")
            return
        await caller.close_unread()


class MonitoringServer:
    """Serve readiness checks and metrics."""

    def __init__(self, core: Core):
        self._core = core

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        caller = CallerConnection(stream, MONITORING_LIMITS.header_bytes)
        try:
            while True:
                head = await caller.read_head(
                    MONITORING_LIMITS.idle_ms, MONITORING_LIMITS.header_ms
                )
                if head is None:
                    break
                await caller.read_body(MONITORING_LIMITS)
                status, headers, body = self._respond(head)
                await caller.send_response(status, headers, body)
                if not caller.prepare_next_request():
                    break
        except (CallerDisconnected, BadRequest) as exc:
            self._core.event_log.write("monitoring_serve_failed", cause=str(exc))
        finally:
            caller.abort()

    def _respond(self, head: RequestHead) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return status, header fields and body for a readiness check or for the metrics."""
        core = self._core
        if head.target == METRICS_PATH:
            core.update_gauges()
            return 200, METRICS_HEADERS, core.metrics.render().encode()
        if head.target != core.header_codec.ready_path:
            return 404, [], b""
        return (200 if is_ready(core) else 503), [], b""


def is_ready(core: Core) -> bool:
    """Return whether this router should get new connections."""
    if not core.accepts_callers or core.stopping_since is not None:
        return False
    return core.cluster_state.complete


async def close_idle_when_stopping(core: Core, server: CallerServer) -> None:
    """Close idle connections once the router has been stopping for `IDLE_CLOSE_DELAY_MS`."""
    while True:
        span = core.stopping_ms()
        if span is not None and span >= IDLE_CLOSE_DELAY_MS:
            server.close_idle()
        await trio.sleep(100 / MS_PER_SECOND)
