"""Steps for the size of messages between routers, and for what may be left out of them."""

import ast
from dataclasses import replace

from behave import given, then, when

from features.entry_fixtures import new_core
from skylarklift.clock import Millis
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.silences import Silence
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.model import Endpoint
from skylarklift.entry.state.rows import NO_ERA, TableSummary

SUMMARY = TableSummary(41_000, 40_990, 2**60, 200, NO_ERA)
RECEIVERS = {"those that were sent others": 5000, "those that have just started": 0}


@given("the message of a router that has nothing to report")
def idle_message(context):
    context.message = GossipMessage("edge-1", "0a1b2c3d", "10.1.0.9:7020", (SUMMARY, SUMMARY))


@given("its {field} is {value}")
def set_field(context, field, value):
    context.message = replace(context.message, **{field: ast.literal_eval(value)})


@when("it is sent as a datagram")
def send_message(context):
    context.data = encode_gossip(context.message)


@then("the datagram takes at most {limit:d} bytes")
def check_size(context, limit):
    assert len(context.data) <= limit, len(context.data)


@then("it is read as the same message")
def check_read(context):
    found = decode_gossip(context.data)
    assert found == context.message, found


@given("a router that has heard {peers:d} others and remembers a silence")
def router_with_silence(context, peers):
    context.core = new_core()
    context.core.clock.advance(60_000)
    for number in range(peers):
        context.core.fleet.add(f"n{number}", Endpoint("10.0.0.1", 7000 + number))
    now = context.core.clock.now()
    context.core.fleet.silences.record(Silence(Millis(now - 9000), Millis(now - 4000)))
    context.peering = Peering(context.core, members=None)


@when("it makes its messages of 8 rounds to {receivers}")
def make_messages(context, receivers):
    context.messages = []
    for _ in range(8):
        context.peering._rounds += 1
        context.messages.append(context.peering._make_message(Millis(RECEIVERS[receivers])))


@then("{told:d} of them tell the silence")
def check_told(context, told):
    found = sum(bool(message.silences) for message in context.messages)
    assert found == told, found
