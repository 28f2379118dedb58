"""The tasks that serve callers, readiness checks and metrics."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.caller import CallerGone, CallerLink, RequestHead
from skylarklift.entry.core import Core
from skylarklift.entry.life import JSON_HEADERS, RequestLife
from skylarklift.entry.model import CallerLimits
from skylarklift.errors import BadRequest

BACKLOG = 1024
# After this long a router that stops has been out of rotation, and idle connections go.
STOPPING_IDLE_MS = 3000
PROBE_LIMITS = CallerLimits(header_bytes=4096, body_bytes=1024)
METRICS_PATH = b"/metrics"
TEXT_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]


class CallerServer:
    """Serve the connections of clients."""

    def __init__(self, core: Core):
        self._core = core
        self._idle: set[trio.CancelScope] = set()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        plan = self._core.cluster_state.plan
        limits = plan.limits if plan else CallerLimits()
        caller = CallerLink(stream, limits.header_bytes)
        try:
            while await self._serve_next(caller):
                pass
        except CallerGone:
            # The client left; what it asked for was cancelled with the request.
            self._core.metrics.count("callers_gone")
        finally:
            caller.abort()

    async def _serve_next(self, caller: CallerLink) -> bool:
        """Serve one request; tell whether another may follow."""
        core = self._core
        plan = core.cluster_state.plan
        limits = plan.limits if plan else CallerLimits()
        head: RequestHead | None = None
        try:
            with trio.CancelScope() as scope:
                self._idle.add(scope)
                try:
                    if not self._over():
                        head = await caller.read_head(limits.idle_ms, limits.header_ms)
                finally:
                    self._idle.discard(scope)
            if head is None:
                await caller.close()
                return False
            core.requests_open += 1
            try:
                await self._serve_request(caller, head, limits)
            finally:
                core.requests_open -= 1
        except BadRequest as exc:
            await self._refuse(caller, exc)
            return False
        if not caller.next_request():
            await caller.close()
            return False
        return True

    def _over(self) -> bool:
        """Tell whether idle connections are no longer kept."""
        span = self._core.stopping_ms()
        return span is not None and span >= STOPPING_IDLE_MS

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self._idle):
            scope.cancel()

    async def _serve_request(
        self, caller: CallerLink, head: RequestHead, limits: CallerLimits
    ) -> None:
        """Serve one request; its work ends at once when the client leaves."""
        core = self._core
        call = core.header_codec.decode_call(
            head.method, head.target, head.headers, core.clock.now()
        )
        call.body = await caller.read_body(limits)
        caller.last = core.stopping_since is not None
        gone: CallerGone | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, caller, nursery.cancel_scope)
            try:
                await RequestLife(core, caller, call).run()
            except CallerGone as exc:
                gone = exc
            nursery.cancel_scope.cancel()
        if gone is not None:
            raise gone

    @staticmethod
    async def _watch(caller: CallerLink, scope: trio.CancelScope) -> None:
        """End a request whose client has left before its answer was complete."""
        await caller.wait_gone()
        if not caller.answered:
            scope.cancel()

    async def _refuse(self, caller: CallerLink, exc: BadRequest) -> None:
        """Answer a request that cannot be read, and close."""
        self._core.metrics.count("requests", str(exc.status))
        self._core.event_log.write("request_unreadable", code=exc.code, cause=str(exc))
        caller.last = True
        try:
            await caller.refuse(exc.status, JSON_HEADERS, exc.code)
        except CallerGone:
            self._core.metrics.count("callers_gone")
            return
        await caller.close()


class ProbeServer:
    """Answer checks of readiness, and show the metrics."""

    def __init__(self, core: Core):
        self._core = core

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        caller = CallerLink(stream, PROBE_LIMITS.header_bytes)
        try:
            while True:
                head = await caller.read_head(PROBE_LIMITS.idle_ms, PROBE_LIMITS.header_ms)
                if head is None:
                    break
                await caller.read_body(PROBE_LIMITS)
                status, headers, body = self._answer(head)
                await caller.send_answer(status, headers, body)
                if not caller.next_request():
                    break
        except (CallerGone, BadRequest) as exc:
            self._core.event_log.write("probe_broken", cause=str(exc))
        finally:
            caller.abort()

    def _answer(self, head: RequestHead) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return the answer to a check."""
        core = self._core
        if head.target == METRICS_PATH:
            core.update_gauges()
            return 200, TEXT_HEADERS, core.metrics.text().encode()
        if head.target != core.header_codec.ready_path:
            return 404, [], b""
        return (200 if is_ready(core) else 503), [], b""


def is_ready(core: Core) -> bool:
    """Tell whether this router should be given new connections."""
    return core.cluster_state.complete and core.stopping_since is None


async def close_when_stopping(core: Core, server: CallerServer) -> None:
    """Close idle connections once this router is out of rotation."""
    while True:
        span = core.stopping_ms()
        if span is not None and span >= STOPPING_IDLE_MS:
            server.close_idle()
        await trio.sleep(100 / MS_PER_SECOND)
