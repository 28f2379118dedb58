"""Cases of a fleet on fakes: each causes one failure and asserts what must hold after it."""

import trio

from features.world import ZONES, World, make_routing, open_world
from skylarklift.clock import sleep_ms
from skylarklift.config.patching import PATCH_PREFIX
from skylarklift.errors import PatchError, SkylarkError, StalePatch, StoreError
from skylarklift.ids import RouterId
from skylarklift.votes.freshness import HeadNumbers

CASES = {}


def fleet_case(function):
    """Register a case under its function's name, with spaces for underscores."""
    CASES[function.__name__.replace("_", " ")] = function
    return function


def zone_out_patch(zone: str) -> dict:
    """Return the patch that takes a zone out of service."""
    return {"zones": {zone: {"state": "out"}}}


def zone_in_patch(zone: str) -> dict:
    """Return the patch that takes a zone back into service."""
    return {"zones": {zone: {"state": "in"}}}


async def send_load(world: World, duration_s: float, names=None) -> None:
    """Send chats and service requests through routers, by default all, for a duration."""
    deadline = trio.current_time() + duration_s
    number = 0
    while trio.current_time() < deadline:
        for name in sorted(names or world.running_routers()):
            number += 1
            world.nursery.start_soon(world.run_chat, name, number % 60, 400)
            world.nursery.start_soon(world.call_service, name)
        await sleep_ms(100)


def all_fresh(world: World) -> bool:
    """Return whether every router may start new work."""
    return all(node.freshness.is_fresh() for node in world.network.nodes.values())


def all_have_version(world: World, version: int) -> bool:
    """Return whether every router has a version."""
    nodes = world.network.nodes.values()
    return all(node.heads.table.version == version for node in nodes)


@fleet_case
async def an_isolated_router_stops_while_a_zone_is_taken_out(world: World):
    isolated = RouterId("n0")
    world.network.isolate(isolated, world.running_routers())
    world.platform.unreachable_from = {isolated}
    others = sorted(world.running_routers() - {isolated})
    await world.wait_for(lambda: set(world.admitters()) & set(others), 10)
    await world.submit_patch(others[0], zone_out_patch("zone-2"))
    await send_load(world, 8)
    assert not world.node("n0").freshness.is_fresh()
    assert all(world.node(name).freshness.is_fresh() for name in others)


@fleet_case
async def a_minority_without_the_store_stops_while_a_zone_is_taken_out(world: World):
    group = {RouterId("n0"), RouterId("n1")}
    world.network.partition(group, world.running_routers())
    world.platform.unreachable_from = group
    others = sorted(world.running_routers() - group)
    await world.wait_for(lambda: set(world.admitters()) & set(others), 10)
    await world.submit_patch(others[0], zone_out_patch("zone-3"))
    await send_load(world, 8)
    assert not any(world.node(name).freshness.is_fresh() for name in group)


@fleet_case
async def every_router_stays_fresh_in_a_store_outage_of_a_minute(world: World):
    world.platform.unavailable = True
    for _ in range(60):
        await sleep_ms(1000)
        assert all_fresh(world), trio.current_time()
    assert await world.run_chat("n0", 1, 100) == "served"


@fleet_case
async def a_router_that_cannot_reach_the_store_stays_fresh(world: World):
    world.platform.unreachable_from = {RouterId("n1")}
    for _ in range(20):
        await sleep_ms(1000)
        assert world.node("n1").freshness.is_fresh()


@fleet_case
async def a_majority_without_the_store_does_not_work_on_an_old_version(world: World):
    group = {RouterId(name) for name in ("n0", "n1", "n2", "n3")}
    isolated = sorted(world.running_routers() - group)
    world.network.partition(group, world.running_routers())
    world.platform.unreachable_from = group
    await sleep_ms(5000)
    try:
        await world.submit_patch(isolated[0], zone_out_patch("zone-1"))
    except (PatchError, StoreError):
        pass
    await send_load(world, 8)


@fleet_case
async def a_killed_admitter_is_replaced(world: World):
    await send_load(world, 2)
    world.kill(world.admitters()[0])
    await send_load(world, 6)
    assert len(world.admitters()) == 1


@fleet_case
async def a_killed_admitter_is_replaced_in_a_store_outage(world: World):
    world.platform.unavailable = True
    await send_load(world, 3)
    world.kill(world.admitters()[0])
    await send_load(world, 6)
    assert len(world.admitters()) == 1
    assert await world.run_chat(sorted(world.running_routers())[0], 3, 100) == "served"


@fleet_case
async def an_isolated_admitter_is_replaced(world: World):
    await send_load(world, 2)
    world.network.isolate(world.admitters()[0], world.running_routers())
    await send_load(world, 8)
    world.network.blocked_links = set()
    await send_load(world, 4)
    assert len(world.admitters()) == 1
    await _return_to_some(world, world.admitters()[0])
    assert len(world.admitters()) == 1


async def _return_to_some(world: World, admitter: RouterId) -> None:
    """Isolate an admitter until it is replaced, then hide it from its prober and its successor.

    It reaches a majority, and both should admit by what they know: only the votes keep them apart.
    """
    world.network.isolate(admitter, world.running_routers())
    assert await world.wait_for(lambda: set(world.admitters()) - {admitter}, 10)
    successor = world.admitters()[0]
    ring = sorted(world.running_routers())
    prober = ring[ring.index(admitter) - 1]
    world.network.blocked_links = {frozenset((admitter, other)) for other in (successor, prober)}
    await send_load(world, 6)
    world.network.blocked_links = set()
    await send_load(world, 4)


@fleet_case
async def an_isolated_admitter_stays_replaced(world: World):
    isolated = world.admitters()[0]
    world.network.isolate(isolated, world.running_routers())
    assert await world.wait_for(lambda: set(world.admitters()) - {isolated}, 10)
    for _ in range(80):
        await sleep_ms(100)
        assert set(world.admitters()) - {isolated}, trio.current_time()


@fleet_case
async def an_admitter_hands_over_before_it_leaves(world: World):
    await send_load(world, 2)
    admitter = world.admitters()[0]
    started_at = trio.current_time()
    assert await world.node(admitter).hand_over()
    assert await world.wait_for(lambda: world.admitters() not in ([], [admitter]), 2)
    assert trio.current_time() - started_at < 1.5
    await send_load(world, 2)
    await world.node(admitter).leave()
    await send_load(world, 1)


@fleet_case
async def a_new_admitter_counts_the_running_chats(world: World):
    admitter = world.admitters()[0]
    others = sorted(world.running_routers() - {admitter})
    for number in range(30):
        world.nursery.start_soon(world.run_chat, others[number % 5], number, 9000)
    await sleep_ms(1000)
    world.kill(admitter)
    assert await world.wait_for(lambda: len(world.admitters()) == 1, 5)
    for number in range(30):
        world.nursery.start_soon(world.run_chat, others[number % 5], number, 500)
        await sleep_ms(20)
    assert await world.wait_for(lambda: world.counts["dispatched"] >= 55, 6)


@fleet_case
async def zones_are_taken_out_and_in_twice_under_load(world: World):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_load, world, 20)
        for _ in range(2):
            for zone in ZONES[:2]:
                version = await world.submit_patch("n0", zone_out_patch(zone))
                assert await world.wait_for(lambda v=version: all_have_version(world, v), 2)
                await sleep_ms(2000)
                await world.submit_patch("n3", zone_in_patch(zone))
                await sleep_ms(1500)
    assert world.violations == []


@fleet_case
async def an_acceptance_whose_answer_is_lost_is_settled(world: World):
    world.platform.loss_rate = 0.7
    before = world.newest_version()
    version = await world.submit_patch("n2", zone_out_patch("zone-1"), "the-patch")
    assert version == before + 1
    again = await world.submit_patch("n4", zone_out_patch("zone-1"), "the-patch")
    assert again == version, "a patch that is submitted again with its id must get the same version"
    assert world.newest_version() == version


@fleet_case
async def one_of_several_concurrent_patches_is_accepted(world: World):
    outcomes = []

    async def submit(name: str, zone: str) -> None:
        try:
            outcomes.append(await world.submit_patch(name, zone_out_patch(zone)))
        except StalePatch as exc:
            outcomes.append(exc)

    before = world.newest_version()
    async with trio.open_nursery() as nursery:
        for number, name in enumerate(sorted(world.running_routers())):
            nursery.start_soon(submit, name, ZONES[number % 2])
    accepted = [item for item in outcomes if isinstance(item, int)]
    assert accepted == [before + 1], outcomes
    stale = [item for item in outcomes if isinstance(item, StalePatch)]
    assert len(stale) == len(outcomes) - 1
    shown = {row.version for exc in stale for row in exc.changes}
    assert shown == {before + 1}


@fleet_case
async def a_voter_that_restarts_during_an_acceptance_does_not_vouch(world: World):
    """A restarted voter does not know which acceptance it agreed to before.

    If it vouched for the old version, the partitioned routers would stay fresh although
    the new version is accepted.  The search of the specification found this fault.
    """
    voters = world.node("n0").voters.required_sets("freshness")[0]
    informed, restarted = voters[:3], voters[2]
    partitioned = set(voters[2:]) | (world.running_routers() - set(voters))
    acceptor = informed[0]
    world.network.partition(partitioned - {restarted}, world.running_routers())
    numbers = HeadNumbers(world.newest_version() + 1, world.node("n0").heads.view.number)
    assert await world.node(acceptor).gossip.prepare(numbers)
    world.network.partition(partitioned, world.running_routers())
    world.platform.unreachable_from = set(partitioned)
    world.kill(restarted)
    seed = sorted(partitioned - {restarted})[0]
    world.start(restarted, peers={"seeds": [{"host": seed, "port": 1}]})
    await sleep_ms(300)

    async def already_agreed(_heads: HeadNumbers) -> bool:
        return True

    # A majority agreed before the restart, so the acceptance does not ask again.
    world.node(acceptor).heads.prepare = already_agreed
    await world.submit_patch(acceptor, zone_out_patch("zone-3"))
    await send_load(world, 8, partitioned)
    assert not any(world.node(name).freshness.is_fresh() for name in partitioned)


@fleet_case
async def a_patch_in_a_store_outage_is_refused_and_all_routers_stay_fresh(world: World):
    world.platform.unavailable = True
    await sleep_ms(3000)
    for name in sorted(world.running_routers()):
        try:
            await world.submit_patch(name, zone_out_patch("zone-2"))
            raise AssertionError("a patch was accepted while the store was unavailable")
        except StoreError:
            pass
    for _ in range(15):
        await sleep_ms(1000)
        assert all_fresh(world), trio.current_time()


@fleet_case
async def a_router_that_starts_in_a_store_outage_loads_its_state_from_peers(world: World):
    world.platform.unavailable = True
    world.start("n7", peers={"seeds": [{"host": "n1", "port": 1}]})
    assert await world.wait_for(
        lambda: "n7" in world.running_routers()
        and world.node("n7").heads.table.version == world.newest_version()
        and world.node("n7").freshness.is_fresh(),
        5,
    )
    assert await world.call_service("n7") == "called"
    world.platform.unavailable = False
    assert await world.wait_for(lambda: world.node("n7").gossip.is_member(), 10)


@fleet_case
async def all_routers_are_replaced_at_once(world: World):
    for name in sorted(world.running_routers()):
        world.kill(name)
    for number in range(10, 16):
        world.start(f"n{number}")
    assert await world.wait_for(lambda: len(world.admitters()) == 1 and all_fresh(world), 60)
    assert await world.run_chat("n10", 1, 100) == "served"
    assert world.node("n10").heads.table.value == make_routing()


@fleet_case
async def a_killed_router_leaves_the_view_and_rejoins_after_a_restart(world: World):
    world.kill("n2")
    node = world.node("n0")
    assert await world.wait_for(lambda: "n2" not in node.membership.live(), 5)
    assert await world.wait_for(lambda: "n2" not in node.membership.members, 30)
    world.start("n2")
    assert await world.wait_for(lambda: "n2" in node.membership.live(), 10)


@fleet_case
async def a_false_suspicion_is_withdrawn(world: World):
    world.network.isolate(RouterId("n4"), world.running_routers())
    node = world.node("n0")
    assert await world.wait_for(lambda: "n4" not in node.membership.live(), 10)
    world.network.blocked_links = set()
    assert await world.wait_for(
        lambda: all(
            set(item.membership.live()) == world.running_routers()
            for item in world.network.nodes.values()
        ),
        15,
    )


@fleet_case
async def a_patch_is_in_force_everywhere_within_two_seconds(world: World):
    for number in range(10):
        version = await world.submit_patch(
            f"n{number % 6}", {"workspaces": {"w0": {"share": number + 1}}}
        )
        started_at = trio.current_time()
        assert await world.wait_for(
            lambda v=version: all_have_version(world, v) and all_fresh(world), 2
        )
        assert trio.current_time() - started_at < 2
        await sleep_ms(300)


@fleet_case
async def a_router_far_behind_loads_snapshot_and_patches(world: World):
    world.network.isolate(RouterId("n5"), world.running_routers())
    world.platform.unreachable_from = {RouterId("n5")}
    for number in range(40):
        await world.submit_patch("n1", {"workspaces": {"w1": {"share": number + 1}}})
    world.kill("n5")
    world.network.blocked_links, world.platform.unreachable_from = set(), set()
    world.start("n5")
    assert await world.wait_for(lambda: all_have_version(world, world.newest_version()), 10)
    assert any(key.startswith("config/snapshot/") for key in world.platform.objects)
    assert sum(key.startswith(PATCH_PREFIX) for key in world.platform.rows) >= 41


@fleet_case
async def a_refused_placement_leaves_no_grant(world: World):
    """Place chats while no router can admit; refused placements must leave no grant behind."""
    for name in sorted(world.running_routers()):
        world.network.isolate(RouterId(name), world.running_routers())
    world.network.blocked_links = {
        frozenset((a, b))
        for a in world.running_routers()
        for b in world.running_routers()
        if a != b
    }
    await sleep_ms(4000)
    for name in sorted(world.running_routers()):
        try:
            outcome = await world.run_chat(name, 5, 100, wait_ms=500)
        except SkylarkError as exc:
            outcome = str(exc)
        assert outcome != "served", outcome
    world.network.blocked_links = set()
    await world.wait_for(lambda: len(world.admitters()) == 1, 20)
    await sleep_ms(12_000)
    admitter = world.node(world.admitters()[0]).pools.admitters()["till"]
    assert admitter.grants() == []


async def run_case(name: str, seed: int) -> list[str]:
    """Run a case; return the violated invariants."""
    async with open_world(seed, 6) as world:
        await CASES[name](world)
        return list(world.violations)
