"""Steps that cause failures in real processes and check the responses that callers got."""

import os
import signal
import threading
import time

import httpx
from behave import given, then, when

from features.chat_calls import send_chat, send_chats
from features.steps.path import chat_headers, send_non_idempotent
from standins.deployment import Deployment, Shape
from standins.engine import CRASH_MARK

# During the wait the router still serves callers that chose it before its health check failed.
SHUTDOWN = {"shutdown": {"health_wait_ms": 1500, "drain_limit_ms": 10000}}
SHAPE = Shape(3, {"till": 3}, ("redeem",), 3)
TIMEOUT_S = 40
ROUTERS = ("router-1", "router-2", "router-3")
ENGINES = ("till-1", "till-2", "till-3")


@given("a deployment of 3 routers and 3 engines")
def step_deployment(context):
    if "failures" not in context.deployments:
        deployment = Deployment(SHAPE, settings=SHUTDOWN)
        context.deployments["failures"] = deployment
        deployment.start()
    context.deployment = context.deployments["failures"]
    context.responses = []


def running_chats(context, engine):
    return context.deployment.control(engine)["running"]


def find_admitter(context, router=None):
    """Return the admitter that the status from a router names, or None."""
    for item in context.deployment.status(router)["routers"].values():
        for pool in item["pools"] if item else ():
            return pool["admitter"]
    return None


def count_admitters(context):
    """Return how many pools the routers host in total, one for each admitter."""
    return sum(len(item["pools"]) for item in context.deployment.status()["routers"].values())


def wait_for_health(context):
    """Wait until every router is ready and there is an admitter."""
    deployment = context.deployment

    def healthy():
        urls = [deployment.processes[name].url for name in ROUTERS]
        ready = all(httpx.get(f"{u}/health", trust_env=False).status_code == 200 for u in urls)
        return ready and find_admitter(context) is not None

    deployment.wait_until(healthy, "all routers to be ready")


@then("every response is complete")
def step_all_complete(context):
    assert context.responses
    incomplete = [item for item in context.responses if not item.is_complete()]
    assert not incomplete, [(item.status, item.text[-400:]) for item in incomplete[:3]]


@when("{count:d} chats of {tokens:d} tokens are streamed and a busy engine is killed")
def step_kill_engine(context, count, tokens):
    executor = send_chats(context, ROUTERS, count, tokens)
    deployment = context.deployment
    busy = []

    def find_busy():
        busy[:] = [name for name in ENGINES if running_chats(context, name) >= 2]
        return bool(busy)

    deployment.wait_until(find_busy, "an engine to be busy")
    deployment.processes[busy[0]].signal(signal.SIGKILL)
    executor.shutdown()
    deployment.restart_engine(busy[0])
    deployment.wait_until(lambda: running_chats(context, busy[0]) == 0, "the engine to be back")


@when("two engines each break a stream after {tokens:d} tokens and {count:d} chats are sent")
def step_break_streams(context, tokens, count):
    for engine in ENGINES[:2]:
        context.deployment.control(engine, break_after=tokens, break_streams=1)
    send_chats(context, ROUTERS, count, 20).shutdown()
    left = [context.deployment.control(engine, break_after=tokens) for engine in ENGINES[:2]]
    assert all(item["break_streams"] == 0 for item in left), left


@when("one engine responds with another request's id and {count:d} chats are sent")
def step_wrong_request_id(context, count):
    context.deployment.control("till-2", crossed=True)
    send_chats(context, ROUTERS, count, 8).shutdown()
    context.deployment.control("till-2", crossed=False)


@when("a poison request is sent {count:d} times through different routers")
def step_poison(context, count):
    for number in range(count):
        router = ROUTERS[number % len(ROUTERS)]
        context.last = send_chat(context, router, "poison", 4, prompt=CRASH_MARK)
        assert context.last.status != 200


@then("at most {count:d} engines have crashed")
def step_crashed(context, count):
    crashed = [n for n in ENGINES if context.deployment.processes[n].process.poll() is not None]
    assert 1 <= len(crashed) <= count, crashed


@then('the last error is "{code}"')
def step_error_code(context, code):
    assert f'"code":"{code}"' in context.last.text.replace(" ", ""), context.last.text


@then("the crashed engines are restarted")
def step_restart_engines(context):
    deployment = context.deployment
    for name in ENGINES:
        if deployment.processes[name].process.poll() is not None:
            deployment.restart_engine(name)
    deployment.wait_until(
        lambda: all(running_chats(context, name) == 0 for name in ENGINES), "the engines"
    )


@when("the admitter is frozen for {duration:d} seconds while chats are sent to the others")
def step_freeze_admitter(context, duration):
    context.frozen = find_admitter(context)
    process = context.deployment.processes[context.frozen]
    others = [name for name in ROUTERS if name != context.frozen]
    process.signal(signal.SIGSTOP)
    try:
        deadline = time.monotonic() + duration
        number = 0
        while time.monotonic() < deadline:
            send_chats(context, others, 4, 10).shutdown()
            number += 4
    finally:
        process.signal(signal.SIGCONT)


@then("after it resumes there is one admitter and no invariant was violated")
def step_one_admitter(context):
    wait_for_health(context)
    # The pool may be moved back to the router that resumed; until then none may admit.
    deployment = context.deployment
    deployment.wait_until(lambda: count_admitters(context) == 1, "one admitter")
    routers = deployment.status()["routers"].values()
    assert all(item["breaches"] == {} for item in routers), routers


@when("a router is frozen, a zone is taken out, and the router resumes with pending chats")
def step_freeze_and_zone(context):
    deployment = context.deployment
    frozen = next(name for name in ROUTERS if name != find_admitter(context))
    other = next(name for name in ROUTERS if name != frozen)
    process = deployment.processes[frozen]
    process.signal(signal.SIGSTOP)
    executor = send_chats(context, [frozen], 6, 4)
    try:
        response = deployment.patch({"zones": {"zone-2": {"state": "out"}}}, router=other)
        assert response.status_code == 200, response.text
        # The other routers have the patch after this time; the frozen one must find out by itself.
        time.sleep(3)
        context.served = deployment.control("till-2")["served"]
    finally:
        process.signal(signal.SIGCONT)
    executor.shutdown()


@then("no engine of the zone got a chat after the router resumed")
def step_no_chat(context):
    assert context.deployment.control("till-2")["served"] == context.served
    assert all(item.is_complete() or '"not_run"' in item.text for item in context.responses)


@then("the zone is taken in again")
def step_zone_in(context):
    wait_for_health(context)
    response = context.deployment.patch({"zones": {"zone-2": {"state": "in"}}})
    assert response.status_code == 200, response.text


@when("the platform is unavailable and chats and non-idempotent requests are sent")
def step_platform_unavailable(context):
    deployment = context.deployment
    deployment.wait_until(
        lambda: all(item["may_vouch"] for item in deployment.status()["routers"].values()),
        "every router to vouch",
    )
    deployment.control("platform", away=True)
    time.sleep(3)
    send_chats(context, ROUTERS, 9, 8).shutdown()
    context.non_idempotent = [
        send_with_short_deadline(context, router, f"away-{router}") for router in ROUTERS
    ]


def send_with_short_deadline(context, router, key):
    """Send a non-idempotent request with a deadline of 1.5 s."""
    url = context.deployment.processes[router].url + "/services/redeem/tokens"
    headers = {
        "Skylarklift-Workspace": "wash-a",
        "Skylarklift-Non-Idempotent": "true",
        "Skylarklift-Deadline-Ms": "1500",
        "Idempotency-Key": key,
    }
    return httpx.post(url, content=b"x", headers=headers, timeout=TIMEOUT_S, trust_env=False)


def effect_count(context, key):
    return context.deployment.control("redeem")["effects"].get(key, 0)


@then('each non-idempotent request was refused as "not_run" and had no effect')
def step_not_run(context):
    for router, response in zip(ROUTERS, context.non_idempotent, strict=True):
        assert response.json()["error"]["run"] == "not_run", response.text
        assert effect_count(context, f"away-{router}") == 0


@then("once the platform is available a non-idempotent request has one effect")
def step_platform_available(context):
    context.deployment.control("platform", away=False)
    response = send_non_idempotent(context, "router-1", "back-again")
    assert response.status_code == 200, response.text
    assert effect_count(context, "back-again") == 1


@when("the platform loses {count:d} answers and a non-idempotent request is sent")
def step_lost_claim_answers(context, count):
    context.deployment.control("platform", lose_answers=count)
    context.non_idempotent = send_non_idempotent(context, "router-2", "lost-claim")


@then("the response agrees with the number of effects of the request")
def step_effects_agree(context):
    context.deployment.control("platform", lose_answers=0)
    count = effect_count(context, "lost-claim")
    if context.non_idempotent.status_code == 200:
        assert count == 1
    else:
        assert count == 0 and context.non_idempotent.json()["error"]["run"] == "not_run"


@when("the service drops its response and a non-idempotent request is sent twice")
def step_dropped_response(context):
    context.deployment.control("redeem", drop_answer=True)
    first = send_non_idempotent(context, "router-1", "dropped")
    context.deployment.control("redeem", drop_answer=False)
    context.non_idempotent = [first, send_non_idempotent(context, "router-2", "dropped")]


@then('both responses say "unknown" and the service counts one effect')
def step_unknown(context):
    for response in context.non_idempotent:
        assert response.json()["error"]["run"] == "unknown", response.text
    assert effect_count(context, "dropped") == 1


@when("the service drops its response and an idempotent call is sent")
def step_dropped_call(context):
    context.deployment.control("redeem", drop_answer=True)
    url = context.deployment.processes["router-1"].url + "/services/redeem/tokens"
    headers = {"Skylarklift-Workspace": "wash-a"}
    context.response = httpx.get(url, headers=headers, timeout=TIMEOUT_S, trust_env=False)
    context.deployment.control("redeem", drop_answer=False)


@then('the call failed as "{code}" with run "{run}"')
def step_call_failed(context, code, run):
    error = context.response.json()["error"]
    assert (error["code"], error["run"]) == (code, run), error


@when("a caller disconnects in the middle of a stream")
def step_caller_disconnects(context):
    deployment = context.deployment
    context.cancelled_before = {name: deployment.control(name)["cancelled"] for name in ENGINES}
    body = {
        "model": "till-model",
        "stream": True,
        "max_tokens": 5000,
        "messages": [{"role": "user", "content": "a long one"}],
    }
    url = deployment.processes["router-1"].url + "/v1/chat/completions"
    headers = chat_headers(chat="leaver")
    with httpx.stream("POST", url, json=body, headers=headers, trust_env=False) as response:
        for _ in response.iter_lines():
            break


@then("the engine cancels it and the grant is released")
def step_cancelled(context):
    deployment = context.deployment

    def cancelled():
        now = {name: deployment.control(name)["cancelled"] for name in ENGINES}
        held = sum(item["grants_held"] for item in deployment.status()["routers"].values())
        return sum(now.values()) == sum(context.cancelled_before.values()) + 1 and held == 0

    deployment.wait_until(cancelled, "the engine to cancel")


def limit_of(context, engine):
    """Return the load limit of an engine that the admitter of its pool reports."""
    for item in context.deployment.status()["routers"].values():
        for pool in item["pools"] if item else ():
            return pool["limits"].get(engine)
    return None


@when("an engine turns cold while chats are sent")
def step_cold(context):
    deployment = context.deployment
    deployment.wait_until(lambda: limit_of(context, "till-1") == 32, "till-1 to be warm")
    ramp = {"pools": {"till": {"ramp": {"duration_ms": 20000}}}}
    assert deployment.patch(ramp).status_code == 200
    executor = send_chats(context, ROUTERS, 9, 40)
    deployment.control("till-1", cold=True)
    deployment.wait_until(lambda: limit_of(context, "till-1") < 16, "the ramp of till-1 to restart")
    executor.shutdown()
    send_chats(context, ROUTERS, 9, 8).shutdown()


@then("no invariant was violated after the ramp restarted")
def step_ramp_restarted(context):
    routers = context.deployment.status()["routers"].values()
    assert all(item["breaches"] == {} for item in routers), routers
    ramp = {"pools": {"till": {"ramp": {"duration_ms": 1000}}}}
    assert context.deployment.patch(ramp).status_code == 200


@when("each router is restarted by SIGTERM while chats are sent")
def step_rolling(context):
    deployment = context.deployment
    context.exits = []
    stop = threading.Event()
    restarting = set()

    def load():
        number = 0
        while not stop.is_set():
            ready = [name for name in ROUTERS if name not in restarting]
            number += 1
            send_chat(context, ready[number % len(ready)], number, 12)

    loaders = [threading.Thread(target=load) for _ in range(4)]
    for loader in loaders:
        loader.start()
    for name in ROUTERS:
        # As a load balancer does, which sends nothing to a router that is shutting down.
        process = deployment.processes[name].process
        restarting.add(name)
        os.kill(process.pid, signal.SIGTERM)
        context.exits.append(process.wait(30))
        deployment.start_router(name)
        wait_for_health(context)
        restarting.discard(name)
    stop.set()
    for loader in loaders:
        loader.join()


@then("every router ended with exit code 0")
def step_exit_codes(context):
    assert context.exits == [0, 0, 0], context.exits


@when("the admitter is killed while chats are sent to the others")
def step_kill_admitter(context):
    name = find_admitter(context)
    others = [item for item in ROUTERS if item != name]
    executor = send_chats(context, others, 12, 60)
    context.deployment.processes[name].signal(signal.SIGKILL)
    executor.shutdown()
    send_chats(context, others, 6, 6).shutdown()
    context.deployment.start_router(name)
    wait_for_health(context)
