"""Steps of the tests of entry routers as processes: faults around them."""

import json
import signal
import subprocess
import sys
import time
from functools import partial

import trio
from behave import given, then, when

from features.world_thread import all_runs, replicas_by_name, send_request
from standins.entryworld import free_port

COUNT_LIMIT_S = 1


@given('the replicas "{names}" make an event each {pace:d} ms')
def pace(context, names, pace):
    for replica in replicas_by_name(context, names):
        replica.pace_ms = pace


@when('a client of "{path}" leaves after {span:d} ms')
def client_leaves(context, path, span):
    send_request(context, path, leave_after_ms=span)


@then("the run was cancelled within {span:d} ms")
def run_cancelled(context, span):
    time.sleep(span / 1000)
    (run,) = all_runs(context)
    assert run.cancelled and not run.ended


@given(
    'the replica that serves "{path}" falls silent and takes no connections after {count:d} events'
)
def falls_silent(context, path, count):
    send_request(context, path)
    (name,) = [name for name, replica in context.world.replicas.items() if replica.runs]
    replica = context.world.replicas[name]
    replica.runs.clear()
    replica.faults.silent_after = count

    async def shut_later():
        while not replica.runs:  # noqa: ASYNC110 - the replica has nothing to wait on
            await trio.sleep(0.01)
        # The running stream stays open and silent; new connections are refused.
        context.world.shut(name)

    context.thread.run_sync(context.world.nursery.start_soon, shut_later)


@given("routes end after {span:d} ms")
def routes_end(context, span):
    context.thread.run_sync(lambda: context.world.write_plan(timeout_ms=span))
    time.sleep(1)


@then("it took {least:d} to {most:d} ms")
def it_took(context, least, most):
    assert least <= context.took_ms <= most, context.took_ms


@when('the key "{old}" is replaced by "{new}"')
def key_replaced(context, old, new):
    def write():
        context.world.keys = [new]
        context.world.write_plan()

    context.thread.run_sync(write)


@then('within {span:d} ms a request to "{path}" with the key "{key}" is refused with {status:d}')
def refused_within(context, span, path, key, status):
    time.sleep(span / 1000)
    answer = send_request(context, path, key=key)
    assert answer.status == status, answer


@then('within {span:d} ms the second router refuses the key "{key}" with {status:d}')
def second_refused(context, span, key, status):
    time.sleep(span / 1000)
    answer = send_request(context, "/check/a", router=context.second, key=key)
    assert answer.status == status, answer


@when('the replica "{name}" is listed as draining')
def listed_draining(context, name):
    context.thread.run_sync(lambda: context.world.list_replica(name, "till", state="draining"))


@given('the replica "{name}" is in the zone "{zone}"')
def in_zone(context, name, zone):
    context.thread.run_sync(lambda: context.world.list_replica(name, "till", zone=zone))
    time.sleep(1)


@when('the zone "{zone}" is emptied')
def zone_emptied(context, zone):
    context.thread.run_sync(lambda: context.world.store.write("op", f"evacuate/{zone}", b"{}"))


@then('after {span:d} ms no request to "{path}" reaches "{name}"')
def reaches_not(context, span, path, name):
    time.sleep(span / 1000)
    context.world.replicas[name].runs.clear()
    for _ in range(8):
        assert send_request(context, path).status == 200
    assert not context.world.replicas[name].runs


@when('the store is "{fault}"')
def store_is(context, fault):
    set_fault(context, 0, fault)


@when('the store is "{fault}" at the second door')
def store_is_at_second(context, fault):
    set_fault(context, 1, fault)


def set_fault(context, door, fault):
    faults = context.world.doors[door][0].faults
    if fault.isdigit():
        faults.status = int(fault)
    else:
        setattr(faults, fault, True)


@when("the store is well again")
def store_well(context):
    faults = context.world.doors[0][0].faults
    faults.status, faults.silent, faults.reset = 0, False, False


@then('for {span:d} ms requests to "{path}" are answered with {status:d}')
def for_a_while(context, span, path, status):
    until = time.monotonic() + span / 1000
    while time.monotonic() < until:
        answer = send_request(context, path)
        assert answer.status == status, answer
        time.sleep(0.1)


@when("the store forgets its history while a replica leaves")
def forgets_history(context):
    door = context.world.doors[0][0]
    door.faults.status = 503
    time.sleep(0.8)

    def change():
        context.world.store.write("servers", "till-1", None)
        context.world.store.compact()

    context.thread.run_sync(change)
    door.faults.status = 0


@given("a second router with a door of its own to the store")
def second_router(context):
    async def start():
        await context.world.open_door()
        port = free_port()
        # Routers find each other by their notes in the store; ports differ on one machine.
        return await context.world.start_router("n2", door=1, first_port=port)

    context.second = context.thread.run(start)
    time.sleep(4)


@when('a request to "{path}" runs while the router is told to stop')
def runs_while_stopping(context, path):
    async def both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_answer, context, path)
            await trio.sleep(0.6)
            context.router.process.send_signal(signal.SIGTERM)
            context.stopped_at = trio.current_time()
            await trio.sleep(0.2)
            context.ready_after = await context.world.ready(context.router)

    context.thread.run(both)


async def keep_answer(context, path):
    context.answer = await context.world.call(context.router, path)


@then("the router was not ready at once and ended by itself within {span:d} ms")
def ended(context, span):
    assert not context.ready_after
    assert context.router.process.wait(span / 1000) == 0


@given('the replicas "{names}" crash on "{path}"')
def crash_on(context, names, path):
    async def add():
        for name in names.split(","):
            if name not in context.world.replicas:
                await context.world.add_replica(name, "lm")
            replica = context.world.replicas[name]
            replica.crash_on = path
            replica.on_crash = partial(context.world.shut, name)

    context.thread.run(add)
    time.sleep(1.2)


@when('a request to "{path}" is sent {count:d} times')
def sent_times(context, path, count):
    for _ in range(count):
        context.answer = send_request(context, path, body=b"the same")


@then("at most {count:d} replicas crashed")
def crashed(context, count):
    found = sum(replica.crashed for replica in context.world.replicas.values())
    assert 0 < found <= count, found


@then("the last status is {status:d}")
def last_status(context, status):
    assert context.answer.status == status, context.answer


@when("rows that cannot be read are written")
def bad_rows(context):
    def write():
        store = context.world.store
        store.write("servers", "x1", b"\xff\xfe")
        store.write("servers", "x2", b"[]")
        store.write("servers", "x3", b'{"service":"till","address":5}')
        store.write("servers", "x4", b'{"service":"till","address":"1.1.1.1:1","state":"odd"}')
        store.write("op", "config", b'{"version":99,"routes":7}')

    context.thread.run_sync(write)


@then("the log tells of rows that cannot be read")
def log_tells(context):
    found = {line["subject"] for line in context.router.lines() if line["event"] == "row_invalid"}
    assert {"x1", "x2", "x3", "x4", "config"} <= found, found


@then("the metrics count {count:d} requests with the status {status:d}")
def metrics_count(context, count, status):
    async def ask():
        return await context.world.ask(context.router.readiness, "GET", "/metrics", {})

    # A request is counted right after its last byte went out, so the client may be first.
    wanted = f'skylarklift_requests_total{{kind="{status}"}} {count}\n'
    until = time.monotonic() + COUNT_LIMIT_S
    while wanted not in (text := context.thread.run(ask).body.decode()):
        assert time.monotonic() < until, text


def look_at(port, metrics):
    """Run the tool against a store's port."""
    command = [sys.executable, "-m", "skylarklift.ui.main", "fleet", "--json"]
    command += ["--store", f"127.0.0.1:{port}", "--metrics-port", str(metrics)]
    return subprocess.run(command, capture_output=True, text=True)


@when("a configuration is written and the tool looks at the platform")
def look(context):
    context.thread.run_sync(context.world.write_plan)
    until = time.monotonic() + COUNT_LIMIT_S
    while True:
        context.run = look_at(context.world.doors[0][1], context.router.readiness)
        shown = json.loads(context.run.stdout)
        context.shown = shown["store"], shown["routers"][context.router.name]
        if context.shown[1] and context.shown[1]["plan_version"] == context.world.plan_version:
            return
        assert time.monotonic() < until, context.run


@then("it shows that configuration in the store and at the router, and {count:d} upstreams")
def shows(context, count):
    store, router = context.shown
    assert context.run.returncode == 0, context.run
    assert store["version"] == context.world.plan_version, store
    assert store["upstreams"] == router["upstreams_known"] == count, context.shown


@when("the tool looks at a platform that is away")
def look_nowhere(context):
    context.run = look_at(9, 9)


@then("it ends with exit code {code:d} and one line")
def ends_cleanly(context, code):
    assert context.run.returncode == code, context.run
    assert len(context.run.stderr.splitlines()) == 1, context.run.stderr
