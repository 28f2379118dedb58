"""Steps with upstreams whose answers only the end of their connection ends."""

import itertools
import json
import time

import httpx
from behave import given, then, when

from features.steps.path import TIMEOUT_S
from standins.deployment import Deployment, Shape
from standins.undelimited import DONE_EVENT, json_body

SHAPE = Shape(1, {"till": 1}, ("redeem",), 1)
SERVICE = "old"
POOL = "old-pool"
MODEL = "old-model"
WORKSPACE = {"Skylarklift-Workspace": "wash-a"}
MAX_CALLS = 60
SLOW_READ_PAUSE_S = 2.0
KEYS = itertools.count()


@given("the deployment with old upstreams")
def step_deployment(context):
    if "old" not in context.deployments:
        deployment = Deployment(SHAPE)
        context.deployments["old"] = deployment
        deployment.start()
    context.deployment = context.deployments["old"]


def start_upstreams(context, bodies):
    """Start one upstream for each of the bodies; return their entries by name."""
    entries = {}
    for number, script in enumerate(bodies.split(", ")):
        name = f"old-{next(KEYS)}-{number}"
        process = context.deployment.start_undelimited(name, script)
        entries[name] = {"url": process.url, "zone": "zone-1"}
    return entries


def replaced(context, part, section, entries):
    """Return a patch of entries that removes those of the scenarios before."""
    configuration = context.deployment.operator().get("/v1/configuration").json()
    known = configuration["routing"].get(part, {})
    old = known.get(POOL if part == "pools" else SERVICE, {}).get(section, {})
    return {**dict.fromkeys(old), **entries}


def install_service(context, bodies):
    """Let the service's upstreams be new ones that send the bodies."""
    entries = start_upstreams(context, bodies)
    upstreams = replaced(context, "services", "upstreams", entries)
    patch = {
        "services": {SERVICE: {"upstreams": upstreams}},
        "workspaces": {"wash-a": {"services": ["redeem", SERVICE]}},
    }
    response = context.deployment.patch(patch)
    assert response.status_code == 200, response.text
    return entries


def install_pool(context, bodies):
    """Let the pool's replicas be new ones that send the bodies."""
    entries = start_upstreams(context, bodies)
    for entry in entries.values():
        entry["slots"] = 4
    replicas = replaced(context, "pools", "replicas", entries)
    patch = {
        "pools": {POOL: {"models": [MODEL], "replicas": replicas}},
        "workspaces": {"wash-a": {"pools": ["till", POOL]}},
    }
    response = context.deployment.patch(patch)
    assert response.status_code == 200, response.text


def run_once_headers():
    """Return the headers of a request that may run only once."""
    return {"Skylarklift-Non-Idempotent": "true", "Idempotency-Key": f"old-{next(KEYS)}"}


def router_url(context):
    return context.deployment.processes["router-1"].url


def send_call(context, call):
    """Send a call to the service; return its response."""
    url = f"{router_url(context)}/services/{SERVICE}/tokens"
    headers = dict(WORKSPACE)
    method = call
    if call == "run-once":
        method = "POST"
        headers.update(run_once_headers())
    return httpx.request(method, url, headers=headers, timeout=TIMEOUT_S, trust_env=False)


@when("a {call} call is sent to a service whose upstreams send {bodies}")
def step_call(context, call, bodies):
    install_service(context, bodies)
    context.response = send_call(context, call)


@when("GET calls are sent to a service until its upstream that sends cut JSON has died")
def step_calls(context):
    dying, _ = install_service(context, "cut JSON, whole JSON")
    process = context.deployment.processes[dying].process
    context.responses = []
    while process.poll() is None and len(context.responses) < MAX_CALLS:
        context.responses.append(send_call(context, "GET"))
    assert process.poll() is not None, "no call reached the upstream that dies"


@then("every caller got the whole body")
def step_all_whole(context):
    for response in context.responses:
        assert_whole_body(response)


def chat_body(stream):
    return {"model": MODEL, "stream": stream, "messages": [{"role": "user", "content": "wash"}]}


@when("a slowly read chat is sent to engines that send {bodies}")
def step_slow_chat(context, bodies):
    install_pool(context, bodies)
    wait_for_admitter(context)
    url = f"{router_url(context)}/v1/chat/completions"
    with httpx.stream(
        "POST", url, json=chat_body(True), headers=WORKSPACE, timeout=TIMEOUT_S, trust_env=False
    ) as response:
        parts = response.iter_bytes()
        first = next(parts)
        # The engine has died when the router gets round to the rest.
        time.sleep(SLOW_READ_PAUSE_S)
        content = first + b"".join(parts)
    context.response = httpx.Response(response.status_code, content=content)


@when("a {kind} chat is sent to engines that send {bodies}")
def step_chat(context, kind, bodies):
    install_pool(context, bodies)
    wait_for_admitter(context)
    headers = {**WORKSPACE, **(run_once_headers() if kind == "run-once" else {})}
    url = f"{router_url(context)}/v1/chat/completions"
    body = chat_body(kind == "streamed")
    context.response = httpx.post(
        url, json=body, headers=headers, timeout=TIMEOUT_S, trust_env=False
    )


def wait_for_admitter(context):
    """Wait until a router admits for the pool."""

    def has_admitter():
        routers = context.deployment.status()["routers"].values()
        return any(pool["pool"] == POOL for item in routers for pool in item["pools"])

    context.deployment.wait_until(has_admitter, "an admitter of the pool")


def assert_whole_body(response):
    assert response.status_code == 200, response.text
    assert response.content == json_body(response.headers["X-Request-Id"]), response.text


@then("the caller gets the whole body")
def step_whole(context):
    assert_whole_body(context.response)


@then("the caller gets no body")
def step_no_body(context):
    assert context.response.status_code == 200 and not context.response.content


@then("the caller gets {status:d} {code}")
def step_error(context, status, code):
    response = context.response
    found = (response.status_code, response.json().get("error", {}).get("code"))
    assert found == (status, code), response.text


@then("the caller gets a stream that ends with its end marker")
def step_stream_end(context):
    assert context.response.content.endswith(DONE_EVENT), context.response.text[-400:]


@then("the caller gets a stream that ends with an error")
def step_stream_error(context):
    content = context.response.content
    assert DONE_EVENT not in content, context.response.text[-400:]
    last = content.strip().rpartition(b"\n\n")[2].removeprefix(b"data: ")
    error = json.loads(last)["error"]
    assert error["code"] == "upstream_failed", error
