"""Steps for routers that stood still and then read what arrived meanwhile."""

import signal
import socket
import time
import uuid
from dataclasses import replace
from functools import partial
from unittest.mock import patch

import trio
from behave import given, then, when

from features.entry_fixtures import apply_rows, new_core, plan_data, upstream_data
from skylarklift.clock import LoopClock, Millis
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.wire import encode_gossip
from skylarklift.entry.model import Endpoint
from skylarklift.entry.placement.rate_limits import LimitReport
from skylarklift.entry.process import EntryRouter
from skylarklift.entry.standstill import CHECK_INTERVAL_MS
from skylarklift.entry.state.follower import Follower, fetch_rows
from skylarklift.entry.state.rows import RowPage, RowTable
from standins.ports import reserve_port

OPEN_S = 0.2
READ_S = 0.05
PLAN_S = 1.0
ANSWER_S = 0.3
STANDSTILL_S = 3
COLD_MS = 9000
BEGUN_S = 0.25
UNCONFIRMED_MS = 10_000
HERE = Endpoint("127.0.0.2", 1)
TABLES = {
    RowTable.OPERATOR: {"config": plan_data()},
    RowTable.UPSTREAMS: {"r0": upstream_data()},
}


@given("a router whose tables and rows on versions were confirmed {span:d} ms ago")
def confirmed_before(context, span):
    context.confirmed_ms = span


@when(
    "a message confirms them {age:d} ms after the store, "
    "and the router stands still for {span:d} ms"
)
def stands_still(context, age, span):
    trio.run(receive_after_standstill, context, age, span, 0)


@when(
    "a message confirms them {age:d} ms after the store, "
    "and the router stands still for {span:d} ms while its time of day is set by {step:d} ms"
)
def stands_still_and_time_is_set(context, age, span, step):
    trio.run(receive_after_standstill, context, age, span, step)


async def receive_after_standstill(context, age, span, step):
    """Let a message wait in the socket of a router, and record what the router knows by it."""
    core = new_core(LoopClock(), port=reserve_port())
    for table, rows in TABLES.items():
        apply_rows(core, table, 1, rows, complete=True)
        core.cluster_state._confirmed_at[table] = Millis(core.clock.now() - context.confirmed_ms)
    core.releases.confirm(context.confirmed_ms)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(Peering(core, members=None).receive_loop, nursery)
        await trio.sleep(OPEN_S)
        send(core, make_message(core, age))
        time.sleep(span / 1000)  # noqa: ASYNC251 - the loop must not run
        with patch("time.time", lambda real=time.time: real() + step / 1000):
            await trio.sleep(READ_S)
        context.core, context.now = core, core.clock.now()
        context.ages = [core.cluster_state.age_ms(table) for table in RowTable]
        context.ages.append(core.releases.age_ms())
        context.ejected = core.health.ejected()
        context.limits = core.chooser.rate_limits.reports()
        nursery.cancel_scope.cancel()


def make_message(core, age):
    """Return the message of a router that knows the same rows."""
    summaries = tuple(
        replace(core.cluster_state.summarize(table), age_ms=age) for table in RowTable
    )
    return GossipMessage(
        "n2",
        "b",
        "",
        summaries,
        reads_store=True,
        ejected={"r0": 1000},
        limits=(LimitReport("r0", 5.0, 0),),
        releases_age_ms=age,
    )


def send(core, message):
    """Send a message to a router, which reads it only after the caller has paused."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = core.settings.peers
    with sock:
        sock.sendto(encode_gossip(message), (address.host, address.port))


@then("its tables and rows on versions were confirmed {span:d} ms ago or before")
def confirmed_ago(context, span):
    assert all(span <= age < context.confirmed_ms for age in context.ages), context.ages


@then("its tables and rows on versions were confirmed between {least:d} and {most:d} ms ago")
def confirmed_between(context, least, most):
    assert all(least <= age <= most for age in context.ages), context.ages


@then("it heard the other router {span:d} ms ago or before")
def heard_ago(context, span):
    silence_ms = context.now - context.core.fleet.peers["n2"].received_at
    assert silence_ms >= span, silence_ms


@then("an ejection of 1000 ms that the message names ends in {span:d} ms or before")
def ejection_ends(context, span):
    assert 0 < context.ejected["r0"] <= span, context.ejected


@then("a limit that the message names was seen {span:d} ms ago or before")
def limit_seen(context, span):
    (report,) = context.limits
    assert report.age_ms >= span, report


@given('the replicas of "{service}" take {rate:d} requests a second while they are cold')
def cold_rate(context, service, rate):
    def change():
        context.world.service_plans = [
            {**plan, "cold_per_s": rate} if plan["name"] == service else plan
            for plan in context.world.service_plans
        ]
        context.world.write_plan()

    context.thread.run_sync(change)
    time.sleep(PLAN_S)


@when('the router stands still, "{name}" becomes cold, and {count:d} requests to "{path}" arrive')
def becomes_cold(context, name, count, path):
    context.thread.run(wake_with_requests, context.world, context.router, name, count, path)


async def wake_with_requests(world, router, name, count, path):
    """Let requests wait at a router that stands still while a replica becomes cold."""
    router.process.send_signal(signal.SIGSTOP)
    # This change answers what the router has asked the store; it does not ask again.
    world.register_replica("till-2", "till", slots=65)
    await trio.sleep(ANSWER_S)
    world.register_replica(name, "till", cold_remaining_ms=COLD_MS)
    for _ in range(count):
        world.nursery.start_soon(partial(world.call, router, path, deadline_ms=COLD_MS))
    await trio.sleep(STANDSTILL_S)
    # The store turns this router away, so that it does not learn of the change at once.
    world.store_endpoints[0][0].faults.status = 503
    router.process.send_signal(signal.SIGCONT)


@then('within {span:d} ms after the router goes on "{name}" runs {most:d} requests at most')
def runs_at_most(context, span, name, most):
    time.sleep(span / 1000)
    replicas = context.world.replicas.values()
    runs = {replica.name: len(replica.runs) for replica in replicas}
    assert sum(runs.values()) > 0 and runs[name] <= most, runs


@when("the router stands still for {span:d} ms")
def router_stands_still(context, span):
    run_for(context.core, CHECK_INTERVAL_MS)
    context.clock.advance(span)


@when("the router runs on for {span:d} ms")
def router_runs_on(context, span):
    run_for(context.core, span)


def run_for(core, span):
    """Let a router's maintenance run for a time."""
    for _ in range(span // CHECK_INTERVAL_MS):
        core.standstill.check()
        core.clock.advance(CHECK_INTERVAL_MS)
    core.standstill.check()


@when("a router stands still for {span:d} ms, {after:d} ms after its maintenance began")
def stands_still_early(context, span, after):
    trio.run(stand_still_early, context, span / 1000, after / 1000)


async def stand_still_early(context, span_s, after_s):
    """Hold up the loop in which the maintenance runs, and record what the router noticed."""
    core = new_core(LoopClock(), port=reserve_port())
    router = EntryRouter(core, None, None, None, lambda: core.settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(router._run_maintenance)
        await trio.sleep(after_s)
        began_at = core.clock.now()
        time.sleep(span_s)  # noqa: ASYNC251 - the loop must not run
        await trio.sleep(READ_S)
        context.noticed = core.standstill.has_ended_since(began_at)
        nursery.cancel_scope.cancel()


@then("it has noticed that it stood still")
def has_noticed(context):
    assert context.noticed


class LateStore:
    """A store whose answer is read a time after the call."""

    def __init__(self, clock, span):
        self._clock = clock
        self._span = span

    async def read_changes(self, table, after, wait_ms, era):
        self._clock.advance(self._span)
        return RowPage([], after, complete=False, era=era)


@when("an answer of the store is read {span:d} ms after the call")
def read_late(context, span):
    core = context.core
    make_unconfirmed(context)
    core.standstill.check()
    store = LateStore(context.clock, span)
    trio.run(Follower(core, store, RowTable.UPSTREAMS)._read_store)


@when("rows that were {age:d} ms old arrive {span:d} ms after they were asked for")
def fetched_late(context, age, span):
    core = context.core
    make_unconfirmed(context)
    summary = replace(core.cluster_state.summarize(RowTable.UPSTREAMS), age_ms=age)

    async def request_rows(table, address, after, era):
        context.clock.advance(span)
        return RowPage([], after, complete=False)

    with patch("skylarklift.entry.state.follower._request_rows", request_rows):
        trio.run(fetch_rows, core, RowTable.UPSTREAMS, HERE, summary)


def make_unconfirmed(context):
    """Let the list of upstreams be old."""
    context.clock.advance(UNCONFIRMED_MS)


@then("the list of upstreams was confirmed {age:d} ms ago")
def list_confirmed_ago(context, age):
    assert context.core.cluster_state.age_ms(RowTable.UPSTREAMS) == age


@when("the router stands still for {span:d} ms within {count:d} streams, {times:d} times")
def stands_still_within(context, span, count, times):
    context.responses = []
    for _ in range(times):
        context.thread.run(streams_with_standstill, context, span, count)


async def streams_with_standstill(context, span, count):
    """Begin streams, stop the router within them, and wait until they have ended."""
    router = context.router

    async def call(number):
        parts = {"x-prefix-hash": f"a{number}:50,b{number}:40,c{number}:10"}
        response = await context.world.call(
            router,
            "/chat/a",
            deadline_ms=COLD_MS,
            headers=parts,
            request_id=f"id-{uuid.uuid4().hex}",
        )
        context.responses.append((number, response))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(call, number)
        await trio.sleep(BEGUN_S)
        router.process.send_signal(signal.SIGSTOP)
        await trio.sleep(span / 1000)
        router.process.send_signal(signal.SIGCONT)
