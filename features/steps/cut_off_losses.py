"""Steps for routers that are cut off while all others stop or stand still."""

import signal
import socket

import trio
from behave import given, then, when

from features.cut_off_world import Reading, make_replicas, open_cut_off_world, request_head
from features.steps.cut_off_relays import CUT_NOTICED_S, wait_parts
from features.steps.cut_off_routers import CUTS, SERVED_PART, send_all
from soak.router_paths import Cut
from standins.entry_world import HOST

OTHERS = ("b", "c")
DRAIN_LIMIT_S = 12
POLL_S = 0.1
# Others notice a stop by the next message of the router.
STOP_NOTICED_S = 0.5
LARGE_EVENT_BYTES = 20_000
SMALL_BUFFER_BYTES = 4096
BYTES_PER_MB = 1_000_000


@when("the connections of 1 router {cut}, and all others stop, each with a stream under way")
def others_stop(context, cut):
    fleet = context.fleet
    context.cut_off, context.readings, context.relay = ["a"], [], None
    own = {name: Reading(f"own-{name}", "/once/a") for name in OTHERS}

    async def play():
        await fleet.cut(["a"], CUTS[cut])
        await trio.sleep(CUT_NOTICED_S)
        await send_all(context, ["a"], 8)
        for name, reading in own.items():
            fleet.world.nursery.start_soon(fleet.read_into, reading, name)
        for reading in own.values():
            await wait_parts(reading, 3)
        for name in OTHERS:
            await fleet.fault(name, "stops")
        await trio.sleep(STOP_NOTICED_S)

    context.thread.run(play)


@then("at least two thirds of {requests:d} requests succeed once one of them has started again")
def one_started_again(context, requests):
    fleet = context.fleet
    router = fleet.routers["b"]

    async def play():
        for _ in range(int(DRAIN_LIMIT_S / POLL_S)):
            if router.process.poll() is not None:
                break
            await trio.sleep(POLL_S)
        assert router.process.poll() is not None, "the router has not stopped"
        await fleet.world.restart_router(router)
        await fleet.world.wait_ready(router)
        await trio.sleep(1)
        return await send_all(context, ["a"], requests)

    readings = [reading for _, reading in context.thread.run(play)]
    served = sum(reading.served for reading in readings)
    assert served >= SERVED_PART * requests, (served, readings)


@when(
    "the connections of 1 router {cut}, and all others stand still for {span:d} s, with "
    "{requests:d} requests to the first"
)
def others_stand_still(context, cut, span, requests):
    fleet = context.fleet
    context.cut_off, context.readings, context.relay = ["a"], [], None

    async def play():
        await fleet.cut(["a"], CUTS[cut])
        await trio.sleep(CUT_NOTICED_S)
        await send_all(context, ["a"], requests)
        for name in OTHERS:
            await fleet.fault(name, "is frozen")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_all, context, ["a"], requests)
            await trio.sleep(span)
            for name in OTHERS:
                fleet.routers[name].process.send_signal(signal.SIGCONT)

    context.thread.run(play)


@given(
    "{routers:d} routers before {replicas:d} replicas of each service that send large answers of "
    "{parts:d} parts"
)
def routers_before_large_answers(context, routers, replicas, parts):
    paced = make_replicas(replicas, events=parts, pace_ms=0, event_bytes=LARGE_EVENT_BYTES)
    open_cut_off_world(context, routers, paced)


@when('1 router is cut off, and a caller of "{path}" reads nothing for {span:d} s')
def caller_reads_nothing(context, path, span):
    fleet = context.fleet

    async def play():
        await fleet.cut(["a"], Cut.HANG)
        await trio.sleep(CUT_NOTICED_S)
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await sock.connect((HOST, fleet.routers["a"].caller_port))
        async with trio.SocketStream(sock) as stream:
            await stream.send_all(request_head(Reading("q-unread", path)))
            await trio.sleep(span)
            context.run_unread = await fleet.wait_run("q-unread", 1)
            context.made = len(context.run_unread.made_at)

    context.thread.run(play)


@then("the replica has made at most {most:d} MB of {all_of:d} MB")
def made_at_most(context, most, all_of):
    made = context.made * LARGE_EVENT_BYTES / BYTES_PER_MB
    assert context.fleet.replicas["lm-1"].events * LARGE_EVENT_BYTES == all_of * BYTES_PER_MB
    assert made <= most, made
