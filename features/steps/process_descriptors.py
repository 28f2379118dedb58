"""Steps for a router that has few descriptors."""

import errno
import os
import resource
import time

import trio
from behave import given, then, when

from features.entry_fixtures import choose, core_with_replicas, new_call, parse_yes_no
from features.steps.process_resources import build_world, count_events, state_of, try_request
from features.world_thread import send_request
from skylarklift.clock import LoopClock, ManualClock
from skylarklift.entry.model import SendOptions
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.open_connections import OpenConnections
from skylarklift.entry.requests.retry_state import Outcome
from skylarklift.errors import TransportError
from skylarklift.util.descriptors import (
    BASE_DESCRIPTORS,
    DescriptorShares,
    descriptor_limit,
    divide_descriptors,
)
from standins.entry_world import HOST, exchange

LIMITED_DAEMON = """
import resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, {limit}))
from skylarklift.platform.daemon import main
sys.exit(main())
"""
SETTLE_S = 0.5


@given("an entry router with a limit of {limit:d} descriptors set {when}")
def limited_router(context, limit, when):
    build_world(context)
    if when == "before its start":
        context.world.program = ("-c", LIMITED_DAEMON.format(limit=limit))
    context.router = router = context.thread.run(context.world.start_router, "n1")
    if when == "in its settings":
        with router.settings.open("a") as settings:
            settings.write(f"limits.max_fds={limit}\n")
        router.process.kill()
        context.thread.run(context.world.restart_router, router)
        context.thread.run(context.world.wait_ready, router)
    if when == "while it runs":
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE, (limit, limit))


@given("{count:d} connections to it that are idle {kind}")
def idle_connections(context, count, kind):
    async def connect():
        headers = {"host": "app.example", "x-api-key": "key-1", "x-deadline-ms": "4000"}
        context.idle = []
        for _ in range(count):
            stream = await trio.open_tcp_stream(HOST, context.router.caller_port)
            if kind == "after a request":
                fields = {**headers, "x-attempt-id": os.urandom(6).hex()}
                with trio.fail_after(5):
                    response = await exchange(stream, "GET", "/check/a", fields, b"")
                assert response.status == 200, (len(context.idle), response, state_of(context))
            context.idle.append(stream)

    context.thread.run(connect)
    time.sleep(SETTLE_S)


def send_at_once(context, count, target):
    """Send requests at once; keep each response with the milliseconds that it took."""
    context.results = []

    async def send():
        started = time.monotonic()
        response = await context.world.call(context.router, target)
        context.results.append((response, (time.monotonic() - started) * 1000))

    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(send)

    context.thread.run(run)


@when("{count:d} new callers send a request each at once")
def new_callers(context, count):
    send_at_once(context, count, "/chat/a")


@then("all {count:d} are answered with {status:d}")
def all_answered(context, count, status):
    statuses = [response.status for response, _ in context.results if response.complete]
    assert statuses == [status] * count, (statuses, state_of(context))


@then("its process has at most {most:d} descriptors open")
def few_descriptors(context, most):
    count = len(os.listdir(f"/proc/{context.router.process.pid}/fd"))
    assert count <= most, (count, state_of(context))


@then("no upstream was ejected")
def none_ejected(context):
    assert not count_events(context, "upstream_ejected"), state_of(context)


@then('it logged at most {most:d} "{event}" and no traceback')
def few_lines(context, most, event):
    assert count_events(context, event) <= most, state_of(context)
    assert "Traceback" not in context.router.log.read_text(), state_of(context)


@then("none of the idle connections was closed")
def none_closed(context):
    async def is_open(stream):
        with trio.move_on_after(0.01) as scope:
            await stream.receive_some(1)
        return scope.cancelled_caught

    async def count_open():
        return sum([await is_open(stream) for stream in context.idle])

    assert context.thread.run(count_open) == len(context.idle)


@when("{count:d} callers send requests that take {span:d} ms each")
def slow_requests(context, count, span):
    assert try_request(context, "/redeem/a").status == 200
    for replica in context.world.replicas.values():
        replica.pace_ms = span
    send_at_once(context, count, "/redeem/a")


@then(
    "{low:d} to {high:d} of them are answered with {status:d}, and all others with {other:d} "
    "within {span:d} ms"
)
def some_answered(context, low, high, status, other, span):
    statuses = [response.status for response, _ in context.results]
    assert low <= statuses.count(status) <= high, (statuses, state_of(context))
    assert statuses.count(status) + statuses.count(other) == len(statuses), statuses
    assert all(took <= span for response, took in context.results if response.status == other)
    assert send_request(context, "/redeem/a").status == status


class FailingSockets(trio.abc.SocketFactory):
    """A network in which no socket can be opened."""

    def __init__(self, number: int):
        self._number = number

    def socket(self, family=None, type=None, proto=None):  # noqa: A002
        """Fail."""
        raise OSError(self._number, os.strerror(self._number))


@given("a connection to an upstream fails with {error}")
def connection_fails(context, error):
    async def send():
        trio.socket.set_custom_socket_factory(FailingSockets(getattr(errno, error)))
        core = core_with_replicas(1, clock=LoopClock())
        call = new_call()
        choice = choose(core, call)
        options = SendOptions(choice.upstream.record.replica, None, 1000, None, None)
        attempt = Attempt(core, call, choice, options, repeatable=True)
        try:
            async with attempt.open():
                await attempt.send()
        except TransportError as exc:
            await attempt.record_failure(exc)
        return attempt

    context.attempt = trio.run(send)


@then("the attempt was not sent, and its upstream is ejected: {word}")
def attempt_not_sent(context, word):
    attempt = context.attempt
    assert attempt.outcome is Outcome.NOT_SENT, attempt.outcome
    events = [line["event"] for line in attempt.core.event_log.lines]
    assert ("upstream_ejected" in events) == parse_yes_no(word), events


@given('connections that go through "{steps}"')
def connections_go_through(context, steps):
    clock = ManualClock(0)
    with_input = set()
    connections = OpenConnections(clock, lambda conn: conn not in with_input)
    for step in steps.split():
        at, action, *name = step.split(":")
        clock.advance(int(at) - clock.now())
        if action == "idle":
            connections.add(*name)
            connections.mark_idle(*name)
        elif action == "busy":
            connections.mark_busy(*name)
        elif action == "closed":
            connections.remove(*name)
        elif action == "input":
            with_input.update(name)
    context.accepted = connections.may_add(2)
    context.first = connections.take_longest_idle()


@then('the connection that closes first is "{name}"')
def closes_first(context, name):
    assert (context.first or "none") == name, context.first


@then("another connection is accepted with a limit of 2: {word}")
def is_accepted(context, word):
    assert context.accepted == parse_yes_no(word)


@given("a process that may have {limit:d} descriptors open")
def process_with_limit(context, limit):
    context.shares = divide_descriptors(descriptor_limit(limit))


@then("{callers:d} of them are for callers, as many for upstreams, and {others:d} for each service")
def shares_are(context, callers, others):
    assert context.shares == DescriptorShares(callers, callers, others, others), context.shares


@then(
    "all of them with those of the process are at most {limit:d}, unless it has less than {least:d}"
)
def shares_fit(context, limit, least):
    shares = context.shares
    used = BASE_DESCRIPTORS + shares.callers + shares.upstreams
    assert limit < least or used + shares.monitoring + shares.routers <= limit, shares
