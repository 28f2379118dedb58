"""Steps for how long routers remember which version began a stream, and what that costs."""

from collections import defaultdict

import trio
import trio.testing
from behave import given, then, when

from features.release_fixtures import EMPTY_SUMMARIES, REQUEST, ROW_VERSION, SERVICE, parse_steps
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.model import Endpoint
from skylarklift.entry.standstill import CHECK_INTERVAL_MS
from skylarklift.entry.state.rows import NO_ERA
from skylarklift.entry.versions.origin_messages import (
    decode_origin_message,
    encode_origin_message,
)
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.resumptions import OriginSource, ResumedStream, Resumptions
from skylarklift.entry.versions.stream_origins import StreamOrigin, StreamOrigins

RUNS_AT = 0
BACKUP_ROUTERS = 3
# How long routers of earlier releases keep an origin.
EARLIER_TTL_MS = 30_000
PEER_PORT = 7000
STEP_MS = 1000


class OriginRouter:
    """What a router knows of streams, without its connections."""

    def __init__(self, clock, number):
        self.number = number
        self.address = Endpoint("127.0.0.1", PEER_PORT + number)
        self.fleet = Fleet(clock, f"n{number}")
        self.releases = Releases(clock)
        self.origins = StreamOrigins(clock)
        self.resumptions = Resumptions(clock, self.fleet, self.origins, self.releases)

    def take_sent(self):
        """Return the messages that wait to be sent."""
        sent = []
        while True:
            try:
                sent.append(self.resumptions.outgoing.receive_nowait())
            except trio.WouldBlock:
                return sent


class OriginFleet:
    """Routers that hear each other, and get each other's messages at once."""

    def __init__(self, count):
        self.clock = ManualClock(1_000_000)
        self.routers = {number: OriginRouter(self.clock, number) for number in range(count)}
        # When each router was told of each stream.
        self.sent_at = defaultdict(list)

    def hear_all(self, listeners=None):
        """Let routers hear all that live."""
        for router in listeners or self.routers.values():
            for other in self.routers.values():
                message = GossipMessage(f"n{other.number}", "b", "", EMPTY_SUMMARIES)
                if other is not router:
                    router.fleet.record_message(message, other.address)

    def deliver(self):
        """Deliver all messages, and the answers; return what was sent at first."""
        first = pending = [
            (router, item) for router in self.routers.values() for item in router.take_sent()
        ]
        while pending:
            for sender, item in pending:
                receiver = self.routers.get(item.address.port - PEER_PORT)
                if receiver is not None:
                    message = decode_origin_message(encode_origin_message(item.message))
                    receiver.resumptions.apply_message(message, sender.address)
                    for origin in message.origins:
                        self.sent_at[receiver.number, origin.request].append(self.clock.now())
            pending = [
                (router, item) for router in self.routers.values() for item in router.take_sent()
            ]
        return first

    def name_deadline(self, deadline_ms):
        """Let all routers know the deadline of a caller that begins a stream."""
        for router in self.routers.values():
            router.releases.deadlines.record(SERVICE, deadline_ms)

    def run(self, span_ms, step_ms=STEP_MS):
        """Let the maintenance of all routers run."""
        for _ in range(int(span_ms) // step_ms):
            self.clock.advance(step_ms)
            self.hear_all()
            for router in self.routers.values():
                router.resumptions.renew_running()
            self.deliver()


@given("{count:d} routers, and a caller that waits for {deadline:d} s")
def routers_and_caller(context, count, deadline):
    context.routers = OriginFleet(count)
    context.deadline_ms = deadline * 1000


def begin(context, request, version, *, run):
    """Let a stream begin at the first router."""
    routers = context.routers
    resumptions = routers.routers[RUNS_AT].resumptions
    routers.name_deadline(context.deadline_ms)
    options = {"run": request} if run else {}
    if context.deadline_ms:
        options["kept_ms"] = context.deadline_ms
    resumptions.record_begun(StreamOrigin(request, SERVICE, version), **options)


@when('the caller\'s stream of "{version}" runs for {span:d} s at one of them, and {event}')
def stream_runs(context, version, span, event):
    routers = context.routers
    routers.hear_all()
    begin(context, REQUEST, version, run=True)
    routers.deliver()
    routers.run(span * 500)
    if event == "the others start anew meanwhile":
        for number in routers.routers:
            if number != RUNS_AT:
                routers.routers[number] = OriginRouter(routers.clock, number)
    routers.run(span * 500)
    context.ended_at = routers.clock.now()
    routers.routers[RUNS_AT].resumptions.end_run(REQUEST)
    if event == "that one is killed":
        del routers.routers[RUNS_AT]
    context.all_earlier = event == "all of an earlier release are told"


@then('{later:d} s later, "{version}" is known at {where}')
def version_known(context, later, version, where):
    routers = context.routers
    routers.run(later * 1000)
    if context.all_earlier:
        told = [times for key, times in routers.sent_at.items() if key[0] != RUNS_AT]
        lasting = [times for times in told if times[-1] > routers.clock.now() - EARLIER_TTL_MS]
        assert len(lasting) == BACKUP_ROUTERS, routers.sent_at
        for times in lasting:
            gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
            assert max(gaps) < EARLIER_TTL_MS / 2, gaps
        return
    found = {
        number: router.origins.find(REQUEST)
        for number, router in routers.routers.items()
        if (number == RUNS_AT) == (where == "the one that ran it")
    }
    versions = [origin.version for origin in found.values() if origin is not None]
    assert versions and set(versions) == {version}, found


@when("{count:d} streams begin in each of {span:d} s")
def streams_begin_and_end(context, count, span):
    context.routers.hear_all()
    for second in range(span):
        for number in range(count):
            request = f"s{second}-{number}"
            begin(context, request, "v1", run=True)
            context.routers.routers[RUNS_AT].resumptions.end_run(request)
        context.routers.clock.advance(1000)
        context.routers.hear_all()
        context.routers.deliver()


@then("at most {count:d} origins are remembered at the end")
def origins_remembered(context, count):
    for router in context.routers.routers.values():
        assert 0 < len(router.origins) <= count, len(router.origins)


@when(
    'the caller\'s stream of "{version}" runs on at one of them, and another one has told "{told}"'
)
def later_router_tells(context, version, told):
    routers = context.routers
    routers.hear_all()
    begin(context, REQUEST, version, run=True)
    routers.deliver()
    backups = [number for number, request in routers.sent_at if request == REQUEST]
    others = [item for item in routers.routers.values() if item.number not in (RUNS_AT, *backups)]
    routers.run(2000)
    origin = StreamOrigin(REQUEST, SERVICE, None if told == "none" else told)
    others[0].resumptions.record_begun(origin)
    routers.deliver()
    context.backups = backups


@then('the backup routers know "{version}" {later:d} s later')
def backups_know(context, version, later):
    context.routers.run(later * 1000)
    for number in context.backups:
        origin = context.routers.routers[number].origins.find(REQUEST)
        assert (origin.version or "none") == version, origin


@given("the row of the service names {versions}")
def row_names(context, versions):
    report = ReleaseReport(SERVICE, ROW_VERSION, parse_steps(f"900={versions}"), written_in=NO_ERA)
    for router in context.routers.routers.values():
        router.releases.apply(report)


@given('one stream of "{version}" began at the first router')
def first_stream(context, version):
    begin(context, REQUEST, None if version == "none" else version, run=False)
    # The second router was not there yet.
    context.routers.routers[RUNS_AT].take_sent()


@when('{count:d} streams of "{version}" begin there, and {later:d} s pass')
def streams_begin(context, count, version, later):
    router = context.routers.routers[RUNS_AT]
    for number in range(count):
        begin(context, f"s{number}", version, run=False)
        router.take_sent()
    context.routers.clock.advance(later * 1000)
    context.routers.hear_all()


@then("a resumption of the first stream at the second router is {source}")
def resumed_at_second(context, source):
    routers = context.routers
    asking = routers.routers[1]
    asking.releases.confirm(0)
    taken = ResumedStream(REQUEST, SERVICE, "s0", 14_000)

    async def play():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(find)
            await trio.testing.wait_all_tasks_blocked()
            routers.deliver()

    async def find():
        context.found = await asking.resumptions.find(taken)

    trio.run(play)
    assert context.found.source is OriginSource(source), context.found


@when("{count:d} streams run at one of them for {span:d} s")
def streams_run(context, count, span):
    routers = context.routers
    first = routers.routers[RUNS_AT]
    routers.hear_all([first])
    # Only what this one sends counts.
    for number in range(count):
        first.resumptions.record_begun(StreamOrigin(f"s{number}", SERVICE, "v1"), run=f"s{number}")
        first.take_sent()
    context.sent, context.renewed = defaultdict(list), defaultdict(list)
    for _ in range(span * 1000 // CHECK_INTERVAL_MS):
        routers.clock.advance(CHECK_INTERVAL_MS)
        routers.hear_all([first])
        first.resumptions.renew_running()
        for item in first.take_sent():
            context.sent[routers.clock.now() // 1000].append(len(item.message.origins))
            for origin in item.message.origins:
                context.renewed[origin.request, item.address].append(routers.clock.now())
    context.count = count


@then("each is renewed at its backup routers at most {gap:d} s apart")
def renewed_in_time(context, gap):
    assert len(context.renewed) == BACKUP_ROUTERS * context.count, len(context.renewed)
    now = context.routers.clock.now()
    for times in context.renewed.values():
        ends = [*times, now]
        gaps = [later - earlier for earlier, later in zip(ends, ends[1:], strict=False)]
        assert max(gaps) <= gap * 1000, gaps


@then("at most {count:d} messages a second are sent, of at most {size:d} origins")
def messages_bounded(context, count, size):
    assert max(len(sizes) for sizes in context.sent.values()) <= count, context.sent
    assert max(max(sizes) for sizes in context.sent.values()) <= size
