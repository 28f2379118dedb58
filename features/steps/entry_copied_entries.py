"""Steps for routers that start while the entries of a restored store are still those of a copy."""

from functools import partial

import trio
from behave import given, when

from features.entry_run_state import HEARTBEAT_S, MS_PER_S
from features.steps.entry_soon_again import COLD_S, SETTLE_S, open_world, send_requests
from features.virtual_world import ZONES
from features.world import run_virtual

DOWN_S = 1
COUNTED_S = 3


@given(
    "{count:d} routers, and a replica that is cold though a copy of the store says that it is not"
)
def routers_and_copied_entry(context, count):
    context.router_count = count


@when("one of them starts {span:d} ms after the store was restored, and gets requests all the time")
def starts_after_restore(context, span):
    context.arrived_at = run_virtual(
        1, partial(start_after_restore, context.router_count, span / MS_PER_S)
    )


async def start_after_restore(count, span_s):
    """Return when requests reached the cold replica."""
    async with trio.open_nursery() as nursery:
        world, replica = await open_world(nursery, count)
        copy = world.store.copy()
        renew_entry(world)
        await trio.sleep(SETTLE_S)
        starting = world.routers[1]
        await world.kill(starting)
        await trio.sleep(DOWN_S)
        world.store.restore(copy)
        await trio.sleep(span_s)
        world.start_process(starting)
        nursery.start_soon(send_requests, world, starting, nursery)
        await trio.sleep(HEARTBEAT_S - span_s)
        renew_entry(world)
        await trio.sleep(COUNTED_S)
        nursery.cancel_scope.cancel()
    return [arrival.at for arrival in replica.arrivals]


def renew_entry(world):
    """Write the entry of the replica, which is cold."""
    cold_ms = int(COLD_S * MS_PER_S)
    world.register_replica("lm-0", "lm", ZONES[0], cold_remaining_ms=cold_ms)
