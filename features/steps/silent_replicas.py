"""Steps for replicas, as processes, that fall silent for a while and go on."""

import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import trio
from behave import given, then, when

from features.world_thread import WorldThread
from skylarklift.clock import ManualClock
from skylarklift.entry.placement.unanswered import Unanswered
from skylarklift.entry.requests.excused_attempts import connect_timeout_ms, is_excused
from skylarklift.errors import ConnectTimeout
from skylarklift.ids import ReplicaId
from standins.entry_world import HOST, ROOT

STREAM_PREFIXES = ("/chat/", "/once/")
EVENTS = 30
# With no more than this in its queue, the kernel drops further requests for a connection.
SHORT_QUEUE = 0
USUAL_QUEUE = 128
FILLERS = 3
INTERVAL_S = 0.04
BEFORE_SILENCE_S = 0.6
AFTER_SILENCE_S = 0.6
VERSIONS_KNOWN_S = 1.5
LOG_POLL_S = 0.05
FAULT_EVENTS = ("upstream_ejected", "crash_suspected", "upstream_doubted")


@dataclass
class ReplicaProcess:
    """A replica's process, the listener on which it accepts, and the log of its runs."""

    process: subprocess.Popen
    listener: socket.socket
    log: Path

    def end(self) -> None:
        """End the process, suspended or not."""
        self.process.kill()
        self.process.wait()
        self.listener.close()


def start_replica(world, name, port, service, span_ms):
    """Start a replica's process whose answers take a time, and register it."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(USUAL_QUEUE)
    log = world.folder / f"{name}.runs"
    events, pace_ms = (EVENTS, span_ms // EVENTS) if service == "lm" else (1, span_ms)
    descriptor = listener.fileno()
    command = [sys.executable, "-m", "standins.replica_process", name, str(descriptor), str(log)]
    command += [str(events), str(pace_ms)]
    process = subprocess.Popen(command, cwd=ROOT, pass_fds=[descriptor])
    world.ports[name] = port
    world.register_replica(name, service)
    return ReplicaProcess(process, listener, log)


@given(
    'a router before {count:d} replicas as processes, whose answers to "{path}" take {span:d} ms'
)
def router_before_processes(context, count, path, span):
    service = "lm" if path.startswith(STREAM_PREFIXES) else "till"
    context.thread = WorldThread()
    context.world = context.thread.world
    context.processes = []
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]

    async def build():
        world = context.world
        await world.open_store_endpoint()
        world.write_plan(timeout_ms=12000, max_attempts=2)
        for number in range(1, count + 1):
            name, port = f"{service}-{number}", world.reserve_port()
            context.processes.append(start_replica(world, name, port, service, span))
        router = await world.start_router("n1")
        await trio.sleep(VERSIONS_KNOWN_S)
        return router

    context.cleanups.append(lambda: [item.end() for item in context.processes])
    context.router = context.thread.run(build)


@when('requests to "{path}" are sent, one each 40 ms, and {count:d} replicas {how} for {span:d} ms')
def send_beside_silence(context, path, count, how, span):
    context.responses, context.took_ms = {}, {}
    silent = context.processes[:count]

    async def send(name):
        headers = {"x-prefix-hash": f"{name}a:50,{name}b:40,{name}c:10"}
        if not path.startswith(STREAM_PREFIXES):
            headers = {}
        started = time.monotonic()
        context.responses[name] = await context.world.call(
            context.router, path, request_id=name, headers=headers, deadline_ms=10_000
        )
        context.took_ms[name] = (time.monotonic() - started) * 1000

    async def send_all(nursery, span_s):
        number = 0
        with trio.move_on_after(span_s):
            while True:
                name = f"id-{len(context.responses)}-{number}"
                context.responses[name] = None
                nursery.start_soon(send, name)
                number += 1
                await trio.sleep(INTERVAL_S)

    async def run():
        async with trio.open_nursery() as nursery:
            await send_all(nursery, BEFORE_SILENCE_S)
            fillers = fall_silent(silent, how)
            nursery.start_soon(note_ejection, context, span / 1000)
            try:
                await send_all(nursery, span / 1000)
            finally:
                go_on(silent, fillers)
            await send_all(nursery, AFTER_SILENCE_S)

    context.thread.run(run)


async def note_ejection(context, span_s):
    """Note how long after now the router ejects a replica, if it does within a time."""
    started = time.monotonic()
    context.ejected_ms = None
    while time.monotonic() - started < span_s:
        if any(line["event"] == "upstream_ejected" for line in context.router.lines()):
            context.ejected_ms = (time.monotonic() - started) * 1000
            return
        await trio.sleep(LOG_POLL_S)


def fall_silent(processes, how):
    """Suspend the processes, and let their kernels accept no more if they cannot be reached."""
    for item in processes:
        item.process.send_signal(signal.SIGSTOP)
    if how == "are suspended":
        return []
    return [filler for item in processes for filler in fill_queue(item.listener)]


def fill_queue(listener):
    """Fill the queue of a listener, so that the kernel drops further requests to connect."""
    listener.listen(SHORT_QUEUE)
    fillers = [socket.socket() for _ in range(FILLERS)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return fillers


def go_on(processes, fillers):
    """Resume the processes and let their kernels accept again."""
    for filler in fillers:
        filler.close()
    for item in processes:
        item.listener.listen(USUAL_QUEUE)
        item.process.send_signal(signal.SIGCONT)


@then("all requests were answered completely with 200")
def all_complete(context):
    failed = {
        name: (item.status, item.complete, item.body[-200:])
        for name, item in context.responses.items()
        if item.status != 200 or not item.complete
    }
    assert not failed, f"{len(failed)} of {len(context.responses)}: {list(failed.items())[:4]}"


@then("each request ran once at the processes")
def ran_once(context):
    runs = Counter(line for item in context.processes for line in item.log.read_text().split())
    wrong = {name: runs[name] for name in context.responses if runs[name] != 1}
    assert not wrong, f"{len(wrong)} of {len(context.responses)}: {list(wrong.items())[:4]}"


@then("the router ejected no replica and suspected no crash")
def nothing_ejected(context):
    lines = [line for line in context.router.lines() if line.get("event") in FAULT_EVENTS]
    assert not lines, lines[:4]


@then("each of them took at most {span:d} ms")
def took_at_most(context, span):
    assert max(context.took_ms.values()) <= span, max(context.took_ms.values())


@then("the router ejected the silent replica within {span:d} ms of its silence")
def ejected_within(context, span):
    lines = [line for line in context.router.lines() if line["event"] == "upstream_ejected"]
    assert lines and {line["upstream"][-2:] for line in lines} == {"-1"}, lines
    assert context.ejected_ms is not None and context.ejected_ms <= span, context.ejected_ms


@given("connections to a replica that were begun at {begun} ms and timed out at {ended} ms")
def connections_timed_out(context, begun, ended):
    context.clock = ManualClock(0)
    context.unanswered = Unanswered(context.clock)
    moments = zip(begun.split(","), ended.split(","), strict=True)
    for began_at, ended_at in moments:
        context.clock.advance(int(ended_at) - context.clock.now())
        failure = ConnectTimeout("no answer")
        assert context.unanswered.tolerates(ReplicaId("r0"), failure, int(began_at))


@then("another look at it, which takes {look:d} ms, {due} at {span:d} ms")
def another_look_is_due(context, look, due, span):
    context.clock.advance(span - context.clock.now())
    is_due = not context.unanswered.has_tolerated(ReplicaId("r0"), look)
    assert is_due == (due == "is due"), (span, due)


@then("an attempt that met a tolerated silence between {began:d} and {ended:d} ms is excused")
def attempt_is_excused(context, began, ended):
    assert is_excused(began, ended)


@then("an attempt that met a tolerated silence between {began:d} and {ended:d} ms is not excused")
def attempt_is_not_excused(context, began, ended):
    assert not is_excused(began, ended)


@then("a connection after {attempts:d} attempts at {age:d} ms may take {span:d} ms")
def connection_may_take(context, attempts, age, span):
    assert connect_timeout_ms(attempts, age) == span
