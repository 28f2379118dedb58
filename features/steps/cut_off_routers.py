"""Steps for routers that are cut off from all replicas."""

import json
import signal

import trio
from behave import given, then, when

from features.cut_off_world import make_replicas, open_cut_off_world
from soak.router_paths import Cut

# The part of first tries that must succeed at a router that is cut off.
SERVED_PART = 2 / 3
PATHS = ("/chat/a", "/once/a", "/check/a", "/redeem/a")
RUN_ONCE = ("/once/", "/redeem/")
SPACING_S = 0.05
CUTS = {
    "hang": Cut.HANG,
    "are reset": Cut.RESET,
    "live on while new ones are refused": Cut.REFUSE,
}
# What a router writes when it holds a replica back.
HELD_BACK = {"upstream_ejected", "upstream_doubted", "crash_suspected"}


@given("{routers:d} routers before {replicas:d} replicas of each service")
def routers_before_replicas(context, routers, replicas):
    open_cut_off_world(context, routers, make_replicas(replicas))
    # Each router has connections to replicas before the cut.
    context.thread.run(send_all, context, list(context.fleet.routers), 8)


@given("the second router is killed")
def second_killed(context):
    process = context.fleet.routers["b"].process
    process.send_signal(signal.SIGKILL)
    process.wait()


async def send_all(context, names, count):
    """Send requests of several kinds to each router, and return what came of them."""
    fleet, readings = context.fleet, []

    async def send_one(name, path):
        readings.append((name, await fleet.read(name, path)))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            for name in names:
                nursery.start_soon(send_one, name, PATHS[number % len(PATHS)])
            await trio.sleep(SPACING_S)
    return readings


@when(
    "the connections of {count:d} {routers} to all replicas {cut}, and {requests:d} requests are "
    "sent to each of them {pause:d} s later"
)
def cut_and_send(context, count, routers, cut, requests, pause):
    context.cut_off = list(context.fleet.routers)[:count]
    context.thread.run(context.fleet.cut, context.cut_off, CUTS[cut])
    context.thread.run(trio.sleep, pause)
    context.readings = context.thread.run(send_all, context, context.cut_off, requests)


@when(
    "the connections of 1 router to all replicas {cut}, and {requests:d} requests are sent to all "
    "routers {pause:d} s later"
)
def cut_and_send_to_all(context, cut, requests, pause):
    context.cut_off = ["a"]
    context.thread.run(context.fleet.cut, context.cut_off, CUTS[cut])
    context.thread.run(trio.sleep, pause)
    names = list(context.fleet.routers)
    context.readings = context.thread.run(send_all, context, names, requests)


@then(
    "at least two thirds of them succeed at the first try, each run at most once where no more are "
    "allowed"
)
def enough_served(context):
    runs = context.fleet.runs()
    for name in context.cut_off:
        readings = [reading for router, reading in context.readings if router == name]
        served = sum(reading.served for reading in readings)
        ended = [(item.path, item.status, item.complete, item.took_s) for item in readings]
        assert served >= SERVED_PART * len(readings), (name, served, ended)
    for _, reading in context.readings:
        own = [run for run in runs if run.request_id == reading.request_id]
        if reading.path.startswith(RUN_ONCE):
            assert len(own) <= 1, own


@then("the streams are in order, and each event came within {span:d} ms")
def streams_in_order(context, span):
    fleet = context.fleet
    for _, reading in context.readings:
        if not reading.served or not reading.path.startswith(("/chat/", "/once/")):
            continue
        assert reading.numbers == list(range(1, 7)), reading
        made_at = {}
        for run in fleet.runs(reading.request_id):
            made_at |= run.made_at
        late = {
            number: at - made_at[number]
            for number, at in reading.arrived.items()
            if at - made_at[number] > span / 1000
        }
        assert not late, (late, reading)


@when("the link is back for {pause:d} s, and {requests:d} requests are sent to all routers")
def restore_and_send(context, pause, requests):
    context.thread.run(context.fleet.restore)
    context.thread.run(trio.sleep, pause)
    context.restored = context.thread.run(
        send_and_trace, context, list(context.fleet.routers), requests
    )


async def send_and_trace(context, names, count):
    """Send requests one after the other; return each reading with the router that carried it."""
    fleet, traced = context.fleet, []
    for number in range(count):
        for name in names:
            reading = await fleet.read(name, PATHS[number % len(PATHS)])
            carriers = [fleet.router_of(run) for run in fleet.runs(reading.request_id)]
            traced.append((name, reading, carriers))
    return traced


@then("all of the last ones succeed, and those of each router reach the replicas by its own link")
def served_directly(context):
    for name, reading, carriers in context.restored:
        assert reading.served, (name, reading)
        assert carriers == [name], (name, carriers, reading)


@then("no router but the first has ejected or doubted a replica, or refused a request")
def counts_nowhere(context):
    for name, router in context.fleet.routers.items():
        held_back = [line for line in router.lines() if line["event"] in HELD_BACK]
        refused = [line for line in router.lines() if "upstreams_cold" in json.dumps(line)]
        if name not in context.cut_off:
            assert not held_back and not refused, (name, held_back[:5], refused[:5])
    for name, reading in context.readings:
        assert name in context.cut_off or reading.served, (name, reading)


@then("none succeeds, and each is refused with 503 within {span:d} ms")
def all_refused_soon(context, span):
    for _, reading in context.readings:
        assert reading.status == 503 and reading.took_s <= span / 1000, reading


@then(
    "at least two thirds of {requests:d} requests succeed that are sent {pause:d} s after the link "
    "is back"
)
def served_again(context, requests, pause):
    context.thread.run(context.fleet.restore)
    context.thread.run(trio.sleep, pause)
    readings = context.thread.run(send_all, context, context.cut_off, requests)
    served = sum(reading.served for _, reading in readings)
    assert served >= SERVED_PART * requests, (served, readings)
