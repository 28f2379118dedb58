"""Steps for entry routers as processes: faults, operators, shutdown and metrics."""

import json
import signal
import subprocess
import sys
import time
from functools import partial

import trio
from behave import given, then, when

from features.world_thread import all_runs, replicas_by_name, send_request

METRICS_DELAY_LIMIT_S = 1
LOG_POLLS = 40
LOG_POLL_S = 0.05


@given('the replicas "{names}" send an event every {pace:d} ms')
def pace(context, names, pace):
    for replica in replicas_by_name(context, names):
        replica.pace_ms = pace


@when('a caller of "{path}" disconnects after {span:d} ms')
def caller_disconnects(context, path, span):
    send_request(context, path, disconnect_after_ms=span)


@then("the run was cancelled within {span:d} ms")
def run_cancelled(context, span):
    time.sleep(span / 1000)
    (run,) = all_runs(context)
    assert run.cancelled and not run.completed


@given(
    'the replica that serves "{path}" goes silent and refuses connections after {count:d} events'
)
def goes_silent(context, path, count):
    send_request(context, path)
    (name,) = [name for name, replica in context.world.replicas.items() if replica.runs]
    replica = context.world.replicas[name]
    replica.runs.clear()
    replica.faults.silent_after = count

    async def refuse_later():
        while not replica.runs:  # noqa: ASYNC110 - the replica has nothing to wait on
            await trio.sleep(0.01)
        # The running stream stays open and silent, and new connections are refused.
        context.world.stop_accepting(name)

    context.thread.run_sync(context.world.nursery.start_soon, refuse_later)


@given('the replica "{name}" has open connections, falls silent and refuses new ones')
def falls_silent(context, name):
    context.silent = context.world.replicas[name]

    async def warm_up():
        async with trio.open_nursery() as nursery:
            for _ in range(24):
                nursery.start_soon(context.world.call, context.router, "/redeem/a")

    for replica in context.world.replicas.values():
        replica.pace_ms = 100
    context.thread.run(warm_up)
    for replica in context.world.replicas.values():
        replica.pace_ms = 10
        replica.runs.clear()
    context.silent.faults.silent = True
    context.thread.run_sync(context.world.stop_accepting, name)


@when('a request to "{path}" is at "{name}" for {span:d} ms')
def request_is_at(context, path, name, span):
    """Send requests until one has reached the silent replica, then wait."""

    async def send():
        while not context.silent.runs:
            context.world.nursery.start_soon(context.world.call, context.router, path)
            await trio.sleep(0.02)
        await trio.sleep(span / 1000)

    context.thread.run(send)
    context.reached = len(context.silent.runs)


@then('{count:d} requests to "{path}" are answered with 200 and reach "{name}" no more')
def reach_no_more(context, count, path, name):
    for _ in range(count):
        assert send_request(context, path).status == 200
    assert len(context.silent.runs) == context.reached, context.silent.runs


@then('the request at "{name}" was not ended')
def not_ended(context, name):
    assert not any(run.cancelled for run in context.silent.runs)


@given("all routes have a timeout of {span:d} ms")
def routes_have_timeout(context, span):
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


@then('within {span:d} ms a request to "{path}" with the key "{key}" gets the status {status:d}')
def gets_status_within(context, span, path, key, status):
    time.sleep(span / 1000)
    response = send_request(context, path, key=key)
    assert response.status == status, response


@then('within {span:d} ms the second router refuses the key "{key}" with {status:d}')
def second_router_refuses(context, span, key, status):
    time.sleep(span / 1000)
    response = send_request(context, "/check/a", router=context.second, key=key)
    assert response.status == status, response


@when('the replica "{name}" is listed as draining')
def listed_draining(context, name):
    context.thread.run_sync(lambda: context.world.register_replica(name, "till", state="draining"))


@given('the replica "{name}" is in the zone "{zone}"')
def in_zone(context, name, zone):
    context.thread.run_sync(lambda: context.world.register_replica(name, "till", zone=zone))
    time.sleep(1)


@when('the zone "{zone}" is evacuated')
def zone_evacuated(context, zone):
    context.thread.run_sync(lambda: context.world.store.write("op", f"evacuate/{zone}", b"{}"))


@then('after {span:d} ms no request to "{path}" reaches "{name}"')
def no_request_reaches(context, span, path, name):
    time.sleep(span / 1000)
    context.world.replicas[name].runs.clear()
    for _ in range(8):
        assert send_request(context, path).status == 200
    assert not context.world.replicas[name].runs


@when('the store has the fault "{fault}"')
def store_has_fault(context, fault):
    set_fault(context, 0, fault)


@when('the second store endpoint has the fault "{fault}"')
def second_endpoint_has_fault(context, fault):
    set_fault(context, 1, fault)


def set_fault(context, endpoint, fault):
    faults = context.world.store_endpoints[endpoint][0].faults
    if fault.isdigit():
        faults.status = int(fault)
    else:
        setattr(faults, fault, True)


@when("the store works again")
def store_works(context):
    faults = context.world.store_endpoints[0][0].faults
    faults.status, faults.silent, faults.reset = 0, False, False


@then('for {span:d} ms requests to "{path}" are answered with {status:d}')
def answered_for(context, span, path, status):
    until = time.monotonic() + span / 1000
    while time.monotonic() < until:
        response = send_request(context, path)
        assert response.status == status, response
        time.sleep(0.1)


@when("the store drops its history while a replica is removed")
def store_drops_history(context):
    endpoint = context.world.store_endpoints[0][0]
    endpoint.faults.status = 503
    time.sleep(0.8)

    def change():
        context.world.store.write("servers", "till-1", None)
        context.world.store.compact()

    context.thread.run_sync(change)
    endpoint.faults.status = 0


@given("a second router with a store endpoint of its own")
def second_router(context):
    async def start():
        await context.world.open_store_endpoint()
        # Routers find each other by their member entries in the store.  Each needs a port of its
        # own, since they share a machine.
        return await context.world.start_router("n2", store_endpoint_index=1)

    context.second = context.thread.run(start)
    time.sleep(4)


@when('a request to "{path}" runs while the router gets SIGTERM')
def runs_during_shutdown(context, path):
    async def send_and_terminate():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(save_response, context, path)
            await trio.sleep(0.6)
            context.router.process.send_signal(signal.SIGTERM)
            context.terminated_at = trio.current_time()
            await trio.sleep(0.2)
            context.ready_after = await context.world.is_ready(context.router)

    context.thread.run(send_and_terminate)


async def save_response(context, path):
    context.response = await context.world.call(context.router, path)


@then("the router was not ready after SIGTERM and exited within {span:d} ms")
def router_exited(context, span):
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
            replica.on_crash = partial(context.world.stop_accepting, name)

    context.thread.run(add)
    time.sleep(1.2)


@when('a request to "{path}" is sent {count:d} times')
def sent_times(context, path, count):
    for _ in range(count):
        context.response = send_request(context, path, body=b"the same")


@then("at most {count:d} replicas crashed")
def crash_count(context, count):
    crashed = sum(replica.crashed for replica in context.world.replicas.values())
    assert 0 < crashed <= count, crashed


@then("the last status is {status:d}")
def last_status(context, status):
    assert context.response.status == status, context.response


@when("invalid rows are written")
def invalid_rows_written(context):
    def write():
        store = context.world.store
        store.write("servers", "x1", b"\xff\xfe")
        store.write("servers", "x2", b"[]")
        store.write("servers", "x3", b'{"service":"till","address":5}')
        store.write("servers", "x4", b'{"service":"till","address":"1.1.1.1:1","state":"odd"}')
        store.write("op", "config", b'{"version":99,"routes":7}')

    context.thread.run_sync(write)


@then("the log names the invalid rows")
def log_names_invalid_rows(context):
    subjects = {
        line["subject"] for line in context.router.lines() if line["event"] == "row_invalid"
    }
    assert {"x1", "x2", "x3", "x4", "config"} <= subjects, subjects


@then('the log names the events "{ranges}" of its attempts, ended by chunks')
def log_names_events(context, ranges):
    lines = []
    # The line of the result is written after the response.
    for _ in range(LOG_POLLS):
        lines = [item for item in context.router.lines() if "framing" in item]
        if lines and lines[-1]["event"] == "request":
            break
        time.sleep(LOG_POLL_S)
    ranges_logged = [line["events"] for line in lines[-2:]]
    assert " ".join(f"{first}-{last}" for first, last in ranges_logged) == ranges, lines
    assert {line["framing"] for line in lines[-2:]} == {"chunked"}, lines


@then("the metrics count {count:d} requests with the status {status:d}")
def metrics_count(context, count, status):
    async def ask():
        return await context.world.send_request(
            context.router.readiness_port, "GET", "/metrics", {}
        )

    # A request is counted after its last byte was sent, so the caller may get that byte earlier.
    expected = f'skylarklift_requests_total{{kind="{status}"}} {count}\n'
    until = time.monotonic() + METRICS_DELAY_LIMIT_S
    while expected not in (text := context.thread.run(ask).body.decode()):
        assert time.monotonic() < until, text


def run_fleet_command(store_port, metrics_port):
    """Run `skylarklift fleet` with the ports of a store and of the routers' metrics."""
    command = [sys.executable, "-m", "skylarklift.ui.main", "fleet", "--json"]
    command += ["--store", f"127.0.0.1:{store_port}", "--metrics-port", str(metrics_port)]
    return subprocess.run(command, capture_output=True, text=True)


@when("a configuration is written and the fleet command queries the platform")
def write_and_query(context):
    context.thread.run_sync(context.world.write_plan)
    until = time.monotonic() + METRICS_DELAY_LIMIT_S
    while True:
        context.run = run_fleet_command(
            context.world.store_endpoints[0][1], context.router.readiness_port
        )
        shown = json.loads(context.run.stdout)
        context.shown = shown["store"], shown["routers"][context.router.name]
        if context.shown[1] and context.shown[1]["plan_version"] == context.world.plan_version:
            return
        assert time.monotonic() < until, context.run


@then("it shows that configuration in the store and at the router, and {count:d} upstreams")
def shows_state(context, count):
    store, router = context.shown
    assert context.run.returncode == 0, context.run
    assert store["version"] == context.world.plan_version, store
    assert store["upstreams"] == router["upstreams_known"] == count, context.shown


@when("the fleet command queries a platform that is unavailable")
def query_unavailable(context):
    context.run = run_fleet_command(9, 9)


@then("it exits with the code {code:d} and one line of errors")
def exits_with(context, code):
    assert context.run.returncode == code, context.run
    assert len(context.run.stderr.splitlines()) == 1, context.run.stderr
