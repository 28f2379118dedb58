"""Steps that talk to a running deployment as callers and operators do."""

import httpx
from behave import given, then, when

from standins.deployment import Deployment, Shape
from standins.engine import answer_text

SMALL_SHAPE = Shape(2, {"till": 2}, ("redeem",), 2)
QUICK_SHUTDOWN = {"shutdown": {"health_wait_ms": 50, "drain_limit_ms": 5000}}
PROMPT = "How many washes were sold?"
TIMEOUT_S = 20


@given("the small deployment")
def step_small(context):
    if "small" not in context.deployments:
        deployment = Deployment(SMALL_SHAPE, settings=QUICK_SHUTDOWN)
        context.deployments["small"] = deployment
        deployment.start()
    context.deployment = context.deployments["small"]


def chat_body(tokens=4, **changes):
    messages = [{"role": "user", "content": PROMPT}]
    return {"model": "till-model", "max_tokens": tokens, "messages": messages, **changes}


def chat_headers(workspace="wash-a", chat="chat-1", **more):
    return {"Skylarklift-Workspace": workspace, "Skylarklift-Chat": chat, **more}


def post_chat(context, router, body, headers):
    url = context.deployment.processes[router].url + "/v1/chat/completions"
    return httpx.post(url, json=body, headers=headers, timeout=TIMEOUT_S, trust_env=False)


@when("a chat of {tokens:d} tokens is sent to {router}, streamed: {streamed}")
def step_chat(context, tokens, router, streamed):
    context.tokens = tokens
    context.streamed = streamed == "yes"
    body = chat_body(tokens, stream=context.streamed)
    context.answer = post_chat(context, router, body, chat_headers())


@then("the answer is whole and its request id is echoed")
def step_whole(context):
    answer = context.answer
    assert answer.status_code == 200, answer.text
    assert f"chatcmpl-{answer.headers['X-Request-Id']}" in answer.text
    words = answer_text(PROMPT, context.tokens)
    if context.streamed:
        assert streamed_text(answer.text) == words, answer.text
        assert answer.text.rstrip().endswith("data: [DONE]")
    else:
        assert answer.json()["choices"][0]["message"]["content"] == words


def streamed_text(text):
    """Return the content of all events of a streamed answer."""
    lines = [line[6:] for line in text.splitlines() if line.startswith("data: {")]
    events = [httpx.Response(200, text=line).json() for line in lines]
    return "".join(event["choices"][0]["delta"].get("content", "") for event in events)


@when('the marked call "{key}" is sent to {first} and again to {second}')
def step_marked_twice(context, key, first, second):
    context.answers = [send_non_idempotent(context, router, key) for router in (first, second)]


def send_non_idempotent(context, router, key, body=b"one wash"):
    headers = {
        "Skylarklift-Workspace": "wash-a",
        "Skylarklift-Non-Idempotent": "true",
        "Idempotency-Key": key,
    }
    url = context.deployment.processes[router].url + "/services/redeem/tokens"
    return httpx.post(url, content=body, headers=headers, timeout=TIMEOUT_S, trust_env=False)


@then("both answers are equal")
def step_equal(context):
    first, second = context.answers
    assert first.status_code == second.status_code == 200, (first.text, second.text)
    assert first.content == second.content


@then('the service counts {count:d} effect for "{key}"')
def step_effects(context, count, key):
    assert context.deployment.control("redeem")["effects"].get(key, 0) == count


@when("{zone} is taken {state} by {router}")
def step_zone(context, zone, state, router):
    answer = context.deployment.patch({"zones": {zone: {"state": state}}}, router=router)
    assert answer.status_code == 200, answer.text
    context.version = answer.json()["version"]


@then("every router soon has the new version")
def step_in_force(context):
    def in_force():
        routers = context.deployment.status()["routers"].values()
        return all(item["version"] >= context.version and item["fresh"] for item in routers)

    context.deployment.wait_until(in_force, f"version {context.version}")


@then("no replica of zone-2 gets a chat")
def step_none_in_zone(context):
    before = context.deployment.control("till-2")["served"]
    for number in range(8):
        router = f"router-{number % 2 + 1}"
        answer = post_chat(context, router, chat_body(), chat_headers(chat=f"zone-{number}"))
        assert answer.status_code == 200, answer.text
    assert context.deployment.control("till-2")["served"] == before


@when("a patch is sent against a version that is one too old")
def step_stale(context):
    with context.deployment.operator() as api:
        context.version = api.get("/v1/configuration").json()["version"]
    patch = {"workspaces": {"wash-a": {"share": 2}}}
    context.answer = context.deployment.patch(patch, base=context.version - 1)


@then("the answer is a conflict that shows the change since")
def step_conflict(context):
    assert context.answer.status_code == 409, context.answer.text
    error = context.answer.json()["error"]
    assert error["code"] == "stale_patch"
    assert error["current"] == context.version
    assert [row["version"] for row in error["changes"]] == [context.version]


@then("the version has not changed")
def step_same_version(context):
    with context.deployment.operator() as api:
        assert api.get("/v1/configuration").json()["version"] == context.version


BAD_CHATS = {
    "no workspace": (chat_body(), {}),
    "an unknown workspace": (chat_body(), chat_headers("nobody")),
    "an unknown model": (chat_body(model="other"), chat_headers()),
    "malformed JSON": ("{", chat_headers()),
    "no messages": (chat_body(messages=[]), chat_headers()),
    "a body over the limit": (chat_body(user="x" * 1_200_000), chat_headers()),
    "a bad deadline": (chat_body(), chat_headers(**{"Skylarklift-Deadline-Ms": "soon"})),
    "a bad priority": (chat_body(), chat_headers(**{"Skylarklift-Priority": "now"})),
    "a mark without a key": (
        chat_body(),
        chat_headers(**{"Skylarklift-Non-Idempotent": "true"}),
    ),
}


@when("a chat is sent with {fault}")
def step_bad_chat(context, fault):
    body, headers = BAD_CHATS[fault]
    url = context.deployment.processes["router-1"].url + "/v1/chat/completions"
    options = {"content": body} if isinstance(body, str) else {"json": body}
    context.answer = httpx.post(url, headers=headers, timeout=TIMEOUT_S, trust_env=False, **options)


@then('the error is {status:d} "{code}" with run "{run}"')
def step_error(context, status, code, run):
    assert context.answer.status_code == status, context.answer.text
    error = context.answer.json()["error"]
    assert (error["code"], error["run"]) == (code, run), error


@then("the engine's refusal is passed on with status {status:d}")
def step_engine_refusal(context, status):
    assert context.answer.status_code == status, context.answer.text
    assert context.answer.json()["error"]["code"] == "invalid_value"
