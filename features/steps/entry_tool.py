"""Steps for logs, settings and invalid input of the entry router."""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from hypothesis import given as example
from hypothesis import settings, strategies

from skylarklift.clock import ManualClock
from skylarklift.entry.event_log import EventLog
from skylarklift.entry.gossip.wire import decode_gossip, decode_page
from skylarklift.entry.state.rows import InvalidRow, RowTable
from skylarklift.errors import PeerError, SettingsError
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.platform.rows import PlatformRowFormat, decode_plan
from skylarklift.platform.settings_file import parse_node_settings
from skylarklift.upstreams.events import EventSplitter

SETTINGS = {
    "node_name": "n1",
    "zone": "za",
    "listen.frontend": "127.0.0.1:1",
    "listen.ready_addr": "127.0.0.1:2",
    "port_range": "3,4",
    "platform.address": "127.0.0.1:5",
}
SETTINGS_FAULTS = {
    "no store address": ("platform.address", None),
    "an invalid address": ("listen.frontend", "here"),
    "an invalid number": ("bounds.grace_s", "soon"),
    "an unknown field": ("weather.today", "fine"),
}
MAX_LOG_BYTES = 1_000_000


@given('logs of two routers with a request that failed at "{upstream}"')
def logs_of_two_routers(context, upstream):
    folder = tempfile.TemporaryDirectory()
    context.cleanups = [*getattr(context, "cleanups", []), folder.cleanup]
    sends = [f"{upstream}:broken", "outcome_unknown"]
    lines = {
        "LOG1": [
            {"ms": 100, "node": "n1", "event": "start"},
            {"ms": 900, "node": "n1", "event": "upstream_removed", "subject": upstream},
            {
                "ms": 950,
                "node": "n1",
                "event": "send_failed",
                "id": "q1",
                "upstream": upstream,
                "outcome": "broken",
            },
            {
                "ms": 951,
                "node": "n1",
                "event": "request_failed",
                "id": "q1",
                "status": 502,
                "sends": sends,
                "ms_taken": 30,
            },
        ],
        "LOG2": [{"ms": 5, "node": "n2", "event": "start"}],
    }
    context.files = {"NOWHERE": str(Path(folder.name) / "nowhere"), "README": "README.md"}
    for name, items in lines.items():
        path = Path(folder.name) / name
        path.write_text("".join(json.dumps(item) + "\n" for item in items))
        context.files[name] = str(path)


@when('the log tool runs "explain {request} {names}"')
def run_explain(context, request, names):
    run_on_logs(context, ["explain", request], names)


@when('the log tool runs "summary {names}"')
def run_summary(context, names):
    run_on_logs(context, ["summary"], names)


def run_on_logs(context, arguments, names):
    files = [context.files[name] for name in names.split()]
    command = [sys.executable, "-m", "skylarklift.ui.main", *arguments, *files]
    context.run = subprocess.run(command, capture_output=True, text=True)


@when("{count:d} lines are logged to a pipe that is not read")
def log_to_unread_pipe(context, count):
    reader, writer = os.pipe()
    clock = ManualClock(1000)
    event_log = EventLog(clock, "n1", writer)
    started = time.monotonic()
    for number in range(count):
        clock.advance(10)
        event_log.write("request", id=f"q{number}", text="x" * 100)
    context.took = time.monotonic() - started
    context.dropped = sum(event_log._dropped.values())
    os.close(reader)
    os.close(writer)


@then("it took less than {limit:d} seconds and some lines were dropped")
def took_less(context, limit):
    assert context.took < limit, context.took
    assert context.dropped


@when("{count:d} lines of one event and one line of another are logged")
def log_two_events(context, count):
    reader, writer = os.pipe()
    clock = ManualClock(1000)
    event_log = EventLog(clock, "n1", writer)
    for number in range(count):
        event_log.write("request", id=f"q{number}")
    event_log.write("store_lost", table="x")
    clock.advance(1000)
    event_log.write("stop")
    os.close(writer)
    text = os.read(reader, MAX_LOG_BYTES).decode()
    os.close(reader)
    context.lines = [json.loads(line) for line in text.splitlines()]


@then("the log has both events and counts the dropped lines")
def both_events_logged(context):
    events = [line["event"] for line in context.lines]
    assert events.count("request") == 100, events
    assert events.count("store_lost") == 1
    (dropped,) = [line for line in context.lines if line["event"] == "lines_left_out"]
    assert dropped["counts"] == {"request": 4900}, dropped


@when("the entry router's settings have a line without an equals sign")
def settings_without_equals_sign(context):
    parse(context, SETTINGS, "what is this\n")


@when("the entry router's settings have {fault}")
def settings_fault(context, fault):
    key, value = SETTINGS_FAULTS[fault]
    changed = {**SETTINGS, key: value}
    parse(context, {name: text for name, text in changed.items() if text is not None}, "")


def parse(context, fields, extra_text):
    text = "".join(f"{key}={value}\n" for key, value in fields.items()) + extra_text
    context.findings = []
    try:
        parse_node_settings("settings.conf", text)
    except SettingsError as exc:
        context.findings = [str(item) for item in exc.findings]


@then('the findings say "{text}"')
def findings_say(context, text):
    assert any(text in item for item in context.findings), context.findings


@then("there are no findings")
def no_findings(context):
    assert not context.findings, context.findings


JSON_BYTES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner)
    | strategies.dictionaries(
        strategies.sampled_from(
            ["service", "address", "zone", "state", "slots", "born", "routes", "services"]
        ),
        inner,
    ),
).map(lambda value: json.dumps(value).encode())
ANY_BYTES = strategies.binary(max_size=300) | JSON_BYTES
DECODERS = {
    "an upstream row": lambda data: PlatformRowFormat().decode(RowTable.UPSTREAMS, "k", data),
    "a configuration row": decode_plan,
    "a gossip message": decode_gossip,
    "a page of rows": decode_page,
    "a settings file": lambda data: parse_node_settings("f", data.decode("latin-1")),
    "a stream of events": lambda data: EventSplitter().feed(data),
    "a response head": lambda data: PlatformHeaderCodec().decode_response_head(
        200, [(b"x-replica-load", data), (b"keep-alive", data), (b"content-length", data)]
    ),
}


@when("{what} is decoded from any bytes")
def decode_any_bytes(context, what):
    decode = DECODERS[what]

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @example(ANY_BYTES)
    def check(data):
        try:
            decode(data)
        except (InvalidRow, PeerError, SettingsError):
            # These errors are the defined ones for invalid input.
            return

    check()
