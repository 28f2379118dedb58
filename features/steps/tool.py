"""Steps that run the command-line tool, start routers from samples and run the guide's example."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpx
from behave import given, then, when

from skylarklift.util.jsonc import parse_text
from standins.deployment import OPERATOR_TOKEN, ROOT
from standins.ports import reserve_ports

SETTINGS = {
    "router": "r",
    "zone": "z",
    "peers": {"keys": ["0123456789abcdef"]},
    "store": {"url": "http://127.0.0.1:1"},
}
INVALID_FILES = {
    "an unknown key": '{"pools": {}, "zones": {\n // a comment\n"a": {"stat": "in"}}}',
    "an unknown zone": '{"zones": {"a": {}},\n"pools": {"p": {"models": ["m"], "replicas":\n'
    '{"r1": {"url": "http://x", "zone": "b"}}}}}',
    "a wrong type": '{"zones":\n{"a": {"state": 3}}}',
    "broken JSON": '{"zones":\n{"a": }}',
    "a missing key": json.dumps({k: v for k, v in SETTINGS.items() if k != "zone"}),
    "an unset variable": json.dumps({**SETTINGS, "store": {"url": "env:NOT_SET_ANYWHERE"}}),
    "a short fleet key": json.dumps({**SETTINGS, "peers": {"keys": ["short"]}}),
    "a long renew interval": json.dumps({**SETTINGS, "freshness": {"renew_interval_ms": 1900}}),
}


@given("a {kind} file with {error}")
def step_file(context, kind, error):
    folder = tempfile.TemporaryDirectory()
    context.cleanups = [*getattr(context, "cleanups", []), folder.cleanup]
    context.file = Path(folder.name) / "file.json"
    context.file.write_text(INVALID_FILES[error])


def run_tool(context, arguments, token=""):
    url = "http://127.0.0.1:9"
    if getattr(context, "deployment", None):
        url = str(context.deployment.operator().base_url)
    arguments = arguments.replace("FILE", str(getattr(context, "file", "")))
    environment = {**os.environ, "SKYLARKLIFT_URL": url, "SKYLARKLIFT_TOKEN": token}
    command = [sys.executable, "-m", "skylarklift.ui.main", *arguments.split()]
    context.run = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True)


@when('the tool runs "{arguments}"')
def step_run(context, arguments):
    run_tool(context, arguments)


@when('the tool runs "{arguments}" with {token}')
def step_run_with(context, arguments, token):
    run_tool(context, arguments, OPERATOR_TOKEN if token == "the token" else "")


@then("its exit code is {code:d}")
def step_exit(context, code):
    assert context.run.returncode == code, context.run
    assert "Traceback" not in context.run.stderr


@then('it says "{text}"')
def step_says(context, text):
    assert text in context.run.stdout + context.run.stderr, context.run


@then("a router starts with the sample settings of {deployment} and ends with exit code 0")
def step_sample_router(context, deployment):
    text = (ROOT / "samples" / deployment / "router.json").read_text()
    value = parse_text("router.json", text).value
    ports = reserve_ports(3)
    for section, port in zip(("callers", "operators", "peers"), ports, strict=True):
        value[section]["listen"]["port"] = port
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "router.json"
        path.write_text(json.dumps(value))
        environment = {
            **os.environ,
            "SKYLARKLIFT_TOKEN_ANNA": "a token",
            "SKYLARKLIFT_FLEET_KEY": "0123456789abcdef",
            "SKYLARKLIFT_STORE_URL": "http://127.0.0.1:9",
        }
        command = [sys.executable, "-m", "skylarklift.daemon", "--settings", str(path)]
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)
        try:
            # A router that cannot reach its store runs but is not ready for callers.
            assert wait_for_health(ports[0]) == {"health": "not_ready"}
        finally:
            process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


def wait_for_health(port):
    """Return the body of a router's health response once it responds."""
    for _ in range(400):
        try:
            return httpx.get(f"http://127.0.0.1:{port}/health", trust_env=False).json()
        except httpx.HTTPError:
            time.sleep(0.05)
    raise TimeoutError(f"no response from the health check on port {port} within 20 s")


@when("the example in the library guide is run")
def step_example(context):
    page = (ROOT / "docs" / "guide" / "library.md").read_text()
    context.example, context.printed = re.findall(r"```(?:python|text)\n(.*?)```", page, re.S)[:2]
    command = [sys.executable, "-c", context.example]
    context.run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)


@then("it prints the output that the guide shows")
def step_printed(context):
    assert context.run.stdout == context.printed, context.run
