"""Steps for answers of faulty upstreams that could be taken for something else."""

from functools import partial

from behave import given, then, when

from features.steps.entry_bytes import open_world
from features.world_thread import event_ids
from standins.scripted_replica import (
    EVENT_STREAM,
    EVENTS,
    SIGNED_HEAD,
    TWO_EVENTS,
    Ending,
    Reply,
    ScriptedReplica,
    chunked,
    framed,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
STREAM_HEAD = SIGNED_HEAD + EVENT_STREAM
CHUNKS = b"transfer-encoding: chunked\r\n\r\n"
ERROR_HEAD = b"HTTP/1.1 %d Error\r\nx-attempt-id: %%s\r\nx-replica-signature: s\r\n"
ERROR_TEXT = b'{"error": "out of order"}'
RESUMPTIONS = {
    "500": framed(ERROR_HEAD % 500, ERROR_TEXT),
    "404": framed(ERROR_HEAD % 404, ERROR_TEXT),
    "503 without a promise": framed(ERROR_HEAD % 503, ERROR_TEXT),
    "200 with an error in JSON": framed(
        SIGNED_HEAD + b"content-type: application/json\r\n", ERROR_TEXT + b"\n\n"
    ),
    "200 with a text": STREAM_HEAD + CHUNKS + chunked(b"out of order\n\nretry later\n\n"),
    "200 with events without ids": STREAM_HEAD + CHUNKS + chunked(b"data: out of order\n\n"),
    "204": ERROR_HEAD % 204 + b"\r\n",
    "a head within the body": STREAM_HEAD
    + CHUNKS
    + chunked(framed(b"HTTP/1.1 500 Error\r\n", ERROR_TEXT) + b"\n\n"),
    "a long error": framed(ERROR_HEAD % 500, b"a" * 70000),
}


def add_world(context, count, answer):
    """Start a router before scripted replicas, which serve both services."""
    context.scripted = [ScriptedReplica(answer) for _ in range(count)]
    names = {}
    for number, replica in enumerate(context.scripted, 1):
        names |= {f"lm-{number}": replica, f"till-{number}": replica}
    open_world(context, names)
    for number, replica in enumerate(context.scripted, 1):
        replica.on_crash = partial(stop_accepting, context, number)


def stop_accepting(context, number):
    for service in ("lm", "till"):
        context.world.stop_accepting(f"{service}-{number}")


@given("a router before 1 replica that writes its last refusal {copy} before its next answer")
def repeats_refusal(context, copy):
    """Refuse the first request of a connection; write that again before the next answer."""
    refusals = {}

    def answer(request):
        replica = context.scripted[0]
        if request.number == 0:
            named = b"x-attempt-id: %s\r\n" if copy == "with the earlier id" else b""
            head = b"HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n" + named
            refusals["last"] = framed(head.replace(b"%s", request.request_id.encode()), b"")
            return Reply(refusals["last"])
        replica.ran.append(request.request_id)
        return Reply(refusals["last"] + framed(SIGNED_HEAD, b"done"))

    add_world(context, 1, answer)


@when('{count:d} requests to "{path}" are sent to it, one after the other')
def sent_in_series(context, count, path):
    context.answers = {}
    for number in range(count):
        name = f"id-{number}"
        context.answers[name] = context.thread.run(call, context, path, name)


async def call(context, path, request_id):
    return await context.world.call(context.router, path, request_id=request_id)


@then("each request ran at most once, and none that ran was answered as not run")
def ran_at_most_once(context):
    ran = context.scripted[0].ran
    assert ran, context.answers
    for name, response in context.answers.items():
        assert ran.count(name) <= 1, (name, ran)
        assert name not in ran or response.status not in NOT_RUN_STATUSES, (name, response)
        assert response.status != 200 or response.body == b"done", (name, response)


@given(
    "a router before 2 replicas that break off a stream after 2 events and resume with "
    '"{answer}"'
)
def break_off_and_resume(context, answer):
    def reply(request):
        if request.last_event:
            return Reply(RESUMPTIONS[answer], Ending.CLOSE)
        return Reply(STREAM_HEAD + CHUNKS + chunked(TWO_EVENTS, whole=False), Ending.CLOSE)

    add_world(context, 2, reply)


@when('a request to "{path}" is sent to them')
def sent_to_them(context, path):
    context.response = context.thread.run(call, context, path, "id-1")


@then("the caller got exactly the first 2 events, and the answer is not complete")
def got_two_events(context):
    response = context.response
    received = [request for replica in context.scripted for request in replica.received]
    assert any(request.last_event == "2" for request in received), received
    assert response.body == TWO_EVENTS and not response.complete, response


@given('a router before 1 replica that closes after "{head}"')
def closes_after_head(context, head):
    data = head.replace("\\r", "\r").replace("\\n", "\n").encode()
    data = data.replace(b"SIGNED", SIGNED_HEAD)
    add_world(context, 1, lambda request: Reply(data, Ending.CLOSE))


@then("the caller's answer is an error or not complete")
def error_or_incomplete(context):
    response = context.response
    assert response.status >= 500 or not response.complete, response
    assert response.status not in NOT_RUN_STATUSES, response


@given("a router before 2 replicas whose answer without a length has {content}, and then {ending}")
def answer_without_length(context, content, ending):
    bodies = {
        "6 events": (STREAM_HEAD, EVENTS),
        "6 events, and no more runs": (STREAM_HEAD, EVENTS),
        "no event": (STREAM_HEAD, b""),
        "no event, and no more runs": (STREAM_HEAD, b""),
        "2 events, and further runs are reset": (STREAM_HEAD, TWO_EVENTS),
        "2 events, then the rest alike": (STREAM_HEAD, TWO_EVENTS),
        "2 events": (STREAM_HEAD, TWO_EVENTS),
        "2 events and a part": (STREAM_HEAD, TWO_EVENTS + b"id: 3\nda"),
        "a body": (SIGNED_HEAD, b"done"),
    }

    def reply(request):
        head, body = bodies[content]
        first = sum(len(item.received) for item in context.scripted) == 1
        if not first and content.endswith("no more runs"):
            return Reply(RESUMPTIONS["503 without a promise"])
        if not first and content.endswith("are reset"):
            return Reply(b"", Ending.RESET)
        if not first and content == "no event":
            return Reply(head + CHUNKS + chunked(EVENTS))
        if request.last_event and content.endswith("alike"):
            return Reply(head + b"\r\n" + EVENTS[len(TWO_EVENTS) :], Ending.CLOSE)
        if request.last_event:
            return Reply(head + CHUNKS + chunked(EVENTS[len(TWO_EVENTS) :]))
        return Reply(head + b"\r\n" + body, Ending(ending))

    add_world(context, 2, reply)


@then("the caller's answer is {result}")
def answer_is(context, result):
    response = context.response
    if result == "an error":
        assert response.status in (502, 504), response
    elif result == "not complete":
        assert response.status == 200 and not response.complete, response
    else:
        assert response.status == 200 and response.complete, response
    if result == "resumed to 6 events":
        assert event_ids(response.body) == list(range(1, 7)), response
