"""Steps for requests to relay that no router sends."""

import socket
from contextlib import suppress

import msgpack
import trio
from behave import then, when

from features.steps.cut_off_routers import send_all
from skylarklift.entry.requests.http_connection import RESET_ON_CLOSE
from standins.entry_world import HOST
from standins.replica import STATUS_PATH

RELAY_FORMAT = 103
CONNECT_MS = 250
LENGTH_BYTES = 4
REPLY_LIMIT_S = 3
READ_BYTES = 65536
STATUS_QUESTION = b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % STATUS_PATH


async def make_targets(context):
    """Return the values of requests to relay, by what they ask for; open a port that counts."""
    fleet, context.trapped = context.fleet, []

    async def trap(stream):
        context.trapped.append(stream.socket.getpeername())

    trap_port = await fleet.world.listen("trap", trap)
    replica = fleet.world.ports["lm-1"]
    store = fleet.world.store_endpoints[0][1]
    callers = fleet.routers["b"].caller_port
    return {
        "a replica": ("lm-1", HOST, replica, CONNECT_MS),
        "a port that is no replica's": ("lm-1", HOST, trap_port, CONNECT_MS),
        "an unknown replica": ("lm-99", HOST, trap_port, CONNECT_MS),
        "the store": ("lm-1", HOST, store, CONNECT_MS),
        "another router's callers' port": ("lm-1", HOST, callers, CONNECT_MS),
        "its own peers' port": ("lm-1", HOST, fleet.peer_ports["a"], CONNECT_MS),
        "a replica under another one's name": ("till-1", HOST, replica, CONNECT_MS),
        "a port of 0": ("lm-1", HOST, 0, CONNECT_MS),
        "a port that is a text": ("lm-1", HOST, str(replica), CONNECT_MS),
        "a host name for a replica": ("lm-1", "localhost", replica, CONNECT_MS),
        "a replica within an endless time": ("lm-1", HOST, replica, 10**9),
        "too few values": ("lm-1", HOST),
        "a frame that breaks off": ("lm-1", HOST, replica, CONNECT_MS),
        "a frame without end": ("lm-1", HOST, replica, CONNECT_MS),
    }


def make_frame(target, values):
    """Return the frame of a request to relay."""
    body = msgpack.packb((RELAY_FORMAT, *values))
    length = len(body) + (1 if target == "a frame that breaks off" else 0)
    if target == "a frame without end":
        length = 2 ** (8 * LENGTH_BYTES) - 1
    return length.to_bytes(LENGTH_BYTES, "big") + body


@when("a request to relay to {target} comes to the {port} of a router")
def relay_asked_for(context, target, port):
    fleet = context.fleet
    context.target, context.port = target, port
    context.runs_before = len(fleet.runs())

    async def play():
        values = (await make_targets(context))[target]
        at = fleet.peer_ports["a"] if port == "peers' port" else fleet.routers["a"].caller_port
        stream = await trio.open_tcp_stream(HOST, at)
        async with stream:
            await stream.send_all(make_frame(target, values))
            if target.startswith("a frame"):
                # The router may have reset the connection by its length alone.
                with suppress(OSError, trio.BrokenResourceError):
                    await stream.send_eof()
            context.reply = await read_reply(stream)
            context.status = b""
            if is_connected(context.reply):
                await stream.send_all(STATUS_QUESTION)
                context.status = await read_reply(stream)

    context.thread.run(play)


async def read_reply(stream):
    """Return the bytes that come next, none if the connection ends."""
    with trio.move_on_after(REPLY_LIMIT_S):
        try:
            return await stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            return b""
    return None


def is_connected(reply):
    """Return whether a reply says that the router has connected."""
    return bool(reply) and b"connected" in reply


@then("it is refused, no connection is made for it, and the router serves on")
def is_refused(context):
    fleet = context.fleet
    assert context.reply is not None, "neither a reply nor an end"
    assert not is_connected(context.reply), context.reply
    if context.port == "callers' port":
        assert context.reply.startswith(b"HTTP/1.1 400 "), context.reply
    assert not context.trapped, context.trapped
    assert len(fleet.runs()) == context.runs_before
    reading = context.thread.run(fleet.read, "a", "/check/a")
    assert reading.served, reading
    assert fleet.routers["a"].process.poll() is None


@then("it is connected, and the replica answers")
def is_connected_and_answers(context):
    assert is_connected(context.reply), context.reply
    assert context.status and b'"born":1' in context.status, context.status


@when("{count:d} requests to relay to a replica come to a router, which are {state}")
def many_asked_for(context, count, state):
    fleet = context.fleet
    context.held = []

    async def play():
        context.values = (await make_targets(context))["a replica"]
        target = "a frame that breaks off" if state.startswith("broken") else "a replica"
        for _ in range(count):
            stream = await trio.open_tcp_stream(HOST, fleet.peer_ports["a"])
            await stream.send_all(make_frame(target, context.values))
            if state == "reset at once":
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                stream.socket.close()
            context.held.append(stream)
        await trio.sleep(1)

    context.thread.run(play)


@then(
    "at least {least:d} of {requests:d} requests of its callers succeed, and later requests to "
    "relay are served"
)
def serves_beside(context, least, requests):
    fleet = context.fleet

    async def play():
        readings = await send_all(context, ["a"], requests)
        for stream in context.held:
            stream.socket.close()
        await trio.sleep(1)
        async with await trio.open_tcp_stream(HOST, fleet.peer_ports["a"]) as stream:
            await stream.send_all(make_frame("a replica", context.values))
            return readings, await read_reply(stream)

    readings, reply = context.thread.run(play)
    served = sum(reading.served for _, reading in readings)
    assert served >= least, (served, readings)
    assert is_connected(reply), reply
    assert fleet.routers["a"].process.poll() is None
