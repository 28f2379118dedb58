"""Steps for replicas that crash together, by requests or for want of power."""

import trio
from behave import given, then, when

from features.steps.entry_quarantine import prompt_headers
from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.crashes.crash_evidence import CRASHES_TO_CONVICT

SETTLE_S = 1.2
# Requests that wait for their answers as the replicas lose power.
WAITING_MS = 400


@given('they crash as they begin to run a request with the part "{part}"')
def crash_on_part(context, part):
    for replica in context.world.replicas.values():
        replica.crash_on_part = part
    context.thread.run(trio.sleep, SETTLE_S)


async def send_each(context, parts, numbers):
    """Send requests with shared parts at once; return their answers."""
    answers = []

    async def send(number):
        path = f"/once/{number}"
        headers = prompt_headers(parts, number)
        body = f"{parts} {number}".encode()
        answers.append(await context.world.call(context.router, path, headers=headers, body=body))

    async with trio.open_nursery() as nursery:
        for number in numbers:
            nursery.start_soon(send, number)
    return answers


def count_runs(context, part):
    """Return how many requests with a shared part have reached replicas."""
    runs = [run for replica in context.world.replicas.values() for run in replica.runs]
    return sum(f"{part}:" in run.headers["x-prefix-hash"] for run in runs)


@when(
    '{groups:d} groups of {size:d} requests with the parts "{bad}" are sent, one each {gap:d} ms, '
    'and {few:d} each with "{sound}"'
)
def groups_sent(context, groups, size, bad, gap, few, sound):
    part = bad.split(",")[-1]
    context.reached, context.sound = [], []

    async def send_sound(group):
        await trio.sleep(gap / 2 / MS_PER_SECOND)
        numbers = range(group * few, (group + 1) * few)
        context.sound.append(await send_each(context, sound, numbers))

    async def run():
        async with trio.open_nursery() as nursery:
            for group in range(groups):
                nursery.start_soon(send_sound, group)
                numbers = range(1000 + group * size, 1000 + (group + 1) * size)
                nursery.start_soon(send_each, context, bad, numbers)
                await trio.sleep(gap / MS_PER_SECOND)
                context.reached.append(count_runs(context, part))

    context.thread.run(run)


@then('at most {most:d} requests of later groups with the parts "{bad}" reached replicas')
def few_of_later_groups(context, most, bad):
    assert context.reached[0] > most, context.reached
    assert context.reached[-1] - context.reached[0] <= most, context.reached


@then(
    'the requests of the last {count:d} groups with the parts "{sound}" were answered with '
    "{status:d}"
)
def sound_groups_answered(context, count, sound, status):
    found = [answer.status for answers in context.sound[-count:] for answer in answers]
    assert found and set(found) == {status}, found


@when('they lose power while {count:d} requests with the parts "{parts}" run')
def lose_power(context, count, parts):
    async def run():
        replicas = list(context.world.replicas.values())
        paces = [replica.pace_ms for replica in replicas]
        await trio.sleep(SETTLE_S)
        for replica in replicas:
            replica.pace_ms = WAITING_MS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_each, context, parts, range(count))
            await trio.sleep(WAITING_MS / 2 / MS_PER_SECOND)
            running = [replica.name for replica in replicas if replica.runs]
            assert len(running) >= CRASHES_TO_CONVICT, running
            for replica, pace in zip(replicas, paces, strict=True):
                replica.pace_ms = pace
                replica._crash()

    context.thread.run(run)


@when('{count:d} requests with the parts "{parts}" are sent after {wait:d} ms, one each {gap:d} ms')
def sent_after(context, count, parts, wait, gap):
    context.answers = []

    async def run():
        await trio.sleep(wait / MS_PER_SECOND)
        for number in range(count):
            context.answers += await send_each(context, parts, [1000 + number])
            await trio.sleep(gap / MS_PER_SECOND)

    context.thread.run(run)


@then("at most {most:d} of these was refused, and the others were answered with {status:d}")
def others_answered(context, most, status):
    found = [answer.status for answer in context.answers]
    assert sum(code == 503 for code in found) <= most, found
    assert {code for code in found if code != 503} == {status}, found
    events = [line["event"] for line in context.router.lines()]
    assert "quarantine_on_trial" in events and "quarantine_released" in events, events
