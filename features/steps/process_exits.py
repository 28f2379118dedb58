"""Steps for the exit codes of routers, and for what they log about them."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from standins.deployment import FLEET_KEY, OPERATOR_TOKEN
from standins.entry_world import HOST, ROOT
from standins.ports import reserve_ports
from standins.process_state import wait_until_loaded

EXIT_TIMEOUT_S = 20
SERVE_TIMEOUT_S = 20
POLL_S = 0.02
STREAMS = (0, 1, 2)
MODULES = {"platform": "skylarklift.platform.daemon", "own deployment": "skylarklift.daemon"}
FAILING = {"platform": "platform", "own deployment": "own"}


class ExitTrial:
    """A router in a folder of its own, whose store cannot be reached."""

    def __init__(self, daemon):
        self._folder = tempfile.TemporaryDirectory()
        self.daemon = daemon
        self.settings = Path(self._folder.name) / "settings"
        self.log = Path(self._folder.name) / "log"
        self.ports = reserve_ports(3)
        self.settings.write_text(self._settings_text())
        self.process = None
        self._port_holder = None

    def _settings_text(self):
        callers, other, peers = self.ports
        if self.daemon == "platform":
            return (
                f"node_name=n1\nzone=za\nlisten.frontend={HOST}:{callers}\n"
                f"listen.ready_addr={HOST}:{other}\nport_range={peers},{peers}\n"
                f"platform.address={HOST}:9\n"
            )
        operators = [{"name": "anna", "token": OPERATOR_TOKEN}]
        settings = {
            "router": "router-1",
            "zone": "zone-1",
            "callers": {"listen": {"port": callers}},
            "operators": {"listen": {"port": other}, "operators": operators},
            "peers": {"listen": {"port": peers}, "keys": [FLEET_KEY]},
            "store": {"url": f"http://{HOST}:9"},
            "shutdown": {"health_wait_ms": 50, "drain_limit_ms": 2000},
        }
        return json.dumps(settings)

    def start(self, program, log="kept"):
        """Start the router with its log kept, without a reader, or with closed streams."""
        command = [sys.executable, "-m", *program, "--settings", str(self.settings)]
        if log == "closed at the start":
            self.process = subprocess.Popen(command, cwd=ROOT, preexec_fn=close_streams)
            return
        if log == "kept":
            target = os.open(self.log, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        else:
            reader, target = os.pipe()
            os.close(reader)
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=target, stderr=target)
        os.close(target)

    def take_port(self):
        """Listen on the port for callers, so that the router cannot."""
        self._port_holder = socket.create_server((HOST, self.ports[0]))

    def wait_until_serving(self):
        """Wait until the router accepts callers' connections."""
        end = time.monotonic() + SERVE_TIMEOUT_S
        while time.monotonic() < end:
            try:
                socket.create_connection((HOST, self.ports[0])).close()
                return
            except OSError:
                time.sleep(POLL_S)
        raise AssertionError(f"does not serve, exit code {self.process.poll()}")

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        if self._port_holder is not None:
            self._port_holder.close()
        self._folder.cleanup()


def close_streams():
    for descriptor in STREAMS:
        os.close(descriptor)


def new_trial(context, daemon):
    context.trial = ExitTrial(daemon)
    context.cleanups = [*getattr(context, "cleanups", []), context.trial.close]
    return context.trial


@when("a router of the {daemon} runs with {case} and its log {log}")
def router_runs(context, daemon, case, log):
    trial = new_trial(context, daemon)
    program = [MODULES[daemon]]
    if case == "a failing task":
        program = ["standins.failing_daemon", FAILING[daemon]]
    elif case == "bad settings":
        trial.settings.write_text("{")
    elif case == "a taken port":
        trial.take_port()
    trial.start(program, log)
    if case == "SIGTERM":
        wait_until_loaded(trial.process, "xxhash")
        trial.wait_until_serving()
        trial.process.send_signal(signal.SIGTERM)


@when(
    "{count:d} routers of the {daemon} with bad settings get SIGTERM over and over "
    "once they have logged their exit"
)
def stop_signals_at_end(context, count, daemon):
    context.codes = []
    for _ in range(count):
        trial = new_trial(context, daemon)
        trial.settings.write_text("{")
        trial.process = process = subprocess.Popen(
            [sys.executable, "-m", MODULES[daemon], "--settings", str(trial.settings)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        while b'"event":"exit"' not in process.stdout.readline():
            assert process.poll() is None
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
        process.stdout.close()
        context.codes.append(process.returncode)


@then("each exit code is {code:d}")
def each_exit_code(context, code):
    assert set(context.codes) == {code}, context.codes


@then('its exit code is {code:d}, and if its log is kept it has one line on that with "{cause}"')
def exit_is_logged(context, code, cause):
    trial = context.trial
    assert trial.process.wait(EXIT_TIMEOUT_S) == code, trial.process.returncode
    text = trial.log.read_text()
    lines = [json.loads(line) for line in text.splitlines() if '"event":"exit"' in line]
    assert len(lines) == 1 and lines[0]["code"] == code, text
    assert cause in lines[0]["cause"], lines
    assert "Traceback" not in text


@then('its exit code is {code:d}, and if its log is kept it has one line on that with ""')
def exit_without_log(context, code):
    assert context.trial.process.wait(EXIT_TIMEOUT_S) == code, context.trial.process.returncode


@given("a router of the {daemon} that was started with its standard streams closed")
def started_with_closed_streams(context, daemon):
    new_trial(context, daemon).start([MODULES[daemon]], "closed at the start")


@when("it serves")
def it_serves(context):
    context.trial.wait_until_serving()


@then("its first three descriptors are the null device")
def descriptors_are_null(context):
    folder = Path(f"/proc/{context.trial.process.pid}/fd")
    targets = [os.readlink(folder / str(number)) for number in STREAMS]
    assert targets == [os.devnull] * len(STREAMS), targets
