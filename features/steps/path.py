"""Steps that send requests to a running deployment as callers and operators do."""

import httpx
from behave import given, then, when

from standins.deployment import Deployment, Shape
from standins.engine import response_text

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
    context.response = post_chat(context, router, body, chat_headers())


@then("the response is complete and contains its request id")
def step_complete(context):
    response = context.response
    assert response.status_code == 200, response.text
    assert f"chatcmpl-{response.headers['X-Request-Id']}" in response.text
    text = response_text(PROMPT, context.tokens)
    if context.streamed:
        assert streamed_text(response.text) == text, response.text
        assert response.text.rstrip().endswith("data: [DONE]")
    else:
        assert response.json()["choices"][0]["message"]["content"] == text


def streamed_text(text):
    """Return the joined content of all events of a streamed response."""
    lines = [line[6:] for line in text.splitlines() if line.startswith("data: {")]
    events = [httpx.Response(200, text=line).json() for line in lines]
    return "".join(event["choices"][0]["delta"].get("content", "") for event in events)


@when('the non-idempotent request "{key}" is sent to {first} and again to {second}')
def step_resend(context, key, first, second):
    context.responses = [send_non_idempotent(context, router, key) for router in (first, second)]


def send_non_idempotent(context, router, key, body=b"one wash"):
    headers = {
        "Skylarklift-Workspace": "wash-a",
        "Skylarklift-Non-Idempotent": "true",
        "Idempotency-Key": key,
    }
    url = context.deployment.processes[router].url + "/services/redeem/tokens"
    return httpx.post(url, content=body, headers=headers, timeout=TIMEOUT_S, trust_env=False)


@then("both responses are equal")
def step_equal(context):
    first, second = context.responses
    assert first.status_code == second.status_code == 200, (first.text, second.text)
    assert first.content == second.content


@then('the service counts {count:d} effect for "{key}"')
def step_effects(context, count, key):
    assert context.deployment.control("redeem")["effects"].get(key, 0) == count


@when("{zone} is taken {state} through {router}")
def step_zone(context, zone, state, router):
    response = context.deployment.patch({"zones": {zone: {"state": state}}}, router=router)
    assert response.status_code == 200, response.text
    context.version = response.json()["version"]


@then("every router gets the new version")
def step_in_force(context):
    def is_in_force():
        statuses = context.deployment.status()["routers"].values()
        return all(item["version"] >= context.version and item["fresh"] for item in statuses)

    context.deployment.wait_until(is_in_force, f"version {context.version}")


@then("no replica of zone-2 gets a chat")
def step_none_in_zone(context):
    before = context.deployment.control("till-2")["served"]
    for number in range(8):
        router = f"router-{number % 2 + 1}"
        response = post_chat(context, router, chat_body(), chat_headers(chat=f"zone-{number}"))
        assert response.status_code == 200, response.text
    assert context.deployment.control("till-2")["served"] == before


@when("a patch is sent against the version before the current one")
def step_stale(context):
    with context.deployment.operator() as api:
        context.version = api.get("/v1/configuration").json()["version"]
    patch = {"workspaces": {"wash-a": {"share": 2}}}
    context.response = context.deployment.patch(patch, base=context.version - 1)


@then("the response is a conflict that lists the patch accepted since")
def step_conflict(context):
    assert context.response.status_code == 409, context.response.text
    error = context.response.json()["error"]
    assert error["code"] == "stale_patch"
    assert error["current"] == context.version
    assert [row["version"] for row in error["changes"]] == [context.version]


@then("the version has not changed")
def step_same_version(context):
    with context.deployment.operator() as api:
        assert api.get("/v1/configuration").json()["version"] == context.version


INVALID_CHATS = {
    "no workspace": (chat_body(), {}),
    "an unknown workspace": (chat_body(), chat_headers("nobody")),
    "an unknown model": (chat_body(model="other"), chat_headers()),
    "malformed JSON": ("{", chat_headers()),
    "no messages": (chat_body(messages=[]), chat_headers()),
    "a body over the limit": (chat_body(user="x" * 1_200_000), chat_headers()),
    "an invalid deadline": (chat_body(), chat_headers(**{"Skylarklift-Deadline-Ms": "soon"})),
    "an invalid priority": (chat_body(), chat_headers(**{"Skylarklift-Priority": "now"})),
    "no idempotency key": (
        chat_body(),
        chat_headers(**{"Skylarklift-Non-Idempotent": "true"}),
    ),
}


@when("a chat is sent with {fault}")
def step_invalid_chat(context, fault):
    body, headers = INVALID_CHATS[fault]
    url = context.deployment.processes["router-1"].url + "/v1/chat/completions"
    options = {"content": body} if isinstance(body, str) else {"json": body}
    context.response = httpx.post(
        url, headers=headers, timeout=TIMEOUT_S, trust_env=False, **options
    )


@then('the error is {status:d} "{code}" with run "{run}"')
def step_error(context, status, code, run):
    assert context.response.status_code == status, context.response.text
    error = context.response.json()["error"]
    assert (error["code"], error["run"]) == (code, run), error


@then("the engine's error response is forwarded with status {status:d}")
def step_engine_error(context, status):
    assert context.response.status_code == status, context.response.text
    assert context.response.json()["error"]["code"] == "invalid_value"
