"""Steps on the metrics and logs of a router, the weight store and an engine's cache events."""

import json
import signal
import socket
import time

import httpx
from behave import given, then, when

from features.chat_calls import send_chat
from standins.deployment import FLEET_KEY, OPERATOR_TOKEN, Deployment, Shape

SHAPE = Shape(1, {"till": 1}, (), 1, weight_store=True)


@given("a deployment that sends metrics to a statsd port and spans to an unreachable collector")
def step_deployment(context):
    if "telemetry" not in context.deployments:
        listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(0.2)
        telemetry = {
            "statsd_host": "127.0.0.1",
            "statsd_port": listener.getsockname()[1],
            "otlp_url": "http://127.0.0.1:9/v1/traces",
        }
        shutdown = {"health_wait_ms": 50, "drain_limit_ms": 5000}
        orders = {"weight_gap_ms": 1200}
        settings = {"telemetry": telemetry, "shutdown": shutdown, "orders": orders}
        deployment = Deployment(SHAPE, settings=settings)
        context.deployments["telemetry"] = deployment
        deployment.listener = listener
        deployment.start()
        deployment.control("till-1", weights_url=deployment.processes["weights"].url)
    context.deployment = context.deployments["telemetry"]
    context.responses = []


@when("{count:d} chats are sent through its router")
def step_send(context, count):
    for number in range(count):
        send_chat(context, "router-1", number, 4)


@then('the metrics "{first}", "{second}" and "{third}" arrive')
def step_metrics(context, first, second, third):
    missing = {f"skylarklift.{name}" for name in (first, second, third)}
    deadline = time.monotonic() + 20
    while missing and time.monotonic() < deadline:
        try:
            packet = context.deployment.listener.recv(65536).decode()
        except TimeoutError:
            continue
        missing -= {line.partition(":")[0] for line in packet.splitlines()}
    assert not missing, missing


def log_lines(context):
    text = context.deployment.processes["router-1"].log.read_text()
    return [json.loads(line) for line in text.splitlines() if line.startswith('{"time"')]


@then("each chat has a log line with request, chat, workspace, router and version")
def step_log_ids(context):
    completed = [line for line in log_lines(context) if line["event"] == "chat_completed"]
    assert len(completed) == len(context.responses)
    for line in completed:
        assert all(line[key] for key in ("request", "chat", "workspace", "router", "version"))


@then("no log line holds a key or a token")
def step_no_secret(context):
    text = context.deployment.processes["router-1"].log.read_text()
    assert FLEET_KEY not in text and OPERATOR_TOKEN not in text


@then("the router ends with exit code 0")
def step_router_ends(context):
    router = context.deployment.processes["router-1"]
    router.signal(signal.SIGTERM)
    assert router.process.wait(30) == 0
    context.deployment.start_router("router-1")
    context.deployment.wait_until(context.deployment._routers_serve, "the router to serve")


@when("an operator orders {count:d} loads one after another")
def step_loads(context, count):
    with context.deployment.operator() as api:
        for number in range(count):
            body = {"pool": "till", "replica": "till-1", "kind": "load-model", "name": f"m{number}"}
            response = api.post("/v1/orders", json=body)
            assert (
                response.status_code == 200 and response.json()["outcome"] == "done"
            ), response.text


@then("the weight store served {served:d} and refused {refused:d}")
def step_weights(context, served, refused):
    state = context.deployment.control("weights")
    assert (state["served"], state["refused"]) == (served, refused), state


@then("the engine reports its cache events after a delay")
def step_cache_events(context):
    url = context.deployment.processes["till-1"].url
    httpx.post(f"{url}/cache/import", json={"chat": "late-one"}, trust_env=False)

    def reported_events():
        body = httpx.get(f"{url}/cache/events", trust_env=False).json()
        return [chat for _, chat in body["events"]]

    context.deployment.wait_until(reported_events, "the cache events")
