"""Steps for upstreams that send bytes that are no response."""

import sys
import time
from collections import Counter
from contextlib import contextmanager
from pathlib import Path
from subprocess import PIPE, Popen

import trio
from behave import given, then, when

from features.world_thread import WorldThread, event_ids
from skylarklift.ids import RequestId
from skylarklift.upstreams.client import UpstreamClient
from skylarklift.upstreams.failures import UpstreamError
from skylarklift.upstreams.reader import EventReader
from skylarklift.upstreams.stream_position import StreamPosition
from standins.entry_world import HOST
from standins.raw_replica import BROKEN_STREAM, DRIPS, ENDLESS, SLOW_BODIES, RawReplica
from standins.replica import Replica

BYTES_PER_PAGE = 4096
BYTES_PER_MB = 1_000_000
READINESS_INTERVAL_MS = 20


def resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * BYTES_PER_PAGE


def open_world(context, replicas):
    """Start a store, a router and the replicas, given by name."""
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = context.thread.world

    async def build():
        world = context.world
        await world.open_store_endpoint()
        world.write_plan(timeout_ms=12000)
        for name, replica in replicas.items():
            world.ports[name] = await world.listen(name, replica.serve)
            world.register_replica(name, "lm" if name.startswith("lm") else "till")
        return await world.start_router("n1")

    context.router = context.thread.run(build)


@given('a router before a replica that sends "{kind}" without end')
def router_before_replica(context, kind):
    context.replica = RawReplica(ENDLESS[kind])
    open_world(context, {"lm-1": context.replica, "till-1": context.replica})
    context.memory_before = resident_bytes(context.router.process.pid)


@given('a router before a replica that sends "{kind}" without end, and one that takes {span:d} ms')
def router_before_endless_and_slow(context, kind, span):
    slow = Replica("till-1", pace_ms=span)
    open_world(context, {"lm-1": RawReplica(ENDLESS[kind]), "till-1": slow})


async def watch(context):
    """Measure the router's memory, and how long it takes to answer a readiness check."""
    context.longest_wait_ms = context.memory_peak = 0
    while True:
        started = time.monotonic()
        await context.world.is_ready(context.router)
        span = (time.monotonic() - started) * 1000
        context.longest_wait_ms = max(context.longest_wait_ms, span)
        memory = resident_bytes(context.router.process.pid)
        context.memory_peak = max(context.memory_peak, memory)
        await trio.sleep(READINESS_INTERVAL_MS / 1000)


@when('a request to "{path}" with a deadline of {deadline:d} ms is sent')
def request_with_deadline(context, path, deadline):
    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, context)
            response = await context.world.call(context.router, path, deadline_ms=deadline)
            nursery.cancel_scope.cancel()
        return response

    context.response = context.thread.run(run)


async def watch_memory(context):
    """Measure the router's memory."""
    context.memory_peak = 0
    while True:
        memory = resident_bytes(context.router.process.pid)
        context.memory_peak = max(context.memory_peak, memory)
        await trio.sleep(READINESS_INTERVAL_MS / 1000)


@contextmanager
def readiness_watch(context):
    """Measure, during a block and from another process, the time of readiness checks."""
    command = [sys.executable, "-m", "features.readiness_watch", HOST]
    command.append(str(context.router.readiness_port))
    with Popen(command, stdin=PIPE, stdout=PIPE, text=True) as process:
        yield
        output, _ = process.communicate()
    context.longest_wait_ms = float(output)
    assert context.longest_wait_ms > 0


@when('{count:d} requests to "{path}" with bodies of {size:d} bytes are sent at once')
def requests_at_once(context, count, path, size):
    send_at_once(context, count, path, size)


@when(
    '{count:d} requests to "{path}" with bodies of {size:d} bytes are sent at once, and {others:d} '
    'to "{other_path}"'
)
def requests_beside_others(context, count, path, size, others, other_path):
    send_at_once(context, count, path, size, others, other_path)


def send_at_once(context, count, path, size, others=0, other_path=""):
    """Send requests, and others beside them; count the statuses of both apart."""
    context.statuses, context.other_statuses = Counter(), Counter()

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_memory, context)
            async with trio.open_nursery() as callers:
                for number in range(count):
                    callers.start_soon(send_one, context, path, size, number, context.statuses)
                for number in range(count, count + others):
                    callers.start_soon(
                        send_one, context, other_path, 10, number, context.other_statuses
                    )
            nursery.cancel_scope.cancel()

    # The callers and replicas of this process keep its loop busy, so another one measures.
    with readiness_watch(context):
        context.thread.run(run)


async def send_one(context, path, size, number, statuses):
    """Send one request with a prompt of its own, and count its status; 0 if it was cut off."""
    try:
        response = await context.world.call(
            context.router,
            path,
            body=b"x" * size,
            request_id=f"q{number}",
            deadline_ms=10_000,
            headers={"x-prefix-hash": f"{number}a:50,{number}b:40,{number}c:10"},
        )
        statuses[response.status if response.complete else 0] += 1
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The router answered before it had read the body, and closed the connection.
        statuses[503] += 1


@then("the router's process used at most {size:d} MB")
def memory_used(context, size):
    assert context.router.process.poll() is None, "the process has ended"
    assert context.memory_peak / BYTES_PER_MB <= size, context.memory_peak / BYTES_PER_MB


@then("each request of them got {statuses}")
def statuses_got(context, statuses):
    assert set(context.statuses) <= set(map(int, statuses.split(","))), context.statuses


@then("the replica's connection was closed within {span:d} ms")
def connection_closed(context, span):
    # The caller's answer may arrive before the replica's task has run and seen the reset.
    context.thread.run(context.replica.wait_closed, span)
    took = context.replica.closed_after_ms
    assert took is not None and took <= span, took


@then("the caller's response is not a complete success")
def not_complete_success(context):
    response = context.response
    assert not (response.status == 200 and response.complete), response.status
    assert response.status in (0, 200, 502), response


@then("the router's memory grew by at most {size:d} MB")
def memory_grew(context, size):
    grown = (context.memory_peak - context.memory_before) / BYTES_PER_MB
    assert grown <= size, grown


@then("the router answered each readiness check within {span:d} ms")
def readiness_answered(context, span):
    assert context.longest_wait_ms <= span, context.longest_wait_ms


@given('a router before a replica that sends "{kind}" now and then, and a sound one')
def router_before_dripping_replica(context, kind):
    open_world(context, {"lm-1": RawReplica(DRIPS[kind]), "lm-2": Replica("lm-2")})


@when('{count:d} requests to "{path}" with a deadline of {deadline:d} ms are sent')
def requests_with_deadline(context, count, path, deadline):
    context.responses = []

    async def send(number):
        started = time.monotonic()
        # Prompts differ, so that some go to either replica first.
        headers = {"x-prefix-hash": f"{number}a:50,{number}b:40,{number}c:10"}
        response = await context.world.call(
            context.router, path, deadline_ms=deadline, headers=headers
        )
        context.responses.append((response, (time.monotonic() - started) * 1000))

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(send, number)

    context.thread.run(run)


@then("each caller got {count:d} events in order within {span:d} ms")
def each_got_events(context, count, span):
    for response, took_ms in context.responses:
        assert response.complete, (response, took_ms)
        numbers = [number for number in event_ids(response.body) if number is not None]
        assert numbers == list(range(1, count + 1)), response
        assert took_ms <= span, took_ms


@given('a router before a replica that sends a slow body "{framing}"')
def router_before_slow_replica(context, framing):
    context.replica = RawReplica(SLOW_BODIES[framing])
    open_world(context, {"till-1": context.replica})
    context.memory_before = resident_bytes(context.router.process.pid)


@then("the caller got the whole body of {size:d} bytes")
def got_whole_body(context, size):
    response = context.response
    assert response.status == 200 and response.complete, response
    assert len(response.body) == size, len(response.body)


@then("the replica got {count:d} request")
def replica_got(context, count):
    assert context.replica.requests == count, context.replica.requests


@given("a router before a replica that breaks off a stream")
def router_before_breaking_replica(context):
    open_world(context, {"lm-1": RawReplica(BROKEN_STREAM)})


def old_caller_head(path, deadline_ms=4000):
    """Return the head of an HTTP/1.0 caller's request for a stream."""
    return (
        f"POST {path} HTTP/1.0\r\nhost: app.example\r\nx-attempt-id: q1\r\nx-api-key: key-1\r\n"
        "x-token-count: 100,50\r\nx-prefix-hash: aa:50,bb:40,cc:10\r\n"
        f"x-deadline-ms: {deadline_ms}\r\ncontent-length: 0\r\n\r\n"
    ).encode()


@when('an HTTP/1.0 caller sends a request to "{path}"')
def old_caller_sends(context, path):
    async def send():
        stream = await trio.open_tcp_stream(HOST, context.router.caller_port)
        async with stream:
            await stream.send_all(old_caller_head(path))
            received = b""
            with trio.fail_after(6):
                while data := await stream.receive_some(65536):
                    received += data
        return received

    context.was_reset = False
    try:
        context.received = context.thread.run(send)
    except trio.BrokenResourceError:
        context.was_reset = True


@then("the caller's connection was reset")
def connection_was_reset(context):
    assert context.was_reset, context.received


@given('a replica that sends "{kind}" without end')
def endless_replica(context, kind):
    context.replica = RawReplica(ENDLESS[kind])


@when("the upstream client reads its {kind}")
def client_reads(context, kind):
    trio.run(_read_with_client, context, kind)


async def _read_with_client(context, kind):
    """Read an answer of the replica; record the failure and how long it took."""
    context.failure, context.took_ms = None, None
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, context.replica.serve, [listener])
        client = UpstreamClient()
        url = f"http://{HOST}:{listener.socket.getsockname()[1]}/"
        started = trio.current_time()
        try:
            with trio.fail_after(8):
                response = await client.send_request("POST", url, {"X-Attempt-Id": "q1"}, b"")
                if kind == "stream":
                    async for _ in client.stream_events(
                        response, EventReader(RequestId("q1"), StreamPosition(0))
                    ):
                        pass
                else:
                    await client.read_response(response)
        except UpstreamError as exc:
            context.failure = exc
        except trio.TooSlowError:
            context.failure = None
        context.took_ms = (trio.current_time() - started) * 1000
        await client.close()
        nursery.cancel_scope.cancel()


@then('it fails as "{kind}" within {span:d} ms')
def fails_as(context, kind, span):
    assert context.failure is not None and context.failure.kind.value == kind, context.failure
    assert context.took_ms <= span, context.took_ms


@then("each of the others got {status:d}")
def others_got(context, status):
    assert set(context.other_statuses) == {status}, context.other_statuses
