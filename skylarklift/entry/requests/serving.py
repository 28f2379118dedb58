"""Serve callers' connections, readiness checks and metrics."""

from collections.abc import Callable
from functools import partial

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.gauges import update_gauges
from skylarklift.entry.model import Call, CallerLimits
from skylarklift.entry.requests.caller_connection import (
    CallerConnection,
    CallerDisconnected,
    RequestHead,
)
from skylarklift.entry.requests.idle_connections import IdleConnections
from skylarklift.entry.requests.request_handler import RequestHandler, error_headers
from skylarklift.errors import BadRequest, Refusal, RequestError

# A stopping router keeps idle connections for this long.  By then the readiness checks have taken
# it out of rotation, and it gets no new connections.
IDLE_CLOSE_DELAY_MS = 3000
MONITORING_LIMITS = CallerLimits(header_bytes=4096, body_bytes=1024)
ACCEPT_POLL_INTERVAL_MS = 10
NO_CONNECTION_LEFT = Refusal(
    "connections_used_up", "requests of other callers use up the connections", retry_after_ms=1000
)
METRICS_PATH = b"/metrics"
METRICS_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]


class CallerServer:
    """Serve the connections of callers."""

    def __init__(self, core: Core):
        self._core = core
        self._connections = IdleConnections(
            core.clock,
            core.caller_limit,
            partial(record_idle_close, core, "callers"),
        )
        self._refusing_count = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        plan = self._core.cluster_state.plan
        limits = plan.limits if plan else CallerLimits()
        caller = CallerConnection(stream, limits.header_bytes)
        try:
            # Others may have been accepted since its turn.
            await self.wait_turn()
            if not self._connections.admit(caller):
                return await self._refuse(caller)
            while await self._serve_one(caller):
                pass
        except CallerDisconnected:
            # The work for the request has been cancelled already.
            self._core.metrics.increment("callers_gone")
        finally:
            self._connections.remove(caller)
            caller.abort()

    async def _refuse(self, caller: CallerConnection) -> None:
        """Tell a caller, for whose connection there is no room, to return later."""
        self._core.metrics.increment("connections_refused")
        self._refusing_count += 1
        try:
            await self._respond_error(caller, NO_CONNECTION_LEFT)
        finally:
            self._refusing_count -= 1

    async def wait_turn(self) -> None:
        """Wait until another connection is to be accepted."""
        while not self._may_accept():  # noqa: ASYNC110 - time passing alone may end it
            await trio.sleep(ACCEPT_POLL_INTERVAL_MS / MS_PER_SECOND)

    def _may_accept(self) -> bool:
        """Return whether to accept another connection now.

        No more are refused at a time than there are descriptors for that.
        """
        if self._refusing_count >= self._core.descriptors.monitoring:
            return False
        return self._connections.may_accept()

    async def _serve_one(self, caller: CallerConnection) -> bool:
        """Read and serve one request; return whether the connection can carry another."""
        core = self._core
        plan = core.cluster_state.plan
        limits = plan.limits if plan else CallerLimits()
        head: RequestHead | None = None
        try:
            if await self._wait_request(caller, limits.idle_ms):
                head = await caller.read_begun_head(limits.header_ms)
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

    async def _wait_request(self, caller: CallerConnection, idle_ms: int) -> bool:
        """Wait for a request; return whether one has begun before the connection is closed."""
        if self._closes_idle():
            return False
        begun = False
        with self._connections.waiting(caller):
            begun = await caller.wait_request(idle_ms)
        return begun

    def _closes_idle(self) -> bool:
        """Return whether the router has been stopping for `IDLE_CLOSE_DELAY_MS`."""
        span = self._core.stopping_ms()
        return span is not None and span >= IDLE_CLOSE_DELAY_MS

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        self._connections.close_idle()

    def release_descriptors(self) -> None:
        """Close idle connections above the limit, and one more."""
        self._connections.close_longest_idle()
        self._connections.close_excess()

    def close_excess(self) -> None:
        """Close idle connections above the limit, which may have been lowered."""
        self._connections.close_excess()

    def update_gauges(self) -> None:
        """Set the gauges on the metrics page."""
        self._core.metrics.set_gauge("connections_open", len(self._connections), "callers")

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
        self._core.event_log.write("request_invalid", code=exc.code, cause=str(exc))
        await self._respond_error(caller, exc)

    async def _respond_error(self, caller: CallerConnection, exc: RequestError) -> None:
        """Respond with an error, and close the connection."""
        self._core.metrics.increment("requests", str(exc.status))
        caller.close_after_response = True
        try:
            await caller.send_error(exc.status, error_headers(exc), exc.code)
        except CallerDisconnected:
            self._core.metrics.increment("callers_gone")
            return
        await caller.close_unread()


class MonitoringServer:
    """Serve readiness checks and metrics."""

    def __init__(self, core: Core, update_gauges: Callable[[], None]):
        self._core = core
        self._update_gauges = update_gauges
        self._connections = IdleConnections(
            core.clock,
            lambda: core.descriptors.monitoring,
            partial(record_idle_close, core, "monitoring"),
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        caller = CallerConnection(stream, MONITORING_LIMITS.header_bytes)
        try:
            if not self._connections.admit(caller):
                return
            while True:
                begun = False
                with self._connections.waiting(caller):
                    begun = await caller.wait_request(MONITORING_LIMITS.idle_ms)
                if not begun:
                    break
                head = await caller.read_begun_head(MONITORING_LIMITS.header_ms)
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
            self._connections.remove(caller)
            caller.abort()

    def _respond(self, head: RequestHead) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return status, header fields and body for a readiness check or for the metrics."""
        core = self._core
        if head.target == METRICS_PATH:
            update_gauges(core)
            self._update_gauges()
            return 200, METRICS_HEADERS, core.metrics.render().encode()
        if head.target != core.header_codec.ready_path:
            return 404, [], b""
        return (200 if is_ready(core) else 503), [], b""


def record_idle_close(core: Core, kind: str) -> None:
    """Count an idle connection that is closed to make room for others."""
    core.metrics.increment("idle_connections_closed", kind)


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
