"""Routers in one process that play a drawn roll-out with a virtual clock and a fake store."""

from dataclasses import dataclass, field
from random import Random

from features.entry_fixtures import apply_rows, new_core, plan_data, upstream_data
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.model import Endpoint
from skylarklift.entry.rollouts.evidence import Sample
from skylarklift.entry.rollouts.exchange import apply_news, make_news
from skylarklift.entry.rollouts.rollout_rows import decode_state, encode_state
from skylarklift.entry.rollouts.rollout_sync import CHECK_INTERVAL_MS, RETRY_DELAY_MS, RolloutSync
from skylarklift.entry.rollouts.state import RolloutPhase, StoredRollout
from skylarklift.entry.state.rows import RolloutStore, RowTable
from skylarklift.entry.versions.release_decisions import weights_of
from skylarklift.entry.versions.release_steps import pick_version
from skylarklift.errors import StoreUnavailable

SERVICE = "lm"
OLD, NEW = "v1", "v2"
TICK_MS = 50
GOSSIP_MS = 250
# A reader that is lost is replaced by another router after this long.
READER_LOST_MS = 1100
RESTART_MS = 1000
ROUTERS = 6
REPLICAS = 6
ORDER_MS = 1000
DURATION_MS = 60_000
# Requests for each route in a second, the usual time to first event, and whether it is resumable.
ROUTES = (("long", 27, 300, True), ("chat", 60, 80, False), ("writes", 40, 45, False))
USUAL_FAILURES = 0.004
ROLLBACK_ANSWERS = 50
KINDS = ("good", "at once", "later", "under load", "one route", "slow")
FAULTS = ("killed", "frozen", "cut off")


def run_now(coroutine):
    """Run a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("a call of the fake store waits")


class FakeStore(RolloutStore):
    """The rows of roll-outs, with conditional writes."""

    def __init__(self, clock):
        self._clock = clock
        self.rows = {}
        self.status = []
        self.away = False

    async def read_rollouts(self):
        self._check()
        now = self._clock.now()
        return [
            StoredRollout(decode_state(service, data, now, now), version)
            for service, (data, version) in self.rows.items()
        ]

    async def write_rollout(self, state, row_version):
        self._check()
        _, version = self.rows.get(state.service, (b"", 0))
        if version == row_version:
            now = self._clock.now()
            self.rows[state.service] = (encode_state(state, now, now), version + 1)
            self.status.append((now, state.phase))
        found = await self.read_rollouts()
        return next((item for item in found if item.state.service == state.service), None)

    def _check(self):
        if self.away:
            raise StoreUnavailable("the store is away")


class StoreAccess(RolloutStore):
    """One router's way to the store."""

    def __init__(self, store):
        self._store = store
        self.cut = False

    async def read_rollouts(self):
        self._check()
        return await self._store.read_rollouts()

    async def write_rollout(self, state, row_version):
        self._check()
        return await self._store.write_rollout(state, row_version)

    def _check(self):
        if self.cut:
            raise StoreUnavailable("no way to the store")


@dataclass
class Draw:
    """What is drawn for one roll-out."""

    kind: str
    rng: Random
    ratio: float = 1.0
    from_ms: int = 0
    route: str = ""
    slowness: float = 1.0
    load_share: float = 1.0

    @classmethod
    def make(cls, seed):
        """Return the draw of a seed; a third of them are good."""
        rng = Random(seed)
        kind = "good" if rng.random() < 1 / 3 else rng.choice(KINDS[1:])
        draw = cls(kind, rng, ratio=rng.uniform(0.25, 1.0))
        if kind == "later":
            draw.from_ms = int(rng.uniform(0.2, 0.8) * DURATION_MS)
        if kind == "one route":
            draw.route = rng.choice([name for name, *_ in ROUTES])
        if kind == "slow":
            draw.slowness = rng.uniform(3, 6)
            draw.ratio = rng.uniform(0.4, 1.0)
        if kind == "under load":
            draw.load_share = rng.uniform(0.15, 0.5)
        return draw

    def strikes(self, version, route, since_ms, share):
        """Return whether an answer of a version suffers from what is bad about it."""
        if self.kind == "good" or version != NEW or since_ms < self.from_ms:
            return False
        if self.route and route != self.route:
            return False
        if self.kind == "under load" and share < self.load_share:
            return False
        return self.rng.random() < self.ratio


@dataclass
class Router:
    """One router of the world; `lost_until` is when a fault of it ends."""

    number: int
    core: object
    sync: RolloutSync
    access: StoreAccess
    boot: int = 0
    fault: str = ""
    lost_until: int = 0
    check_at: int = 0
    weights: tuple = ()
    weights_next: tuple = ()


@dataclass
class Tally:
    """What the new version got and answered."""

    requests: int = 0
    exposed: int = 0
    bad: int = 0
    late: int = 0
    bad_limit_at: int | None = None
    faults: list = field(default_factory=list)


class RolloutWorld:
    """Routers, a store, and the requests of one drawn roll-out."""

    def __init__(self, seed):
        self.draw = Draw.make(seed)
        self.rng = self.draw.rng
        self.clock = ManualClock(100_000)
        self.began_at = self.clock.now()
        self.store = FakeStore(self.clock)
        self.tally = Tally()
        self.pending = []
        self.serial = 0
        self.reader = 0
        self.reader_lost_at = None
        self.share = 0.0
        self.burst_until = 0
        self.phases_seen = 0
        self.has_replicas = self.has_order = False
        self.routers = [self._make_router(number) for number in range(ROUTERS)]

    def _make_router(self, number, boot=0):
        core = new_core(self.clock, node=f"r{number}", port=number + 1)
        core.settings.bounds.exposure_share = 0.1
        access = StoreAccess(self.store)
        router = Router(number, core, RolloutSync(core, access), access, boot)
        apply_rows(core, RowTable.OPERATOR, 10, {"config": plan_data()}, complete=True)
        rows = {f"old-{i}": upstream_data(port=100 + i) for i in range(REPLICAS)}
        apply_rows(core, RowTable.UPSTREAMS, 10, rows, complete=True)
        # Each request asks for the version that its service began with.
        core.rollouts.held_version(SERVICE)
        self._apply_known(router)
        router.weights = router.weights_next = weights_of({OLD: REPLICAS})
        return router

    def _apply_known(self, router):
        if self.has_replicas:
            rows = {f"new-{i}": upstream_data(port=200 + i, version=NEW) for i in range(REPLICAS)}
            apply_rows(router.core, RowTable.UPSTREAMS, 11, rows)
        if self.has_order:
            order = b'{"service":"lm","to":"v2","duration_s":%d}' % (DURATION_MS // 1000)
            apply_rows(router.core, RowTable.OPERATOR, 11, {f"rollout/{SERVICE}": order})

    def run(self):
        """Play until a little after the deadline, or until the roll-out is decided."""
        decided_at = None
        while self.since_order_ms() < DURATION_MS + 2000:
            self._tick()
            if self.phase() is not RolloutPhase.IN_PROGRESS and self.store.status:
                decided_at = decided_at or self.clock.now()
                if self.clock.now() - decided_at > 8000:
                    break
            self.clock.advance(TICK_MS)
        return self

    def since_order_ms(self):
        """Return the time since the operator wrote the order, negative before."""
        return self.clock.now() - self.began_at - ORDER_MS

    def phase(self):
        """Return the phase in the store."""
        return self.store.status[-1][1] if self.store.status else RolloutPhase.IN_PROGRESS

    def decided_ms(self):
        """Return how long after the order the store had the last phase."""
        return self.store.status[-1][0] - self.began_at - ORDER_MS

    def _tick(self):
        now = self.clock.now()
        self._apply_rows_in_time()
        self._draw_faults(now)
        self._choose_reader(now)
        running = [router for router in self.routers if not self._stands(router)]
        for router in running:
            self._check(router, now)
        if (now - self.began_at) % GOSSIP_MS == 0:
            for router in running:
                self._gossip(router, running)
            for router in self.routers:
                router.weights, router.weights_next = router.weights_next, self._row_weights()
        for router in running:
            self._send_requests(router, now)
        self._end_requests(now)

    def _stands(self, router):
        return router.fault in ("killed", "frozen")

    def _apply_rows_in_time(self):
        since_ms = self.since_order_ms()
        # The entries of the new replicas may be known before the order is.
        if not self.has_replicas and since_ms >= -500:
            self.has_replicas = True
            for router in self.routers:
                self._apply_known(router)
        if not self.has_order and since_ms >= 600:
            self.has_order = True
            for router in self.routers:
                self._apply_known(router)

    def _draw_faults(self, now):
        for number, router in enumerate(self.routers):
            if router.fault and now >= router.lost_until:
                if router.fault == "killed":
                    self.routers[number] = self._make_router(number, router.boot + 1)
                router.fault, router.access.cut = "", False
        steps = len(self.store.status)
        if steps > self.phases_seen:
            # A fault at each step, at the reader in half of the cases.
            self.phases_seen = steps
            victim = self.reader if self.rng.random() < 0.5 else self.rng.randrange(ROUTERS)
            self._strike(self.routers[victim], now)
        if self.rng.random() < 0.001:
            self.burst_until = now + 1500

    def _strike(self, router, now):
        if router.fault:
            return
        router.fault = self.rng.choice(FAULTS)
        span_ms = RESTART_MS if router.fault == "killed" else self.rng.randrange(500, 4000)
        router.lost_until = now + span_ms
        router.access.cut = router.fault == "cut off"
        self.tally.faults.append((router.fault, router.number))

    def _choose_reader(self, now):
        reader = self.routers[self.reader]
        if reader.fault:
            self.reader_lost_at = self.reader_lost_at or now
            if now - self.reader_lost_at >= READER_LOST_MS:
                sound = [router.number for router in self.routers if not router.fault]
                self.reader = sound[0] if sound else self.reader
                self.reader_lost_at = None
        else:
            self.reader_lost_at = None
        for router in self.routers:
            # A frozen reader goes on as one until it hears the new one.
            if not self._stands(router):
                reads = router.number == self.reader
                router.core.reading_store = dict.fromkeys(RowTable, reads)

    def _check(self, router, now):
        if now < router.check_at:
            return
        router.check_at = now + CHECK_INTERVAL_MS
        try:
            run_now(router.sync.check())
        except StoreUnavailable:
            router.check_at = now + RETRY_DELAY_MS

    def _gossip(self, router, running):
        if router.fault:
            return
        core = router.core
        message = GossipMessage(
            node=core.settings.node,
            boot=str(router.boot),
            address=str(core.settings.peers),
            tables=tuple(core.cluster_state.summarize(table) for table in RowTable),
            rollouts=make_news(core.rollouts, self.clock.now()),
        )
        found = decode_gossip(encode_gossip(message))
        for other in running:
            if other is router or other.fault or self.rng.random() < 0.02:
                continue
            other.core.fleet.record_message(found, Endpoint("127.0.0.1", router.number + 1), 0)
            apply_news(other.core, found.rollouts, found.node, found.boot)

    def _row_weights(self):
        reader = self.routers[self.reader]
        if reader.fault:
            return self.routers[0].weights_next
        counts = {OLD: REPLICAS}
        if self.has_replicas:
            counts[NEW] = REPLICAS
        return weights_of(reader.core.rollouts.steer_counts(SERVICE, counts))

    def _send_requests(self, router, now):
        for route, per_s, usual_ms, resumable in ROUTES:
            expected = per_s * TICK_MS / 1000 / ROUTERS
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self.serial += 1
                self._send(router, f"q{self.serial}", route, usual_ms, resumable, now, again=False)

    def _send(self, router, request, route, usual_ms, resumable, now, *, again):
        rollouts = router.core.rollouts
        if resumable:
            version = pick_version(request, router.weights)
            if rollouts.is_withdrawn(SERVICE, version):
                version = OLD
        else:
            wanted = rollouts.wanted(SERVICE, request, again=again)
            version = self._version_of(wanted)
        tally = self.tally
        tally.requests += not again and 0 <= self.since_order_ms() < DURATION_MS
        if version == NEW:
            tally.exposed += 1
            limit_at = tally.bad_limit_at
            tally.late += limit_at is not None and now > limit_at + 5000
        share = rollouts.share(SERVICE)
        struck = self.draw.strikes(version, route, self.since_order_ms(), share)
        failures = 0.3 if now < self.burst_until else USUAL_FAILURES
        took_ms = int(usual_ms * self.rng.lognormvariate(0, 0.4))
        bad = self.rng.random() < failures
        if struck and self.draw.slowness > 1:
            took_ms = int(took_ms * self.draw.slowness)
        elif struck:
            bad = True
        replica = f"{version}-{self.rng.randrange(REPLICAS)}"
        end = (now + took_ms, router, request, route, usual_ms, resumable, version, replica)
        self.pending.append((*end, bad, took_ms, struck, again))

    def _version_of(self, wanted):
        if wanted is None:
            versions = [OLD, NEW] if self.has_replicas else [OLD]
            return self.rng.choice(versions)
        if wanted.others:
            return OLD if wanted.version == NEW else NEW
        return wanted.version if self.has_replicas else OLD

    def _end_requests(self, now):
        due = [item for item in self.pending if item[0] <= now]
        self.pending = [item for item in self.pending if item[0] > now]
        for _, router, request, route, usual_ms, resumable, version, replica, *rest in due:
            bad, took_ms, struck, again = rest
            if router is not self.routers[router.number] or self._stands(router):
                continue
            sample = Sample(version, route, replica, bad, None if bad else took_ms)
            router.core.rollouts.record(SERVICE, sample)
            if version == NEW and (bad or struck):
                self.tally.bad += 1
                if self.tally.bad == ROLLBACK_ANSWERS:
                    self.tally.bad_limit_at = now
            if bad and not again and not resumable:
                self._send(router, request, route, usual_ms, resumable, now, again=True)

    def faults_of_bounds(self):
        """Return which bounds this roll-out broke."""
        tally, found = self.tally, []
        if self.draw.kind == "good":
            if self.phase() is not RolloutPhase.COMPLETED:
                found.append(f"good, but {self.phase().value}")
            elif self.decided_ms() > DURATION_MS:
                found.append(f"completed after {self.decided_ms()} ms")
            return found
        if tally.exposed > 0.1 * tally.requests + 50:
            found.append(f"{tally.exposed} of {tally.requests} exposed")
        if tally.late:
            found.append(f"{tally.late} requests after the bound on the rollback")
        if self.phase() is not RolloutPhase.REVERTED:
            found.append(f"bad, but {self.phase().value} after {tally.bad} bad answers")
        elif self.decided_ms() > DURATION_MS:
            found.append(f"reverted after {self.decided_ms()} ms")
        return found
