"""Steps for entry routers as processes: requests and responses."""

import time

import trio
from behave import given, then, when

from features.world_thread import WorldThread, all_runs, event_ids, replicas_by_name, send_request
from standins.entry_world import HOST

# A configuration is in force by then.
CONFIG_APPLY_S = 2
POLL_S = 0.05


@given("a store, two replicas of each service, and a router")
def world(context):
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = context.thread.world

    async def build():
        await context.world.open_store_endpoint()
        context.world.write_plan()
        for name in ("lm-1", "lm-2"):
            await context.world.add_replica(name, "lm")
        for name in ("till-1", "till-2"):
            await context.world.add_replica(name, "till")
        return await context.world.start_router("n1")

    context.router = context.thread.run(build)


@then('a request to "{path}" is answered with {count:d} events')
def answered_with_events(context, path, count):
    response = send_request(context, path)
    assert response.status == 200 and response.complete, response
    assert event_ids(response.body) == list(range(1, count + 1)), response


@then('a request to "{path}" is answered with {status:d}')
def answered_with(context, path, status):
    response = send_request(context, path)
    assert response.status == status and response.complete, response
    assert response.headers["x-replica-signature"].startswith("sig-")


@then("no replica received the caller's key")
def key_not_received(context):
    assert all("x-api-key" not in run.headers for run in all_runs(context))


# By a change: fields of the configuration, and fields of its routes.
CONFIGURATIONS = {
    "a tenant without keys": ({"tenants": [{"name": "w1", "api_keys": []}]}, {}),
    "an empty list of tenants": ({"tenants": []}, {}),
    "a tenant with an empty key": ({"tenants": [{"name": "w1", "api_keys": [""]}]}, {}),
    "no field for tenants": ({"tenants": None}, {}),
    '"false" for an anonymous route': ({}, {"anonymous": "false"}),
    "a split of which no part counts": (
        {},
        {"traffic_split": [{"service": "till", "weight": 0}]},
    ),
}


@when("the operator writes a configuration with {change}")
def configuration_written(context, change):
    top_level, routes = CONFIGURATIONS[change]
    context.thread.run_sync(lambda: context.world.write_plan(top_level, **routes))
    context.thread.run(trio.sleep, CONFIG_APPLY_S)


@then('a request to "{path}" with the key "" gets the status {status:d}')
def request_without_key_gets_status(context, path, status):
    request_gets_status(context, path, "", status)


@then('a request to "{path}" with the key "{key}" gets the status {status:d}')
def request_gets_status(context, path, key, status):
    response = send_request(context, path, key=key)
    assert response.status == status, response


@when('a request to "{path}" has the header field "{name}" with the value "{value}"')
def request_has_field(context, path, name, value):
    assert send_request(context, path, headers={name: value}).status == 200


@then('the replica received "{name}" with the value "{received}"')
def replica_received(context, name, received):
    (run,) = all_runs(context)
    assert run.headers.get(name, "") == received, run.headers


@then('the replica received "{name}" with the value ""')
def replica_received_nothing(context, name):
    replica_received(context, name, "")


REQUEST_HEAD = b"POST /redeem/a HTTP/1.1\r\nhost: app.example\r\nx-api-key: key-1\r\n"
MALFORMED_REQUESTS = {
    "two content lengths": REQUEST_HEAD
    + b"x-attempt-id: 1\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde",
    "content length and chunks": REQUEST_HEAD
    + b"x-attempt-id: 1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "invalid chunk size": REQUEST_HEAD
    + b"x-attempt-id: 1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "no request id": REQUEST_HEAD + b"content-length: 2\r\n\r\nab",
    "space after a field name": REQUEST_HEAD + b"x-attempt-id: 1\r\ncontent-length : 2\r\n\r\nab",
}


@when('the bytes of a request with "{defect}" arrive')
def bytes_of_request(context, defect):
    async def send():
        stream = await trio.open_tcp_stream(HOST, context.router.caller_port)
        async with stream:
            await stream.send_all(MALFORMED_REQUESTS[defect])
            with trio.move_on_after(2):
                return await stream.receive_some(65536)
        return None

    context.received = context.thread.run(send)


@then("the caller gets 400 or a closed connection, and no replica ran a request")
def gets_400(context):
    assert context.received == b"" or context.received.startswith(b"HTTP/1.1 400"), context.received
    assert not all_runs(context), all_runs(context)


@given('the replicas "{names}" break off streams after {count:d} events')
def break_streams(context, names, count):
    for replica in replicas_by_name(context, names):
        replica.faults.break_after = count


@when('a request to "{path}" is sent')
def request_sent(context, path):
    started = time.monotonic()
    context.response = send_request(context, path)
    context.took_ms = (time.monotonic() - started) * 1000


@then("the caller got {count:d} events in order, each once")
def got_events(context, count):
    assert context.response.complete, context.response
    assert event_ids(context.response.body) == list(range(1, count + 1)), context.response


@then("the second run began at event {number:d}")
def second_run(context, number):
    starts = sorted(run.first_event for run in all_runs(context))
    assert starts == [1, number], starts


@then("the response is incomplete")
def response_incomplete(context):
    assert context.response.status == 200 and not context.response.complete, context.response


@then("the request ran once")
def request_ran_once(context):
    assert len(all_runs(context)) == 1, all_runs(context)


@then("the request did not run")
def request_did_not_run(context):
    assert not all_runs(context), all_runs(context)


@given('the replicas "{names}" have the fault "{fault}"')
def have_fault(context, names, fault):
    for replica in replicas_by_name(context, names):
        setattr(replica.faults, fault, 100)


@given('the replicas "{names}" run requests and answer {status:d}')
def run_and_answer(context, names, status):
    for replica in replicas_by_name(context, names):
        replica.faults.errors, replica.faults.error_status = 100, status


@given('the replicas "{names}" respond without a length')
def respond_without_length(context, names):
    for replica in replicas_by_name(context, names):
        replica.faults.unframed = True


@given('the replicas "{names}" do not respond')
def do_not_respond(context, names):
    for replica in replicas_by_name(context, names):
        replica.faults.silent = True


@then("the caller got the status {status:d}")
def status_is(context, status):
    assert context.response.status == status, context.response


@then("the response says when to retry")
def says_when_to_retry(context):
    assert float(context.response.headers["retry-after"]) > 0


@when('{count:d} requests to "{path}" are sent')
def requests_sent(context, count, path):
    context.responses = []
    for number in range(count):
        context.responses.append(
            (f"id-{number}", send_request(context, path, request_id=f"id-{number}"))
        )


@then("all are answered with 200")
def all_200(context):
    assert all(
        response.status == 200 and response.complete for _, response in context.responses
    ), context.responses


@then("all are answered with their own body")
def own_bodies(context):
    all_200(context)
    assert all(response.body.endswith(f":{name}".encode()) for name, response in context.responses)


@given('the address of "{name}" is listed under the name "{other}"')
def listed_under_other_name(context, name, other):
    def relist():
        world = context.world
        world.ports[other] = world.ports[name]
        world.store.write("servers", name, None)
        world.register_replica(other, "till")

    context.thread.run_sync(relist)
    wait_until_known(context.router, {("upstream_removed", name), ("upstream_added", other)})


def wait_until_known(router, changes):
    """Wait until a router has logged changes of its upstreams, each an event and a name."""
    end = time.monotonic() + CONFIG_APPLY_S
    while True:
        logged = {(line["event"], line.get("subject")) for line in router.lines()}
        if changes <= logged:
            return
        assert time.monotonic() < end, changes - logged
        time.sleep(POLL_S)


@then('the replica "{name}" ran no request')
def ran_no_request(context, name):
    replica = context.world.replicas[name]
    assert not replica.runs, replica.runs
    assert replica.rejected, "it got no request"


@then("each replica ran it once at most")
def each_ran_once(context):
    for replica in context.world.replicas.values():
        assert len(replica.runs) <= 1, replica.runs
    assert all_runs(context)
