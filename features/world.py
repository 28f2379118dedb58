"""A fleet of routers on fakes in virtual time, whose invariants are checked while it runs."""

import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio
from trio.testing import MockClock

from features.fakes import FakeNetwork, FakePlatform, make_node
from skylarklift.clock import sleep_ms
from skylarklift.config.patching import HEAD_KEY, PatchRequest
from skylarklift.coordination import Coordination
from skylarklift.errors import SkylarkError
from skylarklift.generated import PatchFormat, Priority, ReleaseCause
from skylarklift.ids import ChatKey, PatchId, PoolId, RouterId, ServiceId, Version, WorkspaceId
from skylarklift.pools.bound import load_bound
from skylarklift.pools.placer import Placement, PlacementRequest

CHECK_INTERVAL_MS = 20
ZONES = ("zone-1", "zone-2", "zone-3")
# Stated target: a zone gets no new work later than this after the patch that takes it out.
ZONE_OUT_GRACE_MS = 3000


def make_routing(replicas: int = 6, slots: int = 32) -> dict:
    """Return a configuration with one pool and one service over three zones."""
    return {
        "zones": {zone: {} for zone in ZONES},
        "pools": {
            "till": {
                "models": ["m"],
                "replicas": {
                    f"r{n}": {"url": f"http://r{n}", "zone": ZONES[n % 3], "slots": slots}
                    for n in range(replicas)
                },
                "ramp": {"start_slots": 4, "duration_ms": 1000},
            }
        },
        "services": {
            "redeem": {
                "upstreams": {f"s{n}": {"url": f"http://s{n}", "zone": ZONES[n]} for n in range(3)}
            }
        },
        "workspaces": {f"w{n}": {"pools": ["till"], "services": ["redeem"]} for n in range(4)},
    }


@dataclass
class World:
    """The routers, the fakes, and the violations and counts of the run."""

    seed: int
    nursery: trio.Nursery
    rng: random.Random
    platform: FakePlatform
    network: FakeNetwork
    running: Counter[str] = field(default_factory=Counter)
    router_scopes: dict[str, trio.CancelScope] = field(default_factory=dict)
    boot_counts: Counter[str] = field(default_factory=Counter)
    zone_out_since: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    last_versions: dict[RouterId, int] = field(default_factory=dict)
    settings: dict = field(default_factory=dict)
    work_scopes: dict[RouterId, set[trio.CancelScope]] = field(default_factory=dict)

    # Routers.

    def start(self, name: str, **sections) -> None:
        """Start a router, or restart it with a new boot id."""
        self.boot_counts[name] += 1
        zone = ZONES[int(name[1:]) % len(ZONES)]
        scope = trio.CancelScope()
        self.router_scopes[name] = scope

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as own:
                    node = make_node(
                        name,
                        zone,
                        f"{name}-{self.boot_counts[name]}",
                        self.platform,
                        self.network,
                        self.running,
                        own,
                        **{**self.settings, **sections},
                    )
                    self.network.nodes[RouterId(name)] = node
                    await node.run()

        self.nursery.start_soon(run)

    def kill(self, name: str) -> None:
        """Stop a router at once, together with its running requests."""
        self.network.nodes.pop(RouterId(name), None)
        for scope in self.work_scopes.pop(RouterId(name), set()):
            scope.cancel()
        self.router_scopes[name].cancel()
        self.last_versions.pop(RouterId(name), None)

    async def run_until_killed(self, node: Coordination, function, *arguments):
        """Run a function for a router and return its result.

        If the router is killed, the function is cancelled and the result is "router_down".
        """
        scopes = self.work_scopes.setdefault(node.me, set())
        with trio.CancelScope() as scope:
            scopes.add(scope)
            try:
                return await function(*arguments)
            finally:
                scopes.discard(scope)
        return "router_down"

    def node(self, name: str) -> Coordination:
        """Return a running router."""
        return self.network.nodes[RouterId(name)]

    def running_routers(self) -> set[RouterId]:
        """Return the names of the running routers."""
        return set(self.network.nodes)

    async def wait_for(self, condition, limit_s: float = 30) -> bool:
        """Wait in virtual time until a condition holds; return whether it did within the limit."""
        with trio.move_on_after(limit_s):
            while not condition():
                await sleep_ms(CHECK_INTERVAL_MS)
            return True
        return False

    def admitters(self) -> list[RouterId]:
        """Return the running routers that admit for the pool."""
        return [name for name, node in self.network.nodes.items() if node.pools.admitters()]

    # Operators.

    async def submit_patch(self, name: str, patch: dict, patch_id: str = "") -> Version:
        """Submit a patch at a router, against the version that the router has."""
        node = self.node(name)
        request = PatchRequest(
            node.heads.table.version,
            PatchId(patch_id or f"p{self.rng.random()}"),
            "anna",
            PatchFormat.MERGE,
            patch,
        )
        return await node.heads.accept(request)

    def record_zone_change(self, write) -> None:
        """Record when a zone was taken out, at the time the store applied the patch."""
        if not write.key.startswith("config/patch/"):
            return
        for zone, change in write.value["patch"].get("zones", {}).items():
            if change and change.get("state") == "out":
                self.zone_out_since.setdefault(zone, trio.current_time())
            else:
                self.zone_out_since.pop(zone, None)

    def newest_version(self) -> int:
        """Return the version that the store holds."""
        row = self.platform.rows.get(HEAD_KEY)
        return row.value["version"] if row else 0

    # Callers.

    async def run_chat(self, name: str, chat: int, duration_ms: float, wait_ms: int = 8000) -> str:
        """Place one chat, run it and release its grant; return the outcome."""
        node = self.network.nodes.get(RouterId(name))
        if node is None:
            return "router_down"
        return await self.run_until_killed(node, self._place_chat, node, chat, duration_ms, wait_ms)

    async def _place_chat(
        self, node: Coordination, chat: int, duration_ms: float, wait_ms: int
    ) -> str:
        """Place and run one chat at a running router."""
        try:
            table = await node.gate.enter(wait_ms)
            request = PlacementRequest(
                PoolId("till"),
                WorkspaceId(f"w{chat % 4}"),
                ChatKey(chat),
                Priority.NORMAL,
                wait_ms,
                table.version,
            )
            placement = await node.placer.place(request)
        except SkylarkError as exc:
            return getattr(exc, "code", type(exc).__name__)
        replica = node.gate.check_placement(placement)
        if replica is None:
            node.placer.release(placement, ReleaseCause.CANCELLED)
            return "not_usable"
        await self._occupy_replica(node, placement, replica.url, duration_ms)
        return "served"

    async def _occupy_replica(
        self, node: Coordination, placement: Placement, url: str, duration_ms: float
    ) -> None:
        """Check the invariants of a dispatch, then occupy the replica for the duration."""
        self.running[url] += 1
        self._check_dispatch(node, placement)
        try:
            await sleep_ms(duration_ms)
        finally:
            self.running[url] -= 1
            if self.network.nodes.get(node.me) is node:
                node.placer.release(placement, ReleaseCause.DONE)

    def _check_dispatch(self, node: Coordination, placement: Placement) -> None:
        """Check the zone of the replica, and that the admitter counts its load."""
        routing = make_routing()["pools"]["till"]["replicas"]
        self.check_zone(routing[placement.replica]["zone"])
        self.counts["dispatched"] += 1
        self._check_counted_load(placement)

    def check_zone(self, zone: str) -> None:
        """Check that a zone that gets new work was not taken out before the grace period."""
        since = self.zone_out_since.get(zone)
        if since is not None and trio.current_time() - since > ZONE_OUT_GRACE_MS / 1000:
            self.violations.append(
                f"new work in {zone} {trio.current_time() - since:.2f} s after it was taken out"
            )

    async def call_service(self, name: str) -> str:
        """Send a request to the plain service through a router; return the outcome."""
        node = self.network.nodes.get(RouterId(name))
        if node is None:
            return "router_down"
        try:
            table = await node.gate.enter(500)
        except SkylarkError:
            return "call_refused"
        service = table.service(ServiceId("redeem"))
        if service is None:
            return "call_refused"
        upstreams = service.upstreams
        upstream = upstreams[self.rng.choice(table.ids_in_service(upstreams))]
        if not node.gate.check_upstream(upstream):
            return "call_refused"
        self.check_zone(upstream.zone)
        return "called"

    def _check_counted_load(self, placement: Placement) -> None:
        """Check that the admitter counts at least the requests that the replica runs.

        It is skipped unless exactly one router admits.
        """
        admitters = self.admitters()
        if len(admitters) != 1:
            return
        admitter = self.network.nodes[admitters[0]].pools.admitters()[PoolId("till")]
        running = self.running[f"http://{placement.replica}"]
        counted = admitter.loads().get(placement.replica)
        if counted is not None and running > counted:
            text = f"{placement.replica} runs {running}, the admitter counts {counted}"
            self.violations.append(f"{text} at {trio.current_time():.2f}")

    def actual_loads(self) -> dict[str, int]:
        """Return how many chats each replica runs."""
        return {f"r{n}": self.running[f"http://r{n}"] for n in range(6)}

    # Invariants.

    async def check_invariants(self) -> None:
        """Check at intervals the invariants that hold at every time."""
        while True:
            admitters = self.admitters()
            if len(admitters) > 1:
                self.violations.append(f"two admitters at {trio.current_time():.2f}: {admitters}")
            for name, node in self.network.nodes.items():
                version = node.heads.table.version
                if version < self.last_versions.get(name, 0):
                    self.violations.append(f"{name} went back to version {version}")
                self.last_versions[name] = version
                if version > self.newest_version():
                    self.violations.append(
                        f"{name} acts on version {version} that was not accepted"
                    )
            self.counts["invariant_checks"] += 1
            await sleep_ms(CHECK_INTERVAL_MS)

    def largest_excess(self) -> int:
        """Return by how many chats the most loaded replica exceeds the load bound, at least 0."""
        loads = self.actual_loads().values()
        return max(0, max(loads) - load_bound(1.25, sum(loads), len(loads)))


@asynccontextmanager
async def open_world(seed: int, routers: int, routing: dict | None = None, **settings):
    """Run a fleet that is ready to serve; stop it at the end of the block."""
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        platform, network = FakePlatform(rng), FakeNetwork(rng)
        world = World(seed, nursery, rng, platform, network, settings=settings)
        platform.write_hooks.append(world.record_zone_change)
        for number in range(routers):
            world.start(f"n{number}")
        nursery.start_soon(world.check_invariants)
        await world.wait_for(lambda: _all_joined(world, routers))
        await world.submit_patch("n0", routing or make_routing())
        await world.wait_for(lambda: len(world.admitters()) == 1 and _all_fresh(world))
        # A router that has just started does not vouch until its past is known to be settled.
        await world.wait_for(lambda: _all_vouch(world))
        yield world
        nursery.cancel_scope.cancel()


def _all_joined(world: World, routers: int) -> bool:
    """Return whether every router has all routers in its view and is fresh."""
    nodes = world.network.nodes.values()
    return len(nodes) == routers and all(
        len(node.membership.members) == routers and node.freshness.is_fresh() for node in nodes
    )


def _all_vouch(world: World) -> bool:
    """Return whether no router has an acceptance pending, so that all may vouch."""
    return not any(
        node.heads.acceptance_tracker.is_pending() for node in world.network.nodes.values()
    )


def _all_fresh(world: World) -> bool:
    """Return whether every router is fresh and has the newest version."""
    return all(
        node.freshness.is_fresh() and node.heads.table.version == world.newest_version()
        for node in world.network.nodes.values()
    )


def run_virtual(seed: int, function, *arguments):
    """Run an async function in virtual time; the same seed gives the same run."""
    random.seed(seed)
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))
