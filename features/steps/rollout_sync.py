"""Steps for the states of roll-outs in the store: conditional writes, orders, and lost stores."""

from dataclasses import replace

from behave import given, then, when

from features.rollout_fixtures import (
    NEW,
    OLD,
    REQUESTS,
    SERVICE,
    add_replicas,
    make_router,
    may_go_to,
    order,
    tell,
)
from features.rollout_world import FakeStore, run_now
from skylarklift.clock import ManualClock
from skylarklift.entry.rollouts.rollout_sync import RolloutSync
from skylarklift.entry.rollouts.state import RolloutPhase
from skylarklift.errors import StoreUnavailable

TICK_MS = 150


@given("two routers that read the store, and an order to v2")
def two_readers(context):
    context.clock = ManualClock(10_000)
    context.store = FakeStore(context.clock)
    context.cores = [make_router(context.clock, (OLD, NEW), node=name) for name in ("r1", "r2")]
    context.syncs = [RolloutSync(core, context.store) for core in context.cores]
    for core in context.cores:
        order(core, 2)
    for sync in context.syncs:
        run_now(sync.check())


@when("both write what comes next, the second one with outdated knowledge")
def both_write(context):
    first, second = context.cores
    first.rollouts.apply(replace(first.rollouts.state(SERVICE), phase=RolloutPhase.REVERTED))
    second.rollouts.apply(replace(second.rollouts.state(SERVICE), step=1))
    for sync in context.syncs:
        run_now(sync.check())


@then("the store has the later state, and both routers know it")
def later_state(context):
    assert context.store.status[-1][1] is RolloutPhase.REVERTED, context.store.status
    assert len(context.store.status) == 2, context.store.status
    for core in context.cores:
        assert core.rollouts.state(SERVICE).phase is RolloutPhase.REVERTED


@given("a router that reads the store, replicas of {versions} and an order to {to}")
def reader_with_order(context, versions, to):
    context.clock = ManualClock(10_000)
    context.store = FakeStore(context.clock)
    context.core = make_router(context.clock, versions.split(","))
    context.sync = RolloutSync(context.core, context.store)
    order(context.core, 2, to)


@when("it goes on for {duration:d} ms")
def go_on(context, duration):
    for _ in range(duration // TICK_MS):
        try:
            run_now(context.sync.check())
        except StoreUnavailable:
            context.refused = True
        context.clock.advance(TICK_MS)


@when("the roll-out is reverted")
def revert(context):
    tell(context.core, RolloutPhase.REVERTED)
    run_now(context.sync.check())
    assert context.store.status[-1][1] is RolloutPhase.REVERTED


@when("a newer order to v2 is read, and it goes on for {duration:d} ms")
def newer_order(context, duration):
    order(context.core, 3)
    go_on(context, duration)


@then("the roll-out to {to} is {phase}")
def rollout_is(context, to, phase):
    assert context.store.status[-1][1].value == phase, context.store.status
    assert context.core.rollouts.state(SERVICE).to == to


@when("replicas of v3 appear and 3000 ms pass")
def later_release(context):
    add_replicas(context.core, 2, ("v3",))
    context.core.rollouts.held_version(SERVICE)
    context.clock.advance(3000)


@then("requests may go to v3, and the row of software versions counts replicas")
def later_release_is_served(context):
    assert may_go_to(context.core, "v3") == REQUESTS
    counts = {NEW: 2, "v3": 2}
    assert context.core.rollouts.steer_counts(SERVICE, counts) == counts


@when("the store goes away, and another router tells that v2 was reverted")
def store_goes_away(context):
    context.store.away = True
    tell(context.core, RolloutPhase.REVERTED)


@then("no request goes to v2, and the store still says {phase}")
def nothing_to_new(context, phase):
    assert context.refused and may_go_to(context.core, NEW) == 0
    assert context.store.status[-1][1].value == phase, context.store.status


@when("the store is back from a copy of {ago:d} ms before, and it goes on for {duration:d} ms")
def store_is_back(context, ago, duration):
    context.store.away = False
    data, version = context.copy
    context.store.rows[SERVICE] = (data, version)
    go_on(context, duration)


@when("the store is copied")
def store_is_copied(context):
    context.copy = context.store.rows[SERVICE]


@when("all routers start anew")
def start_anew(context):
    context.ordered_at = context.core.rollouts.state(SERVICE).ordered_at
    context.core = make_router(context.clock, (OLD, NEW), node="r9")
    context.sync = RolloutSync(context.core, context.store)
    order(context.core, 2)


@then("they know when the order was made, and go on with its share")
def know_the_order(context):
    run_now(context.sync.check())
    state = context.core.rollouts.state(SERVICE)
    assert state.ordered_at == context.ordered_at, state
    assert len(context.store.status) == 1, context.store.status
    assert 0 < may_go_to(context.core, NEW) < REQUESTS // 10


@then("before they have read it, no request goes to v2")
def nothing_before(context):
    assert may_go_to(context.core, NEW) == 0
