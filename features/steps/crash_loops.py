"""Steps for replicas that crash, by a request or by themselves, and start again under their ids."""

from dataclasses import dataclass
from functools import partial

import trio
from behave import given, then, when

from features.world_thread import WorldThread
from skylarklift.clock import MS_PER_SECOND
from standins.entry_world import Response

SETTLE_S = 1.2
RUN_MS = 20
DEADLY = "/once/deadly"


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and its answer."""

    target: str
    response: Response


@given(
    "a router before {count:d} replicas that start again under their ids {back:d} ms after a crash"
)
@given("a router before {count:d} replica that starts again under its id {back:d} ms after a crash")
def restarting_replicas(context, count, back):
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = world = context.thread.world

    async def build():
        await world.open_store_endpoint()
        world.write_plan()
        for number in range(1, count + 1):
            name = f"lm-{number}"
            replica = await world.add_replica(name, "lm")
            replica.pace_ms, replica.crash_on = RUN_MS, DEADLY
            replica.on_crash = partial(crash_and_return, world, name, back)
        return await world.start_router("n1")

    context.router = context.thread.run(build)


def crash_and_return(world, name, back_ms):
    """Stop accepting connections, and start a replica again under its id after a while.

    Of several requests that crash it together, the first one does so.
    """
    replica = world.replicas[name]
    replica.on_crash = None
    world.stop_accepting(name)

    async def come_back():
        await trio.sleep(back_ms / MS_PER_SECOND)
        replica.on_crash = partial(crash_and_return, world, name, back_ms)
        await world.restart_replica(name, replica.born + 1)

    world.nursery.start_soon(come_back)


@given(
    "the first {loops:d} crash as they begin to run anything, and routes allow {attempts:d} "
    "attempts"
)
def crash_by_themselves(context, loops, attempts):
    context.looping = [f"lm-{number}" for number in range(1, loops + 1)]

    async def change():
        for name in context.looping:
            context.world.replicas[name].crashes_always = True
        context.world.write_plan(max_attempts=attempts)
        await trio.sleep(SETTLE_S)

    context.thread.run(change)


@when(
    '{rounds:d} rounds of a deadly request and {sound:d} sound ones are sent to "{prefix}", with '
    "pauses of {pause:d} ms"
)
def rounds_with_deadly(context, rounds, sound, prefix, pause):
    send_rounds(context, rounds, [DEADLY, *sound_targets(prefix, sound)], pause)


@when(
    '{rounds:d} rounds of {sound:d} sound requests are sent to "{prefix}", with pauses of '
    "{pause:d} ms"
)
def rounds_of_sound(context, rounds, sound, prefix, pause):
    send_rounds(context, rounds, sound_targets(prefix, sound), pause)


def sound_targets(prefix, count):
    """Return the targets of sound requests, which their clients repeat."""
    return [f"{prefix}sound{number}" for number in range(count)]


def send_rounds(context, rounds, targets, pause_ms):
    """Send the same requests in each round, one after the other."""
    context.sent = []

    async def send():
        for _ in range(rounds):
            for target in targets:
                fields = {"x-prefix-hash": f"aa:50,{target[6:]}:40,cc:10"}
                response = await context.world.call(
                    context.router, target, headers=fields, body=target.encode()
                )
                context.sent.append(Sent(target, response))
            await trio.sleep(pause_ms / MS_PER_SECOND)

    context.thread.run(send)


@then("the deadly request has crashed at most {most:d} other replicas, and was then refused")
def deadly_is_held_back(context, most):
    others = [item for name, item in context.world.replicas.items() if name not in context.looping]
    crashes = sum(replica.crashed for replica in others)
    assert crashes <= most, crashes
    answers = [item.response for item in context.sent if item.target == DEADLY]
    assert refused_as_deadly(answers[-1]), answers


def refused_as_deadly(response):
    """Return whether a request was refused as one that crashes upstreams."""
    return response.status == 503 and b"crashes_upstreams" in response.body


@then("no sound request was refused as one that crashes upstreams")
def sound_not_refused(context):
    sound = [item for item in context.sent if item.target != DEADLY]
    refused = [item for item in sound if refused_as_deadly(item.response)]
    assert sound and not refused, refused


@then(
    '{count:d} sound ones that are sent to "{prefix}" {wait:d} ms later are answered with '
    "{status:d}"
)
def later_ones_answered(context, count, prefix, wait, status):
    context.thread.run(trio.sleep, wait / MS_PER_SECOND)
    send_rounds(context, 1, sound_targets(prefix, count), 0)
    failed = [item for item in context.sent if item.response.status != status]
    assert not failed, failed
