"""Fakes of the store, the network and the upstreams, for runs in virtual time."""

import copy
import json
import random
from collections import Counter

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, LoopClock, sleep_ms
from skylarklift.coordination import Coordination
from skylarklift.errors import (
    PeerError,
    PeerTimeout,
    PeerUnreachable,
    SkylarkError,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from skylarklift.generated import Address, Settings
from skylarklift.ids import BootId, RouterId, ZoneId
from skylarklift.routers.peers import PeerIdentity, PeerTransport
from skylarklift.routers.wire import Message
from skylarklift.settings import parse_settings
from skylarklift.store.base import (
    ABSENT,
    VM,
    ObjectStore,
    Row,
    TableStore,
    VMList,
    Write,
    WriteResult,
)
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.reports import LoadReport, LoadReportClient

FLEET_KEY = "a-key-for-the-fakes"


class FakePlatform:
    """The rows and objects of the store, and its faults, shared by all routers.

    `unreachable_from` are the routers that cannot reach the store.  `loss_rate` is the
    ratio of writes whose answer is lost after they took effect.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.rows: dict[str, Row] = {}
        self.versions: Counter[str] = Counter()
        self.objects: dict[str, bytes] = {}
        self.unavailable = False
        self.unreachable_from: set[RouterId] = set()
        self.loss_rate = 0.0
        self.extra_delay_ms = 0
        self.reads = 0
        self.written_rows = 0
        self.write_hooks: list = []

    def matches(self, write: Write) -> bool:
        """Return whether a row has the version that a write expects."""
        row = self.rows.get(write.key)
        return write.expect is None or write.expect == (row.version if row else ABSENT)

    def apply(self, write: Write) -> int:
        """Apply one write; return the row's new version."""
        self.versions[write.key] += 1
        version = self.versions[write.key]
        self.written_rows += 1
        if write.value is None:
            self.rows.pop(write.key, None)
        else:
            self.rows[write.key] = Row(write.key, copy.deepcopy(write.value), version)
        for hook in self.write_hooks:
            hook(write)
        return version


class FakeStore(TableStore, ObjectStore, VMList):
    """The store as one router reaches it."""

    def __init__(self, platform: FakePlatform, router: RouterId):
        self._platform = platform
        self._router = router

    async def _deliver_request(self) -> None:
        """Delay a request; fail before any effect while the store cannot be reached."""
        platform = self._platform
        await sleep_ms(platform.rng.uniform(1, 8) + platform.extra_delay_ms)
        if platform.unavailable or self._router in platform.unreachable_from:
            raise StoreUnavailable("the fake store cannot be reached")

    async def _deliver_answer(self) -> None:
        """Delay an answer; fail after the effect if the answer is lost."""
        platform = self._platform
        await sleep_ms(platform.rng.uniform(1, 8))
        lost = platform.rng.random() < platform.loss_rate
        if lost or self._router in platform.unreachable_from:
            raise StoreAnswerLost("the answer of the fake store was lost")

    async def read(self, key: str) -> Row | None:
        await self._deliver_request()
        self._platform.reads += 1
        return copy.deepcopy(self._platform.rows.get(key))

    async def read_prefix(self, prefix: str) -> list[Row]:
        await self._deliver_request()
        self._platform.reads += 1
        rows = self._platform.rows
        return [copy.deepcopy(rows[key]) for key in sorted(rows) if key.startswith(prefix)]

    async def transact(self, writes: list[Write]) -> list[int]:
        await self._deliver_request()
        failed = [write.key for write in writes if not self._platform.matches(write)]
        if failed:
            rows = {key: copy.deepcopy(self._platform.rows.get(key)) for key in failed}
            await self._deliver_answer()
            raise StoreConflict(rows)
        versions = [self._platform.apply(write) for write in writes]
        await self._deliver_answer()
        return versions

    async def write_each(self, writes: list[Write]) -> list[WriteResult]:
        await self._deliver_request()
        results = []
        for write in writes:
            if self._platform.matches(write):
                results.append(WriteResult(True, self._platform.apply(write)))
            else:
                row = copy.deepcopy(self._platform.rows.get(write.key))
                results.append(WriteResult(False, ABSENT, row))
        await self._deliver_answer()
        return results

    async def get(self, key: str) -> bytes | None:
        await self._deliver_request()
        return self._platform.objects.get(key)

    async def put(self, key: str, body: bytes) -> None:
        await self._deliver_request()
        self._platform.objects[key] = body

    async def list_vms(self) -> list[VM]:
        await self._deliver_request()
        return []


class FakeNetwork:
    """The network between routers: it delays, blocks and loses messages."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.nodes: dict[RouterId, Coordination] = {}
        self.blocked_links: set[frozenset[RouterId]] = set()
        self.loss_rate = 0.0
        self.delay_ms = (1, 4)

    def is_blocked(self, one: RouterId, other: RouterId) -> bool:
        """Return whether messages between two routers are blocked."""
        return frozenset((one, other)) in self.blocked_links

    def partition(self, group: set[RouterId], routers: set[RouterId]) -> None:
        """Partition a group of routers from the others; replaces all blocked links."""
        self.blocked_links = {frozenset((a, b)) for a in group for b in routers - group}

    def isolate(self, router: RouterId, routers: set[RouterId]) -> None:
        """Partition one router from all others."""
        self.partition({router}, routers)


class FakePeerTransport(PeerTransport):
    """Calls of one router to the others over the fake network."""

    def __init__(self, identity: PeerIdentity, network: FakeNetwork):
        super().__init__(identity)
        self._network = network
        self.addresses: dict[RouterId, Address] = {}

    def set_addresses(self, addresses: dict[RouterId, Address]) -> None:
        self.addresses = addresses

    async def call(
        self, router: RouterId, message: Message, timeout_ms: int | None = None
    ) -> Message:
        me = self.identity.router
        if router not in self.addresses:
            raise PeerUnreachable(f"router {router} is not in the view")
        with trio.move_on_after((timeout_ms or self.identity.cfg.call_timeout_ms) / MS_PER_SECOND):
            await self._deliver(me, router)
            # A seed is called by its address, whose host is the router's name on this network.
            node = self._network.nodes.get(RouterId(router.partition(":")[0]))
            if node is None:
                raise PeerUnreachable(f"router {router} is not running")
            try:
                reply = await node.answer(me, copy.deepcopy(message))
            except SkylarkError as exc:
                raise PeerError(str(exc)) from exc
            await self._deliver(router, me)
            if node not in self._network.nodes.values():
                raise PeerTimeout(f"router {router} was killed before its reply arrived")
            return copy.deepcopy(reply)
        raise PeerTimeout(f"no reply from router {router} in time")

    async def _deliver(self, one: RouterId, other: RouterId) -> None:
        """Delay a message in one direction; never return if it is blocked or lost."""
        network = self._network
        await sleep_ms(network.rng.uniform(*network.delay_ms))
        if network.is_blocked(one, other) or network.rng.random() < network.loss_rate:
            await trio.sleep_forever()


class FakeLoadReportClient(LoadReportClient):
    """Load reports of replicas that never restart."""

    def __init__(self, running: Counter[str]):
        self._running = running

    async def read(self, url: str) -> LoadReport | None:
        await sleep_ms(2)
        return LoadReport(self._running[url], "boot", 0)


def make_settings(router: str, zone: str, **sections) -> Settings:
    """Return the settings of a router on fakes; `sections` change single values."""
    value = {
        "router": router,
        "zone": zone,
        "peers": {"keys": [FLEET_KEY]},
        "store": {"url": "http://fake"},
    }
    for name, changes in sections.items():
        value[name] = {**value.get(name, {}), **changes}
    return parse_settings("test", json.dumps(value), {})


def make_node(
    name: str,
    zone: str,
    boot: str,
    platform: FakePlatform,
    network: FakeNetwork,
    running: Counter[str],
    nursery: trio.Nursery,
    clock: Clock | None = None,
    **sections,
) -> Coordination:
    """Return the coordination of one router on fakes; `sections` change its settings."""
    cfg = make_settings(name, zone, **sections)
    identity = PeerIdentity(RouterId(name), BootId(boot), ZoneId(zone), cfg.peers)
    store = FakeStore(platform, RouterId(name))
    return Coordination(
        cfg,
        clock or LoopClock(),
        FakePeerTransport(identity, network),
        store,
        store,
        store,
        FakeLoadReportClient(running),
        TELEMETRY,
        nursery,
    )


class CountingTelemetry(Telemetry):
    """Telemetry that counts and sends nothing."""

    def __init__(self):
        self.counts = Counter()
        self._statsd = None
        self._tracer = None


TELEMETRY = CountingTelemetry()
