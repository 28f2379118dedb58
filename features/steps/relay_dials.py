"""Steps for dials by way of other routers."""

import os
import random
from contextlib import suppress
from functools import partial
from unittest.mock import patch

import trio
from behave import given, then, when

from features.entry_fixtures import RecordingEventLog
from skylarklift.clock import LoopClock
from skylarklift.entry.gossip.fleet import Peer
from skylarklift.entry.gossip.wire import receive_frame, send_frame
from skylarklift.entry.metrics import Metrics
from skylarklift.entry.model import Endpoint, UpstreamRecord
from skylarklift.entry.relays.dialer import MAX_RELAYS_ASKED, Dialer
from skylarklift.entry.relays.link_states import LinkStates
from skylarklift.entry.relays.relay_messages import RelayReply, encode_relay_reply
from skylarklift.errors import ConnectFailed, LocalShortage
from skylarklift.ids import ReplicaId
from soak.router_paths import BlackHole
from standins.ports import HOST, release_ports, reserve_port

MAX_REQUEST_BYTES = 4096
TIMEOUT_MS = 400
SETTLE_S = 0.3


class SomeRelays:
    """A choice of relays at one address."""

    def __init__(self, address):
        self._peers = [Peer(f"n{n}", address, 0) for n in range(MAX_RELAYS_ASKED)]

    def candidates(self, _record):
        return self._peers

    def knows_others(self):
        return True

    def record_no_help(self, node):
        """Record nothing."""


def make_dialer(relay_port):
    """Return a dialer whose relays listen at one port."""
    clock, log = LoopClock(), RecordingEventLog()
    relays = SomeRelays(Endpoint(HOST, relay_port))
    return Dialer(clock, LinkStates(clock), relays, log, Metrics(), random.Random(1))


def make_record(port):
    """Return the entry of an upstream at a port."""
    return UpstreamRecord(ReplicaId("r0"), "lm", HOST, port, "za", 4, False, 0, 1)


def count_descriptors():
    """Return how many descriptors this process has open."""
    return len(os.listdir("/proc/self/fd"))


@given("a dialer whose upstream {upstream}, and relays that answer after {delay:d} ms")
def dialer_with_relays(context, upstream, delay):
    context.delay_s = delay / 1000
    context.upstream_port = reserve_port()
    context.cleanups = [lambda: release_ports([context.upstream_port])]
    if upstream == "accepts no connection":
        hole = BlackHole()
        context.cleanups.append(hole.close)
        context.record = make_record(hole.port)
    else:
        context.record = make_record(context.upstream_port)


@when("{count:d} dials are cancelled, each a little later than the one before, over {span:d} ms")
def dials_cancelled(context, count, span):
    async def relay(stream):
        with suppress(trio.BrokenResourceError):
            # A dial that is cancelled resets its connection.
            await receive_frame(stream, MAX_REQUEST_BYTES)
            await trio.sleep(context.delay_s)
            await send_frame(stream, encode_relay_reply(RelayReply.CONNECTED))
            await stream.receive_some(1)

    async def dial(dialer, number):
        with trio.move_on_after(number / count * span / 1000):
            stream = await dialer.dial(context.record, TIMEOUT_MS)
            stream.socket.close()

    async def play():
        async with trio.open_nursery() as nursery:
            listener = (await nursery.start(partial(trio.serve_tcp, relay, 0, host=HOST)))[0]
            dialer = make_dialer(listener.socket.getsockname()[1])
            context.before = count_descriptors()
            for number in range(count):
                await dial(dialer, number)
            await trio.sleep(SETTLE_S)
            context.after = count_descriptors()
            nursery.cancel_scope.cancel()

    trio.run(play)


@then("no connection stays open")
def none_stays_open(context):
    assert context.after == context.before, (context.before, context.after)


@given("a dialer whose upstream refuses, and no descriptor for its relays")
def dialer_without_descriptors(context):
    context.record = make_record(1)


@when("a dial is made")
def dial_is_made(context):
    failures = [ConnectFailed("refused")] + [LocalShortage("none")] * MAX_RELAYS_ASKED

    async def play():
        with patch("skylarklift.entry.relays.dialer.connect", side_effect=failures):
            await make_dialer(1).dial(context.record, TIMEOUT_MS)

    context.failure = None
    try:
        trio.run(play)
    except ConnectFailed as exc:
        context.failure = exc


@then("it fails as a connection that cannot be made")
def fails_as_connection(context):
    assert context.failure is not None
