"""Steps for parts of prompts that crash upstreams."""

from functools import partial

import trio
from behave import given, then, when

from features.world_thread import all_runs
from standins.replica import CrashPoint

PACE_MS = 60
SETTLE_S = 1.2


@given('{count:d} replicas crash {point} of an answer to a prompt with the part "{part}"')
def replicas_crash_on_part(context, count, point, part):
    add_crashing_replicas(context, count, point, crash_on_part=part)


@given('{count:d} replicas crash {point} of an answer to "{path}"')
def replicas_crash_on_path(context, count, point, path):
    add_crashing_replicas(context, count, point, crash_on=path)


def add_crashing_replicas(context, count, point, crash_on="", crash_on_part=""):
    """Start `count` replicas of the engines' service that crash on a path or a part."""

    async def add():
        for number in range(1, count + 1):
            name = f"lm-{number}"
            if name not in context.world.replicas:
                await context.world.add_replica(name, "lm")
            replica = context.world.replicas[name]
            replica.pace_ms = PACE_MS
            replica.crash_on, replica.crash_on_part = crash_on, crash_on_part
            replica.crash_point = CrashPoint(point)
            replica.on_crash = partial(context.world.stop_accepting, name)
        await trio.sleep(SETTLE_S)

    context.thread.run(add)


def prompt_headers(parts, number):
    """Return the header that names shared parts and one part of the request's own."""
    listed = [f"{part}:50" for part in parts.split(",")]
    return {"x-prefix-hash": ",".join([*listed, f"{parts.count(',')}{number:04d}:10"])}


@when(
    '{count:d} requests with the parts "{bad}" are sent, one each {span:d} ms, and as many with '
    '"{sound}"'
)
def requests_with_parts(context, count, bad, span, sound):
    context.responses = {bad: [None] * count, sound: [None] * count}

    async def send(parts, number):
        context.responses[parts][number] = await context.world.call(
            context.router,
            f"/chat/{number}",
            request_id=f"{parts}-{number}",
            headers=prompt_headers(parts, number),
            body=f"{parts} {number}".encode(),
        )

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(send, sound, number)
                await trio.sleep(span / 1000)
                await send(bad, number)

    context.thread.run(run)


@then('the last request with the parts "{parts}" got {status:d} and reached no replica')
def last_request_got(context, parts, status):
    responses = context.responses[parts]
    assert responses[-1].status == status, responses[-1]
    last_id = f"{parts}-{len(responses) - 1}"
    assert last_id not in [run.request_id for run in all_runs(context)]


@then('the last {count:d} requests with the parts "{parts}" were answered with {status:d}')
def last_requests_answered(context, count, parts, status):
    for response in context.responses[parts][-count:]:
        assert response.status == status and response.complete, response
