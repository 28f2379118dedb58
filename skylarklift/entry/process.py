"""Run an entry router: its tasks, reloads of its settings, and its graceful shutdown."""

import signal
from collections.abc import AsyncIterator, Callable
from functools import partial

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.crashes.suspects import JUDGEMENT_DELAY_MS
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.model import Endpoint, NodeSettings
from skylarklift.entry.requests.serving import (
    LISTEN_BACKLOG,
    CallerServer,
    MonitoringServer,
    close_idle_when_stopping,
)
from skylarklift.entry.state.follower import Follower
from skylarklift.entry.state.rows import MemberStore, ReleaseStore, RowSource, RowTable
from skylarklift.entry.versions.release_sync import ReleaseSync
from skylarklift.errors import SettingsError

MAINTENANCE_INTERVAL_MS = 250
# A process whose maintenance is late by this much has stood still.
STANDSTILL_MS = 500
SETTINGS_POLL_INTERVAL_MS = 2000
# A stopping router serves for at least this long, since new requests arrive until the readiness
# checks have taken it out of rotation.
MIN_STOPPING_MS = 3600
LEAVE_TIMEOUT_MS = 200


class EntryRouter:
    """One router: servers, gossip with other routers, and the followers of the store's tables."""

    def __init__(
        self,
        core: Core,
        rows: RowSource,
        members: MemberStore,
        releases: ReleaseStore,
        load_settings: Callable[[], NodeSettings],
        metrics_port: int = 0,
    ):
        self._core = core
        self._rows = rows
        self._load_settings = load_settings
        self._metrics_port = metrics_port
        self._caller_server = CallerServer(core)
        self._monitoring_server = MonitoringServer(core)
        self._peering = Peering(core, members)
        self._release_sync = ReleaseSync(core, releases)

    async def run(self, signals: AsyncIterator[int]) -> None:
        """Run until a stop signal, then until all requests end or the grace period ends."""
        core = self._core
        settings = core.settings
        core.event_log.write("start", zone=settings.zone, callers=str(settings.callers))
        async with trio.open_nursery() as nursery:
            start = nursery.start_soon
            await self._peering.open()
            start(self._listen, settings.peers, self._peering.serve_rows)
            start(self._listen, settings.readiness, self._monitoring_server.serve)
            metrics_address = Endpoint(settings.callers.host, self._metrics_port)
            start(self._listen, metrics_address, self._monitoring_server.serve)
            start(self._listen, settings.callers, self._caller_server.serve)
            start(self._peering.receive_loop, nursery)
            start(self._peering.send_loop)
            start(self._peering.send_observed_loads)
            start(self._peering.send_origins)
            start(self._peering.join)
            start(self._release_sync.run)
            for table in RowTable:
                start(Follower(core, self._rows, table).run)
            start(self._run_maintenance)
            start(self._judge_crashes)
            start(self._poll_settings)
            await self._wait_for_stop_signal(signals)
            start(close_idle_when_stopping, core, self._caller_server)
            await self._drain_requests()
            nursery.cancel_scope.cancel()
        core.event_log.write("stop", requests_open=core.requests_open)
        core.event_log.flush()

    async def _listen(self, address: Endpoint, handler) -> None:
        """Serve connections to one address with `handler`."""
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=LISTEN_BACKLOG
        )
        await trio.serve_listeners(partial(self._serve_isolated, handler), listeners)

    async def _serve_isolated(self, handler, stream: trio.SocketStream) -> None:
        """Serve a connection, logging exceptions so that they end only that connection."""
        try:
            await handler(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as group:
            self._core.event_log.write("connection_serve_failed", cause=repr(group.exceptions))
        except* Exception as group:
            self._core.record_fault(group, str(stream.socket.getsockname()))

    async def _wait_for_stop_signal(self, signals: AsyncIterator[int]) -> None:
        """Wait for a stop signal, reloading the settings at each SIGHUP."""
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload("signal")
                continue
            core = self._core
            core.stopping_since = core.clock.now()
            core.event_log.write("stopping", requests_open=core.requests_open)
            return

    async def _drain_requests(self) -> None:
        """Wait until all requests have completed, within the grace period, then leave the fleet."""
        core = self._core
        while core.stopping_ms() < core.settings.bounds.drain_ms():
            if core.stopping_ms() >= MIN_STOPPING_MS and not core.requests_open:
                break
            await trio.sleep(20 / MS_PER_SECOND)
        # Deregister last: while this router serves requests, it uses its share of the fleet's
        # limits, so the other routers must count it.
        with trio.move_on_after(LEAVE_TIMEOUT_MS / MS_PER_SECOND):
            await self._peering.leave()

    async def _run_maintenance(self) -> None:
        """Apply removals whose delay is over, close expired connections, and flush the log."""
        core = self._core
        while True:
            due = core.clock.now() + MAINTENANCE_INTERVAL_MS
            await trio.sleep(MAINTENANCE_INTERVAL_MS / MS_PER_SECOND)
            if core.clock.now() >= due + STANDSTILL_MS:
                core.suspect_all_restarts()
            state = core.cluster_state
            core.record_state_changes(state.apply_delayed_removals(), "removal delay is over")
            core.record_state_changes(state.apply_settled_rows(), "restored store has settled")
            core.apply_hold_changes(core.suspects.expire(), core.settings.node)
            core.expire_rate_limits()
            core.connection_pool.close_expired()
            core.event_log.flush()

    async def _judge_crashes(self) -> None:
        """Judge the suspects of each crash once all reports of it may have arrived."""
        core = self._core
        while True:
            await core.crash_reported.wait()
            core.crash_reported = trio.Event()
            await trio.sleep(JUDGEMENT_DELAY_MS / MS_PER_SECOND)
            core.apply_hold_changes(core.suspects.judge_parts(), core.settings.node)

    # Settings.

    async def _poll_settings(self) -> None:
        """Reload the settings at intervals, in case the file changes without a signal."""
        while True:
            await trio.sleep(SETTINGS_POLL_INTERVAL_MS / MS_PER_SECOND)
            self._reload("file")

    def _reload(self, cause: str) -> None:
        """Apply changed settings; keep the current ones if the file is invalid.

        `bounds` is updated in place, since other parts of the router refer to it.
        """
        core = self._core
        try:
            settings = self._load_settings()
        except SettingsError as exc:
            core.event_log.write("settings_invalid", findings=[str(item) for item in exc.findings])
            return
        if settings == core.settings:
            return
        core.settings.bounds.update_from(settings.bounds)
        core.buffers.set_memory(settings.memory_mb)
        core.event_log.write("settings_reloaded", cause=cause)
        core.settings = settings.with_bounds(core.settings.bounds)
