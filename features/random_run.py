"""Random runs of a fleet: load, concurrent patches, non-idempotent requests and faults.

The invariants are checked while a run lasts and after its faults have ended.
"""

from collections import Counter
from dataclasses import dataclass, field

import trio

from features.world import ZONES, World, open_world, run_virtual
from skylarklift.clock import sleep_ms
from skylarklift.coordination import Coordination
from skylarklift.errors import (
    InvariantBreach,
    PatchError,
    SettingsError,
    SkylarkError,
    StalePatch,
    StoreError,
)
from skylarklift.ids import RouterId, WorkspaceId
from skylarklift.invariants import INVARIANTS
from skylarklift.requests.claims import ClaimName, ClaimState

ROUTERS = 6
CHAT_INTERVAL_MS = 40
CALL_INTERVAL_MS = 30
FAULT_INTERVAL_RANGE_MS = (500, 4000)
FAULT_DURATION_RANGE_MS = (500, 9000)
RECOVERY_LIMIT_S = 30


@dataclass
class RunResult:
    """The violations and counts of one run."""

    seed: int
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    patches_accepted: int = 0
    requests_executed: int = 0
    counts: Counter[str] = field(default_factory=Counter)


class RandomRun:
    """One run with a seed, for a duration of virtual time."""

    def __init__(self, seed: int, duration_s: float):
        self.seed = seed
        self.duration_s = duration_s
        self.result = RunResult(seed)
        self._effects: Counter[str] = Counter()
        self._not_run: set[tuple[str, int]] = set()

    def run(self) -> RunResult:
        """Run it; breaches of the router's own invariants are violations too."""
        INVARIANTS.counts.clear()
        run_virtual(self.seed, self._main)
        self.result.violations += [f"invariant {name}" for name in INVARIANTS.counts]
        self.result.violations += [
            f"{key} ran {count} times" for key, count in self._effects.items() if count > 1
        ]
        return self.result

    async def _main(self) -> None:
        """Run load and faults for the duration, then check that the fleet recovers."""
        async with open_world(self.seed, ROUTERS) as world:
            self._world = world
            self._rng = world.rng
            with trio.move_on_after(self.duration_s):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_chats, world.nursery)
                    nursery.start_soon(self._run_calls, world.nursery)
                    nursery.start_soon(self._run_operators)
                    nursery.start_soon(self._run_non_idempotent_requests, world.nursery)
                    nursery.start_soon(self._run_faults)
            await self._check_recovery(world)
            self.result.violations += world.violations
            self.result.counts = world.counts

    async def _check_recovery(self, world: World) -> None:
        """End all faults; then the routers must agree and serve without a further action."""
        self._end_faults(world)
        recovered = await world.wait_for(lambda: self._has_recovered(world), RECOVERY_LIMIT_S)
        if not recovered:
            states = {
                name: (node.heads.numbers(), node.freshness.is_fresh(), len(node.membership.live()))
                for name, node in world.network.nodes.items()
            }
            self.result.violations.append(f"not recovered: {states}, admitters {world.admitters()}")
            return
        outcome = await world.run_chat(sorted(world.running_routers())[0], 1, 100)
        if outcome != "served":
            self.result.violations.append(f"a chat after the run: {outcome}")

    def _has_recovered(self, world: World) -> bool:
        """Return whether all routers are fresh, have the newest version and one admits."""
        nodes = world.network.nodes.values()
        version = world.newest_version()
        return len(world.admitters()) == 1 and all(
            node.heads.table.version == version
            and node.freshness.is_fresh()
            and set(node.membership.live()) == world.running_routers()
            for node in nodes
        )

    def _end_faults(self, world: World) -> None:
        """End every fault."""
        world.network.blocked_links = set()
        world.network.loss_rate = 0.0
        world.network.delay_ms = (1, 4)
        platform = world.platform
        (
            platform.unavailable,
            platform.unreachable_from,
            platform.loss_rate,
            platform.extra_delay_ms,
        ) = (False, set(), 0.0, 0)

    # Load.

    def _choose_router(self) -> str | None:
        """Return a random running router, or None if none runs."""
        names = sorted(self._world.running_routers())
        return self._rng.choice(names) if names else None

    async def _run_chats(self, nursery: trio.Nursery) -> None:
        """Send chats at random intervals."""
        while True:
            await sleep_ms(CHAT_INTERVAL_MS * self._rng.uniform(0.2, 1.8))
            nursery.start_soon(self._send_chat)

    async def _send_chat(self) -> None:
        """Send one chat through a random router."""
        name = self._choose_router()
        if name is not None:
            duration_ms = self._rng.uniform(100, 1500)
            outcome = await self._world.run_chat(name, self._rng.randrange(80), duration_ms)
            self.result.outcomes[outcome] += 1

    async def _run_calls(self, nursery: trio.Nursery) -> None:
        """Send requests to the plain service at random intervals."""
        while True:
            await sleep_ms(CALL_INTERVAL_MS * self._rng.uniform(0.2, 1.8))
            nursery.start_soon(self._call_service)

    async def _call_service(self) -> None:
        """Send one request to the plain service through a random router."""
        name = self._choose_router()
        if name is not None:
            self.result.outcomes[await self._world.call_service(name)] += 1

    async def _run_operators(self) -> None:
        """Take zones out and in, at times with several concurrent patches."""
        while True:
            await sleep_ms(self._rng.uniform(300, 3000))
            async with trio.open_nursery() as nursery:
                for _ in range(self._rng.choice((1, 1, 2, 3))):
                    nursery.start_soon(self._submit_patch)

    async def _submit_patch(self) -> None:
        """Submit one patch that takes a zone out or in; it leaves at least one zone in."""
        name = self._choose_router()
        if name is None:
            return
        zone = self._rng.choice(ZONES)
        routing = self._world.node(name).heads.table.routing
        others_in = [z for z, item in routing.zones.items() if z != zone and item.state == "in"]
        out = self._rng.random() < 0.5 and len(others_in) > 1
        patch = {"zones": {zone: {"state": "out" if out else "in"}}}
        node = self._world.node(name)
        try:
            if (
                await self._world.run_until_killed(node, self._world.submit_patch, name, patch)
                == "router_down"
            ):
                return
            self.result.patches_accepted += 1
        except StalePatch:
            self.result.outcomes["stale_patch"] += 1
        except (PatchError, SettingsError, StoreError):
            self.result.outcomes["patch_refused"] += 1

    async def _run_non_idempotent_requests(self, nursery: trio.Nursery) -> None:
        """Send each non-idempotent request up to three times, through random routers."""
        number = 0
        while True:
            await sleep_ms(self._rng.uniform(50, 400))
            number += 1
            for _ in range(self._rng.choice((1, 2, 3))):
                nursery.start_soon(self._send_non_idempotent_request, f"key-{number}")

    async def _send_non_idempotent_request(self, key: str) -> None:
        """Send a non-idempotent request with a key through a random router."""
        name = self._choose_router()
        if name is None:
            return
        node = self._world.node(name)
        await self._world.run_until_killed(node, self._claim_and_execute, node, key)

    async def _claim_and_execute(self, node: Coordination, key: str) -> None:
        """Claim a key at a running router and, if the claim is obtained, count one effect."""
        try:
            await node.gate.enter(1000)
            claim = await node.claims.claim(ClaimName(WorkspaceId("w0"), key), "f", 2000)
        except SkylarkError:
            return
        if claim.state is not ClaimState.OURS:
            self.result.outcomes[f"claim_{claim.state.value}"] += 1
            return
        await sleep_ms(self._rng.uniform(0, 300))
        try:
            claim.mark_dispatched()
        except InvariantBreach:
            return
        self._effects[key] += 1
        self.result.requests_executed += 1

    # Faults.

    async def _run_faults(self) -> None:
        """Start faults at random intervals, one or two at a time."""
        while True:
            await sleep_ms(self._rng.uniform(*FAULT_INTERVAL_RANGE_MS))
            count = self._rng.choice((1, 1, 2))
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    fault = self._rng.choice(self._faults())
                    self.result.faults[fault.__name__] += 1
                    nursery.start_soon(fault, self._world)

    def _faults(self):
        """Return the methods that cause the faults."""
        return [
            self._crash,
            self._isolate,
            self._partition,
            self._partition_from_routers_and_store,
            self._store_unavailable,
            self._store_loses_answers,
            self._store_slow,
            self._store_unreachable_for_some,
            self._lossy_network,
            self._slow_network,
        ]

    async def _keep_fault(self) -> None:
        """Wait for the random duration of a fault."""
        await sleep_ms(self._rng.uniform(*FAULT_DURATION_RANGE_MS))

    async def _crash(self, world: World) -> None:
        """Kill a router and restart it later, unless three or fewer routers run."""
        name = self._choose_router()
        if name is None or len(world.running_routers()) <= 3:
            return
        world.kill(name)
        await self._keep_fault()
        world.start(name)

    async def _isolate(self, world: World) -> None:
        """Partition one router from the others."""
        world.network.isolate(RouterId(self._choose_router()), world.running_routers())
        await self._keep_fault()
        world.network.blocked_links = set()

    async def _partition(self, world: World) -> None:
        """Partition the fleet into two groups."""
        names = sorted(world.running_routers())
        group = set(self._rng.sample(names, self._rng.randint(1, max(1, len(names) - 1))))
        world.network.partition(group, world.running_routers())
        await self._keep_fault()
        world.network.blocked_links = set()

    async def _partition_from_routers_and_store(self, world: World) -> None:
        """Partition some routers from the others and from the store."""
        names = sorted(world.running_routers())
        group = set(self._rng.sample(names, self._rng.randint(1, max(1, len(names) - 1))))
        world.network.partition(group, world.running_routers())
        world.platform.unreachable_from = group
        await self._keep_fault()
        world.network.blocked_links, world.platform.unreachable_from = set(), set()

    async def _store_unavailable(self, world: World) -> None:
        """Make the store unavailable to all routers."""
        world.platform.unavailable = True
        await self._keep_fault()
        world.platform.unavailable = False

    async def _store_loses_answers(self, world: World) -> None:
        """Lose answers of the store."""
        world.platform.loss_rate = self._rng.uniform(0.1, 0.9)
        await self._keep_fault()
        world.platform.loss_rate = 0.0

    async def _store_slow(self, world: World) -> None:
        """Add a delay to each call of the store."""
        world.platform.extra_delay_ms = self._rng.choice((50, 300, 900))
        await self._keep_fault()
        world.platform.extra_delay_ms = 0

    async def _store_unreachable_for_some(self, world: World) -> None:
        """Make the store unreachable from some routers."""
        names = sorted(world.running_routers())
        world.platform.unreachable_from = set(
            self._rng.sample(names, self._rng.randint(1, len(names)))
        )
        await self._keep_fault()
        world.platform.unreachable_from = set()

    async def _lossy_network(self, world: World) -> None:
        """Lose messages between routers."""
        world.network.loss_rate = self._rng.uniform(0.02, 0.3)
        await self._keep_fault()
        world.network.loss_rate = 0.0

    async def _slow_network(self, world: World) -> None:
        """Raise the delay of messages between routers."""
        world.network.delay_ms = (5, self._rng.choice((30, 100, 300)))
        await self._keep_fault()
        world.network.delay_ms = (1, 4)


def run_seed(seed: int, duration_s: float) -> RunResult:
    """Make one run with a seed."""
    return RandomRun(seed, duration_s).run()
