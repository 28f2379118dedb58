"""One entry router as a process: its tasks, its settings, and its orderly end."""

import signal
from collections.abc import AsyncIterator, Callable
from functools import partial

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.follower import Follower
from skylarklift.entry.model import Endpoint, NodeSettings
from skylarklift.entry.peering import Peering
from skylarklift.entry.rows import MemberStore, RowSource, RowTable
from skylarklift.entry.serving import BACKLOG, CallerServer, ProbeServer, close_when_stopping
from skylarklift.errors import SettingsError

HOUSEKEEPING_MS = 250
SETTINGS_LOOK_MS = 2000
# A router that stops serves for at least this long, so that it is out of rotation first.
STOPPING_LEAST_MS = 3600
# It ends so long before it would be killed.
STOPPING_MARGIN_MS = 400
LEAVING_MS = 200


class EntryRouter:
    """The tasks of one router."""

    def __init__(
        self,
        core: Core,
        rows: RowSource,
        members: MemberStore,
        load: Callable[[], NodeSettings],
        metrics_port: int = 0,
    ):
        self._core = core
        self._rows = rows
        self._load = load
        self._metrics_port = metrics_port
        self._callers = CallerServer(core)
        self._probes = ProbeServer(core)
        self._peering = Peering(core, members)

    async def run(self, signals: AsyncIterator[int]) -> None:
        """Run until a signal tells it to stop and all requests are ended."""
        core = self._core
        settings = core.settings
        core.event_log.write("start", zone=settings.zone, callers=str(settings.callers))
        async with trio.open_nursery() as nursery:
            start = nursery.start_soon
            await self._peering.open()
            start(self._listen, settings.peers, self._peering.serve_rows)
            start(self._listen, settings.readiness, self._probes.serve)
            metrics = Endpoint(settings.callers.host, self._metrics_port)
            start(self._listen, metrics, self._probes.serve)
            start(self._listen, settings.callers, self._callers.serve)
            start(self._peering.receive_loop, nursery)
            start(self._peering.send_loop)
            start(self._peering.join)
            for table in RowTable:
                start(Follower(core, self._rows, table).run)
            start(self._keep_house)
            start(self._watch_settings)
            await self._until_stopped(signals)
            start(close_when_stopping, core, self._callers)
            await self._stop()
            nursery.cancel_scope.cancel()
        core.event_log.write("stop", requests_open=core.requests_open)
        core.event_log.flush()

    async def _listen(self, address: Endpoint, handler) -> None:
        """Serve connections to one address."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=BACKLOG)
        await trio.serve_listeners(partial(self._isolate, handler), listeners)

    async def _isolate(self, handler, stream: trio.SocketStream) -> None:
        """Serve a connection so that a fault in it ends only that connection."""
        try:
            await handler(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as group:
            self._core.event_log.write("connection_failed", cause=repr(group.exceptions))
        except* Exception as group:
            self._core.metrics.count("faults")
            self._core.event_log.write("fault", cause=repr(group.exceptions), trace=_place(group))

    async def _until_stopped(self, signals: AsyncIterator[int]) -> None:
        """Wait for the signal to stop; take new settings at a hang-up."""
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload("signal")
                continue
            core = self._core
            core.stopping_since = core.clock.now()
            core.event_log.write("stopping", requests_open=core.requests_open)
            return

    async def _stop(self) -> None:
        """Let all requests end, within the span that the deployment grants."""
        core = self._core
        longest = core.settings.bounds.grace_ms - STOPPING_MARGIN_MS
        while core.stopping_ms() < longest:
            if core.stopping_ms() >= STOPPING_LEAST_MS and not core.requests_open:
                break
            await trio.sleep(20 / MS_PER_SECOND)
        # Until here this router takes its share of the fleet's limits, so it stays noted.
        with trio.move_on_after(LEAVING_MS / MS_PER_SECOND):
            await self._peering.leave()

    async def _keep_house(self) -> None:
        """Settle what is due, and close what is too old."""
        core = self._core
        while True:
            await trio.sleep(HOUSEKEEPING_MS / MS_PER_SECOND)
            for change in core.cluster_state.apply_delayed_removals():
                core.event_log.write(change.event, subject=change.subject, detail="hold over")
            core.connection_pool.sweep()
            core.event_log.flush()

    # Settings.

    async def _watch_settings(self) -> None:
        """Take new settings when the file changes without a signal."""
        while True:
            await trio.sleep(SETTINGS_LOOK_MS / MS_PER_SECOND)
            self._reload("file")

    def _reload(self, cause: str) -> None:
        """Take over the settings that may change while the router runs."""
        core = self._core
        try:
            settings = self._load()
        except SettingsError as exc:
            core.event_log.write("settings_refused", findings=[str(item) for item in exc.findings])
            return
        if settings == core.settings:
            return
        core.settings.bounds.update_from(settings.bounds)
        core.event_log.write("settings_taken", cause=cause)
        core.settings = settings.with_bounds(core.settings.bounds)


def _place(group: BaseExceptionGroup) -> str:
    """Return where the first error of a group was raised."""
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    trace = exc.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return "" if trace is None else f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
