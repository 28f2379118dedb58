"""Steps for the rows on software versions, and for what a router concludes from them."""

from dataclasses import replace

import trio
from behave import given, then, when
from trio.testing import MockClock

from features.entry_fixtures import (
    apply_rows,
    core_with_replicas,
    new_call,
)
from features.release_fixtures import (
    EMPTY_SUMMARIES,
    LONGEST_MS,
    REQUEST,
    ROW_VERSION,
    SERVICE,
    SILENCE_MS,
    STORE_NOW_MS,
    entry,
    gossip_of_releases,
    parse_steps,
    parse_weights,
    prompt_of,
)
from skylarklift.clock import MS_PER_SECOND, LoopClock, ManualClock
from skylarklift.entry.gossip.fleet import FORGET_PEER_MS, Fleet, GossipMessage
from skylarklift.entry.gossip.silences import SilenceReport
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.model import Endpoint
from skylarklift.entry.standstill import CHECK_INTERVAL_MS
from skylarklift.entry.state.rows import NO_ERA, ReleaseStore, RowTable
from skylarklift.entry.versions.nominal_starts import NominalStart
from skylarklift.entry.versions.origin_messages import OriginMessage
from skylarklift.entry.versions.release_rows import (
    ReleaseReport,
    ReleaseRow,
    decode_release_row,
    decode_report,
    encode_release_row,
    encode_report,
)
from skylarklift.entry.versions.release_steps import pick_version
from skylarklift.entry.versions.release_sync import ReleaseSync
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.resumptions import OriginSource, ResumedStream, Resumptions
from skylarklift.entry.versions.stream_deadlines import DEADLINE_TTL_MS, LongestDeadline
from skylarklift.entry.versions.stream_origins import StreamOrigin, StreamOrigins
from skylarklift.entry.versions.stream_version import StreamVersion
from skylarklift.errors import Refusal, StoreUnavailable

HEARD_INTERVAL_MS = 500
# How long a stream that is resumed may wait, and in which steps the time passes.
WAITED_MS = 5000
TICK_MS = 10
MAX_OTHERS = 3
# A reader that was heard so long ago is not live any more; its next message is not overdue yet.
READER_LAG_MS = 1000


def row_of(steps):
    """Return a row of these steps that was written by a router of this release."""
    return ReleaseReport(SERVICE, ROW_VERSION, steps, written_in=NO_ERA)


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
        assert context.releases.apply(row_of(context.steps))


@given("a resuming router that {memory}")
def router_with_memory(context, memory):
    context.memory = memory
    if memory.startswith("began it at "):
        version = memory.removeprefix("began it at ")
        context.origins.record(
            StreamOrigin(REQUEST, SERVICE, None if version == "none" else version)
        )


async def find(context, taken):
    """Return where a stream may go on; another router answers if there is one."""
    resumptions = Resumptions(context.clock, context.fleet, context.origins, context.releases)
    context.resumptions = resumptions
    if not context.memory.startswith("asks"):
        return await resumptions.find(taken)
    message = GossipMessage("n1", "b", "", EMPTY_SUMMARIES)
    context.fleet.record_message(message, Endpoint("127.0.0.2", 1))
    origins = StreamOrigins(context.clock)
    if context.memory.startswith("asks one that knows "):
        version = context.memory.removeprefix("asks one that knows ")
        origins.record(StreamOrigin(REQUEST, SERVICE, None if version == "none" else version))
    other = Resumptions(context.clock, Fleet(context.clock, "n1"), origins, context.releases)
    here = Endpoint("127.0.0.1", 1)

    async def answer():
        other.apply_message((await resumptions.outgoing.receive()).message, here)
        resumptions.apply_message((await other.outgoing.receive()).message, here)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        found = await resumptions.find(taken)
        # It still waits if nothing was asked.
        nursery.cancel_scope.cancel()
    return found


@when('a client resumes a stream of a prompt that is "{prompt}", {left:d} ms before its 15 s end')
def taken_up(context, prompt, left):
    key = prompt_of(context, prompt.removeprefix("of "))
    taken = ResumedStream(REQUEST, SERVICE, key, LONGEST_MS - left)
    context.found = trio.run(find, context, taken)


async def find_amid(context, taken, later_ms, happen):
    """Return where a stream may go on, as time passes and something happens meanwhile."""

    async def pass_time():
        for passed_ms in range(0, WAITED_MS, TICK_MS):
            if passed_ms == later_ms:
                happen()
            await trio.sleep(TICK_MS / MS_PER_SECOND)
            context.clock.advance(TICK_MS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(pass_time)
        found = await find(context, taken)
        nursery.cancel_scope.cancel()
    return found


@when("a client resumes a stream that {began}, and {event}")
def taken_up_amid(context, began, event):
    what, _, later_ms = event.removesuffix(" ms later").rpartition(" ")
    nominal = None
    if began != "began at any time":
        start_ms = int(began.removeprefix("nominally began ").removesuffix(" ms ago"))
        nominal = NominalStart(start_ms, start_ms)
    taken = ResumedStream(REQUEST, SERVICE, "any", LONGEST_MS, nominal)
    context.found = trio.run(
        find_amid,
        context,
        taken,
        int(later_ms) if what else 0,
        lambda: confirm_or_report(context, what),
        clock=MockClock(autojump_threshold=0),
    )


def confirm_or_report(context, what):
    """Let the rows be confirmed, as they are or with a new one, or an answer arrive late."""
    match what:
        case "the rows are confirmed":
            context.releases.confirm(0)
        case "a row of v2 is read":
            steps = parse_steps("100=v1:1 2=v2:1")
            context.releases.apply(replace(row_of(steps), row_version=ROW_VERSION + 1))
            context.releases.confirm(0)
        case "no router knows it":
            for number in range(MAX_OTHERS):
                message = OriginMessage(f"n{number}", unknown=(REQUEST,))
                context.resumptions.apply_message(message, Endpoint("127.0.0.2", 1))
        case "a router answers v2":
            context.origins.record(StreamOrigin(REQUEST, SERVICE, "v2"))
        case _:
            assert what == "", what


@then('it goes on at "{version}", as it is {source}')
def goes_on_at(context, version, source):
    assert context.found.source is OriginSource(source), context.found
    assert (context.found.version or "none") == version, context.found


@given("a new router with {known}")
def just_started(context, known):
    context.core = core_with_replicas(3, context.clock)
    releases, deadline = context.core.releases, LongestDeadline(LONGEST_MS, 0)
    report = row_of(context.steps)
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


def run_router(context, span_ms):
    """Let a router run, with the checks of its maintenance."""
    for _ in range(span_ms // CHECK_INTERVAL_MS):
        context.clock.advance(CHECK_INTERVAL_MS)
        context.core.standstill.check()


@given("that router runs for {span:d} ms")
def router_runs(context, span):
    context.core.standstill.check()
    run_router(context, span)
    context.core.releases.confirm(0)


@given("that router stands still for {span:d} ms")
@given("that router stands still for {span:d} ms, then runs for {running:d} ms")
def router_stands_still(context, span, running=0):
    context.core.standstill.check()
    context.clock.advance(span)
    run_router(context, running)
    context.core.releases.confirm(0)


@given("that router stands still for {span:d} ms, then for {more:d} ms again")
def router_stands_still_twice(context, span, more):
    context.core.standstill.check()
    context.clock.advance(span)
    context.core.standstill.check()
    context.clock.advance(more)
    context.core.releases.confirm(0)


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
    report = row_of(context.steps)
    context.releases = Releases(context.clock)
    context.releases.apply(report)
    context.releases.confirm(age)


# By a case: how many routers were heard, how many routers these count, which one differs, and how.
OTHER_ROUTERS = {
    "none is known": (0, 0, ""),
    "all 3 are heard": (3, 4, ""),
    "all 3 are heard, one reads the store": (3, 4, "reads"),
    "the one of 3 that reads the store was heard 1 s ago": (3, 4, "reader lags"),
    "one of 3 is silent": (3, 4, "silent"),
    "one of 3 has left": (3, 4, "left"),
    "one of 3 was silent and is back": (3, 4, "back"),
    "one of 3 was silent until 4 s ago": (3, 4, "back for 4000"),
    "one of 3 was silent until 2 s ago": (3, 4, "back for 2000"),
    "one of 3 was silent and has restarted": (3, 4, "restarted"),
    "one of 3 has left and is back": (3, 4, "left, back"),
    "all 3 are heard, one tells of a silence": (3, 4, "tells"),
    "one of 3 is silent for two minutes": (3, 4, "forgotten"),
    "3 are heard of 9": (3, 9, ""),
}


@given("other routers of which {others}")
def other_routers(context, others):
    count, counted, odd = OTHER_ROUTERS[others]
    is_missing = odd not in ("", "reads", "reader lags", "tells")
    for number in range(count):
        heard(context, number, router_count=counted, leaving="left" in odd and number == 0)
    span_ms = 2 * FORGET_PEER_MS if odd == "forgotten" else SILENCE_MS
    back_ms = int(odd.removeprefix("back for ")) if odd.startswith("back for") else 0
    hear_for(context, span_ms - back_ms, range(is_missing, count), router_count=counted)
    if "back" in odd or odd == "restarted":
        heard(context, 0, router_count=counted, boot="other" if odd != "back" else "b")
    if odd in ("reads", "reader lags"):
        heard(context, 0, router_count=counted, reads_store=True)
    if odd == "reader lags":
        hear_for(context, READER_LAG_MS, range(1, count), router_count=counted)
    if odd == "tells":
        message = GossipMessage(
            "n1", "b", "", EMPTY_SUMMARIES, silences=(SilenceReport(SILENCE_MS, 100),)
        )
        for silence in decode_gossip(encode_gossip(message)).silences:
            context.fleet.silences.apply_report(silence)
    hear_for(context, back_ms, range(count), router_count=counted)


def hear_for(context, span_ms, numbers, **fields):
    """Let the router hear others again and again for a time."""
    for _ in range(span_ms // HEARD_INTERVAL_MS):
        context.clock.advance(HEARD_INTERVAL_MS)
        for number in numbers:
            heard(context, number, **fields)
        context.fleet.router_count()


def heard(context, number, boot="b", **fields):
    """Let the router hear another one."""
    message = GossipMessage(f"n{number + 1}", boot, "", EMPTY_SUMMARIES, **fields)
    context.fleet.record_message(message, Endpoint("127.0.0.2", number + 1))


@when('a stream of "{version}" begins')
def stream_begins(context, version):
    context.resumptions = Resumptions(
        context.clock, context.fleet, context.origins, context.releases
    )
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
        self.reads = self.writes = 0
        # When the ages in the row were right.
        self.aged_at = None

    def aged_row(self):
        """Return the row with the ages of now."""
        now_ms = STORE_NOW_MS + round(trio.current_time() * 1000)
        data = encode_report(self.row, now_ms if self.aged_at is None else self.aged_at)
        version, era = self.row.row_version, self.row.era
        self.row, self.aged_at = decode_report(SERVICE, version, data, now_ms, era), now_ms
        return self.row

    async def read_releases(self):
        self.reads += 1
        if self.refused == "reads" and self.reads > 1:
            raise StoreUnavailable("status 429")
        return [self.aged_row()]

    async def write_release(self, report):
        self.aged_row()
        self.writes += 1
        if self.refused == "writes":
            raise StoreUnavailable("status 429")
        if self.refused == "one lost race" and self.writes == 1:
            self.row = replace(self.row, row_version=self.row.row_version + 1)
        if report.row_version == self.row.row_version:
            self.row = replace(report, row_version=report.row_version + 1)
        return self.row


@given("a store that refuses {calls}")
def scripted_store(context, calls):
    context.store = ScriptedReleases(calls)


@given("its row has {deadline}")
def row_with_deadline(context, deadline):
    if deadline != "no deadline":
        span, age = deadline.removesuffix(" s ago").split(" s, named ")
        stored = LongestDeadline(int(span) * 1000, int(age) * 1000)
        context.store.row = replace(context.store.row, deadline=stored)


# By a case: the deadline in seconds that a caller names in each second, from the first one on.
NAMED_DEADLINES = {
    "none": lambda second: 0,
    "15 s once": lambda second: 15 * (second == 0),
    "600 s once": lambda second: 600 * (second == 0),
    "15 s each second": lambda second: 15,
    "a longer one each second": lambda second: 15 + second,
}


@when("callers name {named}, and {span:d} s pass")
def deadlines_named(context, named, span):
    async def play():
        clock = LoopClock()
        context.core = core_with_replicas(2, clock)
        apply_rows(context.core, RowTable.UPSTREAMS, 1, {"r1": entry(1, version="v1")})
        context.core.reading_store = dict.fromkeys(RowTable, True)
        began_at = clock.now()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ReleaseSync(context.core, context.store).run)
            # The row is read and, as to its proportions, right.
            await trio.sleep(2)
            context.store.writes = 0
            for second in range(span):
                deadline = NAMED_DEADLINES[named](second)
                context.core.releases.deadlines.record(SERVICE, deadline * 1000)
                await trio.sleep(1)
            nursery.cancel_scope.cancel()
        context.elapsed_ms = clock.now() - began_at

    trio.run(play, clock=MockClock(autojump_threshold=0))


@when(
    "a router is silent {silence}, the proportions change after {change:d} ms, and {span:d} ms pass"
)
def silent_in_change(context, silence, change, span):
    began, _, ended = silence.removeprefix("from ").removesuffix(" ms").partition(" to ")
    is_silent = range(int(began), int(ended or span)) if silence != "never" else range(0)

    async def play():
        clock = LoopClock()
        context.core = core_with_replicas(2, clock)
        context.clock, context.fleet = clock, context.core.fleet
        context.core.reading_store = dict.fromkeys(RowTable, True)
        context.steps = parse_steps("0=v1:1,v2:1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ReleaseSync(context.core, context.store).run)
            for elapsed_ms in range(0, span, CHECK_INTERVAL_MS):
                for number in range(elapsed_ms in is_silent, 2):
                    heard(context, number)
                if elapsed_ms == change:
                    rows = {"r1": entry(1, version="v2")}
                    apply_rows(context.core, RowTable.UPSTREAMS, 2, rows)
                await trio.sleep(CHECK_INTERVAL_MS / 1000)
            nursery.cancel_scope.cancel()
        await take_up_after_start(context, clock)

    trio.run(play, clock=MockClock(autojump_threshold=0))


async def take_up_after_start(context, clock):
    """Resume a stream of 2 s, whose prompt moved, at a router that has just started."""
    core = core_with_replicas(2, clock)
    with trio.move_on_after(0.5):
        await ReleaseSync(core, context.store).run()
    taken = ResumedStream(REQUEST, SERVICE, prompt_of(context, "v2"), 2000)
    context.found = await core.resumptions.find(taken)


@then("the row has a deadline of {span:d} s, named at most {age:d} s ago")
def stored_deadline(context, span, age):
    stored = context.store.row.deadline
    assert (stored.span_ms, stored.age_ms <= age * 1000) == (span * 1000, True), stored


@then("the row has no deadline")
def no_stored_deadline(context):
    assert context.store.row.deadline is None, context.store.row


@then("the row was written {least:d} to {most:d} times")
@then("the row was written {least:d} to {most:d} times for that")
def written_for_deadline(context, least, most):
    assert least <= context.store.writes <= most, context.store.writes


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


@given("the store is in era {era:d}")
def store_in_era(context, era):
    context.releases.note_era(era)


@then('the proportions to write are "{written}", and those of before are {before}')
def first_row_written(context, written, before):
    known = tuple(step for step in context.written if step.is_known)
    assert known == parse_steps(written), context.written
    assert (known == context.written) == (before == "certain"), context.written


@when('the store of era {era:d} tells the row version {number:d} with "{row}"')
@when('the store of era {era:d} tells the row version {number:d} with ""')
def store_tells(context, era, number, row=""):
    context.releases.apply(ReleaseReport(SERVICE, number, parse_steps(row), era))


@then('a prompt of "{prompt}" began at "{versions}"')
def prompt_began_at(context, prompt, versions):
    key = prompt_of(context, prompt)
    found = context.releases.began_at(SERVICE, key, LONGEST_MS)
    assert found == set(versions.split()), found
