"""Steps for requests at a router that has just started."""

import time

import trio
from behave import given, then, when

from features.world_thread import WorldThread, all_runs
from skylarklift.entry.state.cluster_state import STORE_OUTAGE_MS
from standins.entry_world import HOST

DEADLINE_MS = 4000
SETTLE_POLLS = 200
POLL_S = 0.05


@given('a router that starts while the store has the fault "{fault}"')
def router_without_store(context, fault):
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = world = context.thread.world

    async def build():
        await world.open_store_endpoint()
        world.write_plan()
        for name, service in (("lm-1", "lm"), ("till-1", "till")):
            await world.add_replica(name, service)
        faults = world.store_endpoints[0][0].faults
        if fault.isdigit():
            faults.status = int(fault)
        else:
            setattr(faults, fault, True)
        router = world.launch_router("n1")
        await wait_listening(router)
        return router

    context.router = context.thread.run(build)


async def wait_listening(router):
    """Wait until a router accepts callers' connections, which it does after it logs its start."""
    for _ in range(SETTLE_POLLS):
        try:
            stream = await trio.open_tcp_stream(HOST, router.caller_port)
        except OSError:
            await trio.sleep(POLL_S)
            continue
        await stream.aclose()
        return
    raise AssertionError(f"{router.name} does not listen: {router.log.read_text()}")


@when('{count:d} requests to "{path}" arrive and the store is back after {span:d} ms')
def requests_then_store(context, count, path, span):
    assert span < STORE_OUTAGE_MS
    send_all(context, count, path, span)


@when('{count:d} requests to "{path}" arrive and the store stays away')
def requests_without_store(context, count, path):
    send_all(context, count, path, None)


@when('a request to "{path}" with a deadline of {span:d} ms arrives and the store stays away')
def long_request_without_store(context, path, span):
    send_all(context, 1, path, None, span)


def send_all(context, count, path, store_back_ms, deadline_ms=DEADLINE_MS):
    """Send requests at once; keep each response with the milliseconds that it took."""
    context.results = []

    async def send():
        started = time.monotonic()
        response = await context.world.call(context.router, path, deadline_ms=deadline_ms)
        context.results.append((response, (time.monotonic() - started) * 1000))

    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(send)
            if store_back_ms is not None:
                await trio.sleep(store_back_ms / 1000)
                faults = context.world.store_endpoints[0][0].faults
                faults.status, faults.reset = 0, False

    context.thread.run(run)


@then("all of them are answered with 200")
def all_answered(context):
    assert all(
        response.status == 200 and response.complete for response, _ in context.results
    ), context.results


@then("each ran once")
def each_ran_once(context):
    ids = [run.request_id for run in all_runs(context)]
    assert len(ids) == len(set(ids)) == len(context.results), ids


@then("all of them are refused with 503 after {low:d} to {high:d} ms")
def all_refused(context, low, high):
    for response, took_ms in context.results:
        assert response.status == 503, response
        assert low <= took_ms <= high, took_ms
    assert not all_runs(context)


@then("each Retry-After is at most a third of the time left")
def retry_after_is_short(context):
    for response, took_ms in context.results:
        span_ms = float(response.headers["retry-after"]) * 1000
        assert 0 < span_ms <= (DEADLINE_MS - took_ms) / 3 + 100, (span_ms, took_ms)
