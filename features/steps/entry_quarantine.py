"""Steps for parts of prompts that crash upstreams, with routers as processes."""

import contextlib
import io
import time
from functools import partial

import trio
from behave import given, then, when

from features.world_thread import all_runs
from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.crashes.crash_evidence import RECENTLY_SERVED_MS
from skylarklift.ui.main import main
from standins.replica import CrashPoint

PACE_MS = 60
SETTLE_S = 1.2
# A part that was served longer ago may have crashed an upstream since.
SERVED_LONG_AGO_S = RECENTLY_SERVED_MS / MS_PER_SECOND + 0.2


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


@when('{count:d} requests with the parts "{parts}" are sent, one after the other')
def requests_in_series(context, count, parts):
    for number in range(count):
        send_with_parts(context, context.router, parts, number)


@when(
    'each of {count:d} documents is asked about behind "{sound}", twice behind "{bad}", and behind '
    '"{sound_again}" again'
)
def documents_asked_about(context, count, sound, bad, sound_again):
    context.answers = []
    for number in range(count):
        for turn, front in enumerate((sound, bad, bad, sound_again)):
            parts = f"{front},doc{number}"
            response = send_with_parts(context, context.router, parts, 10 * number + turn)
            context.answers.append((front, response))
            if turn == 0:
                time.sleep(SERVED_LONG_AGO_S)


@then('all questions behind "{front}" were answered with {status:d}')
def questions_answered(context, front, status):
    found = [response.status for asked, response in context.answers if asked == front]
    assert found and set(found) == {status}, found


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


# Several routers.


def send_with_parts(context, router, parts, number):
    """Send one request with shared parts to a router and return its response."""

    async def send():
        return await context.world.call(
            router,
            f"/chat/{number}",
            headers=prompt_headers(parts, number),
            body=f"{parts} {number}".encode(),
        )

    return context.thread.run(send)


@then('within {span:d} ms the {which} router refuses the parts "{bad}", and serves "{sound}"')
def router_refuses_parts(context, span, which, bad, sound):
    router = context.router if which == "first" else context.second
    crashed = sum(replica.crashed for replica in context.world.replicas.values())
    time.sleep(span / 1000)
    assert send_with_parts(context, router, bad, 900).status == 503
    assert send_with_parts(context, router, sound, 901).status == 200
    assert sum(replica.crashed for replica in context.world.replicas.values()) == crashed


@when("the first router is killed and started again")
def first_router_restarted(context):
    context.router.process.kill()

    context.thread.run(context.world.restart_router, context.router)
    context.thread.run(context.world.wait_ready, context.router)


# Decisions.


def last_line(context, parts):
    """Return the log line of the last request with these parts."""
    last_id = f"{parts}-{len(context.responses[parts]) - 1}"
    (line,) = [
        line
        for line in context.router.lines()
        if line["event"] == "request_failed" and line["id"] == last_id
    ]
    return line


@then('the line of the last request with the parts "{parts}" names the part "{part}" and 3 crashes')
def line_names_part(context, parts, part):
    line = last_line(context, parts)
    assert (line["subject"], line["kind"], line["crashes"]) == (part, "part", 3), line
    assert line["held_ms"] >= 0 and line["sends"] == ["crashes_upstreams"], line


@then('the metrics name the part "{part}" and the time since when it is held back')
def metrics_name_part(context, part):
    async def fetch():
        port = context.router.readiness_port
        return await context.world.send_request(port, "GET", "/metrics", {})

    text = context.thread.run(fetch).body.decode()
    (line,) = [line for line in text.splitlines() if "quarantine_held_ms" in line and part in line]
    assert line.startswith(f'skylarklift_quarantine_held_ms{{kind="part:{part}"}} '), line
    assert int(line.rsplit(" ", 1)[1]) > 0
    assert 'skylarklift_quarantine_refusals_total{kind="part"}' in text


@then('explaining the last request with the parts "{parts}" shows when the part was held back')
def explained(context, parts):
    line = last_line(context, parts)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert main(["explain", line["id"], str(context.router.log), "--around-ms", "100"]) == 0
    shown = [text for text in output.getvalue().splitlines() if "  quarantined  " in text]
    assert any(f'subject="{line["subject"]}"' in text for text in shown), output.getvalue()
