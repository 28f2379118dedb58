"""Steps on orders: the order lease in virtual time, and engines that run as processes."""

import random

import httpx
import trio
from behave import given, then, when

from features.fakes import FakePlatform, FakeStore
from features.world import run_virtual
from skylarklift.clock import LoopClock
from skylarklift.errors import SkylarkError
from skylarklift.generated import OrderKind, OrderSettings
from skylarklift.ids import BootId, RouterId
from skylarklift.operators.orders import (
    Order,
    OrderDispatcher,
    OrderLeaseHeldElsewhere,
    OrderOutcome,
)

ROLE = Order("http://engine", OrderKind.CHANGE_ROLE, "prefill")
LOAD = Order("http://engine", OrderKind.LOAD_MODEL, "wash-2")


class RecordingDispatcher(OrderDispatcher):
    """An order dispatcher that records orders and fencing numbers instead of sending them."""

    def __init__(self, name, platform, orders):
        store = FakeStore(platform, RouterId(name))
        super().__init__(LoopClock(), BootId(name), OrderSettings(), store)
        self._orders = orders

    async def send(self, order, fence):
        self._orders.append((trio.current_time(), fence))
        return OrderOutcome.DONE


@given("two order dispatchers on one store")
def step_dispatchers(context):
    context.orders = []
    context.errors = []


async def lease_is_free(context, first, second, platform):
    await first.dispatch(ROLE)


async def lease_is_held(context, first, second, platform):
    await first.dispatch(ROLE)
    await second.dispatch(ROLE)


async def lease_expires(context, first, second, platform):
    await first.dispatch(ROLE)
    await wait_for_expiry(second)
    await second.dispatch(ROLE)


async def wait_for_expiry(dispatcher):
    """Make the dispatcher read the lease once, then wait until it may take the lease over."""
    try:
        await dispatcher.dispatch(ROLE)
    except OrderLeaseHeldElsewhere as exc:
        await trio.sleep(exc.retry_ms / 1000 + 0.01)


async def lease_expires_while_frozen(context, first, second, platform):
    await first._ensure_lease()
    first._ensure_lease = do_nothing
    # Time passes while the process is frozen after it acquired the lease.
    await trio.sleep(9)
    await first.dispatch(ROLE)


async def do_nothing():
    return None


async def answer_of_acquisition_is_lost(context, first, second, platform):
    platform.loss_rate = 1.0
    await first.dispatch(ROLE)


async def dispatch_after_takeover(context, first, second, platform):
    await lease_expires(context, first, second, platform)
    await first.dispatch(ROLE)


LEASE_EVENTS = {
    "is free and the first dispatches an order": lease_is_free,
    "is held by the first and the second dispatches an order": lease_is_held,
    "expires and the second dispatches an order": lease_expires,
    "expires while the first is frozen before its order": lease_expires_while_frozen,
    "is acquired by a write whose answer is lost": answer_of_acquisition_is_lost,
    "is taken over by the second and the first dispatches another order": dispatch_after_takeover,
}


@when("the lease {event}")
def step_event(context, event):
    async def run():
        platform = FakePlatform(random.Random(1))
        dispatchers = [
            RecordingDispatcher(name, platform, context.orders) for name in ("one", "two")
        ]
        try:
            await LEASE_EVENTS[event](context, *dispatchers, platform)
        except SkylarkError as exc:
            context.errors.append(exc)

    run_virtual(1, run)


@then("the engine got {count:d} order, fencing numbers {numbers}")
@then("the engine got {count:d} orders, fencing numbers {numbers}")
def step_fencing_numbers(context, count, numbers):
    found = [fence for _, fence in context.orders]
    assert found == [int(item) for item in numbers.split(",")], (found, context.errors)
    assert len(found) == count


@then("the second is refused with the holder's name")
def step_refused(context):
    assert len(context.orders) == 1
    assert isinstance(context.errors[0], OrderLeaseHeldElsewhere)
    assert context.errors[0].holder == "one"


@then("the first sends no order")
def step_no_order(context):
    assert context.orders == [] and context.errors


@when("the first dispatches {count:d} load orders")
def step_loads(context, count):
    async def run():
        dispatcher = RecordingDispatcher("one", FakePlatform(random.Random(1)), context.orders)
        context.started_at = trio.current_time()
        for _ in range(count):
            await dispatcher.dispatch(LOAD)

    run_virtual(1, run)


@then("each is sent at least {interval:d} ms after the previous one, and the first after the start")
def step_intervals(context, interval):
    times = [context.started_at] + [sent_at for sent_at, _ in context.orders]
    intervals = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert all(item >= interval / 1000 for item in intervals), intervals


@when(
    "an engine that {checks} fencing numbers gets an order with number {first:d} "
    "and one with number {second:d}"
)
def step_engine(context, checks, first, second):
    deployment = context.deployment
    deployment.control("till-2", obeys_fencing=checks == "checks")
    context.orders_before = len(deployment.control("till-2")["orders"])
    url = f"{deployment.processes['till-2'].url}/orders"
    base = 100 if checks == "checks" else 1000
    for number in (first, second):
        body = {"fence": base + number, "kind": "change-role", "name": "x"}
        context.response = httpx.post(url, json=body, trust_env=False)


@then("the last status is {status:d} and the engine kept {count:d} orders")
def step_kept(context, status, count):
    assert context.response.status_code == status
    assert len(context.deployment.control("till-2")["orders"]) - context.orders_before == count


@then('the engine {engine} has the order "{name}"')
def step_has_order(context, engine, name):
    orders = context.deployment.control(engine)["orders"]
    assert [order["name"] for order in orders] == [name], orders
