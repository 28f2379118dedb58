"""Steps for links of routers that are cut and come back, under load."""

from unittest.mock import patch

import trio
from behave import then, when

from features.cut_off_world import Reading
from soak.router_paths import Cut
from standins.paced_replica import PacedReplica

REQUEST_ID = "single"
PATH = "/check/a"
HEAD_DELAY_S = 0.4
POLL_S = 0.01
MAX_POLLS = 500
PARTS_BEFORE_END = 8
CUT_S = 2.0
PART_OF_ANSWER = b"part of an answer\n"

send_parts = PacedReplica._send_parts


async def send_parts_late(self, stream, run):
    """Send an answer some time after its request, so that its link can change before its head."""
    await trio.sleep(HEAD_DELAY_S)
    await send_parts(self, stream, run)


async def wait_for_run(fleet):
    """Return the run of the single answer, once it has begun."""
    for _ in range(MAX_POLLS):
        if fleet.runs(REQUEST_ID):
            return fleet.runs(REQUEST_ID)[0]
        await trio.sleep(POLL_S)
    raise AssertionError("the request did not run")


@when("the {way} of a single answer takes no new connection, and ends the open ones within it")
def way_ends(context, way):
    fleet = context.fleet
    context.reading = Reading(REQUEST_ID, PATH)

    async def play():
        if way == "relay":
            await fleet.cut(["a"], Cut.HANG)
            await trio.sleep(HEAD_DELAY_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.read_into, context.reading, "a")
            carrier = fleet.router_of(await wait_for_run(fleet))
            assert (carrier == "a") == (way == "link"), carrier
            await fleet.cut([carrier], Cut.REFUSE)
            await fleet.wait_run(REQUEST_ID, PARTS_BEFORE_END)
            await fleet.cut([carrier], Cut.END)
            fleet.paths[carrier].cut(Cut.REFUSE)

    with patch.object(PacedReplica, "_send_parts", send_parts_late):
        context.thread.run(play)


@then("the single answer does not look complete")
def not_complete(context):
    reading = context.reading
    parts = reading.body.count(PART_OF_ANSWER)
    looks_complete = reading.status == 200 and reading.complete
    assert not looks_complete or parts == context.parts, (reading.status, parts)


@when(
    "a router is cut off for 2 s while {rate:d} requests a second come to it, and its link is back "
    "for {span:d} s"
)
def link_is_back(context, rate, span):
    fleet = context.fleet

    async def play():
        await fleet.cut(["a"], Cut.RESET)
        async with trio.open_nursery() as nursery:
            for number in range(int(rate * (CUT_S + span))):
                if number == int(rate * CUT_S):
                    await fleet.restore()
                nursery.start_soon(fleet.read, "a", PATH)
                await trio.sleep(1 / rate)

    context.thread.run(play)


@then("its link is in use again")
def link_in_use(context):
    events = [line["event"] for line in context.fleet.routers["a"].lines()]
    changes = [event for event in events if event in ("link_cut", "link_restored")]
    assert changes and changes[-1] == "link_restored", changes


@then("the seventh router has doubted no replica")
def seventh_doubts_none(context):
    events = {line["event"] for line in context.fleet.routers["g"].lines()}
    assert not events & {"upstream_doubted", "upstream_ejected", "crash_suspected"}, events
