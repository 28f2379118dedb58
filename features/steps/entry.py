"""Steps of choosing, sending again, and the shares of limits of an entry router."""

from dataclasses import replace
from random import Random

from behave import given, then, when

from features.entry_parts import (
    ROUTE,
    ZONES,
    apply_next_rows,
    choose,
    core_with_replicas,
    new_call,
    parse_yes_no,
    plan_data,
    upstream_data,
)
from skylarklift.clock import ManualClock
from skylarklift.entry.choose import Choice
from skylarklift.entry.fleet import GossipMessage
from skylarklift.entry.fleet_limits import ColdRequestLimit, FleetRetryBudget
from skylarklift.entry.model import Bounds, Endpoint, Workspace
from skylarklift.entry.retry_state import Outcome, RetryState
from skylarklift.entry.rows import RowTable, TableSummary
from skylarklift.platform.rows import decode_plan

NO_NEWS = (TableSummary(0, 0, 0, 0),) * 2
STEP_MS = 10
COLD_PER_S = 13.0


@given('routes with the prefixes "{one}", "{two}" and "{three}"')
def routes(context, one, two, three):
    found = [{"prefix": prefix, "name": prefix} for prefix in (one, two, three)]
    context.plan = decode_plan(plan_data(routes=found))


@then('the path "{path}" takes the prefix "{prefix}"')
def takes_prefix(context, path, prefix):
    assert context.plan.route("app.example", path).prefix == prefix
    assert context.plan.route("other.example", path) is None


@given('a "{kind}" route with {attempts:d} attempts that may resume: {resume}')
def one_route(context, kind, attempts, resume):
    fields = {"route_type": kind, "max_attempts": attempts, "stream_resume": parse_yes_no(resume)}
    plan = decode_plan(plan_data(routes=[fields]))
    context.attempts = RetryState(plan.route("app.example", ROUTE["prefix"]))


@when('sends end as "{outcomes}"')
def sends_end(context, outcomes):
    for name in outcomes.split(","):
        context.last = Outcome(name)
        context.attempts.record(context.last)


@when("a part of the answer has reached the client")
def part_forwarded(context):
    context.attempts.forwarded = True


@then("another send is allowed: {allowed}")
def another_send(context, allowed):
    assert context.attempts.may_retry(context.last) == parse_yes_no(allowed)


@then("the request has surely not run: {not_run}")
def not_run(context, not_run):
    assert context.attempts.cannot_have_run == parse_yes_no(not_run)


@given("{count:d} routers that know of each other")
def routers(context, count):
    context.routers = count
    context.clock = ManualClock(10_000)


@when(
    "each sends to a cold replica as often as it may for {span:d} ms, "
    "from a moment up to {apart:d} ms on"
)
def send_cold(context, span, apart):
    shares = [ColdRequestLimit(context.clock, Bounds()) for _ in range(context.routers)]
    rng = Random(1)
    starts = [context.clock.now() + rng.uniform(0, apart) for _ in shares]
    context.arrivals = []
    for _ in range((span + apart) // STEP_MS):
        for rank, share in enumerate(shares):
            if context.clock.now() < starts[rank]:
                continue
            while share.allows("r0", COLD_PER_S, context.routers, rank):
                share.record_request("r0")
                context.arrivals.append(context.clock.now())
        context.clock.advance(STEP_MS)


@then("in no second more than {most:d} requests reach the replica")
def cold_limit(context, most):
    for moment in context.arrivals:
        within = sum(moment <= other < moment + 1000 for other in context.arrivals)
        assert within <= most, within


@then("at least {least:d} requests reach it")
def cold_least(context, least):
    assert len(context.arrivals) >= least, len(context.arrivals)


@when("each serves {count:d} requests over {span:d} ms and repeats as often as it may")
def serve_and_repeat(context, count, span):
    shares = [FleetRetryBudget(context.clock, Bounds()) for _ in range(context.routers)]
    context.requests = count * context.routers
    context.repeats = 0
    for step in range(max(1, count)):
        for share in shares:
            if count:
                share.record_request("s")
            while share.try_spend("s", context.routers):
                context.repeats += 1
        if step < count - 1:
            context.clock.advance(span // count)


@then("the repeats are at most {ratio:f} of the requests and {extra:d} more")
def budget_limit(context, ratio, extra):
    assert context.repeats <= ratio * context.requests + extra, context.repeats


@then("there are at least {least:d} repeats")
def budget_least(context, least):
    assert context.repeats >= least, context.repeats


@given("a router that knows {count:d} replicas")
def knows_replicas(context, count):
    context.clock = ManualClock(10_000)
    context.core = core_with_replicas(count, context.clock)
    context.count = count
    context.version = 100


@given("{routers:d} routers that know {count:d} replicas each")
def several_routers(context, routers, count):
    context.cores = [core_with_replicas(count) for _ in range(routers)]


@then("each of {count:d} new chats goes to one replica, whichever router takes it")
def alike(context, count):
    context.used = set()
    for number in range(count):
        call = new_call(f"p:100,c{number}:5000,q:10")
        found = {choose(core, call).upstream.record.replica for core in context.cores}
        assert len(found) == 1, found
        context.used |= found


@then("every replica is used")
def all_used(context):
    assert len(context.used) == 6, context.used


@given('a router that knows {count:d} replicas in the regions "{regions}"')
def knows_regions(context, count, regions):
    knows_replicas(context, count)
    context.core.chooser._regions = dict(zip(ZONES, regions.split(","), strict=True))


@when('the route\'s homes are "{route}" and the workspace\'s are "{workspace}"')
def homes(context, route, workspace):
    context.homes = [tuple(item for item in text.split(",") if item) for text in (route, workspace)]


@when('the route\'s homes are "" and the workspace\'s are ""')
def no_homes(context):
    homes(context, "", "")


@when('the route\'s homes are "" and the workspace\'s are "{workspace}"')
def workspace_homes(context, workspace):
    homes(context, "", workspace)


@when('the route\'s homes are "{route}" and the workspace\'s are ""')
def route_homes(context, route):
    homes(context, route, "")


@then('requests reach the regions "{regions}"')
def reach_regions(context, regions):
    core = context.core
    route = replace(
        core.cluster_state.plan.route("app.example", "/chat/x"), allowed_regions=context.homes[0]
    )
    workspace = Workspace("w1", allowed_regions=context.homes[1])
    found = set()
    for number in range(60):
        call = new_call(f"p:100,c{number}:5000,q:10")
        choice = core.chooser.choose(call, route, "lm", (), workspace)
        if isinstance(choice, Choice):
            found.add(core.chooser._regions[choice.upstream.record.zone])
    assert found == set(regions.split(",")) - {""}, found


@then('requests reach the regions ""')
def reach_nothing(context):
    reach_regions(context, "")


@when('a chat with the parts "{parts}" is sent')
def chat_sent(context, parts):
    call = new_call(parts)
    context.first = choose(context.core, call)
    context.core.chooser.start_request(context.first, call)
    context.core.chooser.end_request(context.first.upstream.record.replica)


@when("{count:d} replicas are added")
def replicas_added(context, count):
    rows = {f"n{n}": upstream_data(port=9500 + n) for n in range(count)}
    apply_next_rows(context, RowTable.UPSTREAMS, rows)


@then('a chat with the parts "{parts}" goes to the same replica')
def same_replica(context, parts):
    found = choose(context.core, new_call(parts))
    assert found.upstream is context.first.upstream


@when('the router "{name}" is heard with the boot "{boot}"')
def router_heard(context, name, boot):
    message = GossipMessage(name, boot, "", NO_NEWS)
    context.peer = context.core.fleet.record_message(message, Endpoint("127.0.0.2", 1))


@when('the router "{name}" was told all and is heard with the boot "{boot}"')
def router_told(context, name, boot):
    context.peer.sent_at = context.clock.now()
    router_heard(context, name, boot)


@then('"{name}" is told {count:d} placements')
def told_placements(context, name, count):
    placements = context.core.chooser.prefixes.own_placements_since(
        context.core.fleet.peers[name].sent_at
    )
    assert len(placements) == count, placements


@when("its replica has {count:d} requests of other routers")
def loaded_elsewhere(context, count):
    replica = context.first.upstream.record.replica
    message = GossipMessage("r2", "b", "", NO_NEWS, loads={replica: count})
    context.core.fleet.record_message(message, Endpoint("127.0.0.2", 1))


@then('a chat with the parts "{parts}" goes to another replica')
def other_replica(context, parts):
    context.found = choose(context.core, new_call(parts))
    assert context.found.upstream is not context.first.upstream


@then("the replica is told to copy the prefix from the first one")
def told_to_copy(context):
    assert context.found.copy_source is context.first.upstream


@when("its replica starts anew under the same name")
def starts_anew(context):
    replica = context.first.upstream.record.replica
    context.clock.advance(100)
    apply_next_rows(context, RowTable.UPSTREAMS, {replica: upstream_data(born=77)})


@then('the replica holds {tokens:d} tokens of "{parts}"')
def holds(context, tokens, parts):
    replica = context.first.upstream.record.replica
    upstream = context.core.cluster_state.upstreams[replica]
    assert context.core.chooser.held_tokens(new_call(parts), upstream) == tokens
