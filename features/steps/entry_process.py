"""Steps of the tests of entry routers as processes."""

import signal
import tempfile
import threading
import time
from functools import partial

import trio
from behave import given, then, when

from skylarklift.entry.events import EventSplitter
from standins.entryworld import HOST, EntryWorld, free_port

CLOSE_LIMIT_S = 10
COUNT_LIMIT_S = 1


class WorldThread:
    """A world in a trio loop of its own thread, called from the steps."""

    def __init__(self):
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self._thread.start()
        assert self._started.wait(CLOSE_LIMIT_S)

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        self._over = trio.Event()
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                self.world = EntryWorld(nursery, folder)
                self._started.set()
                await self._over.wait()
                self.world.stop()
                nursery.cancel_scope.cancel()

    def run(self, work, *args):
        """Run an async function in the world's loop and return its result."""
        return trio.from_thread.run(work, *args, trio_token=self._token)

    def do(self, work, *args):
        """Run a plain function in the world's loop."""
        return trio.from_thread.run_sync(work, *args, trio_token=self._token)

    def close(self):
        self.do(self._over.set)
        self._thread.join(CLOSE_LIMIT_S)


@given("a store, two replicas of each service, and a router")
def world(context):
    context.thread = WorldThread()
    context.closings = [*getattr(context, "closings", []), context.thread.close]
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


def call(context, target, router=None, **options):
    """Send one request as a client."""

    async def one():
        return await context.world.call(router or context.router, target, **options)

    return context.thread.run(one)


def all_runs(context):
    return [run for replica in context.world.replicas.values() for run in replica.runs]


def replicas(context, names):
    return [context.world.replicas[name] for name in names.split(",")]


def event_numbers(body):
    return [event.number for event in EventSplitter().feed(body)]


@then('a request to "{path}" is answered with {count:d} events')
def answered_with_events(context, path, count):
    answer = call(context, path)
    assert answer.status == 200 and answer.whole, answer
    assert event_numbers(answer.body) == list(range(1, count + 1)), answer


@then('a request to "{path}" is answered with {status:d}')
def answered_with(context, path, status):
    answer = call(context, path)
    assert answer.status == status and answer.whole, answer
    assert answer.fields["x-replica-signature"].startswith("sig-")


@then("no replica saw the client's key")
def no_key(context):
    assert all("x-api-key" not in run.fields for run in all_runs(context))


@then('a request to "{path}" with the key "{key}" is refused with {status:d}')
def refused_with(context, path, key, status):
    answer = call(context, path, key=key)
    assert answer.status == status, answer


@when('a request to "{path}" carries the field "{name}" as "{value}"')
def carries_field(context, path, name, value):
    assert call(context, path, fields={name: value}).status == 200


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
    for replica in replicas(context, names):
        replica.faults.break_after = count


@when('a request to "{path}" is sent')
def request_sent(context, path):
    started = time.monotonic()
    context.answer = call(context, path)
    context.took_ms = (time.monotonic() - started) * 1000


@then("the client got {count:d} events in order, each once")
def got_events(context, count):
    assert context.answer.whole, context.answer
    assert event_numbers(context.answer.body) == list(range(1, count + 1)), context.answer


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
    for replica in replicas(context, names):
        setattr(replica.faults, fault, 100)


@given('the replicas "{names}" answer without a length')
def unframed(context, names):
    for replica in replicas(context, names):
        replica.faults.unframed = True


@given('the replicas "{names}" say nothing')
def say_nothing(context, names):
    for replica in replicas(context, names):
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
        context.answers.append((f"id-{number}", call(context, path, request=f"id-{number}")))


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

    context.thread.do(relist)
    time.sleep(1.2)


@then('the replica "{name}" ran nothing')
def ran_nothing(context, name):
    assert not context.world.replicas[name].runs
    assert context.world.replicas[name].rejected


@given('the replicas "{names}" make an event each {pace:d} ms')
def pace(context, names, pace):
    for replica in replicas(context, names):
        replica.pace_ms = pace


@when('a client of "{path}" leaves after {span:d} ms')
def client_leaves(context, path, span):
    call(context, path, leave_after_ms=span)


@then("the run was cancelled within {span:d} ms")
def run_cancelled(context, span):
    time.sleep(span / 1000)
    (run,) = all_runs(context)
    assert run.cancelled and not run.ended


@given(
    'the replica that serves "{path}" falls silent and takes no connections after {count:d} events'
)
def falls_silent(context, path, count):
    call(context, path)
    (name,) = [name for name, replica in context.world.replicas.items() if replica.runs]
    replica = context.world.replicas[name]
    replica.runs.clear()
    replica.faults.silent_after = count

    async def shut_later():
        while not replica.runs:  # noqa: ASYNC110 - the replica has nothing to wait on
            await trio.sleep(0.01)
        # The running stream stays open and silent; new connections are refused.
        context.world.shut(name)

    context.thread.do(context.world.nursery.start_soon, shut_later)


@given("routes end after {span:d} ms")
def routes_end(context, span):
    context.thread.do(lambda: context.world.write_plan(timeout_ms=span))
    time.sleep(1)


@then("it took {least:d} to {most:d} ms")
def it_took(context, least, most):
    assert least <= context.took_ms <= most, context.took_ms


@when('the key "{old}" is replaced by "{new}"')
def key_replaced(context, old, new):
    def write():
        context.world.keys = [new]
        context.world.write_plan()

    context.thread.do(write)


@then('within {span:d} ms a request to "{path}" with the key "{key}" is refused with {status:d}')
def refused_within(context, span, path, key, status):
    time.sleep(span / 1000)
    refused_with(context, path, key, status)


@then('within {span:d} ms the second router refuses the key "{key}" with {status:d}')
def second_refused(context, span, key, status):
    time.sleep(span / 1000)
    answer = call(context, "/check/a", router=context.second, key=key)
    assert answer.status == status, answer


@when('the replica "{name}" is listed as draining')
def listed_draining(context, name):
    context.thread.do(lambda: context.world.list_replica(name, "till", state="draining"))


@given('the replica "{name}" is in the zone "{zone}"')
def in_zone(context, name, zone):
    context.thread.do(lambda: context.world.list_replica(name, "till", zone=zone))
    time.sleep(1)


@when('the zone "{zone}" is emptied')
def zone_emptied(context, zone):
    context.thread.do(lambda: context.world.store.write("op", f"evacuate/{zone}", b"{}"))


@then('after {span:d} ms no request to "{path}" reaches "{name}"')
def reaches_not(context, span, path, name):
    time.sleep(span / 1000)
    context.world.replicas[name].runs.clear()
    for _ in range(8):
        assert call(context, path).status == 200
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
        answer = call(context, path)
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

    context.thread.do(change)
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
        context.answer = call(context, path, body=b"the same")


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

    context.thread.do(write)


@then("the log tells of rows that cannot be read")
def log_tells(context):
    found = {
        line["subject"] for line in context.router.lines() if line["event"] == "row_unreadable"
    }
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
