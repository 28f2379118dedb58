"""Steps for requests that leave the router's zone."""

import random
from unittest.mock import patch

import trio
import trio.testing
from behave import given, then, when

from features.entry_fixtures import (
    ZONES,
    RecordingEventLog,
    apply_rows,
    choose,
    new_call,
    new_core,
    parse_yes_no,
    plan_data,
    upstream_data,
)
from skylarklift.clock import ManualClock
from skylarklift.entry.gauges import update_gauges
from skylarklift.entry.metrics import Metrics
from skylarklift.entry.model import UpstreamRecord, Workspace
from skylarklift.entry.placement.prefixes import Placement
from skylarklift.entry.placement.zone_links import ZoneLinks
from skylarklift.entry.placement.zone_pressure import ZoneLoad, ZonePressure
from skylarklift.entry.placement.zone_spill import RequestCost, SpillState, ZoneSpill
from skylarklift.entry.relays.dialer import Dialer
from skylarklift.entry.relays.link_states import LinkStates
from skylarklift.entry.state.rows import RowTable
from skylarklift.errors import ConnectFailed

SLOTS = 100
MS_PER_S = 1000
SERVICE = "lm"
OWN_ZONE = "cape-a"
OVERLOAD = 40


def learn_link(links, zone, rtt_ms):
    for _ in range(3):
        links.record(zone, rtt_ms)


def format_rtt(links, zone):
    rtt_ms = links.rtt_ms(zone)
    return "unknown" if rtt_ms is None else f"{rtt_ms:.1f}"


# Links.


@given('connections to a zone that took "{times}" ms')
def connections_made(context, times):
    context.clock = ManualClock(10_000)
    context.links = ZoneLinks(context.clock)
    for item in times.split(","):
        context.links.record("z", float(item))


@when("the times are {age:d} ms old")
def time_passes(context, age):
    context.clock.advance(age)


@then('the round trip to the zone is "{rtt}" ms, and weighed: {weighed}')
def round_trip_is(context, rtt, weighed):
    assert format_rtt(context.links, "z") == rtt, context.links.rtt_ms("z")
    assert context.links.is_long("z") == parse_yes_no(weighed)


@when("{count:d} connections are made to each of {zones:d} zones")
def connections_to_zones(context, count, zones):
    context.links = ZoneLinks(ManualClock(10_000))
    for number in range(zones):
        for _ in range(count):
            context.links.record(f"z{number}", 5.0)


@then("the round trips of {zones:d} zones are known, from at most {most:d} times each")
def zones_known(context, zones, most):
    assert len(context.links.known()) == zones
    assert max(map(len, context.links._samples.values())) <= most


@when("a router makes {count:d} {way} connections that take {span:d} ms each")
def router_connects(context, count, way, span):
    async def connect(host, port, timeout_ms):
        await trio.sleep(span / MS_PER_S)
        if way == "failed":
            raise ConnectFailed("refused")

    async def run():
        for _ in range(count):
            try:
                await dialer._dial_directly(record, 1000)
            except ConnectFailed:
                assert way == "failed"

    clock = ManualClock(10_000)
    context.links = ZoneLinks(clock)
    rng = random.Random(1)
    args = (LinkStates(clock), None, RecordingEventLog(), Metrics(), rng, context.links)
    dialer = Dialer(clock, *args)
    record = UpstreamRecord("r0", SERVICE, "127.0.0.1", 1, "z", 4, False, 0, 1)
    with patch("skylarklift.entry.relays.dialer.connect", connect):
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the measured round trip is "{rtt}" ms')
def measured_round_trip(context, rtt):
    assert format_rtt(context.links, "z") == rtt, context.links.rtt_ms("z")


# The part that may leave.


def zone_load(pressure):
    """Return the load of a zone of a pressure, `-` without replicas."""
    if pressure == "-":
        return ZoneLoad()
    return ZoneLoad(float(pressure) * SLOTS, SLOTS, 10)


@given("the part {part:g} may leave")
def part_may_leave(context, part):
    context.state, context.now, context.parts = SpillState(10_000, part), 10_000, []


@when('the pressures are "{pressures}", each for a second')
def pressures_follow(context, pressures, step_ms=MS_PER_S):
    for item in pressures.split(","):
        own, others = map(zone_load, item.split("/"))
        context.now += step_ms
        context.state.update(ZonePressure(own, others), context.now)
        context.parts.append(context.state.part)


@when('the pressures are "{pressures}", after a pause of {span:d} s')
def pressures_after_pause(context, pressures, span):
    pressures_follow(context, pressures, span * MS_PER_S)


@then('the parts that may leave are "{parts}"')
def parts_are(context, parts):
    assert [f"{part:.2f}" for part in context.parts] == [
        f"{float(item):.2f}" for item in parts.split(",")
    ], context.parts


# Penalties and holders.


@given(
    "a link of {rtt:g} ms, and the part {part:g} of a zone with {slots:d} slots a replica may leave"
)
def link_and_part(context, rtt, part, slots):
    clock = ManualClock(10_000)
    links = ZoneLinks(clock)
    if rtt:
        learn_link(links, "cape-b", rtt)
    context.spill = ZoneSpill(clock, OWN_ZONE, links)
    pressure = ZonePressure(ZoneLoad(0, 3 * slots, 3), ZoneLoad(0, 6 * slots, 6))
    context.spill._services[SERVICE] = SpillState(clock.now(), part, False, pressure)


@then("the penalty of another zone for {size:d} bytes is {penalty:g}")
def penalty_is(context, size, penalty):
    value = context.spill.penalty(SERVICE, "cape-b", RequestCost("q", size))
    assert abs(value - penalty) < 0.001, value


@then("the penalty of the own zone is {penalty:g}")
def own_penalty_is(context, penalty):
    assert context.spill.penalty(SERVICE, OWN_ZONE, RequestCost("q", 500_000)) == penalty


@then("a holder there of {tokens:d} tokens is worth the way for {size:d} bytes: {pays}")
def holder_pays(context, tokens, size, pays):
    zones = context.spill.chat_zones(SERVICE, RequestCost("q", size, tokens))
    assert ("cape-b" not in zones.unpaid) == parse_yes_no(pays)


# Choices.


def router_with_links(zone, replicas, rtt_ms, **fields):
    core = new_core(ManualClock(10_000), zone=zone)
    apply_rows(core, RowTable.OPERATOR, 1, {"config": plan_data()}, complete=True)
    rows = {
        f"r{n}": upstream_data(zone=ZONES[n % 3], port=9000 + n, **fields) for n in range(replicas)
    }
    apply_rows(core, RowTable.UPSTREAMS, 1, rows, complete=True)
    for other in ZONES:
        learn_link(core.chooser.zone_spill.links, other, rtt_ms if other != zone else 0.2)
    return core


def replicas_of(core, zone):
    upstreams = core.cluster_state.upstreams
    return [name for name, item in upstreams.items() if item.record.zone == zone]


@given('a router in "{zone}" before {replicas:d} replicas, with links of {rtt:g} ms')
def router_before_replicas(context, zone, replicas, rtt):
    context.core = router_with_links(zone, replicas, rtt)
    context.workspace = None


@given('the state of the zones "{state}"')
def state_of_zone(context, state):
    core = context.core
    own = replicas_of(core, OWN_ZONE)
    if state == "cape-a is evacuated":
        apply_rows(core, RowTable.OPERATOR, 2, {f"evacuate/{OWN_ZONE}": b"{}"})
    elif state == "the own zone is overloaded":
        core.chooser.in_flight.update({name: OVERLOAD for name in own})
    elif state == "the own zone has 1 slot":
        rows = {n: upstream_data(zone=OWN_ZONE, port=9000 + int(n[1:]), slots=1) for n in own}
        apply_rows(core, RowTable.UPSTREAMS, 2, rows)
        core.chooser.in_flight.update({name: 1 for name in own})
    elif state == "only cape-b is allowed":
        core.chooser._regions = {zone: zone for zone in ZONES}
        context.workspace = Workspace("w1", None, ("cape-b",))
    elif state == "the own zone asks to wait":
        for name in own:
            core.chooser.hold_offs.record(core.cluster_state.upstreams[name].record, 1000)
    else:
        assert state == "nothing", state


def choose_for(core, number, workspace=None):
    call = new_call(f"all:500,s{number}:600,own:130", request=f"q{number}")
    route = core.cluster_state.plan.route("app.example", "/chat/x")
    return call, core.chooser.choose(call, route, SERVICE, (), workspace)


@when("{count:d} chats come")
def chats_come(context, count):
    context.choices = [choose_for(context.core, n, context.workspace)[1] for n in range(count)]


@then("all chats go to {zones}")
def chats_go_to(context, zones):
    found = {choice.upstream.record.zone for choice in context.choices}
    assert found == set(zones.split()), found


@when(
    "a chat of {tokens:d} shared tokens and {size:d} bytes comes, " 'held by a replica of "{zone}"'
)
def chat_with_holder(context, tokens, size, zone):
    core = context.core
    context.holder = replicas_of(core, zone)[0]
    core.clock.advance(1)
    core.chooser.prefixes.record_reported(Placement(("held",), context.holder))
    call = new_call(f"held:{tokens},own:130")
    call.body = bytes(size)
    context.chosen = choose(core, call).upstream.record


@then("the chat with a holder goes to {where}")
def chat_goes_where(context, where):
    if where == "its holder":
        assert context.chosen.replica == context.holder, context.chosen
    else:
        assert where == "the own zone", where
        assert context.chosen.zone == OWN_ZONE, context.chosen


@given('{routers:d} routers in "{zone}" before {replicas:d} replicas, with links of {rtt:g} ms')
def routers_of_zone(context, routers, zone, replicas, rtt):
    context.cores = [router_with_links(zone, replicas, rtt) for _ in range(routers)]


@when("{count:d} chats come to each of them")
def chats_come_to_each(context, count):
    context.choices = [
        [choose_for(core, n)[1].upstream.record for n in range(count)] for core in context.cores
    ]


@then('all of them choose the same replicas, of "{zone}"')
def same_replicas(context, zone):
    names = {tuple(record.replica for record in records) for records in context.choices}
    assert len(names) == 1, names
    assert len(set(names.pop())) > 1
    assert {record.zone for records in context.choices for record in records} == {zone}


@given(
    'a router in "{zone}" before a plain replica of {slots:d} slots in each zone, '
    "with links of {rtt:g} ms"
)
def router_before_plain(context, zone, slots, rtt):
    context.core = router_with_links(zone, 3, rtt, service="till", slots=slots)


@when("{count:d} plain requests are sent and stay in flight")
def plain_requests(context, count):
    core, context.choices = context.core, []
    route = core.cluster_state.plan.route("app.example", "/chat/x")
    for number in range(count):
        call = new_call(request=f"q{number}")
        choice = core.chooser.choose(call, route, "till")
        core.chooser.start_request(choice, call)
        context.choices.append(choice)


@then("the first {near:d} stay in the zone")
def first_stay(context, near):
    zones = [choice.upstream.record.zone for choice in context.choices]
    assert set(zones[:near]) == {OWN_ZONE}, zones
    assert zones[near] != OWN_ZONE, zones


@then("no plain replica has more than {most:d} requests")
def plain_loads(context, most):
    assert max(context.core.chooser.in_flight.values()) <= most, context.core.chooser.in_flight


# Metrics and the log.


def send_chat(core, number):
    call, choice = choose_for(core, number)
    core.chooser.start_request(choice, call)
    core.report_sent(choice.upstream.record)
    core.chooser.end_request(choice.upstream.record.replica)


@when("{count:d} chats are sent")
def chats_are_sent(context, count):
    for number in range(count):
        send_chat(context.core, number)


@then("one line says that the service's requests start to leave")
def line_of_start(context):
    lines = [line for line in context.core.event_log.lines if line["event"] == "zone_spill_starts"]
    fields = {"service": SERVICE, "own_pressure": None, "other_pressure": 0.0}
    assert lines == [{"event": "zone_spill_starts", **fields}], lines


@then("the metrics show the requests to other zones, the pressure, the round trips and the part")
def metrics_show(context):
    update_gauges(context.core)
    page = context.core.metrics.render().splitlines()
    away = [line for line in page if line.startswith("skylarklift_requests_to_other_zone_total")]
    assert sum(int(line.split()[-1]) for line in away) == 3, page
    for line in (
        'skylarklift_zone_pressure{kind="lm:others"} 0.0',
        'skylarklift_zone_link_rtt_ms{kind="cape-b"} 7.8',
        'skylarklift_zone_spill_part{kind="lm"} 1.0',
    ):
        assert line in page, page


@when("the zone is back and {span:d} s pass, with a chat each {pause:d} ms")
def zone_is_back(context, span, pause):
    core = context.core
    apply_rows(core, RowTable.OPERATOR, 3, {f"evacuate/{OWN_ZONE}": None})
    for number in range(span * MS_PER_S // pause):
        core.clock.advance(pause)
        send_chat(core, number)


@then("one line says that the service's requests no longer leave")
def line_of_end(context):
    events = [line["event"] for line in context.core.event_log.lines]
    assert events.count("zone_spill_starts") == events.count("zone_spill_ends") == 1, events
