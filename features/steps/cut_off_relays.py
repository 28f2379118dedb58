"""Steps for routers in the middle between routers that are cut off and replicas."""

import trio
from behave import given, then, when

from features.cut_off_world import Reading, make_replicas, open_cut_off_world
from features.steps.cut_off_routers import CUTS, SERVED_PART, send_all
from soak.router_paths import Cut
from standins.paced_replica import PART, PacedReplica

CUT_NOTICED_S = 2.0
FIRST_PARTS_S = 4.0
MAX_TRIES = 5
PACE_MS = 50
POLL_S = 0.01
# After this time a replica that has not seen the end of a request counts as one that never does.
LEFT_LIMIT_S = 3.0
VERSION_EVENTS = 40


@given(
    "{routers:d} routers before {replicas:d} replicas of each service that send {kind} answers of "
    "{parts:d} parts"
)
def routers_before_kind(context, routers, replicas, kind, parts):
    context.parts = parts
    paced = make_replicas(replicas, events=parts, pace_ms=PACE_MS, framed=kind == "framed")
    open_cut_off_world(context, routers, paced)


@given(
    "{routers:d} routers before {replicas:d} replicas of each service, half of them in each of 2 "
    "zones"
)
def routers_before_zones(context, routers, replicas):
    open_cut_off_world(context, routers, make_replicas(replicas), ("za", "zb"))
    context.thread.run(send_all, context, list(context.fleet.routers), 8)


def count_parts(reading):
    """Return how many events or parts a caller has."""
    return reading.body.count(PART) or len(reading.arrived)


async def wait_parts(reading, count):
    """Wait until a caller has so many parts, or its answer has ended."""
    for _ in range(int(FIRST_PARTS_S / POLL_S)):
        if count_parts(reading) >= count or reading.ended_at:
            break
        await trio.sleep(POLL_S)
    assert count_parts(reading) >= count, reading


async def wait_parts_made(context, reading, count):
    """Return the run of a request once its caller has so many parts of the answer.

    A single answer reaches its caller when it is whole, so the parts that were made count there.
    """
    if reading.path.startswith("/check/"):
        return await context.fleet.wait_run(reading.request_id, count)
    await wait_parts(reading, count)
    return context.fleet.runs(reading.request_id)[-1]


@when(
    "1 router is cut off, and its relay {fault} after {count:d} parts of an answer of "
    '"{path}" to an HTTP/{http} caller'
)
def relay_fails(context, fault, count, path, http):
    fleet = context.fleet
    context.cut_off = ["a"]
    context.reading = Reading("q-relayed", path)

    async def play():
        await fleet.cut(["a"], Cut.HANG)
        await trio.sleep(CUT_NOTICED_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_from_first, context, http)
            run = await wait_parts_made(context, context.reading, count)
            context.relay = fleet.router_of(run)
            assert context.relay not in (None, "a"), context.relay
            await fleet.fault(context.relay, fault)

    context.thread.run(play)


async def read_from_first(context, http="1.1"):
    await context.fleet.read_into(context.reading, "a", http=http)


@then("the answer does not look complete unless it is whole")
def not_complete_unless_whole(context):
    reading, whole = context.reading, context.parts
    parts = count_parts(reading)
    if reading.path.startswith("/check/"):
        assert reading.status != 200 or not reading.complete or parts == whole, reading
        return
    assert reading.numbers[:parts] == list(range(1, parts + 1)), reading
    assert not reading.complete or parts == whole, (parts, reading)


@then("a stream that may be resumed goes on, or is taken up to its end")
def goes_on_or_taken_up(context):
    reading = context.reading
    if not reading.path.startswith("/chat/"):
        return
    numbers = list(reading.numbers)
    for number in range(MAX_TRIES):
        if len(numbers) == context.parts:
            break
        headers = {"last-event-id": str(numbers[-1]), "resumes": "q-relayed"}
        further = context.thread.run(take_up, context, "a", f"again-{number}", headers)
        numbers += further.numbers
    assert numbers == list(range(1, context.parts + 1)), (numbers, reading)


async def take_up(context, router, request_id, headers):
    return await context.fleet.read(router, "/chat/a", request_id=request_id, headers=headers)


@then(
    "at least two thirds of {requests:d} requests succeed that are sent to the router "
    "{pause:d} s later"
)
def later_served(context, requests, pause):
    context.thread.run(trio.sleep, pause)
    for replica in context.fleet.replicas.values():
        replica.events, replica.framed = 6, True
    readings = [reading for _, reading in context.thread.run(send_all, context, ["a"], requests)]
    served = sum(reading.served for reading in readings)
    assert served >= SERVED_PART * requests, (served, context.relay, readings)


@when('the connections of 1 router {cut}, and a caller of "{path}" leaves after {count:d} parts')
def caller_leaves(context, cut, path, count):
    fleet = context.fleet
    context.reading = Reading("q-left", path)

    async def play():
        await fleet.cut(["a"], CUTS[cut])
        await trio.sleep(CUT_NOTICED_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_from_first, context)
            await wait_parts_made(context, context.reading, count)
            nursery.cancel_scope.cancel()
        context.left_at = trio.current_time()
        for _ in range(int(LEFT_LIMIT_S / POLL_S)):
            if all(run.left_at is not None for run in fleet.runs("q-left")):
                break
            await trio.sleep(POLL_S)

    context.thread.run(play)


@then("the replica saw the end of the request within {span:d} ms")
def replica_saw_end(context, span):
    for run in context.fleet.runs("q-left"):
        assert run.left_at is not None and not run.completed, run
        assert run.left_at - context.left_at <= span / 1000, run.left_at - context.left_at


@when("all replicas {fault}, and {requests:d} requests are sent to each router {pause:d} s later")
def all_replicas_fail(context, fault, requests, pause):
    fleet = context.fleet
    context.cut_off, context.fault = list(fleet.routers), fault

    async def play():
        if fault == "crash":
            # The ways accept connections also for replicas that are gone.
            await fleet.cut(list(fleet.routers), Cut.RESET)
            for name in fleet.replicas:
                fleet.world.stop_replica(name)
        else:
            await fleet.cut(list(fleet.routers), Cut.HANG)
        await trio.sleep(pause)
        return await send_all(context, list(fleet.routers), requests)

    context.readings = context.thread.run(play)


@then(
    "at least two thirds of {requests:d} requests to each router succeed {pause:d} s after they "
    "are back"
)
def served_once_back(context, requests, pause):
    fleet = context.fleet

    async def play():
        await fleet.restore()
        if context.fault == "crash":
            for name in fleet.replicas:
                await fleet.world.restart_replica(name, born=2)
        await trio.sleep(pause)
        return await send_all(context, list(fleet.routers), requests)

    readings = context.thread.run(play)
    for name in fleet.routers:
        served = sum(reading.served for router, reading in readings if router == name)
        failed = [item for router, item in readings if router == name and not item.served]
        assert served >= SERVED_PART * requests, (name, served, failed)


@when(
    "another router starts whose connections {cut}, and {requests:d} requests are sent to it "
    "{pause:d} s later"
)
def starts_cut_off(context, cut, requests, pause):
    fleet = context.fleet
    context.cut_off = ["new"]

    async def play():
        await fleet.launch("new", CUTS[cut])
        await fleet.world.wait_ready(fleet.routers["new"])
        await trio.sleep(pause)
        return await send_all(context, ["new"], requests)

    context.readings = context.thread.run(play)


@when(
    "the connections of 1 router to one zone's replicas {cut}, and {requests:d} requests are sent "
    "to all routers {pause:d} s later"
)
def zone_cut(context, cut, requests, pause):
    fleet = context.fleet
    context.cut_off = ["a"]
    # Replicas with odd numbers are in the second zone.
    ports = {fleet.world.ports[name] for name in fleet.replicas if name[-1] in "13"}

    async def play():
        await fleet.cut(["a"], CUTS[cut], ports)
        await trio.sleep(pause)
        return await send_all(context, list(fleet.routers), requests)

    context.readings = context.thread.run(play)


@given("{routers:d} routers before replicas of the versions v1 and v2")
def replicas_of_two_versions(context, routers):
    versions = {1: "v1", 2: "v1", 3: "v2", 4: "v2"}
    replicas = [
        PacedReplica(f"lm-{number}", events=VERSION_EVENTS, pace_ms=PACE_MS, version=version)
        for number, version in versions.items()
    ]
    open_cut_off_world(context, routers, replicas)


@when("1 router is cut off, and {count:d} streams begin there of which each has {events:d} events")
def streams_begin_cut_off(context, count, events):
    fleet = context.fleet
    context.begun = [Reading(f"s-{number}", "/chat/a") for number in range(count)]
    context.scopes = {}

    async def play():
        await fleet.cut(["a"], Cut.HANG)
        await trio.sleep(CUT_NOTICED_S)
        for reading in context.begun:
            fleet.world.nursery.start_soon(read_kept, context, reading)
        for reading in context.begun:
            await wait_parts(reading, events)

    context.thread.run(play)
    versions = {version_of(reading.body) for reading in context.begun}
    assert versions == {"v1", "v2"}, versions


async def read_kept(context, reading):
    """Read a stream until the caller leaves or it ends."""
    with trio.CancelScope() as context.scopes[reading.request_id]:
        await context.fleet.read_into(reading, "a")


def version_of(body):
    """Return the version that wrote events; fail if there is more than one."""
    versions = {
        line.removeprefix(b"data: ").partition(b"-")[0].decode()
        for line in body.splitlines()
        if line.startswith(b"data: ")
    }
    assert len(versions) == 1, versions
    return versions.pop()


@when("their callers leave, and the streams are taken up at another router")
def callers_leave(context):
    take_up_all(context, "b")


@when("the router is killed, and the streams are taken up at another router")
def router_killed(context):
    context.thread.run(context.fleet.fault, "a", "is killed")
    take_up_all(context, "b")


@when("all of its relays are killed, and the streams are taken up at another router")
def relays_killed(context):
    fleet = context.fleet
    relays = {fleet.router_of(run) for run in fleet.runs()} - {None, "a"}
    assert relays, "no run came by way of another router"
    for relay in sorted(relays)[:2]:
        context.thread.run(fleet.fault, relay, "is killed")
    remaining = next(name for name in "dcb" if name not in sorted(relays)[:2])
    take_up_all(context, remaining)


def take_up_all(context, router):
    """Let all callers leave, and take their streams up at a router behind their last events."""

    async def take_up_one(reading, taken):
        last = str(reading.numbers[-1])
        headers = {"last-event-id": last, "resumes": reading.request_id}
        taken[reading.request_id] = await take_up(
            context, router, f"{reading.request_id}-again", headers
        )

    async def play():
        for scope in context.scopes.values():
            scope.cancel()
        taken = {}
        async with trio.open_nursery() as nursery:
            for reading in context.begun:
                nursery.start_soon(take_up_one, reading, taken)
        return taken

    context.taken = context.thread.run(play)


@then("each goes on to its end at the version that began it")
def goes_on_at_version(context):
    for reading in context.begun:
        further = context.taken[reading.request_id]
        assert further.served, (reading, further)
        version_of(reading.body + further.body)
        numbers = reading.numbers + further.numbers
        assert numbers == list(range(1, VERSION_EVENTS + 1)), (numbers, further)
