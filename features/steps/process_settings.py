"""Steps for settings files that are missing, unreadable or unfinished for a moment."""

import json
import signal
import subprocess
import sys
import tempfile
import time
from abc import ABC, abstractmethod
from pathlib import Path

import httpx
from behave import given, then, when

from features.steps.process_resources import (
    LOG_TAIL_CHARS,
    build_world,
    count_events,
    is_ready,
    state_of,
    wait_until,
)
from features.steps.tool import SETTINGS
from standins.deployment import ROOT
from standins.entry_world import HOST
from standins.faulty_router import FAULTY_SETTING
from standins.ports import reserve_ports

CALLERS = "callers"
SECTIONS = (CALLERS, "operators", "peers")
BOUND = "bounds.cap_factor"
END_LIMIT_S = 12
HEALTH_TIMEOUT_S = 1


class Daemon(ABC):
    """A daemon with a settings file that a test spoils."""

    module: str
    arguments: tuple[str, ...] = ()

    def __init__(self, settings: Path, whole: str):
        self.settings = settings
        self.whole = whole
        self.output = settings.with_suffix(".out")
        self.process: subprocess.Popen | None = None

    def command(self) -> list[str]:
        """Return the command that starts the daemon."""
        return [sys.executable, "-m", self.module, "--settings", str(self.settings)]

    def start(self) -> None:
        """Start the process."""
        with self.output.open("a") as output:
            self.process = subprocess.Popen(self.command(), cwd=ROOT, stdout=output, stderr=output)

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def tail(self) -> tuple[int | None, str]:
        """Return the exit code and the end of the output."""
        return self.process.poll(), self.output.read_text()[-LOG_TAIL_CHARS:]

    @abstractmethod
    def serves(self) -> bool:
        """Return whether the daemon answers callers."""


class EntryDaemon(Daemon):
    """The entry router on the platform."""

    module = "skylarklift.platform.daemon"

    def __init__(self, settings: Path, whole: str, context):
        super().__init__(settings, whole)
        self._context = context

    def serves(self) -> bool:
        return is_ready(self._context)


class RouterDaemon(Daemon):
    """The router of the own deployment."""

    module = "skylarklift.daemon"

    def __init__(self, settings: Path, whole: str, ports: dict[str, int]):
        super().__init__(settings, whole)
        self.ports = ports

    def serves(self) -> bool:
        try:
            url = f"http://{HOST}:{self.ports[CALLERS]}/health"
            httpx.get(url, trust_env=False, timeout=HEALTH_TIMEOUT_S)
        except httpx.HTTPError:
            return False
        return True


def spoil(path, whole, state):
    """Bring a settings file into a state."""
    path.unlink()
    if state == "a directory":
        path.mkdir()
    elif state != "missing":
        contents = {
            "empty": b"",
            "cut off": whole[: len(whole) // 2].encode(),
            "not text": b"\xff\xfe" + whole.encode(),
        }
        path.write_bytes(contents[state])


def restore(path, whole):
    """Make a spoilt settings file whole."""
    if path.is_dir():
        path.rmdir()
    path.write_text(whole)


@given("an entry router that has not started, with a settings file that is {state}")
def entry_daemon(context, state):
    build_world(context)
    context.router = router = context.thread.run(context.world.start_router, "n1")
    router.process.kill()
    router.process.wait()
    daemon = EntryDaemon(router.settings, router.settings.read_text(), context)
    add_daemon(context, daemon)
    spoil(daemon.settings, daemon.whole, state)


@given("a router daemon that has not started, with a settings file that is {state}")
def router_daemon(context, state):
    daemon = make_router_daemon(context)
    spoil(daemon.settings, daemon.whole, state)


def make_router_daemon(context):
    """Return a router daemon that has its settings and has not been started."""
    folder = tempfile.TemporaryDirectory()
    context.cleanups = [*getattr(context, "cleanups", []), folder.cleanup]
    ports = dict(zip(SECTIONS, reserve_ports(len(SECTIONS)), strict=True))
    value = dict(SETTINGS)
    for section, port in ports.items():
        value[section] = {**value.get(section, {}), "listen": {"port": port}}
    path, whole = Path(folder.name) / "router.json", json.dumps(value, indent=1)
    path.write_text(whole)
    return add_daemon(context, RouterDaemon(path, whole, ports))


def add_daemon(context, daemon):
    context.daemon = daemon
    context.cleanups.append(daemon.stop)
    return daemon


@when("it starts")
def daemon_starts(context):
    context.started_at = time.monotonic()
    context.daemon.start()


@when("it starts, and after {span:d} ms its settings file is whole")
def daemon_starts_then_whole(context, span):
    daemon_starts(context)
    time.sleep(span / 1000)
    restore(context.daemon.settings, context.daemon.whole)


@then("it serves within {span:d} ms")
def daemon_serves(context, span):
    assert wait_until(context.daemon.serves, span / 1000), context.daemon.tail()


@then("a SIGTERM ends the daemon with exit code {code:d}")
def sigterm_ends_daemon(context, code):
    context.daemon.process.send_signal(signal.SIGTERM)
    assert context.daemon.process.wait(END_LIMIT_S) == code, context.daemon.tail()


@then("it ends with exit code {code:d} after {low:d} to {high:d} ms, and names its settings file")
def daemon_ends(context, code, low, high):
    daemon = context.daemon
    assert daemon.process.wait(high / 1000) == code, daemon.tail()
    context.took_ms = (time.monotonic() - context.started_at) * 1000
    assert context.took_ms >= low
    output = daemon.output.read_text()
    assert str(daemon.settings) in output and "Traceback" not in output, output


@then("a check of its settings ends with exit code {code:d} at least {span:d} ms sooner")
def check_ends(context, code, span):
    command = [*context.daemon.command(), "--check"]
    started_at = time.monotonic()
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert (time.monotonic() - started_at) * 1000 <= context.took_ms - span
    assert run.returncode == code and "Traceback" not in run.stderr, run


# Reloads.


@given("an entry router whose settings name a bound")
def router_with_bound(context):
    build_world(context)
    context.world.program = ("-m", "standins.faulty_router")
    context.router = router = context.thread.run(context.world.start_router, "n1")
    context.whole = router.settings.read_text() + f"{BOUND}=1.75\n"
    router.settings.write_text(context.whole)
    router.process.kill()
    context.thread.run(context.world.restart_router, router)
    context.thread.run(context.world.wait_ready, router)


def reload_settings(context):
    context.router.process.send_signal(signal.SIGHUP)


@when("its settings file is {state} for {span:d} ms, with a SIGHUP")
def settings_spoilt(context, state, span):
    start = context.whole.index(BOUND)
    contents = {
        "empty": "",
        "cut before a bound": context.whole[:start],
        "cut within a bound": context.whole[: start + len(BOUND) + 2],
    }
    path = context.router.settings
    path.write_text(contents[state])
    reload_settings(context)
    time.sleep(span / 1000)
    path.write_text(context.whole)


@then('it logged no "{event}" within {span:d} ms')
def logged_none(context, event, span):
    time.sleep(span / 1000)
    assert not count_events(context, event), state_of(context)


@when("its settings file gets another bound {way}")
def settings_change(context, way):
    path, changed = context.router.settings, context.whole.replace("1.75", "1.5")
    if way.startswith("in two parts"):
        path.write_text(changed[: changed.index(BOUND)])
        reload_settings(context)
        time.sleep(0.05)
    path.write_text(changed)
    if way == "at once, with a SIGHUP":
        reload_settings(context)


@then('it logged "{event}" once within {span:d} ms')
def logged_once(context, event, span):
    assert wait_until(lambda: count_events(context, event), span / 1000), state_of(context)
    assert count_events(context, event) == 1, state_of(context)


@then('it logged "{event}" within {span:d} ms')
def logged_within(context, event, span):
    assert wait_until(lambda: count_events(context, event), span / 1000), state_of(context)


@when("its settings file gets a value at which reading fails unexpectedly, with a SIGHUP")
def settings_faulty(context):
    context.router.settings.write_text(f"{context.whole}{FAULTY_SETTING}1\n")
    reload_settings(context)
