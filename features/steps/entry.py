"""Steps of the decisions of an entry router."""

from dataclasses import replace

from behave import given, then, when

from features.entry_parts import (
    ROUTE,
    ZONES,
    core_with,
    give_rows,
    new_call,
    new_core,
    plan_data,
    upstream_data,
)
from skylarklift.clock import ManualClock
from skylarklift.entry.attempts import Attempts, Outcome
from skylarklift.entry.choose import Choice
from skylarklift.entry.events import EventSplitter
from skylarklift.entry.fleet import Fleet, Tell
from skylarklift.entry.health import Sign
from skylarklift.entry.model import Bounds, Endpoint, Workspace
from skylarklift.entry.rowset import RowTable
from skylarklift.entry.shares import ColdShare, RetryShare
from skylarklift.platform.rows import decode_plan

STEP_MS = 10
COLD_PER_S = 13.0
READER_AGE_MS = 1100


def yes(word):
    assert word in ("yes", "no"), word
    return word == "yes"


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
    fields = {"route_type": kind, "max_attempts": attempts, "stream_resume": yes(resume)}
    plan = decode_plan(plan_data(routes=[fields]))
    context.attempts = Attempts(plan.route("app.example", ROUTE["prefix"]))


@when('sends end as "{outcomes}"')
def sends_end(context, outcomes):
    for name in outcomes.split(","):
        context.last = Outcome(name)
        context.attempts.note(context.last)


@when("a part of the answer has reached the client")
def part_forwarded(context):
    context.attempts.forwarded = True


@then("another send is allowed: {allowed}")
def another_send(context, allowed):
    assert context.attempts.may_follow(context.last) == yes(allowed)


@then("the request has surely not run: {not_run}")
def not_run(context, not_run):
    assert context.attempts.surely_not_run == yes(not_run)


@given("{count:d} routers that know of each other")
def routers(context, count):
    context.routers = count
    context.clock = ManualClock(10_000)


@when("each sends to a cold replica as often as it may for {span:d} ms")
def send_cold(context, span):
    shares = [ColdShare(context.clock, Bounds()) for _ in range(context.routers)]
    context.arrivals = []
    for _ in range(span // STEP_MS):
        for place, share in enumerate(shares):
            turn = place / context.routers
            while share.allows("r0", COLD_PER_S, context.routers, turn):
                share.note("r0")
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
    shares = [RetryShare(context.clock, Bounds()) for _ in range(context.routers)]
    context.requests = count * context.routers
    context.repeats = 0
    for step in range(max(1, count)):
        for share in shares:
            if count:
                share.note_request("s")
            while share.take("s", context.routers):
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
    context.core = core_with(count, context.clock)
    context.count = count
    context.version = 100


@given("{routers:d} routers that know {count:d} replicas each")
def several_routers(context, routers, count):
    context.cores = [core_with(count) for _ in range(routers)]


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


def choose(core, call, tried=()):
    """Return the choice for a call on the one route."""
    route = core.beliefs.plan.route("app.example", "/chat/x")
    return core.chooser.choose(call, route, "lm", tried)


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
    route = replace(core.beliefs.plan.route("app.example", "/chat/x"), homes=context.homes[0])
    workspace = Workspace("w1", homes=context.homes[1])
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
    context.core.chooser.start(context.first, call)
    context.core.chooser.end(context.first.upstream.record.replica)


@when("{count:d} replicas are added")
def replicas_added(context, count):
    rows = {f"n{n}": upstream_data(port=9500 + n) for n in range(count)}
    take(context, RowTable.UPSTREAMS, rows)


def take(context, table, rows):
    """Let the core take rows of the next version."""
    context.version += 1
    return give_rows(context.core, table, context.version, rows)


@then('a chat with the parts "{parts}" goes to the same replica')
def same_replica(context, parts):
    found = choose(context.core, new_call(parts))
    assert found.upstream is context.first.upstream


@when('the router "{name}" is heard with the boot "{boot}"')
def router_heard(context, name, boot):
    tell = Tell(name, boot, "", (0, 0), (0, 0), (0, 0))
    context.peer = context.core.fleet.hear(tell, Endpoint("127.0.0.2", 1))


@when('the router "{name}" was told all and is heard with the boot "{boot}"')
def router_told(context, name, boot):
    context.peer.told = context.clock.now()
    router_heard(context, name, boot)


@then('"{name}" is told {count:d} placements')
def told_placements(context, name, count):
    news = context.core.chooser.prefixes.news(context.core.fleet.peers[name].told)
    assert len(news) == count, news


@when("its replica has {count:d} requests of other routers")
def loaded_elsewhere(context, count):
    replica = context.first.upstream.record.replica
    tell = Tell("r2", "b", "", (0, 0), (0, 0), (0, 0), loads={replica: count})
    context.core.fleet.hear(tell, Endpoint("127.0.0.2", 1))


@then('a chat with the parts "{parts}" goes to another replica')
def other_replica(context, parts):
    context.found = choose(context.core, new_call(parts))
    assert context.found.upstream is not context.first.upstream


@then("the replica is told to copy the prefix from the first one")
def told_to_copy(context):
    assert context.found.source is context.first.upstream


@when("its replica starts anew under the same name")
def starts_anew(context):
    replica = context.first.upstream.record.replica
    context.clock.advance(100)
    take(context, RowTable.UPSTREAMS, {replica: upstream_data(born=77)})


@then('the replica holds {tokens:d} tokens of "{parts}"')
def holds(context, tokens, parts):
    replica = context.first.upstream.record.replica
    upstream = context.core.beliefs.upstreams[replica]
    assert context.core.chooser.held(new_call(parts), upstream) == tokens


@when('the replica "{name}" is draining')
def draining(context, name):
    take(context, RowTable.UPSTREAMS, {name: upstream_data(state="draining")})


@when('the replica "{name}" is removed')
def removed(context, name):
    take(context, RowTable.UPSTREAMS, {name: None})


@when('the replica "{name}" is listed again')
def listed_again(context, name):
    take(context, RowTable.UPSTREAMS, {name: upstream_data()})


@when('the replica "{name}" writes a beat')
def writes_beat(context, name):
    record = context.core.beliefs.upstreams[name].record
    context.clock.advance(1200)
    row = upstream_data(zone=record.zone, port=record.port, sequence=2)
    take(context, RowTable.UPSTREAMS, {name: row})


@when('the replica "{name}" says it is cold')
def says_cold(context, name):
    record = context.core.beliefs.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, cold_remaining_ms=2000)
    take(context, RowTable.UPSTREAMS, {name: row})


@when('the replica "{name}" says it has more slots')
def says_slots(context, name):
    record = context.core.beliefs.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, slots=80)
    take(context, RowTable.UPSTREAMS, {name: row})


@when('the removal of "{name}" is held')
def removal_held(context, name):
    context.clock.advance(6000)
    take(context, RowTable.UPSTREAMS, {name: None})
    assert name in context.core.beliefs.upstreams


@then("the last change that mattered is the newest row: {matters}")
def mattered(context, matters):
    beliefs = context.core.beliefs
    newest = beliefs.caches[RowTable.UPSTREAMS].version
    assert (beliefs.material[RowTable.UPSTREAMS] == newest) == yes(matters)


@when('the zone of "{name}" is emptied')
def zone_out(context, name):
    context.zone = context.core.beliefs.upstreams[name].record.zone
    take(context, RowTable.OPERATOR, {f"evacuate/{context.zone}": b"{}"})


@when('the zone of "{name}" is taken back')
def zone_back(context, name):
    take(context, RowTable.OPERATOR, {f"evacuate/{context.zone}": None})


@when('the replica "{name}" is unreachable')
def unreachable(context, name):
    context.core.health.note(name, Sign.UNREACHABLE)


def reached(context):
    """Return the replicas that many different chats go to."""
    for belief in context.core.beliefs.settle():
        assert belief.event == "upstream_gone"
    calls = (new_call(f"p:100,c{number}:5000,q:10") for number in range(60))
    found = [choose(context.core, call) for call in calls]
    return {item.upstream.record.replica for item in found if isinstance(item, Choice)}


@then('no request goes to the replica "{name}"')
def not_reached(context, name):
    found = reached(context)
    assert found and name not in found, found


@then('requests may go to the replica "{name}"')
def may_reach(context, name):
    assert name in reached(context)


@then('the replica "{name}" is cold for {span:d} ms')
def cold_for(context, name, span):
    upstream = context.core.beliefs.upstreams[name]
    assert upstream.cold_until - context.clock.now() == span


@when("the configuration {number:d} is taken in a row of version {version:d}")
def configuration_taken(context, number, version):
    give_rows(context.core, RowTable.OPERATOR, version, {"config": plan_data(number)})


@then("the configuration {number:d} is in force")
def in_force(context, number):
    assert context.core.beliefs.plan.version == number


@when("the store is away for {span:d} ms")
def store_away(context, span):
    context.clock.advance(span)


@when("{span:d} ms pass")
def time_passes(context, span):
    context.clock.advance(span)


@when("the list of upstreams is confirmed")
def list_confirmed(context):
    context.core.beliefs.confirm(RowTable.UPSTREAMS, context.version)


@when('requests to "{name}" show "{signs}"')
def requests_show(context, name, signs):
    for sign in signs.split(","):
        context.core.health.note(name, Sign(sign))


@when("requests to all replicas fail {bad:d} times of {all:d}, {count:d} times")
def all_fail(context, bad, all, count):
    names = [f"r{number}" for number in range(context.count)]
    for number in range(count):
        sign = Sign.FAILED if number % all < bad else Sign.GOOD
        for name in names:
            context.core.health.note(name, sign, names)


@then('the replica "{name}" is left alone: {alone}')
def left_alone(context, name, alone):
    assert context.core.health.allows(name) != yes(alone)


@when('a trial request to "{name}" runs')
def trial_runs(context, name):
    assert context.core.health.allows(name)
    context.core.health.start_trial(name)


@when("the request crashes {own:d} replicas here and {told:d} elsewhere")
def crashes(context, own, told):
    for number in range(own):
        context.core.suspects.note(7, f"o{number}")
    for number in range(told):
        context.core.suspects.told(7, f"t{number}")


@then("the request is refused: {refused}")
def refused(context, refused):
    assert context.core.suspects.refuses(7) == yes(refused)


@when('the bytes "{text}" arrive in pieces of {size:d}')
def bytes_arrive(context, text, size):
    data = text.replace("\\n", "\n").replace("\\r", "\r").encode()
    context.splitter = EventSplitter()
    context.events = []
    for start in range(0, len(data), size):
        context.events += context.splitter.feed(data[start : start + size])
    context.data = data


@then('the events are "{numbers}" and a part is left: {partial}')
def events_are(context, numbers, partial):
    assert [str(event.number) for event in context.events] == numbers.split(",")
    assert context.splitter.partial == yes(partial)
    assert context.data.startswith(b"".join(event.raw for event in context.events))


@given("{count:d} routers that hear each other")
def hear_each_other(context, count):
    context.clock = ManualClock(10_000)
    names = [f"n{number}" for number in range(count)]
    context.fleets = {name: Fleet(context.clock, name) for name in names}
    context.ages = dict.fromkeys(names, 50)
    context.silent = set()
    tell_each_other(context)


def tell_each_other(context):
    """Let each router tell the others, all of them as readers where they would read."""
    for name, fleet in context.fleets.items():
        for other in context.fleets:
            if other != name and other not in context.silent:
                age = context.ages[other]
                tell = Tell(other, "b", "", (1, 1), (1, 1), (age, age), reader=True)
                fleet.hear(tell, Endpoint("127.0.0.1", 1))


def readers(context):
    """Return the routers that read the store."""
    limits = (READER_AGE_MS, READER_AGE_MS)
    return [name for name, fleet in context.fleets.items() if not fleet.covers(limits)]


@when("all is well")
def all_well(context):
    tell_each_other(context)


@when("the reader is not heard for {span:d} ms")
def reader_silent(context, span):
    (name,) = readers(context)
    context.silent.add(name)
    context.clock.advance(span)
    tell_each_other(context)


@when("the reader's rows are {age:d} ms old")
def reader_old(context, age):
    (name,) = readers(context)
    context.ages[name] = age
    context.silent_reader = name
    tell_each_other(context)


@then("{count:d} routers read the store")
def readers_count(context, count):
    found = set(readers(context)) - context.silent - {getattr(context, "silent_reader", "")}
    assert len(found) == count, found


@given("a router that knows nothing")
def knows_nothing(context):
    context.second = new_core(context.clock)


@when("the second one takes all rows of the first")
def takes_all(context):
    for table in RowTable:
        page = context.core.beliefs.caches[table].page()
        context.second.beliefs.confirm(table, page.version)
        context.second.beliefs.take(table, page)


@when("the second one takes the changes of the first")
def takes_changes(context):
    for table in RowTable:
        after = context.second.beliefs.caches[table].version
        page = context.core.beliefs.caches[table].changes(after)
        context.second.beliefs.take(table, page)


@then("both know the same")
def know_the_same(context):
    first, second = context.core.beliefs, context.second.beliefs
    assert first.plan.version == second.plan.version
    assert {name: item.record for name, item in first.upstreams.items()} == {
        name: item.record for name, item in second.upstreams.items()
    }
