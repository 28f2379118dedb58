"""One router: its parts, how they are wired, and how it starts and ends."""

import secrets
import ssl

import trio

from skylarklift.callers import CallerApi
from skylarklift.calls import CallParts, CallRunner
from skylarklift.chats import ChatParts
from skylarklift.claims import ClaimWriter
from skylarklift.clock import MS_PER_SECOND, LoopClock, sleep_ms
from skylarklift.errors import PatchError, PeerError, StoreError
from skylarklift.fleet import Fleet
from skylarklift.freshness import Freshness
from skylarklift.gate import Gate
from skylarklift.generated import Crash, Done, RouterStatus, Settings, TlsSettings
from skylarklift.heads import HeadKeeper
from skylarklift.httpstore import HttpStore
from skylarklift.ids import BootId, Fingerprint, ReplicaId, RouterId, ZoneId
from skylarklift.invariants import INVARIANTS
from skylarklift.lease import VoterSets
from skylarklift.membership import Membership
from skylarklift.operators import OperatorApi
from skylarklift.peers import PeerDirectory, PeerIdentity, PeerServer
from skylarklift.placing import Placer
from skylarklift.poison import PoisonList
from skylarklift.poolhost import PoolHost
from skylarklift.retries import RetryBudget
from skylarklift.serving import make_config, serve_app
from skylarklift.status import StatusCollector, pool_status, traffic_counts
from skylarklift.telemetry import Telemetry, log
from skylarklift.upstreams import LoadReporter, UpstreamClient
from skylarklift.wire import Message

BOOT_BYTES = 6
GAUGE_INTERVAL_MS = 1000
DRAIN_CHECK_MS = 20
LAST_GRACE_S = 1.0


class Router:
    """A router process."""

    def __init__(self, cfg: Settings, nursery: trio.Nursery):
        self.cfg = cfg
        self.me = RouterId(cfg.router)
        self._stop = trio.Event()
        self._build_exchange(nursery)
        self._build_work(nursery)
        self._build_apis()
        INVARIANTS.reporters.append(self.telemetry.report_breach)

    # Building.

    def _build_exchange(self, nursery: trio.Nursery) -> None:
        """Build what the routers share: configuration, view, leases."""
        cfg = self.cfg
        self.clock = LoopClock()
        self.telemetry = Telemetry(cfg.telemetry, self.me)
        self.store = HttpStore(cfg.store.url, cfg.store.timeout_ms)
        settle_ms = cfg.freshness.fresh_for_ms + cfg.freshness.lease_ms
        self.voters = VoterSets(self.clock, cfg.freshness.voters, settle_ms)
        self.freshness = Freshness(self.clock, cfg.freshness.fresh_for_ms, self.voters)
        self.heads = HeadKeeper(
            self.clock, cfg.store, self.store, self.store, self.freshness, self.voters
        )
        identity = PeerIdentity(
            self.me,
            BootId(secrets.token_hex(BOOT_BYTES)),
            ZoneId(cfg.zone),
            cfg.peers,
            client_tls(cfg.peers.tls),
            server_tls(cfg.peers.tls),
        )
        self.peers = PeerDirectory(identity, self.clock, nursery)
        self.membership = Membership(self.clock, self.me, cfg.peers)
        self.fleet = Fleet(
            self.clock,
            self.me,
            self.membership,
            self.peers,
            self.heads,
            self.freshness,
            self.voters,
            self.store,
        )

    def _build_work(self, nursery: trio.Nursery) -> None:
        """Build what requests go through."""
        cfg = self.cfg
        self.poison = PoisonList(self.clock, cfg.retries)
        self.reporter = LoadReporter()
        self.placer = Placer(self.clock, self.me, self.membership, self.peers, nursery)
        self.pools = PoolHost(
            self.clock,
            self.me,
            cfg.freshness,
            self.heads,
            self.freshness,
            self.membership,
            self.voters,
            self.peers,
            self.poison,
            self.reporter,
            self.placer.own_grants,
            self.telemetry,
        )
        self.placer.host = self.pools
        self.gate = Gate(self.clock, self.freshness, self.heads)
        self.upstreams = UpstreamClient()
        self.claims = ClaimWriter(self.clock, self.me, cfg.store, self.store)
        self.budget = RetryBudget(cfg.retries)
        self._nursery = nursery

    def _build_apis(self) -> None:
        """Build what callers, operators and other routers talk to."""
        cfg = self.cfg
        chats = ChatParts(
            clock=self.clock,
            gate=self.gate,
            placer=self.placer,
            upstreams=self.upstreams,
            reporter=self.reporter,
            claims=self.claims,
            budget=self.budget,
            poison=self.poison,
            retries=cfg.retries,
            telemetry=self.telemetry,
            tell_crash=self.tell_crash,
        )
        calls = CallRunner(
            CallParts(
                clock=self.clock,
                gate=self.gate,
                upstreams=self.upstreams,
                claims=self.claims,
                budget=self.budget,
                retries=cfg.retries,
                telemetry=self.telemetry,
            )
        )
        self.callers = CallerApi(self.clock, cfg.callers, chats, calls, self.telemetry)
        self.status = StatusCollector(self.heads, self.peers, self.own_status)
        self.operators = OperatorApi(
            cfg.operators, self.heads, self.status, self.claims, self.telemetry
        )
        self._handlers = {
            "Pull": self.fleet.answer_pull,
            "Suspicions": self.fleet.answer_suspicions,
            "Fetch": self.fleet.answer_fetch,
            "Prepare": self.fleet.answer_prepare,
            "Withdraw": self.fleet.answer_withdraw,
            "Vote": self.pools.answer_vote,
            "Unvote": self.pools.answer_unvote,
            "Ask": self.pools.answer_ask,
            "Release": self.pools.answer_release,
            "Inventory": self.placer.answer_inventory,
            "Crash": self._answer_crash,
            "StatusAsk": self.status.answer,
        }
        self.server = PeerServer(self.peers.identity, self._answer, self.peers.counts)

    # Other routers.

    async def _answer(self, router: RouterId, message: Message) -> Message:
        """Answer one message of another router."""
        handler = self._handlers.get(type(message).__name__)
        if handler is None:
            raise PeerError(f"{type(message).__name__} is not a question")
        return await handler(router, message)

    async def _answer_crash(self, router: RouterId, message: Crash) -> Done:
        """Note a crash that another router saw."""
        replica = ReplicaId(message.replica)
        self.poison.note_crash(Fingerprint(message.fingerprint), replica, message.age_ms)
        return Done(0)

    def tell_crash(self, fingerprint: Fingerprint, replica: ReplicaId) -> None:
        """Tell the other routers of a crash, in the background."""
        log.warning("replica_crashed", replica=replica, fingerprint=fingerprint)
        noted_at = self.clock.now()

        async def tell(router: RouterId) -> None:
            age_ms = self.clock.now() - noted_at
            try:
                await self.peers.call(router, Crash(0, fingerprint, replica, age_ms))
            except PeerError:
                return

        for router in self.membership.others():
            self._nursery.start_soon(tell, router)

    # Running.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until `stop` is called and the last request has ended."""
        cfg = self.cfg
        async with trio.open_nursery() as nursery:
            await nursery.start(self.server.run)
            for task in (
                self.heads.run_polls,
                self.fleet.run,
                self.pools.run,
                self.claims.run,
                self._run_gauges,
                self._serve_operators,
            ):
                nursery.start_soon(task)
            log.info("router_started", boot=self.peers.identity.boot, zone=cfg.zone)
            task_status.started()
            await self._serve_callers(nursery)
            nursery.cancel_scope.cancel()
        await self._close()

    async def _serve_callers(self, nursery: trio.Nursery) -> None:
        """Serve callers until the shutdown has drained."""
        cfg = self.cfg.callers
        drained = trio.Event()
        nursery.start_soon(self._drain_when_stopped, drained)
        config = make_config(cfg.listen, cfg.tls, cfg.header_limit_bytes, LAST_GRACE_S)
        await serve_app(self.callers.app, config, drained.wait)

    async def _serve_operators(self) -> None:
        """Serve operators until cancelled."""
        cfg = self.cfg.operators
        limit = self.cfg.callers.header_limit_bytes
        config = make_config(cfg.listen, cfg.tls, limit, LAST_GRACE_S)
        await serve_app(self.operators.app, config, trio.sleep_forever)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def _drain_when_stopped(self, drained: trio.Event) -> None:
        """Leave the balancer, hand over, let requests end, leave the view."""
        await self._stop.wait()
        log.info("shutdown_started", in_flight=self.callers.in_flight)
        self.callers.healthy = False
        await sleep_ms(self.cfg.shutdown.health_wait_ms)
        self.fleet.leaving = True
        await self._leave_view()
        await self.pools.hand_over_all()
        self.gate.closed = True
        with trio.move_on_after(self.cfg.shutdown.drain_limit_ms / MS_PER_SECOND):
            while self.callers.in_flight or self.placer.held():
                await sleep_ms(DRAIN_CHECK_MS)
            await self.claims.flush()
            await self.placer.flush()
        log.info("shutdown_drained", in_flight=self.callers.in_flight)
        drained.set()

    async def _leave_view(self) -> None:
        """Take this router out of the view; if the store is away the others will notice."""
        try:
            await self.heads.remove([self.me])
        except (StoreError, PatchError, PeerError) as exc:
            log.warning("view_not_left", reason=str(exc))

    async def _run_gauges(self) -> None:
        """Report gauges in every interval."""
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
        """Close connections and send the last telemetry."""
        log.info("router_stopped")
        for part in (self.store, self.upstreams, self.reporter):
            await part.close()
        self.telemetry.close()

    # Status.

    def own_status(self) -> RouterStatus:
        """Return what this router tells of itself."""
        admitters = self.pools.admitters().items()
        return RouterStatus(
            router=self.me,
            zone=self.cfg.zone,
            boot=self.peers.identity.boot,
            version=self.heads.table.version,
            view=self.heads.view.number,
            digest=self.heads.table.digest,
            age_ms=self.heads.age_ms(),
            fresh=self.freshness.is_fresh(),
            evidence_age_ms=self.freshness.evidence_age_ms(),
            store_away=self.heads.store_away,
            in_flight=self.callers.in_flight,
            grants_held=self.placer.held(),
            live=list(self.membership.live()),
            pools=[pool_status(self.me, name, admitter) for name, admitter in admitters],
            counts=dict(self.telemetry.counts),
            control_bytes=traffic_counts(self.peers.counts.traffic),
            breaches=dict(INVARIANTS.counts),
        )


def server_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of the listening side, or `None` without a certificate."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.authority or None)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def client_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of the connecting side, or `None` without a certificate."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(cafile=tls.authority or None)
    # Routers have IP numbers, not names; the fleet key proves who the other side is.
    context.check_hostname = False
    return context
