"""Steps for decisions on relayed connections to upstreams."""

import random

import msgpack
import trio
from behave import given, then, when

from features.entry_fixtures import core_with_replicas
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.gossip.wire import LENGTH_BYTES
from skylarklift.entry.model import Endpoint, UpstreamRecord
from skylarklift.entry.relays.link_states import LinkStates
from skylarklift.entry.relays.relay_choice import RelayChoice
from skylarklift.entry.relays.relay_messages import (
    MAX_CONNECT_MS,
    RELAY_FORMAT,
    RelayReply,
    RelayRequest,
    decode_relay_reply,
    decode_relay_request,
    encode_relay_reply,
    encode_relay_request,
)
from skylarklift.entry.relays.relayed_stream import RelayedStream
from skylarklift.errors import PeerError
from skylarklift.ids import ReplicaId

PAUSE_MS = 2500
STEP_MS = 100
REGIONS = {"za": "here", "zb": "here", "far": "there"}
REQUEST = RelayRequest(ReplicaId("r0"), Endpoint("10.0.0.1", 9000), 250)
FIELDS = [RELAY_FORMAT, "r0", "10.0.0.1", 9000, 250]
REQUESTS = {
    "sound": encode_relay_request(REQUEST),
    "empty": b"",
    "port 0": msgpack.packb([*FIELDS[:3], 0, 250]),
    "port 70000": msgpack.packb([*FIELDS[:3], 70_000, 250]),
    "endless time": msgpack.packb([*FIELDS[:4], MAX_CONNECT_MS + 1]),
    "a number as name": msgpack.packb([RELAY_FORMAT, 5, *FIELDS[2:]]),
    "one item less": msgpack.packb(FIELDS[:4]),
}
REPLIES = {
    "sound": encode_relay_reply(RelayReply.BUSY),
    "empty": b"",
    "unknown word": msgpack.packb("sure"),
    "a list": msgpack.packb([["connected"]]),
}


def make_record(name="a", zone="za"):
    """Return an upstream's entry."""
    return UpstreamRecord(ReplicaId(name), "lm", "10.0.0.1", 9000, zone, 4, False, 0, 1)


@given("the links of a router")
def links_of_router(context):
    context.clock = ManualClock(10_000)
    context.links = LinkStates(context.clock)


@when("{events} follow each other, 100 ms apart")
def events_follow(context, events):
    context.began_at = context.clock.now()
    for event in events.split(", "):
        apply_event(context, *event.split())
        context.clock.advance(STEP_MS)


def apply_event(context, kind, name="a"):
    links, record = context.links, make_record(name)
    if kind == "relayed":
        links.record_relayed(record)
    elif kind == "reached":
        links.record_reached(record)
    elif kind == "pause":
        context.clock.advance(PAUSE_MS)
    elif kind in ("probed", "failed"):
        links.record_probe("za", reached=kind == "probed")


@then('the link to the zone "za" is {state}, and that to "zb" is sound')
def link_is(context, state):
    assert context.links.cut_zones() == (("za",) if state == "cut" else ())
    assert context.links.direct_share(make_record("z", "zb")) == 1.0


@when("{count:d} probes reach an upstream")
def probes_reach(context, count):
    for _ in range(count):
        context.links.record_probe("za", reached=True)


@then("{share:f} of new connections to the zone are direct")
def share_is_direct(context, share):
    assert context.links.direct_share(make_record("other")) == share


@when("open connections bring bytes {until}")
def open_connections_bring(context, until):
    context.last_bytes_ms = None if until == "never" else int(until.split()[1])


@then("open connections are {state} {after:d} ms after the cut")
def open_connections_are(context, state, after):
    now = context.clock.now()
    if context.last_bytes_ms is not None:
        context.clock.advance(context.began_at + context.last_bytes_ms - now)
        context.links.record_answer(make_record())
    context.clock.advance(context.began_at + after - context.clock.now())
    lost = context.links.open_connections_are_lost(make_record())
    assert lost == (state == "lost"), lost


@given("a router in za, with other routers {routers}")
def router_with_others(context, routers):
    clock = ManualClock(10_000)
    fleet = Fleet(clock, "own")
    context.relays = RelayChoice(clock, fleet, "za", REGIONS, random.Random(1))
    for item in routers.split(", "):
        name, _, rest = item.partition(":")
        zone, _, says = rest.partition("=")
        message = GossipMessage(
            name,
            "boot",
            "10.0.0.9:1",
            (),
            leaving=says == "leaving",
            loads={"r0": int(says)} if says.isdigit() else {},
            zone=zone,
            cut_zones=("za",) if says == "cut" else (),
        )
        fleet.record_message(message, Endpoint("10.0.0.9", 1))
        if says == "paused":
            context.relays.record_no_help(name)


@then('"{order}" are asked to relay, in this order')
@then('"" are asked to relay, in this order')
def asked_in_order(context, order=""):
    names = [peer.node for peer in context.relays.candidates(make_record())]
    assert names == order.split(), names


class PartedStream:
    """A connection that brings bytes in parts of one size, and then ends."""

    socket = None

    def __init__(self, data, size):
        self._data = data
        self._size = size

    async def receive_some(self, _limit):
        part, self._data = self._data[: self._size], self._data[self._size :]
        return part


def make_frames(text):
    """Return the bytes of frames that a test names."""
    data = b""
    for item in text.split():
        if item == "end":
            data += bytes(LENGTH_BYTES)
        elif item == "huge":
            data += b"\xff" * LENGTH_BYTES + b"abc"
        elif item == "cut":
            data = data[:-1]
        elif item != "close":
            body = item.strip('"').encode()
            data += len(body).to_bytes(LENGTH_BYTES, "big") + body
    return data


@given("a relayed connection that brings {frames} in parts of {size:d} bytes")
def relayed_connection(context, frames, size):
    context.stream = RelayedStream(PartedStream(make_frames(frames), size), "a")


@then("it is read as {read}")
def read_as(context, read):
    async def read_all():
        received = b""
        try:
            while data := await context.stream.receive_some():
                received += data
        except trio.BrokenResourceError:
            return received, "break"
        return received, "end"

    received, ending = trio.run(read_all)
    assert ", ".join(filter(None, (received.decode(), ending))) == read, (received, ending)


@then('decoding the relay {kind} "{name}" gives {result}')
def decoding_gives(context, kind, name, result):
    decode, data, sent = decode_relay_request, REQUESTS, REQUEST
    if kind == "reply":
        decode, data, sent = decode_relay_reply, REPLIES, RelayReply.BUSY
    try:
        found = decode(data[name])
    except PeerError:
        assert result == "error"
        return
    assert result == "as sent" and found == sent, found


@given("a core that knows an upstream")
def core_with_upstream(context):
    context.clock = ManualClock(10_000)
    context.core = core_with_replicas(1, context.clock)


@when("another router says that the upstream wants nothing for {span:d} ms from its relay")
def told_of_hold_off(context, span):
    context.core.apply_hold_offs({"r0": span})


@then("nothing is sent to the upstream until {span:d} ms have passed")
def held_off_until(context, span):
    core = context.core
    members = core.cluster_state.usable_members("lm")
    context.clock.advance(span - 1)
    assert core.chooser.hold_offs.active(members) == {"r0"}
    context.clock.advance(1)
    assert not core.chooser.hold_offs.active(members)
