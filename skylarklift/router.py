"""One router process: its servers, its coordination, startup and shutdown."""

import secrets
import ssl
from dataclasses import dataclass

import trio
from hypercorn.config import Config

from skylarklift.clock import MS_PER_SECOND, LoopClock, sleep_ms
from skylarklift.coordination import Coordination
from skylarklift.generated import (
    CallerSettings,
    OperatorApiSettings,
    RouterStatus,
    Settings,
    TlsSettings,
)
from skylarklift.ids import BootId, RouterId, ZoneId
from skylarklift.invariants import INVARIANTS
from skylarklift.logger import log
from skylarklift.operators.api import OperatorApi
from skylarklift.operators.orders import OrderDispatcher
from skylarklift.operators.status import StatusCollector, pool_status, traffic_counts
from skylarklift.requests.api import CallerApi
from skylarklift.requests.calls import CallDependencies, CallRunner
from skylarklift.requests.chat_dependencies import ChatDependencies
from skylarklift.routers.peers import PeerIdentity, PeerServer, TcpPeerTransport
from skylarklift.serving import make_config, open_address, serve_app
from skylarklift.store.http import HttpStore
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.client import UpstreamClient
from skylarklift.upstreams.reports import LoadReportClient

BOOT_ID_BYTES = 6
GAUGE_INTERVAL_MS = 1000
DRAIN_POLL_INTERVAL_MS = 20
GRACEFUL_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class OpenAddresses:
    """The configurations of the servers whose addresses are open."""

    callers: Config
    operators: Config


class Router:
    """The servers and clients of one router and its coordination."""

    def __init__(self, cfg: Settings, nursery: trio.Nursery):
        self.cfg = cfg
        self.me = RouterId(cfg.router)
        self._stop = trio.Event()
        self.clock = LoopClock()
        self.telemetry = Telemetry(cfg.telemetry, self.me)
        INVARIANTS.reporters.append(self.telemetry.report_breach)
        self.store = HttpStore(cfg.store.url, cfg.store.timeout_ms)
        self.load_reports = LoadReportClient()
        self.upstreams = UpstreamClient()
        self.peers = TcpPeerTransport(make_identity(cfg), self.clock, nursery)
        self.coordination = Coordination(
            cfg,
            self.clock,
            self.peers,
            self.store,
            self.store,
            self.store,
            self.load_reports,
            self.telemetry,
            nursery,
        )
        self._build_apis()

    def _build_apis(self) -> None:
        """Create the APIs for callers and operators and the server for other routers."""
        cfg, coordination = self.cfg, self.coordination
        chats = ChatDependencies(
            clock=self.clock,
            gate=coordination.gate,
            placer=coordination.placer,
            upstreams=self.upstreams,
            load_reports=self.load_reports,
            claims=coordination.claims,
            budget=coordination.budget,
            poison=coordination.poison,
            retries=cfg.retries,
            telemetry=self.telemetry,
            broadcast_crash=coordination.broadcast_crash,
        )
        calls = CallDependencies(
            clock=self.clock,
            gate=coordination.gate,
            upstreams=self.upstreams,
            claims=coordination.claims,
            budget=coordination.budget,
            retries=cfg.retries,
            telemetry=self.telemetry,
        )
        self.caller_api = CallerApi(
            self.clock, cfg.callers, chats, CallRunner(calls), self.telemetry, coordination.is_ready
        )
        self.status = StatusCollector(coordination.heads, self.peers, self.own_status)
        self.orders = OrderDispatcher(self.clock, self.peers.identity.boot, cfg.orders, self.store)
        self.operator_api = OperatorApi(
            cfg.operators,
            coordination.heads,
            self.status,
            coordination.claims,
            self.orders,
            self.telemetry,
        )
        coordination.handlers["StatusAsk"] = self.status.answer
        self.peer_server = PeerServer(self.peers.identity, coordination.answer, self.peers.counts)

    # Running.

    async def run(self) -> None:
        """Run until `stop` is called and the shutdown has drained the requests.

        Raise `OSError`, before anybody is served, if an address stays in use.
        """
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as opening:
                nursery.start_soon(self._cancel_when_stopped, opening)
                opened = await self._open_addresses(nursery)
            if not opening.cancelled_caught:
                nursery.start_soon(self.coordination.run)
                nursery.start_soon(self._run_gauges)
                nursery.start_soon(
                    serve_app, self.operator_api.app, opened.operators, trio.sleep_forever
                )
                log.info("router_started", boot=self.peers.identity.boot, zone=self.cfg.zone)
                await self._serve_callers(nursery, opened.callers)
            nursery.cancel_scope.cancel()
        await self._close()

    async def _cancel_when_stopped(self, scope: trio.CancelScope) -> None:
        """Cancel a scope once `stop` is called."""
        await self._stop.wait()
        scope.cancel()

    async def _open_addresses(self, nursery: trio.Nursery) -> OpenAddresses:
        """Listen at all addresses, that of the callers last."""
        operators = await self._open_address(self.cfg.operators)
        await nursery.start(self.peer_server.run)
        callers = await self._open_address(self.cfg.callers)
        return OpenAddresses(callers, operators)

    async def _open_address(self, cfg: CallerSettings | OperatorApiSettings) -> Config:
        """Listen at one address; return its configuration."""
        limit = self.cfg.callers.header_limit_bytes
        config = make_config(cfg.listen, cfg.tls, limit, GRACEFUL_TIMEOUT_S)
        await open_address(config)
        return config

    async def _serve_callers(self, nursery: trio.Nursery, config: Config) -> None:
        """Serve callers until the shutdown has drained the requests."""
        drained = trio.Event()
        nursery.start_soon(self._drain_when_stopped, drained)
        await serve_app(self.caller_api.app, config, drained.wait)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def _drain_when_stopped(self, drained: trio.Event) -> None:
        """After `stop`: fail the health check, hand over the pools, drain requests, leave."""
        await self._stop.wait()
        log.info("shutdown_started", in_flight=self.caller_api.in_flight)
        self.caller_api.healthy = False
        await sleep_ms(self.cfg.shutdown.health_wait_ms)
        await self.coordination.hand_over()
        self.coordination.gate.closed = True
        with trio.move_on_after(self.cfg.shutdown.drain_limit_ms / MS_PER_SECOND):
            while self.caller_api.in_flight or self.coordination.placer.grants_held():
                await sleep_ms(DRAIN_POLL_INTERVAL_MS)
            await self.coordination.claims.flush()
            await self.coordination.placer.flush()
        await self.coordination.leave()
        log.info("shutdown_drained", in_flight=self.caller_api.in_flight)
        drained.set()

    async def _run_gauges(self) -> None:
        """Report gauges every `GAUGE_INTERVAL_MS`."""
        while True:
            status = self.own_status()
            self.telemetry.gauge("version", status.version)
            self.telemetry.gauge("evidence_age", status.evidence_age_ms)
            self.telemetry.gauge("in_flight", status.in_flight)
            self.telemetry.gauge("live_routers", len(status.live))
            for pool in status.pools:
                self.telemetry.gauge(f"pool.{pool.pool}.queued", pool.queued)
                for replica, load in pool.loads.items():
                    self.telemetry.gauge(f"pool.{pool.pool}.load.{replica}", load)
            await sleep_ms(GAUGE_INTERVAL_MS)

    async def _close(self) -> None:
        """Close all connections and flush telemetry."""
        log.info("router_stopped")
        for resource in (self.store, self.upstreams, self.load_reports, self.orders):
            await resource.close()
        self.telemetry.close()

    # Status.

    def own_status(self) -> RouterStatus:
        """Return the status of this router."""
        coordination = self.coordination
        admitters = coordination.pools.admitters().items()
        return RouterStatus(
            router=self.me,
            zone=self.cfg.zone,
            boot=self.peers.identity.boot,
            version=coordination.heads.table.version,
            view=coordination.heads.view.number,
            digest=coordination.heads.table.digest,
            age_ms=coordination.heads.age_ms(),
            fresh=coordination.freshness.is_fresh(),
            evidence_age_ms=coordination.freshness.evidence_age_ms(),
            store_away=coordination.heads.store_away,
            may_vouch=not coordination.heads.acceptance_tracker.is_pending(),
            in_flight=self.caller_api.in_flight,
            grants_held=coordination.placer.grants_held(),
            live=list(coordination.membership.live()),
            pools=[pool_status(self.me, name, admitter) for name, admitter in admitters],
            counts=dict(self.telemetry.counts),
            control_bytes=traffic_counts(self.peers.counts.traffic),
            breaches=dict(INVARIANTS.counts),
        )


def make_identity(cfg: Settings) -> PeerIdentity:
    """Return the identity of a router with these settings and a new random boot id."""
    return PeerIdentity(
        RouterId(cfg.router),
        BootId(secrets.token_hex(BOOT_ID_BYTES)),
        ZoneId(cfg.zone),
        cfg.peers,
        client_tls(cfg.peers.tls),
        server_tls(cfg.peers.tls),
    )


def server_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context for the server side, or `None` without a certificate."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.authority or None)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def client_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context for the client side, or `None` without a certificate."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(cafile=tls.authority or None)
    # Routers are addressed by IP address, so there is no host name to check; the
    # handshake with the fleet key authenticates the peer.
    context.check_hostname = False
    return context
