"""Run an entry router: its tasks, reloads of its settings, and its graceful shutdown."""

import signal
import time
from collections.abc import AsyncIterator, Callable
from functools import partial

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.backpressure import expire_backpressure
from skylarklift.entry.core import DESCRIPTORS_EACH_RELAY, Core
from skylarklift.entry.crashes.suspects import JUDGEMENT_DELAY_MS
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.model import Endpoint, NodeSettings
from skylarklift.entry.relays.link_probes import LinkProbes
from skylarklift.entry.requests.serving import (
    CallerServer,
    MonitoringServer,
    close_idle_when_stopping,
)
from skylarklift.entry.rollouts.rollout_sync import RolloutSync
from skylarklift.entry.standstill import CHECK_INTERVAL_MS
from skylarklift.entry.state.follower import Follower
from skylarklift.entry.state.rows import (
    MemberStore,
    ReleaseStore,
    RolloutStore,
    RowSource,
    RowTable,
)
from skylarklift.entry.versions.release_sync import ReleaseSync
from skylarklift.errors import SettingsError
from skylarklift.util.listening import Acceptor, Serve
from skylarklift.util.settings_reload import SETTLE_MS

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
        rollouts: RolloutStore | None = None,
    ):
        self._core = core
        self._rows = rows
        self._load_settings = load_settings
        self._metrics_port = metrics_port
        self._caller_server = CallerServer(core)
        self._monitoring_server = MonitoringServer(core, self._caller_server.update_gauges)
        self._peering = Peering(core, members)
        self._release_sync = ReleaseSync(core, releases)
        core.expect_judgement()
        self._rollout_sync = None if rollouts is None else RolloutSync(core, rollouts)
        self._reload_requested = trio.Event()
        self._reload_cause = ""

    async def run(self, signals: AsyncIterator[int]) -> None:
        """Run until a stop signal, then until all requests end or the grace period ends."""
        core = self._core
        settings = core.settings
        core.event_log.write(
            "start",
            zone=settings.zone,
            callers=str(settings.callers),
            # The times of all lines count from a random one of this process.
            monotonic_ms=int(time.monotonic() * MS_PER_SECOND),
        )
        async with trio.open_nursery() as nursery:
            start = nursery.start_soon
            for acceptor in self._make_acceptors():
                start(acceptor.run)
            start(self._peering.receive_loop, nursery)
            start(self._peering.send_loop)
            start(self._peering.send_observed_loads)
            start(self._peering.send_origins)
            start(self._peering.join)
            start(LinkProbes(core).run)
            start(self._release_sync.run)
            if self._rollout_sync is not None:
                start(self._rollout_sync.run)
                start(self._rollout_sync.judge_versions)
            for table in RowTable:
                start(Follower(core, self._rows, table).run)
            start(self._run_maintenance)
            start(self._judge_crashes)
            start(self._handle_shortages)
            start(self._poll_settings)
            await self._wait_for_stop_signal(signals)
            start(self._handle_late_signals, signals)
            start(close_idle_when_stopping, core, self._caller_server)
            await self._drain_requests()
            nursery.cancel_scope.cancel()
        core.event_log.write("stop", requests_open=core.requests_open)
        core.event_log.flush()

    def _make_acceptors(self) -> list[Acceptor]:
        """Return what accepts connections at each address."""
        settings = self._core.settings
        metrics = Endpoint(settings.callers.host, self._metrics_port)
        monitor = self._monitoring_server.serve
        return [
            self._make_acceptor(
                settings.peers,
                self._peering.serve,
                max_open=self._max_peer_connections,
            ),
            self._make_acceptor(settings.readiness, monitor),
            self._make_acceptor(metrics, monitor),
            self._make_acceptor(
                settings.callers,
                self._caller_server.serve,
                on_open=self._record_open,
                wait_turn=self._caller_server.wait_turn,
            ),
        ]

    def _max_peer_connections(self) -> int:
        """Return the limit on connections of other routers; most are relayed to upstreams."""
        descriptors = self._core.descriptors
        return descriptors.routers + descriptors.upstreams // DESCRIPTORS_EACH_RELAY

    def _make_acceptor(self, address: Endpoint, serve: Serve, **callbacks) -> Acceptor:
        """Return what accepts connections at one address."""
        core = self._core
        return Acceptor(
            address.host,
            address.port,
            partial(self._serve_isolated, serve, address),
            core.clock,
            core.event_log.write,
            on_shortage=self._release_descriptors,
            **callbacks,
        )

    def _release_descriptors(self) -> None:
        """Close connections that nobody uses, as the process has no descriptor left."""
        self._core.update_descriptors()
        self._caller_server.release_descriptors()
        self._core.connection_pool.trim_idle(0)

    async def _handle_shortages(self) -> None:
        """Close connections that nobody uses each time that one to an upstream can't be opened."""
        core = self._core
        while True:
            await core.descriptors_short.wait()
            core.descriptors_short = trio.Event()
            self._release_descriptors()

    def _record_open(self) -> None:
        """Record that callers can connect, so that the router may be ready."""
        self._core.accepts_callers = True

    async def _serve_isolated(
        self, serve: Serve, address: Endpoint, stream: trio.SocketStream
    ) -> None:
        """Serve a connection, logging exceptions so that they end only that connection."""
        try:
            await serve(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as group:
            self._core.event_log.write("connection_serve_failed", cause=repr(group.exceptions))
        except* Exception as group:
            # The connection is closed by now, so it can't be asked for its own address.
            self._core.record_fault(group, str(address))

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

    async def _handle_late_signals(self, signals: AsyncIterator[int]) -> None:
        """Reload the settings at each SIGHUP while the router stops; ignore other signals."""
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload("signal")
            else:
                self._core.event_log.write("signal_ignored", signal=signal.Signals(number).name)

    async def _drain_requests(self) -> None:
        """Wait until all requests have completed, within the grace period, then leave the fleet."""
        core = self._core
        while core.stopping_ms() < core.settings.bounds.drain_ms():
            busy = core.requests_open or core.relays_open
            if core.stopping_ms() >= MIN_STOPPING_MS and not busy:
                break
            await trio.sleep(20 / MS_PER_SECOND)
        # Deregister last: while this router serves requests, it uses its share of the fleet's
        # limits, so the other routers must count it.
        with trio.move_on_after(LEAVE_TIMEOUT_MS / MS_PER_SECOND):
            await self._peering.leave()

    async def _run_maintenance(self) -> None:
        """Apply removals whose delay is over, close expired connections, and flush the log."""
        core = self._core
        core.standstill.check()
        while True:
            await trio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            if core.standstill.check():
                core.suspect_all_restarts()
            state = core.cluster_state
            core.record_state_changes(state.apply_delayed_removals(), "removal delay is over")
            core.record_state_changes(state.apply_settled_rows(), "restored store has settled")
            core.apply_hold_changes(core.suspects.expire(), core.settings.node)
            core.expire_rate_limits()
            # After a standstill, clients may have left.
            if not core.standstill.has_just_ended():
                core.resumptions.renew_running()
            expire_backpressure(core)
            core.connection_pool.close_expired()
            core.update_descriptors()
            self._caller_server.close_excess()
            core.event_log.flush()

    async def _judge_crashes(self) -> None:
        """Judge the suspects of each crash once all reports of it may have arrived."""
        core = self._core
        while True:
            if not core.suspects.has_unjudged():
                await core.crash_reported.wait()
            core.crash_reported = trio.Event()
            await trio.sleep(JUDGEMENT_DELAY_MS / MS_PER_SECOND)
            core.apply_hold_changes(core.suspects.judge(), core.settings.node)

    # Settings.

    async def _poll_settings(self) -> None:
        """Reload the settings at each request, and at intervals in case the file changes."""
        while True:
            self._reload_cause = "file"
            with trio.move_on_after(SETTINGS_POLL_INTERVAL_MS / MS_PER_SECOND):
                await self._reload_requested.wait()
            self._reload_requested = trio.Event()
            try:
                await self._reload_settled(self._reload_cause)
            except Exception as exc:
                self._core.record_fault(exc, "settings")

    def _reload(self, cause: str) -> None:
        """Let the settings be read again soon."""
        self._reload_cause = cause
        self._reload_requested.set()

    async def _reload_settled(self, cause: str) -> None:
        """Apply changed settings that were read twice alike; keep the current ones otherwise.

        What has been written of a file so far may be valid.
        """
        settings = self._read_changed()
        while settings is not None:
            await trio.sleep(SETTLE_MS / MS_PER_SECOND)
            again = self._read_changed()
            if again == settings:
                return self._apply_settings(settings, cause)
            settings = again
        return None

    def _read_changed(self) -> NodeSettings | None:
        """Return the settings in the file, `None` if they are invalid or have not changed."""
        core = self._core
        try:
            settings = self._load_settings()
        except SettingsError as exc:
            core.event_log.write("settings_invalid", findings=[str(item) for item in exc.findings])
            return None
        return None if settings == core.settings else settings

    def _apply_settings(self, settings: NodeSettings, cause: str) -> None:
        """Use other settings.

        `bounds` is updated in place, since other parts of the router refer to it.
        """
        core = self._core
        core.settings.bounds.update_from(settings.bounds)
        core.buffers.set_memory(settings.memory_mb)
        core.event_log.write("settings_reloaded", cause=cause)
        core.settings = settings.with_bounds(core.settings.bounds)
