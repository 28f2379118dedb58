"""Steps for routers that are killed and start again while a replica is cold."""

from random import Random

import trio
from behave import given, then, when

from features.entry_run_state import COLD_PER_S, TIGHT_BOUNDS
from features.virtual_world import CALLER_HOST, CALLER_PORT, ZONES, VirtualWorld
from features.world import run_virtual
from standins.entry_world import exchange

COLD_S = 30.0
SETTLE_S = 2
FIRST_REQUESTS_S = 0.05
REQUEST_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 3
AFTER_START_S = 1.3
KILLS = 4


@given("{count:d} routers that get requests all the time, and a cold replica")
def routers_and_cold_replica(context, count):
    context.router_count = count


@when("{victims} of them are killed again and again, and start {span:d} ms later")
def killed_again_and_again(context, victims, span):
    numbers = range(context.router_count) if victims == "all" else [int(victims[1:])]
    context.arrived_at = run_virtual(1, kill_routers, context.router_count, numbers, span / 1000)


@then("at most {limit:d} requests reach the replica in any second, and at least {least:d} in all")
def arrivals_are_limited(context, limit, least):
    times = context.arrived_at
    most = max(sum(first <= at < first + 1 for at in times) for first in times)
    assert most <= limit and len(times) >= least, (most, len(times))


async def open_world(nursery, count):
    """Return a world of routers that know a replica, and the replica."""
    world = VirtualWorld(nursery, Random(1), TIGHT_BOUNDS)
    cold = {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
    world.service_plans = [{**plan, **cold} for plan in world.service_plans]
    world.write_plan()
    replica = await world.add_replica("lm-0", "lm", ZONES[0])
    for number in range(count):
        await world.start_router(ZONES[number % len(ZONES)])
    await trio.sleep(SETTLE_S)
    return world, replica


async def open_cold_world(nursery, count):
    """Return a world of routers that know a replica as cold, and the replica."""
    world, replica = await open_world(nursery, count)
    cold_ms = int(COLD_S * 1000)
    replica.born = 2
    world.register_replica("lm-0", "lm", ZONES[0], cold_remaining_ms=cold_ms, born=2)
    await trio.sleep(SETTLE_S)
    return world, replica


async def kill_routers(count, numbers, down_s):
    """Return when requests reached the cold replica."""
    async with trio.open_nursery() as nursery:
        world, replica = await open_cold_world(nursery, count)
        for router in world.routers:
            nursery.start_soon(send_requests, world, router, nursery)
        await trio.sleep(FIRST_REQUESTS_S)
        victims = [world.routers[number] for number in numbers]
        for _ in range(KILLS):
            for router in victims:
                await world.kill(router)
            await trio.sleep(down_s)
            for router in victims:
                world.start_process(router)
            await trio.sleep(AFTER_START_S)
        nursery.cancel_scope.cancel()
    return [arrival.at for arrival in replica.arrivals]


async def send_requests(world, router, nursery):
    """Send requests to a router at intervals."""
    number = 0
    while True:
        number += 1
        nursery.start_soon(send_request, world, router, f"{router.name}-{number}")
        await trio.sleep(REQUEST_INTERVAL_S)


async def send_request(world, router, request):
    """Send one request; a router that is down, or gets killed, does not answer."""
    fields = {
        "host": "app.example",
        "x-attempt-id": request,
        "x-api-key": "key-1",
        "x-deadline-ms": "4000",
        "x-token-count": "100,50",
        "x-prefix-hash": f"aa:500,c{request}:10",
    }
    with world.net.on_host(CALLER_HOST), trio.move_on_after(REQUEST_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(router.host, CALLER_PORT)
            await exchange(stream, "POST", "/chat/a", fields, b"work")
        except (OSError, trio.BrokenResourceError):
            pass
