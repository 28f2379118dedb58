"""Steps for signals that reach a router's process at any moment, and for its exit codes."""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import httpx
import trio
from behave import given, then, when

from features.chat_calls import send_chat
from features.world_thread import WorldThread, event_ids
from standins.deployment import Deployment, Shape
from standins.entry_world import HOST, ROOT
from standins.process_state import receives_signal, send_series, wait_until_loaded

START_TIMEOUT_S = 20
POLL_S = 0.02
UNDER_WAY_S = 0.5
STREAM_EVENTS = 6
CHAT_TOKENS = 40
DRAIN_TIMEOUT_S = 10
# What a process blocks, as an expression of Python.
BLOCKED_SIGNALS = {
    "all signals": "signal.valid_signals()",
    "SIGTERM": "{signal.SIGTERM}",
    "no signal": "set()",
}
BLOCKING_PROGRAM = """
import signal, sys, time
signal.pthread_sigmask(signal.SIG_SETMASK, {blocked})
print("blocked", flush=True)
time.sleep({span_s})
signal.pthread_sigmask(signal.SIG_SETMASK, set())
print("unblocked", flush=True)
time.sleep(60)
"""
ENDING_PROGRAM = """
import os, signal, threading, time
from skylarklift.util.signals import ProcessSignals
reader, log = os.pipe()
os.set_blocking(log, False)
try:
    while True:
        os.write(log, bytes(4096))
except BlockingIOError:
    os.set_blocking(log, True)
signals = ProcessSignals(log)
signals.start()
os.kill(os.getpid(), signal.SIGTERM)
time.sleep({after_s})
threading.Timer({span_s} - {after_s}, os.read, (reader, 1 << 20)).start()
with signals.deliver(lambda: None):
    print("serves", flush=True)
    time.sleep(1)
"""
FULL_SHUTDOWN = {"health_wait_ms": 300, "drain_limit_ms": 5000}


@dataclass
class WatchedProcess:
    """A router's process, its log, its settings, and the port and path of its health check."""

    process: subprocess.Popen
    log: Path
    settings: Path
    port: int
    health: str

    def exit_line(self):
        """Return the last line of the log, which must be on the exit."""
        line = json.loads(self.log.read_text().splitlines()[-1])
        assert line["event"] == "exit", line
        return line


def add_cleanup(context, cleanup):
    context.cleanups = [*getattr(context, "cleanups", []), cleanup]


def open_world(context):
    """Start a store without rows in a thread of its own."""
    context.thread = WorldThread()
    add_cleanup(context, context.thread.close)
    context.world = context.thread.world
    context.thread.run(context.world.open_store_endpoint)


def launch(context, daemon):
    """Start a router that has no configuration yet, and do not wait for it."""
    if daemon == "platform":
        open_world(context)
        return watched(context.thread.run_sync(context.world.launch_router, "n1"))
    deployment = Deployment(Shape(1, {}, (), 1), settings={"shutdown": FULL_SHUTDOWN})
    add_cleanup(context, deployment.stop)
    platform = deployment._start_standin("platform", "standins.platform", [])
    platform.signal(signal.SIGKILL)
    return watched_own(deployment, deployment.start_router("router-1"))


def watched(router):
    return WatchedProcess(
        router.process, router.log, router.settings, router.readiness_port, "/-/readyz"
    )


def watched_own(deployment, router):
    settings = deployment.folder / f"{router.name}.json"
    return WatchedProcess(router.process, router.log, settings, router.port, "/health")


@given('a router of the {daemon} that is loading "{library}"')
def router_loading(context, daemon, library):
    context.watched = launch(context, daemon)
    wait_until_loaded(context.watched.process, library)


@given("a router of the platform whose settings do not come")
def router_reading_settings(context):
    open_world(context)
    path = Path(context.world.folder) / "n1.conf"
    os.mkfifo(path)
    log = path.with_suffix(".log")
    process = context.thread.run_sync(context.world._start_process, path, log)
    add_cleanup(context, process.kill)
    context.watched = WatchedProcess(process, log, path, 0, "")
    wait_until_loaded(process, "xxhash")
    # The process opens its settings once it has imported its code.
    wait_until_waits(process)


def wait_until_waits(process):
    """Wait until a process has used no processor time for a while."""
    previous = None
    while previous != (previous := cpu_ticks(process.pid)):
        time.sleep(0.2)


def cpu_ticks(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


@when('it gets the signals "{names}"')
def gets_signals(context, names):
    context.signalled_at = time.monotonic()
    send_series(context.watched.process, names)


@when("it gets all signals over and over until it has ended")
def gets_signals_until_end(context):
    process = context.watched.process
    end = time.monotonic() + DRAIN_TIMEOUT_S
    while process.poll() is None and time.monotonic() < end:
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            process.send_signal(number)


@when('its settings change and it gets the signals "{names}"')
def settings_change(context, names):
    text = context.watched.settings.read_text()
    context.watched.settings.write_text(text + f"bounds.grace_s={8 + len(text) % 2}\n")
    gets_signals(context, names)


@then("it ends with exit code {code:d} within {span:d} ms")
def ends_with(context, code, span):
    left_s = context.signalled_at + span / 1000 - time.monotonic()
    assert context.watched.process.wait(max(left_s, 0.1)) == code, context.watched


@then('its log says that it ended because of "{cause}" with code {code:d}')
def log_names_cause(context, cause, code):
    line = context.watched.exit_line()
    assert (line["cause"], line["code"]) == (cause, code), line


@then("it answers requests for its health")
def answers_health(context):
    watched = context.watched
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        assert watched.process.poll() is None, watched.process.poll()
        try:
            httpx.get(f"http://{HOST}:{watched.port}{watched.health}", trust_env=False)
        except httpx.HTTPError:
            time.sleep(POLL_S)
            continue
        return
    raise AssertionError(f"no answer: {watched.log.read_text()}")


@then("its log has {count:d} lines on reloaded settings within {span:d} ms")
def reloaded(context, count, span):
    end = time.monotonic() + span / 1000
    while context.watched.log.read_text().count('"settings_reloaded","cause":"signal"') < count:
        assert time.monotonic() < end, context.watched.log.read_text()
        time.sleep(POLL_S)


@given("a process that gets SIGTERM while its log takes no line for {span:d} ms")
def process_without_log(context, span):
    context.log_span_ms = span


@when("it begins to deliver its signals {after:d} ms after the first")
def delivers_signals(context, after):
    program = ENDING_PROGRAM.format(span_s=context.log_span_ms / 1000, after_s=after / 1000)
    process = subprocess.Popen(
        [sys.executable, "-c", program], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    add_cleanup(context, process.kill)
    context.watched = WatchedProcess(process, Path(os.devnull), Path(os.devnull), 0, "")
    context.signalled_at = time.monotonic()


@then("it did nothing after that")
def did_nothing(context):
    output, _ = context.watched.process.communicate()
    assert not output, output


# Drains.


@given("a store and replicas that send an event each {pace:d} ms")
def store_and_replicas(context, pace):
    open_world(context)

    async def build():
        context.world.write_plan()
        for name in ("lm-1", "lm-2"):
            replica = await context.world.add_replica(name, "lm")
            replica.pace_ms = pace

    context.thread.run(build)


@when("routers with a stream each get these signals, the second series in the drain")
def routers_drain(context):
    context.results = []

    async def run():
        routers = [await context.world.start_router(f"n{n}") for n, _ in enumerate(context.table)]
        async with trio.open_nursery() as nursery:
            for router, row in zip(routers, context.table, strict=True):
                nursery.start_soon(drain, context, router, row)

    context.thread.run(run)


async def drain(context, router, row):
    """Send a stream and signals to one router; keep the response and the process."""

    async def call():
        result["response"] = await context.world.call(router, "/chat/a", deadline_ms=8000)

    result = {"row": row, "watched": watched(router)}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await trio.sleep(UNDER_WAY_S)
        await trio.to_thread.run_sync(send_in_drain, router.process, row)
    context.results.append(result)


@then("each stream is complete, and each router ends with exit code 0")
def streams_complete(context):
    for result in context.results:
        response = result["response"]
        assert response.complete, result
        assert event_ids(response.body) == list(range(1, STREAM_EVENTS + 1)), result
        assert result["watched"].process.wait(DRAIN_TIMEOUT_S) == 0, result


@then("the log of each names the first stop signal as the cause")
def logs_name_cause(context):
    for result in context.results:
        line = result["watched"].exit_line()
        assert (line["cause"], line["code"]) == (result["row"]["first"].split()[-1], 0), line
        assert {"ms", "node"} <= set(line), line


@given("an own deployment whose engines send a token each {pace:d} ms")
def own_deployment(context, pace):
    deployment = Deployment(
        Shape(1, {"till": 2}, (), 3),
        settings={"shutdown": FULL_SHUTDOWN},
        engine_options=["--token-ms", str(pace)],
    )
    context.deployment = deployment
    add_cleanup(context, deployment.stop)
    deployment.start()


@when("its routers get these signals in turn with a chat under way")
def own_routers_drain(context):
    context.responses, context.results = [], []
    for number, row in enumerate(context.table, 1):
        router = context.deployment.processes[f"router-{number}"]
        signals = partial(send_in_drain, router.process, row)
        send_chat(context, router.name, number, CHAT_TOKENS, after_first=signals)
        router.process.wait(DRAIN_TIMEOUT_S)
        context.results.append({"row": row, "watched": watched_own(context.deployment, router)})


def send_in_drain(process, row):
    """Send both series of signals of a row, the second in the drain that the first begins."""
    for names in row.cells:
        send_series(process, names)
        time.sleep(UNDER_WAY_S)


@then("each chat is complete, and each router ends with exit code 0")
def chats_complete(context):
    codes = [result["watched"].process.returncode for result in context.results]
    assert codes == [0] * len(context.results), codes
    assert all(item.is_complete() for item in context.responses), [
        (item.status, item.text[-300:]) for item in context.responses
    ]


# Moments at which a process may not receive signals.


@when('{count:d} routers run by "{program}" get SIGTERM as soon as they receive it')
def starting_routers_stop(context, count, program):
    open_world(context)
    context.world.program = tuple(program.split())
    context.processes = []
    for number in range(count):
        process = context.thread.run_sync(context.world.launch_router, f"n{number}").process
        context.processes.append(process)
        while process.poll() is None and not receives_signal(process.pid, signal.SIGTERM):
            pass
        process.send_signal(signal.SIGTERM)


@given("{count:d} routers of the platform that serve")
def routers_serve(context, count):
    open_world(context)
    context.world.write_plan()

    async def start():
        names = [f"n{number}" for number in range(count)]
        routers = [context.world.launch_router(name) for name in names]
        for router in routers:
            await context.world.wait_ready(router)
        return [router.process for router in routers]

    context.processes = context.thread.run(start)


@when("they get SIGTERM each {gap:d} ms until they have ended")
def get_series_until_end(context, gap):
    end = time.monotonic() + 2 * DRAIN_TIMEOUT_S
    while time.monotonic() < end and any(item.poll() is None for item in context.processes):
        for process in context.processes:
            process.send_signal(signal.SIGTERM)
        time.sleep(gap / 1000)


@then("each of them ended with exit code 0")
def all_ended_in_order(context):
    codes = [process.wait(DRAIN_TIMEOUT_S) for process in context.processes]
    assert codes == [0] * len(codes), codes


@given("a process that blocks {blocked} for {span:d} ms")
def blocking_process(context, blocked, span):
    program = BLOCKING_PROGRAM.format(blocked=BLOCKED_SIGNALS[blocked], span_s=span / 1000)
    context.process = subprocess.Popen(
        [sys.executable, "-c", program], cwd=ROOT, stdout=subprocess.PIPE
    )
    add_cleanup(context, context.process.kill)
    assert context.process.stdout.readline() == b"blocked\n"


@then("it is reported as one that receives SIGTERM: {receives}")
def told_as_receiving(context, receives):
    found = receives_signal(context.process.pid, signal.SIGTERM)
    assert found == (receives == "yes"), found
