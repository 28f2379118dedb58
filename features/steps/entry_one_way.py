"""Steps for routers whose messages arrive at others that cannot reach them."""

from random import Random

import trio
from behave import given, then

from features.entry_run_state import TIGHT_BOUNDS
from features.virtual_world import ZONES, VirtualWorld
from features.world import run_virtual

SETTLE_S = 3
CUT_S = 1
WAIT_S = 4
POLL_S = 0.01


@given("{count:d} routers, of which the one that reads the store cannot be reached by the others")
def reader_out_of_reach(context, count):
    context.router_count = count


@then("each of them knows that a zone is evacuated within {span:d} ms")
def each_knows_evacuation(context, span):
    known_ms = run_virtual(1, evacuate_zone, context.router_count)
    assert max(known_ms) <= span, known_ms


async def evacuate_zone(count):
    """Return when each router knew of an evacuation, in ms after it was written."""
    async with trio.open_nursery() as nursery:
        world = VirtualWorld(nursery, Random(1), TIGHT_BOUNDS)
        world.write_plan()
        await world.add_replica("lm-0", "lm", ZONES[0])
        for number in range(count):
            await world.start_router(ZONES[number % len(ZONES)])
        await trio.sleep(SETTLE_S)
        cut_off_readers(world)
        await trio.sleep(CUT_S)
        world.store.write("op", f"evacuate/{ZONES[0]}", b"{}")
        started = trio.current_time()
        known_ms = dict.fromkeys((router.name for router in world.routers), WAIT_S * 1000)
        while trio.current_time() < started + WAIT_S:
            for router in world.routers:
                if ZONES[0] in router.core.cluster_state.evacuated_zones:
                    now_ms = round((trio.current_time() - started) * 1000)
                    known_ms[router.name] = min(known_ms[router.name], now_ms)
            await trio.sleep(POLL_S)
        nursery.cancel_scope.cancel()
    return sorted(known_ms.values())


def cut_off_readers(world):
    """Block what is sent to the one router that reads the store."""
    (reader,) = (item for item in world.routers if all(item.core.reading_store.values()))
    for router in world.routers:
        if router is not reader:
            world.net.cut(router.host, reader.host)
