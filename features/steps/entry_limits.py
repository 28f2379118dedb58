"""Steps for limits that upstreams name on the requests of all routers together."""

import io
import time
from contextlib import redirect_stdout

from behave import given, then, when

from features.entry_fixtures import choose, new_call, parse_yes_no
from features.steps.entry_process_faults import run_fleet_command
from features.world_thread import replicas_by_name
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import DISCOVERY_MS, Fleet, GossipMessage
from skylarklift.entry.model import Endpoint, parse_endpoint
from skylarklift.entry.placement.choice import Choice, NoUpstream
from skylarklift.entry.placement.rate_limits import LimitReport, RateLimits
from skylarklift.entry.state.rows import TableSummary
from skylarklift.ui.main import main

EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2
HERE = Endpoint("127.0.0.2", 1)
STEP_MS = 200
# In a larger fleet a router hears the others in turn, all of them in this many steps.
SMALL_FLEET = 20
ROTATION_STEPS = 20
WINDOW_MS = 4000
REPLICA = "r0"
# What callers bring at once to a router before the first answer.
UNLIMITED_REQUESTS = 10


class SimulatedRouter:
    """The parts of a router that decide whether it may send to an upstream with a limit."""

    def __init__(self, clock, name, limit):
        self.name = name
        self.fleet = Fleet(clock, name)
        self.limit = limit
        self.limits = RateLimits(clock)
        self.limits.record_named(REPLICA, limit)
        # The routers that hear each other have the same number.
        self.part = 0
        self.frozen = False

    def hear(self, others):
        """Receive gossip of other routers."""
        for other in others:
            message = GossipMessage(
                other.name, "b", "", EMPTY_SUMMARIES, router_count=other.fleet.router_count()
            )
            self.fleet.record_message(message, HERE)

    def send(self):
        """Send what is allowed now; return how many requests."""
        count = 0
        if not self.limits.is_limited(REPLICA):
            # The answers name the limit again.
            self.limits.record_named(REPLICA, self.limit)
            return UNLIMITED_REQUESTS
        while self.limits.allows(REPLICA, self.fleet.share(REPLICA)):
            self.limits.record_request(REPLICA)
            count += 1
        return count


@given("{count:d} routers before an upstream that names a limit of {limit:f} a second")
def routers_before_limited(context, count, limit):
    context.clock = ManualClock(100_000)
    context.limit = limit
    context.routers = [SimulatedRouter(context.clock, f"n{n}", limit) for n in range(count)]
    context.sent = []
    for router in context.routers:
        for other in context.routers:
            router.fleet.add(other.name, HERE)
    gossip(context)
    context.clock.advance(DISCOVERY_MS)


def gossip(context, step=0, rounds=1):
    """Let the routers that run hear one of `rounds` parts of those that they can hear."""
    running = [router for router in context.routers if not router.frozen]
    for router in running:
        router.hear(
            other
            for other in running[step % rounds :: rounds]
            if other is not router and other.part == router.part
        )


@when("each of them sends what it may for {span:d} s")
def send_for(context, span):
    for step in range(span * 1000 // STEP_MS):
        gossip(context, step, rounds=1 if len(context.routers) < SMALL_FLEET else ROTATION_STEPS)
        for router in context.routers:
            if not router.frozen:
                context.sent += [context.clock.now()] * router.send()
        context.clock.advance(STEP_MS)


@when("nothing else happens")
def nothing_happens(context):
    pass


@when("{count:d} routers start anew, knowing {known:d} others")
def start_anew(context, count, known):
    for number in range(count):
        router = SimulatedRouter(context.clock, f"n{number}", context.limit)
        context.routers[number] = router
        router.hear(context.routers[-known:])


@when("{count:d} routers wake after {span:d} s")
def wake_after(context, count, span):
    frozen = context.routers[:count]
    for router in frozen:
        router.frozen = True
    send_for(context, span)
    for router in frozen:
        router.frozen = False
    # They send before they read the messages that have arrived.
    for router in frozen:
        context.sent += [context.clock.now()] * router.send()


@when("the upstream gets nothing for {span:d} s")
def gets_nothing_for(context, span):
    for step in range(span * 1000 // STEP_MS):
        gossip(context, step, rounds=1 if len(context.routers) < SMALL_FLEET else ROTATION_STEPS)
        for router in context.routers:
            router.limits.expire([REPLICA])
        context.clock.advance(STEP_MS)


@then("it gets between {least:d} and {most:d} requests")
def gets_between(context, least, most):
    assert least <= len(context.sent) <= most, len(context.sent)


@when("{count:d} routers are cut off for {span:d} s")
def cut_off_for(context, count, span):
    for number, router in enumerate(context.routers):
        router.part = int(number < count)
    send_for(context, span)


@then("no 4 s hold more than 1.5 times what the limit allows and 5 more")
def limit_is_kept(context):
    most = 1.5 * context.limit * WINDOW_MS / 1000 + 5
    for first in set(context.sent):
        count = sum(first <= moment < first + WINDOW_MS for moment in context.sent)
        assert count <= most, f"{count} in 4 s, {most} allowed"


@then("the last 10 s use at least {ratio:f} of the limit")
def limit_is_used(context, ratio):
    start = context.clock.now() - 10_000
    count = sum(moment >= start for moment in context.sent)
    assert count >= ratio * context.limit * 10, count


@given("a router before an upstream that has named no limit")
def router_without_limit(context):
    context.clock = ManualClock(0)
    context.limits = RateLimits(context.clock)


@when('it learns of "{history}"')
def learn_of(context, history):
    listed = [REPLICA]
    for item in history.split():
        at, kind, *values = item.split(":")
        context.clock.advance(int(at) - context.clock.now())
        context.limits.expire(listed)
        match kind:
            case "gone":
                listed = []
            case "back":
                listed = [REPLICA]
            case "named":
                context.limits.record_named(REPLICA, float(values[0]))
            case "plain":
                context.limits.record_lifted(REPLICA, int(values[0]))
            case "reported":
                limit = None if values[0] == "none" else float(values[0])
                context.limits.apply_report(LimitReport(REPLICA, limit, int(values[1])))


@then('the upstream has the limit "{limit}"')
def has_limit(context, limit):
    assert context.limits.named().get(REPLICA) == float(limit), context.limits.named()


@then('the upstream has the limit ""')
def has_no_limit(context):
    assert not context.limits.is_limited(REPLICA), context.limits.named()


@when("the replica that a chat prefers names a limit of {limit:f} a second")
def preferred_names_limit(context, limit):
    context.call = new_call("base:100,s1:400,own:30")
    context.preferred = choose(context.core, context.call).upstream.record.replica
    context.core.chooser.rate_limits.record_named(context.preferred, limit)
    context.clock.advance(DISCOVERY_MS)


@then("of {count:d} requests of the chat, one each {apart:d} ms, the replica gets at most {most:d}")
def replica_gets_at_most(context, count, apart, most):
    context.choices = []
    for _ in range(count):
        choice = choose(context.core, context.call)
        assert isinstance(choice, Choice), choice
        # No placement is recorded, so that the chat goes on to prefer the same replica.
        context.core.chooser.rate_limits.record_request(choice.upstream.record.replica)
        context.choices.append(choice)
        context.clock.advance(apart)
    names = [choice.upstream.record.replica for choice in context.choices]
    assert names.count(context.preferred) <= most, names


@then('the others go to the other replica, with "{reason}" as the reason')
def others_pass_over(context, reason):
    others = [
        choice for choice in context.choices if choice.upstream.record.replica != context.preferred
    ]
    assert others
    for choice in others:
        found = [(item.replica, item.reason.value) for item in choice.passed_over]
        assert found == [(context.preferred, reason)], found


@when("the other replica names a limit of {limit:f} a second too")
def other_names_limit(context, limit):
    (other,) = set(context.names) - {context.preferred}
    context.core.chooser.rate_limits.record_named(other, limit)


@then('a request of the chat finds no upstream, with the reason "{reason}"')
def finds_no_upstream(context, reason):
    found = choose(context.core, context.call)
    assert isinstance(found, NoUpstream) and found.value == reason, found


@given('a router with the seeds "{seeds}"')
def router_with_seeds(context, seeds):
    context.fleet = Fleet(ManualClock(0), "n1")
    for text in seeds.split(","):
        context.fleet.add_seed(parse_endpoint(text))


@when('the router "{node}" at "{address}" is found in the store')
def found_in_store(context, node, address):
    context.fleet.add(node, parse_endpoint(address))


@when('the router "{node}" at "{address}" is found by gossip')
def found_by_gossip(context, node, address):
    message = GossipMessage(node, "b", "", EMPTY_SUMMARIES)
    context.fleet.record_message(message, parse_endpoint(address))


@then("the router counts {count:d} routers")
def counts_routers(context, count):
    assert context.fleet.router_count() == count, context.fleet.router_count()


@given('the replicas "{names}" name a limit of {limit:f} a second')
def replicas_name_limit(context, names, limit):
    for replica in replicas_by_name(context, names):
        replica.faults.request_limit = limit


@then('the last one got 503 at once, as "{code}"')
def refused_as(context, code):
    context.request, response = context.responses[-1]
    assert response.status == 503 and code.encode() in response.body, response
    time.sleep(0.3)
    (line,) = [line for line in context.router.lines() if line.get("id") == context.request]
    assert line["sends"] == [code] and line["ms_taken"] < 100, line


@then('explaining it shows when "{first}" and "{second}" named their limits')
def explained(context, first, second):
    output = io.StringIO()
    with redirect_stdout(output):
        assert main(["explain", context.request, str(context.router.log)]) == 0
    for name in (first, second):
        found = [
            line
            for line in output.getvalue().splitlines()
            if "upstream_limit_named" in line and name in line
        ]
        assert found, output.getvalue()


@then("the metrics and the fleet command show the limits")
def metrics_show_limits(context):
    # A router serves its metrics on its readiness address too.
    port = context.router.readiness_port
    store = context.world.store_endpoints[0][1]
    output = run_fleet_command(store, port).stdout
    assert "upstream_limit" in output and "till-1" in output and "0.5" in output, output


@when("the other replica runs {count:d} requests in its 64 slots")
def other_runs(context, count):
    (context.other,) = set(context.names) - {context.preferred}
    context.core.chooser.in_flight[context.other] = count


@then('a request of the chat gets "{result}"')
def chat_gets(context, result):
    found = choose(context.core, context.call)
    if isinstance(found, NoUpstream):
        assert found.value == result, found
    else:
        assert found.upstream.record.replica == context.other
        assert result == "the other replica", found


@when(
    "the replica that a chat prefers holds its prefix and runs {own:d} requests, "
    "the others {other:d} each"
)
def holder_runs(context, own, other):
    context.call = new_call("base:100,s1:400,own:30")
    choice = choose(context.core, context.call)
    context.preferred = choice.upstream.record.replica
    context.core.chooser.start_request(choice, context.call)
    for name in context.names:
        context.core.chooser.in_flight[name] = own if name == context.preferred else other


@when("no upstream named a limit")
def no_limit_named(context):
    assert not context.core.chooser.rate_limits.named()


@when("an upstream named a limit, and lifted it")
def limit_named_and_lifted(context):
    limits = context.core.chooser.rate_limits
    limits.record_named(context.names[0], 2.0)
    context.clock.advance(100)
    assert limits.record_lifted(context.names[0], context.clock.now())


@then("the chat stays with it: {stays}")
def chat_stays(context, stays):
    found = choose(context.core, context.call).upstream.record.replica
    assert (found == context.preferred) == parse_yes_no(stays), found
