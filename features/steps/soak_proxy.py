"""Steps for the proxy of the soak."""

from functools import partial

import trio
from behave import then, when

from soak.proxy import HOST, LoopbackProxy

REQUEST = b"request"
SILENCE_S = 0.2
ANSWER_TIMEOUT_S = 5


async def echo(stream):
    """Send back what comes on a connection."""
    async for data in stream:
        await stream.send_all(data)


async def listen(nursery, handler):
    """Start a server and return its port."""
    (listener,) = await nursery.start(partial(trio.serve_tcp, handler, 0, host=HOST))
    return listener.socket.getsockname()[1]


async def is_silent(stream):
    """Return whether nothing comes on a connection."""
    with trio.move_on_after(SILENCE_S) as scope:
        await stream.receive_some()
    return scope.cancelled_caught


async def receive(stream):
    """Return the next bytes of a connection, none at its end."""
    with trio.fail_after(ANSWER_TIMEOUT_S):
        return await stream.receive_some()


async def play(closes):
    """Freeze an open connection; return its silence, a new one's answer, and what follows."""
    async with trio.open_nursery() as nursery:
        proxy = LoopbackProxy(await listen(nursery, echo))
        port = await listen(nursery, proxy.serve)
        frozen = await trio.open_tcp_stream(HOST, port)
        await frozen.send_all(REQUEST)
        assert await receive(frozen) == REQUEST
        proxy.freeze()
        await frozen.send_all(REQUEST)
        fresh = await trio.open_tcp_stream(HOST, port)
        await fresh.send_all(REQUEST)
        silent, answer = await is_silent(frozen), await receive(fresh)
        if closes:
            proxy.reset()
        proxy.thaw()
        follows = await receive(frozen)
        nursery.cancel_scope.cancel()
    return silent, answer, follows


@when("the open connection of a link is frozen, and later {goes_on}")
def connection_frozen(context, goes_on):
    closes = {"thawed": False, "closed": True}[goes_on]
    context.silent, context.answer, context.follows = trio.run(play, closes)


@then("it brings nothing while it is frozen, and a new connection brings its answer")
def only_new_one_answers(context):
    assert context.silent and context.answer == REQUEST, (context.silent, context.answer)


@then("then it brings {what}")
def frozen_brings(context, what):
    assert context.follows == {"its answer": REQUEST, "its end": b""}[what], context.follows
