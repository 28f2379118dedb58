"""Cases of a fleet on fakes: each brings one failure about and asserts what must hold."""

import trio

from features.world import ZONES, World, make_routing, open_world
from skylarklift.clock import sleep_ms
from skylarklift.config.patching import PATCH_PREFIX
from skylarklift.errors import PatchError, SkylarkError, StalePatch, StoreError
from skylarklift.ids import RouterId
from skylarklift.votes.freshness import HeadNumbers

CASES = {}


def case(function):
    """Enter a case under its name in words."""
    CASES[function.__name__.replace("_", " ")] = function
    return function


def out(zone: str) -> dict:
    """Return the patch that takes a zone out."""
    return {"zones": {zone: {"state": "out"}}}


def back(zone: str) -> dict:
    """Return the patch that takes a zone in."""
    return {"zones": {zone: {"state": "in"}}}


async def keep_busy(world: World, span_s: float, names=None) -> None:
    """Send chats and calls through routers for a while."""
    end = trio.current_time() + span_s
    number = 0
    while trio.current_time() < end:
        for name in sorted(names or world.names()):
            number += 1
            world.nursery.start_soon(world.chat, name, number % 60, 400)
            world.nursery.start_soon(world.call_service, name)
        await sleep_ms(100)


def all_fresh(world: World) -> bool:
    """Tell whether every router may give out work."""
    return all(node.freshness.is_fresh() for node in world.network.nodes.values())


def all_at(world: World, version: int) -> bool:
    """Tell whether every router acts on a version."""
    nodes = world.network.nodes.values()
    return all(node.heads.table.version == version for node in nodes)


@case
async def a_router_that_is_cut_off_stops_while_a_zone_leaves(world: World):
    lonely = RouterId("n0")
    world.network.isolate(lonely, world.names())
    world.platform.cut = {lonely}
    others = sorted(world.names() - {lonely})
    await world.wait_for(lambda: set(world.admitters()) & set(others), 10)
    await world.patch(others[0], out("zone-2"))
    await keep_busy(world, 8)
    assert not world.node("n0").freshness.is_fresh()
    assert all(world.node(name).freshness.is_fresh() for name in others)


@case
async def a_minority_without_the_store_stops_while_a_zone_leaves(world: World):
    group = {RouterId("n0"), RouterId("n1")}
    world.network.part(group, world.names())
    world.platform.cut = group
    others = sorted(world.names() - group)
    await world.wait_for(lambda: set(world.admitters()) & set(others), 10)
    await world.patch(others[0], out("zone-3"))
    await keep_busy(world, 8)
    assert not any(world.node(name).freshness.is_fresh() for name in group)


@case
async def a_store_outage_of_a_minute_stops_nothing(world: World):
    world.platform.away = True
    for _ in range(60):
        await sleep_ms(1000)
        assert all_fresh(world), trio.current_time()
    assert await world.chat("n0", 1, 100) == "served"


@case
async def a_router_cut_from_the_store_only_goes_on(world: World):
    world.platform.cut = {RouterId("n1")}
    for _ in range(20):
        await sleep_ms(1000)
        assert world.node("n1").freshness.is_fresh()


@case
async def a_majority_without_the_store_accepts_nothing_behind_its_back(world: World):
    group = {RouterId(name) for name in ("n0", "n1", "n2", "n3")}
    lonely = sorted(world.names() - group)
    world.network.part(group, world.names())
    world.platform.cut = group
    await sleep_ms(5000)
    try:
        await world.patch(lonely[0], out("zone-1"))
    except (PatchError, StoreError):
        pass
    await keep_busy(world, 8)


@case
async def the_admitter_dies(world: World):
    await keep_busy(world, 2)
    world.kill(world.admitters()[0])
    await keep_busy(world, 6)
    assert len(world.admitters()) == 1


@case
async def the_admitter_dies_while_the_store_is_away(world: World):
    world.platform.away = True
    await keep_busy(world, 3)
    world.kill(world.admitters()[0])
    await keep_busy(world, 6)
    assert len(world.admitters()) == 1
    assert await world.chat(sorted(world.names())[0], 3, 100) == "served"


@case
async def the_admitter_is_parted_from_the_others(world: World):
    await keep_busy(world, 2)
    world.network.isolate(world.admitters()[0], world.names())
    await keep_busy(world, 8)
    world.network.cuts = set()
    await keep_busy(world, 4)
    assert len(world.admitters()) == 1


@case
async def the_admitter_hands_over_as_it_leaves(world: World):
    await keep_busy(world, 2)
    admitter = world.admitters()[0]
    began = trio.current_time()
    assert await world.node(admitter).hand_over()
    assert await world.wait_for(lambda: world.admitters() not in ([], [admitter]), 2)
    assert trio.current_time() - began < 1.5
    await keep_busy(world, 2)
    await world.node(admitter).leave()
    await keep_busy(world, 1)


@case
async def a_new_admitter_counts_the_chats_that_run_already(world: World):
    admitter = world.admitters()[0]
    others = sorted(world.names() - {admitter})
    for number in range(30):
        world.nursery.start_soon(world.chat, others[number % 5], number, 9000)
    await sleep_ms(1000)
    world.kill(admitter)
    assert await world.wait_for(lambda: len(world.admitters()) == 1, 5)
    for number in range(30):
        world.nursery.start_soon(world.chat, others[number % 5], number, 500)
        await sleep_ms(20)
    assert await world.wait_for(lambda: world.counts["dispatched"] >= 55, 6)


@case
async def a_zone_leaves_and_returns_twice_under_load(world: World):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_busy, world, 20)
        for _ in range(2):
            for zone in ZONES[:2]:
                version = await world.patch("n0", out(zone))
                assert await world.wait_for(lambda v=version: all_at(world, v), 2)
                await sleep_ms(2000)
                await world.patch("n3", back(zone))
                await sleep_ms(1500)
    assert world.breaches == []


@case
async def a_lost_answer_of_an_acceptance_is_settled(world: World):
    world.platform.lost_share = 0.7
    before = world.newest_version()
    version = await world.patch("n2", out("zone-1"), "the-patch")
    assert version == before + 1
    again = await world.patch("n4", out("zone-1"), "the-patch")
    assert again == version, "asked again by its id, the patch is the same one"
    assert world.newest_version() == version


@case
async def racing_operators_get_one_acceptance_for_each_version(world: World):
    outcomes = []

    async def submit(name: str, zone: str) -> None:
        try:
            outcomes.append(await world.patch(name, out(zone)))
        except StalePatch as exc:
            outcomes.append(exc)

    before = world.newest_version()
    async with trio.open_nursery() as nursery:
        for number, name in enumerate(sorted(world.names())):
            nursery.start_soon(submit, name, ZONES[number % 2])
    accepted = [item for item in outcomes if isinstance(item, int)]
    assert accepted == [before + 1], outcomes
    stale = [item for item in outcomes if isinstance(item, StalePatch)]
    assert len(stale) == len(outcomes) - 1
    shown = {row.version for exc in stale for row in exc.changes}
    assert shown == {before + 1}


@case
async def a_voter_that_restarts_during_an_acceptance_does_not_vouch(world: World):
    """Found by the model: it forgot what it agreed to and vouched for the old version."""
    voters = world.node("n0").voters.required_sets("freshness")[0]
    told, restarted = voters[:3], voters[2]
    parted = set(voters[2:]) | (world.names() - set(voters))
    acceptor = told[0]
    world.network.part(parted - {restarted}, world.names())
    numbers = HeadNumbers(world.newest_version() + 1, world.node("n0").heads.view.number)
    assert await world.node(acceptor).gossip.prepare(numbers)
    world.network.part(parted, world.names())
    world.platform.cut = set(parted)
    world.kill(restarted)
    seed = sorted(parted - {restarted})[0]
    world.start(restarted, peers={"seeds": [{"host": seed, "port": 1}]})
    await sleep_ms(300)

    async def agreed_before(_heads: HeadNumbers) -> bool:
        return True

    # The acceptance goes on from where the restart met it: the majority had agreed.
    world.node(acceptor).heads.prepare = agreed_before
    await world.patch(acceptor, out("zone-3"))
    await keep_busy(world, 8, parted)
    assert not any(world.node(name).freshness.is_fresh() for name in parted)


@case
async def a_patch_during_an_outage_is_refused_and_stops_nobody(world: World):
    world.platform.away = True
    await sleep_ms(3000)
    for name in sorted(world.names()):
        try:
            await world.patch(name, out("zone-2"))
            raise AssertionError("accepted without the store")
        except StoreError:
            pass
    for _ in range(15):
        await sleep_ms(1000)
        assert all_fresh(world), trio.current_time()


@case
async def a_router_that_starts_during_an_outage_learns_from_its_peers(world: World):
    world.platform.away = True
    world.start("n7", peers={"seeds": [{"host": "n1", "port": 1}]})
    assert await world.wait_for(
        lambda: "n7" in world.names()
        and world.node("n7").heads.table.version == world.newest_version()
        and world.node("n7").freshness.is_fresh(),
        5,
    )
    assert await world.call_service("n7") == "called"
    world.platform.away = False
    assert await world.wait_for(lambda: world.node("n7").gossip.is_member(), 10)


@case
async def the_whole_fleet_is_replaced_at_once(world: World):
    for name in sorted(world.names()):
        world.kill(name)
    for number in range(10, 16):
        world.start(f"n{number}")
    assert await world.wait_for(lambda: len(world.admitters()) == 1 and all_fresh(world), 60)
    assert await world.chat("n10", 1, 100) == "served"
    assert world.node("n10").heads.table.value == make_routing()


@case
async def a_dead_router_leaves_the_view_and_a_restarted_one_returns(world: World):
    world.kill("n2")
    node = world.node("n0")
    assert await world.wait_for(lambda: "n2" not in node.membership.live(), 5)
    assert await world.wait_for(lambda: "n2" not in node.membership.members, 30)
    world.start("n2")
    assert await world.wait_for(lambda: "n2" in node.membership.live(), 10)


@case
async def a_wrong_suspicion_heals(world: World):
    world.network.isolate(RouterId("n4"), world.names())
    node = world.node("n0")
    assert await world.wait_for(lambda: "n4" not in node.membership.live(), 10)
    world.network.cuts = set()
    assert await world.wait_for(
        lambda: all(
            set(item.membership.live()) == world.names() for item in world.network.nodes.values()
        ),
        15,
    )


@case
async def a_patch_is_in_force_everywhere_within_two_seconds(world: World):
    for number in range(10):
        version = await world.patch(f"n{number % 6}", {"workspaces": {"w0": {"share": number + 1}}})
        began = trio.current_time()
        assert await world.wait_for(lambda v=version: all_at(world, v) and all_fresh(world), 2)
        assert trio.current_time() - began < 2
        await sleep_ms(300)


@case
async def a_router_far_behind_loads_snapshot_and_patches(world: World):
    world.network.isolate(RouterId("n5"), world.names())
    world.platform.cut = {RouterId("n5")}
    for number in range(40):
        await world.patch("n1", {"workspaces": {"w1": {"share": number + 1}}})
    world.kill("n5")
    world.network.cuts, world.platform.cut = set(), set()
    world.start("n5")
    assert await world.wait_for(lambda: all_at(world, world.newest_version()), 10)
    assert any(key.startswith("config/snapshot/") for key in world.platform.objects)
    assert sum(key.startswith(PATCH_PREFIX) for key in world.platform.rows) >= 41


@case
async def a_refused_placement_has_no_grant(world: World):
    """Every router is asked while nobody admits; the refusals must leave no load behind."""
    for name in sorted(world.names()):
        world.network.isolate(RouterId(name), world.names())
    world.network.cuts = {frozenset((a, b)) for a in world.names() for b in world.names() if a != b}
    await sleep_ms(4000)
    for name in sorted(world.names()):
        try:
            outcome = await world.chat(name, 5, 100, wait_ms=500)
        except SkylarkError as exc:
            outcome = str(exc)
        assert outcome != "served", outcome
    world.network.cuts = set()
    await world.wait_for(lambda: len(world.admitters()) == 1, 20)
    await sleep_ms(12_000)
    admitter = world.node(world.admitters()[0]).pools.admitters()["till"]
    assert admitter.grants() == []


async def run_case(name: str, seed: int) -> list[str]:
    """Run a case; return the breaches of what must always hold."""
    async with open_world(seed, 6) as world:
        await CASES[name](world)
        return list(world.breaches)
