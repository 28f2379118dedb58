"""Steps for requests to a cold replica that are held up on their way."""

from functools import partial
from types import SimpleNamespace

import trio
from behave import given, then, when

from features.entry_run import EntryRun
from features.entry_run_state import MS_PER_S, TIGHT_BOUNDS, TimeSpan
from features.steps.entry_soon_again import open_cold_world, send_requests
from features.virtual_world import Arrival, RecordingReplica
from features.world import run_virtual

# A router that has started waits this long until it sends to a cold replica.
START_S = 1.5
# Requests that come after the connections are made are counted for this long.
COUNTED_S = 1.2


@given('requests that were sent to a cold replica at "{sent}" ms and arrived at "{arrived}" ms')
def held_up_requests(context, sent, arrived):
    context.replica = RecordingReplica("lm-0")
    for number, (sent_ms, at_ms) in enumerate(zip(sent.split(), arrived.split(), strict=True)):
        moments = int(at_ms) / MS_PER_S, int(sent_ms) / MS_PER_S
        context.replica.arrivals.append(
            Arrival(moments[0], "n0", f"q{number}", False, 0, moments[1])
        )


@then("the check of the random runs finds {count:d} violations of a limit of 3 a second")
def check_finds(context, count):
    run = EntryRun(1, 0)
    run.world = SimpleNamespace(bounds=TIGHT_BOUNDS)
    run._cold_spans["lm-0"].append(TimeSpan(0.0))

    async def check():
        run._check_cold_limit(context.replica)

    trio.run(check)
    assert len(run.result.violations) == count, run.result.violations


@when("the connections to the replica are made {span:d} ms late, once")
def connections_held_up(context, span):
    context.arrived_at = run_virtual(1, partial(hold_up, context.router_count, span / MS_PER_S))


async def hold_up(count, span_s):
    """Return when requests reached a cold replica whose answers were held up for a while."""
    async with trio.open_nursery() as nursery:
        world, replica = await open_cold_world(nursery, count)
        await trio.sleep(START_S)
        pairs = [(world.host_of("lm-0"), router.host) for router in world.routers]
        for pair in pairs:
            world.net.cut(*pair)
        for router in world.routers:
            nursery.start_soon(send_requests, world, router, nursery)
        await trio.sleep(span_s)
        for pair in pairs:
            world.net.heal(*pair)
        await trio.sleep(COUNTED_S)
        nursery.cancel_scope.cancel()
    return [arrival.at for arrival in replica.arrivals]
