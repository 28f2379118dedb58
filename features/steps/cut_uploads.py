"""Steps for answers that are cut by a reset while a long request is sent."""

from functools import partial

import trio
from behave import given, then, when

from skylarklift.entry.relays.relay_server import forward, set_linger
from skylarklift.entry.relays.relayed_stream import RelayedStream
from skylarklift.entry.requests.http_connection import RESET_ON_CLOSE, HttpConnection, connect
from skylarklift.errors import TransportError
from skylarklift.upstreams.client import UpstreamClient
from skylarklift.upstreams.failures import UpstreamError

HOST = "127.0.0.1"
UPLOAD = b"u" * 8_000_000
READ_BYTES = 65536
MAX_BODY_BYTES = 1_000_000
PART = b'{"part": 1}\n'
BODY = PART + b'{"part": 2}\n'
HEADS = {
    "without a length": b"",
    "without a length, as JSON": b"content-type: application/json\r\n",
    "with a length": b"content-length: %d\r\n" % len(BODY),
    "in chunks": b"transfer-encoding: chunked\r\n",
}
LONGEST_S = 10
CONNECT_MS = 1000
# What was written has arrived, and the reset after it, by then.
SETTLE_S = 0.05


def make_answer(framing, extent):
    """Return the bytes of an answer, all of them or those up to the end of its first part."""
    head = b"HTTP/1.1 200 OK\r\n" + HEADS[framing] + b"\r\n"
    if framing != "in chunks":
        return head + (BODY if extent == "all" else PART)
    chunks = b"%x\r\n%s\r\n" % (len(PART), PART)
    if extent == "all":
        rest = BODY[len(PART) :]
        chunks += b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest)
    return head + chunks


class Upstream:
    """Answers each connection's first request; `reads_all` is whether it reads it whole before."""

    def __init__(self, answer, *, ending, reads_all=False):
        self._answer = answer
        self._ending = ending
        self._reads_all = reads_all

    async def serve(self, stream):
        received = await stream.receive_some(READ_BYTES)
        while self._reads_all and len(received) < len(UPLOAD):
            received += await stream.receive_some(READ_BYTES)
        await stream.send_all(self._answer)
        if self._ending == "keeps the connection":
            await trio.sleep_forever()
        if self._ending == "resets the connection":
            await trio.sleep(SETTLE_S)
            set_linger(stream, RESET_ON_CLOSE)
        stream.socket.close()


@given("an upstream that answers a long upload {framing} with {extent}, and {ending}")
def upstream_cuts(context, framing, extent, ending):
    assert ending in ("resets the connection", "keeps the connection"), ending
    context.upstream = Upstream(make_answer(framing, extent), ending=ending)


@given("an upstream that reads a long upload, answers without a length, and closes the connection")
def upstream_ends(context):
    answer = make_answer("without a length", "all")
    context.upstream = Upstream(answer, ending="closes", reads_all=True)


@given("an upstream that answers with the status {status}")
def upstream_with_status(context, status):
    answer = b"HTTP/1.1 %s Odd\r\ncontent-length: 0\r\n\r\n" % status.encode()
    context.upstream = Upstream(answer, ending="keeps the connection")


def run_with_upstream(context, work, *args):
    """Return what the work returns, which gets the port of the upstream."""

    async def main():
        async with trio.open_nursery() as nursery:
            port = await listen(nursery, context.upstream.serve)
            with trio.fail_after(LONGEST_S):
                result = await work(nursery, port, *args)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


async def listen(nursery, serve):
    """Serve connections on a free port; return it."""
    listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host=HOST))
    return listeners[0].socket.getsockname()[1]


async def serve_relay(port, stream):
    """Relay one connection to the upstream, as a router does once it has connected."""
    upstream = await connect(HOST, port, CONNECT_MS)
    set_linger(stream, RESET_ON_CLOSE)
    set_linger(upstream, RESET_ON_CLOSE)
    try:
        await forward(stream, upstream)
    finally:
        upstream.socket.close()
        stream.socket.close()


async def open_connection(nursery, port, way):
    """Return a connection of the entry router to the upstream."""
    if way == "a direct connection":
        return HttpConnection(await connect(HOST, port, CONNECT_MS), "upstream")

    async def relay(stream):
        await serve_relay(port, stream)

    relay_port = await listen(nursery, relay)
    stream = RelayedStream(await connect(HOST, relay_port, CONNECT_MS), "relay")
    return HttpConnection(stream, "upstream")


async def upload(nursery, port, way, body):
    """Send one request; return the body of its answer, `None` if that is broken."""
    if way == "the deployment's client":
        return await upload_by_client(port, body)
    conn = await open_connection(nursery, port, way)
    try:
        return await upload_on(conn, body)
    except TransportError:
        return None
    finally:
        conn.abort()


async def upload_on(conn, body):
    """Send one request as an attempt does, and return the body of its answer."""
    await conn.send(b"POST", b"/a", [], body)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.send_remaining_body)
        # The write has failed before the head of the answer is read.
        await trio.sleep(3 * SETTLE_S)
        head = await read_head(conn)
        nursery.cancel_scope.cancel()
    if isinstance(head, TransportError):
        raise head
    return await conn.read_all(MAX_BODY_BYTES)


async def read_head(conn):
    """Return the head of an answer, or the error, which must not end the nursery."""
    try:
        return await conn.read_head()
    except TransportError as exc:
        return exc


async def upload_by_client(port, body):
    """Send one request by the client of the own deployment."""
    client = UpstreamClient()
    try:
        response = await client.send_request("POST", f"http://{HOST}:{port}/a", {}, body)
        return (await client.read_response(response)).body
    except UpstreamError as exc:
        assert exc.sent, exc
        return None
    finally:
        await client.close()


@when("8 MB are sent to it {count:d} times over {way}")
def uploads(context, count, way):
    async def send_all(nursery, port):
        return [await upload(nursery, port, way, UPLOAD) for _ in range(count)]

    context.answers = run_with_upstream(context, send_all)


@when("a request is sent to it over {way}")
def one_request(context, way):
    async def send(nursery, port):
        return [await upload(nursery, port, way, b"small")]

    context.answers = run_with_upstream(context, send)


@then("each of the answers is {result}")
def answers_are(context, result):
    expected = BODY if result == "whole" else None
    assert all(answer == expected for answer in context.answers), context.answers


@when("8 MB are sent to it, and the write {fate}")
def write_ends(context, fate):
    assert fate in ("fails", "is cancelled"), fate

    async def send(nursery, port):
        conn = await open_connection(nursery, port, "a direct connection")
        try:
            assert await upload_on(conn, UPLOAD) == BODY
            return conn.prepare_next_request()
        finally:
            conn.abort()

    context.is_reusable = run_with_upstream(context, send)


@then("the connection cannot be used again")
def not_reusable(context):
    assert context.is_reusable is False
