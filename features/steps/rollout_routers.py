"""Steps for roll-outs at whole routers in virtual time, with a store and replicas."""

import json
from random import Random

import trio
from behave import given, then, when

from features.entry_run_state import TIGHT_BOUNDS
from features.virtual_world import CALLER_HOST, CALLER_PORT, ZONES, VirtualWorld
from features.world import run_virtual
from standins.entry_world import exchange

ROUTERS = 3
REPLICAS = 3
INTERVAL_S = 0.03
PATHS = ("/chat/a", "/once/a", "/redeem/a")
SERVICES = ("lm", "till")
DURATION_S = 40
AFTER_S = 4
EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_S = 0.1, 50, 5.0
ALWAYS = 10**9
BAD_LIMIT = 50


@given("whole routers, replicas of v1, and replicas of v2 {state}")
def routers_and_replicas(context, state):
    context.bad = state == "that fail"


@when("both services are ordered to v2")
def order_both(context):
    context.statuses, context.requests, context.runs = run_virtual(1, play, context.bad)


@then("both roll-outs are {phase} within the deadline, after {first}")
def phases_are(context, phase, first):
    for service in SERVICES:
        found = context.statuses[service]
        assert [state for _, state in found] == [first, phase], found
        assert found[-1][0] <= DURATION_S, found


@then("v2 got no more requests than the bound on exposure allows, and none after the rollback")
def exposure_is_kept(context):
    for service in SERVICES:
        times = context.runs[service]
        assert len(times) <= EXPOSURE_SHARE * context.requests[service] + EXPOSURE_SLACK, len(times)
        if len(times) > BAD_LIMIT:
            assert times[-1] <= times[BAD_LIMIT - 1] + ROLLBACK_S, times
        reverted_at = context.statuses[service][-1][0]
        assert not times or times[-1] <= reverted_at + ROLLBACK_S, (times[-1], reverted_at)


async def play(bad):
    """Return the statuses, the requests and the times of those to v2, by service."""
    async with trio.open_nursery() as nursery:
        bounds = type(TIGHT_BOUNDS)()
        bounds.update_from(TIGHT_BOUNDS)
        bounds.exposure_share = EXPOSURE_SHARE
        world = VirtualWorld(nursery, Random(1), bounds)
        world.write_plan()
        for service in SERVICES:
            for number in range(REPLICAS):
                await world.add_replica(f"{service}-{number}", service, ZONES[number % len(ZONES)])
        for number in range(ROUTERS):
            await world.start_router(ZONES[number % len(ZONES)])
        await trio.sleep(2)
        requests = dict.fromkeys(SERVICES, 0)
        nursery.start_soon(send_requests, world, nursery, requests)
        await trio.sleep(1)
        began_at = trio.current_time()
        statuses = {service: [] for service in SERVICES}
        runs = {service: [] for service in SERVICES}
        for service in SERVICES:
            await add_new_replicas(world, service, bad)
        await trio.sleep(0.2)
        for service in SERVICES:
            order = {"service": service, "to": "v2", "duration_s": DURATION_S}
            world.store.write("op", f"rollout/{service}", json.dumps(order).encode())
        requests.update(dict.fromkeys(SERVICES, 0))
        seen = dict.fromkeys(SERVICES, 0)
        while trio.current_time() - began_at < DURATION_S + AFTER_S:
            note(world, began_at, statuses, runs, seen)
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    return statuses, requests, runs


async def add_new_replicas(world, service, bad):
    """Start replicas of v2."""
    for number in range(REPLICAS):
        name = f"{service}-new-{number}"
        replica = await world.add_replica(name, service, ZONES[number % len(ZONES)])
        if bad:
            # Calls fail, and streams break off after their first event.
            replica.faults.errors, replica.faults.break_after = ALWAYS, 1
        world.register_replica(name, service, ZONES[number % len(ZONES)], version="v2")


def note(world, began_at, statuses, runs, seen):
    """Note the status rows, and the requests that v2 has got since."""
    now = trio.current_time() - began_at
    for service in SERVICES:
        row = world.store.tables.get("status", {}).get(f"rollout/{service}")
        if row is not None:
            value = json.loads(row.data)
            assert value["to"] == "v2", value
            found = statuses[service]
            if not found or found[-1][1] != value["state"]:
                found.append((now, value["state"]))
        total = sum(
            len(world.replicas[f"{service}-new-{number}"].runs) for number in range(REPLICAS)
        )
        runs[service] += [now] * (total - seen[service])
        seen[service] = total


async def send_requests(world, nursery, requests):
    """Send requests to all routers in turn."""
    number = 0
    while True:
        number += 1
        path = PATHS[number % len(PATHS)]
        requests["till" if path.startswith("/redeem") else "lm"] += 1
        router = world.routers[number // len(PATHS) % len(world.routers)]
        nursery.start_soon(send_request, world, router, path, f"q{number}")
        await trio.sleep(INTERVAL_S)


async def send_request(world, router, path, request):
    """Send one request."""
    fields = {
        "host": "app.example",
        "x-attempt-id": request,
        "x-api-key": "key-1",
        "x-deadline-ms": "4000",
    }
    if not path.startswith("/redeem"):
        fields |= {"x-token-count": "100,50", "x-prefix-hash": f"aa:500,b{request}:9,c{request}:9"}
    with world.net.on_host(CALLER_HOST), trio.move_on_after(4):
        try:
            stream = await trio.open_tcp_stream(router.host, CALLER_PORT)
            await exchange(stream, "POST", path, fields, b"work")
            stream.socket.close()
        except (OSError, trio.BrokenResourceError):
            pass
