"""Steps for admission under simulated loads."""

from collections import Counter

import trio
from behave import then, when

from features.admission_world import REPORT_INTERVAL_MS, SLOTS, World
from features.steps.admission_queue import parse_fields
from skylarklift.entry.admission.decision import RefusalReason
from skylarklift.entry.gossip.fleet import LOAD_TTL_MS
from skylarklift.entry.metrics import PREFIX
from skylarklift.entry.model import RouteKind
from skylarklift.entry.placement.observed_loads import OBSERVED_LOAD_TTL_MS, ObservedLoad

OBJECTIVE_MS = 500
# The longest wait of a stream that may be sent: its objective, and the time of one report.
LATEST_START_MS = OBJECTIVE_MS + REPORT_INTERVAL_MS
USUAL_PER_S = 10
# Requests that take all slots of three replicas and the places of their small queues.
FULL_REQUESTS = 3 * (SLOTS + 1)
WORKSPACES = [f"w{number}" for number in range(1, 9)]


async def even_load(world, nursery):
    await world.demand(nursery, 60, 2000)


async def burst(world, nursery):
    nursery.start_soon(world.demand, nursery, 60, 2000)
    await world.clock_sleep(1000)
    for number in range(200):
        nursery.start_soon(world.request, f"w{number % 8}")


async def lost_replicas(world, nursery):
    nursery.start_soon(world.demand, nursery, 100, 3000)
    await world.clock_sleep(1000)
    world.remove_replica("r0")


async def long_beside_short(world, nursery):
    nursery.start_soon(lambda: world.demand(nursery, 8, 3000, workspace="w1", work_ms=600))
    await world.demand(nursery, 110, 3000, workspace="w2", work_ms=50)


async def coming_back(world, nursery):
    nursery.start_soon(world.demand, nursery, 60, 4000)
    await world.clock_sleep(1000)
    for number in range(150):
        nursery.start_soon(world.request, f"w{number % 8}")


async def without_gossip(world, nursery):
    # The first messages, by which the routers know each other, no longer count as reports of loads.
    await world.clock_sleep(LOAD_TTL_MS + 100)
    assert all(core.fleet.router_count() == 4 for core in world.cores)
    await world.demand(nursery, 130, 2000)


async def loud_workspace(world, nursery):
    for workspace in WORKSPACES[1:]:
        nursery.start_soon(
            lambda name=workspace: world.demand(nursery, USUAL_PER_S, 4000, workspace=name)
        )
    await world.demand(nursery, 7.5 * USUAL_PER_S, 4000, workspace=WORKSPACES[0])


async def standstill(world, nursery):
    for _ in range(60):
        nursery.start_soon(lambda: world.request(work_ms=300, kind=RouteKind.NON_IDEMPOTENT))
    await world.clock_sleep(100)
    # The loop does not run while the clock goes on.
    trio.lowlevel.current_clock().jump(2.5)


# The load, with the routers and what else differs from the usual world.
LOADS = {
    "an even load": (even_load, 2, {}),
    "a burst of all callers": (burst, 2, {}),
    "a third of replicas gone": (lost_replicas, 2, {}),
    "long requests beside short": (long_beside_short, 2, {}),
    "callers who come back once": (coming_back, 1, {"returns": True}),
    "gossip missing": (without_gossip, 4, {"gossip": False}),
    "a workspace with 7.5 times its usual demand": (loud_workspace, 1, {}),
    "a standstill of the router": (standstill, 1, {}),
}


@when('simulated callers cause "{load}"')
def callers_cause(context, load):
    drive, routers, fields = LOADS[load]
    world = context.world = World(3, **fields)
    world.run(routers, lambda nursery: drive(world, nursery))


@then("at least {percent:d} of 100 requests are served, and those were sent in time")
def served_in_time(context, percent):
    world = context.world
    share = 100 * len(world.served()) / len(world.results)
    assert share >= percent, share
    late = [
        item.sent_at - item.arrived_at
        for item in world.served()
        if item.tries == 1 and item.sent_at - item.arrived_at > LATEST_START_MS
    ]
    assert not late, late
    held = [item.refused_at - item.arrived_at for item in world.refused() if item.tries == 1]
    assert max(held, default=0) <= LATEST_START_MS, max(held)


@then("no replica holds more than {most:d} requests")
def no_replica_holds_more(context, most):
    assert context.world.most <= most, context.world.most


@then("each refusal has a log line with its reason, its wait and its Retry-After")
def refusals_logged(context):
    world = context.world
    lines = refusal_lines(world)
    assert len(lines) == len(world.refused()) > 0, (len(lines), len(world.refused()))
    reasons = {item.value for item in RefusalReason}
    for line in lines:
        assert line["reason"] in reasons and line["service"] == "lm", line
        assert 0 <= line["held_ms"] <= LATEST_START_MS and line["retry_after_ms"] > 0, line


def refusal_lines(world):
    """Return the log lines on refusals of all routers."""
    lines = [line for core in world.cores for line in core.event_log.lines]
    return [line for line in lines if line["event"] == "admission_refused"]


@then("the metrics count the refusals by reason and the requests sent after a wait")
def refusals_counted(context):
    counts = Counter(line["reason"] for line in refusal_lines(context.world))
    waited = sum(item.sent_at > item.arrived_at for item in context.world.served())
    pages = [core.metrics.render().splitlines() for core in context.world.cores]

    def total(name, kind):
        start = f'{PREFIX}{name}{{kind="{kind}"}} '
        return sum(
            int(line.removeprefix(start))
            for page in pages
            for line in page
            if line.startswith(start)
        )

    for reason, count in counts.items():
        assert total("admission_refused_total", reason) == count
    assert total("admitted_after_wait_total", "lm") == waited > 0
    assert total("admission_waiting", "lm") == 0


@when('a full service has the waiting requests "{requests}"')
def full_service(context, requests):
    world = context.world = World(3)

    async def drive(nursery):
        for _ in range(FULL_REQUESTS):
            nursery.start_soon(lambda: world.request("other", work_ms=150))
        await world.clock_sleep(10)
        for item in requests.split():
            name, _, fields = item.partition(":")
            nursery.start_soon(
                lambda name=name, fields=fields: world.request(name=name, **parse_fields(fields))
            )
            await world.clock_sleep(10)

    world.run(1, drive)


@when('replicas that were reported full have the waiting requests "{requests}"')
def reported_full(context, requests):
    world = context.world = World(3)

    async def drive(nursery):
        for name in world.places:
            world.cores[0].chooser.observed_loads.apply_report(ObservedLoad(name, 50, 0))
        for item in requests.split():
            name, _, fields = item.partition(":")
            fields = {"name": name, "kind": RouteKind.NON_IDEMPOTENT, **parse_fields(fields)}
            nursery.start_soon(lambda fields=fields: world.request(**fields))
            # They would check at different times.
            await world.clock_sleep(30)

    world.run(1, drive)


@then('their order is "{order}"')
def sent_in_order(context, order):
    named = [item for item in context.world.sent if item.name]
    assert all(item.sent_at > item.arrived_at for item in named), named
    found = [item.name for item in named]
    assert found == order.split(), named


@when("a service that stays full gets a request after {failures:d} failures and {runs:d} runs")
def service_stays_full(context, failures, runs):
    world = context.world = World(3)

    async def drive(nursery):
        for _ in range(FULL_REQUESTS):
            nursery.start_soon(lambda: world.request("other", work_ms=3000))
        await world.clock_sleep(10)
        await world.request(name="last", failures=failures, runs=runs)

    world.run(1, drive)


@then("the last request is {result}")
def result_is(context, result):
    (last,) = [item for item in context.world.results if item.name]
    assert (result == "refused") is (last.refused_at is not None), last
    assert (result == "sent") is (last.sent_at is not None), last


@then("at most {percent:d} of 100 requests of the others are refused, and more of its own")
def others_served(context, percent):
    world, loud = context.world, WORKSPACES[0]
    own = [item for item in world.results if item.workspace == loud]
    others = len(world.results) - len(own)
    refused = len(world.refused()) - len(world.refused(loud))
    assert 100 * refused <= percent * others, (refused, others)
    assert len(world.refused(loud)) * others > refused * len(own)
    assert world.refused(loud)


@then("no request was sent after its deadline")
def none_sent_late(context):
    world = context.world
    late = [item for item in world.served() if item.sent_at - item.arrived_at >= 2000]
    assert not late, late
    assert world.refused()


@when("a router reported {load:d} requests at each replica and was not heard since")
def old_reports(context, load):
    context.load = load


@then("a request that comes {age:d} ms later is sent at once")
def sent_at_once(context, age):
    assert age > OBSERVED_LOAD_TTL_MS
    world = World(3, gossip=False)

    async def drive(nursery):
        for name in world.places:
            world.cores[0].chooser.observed_loads.apply_report(ObservedLoad(name, context.load, 0))
        nursery.start_soon(world.request)
        await world.clock_sleep(100)
        # The report still counts, so the first request waits.
        assert world.results[0].sent_at is None
        await world.clock_sleep(age)
        await world.request("w2")

    world.run(1, drive)
    last = world.results[-1]
    assert last.sent_at == last.arrived_at, last
    assert world.most <= SLOTS
