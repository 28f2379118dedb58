"""Steps on authentication and frame limits, over real sockets to one peer server."""

import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import httpx
import trio
import trustme
from behave import then, when

from skylarklift.clock import LoopClock
from skylarklift.errors import PeerError
from skylarklift.generated import Address, Done, PeerSettings, Pull, TlsSettings
from skylarklift.ids import BootId, RouterId, ZoneId
from skylarklift.router import client_tls, server_tls
from skylarklift.routers.frames import FrameStream, TrafficCounter, authenticate_as_client
from skylarklift.routers.peers import PeerCounts, PeerIdentity, PeerServer, TcpPeerTransport
from standins.ports import reserve_port

KEYS = {"old": "the-old-key-of-the-fleet", "new": "the-new-key-of-the-fleet"}
FRAME_LIMIT = 4096


def make_identity(name, keys, port=0, tls=None):
    listen = Address(port=port)
    cfg = PeerSettings(
        keys=[KEYS[key] for key in keys.split(",")], listen=listen, frame_limit_bytes=FRAME_LIMIT
    )
    tls = tls or TlsSettings()
    return PeerIdentity(
        RouterId(name), BootId("b"), ZoneId("z"), cfg, client_tls(tls), server_tls(tls)
    )


async def answer_done(router, message):
    return Done(0)


@asynccontextmanager
async def open_server(keys="old", tls=None):
    port = reserve_port()
    async with trio.open_nursery() as nursery:
        server = PeerServer(make_identity("server", keys, port, tls), answer_done, PeerCounts())
        await nursery.start(server.run)
        yield port
        nursery.cancel_scope.cancel()


async def call_server(port, keys="old", tls=None):
    """Call the server as a router does; return whether it answered or refused."""
    async with trio.open_nursery() as nursery:
        transport = TcpPeerTransport(make_identity("client", keys, tls=tls), LoopClock(), nursery)
        transport.set_addresses({RouterId("server"): Address(port=port)})
        try:
            reply = await transport.call(RouterId("server"), Pull(0, 1, 1, 1), 3000)
            return "answered" if isinstance(reply, Done) else "unexpected reply"
        except PeerError:
            return "refused"
        finally:
            nursery.cancel_scope.cancel()


@when('a router with the keys "{client}" calls one with the keys "{server}"')
def step_keys(context, client, server):
    async def run():
        async with open_server(server) as port:
            return await call_server(port, client)

    context.outcome = trio.run(run)


@then("the call is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


def write_certificates(folder, authority, name):
    """Write a certificate that an authority issues; return the TLS settings with its paths."""
    certificate = authority.issue_cert("127.0.0.1")
    key, chain, root = (str(Path(folder) / f"{name}-{part}.pem") for part in ("key", "chain", "ca"))
    certificate.private_key_pem.write_to_path(key)
    certificate.cert_chain_pems[0].write_to_path(chain)
    authority.cert_pem.write_to_path(root)
    return TlsSettings(certificate=chain, key=key, authority=root)


@when("a router calls one over TLS whose certificate is of {authority}")
def step_tls(context, authority):
    client_authority, other = trustme.CA(), trustme.CA()
    with tempfile.TemporaryDirectory() as folder:
        client = write_certificates(folder, client_authority, "client")
        server_authority = client_authority if authority == "the same authority" else other
        server = write_certificates(folder, server_authority, "server")

        async def run():
            async with open_server(tls=server) as port:
                return await call_server(port, tls=client)

        context.outcome = trio.run(run)


async def send_malformed(port, kind):
    """Send malformed data; return once the server has closed the connection."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    frames = FrameStream(stream, FRAME_LIMIT, TrafficCounter())
    if kind == "a frame length over the limit":
        await stream.send_all((2**31).to_bytes(4, "big"))
    elif kind == "a frame that is no message":
        await stream.send_all((5).to_bytes(4, "big") + b"\xc1\xc1\xc1\xc1\xc1")
    elif kind == "a message before the handshake":
        await frames.send(Done(1))
    elif kind == "an incomplete frame":
        await stream.send_all((50).to_bytes(4, "big") + b"\x91")
        await stream.send_eof()
    else:
        await authenticate_as_client(frames, RouterId("client"), BootId("b"), [KEYS["old"]])
        await stream.send_all((FRAME_LIMIT + 1).to_bytes(4, "big"))
    try:
        while await stream.receive_some(4096):
            pass
    except trio.BrokenResourceError:
        pass


@when("a connection sends {data}")
def step_malformed(context, data):
    async def run():
        async with open_server() as port:
            with trio.fail_after(10):
                await send_malformed(port, data)
            return await call_server(port)

    context.outcome = trio.run(run)


@then("it is closed and the call of another router is answered")
def step_still_answered(context):
    assert context.outcome == "answered"


TOKENS = {
    "no token": {},
    "a wrong token": {"Authorization": "Bearer wrong"},
    "an empty token": {"Authorization": "Bearer"},
}


@when("the operator API is called with {token}")
def step_operator_token(context, token):
    url = f"{context.deployment.operator().base_url}/v1/configuration"
    context.status = httpx.get(url, headers=TOKENS[token], trust_env=False).status_code


@then("the status is {status:d}")
def step_status(context, status):
    assert context.status == status, context.status
