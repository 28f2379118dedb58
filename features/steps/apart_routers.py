"""Steps for routers that are cut off from the other routers alone."""

import trio
from behave import given, then, when

from features.steps.entry_answers import CHUNKS, STREAM_HEAD, add_world
from skylarklift.entry.gossip.fleet import READER_KEY, rendezvous_weight
from soak.peer_cuts import Loss, PeerCuts
from standins.scripted_replica import EVENTS, TWO_EVENTS, Ending, Reply, chunked

DAEMON = ("-m", "skylarklift.platform.daemon")
NAMES = ("r1", "r2")
DEADLINE_MS = 12_000
# Streams that callers begin before, so that the row has the time for which they wait.
FIRST_STREAMS = 12
MAX_TRIES = 50
# Streams that begin at the same moment, and when their callers leave.
AT_ONCE = 6
LEAVE_MS = 150
SETTLE_S = 4.0
JOINING = 2
# Streams that begin once a version has left, and how long after its entry says so.
AFTER_LEAVE = 12
LEFT_S = 0.3
# A busy machine takes this long at most until streams begin.
BEGIN_LIMIT_MS = 2000
BEGIN_POLLS = 200
# Streams whose replicas do not say whose process they are, and when their callers leave: after two
# replicas that are silent, a third may be asked for longer.
AMID_SILENCE = 8
LEAVE_AFTER_SILENCE_MS = 5000
# The store's endpoint of the router that is cut off, and until when it has noticed that.
APART_STORE = 1
NOTICED_S = 1.0
AWAY_S = 3.0
# The versions that replicas come back with, and when their processes started.
REPLACED_BY = ("v2", "v1")
NEXT_BORN = 2


@given('two routers before replicas of "v1", and one of "v2" that joins later')
def two_routers(context):
    def reply(request):
        if request.last_event:
            return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS))
        return Reply(STREAM_HEAD + CHUNKS + chunked(TWO_EVENTS, whole=False), Ending.CLOSE)

    add_world(context, JOINING + 1, reply)
    context.thread.run(prepare, context)


async def prepare(context):
    """Let the last replica be unlisted, and two routers that can be cut off know each other."""
    world = context.world
    world.store.write("servers", f"lm-{JOINING + 1}", None)
    context.cuts = PeerCuts(world.folder)
    context.cleanups.append(context.cuts.close)
    world.program = context.cuts.choose_arguments(DAEMON)
    # The first router, which cannot be cut off, leaves.
    context.router.process.terminate()
    await trio.to_thread.run_sync(context.router.process.wait)
    world.routers.remove(context.router)
    context.routers = {}
    # The router with the larger weight reads the store for both.
    reader, other = sorted(NAMES, key=lambda name: -rendezvous_weight(READER_KEY, name))
    await world.open_store_endpoint()
    for name in NAMES:
        port = world.reserve_port()
        context.cuts.add(name, port)
        store = APART_STORE if name == other else 0
        context.routers[name] = await world.start_router(name, store, peer_port=port)
    context.reader, context.apart = context.routers[reader], context.routers[other]
    context.count, context.prompts = 0, {}
    for _ in range(FIRST_STREAMS):
        await begin_stream(context, context.reader)
    await trio.sleep(SETTLE_S)


async def begin_stream(context, router, waited_ms=0, leave_ms=LEAVE_MS):
    """Begin a stream of a new prompt, whose caller soon leaves; return its name."""
    context.count += 1
    name = f"s{context.count}"
    context.prompts[name] = context.count
    await send(context, router, name, context.count, leave_ms, waited_ms)
    return name


async def begin_all(context, router, names, waited_ms):
    """Begin the next streams at the same moment; their callers leave once all have begun."""
    async with trio.open_nursery() as nursery:
        for _ in names:
            nursery.start_soon(begin_stream, context, router, waited_ms, BEGIN_LIMIT_MS)
        for _ in range(BEGIN_POLLS):
            if all(replica_of(context, name) is not None for name in names):
                break
            await trio.sleep(BEGIN_LIMIT_MS / 1000 / BEGIN_POLLS)
        await trio.sleep(LEAVE_MS / 1000)
        nursery.cancel_scope.cancel()


async def begin_several(context, router):
    """Begin streams at the same moment; return the names of those that began at "v2"."""
    async with trio.open_nursery() as nursery:
        before = context.count
        for _ in range(AT_ONCE):
            nursery.start_soon(begin_stream, context, router)
    names = [f"s{number}" for number in range(before + 1, context.count + 1)]
    return [name for name in names if replica_of(context, name) == JOINING]


async def send(context, router, name, number, leave_ms=None, waited_ms=0, **headers):
    """Send a request for a stream, whose caller has waited for some time before."""
    fields = {"x-prefix-hash": f"b{number}:50,c{number}:40", **headers}
    return await context.world.call(
        router,
        "/chat/a",
        request_id=name,
        headers=fields,
        deadline_ms=DEADLINE_MS - waited_ms,
        disconnect_after_ms=leave_ms,
    )


async def take_up(context, name, waited_ms=0, router=None):
    """Take a stream up at a router, the one that is cut off by default."""
    headers = {"last-event-id": "2", "resumes": name}
    number, again = context.prompts[name], f"{name}-again"
    router = router or context.apart
    await send(context, router, again, number, waited_ms=waited_ms, **headers)


def replica_of(context, name):
    """Return the number of the replica that a request reached last, `None` if none."""
    for number, replica in enumerate(context.scripted):
        if any(request.request_id == name for request in replica.received):
            return number
    return None


@when('messages between the routers are lost {direction}, and "v2" joins')
def cut_and_join(context, direction):
    async def cut():
        context.cuts.cut([context.apart.name], Loss(direction))
        context.world.register_replica(f"lm-{JOINING + 1}", "lm", version="v2")

    context.thread.run(cut)


@when('a stream that began at "v2" is taken up at the router that is cut off {moment}')
def taken_up_apart(context, moment):
    async def play():
        context.began = []
        for _ in range(MAX_TRIES):
            context.began = await begin_several(context, context.reader)
            if context.began:
                break
        if moment != "at once":
            await trio.sleep(int(moment.split()[0]) / 1000)
        async with trio.open_nursery() as nursery:
            for name in context.began:
                nursery.start_soon(take_up, context, name)

    context.thread.run(play)


@then('no event of it is of "v1"')
def not_joined(context):
    assert context.began
    went_on = {name: replica_of(context, f"{name}-again") for name in context.began}
    assert set(went_on.values()) <= {None, JOINING}, went_on


@then('the router that is cut off begins streams at "v2" within {span:d} s')
def begins_at_new_version(context, span):
    async def play():
        with trio.fail_after(span):
            while not await begin_several(context, context.apart):
                pass

    context.thread.run(play)


@when('"v2" joins, messages between the routers are lost both ways, and "v2" drains')
def join_cut_and_drain(context):
    async def play():
        name = f"lm-{JOINING + 1}"
        context.world.register_replica(name, "lm", version="v2")
        await trio.sleep(SETTLE_S)
        context.cuts.cut([context.apart.name], Loss.BOTH)
        context.world.register_replica(name, "lm", version="v2", state="draining")
        await trio.sleep(LEFT_S)

    context.thread.run(play)


@when(
    'streams that nominally began {span:d} ms before begin at "v1", and are taken up at the router'
    " that is cut off"
)
def begun_late_and_taken_up(context, span):
    async def play():
        first = context.count + 1
        names = [f"s{number}" for number in range(first, first + AFTER_LEAVE)]
        await begin_all(context, context.reader, names, span)
        context.began = [name for name in names if replica_of(context, name) is not None]
        assert JOINING not in {replica_of(context, name) for name in names}
        async with trio.open_nursery() as nursery:
            for name in context.began:
                nursery.start_soon(take_up, context, name, span + LEAVE_MS)

    context.thread.run(play)


@then('no event of them is of "v2"')
def none_joined(context):
    assert context.began
    went_on = {name: replica_of(context, f"{name}-again") for name in context.began}
    assert JOINING not in went_on.values(), went_on


@when("the processes of the replicas do not say whose they are for a while")
def hide_processes(context):
    for replica in context.scripted:
        replica.hides_status = True


@when("messages between the routers are lost {direction}, and streams begin meanwhile")
def cut_and_begin(context, direction):
    async def play():
        context.cuts.cut([context.apart.name], Loss(direction))
        context.statuses = {}
        first = context.count + 1
        async with trio.open_nursery() as nursery:
            for number in range(first, first + AMID_SILENCE):
                nursery.start_soon(begin_for_long, context, number)
        context.count += AMID_SILENCE
        names = [f"s{number}" for number in range(first, first + AMID_SILENCE)]
        context.began = [name for name in names if replica_of(context, name) is not None]
        assert all(context.statuses[name] == 503 for name in names if name not in context.began)

    context.thread.run(play)


async def begin_for_long(context, number, router=None):
    """Begin a stream of a new prompt, whose caller leaves late."""
    name = f"s{number}"
    context.prompts[name] = number
    router = router or context.reader
    response = await send(context, router, name, number, LEAVE_AFTER_SILENCE_MS)
    context.statuses[name] = response.status


@when("they are taken up at the router that is cut off once the processes say it again")
def taken_up_after_silence(context):
    async def play():
        for replica in context.scripted:
            replica.hides_status = False
        await trio.sleep(LEFT_S)
        async with trio.open_nursery() as nursery:
            for name in context.began:
                nursery.start_soon(take_up, context, name, LEAVE_AFTER_SILENCE_MS)

    context.thread.run(play)


@then("none that began at such a process goes on")
def silent_does_not_go_on(context):
    went_on = {name: replica_of(context, f"{name}-again") for name in context.began}
    assert set(went_on.values()) <= {None}, went_on


@when(
    "a router is cut off from the other one and from the store, and one of its replicas comes back"
    ' with "v2", the others as before'
)
def cut_from_store_and_replace(context):
    async def play():
        context.cuts.cut([context.apart.name], Loss.BOTH)
        store, _ = context.world.store_endpoints[APART_STORE]
        store.faults.silent = True
        await trio.sleep(NOTICED_S)
        for number, version in enumerate(REPLACED_BY):
            replica = context.scripted[number]
            replica.born = NEXT_BORN
            for stream in list(replica.connections):
                await stream.aclose()
            name = f"lm-{number + 1}"
            context.world.register_replica(name, "lm", version=version, born=NEXT_BORN)
        await trio.sleep(AWAY_S)

    context.thread.run(play)


@when("streams begin there, and are taken up at the other router")
def begin_apart_and_take_up(context):
    async def play():
        context.statuses = {}
        first = context.count + 1
        context.count += AFTER_LEAVE
        numbers = range(first, context.count + 1)
        async with trio.open_nursery() as nursery:
            for number in numbers:
                nursery.start_soon(begin_for_long, context, number, context.apart)
        names = [f"s{number}" for number in numbers]
        context.began = [name for name in names if replica_of(context, name) is not None]
        assert all(context.statuses[name] == 503 for name in names if name not in context.began)
        async with trio.open_nursery() as nursery:
            for name in context.began:
                nursery.start_soon(take_up, context, name, LEAVE_AFTER_SILENCE_MS, context.reader)

    context.thread.run(play)


@then("each goes on where it began, or nowhere")
def goes_on_at_same_version(context):
    went_on = {
        name: (replica_of(context, name), replica_of(context, f"{name}-again"))
        for name in context.began
    }
    moved = {name: pair for name, pair in went_on.items() if pair[1] not in (None, pair[0])}
    assert not moved, went_on
