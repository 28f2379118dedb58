"""Steps for the ports and descriptors of a router daemon of the own deployment."""

import resource
import socket
import time

from behave import given, then, when

from features.steps.process_resources import take_port, wait_until
from features.steps.process_settings import CALLERS, daemon_starts, make_router_daemon
from standins.entry_world import HOST

START_LIMIT_S = 15
LOG_LIMIT_S = 2


@given("a router daemon whose {kind} port is in use")
def daemon_with_taken_port(context, kind):
    daemon = make_router_daemon(context)
    context.taken = take_port(daemon.ports[kind])
    context.cleanups.append(context.taken.close)


@when("it starts, and the port is free {span:d} ms after it logged that it is not")
def starts_then_port_free(context, span):
    daemon_starts(context)
    logged = wait_until(lambda: count_lines(context, "listen_failed"), START_LIMIT_S)
    assert logged, context.daemon.tail()
    time.sleep(span / 1000)
    context.taken.close()


@when("it starts, and has logged that the port is not free")
def starts_and_waits(context):
    daemon_starts(context)
    logged = wait_until(lambda: count_lines(context, "listen_failed"), START_LIMIT_S)
    assert logged, context.daemon.tail()


@then("it does not serve within {span:d} ms")
def does_not_serve(context, span):
    assert not wait_until(context.daemon.serves, span / 1000), context.daemon.tail()


def count_lines(context, text):
    return sum(f'"{text}"' in line for line in context.daemon.output.read_text().splitlines())


@then('its log has "{first}" {first_count:d} times, and "{second}" {second_count:d} times')
def log_has(context, first, first_count, second, second_count):
    expected = (first_count, second_count)
    logged = wait_until(
        lambda: (count_lines(context, first), count_lines(context, second)) == expected, LOG_LIMIT_S
    )
    assert logged, context.daemon.tail()


@then('its log has "{event}" {count:d} times, and no traceback')
def log_has_once(context, event, count):
    assert count_lines(context, event) == count, context.daemon.tail()
    assert "Traceback" not in context.daemon.output.read_text(), context.daemon.tail()


@then("it ends with exit code {code:d} after {low:d} to {high:d} ms, and names the cause last")
def ends_with_line(context, code, low, high):
    daemon = context.daemon
    assert daemon.process.wait(high / 1000) == code, daemon.tail()
    assert (time.monotonic() - context.started_at) * 1000 >= low
    output = daemon.output.read_text()
    assert "Traceback" not in output, output
    assert "ddress already in use" in output.splitlines()[-1], output


@given("a router daemon with a limit of {limit:d} descriptors")
def daemon_with_limit(context, limit):
    daemon = make_router_daemon(context)
    daemon.start()
    assert wait_until(daemon.serves, START_LIMIT_S), daemon.tail()
    resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, (limit, limit))


@given("{count:d} connections to its callers address for {span:d} ms")
def idle_connections(context, count, span):
    address = (HOST, context.daemon.ports[CALLERS])
    streams = [socket.create_connection(address) for _ in range(count)]
    time.sleep(span / 1000)
    for stream in streams:
        stream.close()
