"""Steps for the ways of a router to replicas that the soak cuts."""

import tempfile
from contextlib import suppress
from pathlib import Path

import trio
from behave import then, when

from features.steps.soak_proxy import ANSWER_TIMEOUT_S, REQUEST, SILENCE_S, echo, listen
from soak.proxy import HOST, LoopbackProxy
from soak.router_paths import Cut, RouterPaths
from soak.stream_world import StreamWorld
from standins.path_router import PATHS_SUFFIX, Redirects

ROUTER = "n1"
CONNECT_TIMEOUT_S = 0.4


async def serve_until_reset(stream):
    """Send back what comes on a connection until it ends or is reset."""
    with suppress(trio.BrokenResourceError):
        await echo(stream)


async def exchange(stream):
    """Send a request; return what became of it."""
    try:
        await stream.send_all(REQUEST)
        with trio.move_on_after(SILENCE_S):
            return "brings its answer" if await stream.receive_some() == REQUEST else "is ended"
    except trio.BrokenResourceError:
        return "is reset"
    return "brings nothing"


async def connect(redirects, port):
    """Make a connection as the router does; return what became of it."""
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(*redirects.apply((HOST, port)))
        except OSError:
            return "is refused"
        async with stream:
            return await exchange(stream)
    return "hangs"


async def play_cut(how):
    """Cut a way and restore it; return what became of an open connection and of two new ones."""
    async with trio.open_nursery() as nursery:
        with tempfile.TemporaryDirectory() as folder:
            world = StreamWorld(nursery, folder, seed=1)
            port = await listen(nursery, serve_until_reset)
            paths = RouterPaths(world, ROUTER)
            await paths.add(port)
            redirects = Redirects(Path(folder) / f"{ROUTER}{PATHS_SUFFIX}")
            stream = await trio.open_tcp_stream(*redirects.apply((HOST, port)))
            assert await exchange(stream) == "brings its answer"
            paths.cut(how)
            found = await exchange(stream), await connect(redirects, port)
            paths.restore()
            after = await connect(redirects, port)
            paths.close()
            world.stop()
        nursery.cancel_scope.cancel()
    return *found, after


@when('the way of a router to a replica is cut "{how}" while a connection is open')
def way_cut(context, how):
    context.open, context.new, context.after = trio.run(play_cut, Cut(how))


@then("the open connection {open_one}, and a new one {new_one}")
def cut_shows(context, open_one, new_one):
    assert (context.open, context.new) == (open_one, new_one), (context.open, context.new)


@then("after that a new connection brings its answer")
def way_restored(context):
    assert context.after == "brings its answer", context.after


@when("a connection is made through a link to a port that nobody listens at")
def target_refuses(context):
    async def play():
        async with trio.open_nursery() as nursery:
            world = StreamWorld(nursery, ".", seed=1)
            proxy = LoopbackProxy(world.reserve_port(), passes_resets=True)
            stream = await trio.open_tcp_stream(HOST, await listen(nursery, proxy.serve))
            with trio.fail_after(ANSWER_TIMEOUT_S):
                try:
                    context.was_reset = await stream.receive_some() is None
                except trio.BrokenResourceError:
                    context.was_reset = True
            world.stop()
            nursery.cancel_scope.cancel()

    trio.run(play)


@then("it is reset")
def connection_reset(context):
    assert context.was_reset
