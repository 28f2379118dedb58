"""Steps for routers that are cut off while all others stop or stand still."""

import signal

import trio
from behave import then, when

from features.cut_off_world import Reading
from features.steps.cut_off_relays import CUT_NOTICED_S, wait_parts
from features.steps.cut_off_routers import CUTS, SERVED_PART, send_all

OTHERS = ("b", "c")
DRAIN_LIMIT_S = 12
POLL_S = 0.1
# Others notice a stop by the next message of the router.
STOP_NOTICED_S = 0.5


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
