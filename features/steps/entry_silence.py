"""Steps for upstreams that accept connections and are silent."""

import time

import trio
from behave import given, then, when

from features.world_thread import all_runs, replicas_by_name
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.placement.upstream_progress import UpstreamProgress

START_MS = 10_000
LONG_STREAM_EVENTS = 80
LONG_STREAM_PACE_MS = 60


@given('a request was sent to "{name}" at 0 ms, and answers arrive as "{answers}"')
def answers_arrive(context, name, answers):
    context.name = name
    context.answers = []
    for item in filter(None, answers.split(",")):
        route, _, times = item.rpartition(":")
        sent, arrived = map(int, times.split(">"))
        context.answers.append((route or "own", sent, arrived))


@given('a request was sent to "{name}" at 0 ms, and answers arrive as ""')
def no_answers_arrive(context, name):
    answers_arrive(context, name, "")


@then('its silence is "{cause}" after {span:d} ms')
def silence_is(context, cause, span):
    clock = ManualClock(START_MS)
    progress = UpstreamProgress(clock)
    now = 0
    for route, sent, arrived in context.answers:
        clock.advance(arrived - now)
        now = arrived
        progress.record_progress(context.name)
        progress.record_answer(context.name, route, Millis(START_MS + sent))
    clock.advance(span - now)
    found = progress.classify(context.name, "own", Millis(START_MS))
    assert found.value == cause, found


@given(
    'each of the replicas "{names}" sends a long stream, and takes {span:d} ms for a first event'
)
def replicas_send_long_streams(context, names, span):
    replicas = replicas_by_name(context, names)
    for replica in replicas:
        replica.events, replica.pace_ms = LONG_STREAM_EVENTS, LONG_STREAM_PACE_MS

    async def start():
        number = 0
        while not all(replica.runs for replica in replicas):
            headers = {"x-prefix-hash": f"{number}b:50,{number}c:10"}
            context.world.nursery.start_soon(start_stream, context, headers)
            number += 1
            await trio.sleep(0.1)
        await trio.sleep(0.2)

    context.thread.run(start)
    context.first_runs = len(all_runs(context))
    for replica in replicas:
        replica.faults.first_event_ms, replica.events = span, 6


async def start_stream(context, headers):
    await context.world.call(context.router, "/chat/b", headers=headers, deadline_ms=8000)


@when('{count:d} requests to "{path}" are sent at once')
def requests_at_once(context, count, path):
    requests_at_interval(context, count, path, 0)


@when('{count:d} requests to "{path}" are sent, one each {span:d} ms')
def requests_at_interval(context, count, path, span):
    context.responses, context.took_ms = [], []

    async def send(number):
        started = time.monotonic()
        headers = {"x-prefix-hash": f"{number}a:50,{number}d:10"} if "chat" in path else {}
        response = await context.world.call(
            context.router, path, request_id=f"id-{number}", headers=headers
        )
        context.responses.append((f"id-{number}", response))
        context.took_ms.append((time.monotonic() - started) * 1000)

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(send, number)
                await trio.sleep(span / 1000)

    context.thread.run(run)


@given('the replica "{name}" keeps its first answer to itself')
def keeps_answer(context, name):
    context.world.replicas[name].faults.keep_answer = 1


@then("each request ran once")
def each_ran_once(context):
    ids = [run.request_id for run in all_runs(context) if run.request_id.startswith("id-")]
    assert len(ids) == len(set(ids)) == len(context.responses), ids


@then("all are answered with 200 within {span:d} ms")
def answered_within(context, span):
    assert all(response.status == 200 for _, response in context.responses), context.responses
    assert max(context.took_ms) <= span, max(context.took_ms)


@given('each of the replicas "{names}" takes {span:d} ms for its first request')
def first_request_is_long(context, names, span):
    for replica in replicas_by_name(context, names):
        replica.faults.long_runs, replica.faults.long_run_ms = 1, span
