"""Steps for the choice of an upstream, compared with a plain walk over all upstreams."""

import gc
import random

import msgpack
from behave import given, then, when

from features.entry_fixtures import (
    apply_rows,
    choose,
    core_with_replicas,
    new_call,
    new_core,
    plan_data,
    upstream_data,
)
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import LOAD_TTL_MS, MIN_NEWEST_REPORTS, GossipMessage
from skylarklift.entry.gossip.load_messages import (
    LOAD_FORMAT,
    decode_load_message,
    encode_load_message,
    is_load_message,
)
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.model import Endpoint, ReplicaLoad
from skylarklift.entry.placement.affinity import affinity_key
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.choose import (
    AFFINITY_EXTRA_REQUESTS,
    AFFINITY_LOAD_RATIO,
    HOLDER_RATIO,
    MIN_COPY_TOKENS,
)
from skylarklift.entry.placement.health import HealthSignal
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.placement.prefixes import PLACEMENT_TTL_MS, Placement, shared_parts
from skylarklift.entry.state.rows import RowTable, TableSummary
from skylarklift.errors import PeerError
from skylarklift.hashing import rendezvous_weight

EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2
EMPTY_MESSAGE = GossipMessage("n1", "b", "", EMPTY_SUMMARIES)
SUBJECTS = 12


@given("a router among {routers:d} others before {replicas:d} replicas, by the seed {seed:d}")
def router_among_others(context, routers, replicas, seed):
    context.clock = ManualClock(100_000)
    context.core = core_with_replicas(replicas, context.clock)
    context.names = [f"r{number}" for number in range(replicas)]
    context.nodes = [f"n{number}" for number in range(1, routers + 1)]
    context.rng = random.Random(seed)
    # What the plain method walks over: the last report of each router, with its time.
    context.reports = {}


def report(context, node, loads):
    """Let another router report its requests in flight."""
    message = GossipMessage(node, "b", "", EMPTY_SUMMARIES, loads=loads)
    context.core.fleet.record_message(message, Endpoint("127.0.0.2", 1))
    # In the order in which they came.
    context.reports.pop(node, None)
    context.reports[node] = (context.clock.now(), loads)


def random_call(context):
    """Return a call for one of a few shared prompts."""
    subject = context.rng.randrange(SUBJECTS)
    return new_call(f"base:100,s{subject}:{200 + 50 * subject},own{context.rng.random()}:30")


def happen(context):
    """Let one random event happen."""
    rng, core = context.rng, context.core
    replica = rng.choice(context.names)
    match rng.randrange(6):
        case 0 | 1 if context.nodes:
            picked = rng.sample(context.names, min(len(context.names), 1 + rng.randrange(4)))
            report(context, rng.choice(context.nodes), {name: rng.randrange(9) for name in picked})
        case 2:
            call = random_call(context)
            choice = choose(core, call)
            if isinstance(choice, Choice):
                core.chooser.start_request(choice, call)
        case 3 if core.chooser.in_flight:
            core.chooser.end_request(rng.choice(sorted(core.chooser.in_flight)))
        case 4:
            signal = rng.choice((HealthSignal.GOOD, HealthSignal.BROKEN, HealthSignal.UNREACHABLE))
            core.health.record_result(replica, signal, context.names)
        case _:
            context.clock.advance(rng.randrange(700))


def plain_load(context, replica):
    """Return the load of a replica by a walk over all reports."""
    now = context.clock.now()
    ttl_ms = context.core.fleet._load_ttl_ms()
    reported = sum(
        loads.get(replica, 0) for at, loads in context.reports.values() if at > now - ttl_ms
    )
    return reported + context.core.chooser.in_flight[replica]


def plain_mean(context, replicas):
    """Return the mean load by a walk over the newest reports, which stand for all routers."""
    now = context.clock.now()
    ttl_ms = context.core.fleet._load_ttl_ms()
    reports = [item for item in reversed(context.reports.values()) if item[0] > now - ttl_ms]
    newest = [
        loads
        for number, (at, loads) in enumerate(reports)
        if at > now - LOAD_TTL_MS or number < MIN_NEWEST_REPORTS
    ]
    own = sum(context.core.chooser.in_flight[name] for name in replicas)
    known = own + sum(loads.get(name, 0) for loads in newest for name in replicas)
    return known * (1 + len(reports)) / (1 + len(newest)) / len(replicas)


def plain_held(context, call, upstream):
    """Return how many shared tokens a replica holds, part by part."""
    chooser = context.core.chooser
    oldest = max(upstream.known_since, context.clock.now() - PLACEMENT_TTL_MS)
    tokens = 0
    for part in shared_parts(call.parts):
        used_at = chooser.prefixes._holders.get(part.name, {}).get(upstream.record.replica)
        if used_at is None or used_at < oldest:
            break
        tokens += part.tokens
    return tokens


def plain_choice(context, call):
    """Return the replica that a sort of all candidates puts first, or `None`."""
    core = context.core
    upstreams = list(core.cluster_state.members_of("lm").values())
    candidates = [item for item in upstreams if core.health.allows(item.record.replica)]
    candidates = candidates or [
        item for item in upstreams if core.health.reachable(item.record.replica)
    ]
    if not candidates:
        return None
    loads = {item.record.replica: plain_load(context, item.record.replica) for item in candidates}
    # The mean of all replicas, whether or not they may get the request.
    mean = plain_mean(context, [item.record.replica for item in upstreams])
    held = {item.record.replica: plain_held(context, call, item) for item in candidates}
    shared_tokens = sum(part.tokens for part in shared_parts(call.parts))
    most = max(held.values())
    least_held = most if most >= HOLDER_RATIO * shared_tokens else 1 << 60
    bounds = core.settings.bounds
    limit = AFFINITY_LOAD_RATIO * bounds.load_factor * mean + AFFINITY_EXTRA_REQUESTS
    key = affinity_key(call)
    overloaded = [count for count in loads.values() if count >= limit]
    overloaded_mean = sum(overloaded) / max(1, len(overloaded))

    def sort_key(item):
        name = item.record.replica
        under = loads[name] < limit
        is_holder = held[name] >= least_held
        near = under and is_holder and most > 0 and item.record.zone == core.settings.zone
        if not under:
            return under, is_holder and loads[name] <= overloaded_mean, False, -loads[name], False
        return under, is_holder, near, rendezvous_weight(key, name), is_holder

    for item in sorted(candidates, key=sort_key, reverse=True):
        plan = core.cluster_state.plan.services["lm"]
        if not core.chooser.is_cold(item, plan) or core.chooser._cold_limit_allows(item, plan):
            return item
    return None


@when("{count:d} random events happen and a choice follows each")
def events_happen(context, count):
    context.compared = []
    context.served = 0
    for _ in range(count):
        happen(context)
        call = random_call(context)
        expected, found = plain_choice(context, call), choose(context.core, call)
        upstream = found.upstream if isinstance(found, Choice) else None
        context.compared.append((expected, upstream))
        if upstream is not None:
            context.served += 1
            check_copy_source(context, call, found)


def check_copy_source(context, call, choice):
    """Check that the copy source holds most of the prompt, and clearly more than the chosen."""
    core = context.core
    held = {
        name: plain_held(context, call, item)
        for name, item in core.cluster_state.upstreams.items()
        if core.health.allows(name)
    }
    most = max(held.values(), default=0)
    own = plain_held(context, call, choice.upstream)
    if choice.copy_source is None:
        assert most <= own + MIN_COPY_TOKENS, (most, own)
    else:
        assert held[choice.copy_source.record.replica] == most > own + MIN_COPY_TOKENS


@then("each choice was that of the plain method")
def choices_equal(context):
    for number, (expected, found) in enumerate(context.compared):
        assert expected is found, (number, expected, found)
    assert context.served > len(context.compared) / 2, context.served


@when(
    '"{one}" reports {first:d} requests at "{name}", then {second:d}, and "{two}" reports {other:d}'
)
def reports_follow(context, one, first, name, second, two, other):
    report(context, one, {name: first})
    report(context, one, {name: second})
    report(context, two, {name: other})


@then('the load of "{name}" is {count:d}')
def load_is(context, name, count):
    assert context.core.chooser.load(name) == count, context.core.chooser.load(name)


@then('the load of "{name}" is {count:d} after the lifetime of a report')
def load_is_later(context, name, count):
    context.clock.advance(LOAD_TTL_MS + 1)
    load_is(context, name, count)


@given('a router in "{zone}" before plain replicas "{zones}"')
def router_before_plain_replicas(context, zone, zones):
    context.core = core = new_core(ManualClock(100_000), zone=zone)
    route = {"service": "till", "session_affinity": False, "route_type": "idempotent"}
    apply_rows(core, RowTable.OPERATOR, 1, {"config": plan_data(routes=[route])}, complete=True)
    rows = {
        f"t{number}": upstream_data("till", name, 9000 + number)
        for number, name in enumerate(zones.split(","))
    }
    apply_rows(core, RowTable.UPSTREAMS, 1, rows, complete=True)


@when("{count:d} requests are sent to the plain service and stay in flight")
def plain_requests_sent(context, count):
    route = context.core.cluster_state.plan.route("app.example", "/chat/x")
    context.chosen = []
    for number in range(count):
        call = new_call(request=f"q{number}")
        choice = context.core.chooser.choose(call, route, "till")
        context.core.chooser.start_request(choice, call)
        context.chosen.append(choice.upstream)


@then("at least {near:d} of the first {count:d} go to the own zone")
def go_to_own_zone(context, near, count):
    own_zone = context.core.settings.zone
    found = sum(item.record.zone == own_zone for item in context.chosen[:count])
    assert found >= near, found


@then("no replica has more than {most:d} requests in flight")
def none_has_more(context, most):
    assert max(context.core.chooser.in_flight.values()) <= most, context.core.chooser.in_flight


@when("the prefix of a chat is held by a replica of each zone")
def held_in_each_zone(context):
    context.call = new_call("base:100,s1:900,own:30")
    parts = tuple(part.name for part in shared_parts(context.call.parts))
    for name in ("r0", "r1", "r2"):
        context.core.chooser.prefixes.record_reported(Placement(parts, name))


@then("the chat goes to the holder in the router's zone")
def goes_to_near_holder(context):
    record = choose(context.core, context.call).upstream.record
    assert record.zone == context.core.settings.zone, record
    assert record.replica in ("r0", "r1", "r2"), record


@when("{count:d} chats come, each after a replica has joined")
def chats_after_joins(context, count):
    state = context.core.cluster_state
    context.member_lists = []
    for number in range(count):
        rows = {f"j{number}": upstream_data(port=9500 + number)}
        apply_rows(context.core, RowTable.UPSTREAMS, 2 + number, rows)
        assert isinstance(choose(context.core, new_call(f"s{number}:500,own:30")), Choice)
        context.member_lists.append(state.members_of("lm"))


@then("no list of members but the newest is kept")
def only_newest_kept(context):
    old = context.member_lists[:-1]
    # The list of this step and its frame's slice are the only references that may be left.
    counts = [len(gc.get_referrers(members)) for members in old]
    newest = len(gc.get_referrers(context.member_lists[-1]))
    assert max(counts) < newest, (counts, newest)


@given("the replica that a chat prefers")
def preferred_replica(context):
    context.call = new_call("base:100,s1:2000,own:30")
    context.choice = choose(context.core, context.call)


@when('"{source}" learns from an answer that it holds {load:d} requests, {age:d} ms ago')
def load_observed(context, source, load, age):
    core, replica = context.core, context.choice.upstream.record.replica
    if source == "here":
        core.record_observed_load(context.choice, ReplicaLoad(load, 0, 64))
        context.clock.advance(age)
        return
    observed = (ObservedLoad(replica, load, age),)
    message = GossipMessage(source, "b", "", EMPTY_SUMMARIES, observed_loads=observed)
    decoded = decode_gossip(encode_gossip(message))
    for item in decoded.observed_loads:
        core.chooser.observed_loads.apply_report(item)


@then("the chat goes {where}")
def chat_goes(context, where):
    found = choose(context.core, context.call).upstream
    assert (found is context.choice.upstream) == (where == "there"), found.record.replica


@when("the replicas report {loads} requests, the preferred one first")
def replicas_report(context, loads):
    core, preferred = context.core, context.choice.upstream.record.replica
    core.chooser.start_request(context.choice, context.call)
    core.chooser.end_request(preferred)
    names = [preferred, *(name for name in context.names if name != preferred)]
    # All are busy by the bound, as if most of the service's replicas got nothing.
    core.settings.bounds.load_factor = 0.5
    report(context, "n1", dict(zip(names, map(int, loads.split()), strict=True)))


def number_or_text(text):
    """Return a number as routers send it, and other text as it is."""
    return int(text) if text.isdigit() else text


@when('a router reads the message about loads "{items}"')
@when('a router reads the message about loads ""')
def read_load_message(context, items=""):
    rows = [item.split(":") for item in items.split()]
    fields = [
        [row[0], *map(number_or_text, row[1:3]), *(text == "1" for text in row[3:])] for row in rows
    ]
    data = msgpack.packb((LOAD_FORMAT, fields))
    assert is_load_message(data) and not is_load_message(encode_gossip(EMPTY_MESSAGE))
    try:
        message = decode_load_message(data)
    except PeerError as exc:
        context.result = str(exc)
        return
    assert decode_load_message(encode_load_message(message)) == message
    context.result = " ".join(
        f"{item.replica}:{item.load}:{item.age_ms}:{int(item.urgent)}" for item in message.loads
    )


@then('it gives "{result}"')
@then('it gives ""')
def gives_result(context, result=""):
    assert context.result.startswith(result), context.result
    assert result or not context.result, context.result


@when("{heard:d} of them report 8 requests, and {silent:d} are known by their entries only")
def some_report(context, heard, silent):
    for node in context.nodes[:heard]:
        report(context, node, {"r0": 8})
    for node in context.nodes[heard : heard + silent]:
        context.core.fleet.add(node, Endpoint("127.0.0.2", 1))


@when("all report no requests, and {span:d} ms later {count:d} of them 8 requests")
def reports_change(context, span, count):
    for node in context.nodes:
        report(context, node, {})
    context.clock.advance(span)
    for node in context.nodes[:count]:
        report(context, node, {"r0": 8})


@then("the mean load is {mean:g}")
def mean_load_is(context, mean):
    found = context.core.chooser._mean_load("lm")
    assert round(found, 2) == mean, found


@then("the mean load is {mean:g} after the lifetime of a report")
def mean_load_is_later(context, mean):
    context.clock.advance(LOAD_TTL_MS + 1)
    mean_load_is(context, mean)
