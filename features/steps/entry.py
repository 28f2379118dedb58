"""Steps for the choice of upstreams, retries and fleet-wide limits of an entry router."""

from dataclasses import replace
from random import Random

from behave import given, then, when

from features.entry_fixtures import (
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
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.model import Bounds, Endpoint, Workspace
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.fleet_limits import ColdRequestLimit, FleetRetryBudget, FleetShare
from skylarklift.entry.requests.retry_state import Outcome, RetryState
from skylarklift.entry.state.rows import RowTable, TableSummary
from skylarklift.platform.rows import decode_plan

EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2
STEP_MS = 10
COLD_PER_S = 13.0


@given('routes with the prefixes "{one}", "{two}" and "{three}"')
def routes_with_prefixes(context, one, two, three):
    rows = [{"prefix": prefix, "name": prefix} for prefix in (one, two, three)]
    context.plan = decode_plan(plan_data(routes=rows))


@then('the route for "{path}" has the prefix "{prefix}"')
def route_has_prefix(context, path, prefix):
    assert context.plan.route("app.example", path).prefix == prefix
    assert context.plan.route("other.example", path) is None


@given('a "{kind}" route with {attempts:d} attempts and stream resume: {resume}')
def route_of_kind(context, kind, attempts, resume):
    fields = {"route_type": kind, "max_attempts": attempts, "stream_resume": parse_yes_no(resume)}
    plan = decode_plan(plan_data(routes=[fields]))
    context.retry_state = RetryState(plan.route("app.example", ROUTE["prefix"]))


@when('attempts have the outcomes "{outcomes}"')
def attempts_have_outcomes(context, outcomes):
    for item in outcomes.split(","):
        name, _, excuse = item.partition("/")
        context.last_outcome = Outcome(name)
        context.retry_state.record(context.last_outcome, excused=excuse == "excused")


@when("part of the response has been forwarded to the caller")
def part_forwarded(context):
    context.retry_state.forwarded = True


@then("a retry is allowed: {allowed}")
def retry_allowed(context, allowed):
    allowed_now = context.retry_state.denial(context.last_outcome) is None
    assert allowed_now == parse_yes_no(allowed)


@then("the request cannot have run: {not_run}")
def cannot_have_run(context, not_run):
    assert context.retry_state.cannot_have_run == parse_yes_no(not_run)


@given("{count:d} routers that know each other")
def known_routers(context, count):
    context.router_count = count
    context.clock = ManualClock(10_000)


@when(
    "each sends requests to a cold replica as allowed for {span:d} ms, "
    "starting up to {apart:d} ms apart"
)
def send_cold(context, span, apart):
    limits = [ColdRequestLimit(context.clock, Bounds()) for _ in range(context.router_count)]
    rng = Random(1)
    starts = [context.clock.now() + rng.uniform(0, apart) for _ in limits]
    context.arrivals = []
    for _ in range((span + apart) // STEP_MS):
        for rank, limit in enumerate(limits):
            if context.clock.now() < starts[rank]:
                continue
            while limit.allows("r0", COLD_PER_S, FleetShare(context.router_count, rank)):
                limit.record_request("r0")
                context.arrivals.append(context.clock.now())
        context.clock.advance(STEP_MS)


@then("at most {most:d} requests reach the replica in any second")
def at_most_in_any_second(context, most):
    for moment in context.arrivals:
        count = sum(moment <= other < moment + 1000 for other in context.arrivals)
        assert count <= most, count


@then("at least {least:d} requests reach the replica")
def at_least_in_all(context, least):
    assert len(context.arrivals) >= least, len(context.arrivals)


@when("each serves {count:d} requests over {span:d} ms and retries as often as it may")
def serve_and_retry(context, count, span):
    budgets = [FleetRetryBudget(context.clock, Bounds()) for _ in range(context.router_count)]
    context.requests = count * context.router_count
    context.retries = 0
    for step in range(max(1, count)):
        for budget in budgets:
            if count:
                budget.record_request("s")
            while budget.try_spend("s", context.router_count):
                context.retries += 1
        if step < count - 1:
            context.clock.advance(span // count)


@then("the retries are at most {ratio:f} times the requests plus {extra:d}")
def at_most_retries(context, ratio, extra):
    assert context.retries <= ratio * context.requests + extra, context.retries


@then("there are at least {least:d} retries")
def at_least_retries(context, least):
    assert context.retries >= least, context.retries


@given("a router that knows {count:d} replicas")
def router_with_replicas(context, count):
    context.clock = ManualClock(10_000)
    context.core = core_with_replicas(count, context.clock)
    context.count = count
    context.version = 100


@given("{routers:d} routers that know {count:d} replicas each")
def routers_with_replicas(context, routers, count):
    context.cores = [core_with_replicas(count) for _ in range(routers)]


@then("each of {count:d} new chats goes to the same replica from every router")
def same_replica_from_every_router(context, count):
    context.used = set()
    for number in range(count):
        call = new_call(f"p:100,c{number}:5000,q:10")
        chosen = {choose(core, call).upstream.record.replica for core in context.cores}
        assert len(chosen) == 1, chosen
        context.used |= chosen


@then("every replica is used")
def every_replica_used(context):
    assert len(context.used) == 6, context.used


@given('a router that knows {count:d} replicas in the regions "{regions}"')
def router_with_regions(context, count, regions):
    router_with_replicas(context, count)
    context.core.chooser._regions = dict(zip(ZONES, regions.split(","), strict=True))


@when('the route allows the regions "{route}" and the workspace "{workspace}"')
def allowed_regions(context, route, workspace):
    context.allowed_regions = [
        tuple(item for item in text.split(",") if item) for text in (route, workspace)
    ]


@when('the route allows the regions "" and the workspace ""')
def no_regions_given(context):
    allowed_regions(context, "", "")


@when('the route allows the regions "" and the workspace "{workspace}"')
def workspace_regions(context, workspace):
    allowed_regions(context, "", workspace)


@when('the route allows the regions "{route}" and the workspace ""')
def route_regions(context, route):
    allowed_regions(context, route, "")


@then('requests reach the regions "{regions}"')
def reach_regions(context, regions):
    core = context.core
    route = replace(
        core.cluster_state.plan.route("app.example", "/chat/x"),
        allowed_regions=context.allowed_regions[0],
    )
    workspace = Workspace("w1", allowed_regions=context.allowed_regions[1])
    reached = set()
    for number in range(60):
        call = new_call(f"p:100,c{number}:5000,q:10")
        choice = core.chooser.choose(call, route, "lm", (), workspace)
        if isinstance(choice, Choice):
            reached.add(core.chooser._regions[choice.upstream.record.zone])
    assert reached == set(regions.split(",")) - {""}, reached


@then('requests reach the regions ""')
def reach_no_region(context):
    reach_regions(context, "")


@when('a chat with the prompt parts "{parts}" is sent')
def chat_sent(context, parts):
    call = new_call(parts)
    context.first_choice = choose(context.core, call)
    context.core.chooser.start_request(context.first_choice, call)
    context.core.chooser.end_request(context.first_choice.upstream.record.replica)


@when("{count:d} replicas are added")
def replicas_added(context, count):
    rows = {f"n{n}": upstream_data(port=9500 + n) for n in range(count)}
    apply_next_rows(context, RowTable.UPSTREAMS, rows)


@then('a chat with the prompt parts "{parts}" goes to the same replica')
def same_replica(context, parts):
    choice = choose(context.core, new_call(parts))
    assert choice.upstream is context.first_choice.upstream


@when('a message from the router "{name}" with the boot "{boot}" arrives')
def message_arrives(context, name, boot):
    message = GossipMessage(name, boot, "", EMPTY_SUMMARIES)
    context.peer = context.core.fleet.record_message(message, Endpoint("127.0.0.2", 1))


@when('all is sent to "{name}" and its message with the boot "{boot}" arrives')
def sent_all_and_message_arrives(context, name, boot):
    context.peer.sent_at = context.clock.now()
    message_arrives(context, name, boot)


@then('{count:d} placements are to be sent to "{name}"')
def placements_to_send(context, name, count):
    placements = context.core.chooser.prefixes.own_placements_since(
        context.core.fleet.peers[name].sent_at
    )
    assert len(placements) == count, placements


@when("its replica has {count:d} requests from other routers")
def loaded_by_other_routers(context, count):
    replica = context.first_choice.upstream.record.replica
    message = GossipMessage("r2", "b", "", EMPTY_SUMMARIES, loads={replica: count})
    context.core.fleet.record_message(message, Endpoint("127.0.0.2", 1))


@then('a chat with the prompt parts "{parts}" goes to another replica')
def other_replica(context, parts):
    context.second_choice = choose(context.core, new_call(parts))
    assert context.second_choice.upstream is not context.first_choice.upstream


@then("the prefix is to be copied from the first replica")
def prefix_is_copied(context):
    assert context.second_choice.copy_source is context.first_choice.upstream


@when("its replica restarts under the same name")
def replica_restarts(context):
    replica = context.first_choice.upstream.record.replica
    context.clock.advance(100)
    apply_next_rows(context, RowTable.UPSTREAMS, {replica: upstream_data(born=77)})


@then('the replica holds {tokens:d} tokens of "{parts}"')
def replica_holds(context, tokens, parts):
    replica = context.first_choice.upstream.record.replica
    upstream = context.core.cluster_state.upstreams[replica]
    assert context.core.chooser.held_tokens(new_call(parts), upstream) == tokens
