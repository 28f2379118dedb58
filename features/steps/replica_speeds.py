"""Steps for replicas whose work takes longer than usual."""

import msgpack
from behave import given, then, when

from features.entry_fixtures import choose, core_with_replicas, new_call
from features.release_fixtures import EMPTY_SUMMARIES
from skylarklift.clock import ManualClock
from skylarklift.entry.answered_loads import make_load_messages
from skylarklift.entry.gauges import update_gauges
from skylarklift.entry.gossip.fleet import GossipMessage, Peer
from skylarklift.entry.gossip.wire import SLOW_REPLICAS_KEY, decode_gossip, encode_gossip
from skylarklift.entry.model import Endpoint, ReplicaLoad
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.placement.replica_speeds import ReplicaSpeeds, SlowReplica
from skylarklift.errors import PeerError

START_MS = 100_000
# The index of the additional fields in a gossip message.
EXTRAS_INDEX = 10


def message_of(node, **fields):
    """Return a gossip message of a router."""
    return GossipMessage(node, "b", "", EMPTY_SUMMARIES, **fields)


@when('the figures "{figures}" of a replica arrive, in percent at milliseconds')
@when('the figures "" of a replica arrive, in percent at milliseconds')
def read_figures(context, figures=""):
    context.clock = ManualClock(START_MS)
    context.speeds = ReplicaSpeeds(context.clock)
    for item in figures.split():
        moment, percent = map(int, item.split(":"))
        context.clock.advance(START_MS + moment - context.clock.now())
        context.speeds.record("r0", percent)


@when("another router reports {percent:d} percent at the replica, {age:d} ms ago")
def apply_report(context, percent, age):
    context.speeds.apply_report(SlowReplica("r0", percent, age))


@then("its slowdown at {moment:d} ms is {slowdown:g}")
def check_slowdown(context, moment, slowdown):
    context.clock.advance(START_MS + moment - context.clock.now())
    found = context.speeds.slowdown("r0")
    assert found >= 1 and abs(found - slowdown) < 0.001, found
    listed = context.speeds.slowdowns()
    assert listed == ({"r0": found} if found > 1 else {}), listed


@when("a figure of {least:d} to {most:d} percent arrives from each of {count:d} replicas")
def read_many(context, least, most, count):
    context.speeds = ReplicaSpeeds(ManualClock(START_MS))
    for number in range(count):
        context.speeds.record(f"r{number}", least + number % (most - least + 1))


@then("it reports {count:d} replicas, the slowest first")
def check_reports(context, count):
    percents = [item.work_percent for item in context.speeds.reports()]
    assert len(percents) == count and percents == sorted(percents, reverse=True), percents
    slowest = max(context.speeds.slowdowns().values())
    assert abs(percents[0] - 100 * slowest) <= 1, (percents, slowest)


@then("it keeps {count:d} replicas")
def check_count(context, count):
    assert len(context.speeds.slowdowns()) == count, len(context.speeds.slowdowns())


@given("a replica whose last answer to one of two routers named {percent:d} percent")
def two_routers(context, percent):
    context.clock = ManualClock(START_MS)
    context.pair = [ReplicaSpeeds(context.clock), ReplicaSpeeds(context.clock)]
    context.pair[0].record("r0", percent)


@when("they exchange reports each {gap:d} ms for {span:d} ms")
def exchange(context, gap, span):
    context.history = []
    for _ in range(span // gap):
        for sender, receiver in (context.pair, context.pair[::-1]):
            for report in sender.reports():
                receiver.apply_report(report)
        moment = context.clock.now() - START_MS
        context.history.append((moment, max(item.slowdown("r0") for item in context.pair)))
        context.clock.advance(gap)


@then("none of them had a slowdown above 1 from {moment:d} ms on")
def check_history(context, moment):
    assert context.history[0][1] > 1
    late = [item for item in context.history if item[0] >= moment]
    assert late and all(slowdown == 1 for _, slowdown in late), late


@given(
    "{count:d} replicas of which the one that a chat prefers has {load:d} requests, "
    "the others {others:d} each"
)
def loaded_replicas(context, count, load, others):
    context.clock = ManualClock(START_MS)
    context.core = core = core_with_replicas(count, context.clock)
    context.call = new_call("base:100,s1:2000,own:30")
    context.choice = choose(core, context.call)
    loads = {f"r{number}": others for number in range(count)}
    loads[context.choice.upstream.record.replica] = load
    core.fleet.record_message(message_of("n1", loads=loads), Endpoint("127.0.0.2", 1))


@given("the others have answered that they hold {load:d} requests")
def others_answered(context, load):
    chooser, own = context.core.chooser, context.choice.upstream.record.replica
    for replica in context.core.cluster_state.upstreams:
        if replica != own:
            chooser.observed_loads.apply_report(ObservedLoad(replica, load, 0))


@when('its answers name "{percents}" percent')
@when('its answers name "" percent')
def answers_name(context, percents=""):
    for _ in range(5):
        for percent in percents.split():
            context.core.record_observed_load(context.choice, ReplicaLoad(0, 0, 64, int(percent)))


@given("a router that knows of a busy replica and a slow one")
def busy_and_slow(context):
    context.core = core_with_replicas(2, ManualClock(START_MS))
    chooser = context.core.chooser
    chooser.observed_loads.apply_report(ObservedLoad("r0", 90, 10, True))
    chooser.speeds.apply_report(SlowReplica("r1", 250, 10))


@when("it sends a message about loads to a router {release}")
def send_loads(context, release):
    peer = Peer("n1", Endpoint("127.0.0.2", 1), START_MS)
    if release != "that was not heard":
        data = encode_gossip(message_of("n1"))
        if release == "of the release before":
            data = with_field(data, "absent")
        peer.last_message = decode_gossip(data)
    (context.sent,) = make_load_messages(context.core, [peer])


@then("the message has {count:d} items, and names the busy replica")
def check_message(context, count):
    items = msgpack.unpackb(context.sent[1])
    assert len(items) == count and items[1][0][0] == "r0", items
    assert count == 2 or items[2][0][0] == "r1", items


def number_or_text(text):
    """Return a number as routers send it, and other text as it is."""
    return int(text) if text.lstrip("-").isdigit() else text


def with_field(data, field):
    """Return a gossip message with another field of slow replicas."""
    items = msgpack.unpackb(data)
    extras = items[EXTRAS_INDEX]
    del extras[SLOW_REPLICAS_KEY]
    if field != "absent":
        rows = field.split() if field != "empty" else []
        extras[SLOW_REPLICAS_KEY] = [[*map(number_or_text, row.split(":"))] for row in rows]
    return msgpack.packb(items)


@when('gossip arrives whose field of slow replicas is "{field}"')
def read_gossip(context, field):
    data = with_field(encode_gossip(message_of("n1")), field)
    try:
        slow = decode_gossip(data).slow_replicas
    except PeerError:
        context.known = "refused"
        return
    context.known = " ".join(f"{item.replica}:{item.work_percent}:{item.age_ms}" for item in slow)


@then('it knows of the slow replicas "{known}"')
@then('it knows of the slow replicas ""')
def check_known(context, known=""):
    assert context.known == known, context.known


@then("its metrics name the slowdown of the slow replica only")
def check_metrics(context):
    update_gauges(context.core)
    lines = [line for line in context.core.metrics.render().splitlines() if "slowdown" in line]
    assert any("r1" in line for line in lines) and not any("r0" in line for line in lines), lines
