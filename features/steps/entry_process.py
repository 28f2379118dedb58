"""Steps of the tests of entry routers as processes: requests and answers."""

import time

import trio
from behave import given, then, when

from features.world_thread import WorldThread, all_runs, event_ids, replicas_by_name, send_request
from standins.entryworld import HOST


@given("a store, two replicas of each service, and a router")
def world(context):
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = context.thread.world

    async def build():
        await context.world.open_door()
        context.world.write_plan()
        for name in ("lm-1", "lm-2"):
            await context.world.add_replica(name, "lm")
        for name in ("till-1", "till-2"):
            await context.world.add_replica(name, "till")
        return await context.world.start_router("n1")

    context.router = context.thread.run(build)


@then('a request to "{path}" is answered with {count:d} events')
def answered_with_events(context, path, count):
    answer = send_request(context, path)
    assert answer.status == 200 and answer.whole, answer
    assert event_ids(answer.body) == list(range(1, count + 1)), answer


@then('a request to "{path}" is answered with {status:d}')
def answered_with(context, path, status):
    answer = send_request(context, path)
    assert answer.status == status and answer.whole, answer
    assert answer.fields["x-replica-signature"].startswith("sig-")


@then("no replica saw the client's key")
def no_key(context):
    assert all("x-api-key" not in run.fields for run in all_runs(context))


@then('a request to "{path}" with the key "{key}" is refused with {status:d}')
def refused_with(context, path, key, status):
    answer = send_request(context, path, key=key)
    assert answer.status == status, answer


@when('a request to "{path}" carries the field "{name}" as "{value}"')
def carries_field(context, path, name, value):
    assert send_request(context, path, fields={name: value}).status == 200


@then('the replica saw "{name}" as "{seen}"')
def replica_saw(context, name, seen):
    (run,) = all_runs(context)
    assert run.fields.get(name, "") == seen, run.fields


@then('the replica saw "{name}" as ""')
def replica_saw_nothing(context, name):
    replica_saw(context, name, "")


HEAD = b"POST /redeem/a HTTP/1.1\r\nhost: app.example\r\nx-api-key: key-1\r\n"
BROKEN = {
    "two lengths": HEAD + b"x-attempt-id: 1\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde",
    "length and chunks": HEAD
    + b"x-attempt-id: 1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "bad chunk": HEAD
    + b"x-attempt-id: 1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "no id": HEAD + b"content-length: 2\r\n\r\nab",
    "space in the name": HEAD + b"x-attempt-id: 1\r\ncontent-length : 2\r\n\r\nab",
}


@when('the bytes of a "{kind}" request arrive')
def bytes_of_request(context, kind):
    async def send():
        stream = await trio.open_tcp_stream(HOST, context.router.callers)
        async with stream:
            await stream.send_all(BROKEN[kind])
            with trio.move_on_after(2):
                return await stream.receive_some(65536)
        return None

    context.bytes = context.thread.run(send)


@then("the client gets 400 or a closed connection, and no replica ran anything")
def gets_400(context):
    assert context.bytes == b"" or context.bytes.startswith(b"HTTP/1.1 400"), context.bytes
    assert not all_runs(context)


@given('the replicas "{names}" break streams after {count:d} events')
def break_streams(context, names, count):
    for replica in replicas_by_name(context, names):
        replica.faults.break_after = count


@when('a request to "{path}" is sent')
def request_sent(context, path):
    started = time.monotonic()
    context.answer = send_request(context, path)
    context.took_ms = (time.monotonic() - started) * 1000


@then("the client got {count:d} events in order, each once")
def got_events(context, count):
    assert context.answer.whole, context.answer
    assert event_ids(context.answer.body) == list(range(1, count + 1)), context.answer


@then("the second run began at event {number:d}")
def second_run(context, number):
    starts = sorted(run.first_event for run in all_runs(context))
    assert starts == [1, number], starts


@then("the answer is not whole")
def not_whole(context):
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@then("one run was made")
def one_run(context):
    assert len(all_runs(context)) == 1, all_runs(context)


@then("no run was made")
def no_run(context):
    assert not all_runs(context)


@given('the replicas "{names}" misbehave as "{fault}"')
def misbehave(context, names, fault):
    for replica in replicas_by_name(context, names):
        setattr(replica.faults, fault, 100)


@given('the replicas "{names}" answer without a length')
def unframed(context, names):
    for replica in replicas_by_name(context, names):
        replica.faults.unframed = True


@given('the replicas "{names}" say nothing')
def say_nothing(context, names):
    for replica in replicas_by_name(context, names):
        replica.faults.silent = True


@then("the client got the status {status:d}")
def status_is(context, status):
    assert context.answer.status == status, context.answer


@then("the answer tells when to come back")
def tells_when(context):
    assert float(context.answer.fields["retry-after"]) > 0


@when('{count:d} requests to "{path}" are sent')
def requests_sent(context, count, path):
    context.answers = []
    for number in range(count):
        context.answers.append(
            (f"id-{number}", send_request(context, path, request=f"id-{number}"))
        )


@then("all are answered with 200")
def all_200(context):
    assert all(
        answer.status == 200 and answer.whole for _, answer in context.answers
    ), context.answers


@then("all are answered with their own body")
def own_bodies(context):
    all_200(context)
    assert all(answer.body.endswith(f":{name}".encode()) for name, answer in context.answers)


@given('the entry of "{name}" says the name "{other}"')
def other_name(context, name, other):
    def relist():
        world = context.world
        world.ports[other] = world.ports[name]
        world.store.write("servers", name, None)
        world.list_replica(other, "till")

    context.thread.run_sync(relist)
    time.sleep(1.2)


@then('the replica "{name}" ran nothing')
def ran_nothing(context, name):
    assert not context.world.replicas[name].runs
    assert context.world.replicas[name].rejected
