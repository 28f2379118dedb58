"""Steps for streams that may go on only at the software version that began them."""

from dataclasses import replace

import trio
from behave import given, then, when
from trio.testing import MockClock

from features.entry_fixtures import (
    ZONES,
    apply_next_rows,
    apply_rows,
    choose,
    core_with_replicas,
    new_call,
    upstream_data,
)
from features.steps.entry_answers import (
    CHUNKS,
    STREAM_HEAD,
    add_world,
    call,
)
from skylarklift.clock import LoopClock, ManualClock
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.model import Endpoint, SendOptions
from skylarklift.entry.placement.choice import Choice, WantedVersion
from skylarklift.entry.placement.health import MAX_EJECTION_MS, HealthSignal
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.state.rows import ReleaseStore, RowTable, TableSummary
from skylarklift.entry.versions.release_sync import ReleaseSync
from skylarklift.entry.versions.releases import (
    ReleaseReport,
    ReleaseRow,
    Releases,
    ReleaseStep,
    VersionWeight,
    decode_release_row,
    encode_release_row,
    pick_version,
)
from skylarklift.entry.versions.resumptions import OriginSource, ResumedStream, Resumptions
from skylarklift.entry.versions.stream_deadlines import DEADLINE_TTL_MS, LongestDeadline
from skylarklift.entry.versions.stream_origins import StreamOrigin, StreamOrigins
from skylarklift.entry.versions.stream_version import StreamVersion
from skylarklift.errors import Refusal, StoreUnavailable
from standins.scripted_replica import EVENTS, TWO_EVENTS, Ending, Reply, chunked

SERVICE = "lm"
REQUEST = "first-1"
ROW_VERSION = 2
LONGEST_MS = 15_000
STORE_NOW_MS = 10_000_000
# A router is silent after this long in a small fleet.
SILENCE_MS = 9000
EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2


@given('a router before replicas of the versions "{versions}" that break off each new stream')
def replicas_of_versions(context, versions):
    def reply(request):
        if request.last_event:
            return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS))
        return Reply(STREAM_HEAD + CHUNKS + chunked(TWO_EVENTS, whole=False), Ending.CLOSE)

    context.versions = versions.split()
    add_world(context, len(context.versions), reply)
    world = context.world
    for number, version in enumerate(context.versions, 1):
        named = None if version == "none" else version
        world.register_replica(f"lm-{number}", "lm", version=named)
    # All routers know the versions before streams begin.
    context.thread.run(trio.sleep, 1.5)


@when("a request for a stream is sent to them")
def stream_sent(context):
    context.response = context.thread.run(call, context, "/chat/a", "id-1")


@then("the stream is {result}, and goes on at no other version")
def stream_result(context, result):
    got = [bool(replica.received) for replica in context.scripted]
    reached = {version for version, used in zip(context.versions, got, strict=True) if used}
    assert len(reached) == 1, reached
    assert context.response.complete == (result == "complete"), context.response
    if result == "broken off":
        assert context.response.body == TWO_EVENTS, context.response


@given("another router beside it")
def another_router(context):
    context.other = context.thread.run(context.world.start_router, "n2")
    # Both know each other, and which versions there are.
    context.thread.run(trio.sleep, 1.5)


async def call_stream(context, router, number, request, headers):
    prefix = {"x-prefix-hash": f"aa:50,b{number}:40,cc:10", **headers}
    return await context.world.call(router, "/chat/a", request_id=request, headers=prefix)


def replica_of(context, request):
    """Return the index of the replica that ran a request last, `None` if none did."""
    ran = [
        index
        for index, replica in enumerate(context.scripted)
        if any(item.request_id == request for item in replica.received)
    ]
    assert len(ran) <= 1, (request, ran)
    return ran[0] if ran else None


@when("{count:d} streams of different prompts begin at the first router")
def streams_begin(context, count):
    context.began = {}
    for number in range(count):
        response = context.thread.run(
            call_stream, context, context.router, number, f"s{number}", {}
        )
        assert response.complete, response
        context.began[number] = replica_of(context, f"s{number}")
    assert set(context.began.values()) == {0, 1}, context.began


@when("nothing else happens to them")
def nothing_happens(context):
    pass


@when("the first router is killed")
def first_killed(context):
    context.router.process.kill()
    context.router.process.wait()


@when("both are killed and start anew")
def both_start_anew(context):
    for router in (context.router, context.other):
        router.process.kill()
        router.process.wait()
    context.other = context.thread.run(context.world.start_router, "n3")


@when("the client resumes all of them at the second router")
def taken_up_at_second(context):
    context.responses = {}
    for number in context.began:
        headers = {"last-event-id": "2", "resumes": f"s{number}"}
        context.responses[number] = context.thread.run(
            call_stream, context, context.other, number, f"t{number}", headers
        )


@then("none goes on at another version, and {result}")
def resumptions_end(context, result):
    went_on = {number: replica_of(context, f"t{number}") for number in context.began}
    for number, replica in went_on.items():
        response = context.responses[number]
        assert replica in (None, context.began[number]), (number, replica, context.began[number])
        assert response.status == (503 if replica is None else 200), (number, response)
    expected = set(context.began)
    if result != "all go on":
        expected = {number for number, replica in context.began.items() if replica == 0}
    assert {number for number, replica in went_on.items() if replica is not None} == expected


def parse_weights(text):
    """Return the proportions VERSION:REPLICAS,..."""
    pairs = (item.split(":") for item in text.split(","))
    return tuple(VersionWeight(version, int(count)) for version, count in pairs)


def parse_steps(text):
    """Return the steps AGE_S=PROPORTIONS, separated by spaces."""
    items = (item.split("=") for item in text.split())
    return tuple(ReleaseStep(int(age) * 1000, parse_weights(weights)) for age, weights in items)


@given('the proportions "{steps}"')
@given('the proportions ""')
def proportions(context, steps=""):
    context.clock = ManualClock(100_000)
    context.releases = Releases(context.clock)
    context.releases.confirm(0)
    context.fleet = Fleet(context.clock, "n0")
    context.origins, context.memory = StreamOrigins(context.clock), "knows nothing of it"
    context.steps = parse_steps(steps)
    if context.steps:
        report = ReleaseReport(SERVICE, ROW_VERSION, context.steps)
        assert context.releases.apply(report)


def prompt_of(context, version):
    """Return the key of a prompt that the newest proportions assign to a version."""
    if version == "any":
        return "s0"
    weights = context.steps[-1].weights
    return next(key for n in range(100) if pick_version(key := f"s{n}", weights) == version)


@given("a router that {memory}")
def router_with_memory(context, memory):
    context.memory = memory
    if memory.startswith("began it at "):
        version = memory.removeprefix("began it at ")
        context.origins.record(
            StreamOrigin(REQUEST, SERVICE, None if version == "none" else version)
        )


async def find(context, taken):
    """Return where a stream may go on; another router answers if there is one."""
    resumptions = Resumptions(context.fleet, context.origins, context.releases)
    if not context.memory.startswith("asks"):
        return await resumptions.find(taken)
    message = GossipMessage("n1", "b", "", EMPTY_SUMMARIES)
    context.fleet.record_message(message, Endpoint("127.0.0.2", 1))
    origins = StreamOrigins(context.clock)
    if context.memory == "asks one that knows":
        origins.record(StreamOrigin(REQUEST, SERVICE, "v1"))
    other = Resumptions(Fleet(context.clock, "n1"), origins, context.releases)
    here = Endpoint("127.0.0.1", 1)

    async def answer():
        other.apply_message((await resumptions.outgoing.receive()).message, here)
        resumptions.apply_message((await other.outgoing.receive()).message, here)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        return await resumptions.find(taken)


@when('a client resumes a stream of a prompt that is "{prompt}", {left:d} ms before its 15 s end')
def taken_up(context, prompt, left):
    key = prompt_of(context, prompt.removeprefix("of "))
    taken = ResumedStream(REQUEST, SERVICE, key, LONGEST_MS - left)
    context.found = trio.run(find, context, taken)


@then('it goes on at "{version}", as it is {source}')
def goes_on_at(context, version, source):
    assert context.found.source is OriginSource(source), context.found
    assert (context.found.version or "none") == version, context.found


@given("a new router with {known}")
def just_started(context, known):
    context.core = core_with_replicas(3, context.clock)
    releases, deadline = context.core.releases, LongestDeadline(LONGEST_MS, 0)
    report = ReleaseReport(SERVICE, ROW_VERSION, context.steps)
    context.core.releases.confirm(0)
    match known:
        case "no deadline":
            assert releases.apply(report)
        case "a deadline of 15 s here":
            assert releases.apply(report)
            releases.deadlines.record(SERVICE, LONGEST_MS)
        case "a deadline of 15 s by another router":
            message = gossip_of_releases(replace(report, deadline=deadline))
            assert releases.apply(decode_gossip(encode_gossip(message)).releases[0])
        case "a deadline of 15 s by the row":
            data = encode_release_row(ReleaseRow(context.steps, deadline), STORE_NOW_MS)
            row = decode_release_row(data, STORE_NOW_MS)
            assert releases.apply(replace(report, deadline=row.deadline))
        case "a deadline of 15 s, 2 minutes ago":
            releases.deadlines.record(SERVICE, LONGEST_MS)
            context.clock.advance(DEADLINE_TTL_MS)
            releases.confirm(0)
            assert releases.apply(report)


def gossip_of_releases(*releases):
    """Return a message of another router about software versions."""
    return GossipMessage("n1", "b", "", EMPTY_SUMMARIES, releases=releases)


@when("a client resumes a stream of a prompt that moved, on a route of 5 s, with {left:d} ms left")
def resumed_after_start(context, left):
    core = context.core
    route = core.cluster_state.plan.route("app.example", "/chat/x")
    call = new_call(f"{prompt_of(context, 'v2')}:10,own:1", deadline_ms=left)
    call.resume_after, call.resumes = 2, REQUEST
    version = StreamVersion(core, call, route)
    try:
        trio.run(version.find, SERVICE)
        context.result = f"goes on at {version.required}"
    except Refusal as exc:
        context.result = f"is refused, as {exc.code}"


@then("the resumed stream {result}")
def resumed_stream(context, result):
    assert context.result == result, context.result


@given("the rows were the newest ones {age:d} ms ago")
def rows_confirmed(context, age):
    report = ReleaseReport(SERVICE, ROW_VERSION, context.steps)
    context.releases = Releases(context.clock)
    context.releases.apply(report)
    context.releases.confirm(age)


# By a case: how many routers were heard, how many routers these count, which one differs, and how.
OTHER_ROUTERS = {
    "none is known": (0, 0, ""),
    "all 3 are heard": (3, 4, ""),
    "one of 3 is silent": (3, 4, "silent"),
    "one of 3 has left": (3, 4, "left"),
    "3 are heard of 9": (3, 9, ""),
}


@given("other routers of which {others}")
def other_routers(context, others):
    count, counted, odd = OTHER_ROUTERS[others]
    for number in range(count):
        leaving = odd == "left" and number == 0
        heard(context, number, router_count=counted, leaving=leaving)
    context.clock.advance(SILENCE_MS)
    for number in range(bool(odd), count):
        heard(context, number, router_count=counted)


def heard(context, number, **fields):
    """Let the router hear another one."""
    message = GossipMessage(f"n{number + 1}", "b", "", EMPTY_SUMMARIES, **fields)
    context.fleet.record_message(message, Endpoint("127.0.0.2", number + 1))


@when('a stream of "{version}" begins')
def stream_begins(context, version):
    context.resumptions = Resumptions(context.fleet, context.origins, context.releases)
    context.resumptions.record_begun(StreamOrigin(REQUEST, SERVICE, version))


@then("{count:d} routers are sent its version")
def routers_sent(context, count):
    async def receive():
        channel = context.resumptions.outgoing
        return [await channel.receive() for _ in range(channel.statistics().current_buffer_used)]

    sent = trio.run(receive)
    assert len({item.address for item in sent}) == count, sent
    assert all(item.message.origins[0].request == REQUEST for item in sent)


class ScriptedReleases(ReleaseStore):
    """A store of one row on software versions, which may refuse calls."""

    def __init__(self, refused):
        self.refused = refused
        self.row = ReleaseReport(SERVICE, 1, parse_steps("9=v1:1"))
        self.reads = 0

    async def read_releases(self):
        self.reads += 1
        if self.refused == "reads" and self.reads > 1:
            raise StoreUnavailable("status 429")
        return [self.row]

    async def write_release(self, report):
        if self.refused == "writes":
            raise StoreUnavailable("status 429")
        if report.row_version == self.row.row_version:
            self.row = replace(report, row_version=report.row_version + 1)
        return self.row


@given("a store that refuses {calls}")
def scripted_store(context, calls):
    context.store = ScriptedReleases(calls)


@when('a row with "{row}" is written by another router, and 3 s pass')
def row_written(context, row):
    async def play():
        clock = LoopClock()
        context.core = core_with_replicas(2, clock)
        apply_rows(context.core, RowTable.UPSTREAMS, 2, {"r1": entry(1, version="v2")})
        context.core.reading_store = dict.fromkeys(RowTable, True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ReleaseSync(context.core, context.store).run)
            await trio.sleep(0.05)
            context.store.row = ReleaseReport(SERVICE, 8, parse_steps(row))
            await trio.sleep(3)
            context.current = context.core.releases.are_current()
            nursery.cancel_scope.cancel()

    trio.run(play, clock=MockClock(autojump_threshold=0))


@then("the router {knows} the row, and rows are known to be current: {current}")
def knows_row(context, knows, current):
    version = context.core.releases.row_version(SERVICE)
    assert (version >= 8) == (knows == "knows"), version
    assert context.current == (current == "yes"), context.core.releases.age_ms()


@when('a replica of "v2" takes the place of one of "v1"')
def replica_replaced(context):
    context.before = context.steps[-1].weights
    context.after = parse_weights("v1:7,v2:2")


@then('at most {most:d} of {count:d} prompts move, all of them to "{version}"')
def prompts_move(context, most, count, version):
    keys = [f"s{number}" for number in range(count)]
    moved = [
        key for key in keys if pick_version(key, context.before) != pick_version(key, context.after)
    ]
    assert 0 < len(moved) <= most, len(moved)
    assert {pick_version(key, context.after) for key in moved} == {version}


@then("the row reads back as it was written")
def row_reads_back(context):
    row = ReleaseRow(context.steps, LongestDeadline(15_000, 200))
    data = encode_release_row(row, STORE_NOW_MS)
    assert decode_release_row(data, STORE_NOW_MS) == row
    later = decode_release_row(data, STORE_NOW_MS + 500)
    assert later.steps[0].age_ms == context.steps[0].age_ms + 500
    assert later.deadline == LongestDeadline(15_000, 700)
    for odd in (b"{odd", b'{"steps":[7]}'):
        assert decode_release_row(odd, 0) == ReleaseRow()


@when('the usable replicas are "{replicas}"')
@when('the usable replicas are ""')
def usable_replicas(context, replicas=""):
    counts = {item.version: item.weight for item in parse_weights(replicas)} if replicas else {}
    context.written = context.releases.next_row(SERVICE, counts)


@then('the proportions to write are "{written}"')
@then('the proportions to write are ""')
def proportions_written(context, written=""):
    assert (context.written or ()) == parse_steps(written), context.written


@when('the store of era {era:d} tells the row version {number:d} with "{row}"')
@when('the store of era {era:d} tells the row version {number:d} with ""')
def store_tells(context, era, number, row=""):
    context.releases.apply(ReleaseReport(SERVICE, number, parse_steps(row), era))


@then('a prompt of "{prompt}" began at "{versions}"')
def prompt_began_at(context, prompt, versions):
    key = prompt_of(context, prompt)
    found = context.releases.began_at(SERVICE, key, LONGEST_MS)
    assert found == set(versions.split()), found


@given('a router before replicas r0 and r1 of "v1" and r2 of "v2"')
def router_before_versions(context):
    context.clock = ManualClock(100_000)
    context.core = core_with_replicas(3, context.clock)
    context.version = 1
    apply_next_rows(context, RowTable.UPSTREAMS, {"r2": entry(2, version="v2")})


def entry(number, **fields):
    return upstream_data(zone=ZONES[number], port=9000 + number, **fields)


@when('"{event}" happens')
def versions_change(context, event):
    health, clock = context.core.health, context.clock
    match event:
        case "r0 was unreachable":
            health.record_result("r0", HealthSignal.UNREACHABLE)
            clock.advance(MAX_EJECTION_MS)
        case "r0 answers again" | "r0 writes again":
            attempt = attempt_at(context.core, "r0")
            attempt.report_signal(HealthSignal.UNREACHABLE)
            clock.advance(MAX_EJECTION_MS)
            attempt.report_signal(HealthSignal.GOOD)
            if event == "r0 writes again":
                apply_next_rows(context, RowTable.UPSTREAMS, {"r0": entry(0, sequence=2)})
        case "n1 reports r0":
            report_ejection(context.core, "r0")
            clock.advance(MAX_EJECTION_MS)
            health.record_result("r0", HealthSignal.GOOD)
        case "r0 is back as v2":
            rows = {"r0": entry(0, version="v2", born=7)}
            apply_next_rows(context, RowTable.UPSTREAMS, rows)
        case "r0 says v3":
            apply_next_rows(context, RowTable.UPSTREAMS, {"r0": entry(0, version="v3")})
        case "r0 says nothing":
            apply_next_rows(context, RowTable.UPSTREAMS, {"r0": entry(0, version=None)})
        case "r1 and r2 have left":
            apply_next_rows(context, RowTable.UPSTREAMS, {"r1": None, "r2": None})


def attempt_at(core, replica):
    """Return an attempt at a replica."""
    for number in range(60):
        call = new_call(f"base:100,s{number}:2000,own:30")
        choice = choose(core, call)
        if choice.upstream.record.replica == replica:
            options = SendOptions(replica, None, 100, None, None)
            return Attempt(core, call, choice, options, repeatable=True)
    raise AssertionError(f"no request goes to {replica}")


def report_ejection(core, replica):
    """Let another router report that it could not reach a replica."""
    message = GossipMessage(
        "n1", "b", "", EMPTY_SUMMARIES, ejected={replica: 100}, maybe_restarted=(replica,)
    )

    async def apply():
        async with trio.open_nursery() as nursery:
            data = encode_gossip(message)
            Peering(core, members=None)._apply_datagram(data, Endpoint("127.0.0.2", 1), nursery)
            nursery.cancel_scope.cancel()

    trio.run(apply)


@then('a stream that "{version}" {state} may go to "{replicas}"')
def stream_may_go_to(context, version, state, replicas):
    core = context.core
    wanted = WantedVersion(version, begun=state == "has begun")
    route = core.cluster_state.plan.route("app.example", "/chat/x")
    found = set()
    for number in range(60):
        call = new_call(f"base:100,s{number}:2000,own:30")
        choice = core.chooser.choose(call, route, SERVICE, (), None, wanted)
        if isinstance(choice, Choice):
            found.add(choice.upstream.record.replica)
        context.clock.advance(1200)
    assert found == set(replicas.split()), found
