"""Steps that bring failures about in real processes and look at what callers got."""

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

# The wait lets a caller that has chosen a router still reach it.
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
    context.answers = []


def running_chats(context, engine):
    return context.deployment.control(engine)["running"]


def find_admitter(context, router=None):
    """Return the router that admits, as seen by a router."""
    for item in context.deployment.status(router)["routers"].values():
        for pool in item["pools"] if item else ():
            return pool["admitter"]
    return None


def count_admitters(context):
    """Return how many routers say that they admit for a pool."""
    return sum(len(item["pools"]) for item in context.deployment.status()["routers"].values())


def wait_for_health(context):
    """Wait until every router is ready and one admits."""
    deployment = context.deployment

    def healthy():
        urls = [deployment.processes[name].url for name in ROUTERS]
        ready = all(httpx.get(f"{u}/health", trust_env=False).status_code == 200 for u in urls)
        return ready and find_admitter(context) is not None

    deployment.wait_until(healthy, "all routers to be ready")


@then("every answer is whole")
def step_all_whole(context):
    assert context.answers
    broken = [item for item in context.answers if not item.is_complete()]
    assert not broken, [(item.status, item.text[-400:]) for item in broken[:3]]


@when("{count:d} chats of {tokens:d} tokens are streamed and an engine is killed meanwhile")
def step_kill_engine(context, count, tokens):
    pool = send_chats(context, ROUTERS, count, tokens)
    deployment = context.deployment
    busy = []

    def find_busy():
        busy[:] = [name for name in ENGINES if running_chats(context, name) >= 2]
        return bool(busy)

    deployment.wait_until(find_busy, "an engine to be busy")
    deployment.processes[busy[0]].signal(signal.SIGKILL)
    pool.shutdown()
    deployment.respawn(busy[0])
    deployment.wait_until(lambda: running_chats(context, busy[0]) == 0, "the engine to be back")


@when("two engines each cut a stream after {cut:d} tokens and {count:d} chats are sent")
def step_cut_streams(context, cut, count):
    for engine in ENGINES[:2]:
        context.deployment.control(engine, break_after=cut, break_streams=1)
    send_chats(context, ROUTERS, count, 20).shutdown()
    left = [context.deployment.control(engine, break_after=cut) for engine in ENGINES[:2]]
    assert all(item["break_streams"] == 0 for item in left), left


@when("one engine crosses its answers and {count:d} chats are sent")
def step_crossed(context, count):
    context.deployment.control("till-2", crossed=True)
    send_chats(context, ROUTERS, count, 8).shutdown()
    context.deployment.control("till-2", crossed=False)


@when("the poison request is sent {count:d} times through different routers")
def step_poison(context, count):
    for number in range(count):
        router = ROUTERS[number % len(ROUTERS)]
        context.last = send_chat(context, router, "poison", 4, prompt=CRASH_MARK)
        assert context.last.status != 200


@then("at most {count:d} engines have crashed")
def step_crashed(context, count):
    ended = [n for n in ENGINES if context.deployment.processes[n].process.poll() is not None]
    assert 1 <= len(ended) <= count, ended


@then('the last refusal is "{code}"')
def step_refusal(context, code):
    assert f'"code":"{code}"' in context.last.text.replace(" ", ""), context.last.text


@then("the engines are started again")
def step_engines_again(context):
    deployment = context.deployment
    for name in ENGINES:
        if deployment.processes[name].process.poll() is not None:
            deployment.respawn(name)
    deployment.wait_until(
        lambda: all(running_chats(context, name) == 0 for name in ENGINES), "the engines"
    )


@when("the admitter is frozen for {span:d} seconds while chats are sent to the others")
def step_freeze_admitter(context, span):
    context.frozen = find_admitter(context)
    process = context.deployment.processes[context.frozen]
    others = [name for name in ROUTERS if name != context.frozen]
    process.signal(signal.SIGSTOP)
    try:
        end = time.monotonic() + span
        number = 0
        while time.monotonic() < end:
            send_chats(context, others, 4, 10).shutdown()
            number += 4
    finally:
        process.signal(signal.SIGCONT)


@then("after it wakes there is one admitter and no invariant was broken")
def step_one_admitter(context):
    wait_for_health(context)
    # The pool may be handed back to the router that woke, so wait for the one.
    deployment = context.deployment
    deployment.wait_until(lambda: count_admitters(context) == 1, "one admitter")
    routers = deployment.status()["routers"].values()
    assert all(item["breaches"] == {} for item in routers), routers


@when("a router is frozen, a zone is taken out, and the router wakes with chats waiting")
def step_freeze_and_zone(context):
    deployment = context.deployment
    frozen = next(name for name in ROUTERS if name != find_admitter(context))
    other = next(name for name in ROUTERS if name != frozen)
    process = deployment.processes[frozen]
    process.signal(signal.SIGSTOP)
    pool = send_chats(context, [frozen], 6, 4)
    try:
        answer = deployment.patch({"zones": {"zone-2": {"state": "out"}}}, router=other)
        assert answer.status_code == 200, answer.text
        # The others stop within their freshness span; the sleeper must by itself.
        time.sleep(3)
        context.served = deployment.control("till-2")["served"]
    finally:
        process.signal(signal.SIGCONT)
    pool.shutdown()


@then("no engine of the zone got a chat after it")
def step_no_chat(context):
    assert context.deployment.control("till-2")["served"] == context.served
    assert all(item.is_complete() or '"not_run"' in item.text for item in context.answers)


@then("the zone is taken in again")
def step_zone_in(context):
    wait_for_health(context)
    answer = context.deployment.patch({"zones": {"zone-2": {"state": "in"}}})
    assert answer.status_code == 200, answer.text


@when("the platform is away and chats and marked calls are sent")
def step_platform_away(context):
    deployment = context.deployment
    deployment.wait_until(
        lambda: all(item["may_vouch"] for item in deployment.status()["routers"].values()),
        "every router to vouch",
    )
    deployment.control("platform", away=True)
    time.sleep(3)
    send_chats(context, ROUTERS, 9, 8).shutdown()
    context.marked = [
        send_with_short_deadline(context, router, f"away-{router}") for router in ROUTERS
    ]


def send_with_short_deadline(context, router, key):
    """Send a marked call with a short deadline."""
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


@then('each marked call was refused as "not_run" and had no effect')
def step_not_run(context):
    for router, answer in zip(ROUTERS, context.marked, strict=True):
        assert answer.json()["error"]["run"] == "not_run", answer.text
        assert effect_count(context, f"away-{router}") == 0


@then("the platform is back and a marked call has one effect")
def step_platform_back(context):
    context.deployment.control("platform", away=False)
    answer = send_non_idempotent(context, "router-1", "back-again")
    assert answer.status_code == 200, answer.text
    assert effect_count(context, "back-again") == 1


@when("the platform loses {count:d} answers and a marked call is sent")
def step_lost_claim(context, count):
    context.deployment.control("platform", lose_answers=count)
    context.marked = send_non_idempotent(context, "router-2", "lost-claim")


@then("the call had one effect and its caller was told the truth")
def step_truth(context):
    context.deployment.control("platform", lose_answers=0)
    count = effect_count(context, "lost-claim")
    if context.marked.status_code == 200:
        assert count == 1
    else:
        assert count == 0 and context.marked.json()["error"]["run"] == "not_run"


@when("the service drops its answer and a marked call is sent twice")
def step_dropped(context):
    context.deployment.control("redeem", drop_answer=True)
    first = send_non_idempotent(context, "router-1", "dropped")
    context.deployment.control("redeem", drop_answer=False)
    context.marked = [first, send_non_idempotent(context, "router-2", "dropped")]


@then('both answers say "unknown" and the service counts one effect')
def step_unknown(context):
    for answer in context.marked:
        assert answer.json()["error"]["run"] == "unknown", answer.text
    assert effect_count(context, "dropped") == 1


@when("a caller leaves in the middle of a stream")
def step_caller_leaves(context):
    deployment = context.deployment
    context.before = {name: deployment.control(name)["cancelled"] for name in ENGINES}
    body = {
        "model": "till-model",
        "stream": True,
        "max_tokens": 5000,
        "messages": [{"role": "user", "content": "a long one"}],
    }
    url = deployment.processes["router-1"].url + "/v1/chat/completions"
    headers = chat_headers(chat="leaver")
    with httpx.stream("POST", url, json=body, headers=headers, trust_env=False) as answer:
        for _ in answer.iter_lines():
            break


@then("the engine cancels it and the grant is given back")
def step_cancelled(context):
    deployment = context.deployment

    def cancelled():
        now = {name: deployment.control(name)["cancelled"] for name in ENGINES}
        held = sum(item["grants_held"] for item in deployment.status()["routers"].values())
        return sum(now.values()) == sum(context.before.values()) + 1 and held == 0

    deployment.wait_until(cancelled, "the engine to cancel")


def limit_of(context, engine):
    """Return the limit of an engine as its pool's admitter has it."""
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
    pool = send_chats(context, ROUTERS, 9, 40)
    deployment.control("till-1", cold=True)
    deployment.wait_until(lambda: limit_of(context, "till-1") < 16, "till-1 to fall back")
    pool.shutdown()
    send_chats(context, ROUTERS, 9, 8).shutdown()


@then("its limit fell back and no invariant was broken")
def step_fell_back(context):
    routers = context.deployment.status()["routers"].values()
    assert all(item["breaches"] == {} for item in routers), routers
    ramp = {"pools": {"till": {"ramp": {"duration_ms": 1000}}}}
    assert context.deployment.patch(ramp).status_code == 200


@when("each router is restarted by SIGTERM while chats are sent")
def step_rolling(context):
    deployment = context.deployment
    context.exits = []
    stop = threading.Event()
    out = set()

    def load():
        number = 0
        while not stop.is_set():
            ready = [name for name in ROUTERS if name not in out]
            number += 1
            send_chat(context, ready[number % len(ready)], number, 12)

    loaders = [threading.Thread(target=load) for _ in range(4)]
    for loader in loaders:
        loader.start()
    for name in ROUTERS:
        # The balancer takes a leaving router out by its health check.
        process = deployment.processes[name].process
        out.add(name)
        os.kill(process.pid, signal.SIGTERM)
        context.exits.append(process.wait(30))
        deployment.start_router(name)
        wait_for_health(context)
        out.discard(name)
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
    pool = send_chats(context, others, 12, 60)
    context.deployment.processes[name].signal(signal.SIGKILL)
    pool.shutdown()
    send_chats(context, others, 6, 6).shutdown()
    context.deployment.start_router(name)
    wait_for_health(context)
