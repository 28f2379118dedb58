"""Steps for what a process needs from outside: ports, settings and descriptors."""

import signal
import socket
import time

from behave import given, then, when

from features.world_thread import WorldThread, send_request
from standins.entry_world import HOST, LOG_TAIL_CHARS, Response
from standins.faulty_router import FAULTY_PATH

POLL_S = 0.05
START_LIMIT_S = 15
ANSWER_LIMIT_S = 15
LOG_LIMIT_S = 5
END_LIMIT_S = 12
DATAGRAM_PORTS = ("gossip",)


def build_world(context):
    """Start a world with a store and one replica of each service."""
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = context.thread.world

    async def build():
        await context.world.open_store_endpoint()
        context.world.write_plan()
        for name, service in (("lm-1", "lm"), ("till-1", "till")):
            await context.world.add_replica(name, service)

    context.thread.run(build)


def state_of(context):
    """Return the exit code of the router's process and the end of its log."""
    router = context.router
    return router.process.poll(), router.log.read_text()[-LOG_TAIL_CHARS:]


def wait_until(condition, limit_s):
    """Poll a condition; return whether it held within the limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(POLL_S)
    return False


@given("a router that ended, and another socket at its {kind} port")
def router_with_taken_port(context, kind):
    build_world(context)
    metrics, peers = context.world.reserve_port(), context.world.reserve_port()
    context.world.program = ("-m", "skylarklift.platform.daemon", "--metrics-port", str(metrics))

    async def start():
        return await context.world.start_router("n1", peer_port=peers)

    context.router = router = context.thread.run(start)
    router.process.kill()
    router.process.wait()
    router.log.write_text("")
    ports = {
        "callers": router.caller_port,
        "readiness": router.readiness_port,
        "metrics": metrics,
        "peers": peers,
        "gossip": peers,
    }
    context.taken = take_port(ports[kind], datagrams=kind in DATAGRAM_PORTS)
    context.cleanups.append(context.taken.close)


def take_port(port, *, datagrams=False):
    """Return a socket that uses a port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM)
    if not datagrams:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    if not datagrams:
        sock.listen()
    return sock


@when("the router starts again")
def router_starts_again(context):
    context.thread.run(context.world.restart_router, context.router)
    context.router.start_count = 1


@when("the router starts again, and the port is free {span:d} ms after it logged that it is not")
def router_starts_then_port_free(context, span):
    router_starts_again(context)
    logged = wait_until(lambda: count_events(context, "listen_failed"), START_LIMIT_S)
    assert logged, state_of(context)
    time.sleep(span / 1000)
    context.taken.close()


@given('a router that fails unexpectedly in requests to "{path}"')
def faulty_router(context, path):
    assert path == FAULTY_PATH
    build_world(context)
    context.world.program = ("-m", "standins.faulty_router")
    context.router = context.thread.run(context.world.start_router, "n1")


@when('{count:d} requests to "{path}" fail without an answer')
def requests_fail(context, count, path):
    for _ in range(count):
        assert try_request(context, path).status == 0
        assert context.router.process.poll() is None, state_of(context)


def try_request(context, path):
    """Return the response to a request, an empty one if the router takes no connection."""
    try:
        return send_request(context, path)
    except OSError:
        return Response()


def is_ready(context):
    return context.thread.run(context.world.is_ready, context.router)


@then("the router is ready within {span:d} ms")
def router_ready(context, span):
    ready = wait_until(lambda: is_ready(context), span / 1000)
    assert ready, state_of(context)


def answers(context):
    """Return whether the router answers a request of each kind with 200."""
    return all(try_request(context, path).status == 200 for path in ("/chat/a", "/redeem/a"))


@then("it answers callers")
def answers_callers(context):
    answered = wait_until(lambda: answers(context), ANSWER_LIMIT_S)
    assert answered, state_of(context)


def count_events(context, event):
    return sum(line["event"] == event for line in context.router.lines())


@then('it logged "{first}" {first_count:d} times, and "{second}" {second_count:d} times')
def logged_events(context, first, first_count, second, second_count):
    logged = wait_until(
        lambda: (count_events(context, first), count_events(context, second))
        == (first_count, second_count),
        LOG_LIMIT_S,
    )
    assert logged, state_of(context)


@then("a SIGTERM ends it with exit code {code:d}")
def sigterm_ends(context, code):
    context.router.process.send_signal(signal.SIGTERM)
    assert context.router.process.wait(END_LIMIT_S) == code, state_of(context)


@then("its readiness address answers {status:d} for {span:d} ms")
def readiness_answers(context, status, span):
    async def ask():
        return await context.world.send_request(
            context.router.readiness_port, "GET", "/-/readyz", {}
        )

    def answered():
        try:
            return context.thread.run(ask).status == status
        except OSError:
            return False

    assert wait_until(answered, ANSWER_LIMIT_S), state_of(context)
    end = time.monotonic() + span / 1000
    while time.monotonic() < end:
        assert answered(), state_of(context)
        time.sleep(POLL_S)
