"""Steps for the ports of replicas, which no test that runs beside this one may get."""

import errno
import subprocess
import sys
import time
from pathlib import Path

from behave import then, when

from features.world_thread import send_request
from standins.entry_world import HOST

EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
# A router reads the entry of the new process by then.
ENTRY_READ_S = 1.5
# As a test process does that looks for a free port; it exits with the number of the error.
BIND = """
import socket, sys
try:
    socket.socket().bind((sys.argv[1], int(sys.argv[2])))
except OSError as exc:
    sys.exit(exc.errno)
"""


@when('the replica "{name}" is stopped')
def replica_stopped(context, name):
    context.stopped = name
    context.thread.run_sync(context.world.stop_replica, name)


@then("no other test process gets its port")
def port_not_given(context):
    port = context.world.ports[context.stopped]
    first, last = map(int, EPHEMERAL_PORTS.read_text().split())
    assert not first <= port <= last, f"{port} is given to any listener"
    outcome = subprocess.run([sys.executable, "-c", BIND, HOST, str(port)])
    assert outcome.returncode == errno.EADDRINUSE, outcome


@when("it is started again")
def replica_started(context):
    context.thread.run(context.world.restart_replica, context.stopped, 2)
    time.sleep(ENTRY_READ_S)


@then('a request to "{path}" reaches it within {span:d} ms')
def request_reaches(context, path, span):
    replica = context.world.replicas[context.stopped]
    end = time.monotonic() + span / 1000
    while not replica.runs and time.monotonic() < end:
        assert send_request(context, path).status == 200
    assert replica.runs
