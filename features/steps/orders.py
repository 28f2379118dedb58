"""Steps on orders: the lease in virtual time, engines as processes."""

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
    """An order-giver whose engine ignores fencing numbers and only takes notes."""

    def __init__(self, name, platform, orders):
        store = FakeStore(platform, RouterId(name))
        super().__init__(LoopClock(), BootId(name), OrderSettings(), store)
        self._orders = orders

    async def send(self, order, fence):
        self._orders.append((trio.current_time(), fence))
        return OrderOutcome.DONE


@given("two order-givers on one store")
def step_givers(context):
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


async def wait_for_expiry(second):
    """Look at the lease, then again once its time is over."""
    try:
        await second.dispatch(ROLE)
    except OrderLeaseHeldElsewhere as exc:
        await trio.sleep(exc.retry_ms / 1000 + 0.01)


async def lease_expires_while_frozen(context, first, second, platform):
    await first._ensure_lease()
    first._ensure_lease = do_nothing
    # The clock goes on while the process stands still.
    await trio.sleep(9)
    await first.dispatch(ROLE)


async def do_nothing():
    return None


async def answer_of_acquisition_is_lost(context, first, second, platform):
    platform.loss_rate = 1.0
    await first.dispatch(ROLE)


async def first_wakes_after_second(context, first, second, platform):
    await lease_expires(context, first, second, platform)
    await first.dispatch(ROLE)


LEASE_EVENTS = {
    "is free and the first gives an order": lease_is_free,
    "is held and the second gives an order": lease_is_held,
    "was not renewed for 20 seconds and the second orders": lease_expires,
    "ends while the first is frozen before its order": lease_expires_while_frozen,
    "is taken with a lost answer": answer_of_acquisition_is_lost,
    "is held by a first that wakes after the second": first_wakes_after_second,
}


@when("the lease {event}")
def step_event(context, event):
    async def run():
        platform = FakePlatform(random.Random(1))
        givers = [RecordingDispatcher(name, platform, context.orders) for name in ("one", "two")]
        try:
            await LEASE_EVENTS[event](context, *givers, platform)
        except SkylarkError as exc:
            context.errors.append(exc)

    run_virtual(1, run)


@then("the engine got {count:d} order, fences {fences}")
@then("the engine got {count:d} orders, fences {fences}")
def step_fences(context, count, fences):
    found = [fence for _, fence in context.orders]
    assert found == [int(item) for item in fences.split(",")], (found, context.errors)
    assert len(found) == count


@then("the second is told who gives orders")
def step_told(context):
    assert len(context.orders) == 1
    assert isinstance(context.errors[0], OrderLeaseHeldElsewhere)
    assert context.errors[0].holder == "one"


@then("the first gives no order")
def step_no_order(context):
    assert context.orders == [] and context.errors


@when("the first orders {count:d} loads")
def step_loads(context, count):
    async def run():
        giver = RecordingDispatcher("one", FakePlatform(random.Random(1)), context.orders)
        context.began = trio.current_time()
        for _ in range(count):
            await giver.dispatch(LOAD)

    run_virtual(1, run)


@then("they are at least {gap:d} ms apart and the first waited a gap")
def step_gaps(context, gap):
    times = [context.began] + [moment for moment, _ in context.orders]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert all(item >= gap / 1000 for item in gaps), gaps


@when("an engine that {checks} gets order number {first:d} and then number {second:d}")
def step_engine(context, checks, first, second):
    deployment = context.deployment
    deployment.control("till-2", obeys_fencing=checks == "obeys")
    context.kept = len(deployment.control("till-2")["orders"])
    url = f"{deployment.processes['till-2'].url}/orders"
    base = 100 if checks == "obeys" else 1000
    for number in (first, second):
        body = {"fence": base + number, "kind": "change-role", "name": "x"}
        context.answer = httpx.post(url, json=body, trust_env=False)


@then("the answer is {status:d} and it kept {count:d} orders")
def step_kept(context, status, count):
    assert context.answer.status_code == status
    assert len(context.deployment.control("till-2")["orders"]) - context.kept == count


@then('the engine {engine} has the order "{name}"')
def step_has_order(context, engine, name):
    orders = context.deployment.control(engine)["orders"]
    assert [order["name"] for order in orders] == [name], orders
