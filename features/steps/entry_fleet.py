"""Steps for events, the reader of the store, rows between entry routers and silent upstreams."""

from unittest.mock import patch

import trio
from behave import given, then, when

from features.entry_fixtures import core_with_replicas, new_call, new_core, parse_yes_no
from features.world import run_virtual
from skylarklift.clock import LoopClock, ManualClock
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.row_fetches import RowFetches
from skylarklift.entry.model import Endpoint
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.silence import SilenceTimer, forward_until_silent
from skylarklift.entry.state.rows import NO_ERA, RowTable, TableSummary
from skylarklift.errors import ResponseBroken
from skylarklift.upstreams.events import EventSplitter

MAX_READER_AGE_MS = 1100


@when('the bytes "{text}" arrive in pieces of {size:d}')
def bytes_arrive(context, text, size):
    data = text.replace("\\n", "\n").replace("\\r", "\r").encode()
    context.splitter = EventSplitter()
    context.events = []
    for start in range(0, len(data), size):
        context.events += context.splitter.feed(data[start : start + size])
    context.data = data


@then('the events are "{numbers}" and a partial event is left: {partial}')
def events_are(context, numbers, partial):
    assert [str(event.event_id) for event in context.events] == numbers.split(",")
    assert bool(context.splitter.partial_bytes) == parse_yes_no(partial)
    assert context.data.startswith(b"".join(event.raw for event in context.events))


@given("{count:d} routers that receive messages from each other")
def receive_from_each_other(context, count):
    context.clock = ManualClock(10_000)
    names = [f"n{number}" for number in range(count)]
    context.fleets = {name: Fleet(context.clock, name) for name in names}
    context.ages = dict.fromkeys(names, 50)
    context.silent = set()
    exchange_messages(context)


def exchange_messages(context):
    """Let each router that is not silent send all others a message as a reader of the store."""
    for name, fleet in context.fleets.items():
        for other in context.fleets:
            if other != name and other not in context.silent:
                age = context.ages[other]
                message = GossipMessage(
                    other, "b", "", (TableSummary(1, 1, 0, age),) * 2, reads_store=True
                )
                fleet.record_message(message, Endpoint("127.0.0.1", 1))


def readers(context):
    """Return the routers that read the store themselves, since no peer does it for them."""
    limits, eras = (MAX_READER_AGE_MS, MAX_READER_AGE_MS), (NO_ERA, NO_ERA)
    return [
        name for name, fleet in context.fleets.items() if not fleet.peer_reads_store(limits, eras)
    ]


@when("all messages arrive")
def all_messages_arrive(context):
    exchange_messages(context)


@when("the reader sends nothing for {span:d} ms")
def reader_sends_nothing(context, span):
    (name,) = readers(context)
    context.silent.add(name)
    context.clock.advance(span)
    exchange_messages(context)


@when("the reader's rows are {age:d} ms old")
def reader_rows_old(context, age):
    (name,) = readers(context)
    context.ages[name] = age
    context.outdated_reader = name
    exchange_messages(context)


@then("{count:d} routers read the store")
def readers_count(context, count):
    current = set(readers(context)) - context.silent - {getattr(context, "outdated_reader", "")}
    assert len(current) == count, current


@given("a router without any rows")
def router_without_rows(context):
    context.second = new_core(context.clock)


@when("the second router applies all rows of the first")
def apply_all_rows(context):
    for table in RowTable:
        page = context.core.cluster_state.caches[table].all_rows()
        context.second.cluster_state.confirm_version(table, page.version)
        context.second.cluster_state.apply_page(table, page)


@when("the second router applies the changes of the first")
def apply_changes(context):
    for table in RowTable:
        after = context.second.cluster_state.caches[table].version
        page = context.core.cluster_state.caches[table].changes_since(after)
        context.second.cluster_state.apply_page(table, page)


@then("both routers have the same cluster state")
def same_cluster_state(context):
    first, second = context.core.cluster_state, context.second.cluster_state
    assert first.plan.version == second.plan.version
    assert {name: item.record for name, item in first.upstreams.items()} == {
        name: item.record for name, item in second.upstreams.items()
    }


class SilentConnection:
    """A connection whose reads wait until the test lets data arrive or it is closed."""

    def __init__(self):
        self.arrived = trio.Event()
        self.closed = False
        # The connection is direct.
        self.relay = None

    async def read(self):
        await self.arrived.wait()
        self.arrived = trio.Event()
        if self.closed:
            self.arrived.set()

    def abort(self):
        self.closed = True
        self.arrived.set()


@when("an attempt at a silent upstream is aborted and data arrives {arrives}")
def attempt_aborted(context, arrives):
    context.forwarded, context.attempt_aborted = False, False
    run_virtual(1, _abort_attempt, context, arrives)


async def _abort_attempt(context, arrives):
    core = core_with_replicas(1, LoopClock())
    call = new_call()
    choice = Choice(core.cluster_state.upstreams["r0"], 0, 0.0, 0, cold=False)
    attempt = Attempt(core, call, choice, None, repeatable=True)
    attempt.conn = conn = SilentConnection()

    async def forward(attempt, timer):
        with timer.waiting():
            await conn.read()
        if arrives != "never":
            # This stands for a write to the caller, at which a cancelled task would end.
            await trio.lowlevel.checkpoint()
            context.forwarded = True
            with timer.waiting():
                await conn.read()
        raise ResponseBroken("closed")

    async def probe(core, attempt):
        if arrives != "never":
            conn.arrived.set()
        return False

    with patch("skylarklift.entry.requests.silence.is_reachable", probe):
        try:
            await forward_until_silent(core, attempt, SilenceTimer(core.clock, 300), forward)
        except ResponseBroken:
            context.attempt_aborted = True


@then("the data was forwarded: {forwarded}")
def data_forwarded(context, forwarded):
    assert context.forwarded == parse_yes_no(forwarded)


@then("the attempt was aborted")
def aborted(context):
    assert context.attempt_aborted


class ShortQueue:
    """Take datagrams, and lose those that overflow a queue, which empties in 4 ms."""

    EMPTIED_AFTER_S = 0.004

    def __init__(self, size):
        self._size = size
        self._moment, self._queued = 0.0, 0
        self.received = []

    async def sendto(self, data, address):
        now = trio.current_time()
        if now >= self._moment + self.EMPTIED_AFTER_S:
            self._moment, self._queued = now, 0
        self._queued += 1
        if self._queued <= self._size:
            self.received.append(address)


@given("a router that reads the store, and {peers:d} others behind a queue of {size:d} datagrams")
def reader_behind_queue(context, peers, size):
    context.core = new_core(ManualClock(100_000))
    for table in RowTable:
        context.core.reading_store[table] = True
    context.addresses = [("127.0.0.1", 1 + number) for number in range(peers)]
    for host, port in context.addresses:
        context.core.fleet.add(f"n{port}", Endpoint(host, port))
    context.queue = ShortQueue(size)


@when("it sends a round")
def sends_round(context):
    peering = Peering(context.core, None)
    peering._socket = context.queue

    async def send():
        started = trio.current_time()
        await peering.send_round()
        return (trio.current_time() - started) * 1000

    context.took_ms = run_virtual(1, send)


@then("each of them got one datagram within {span:d} ms")
def each_got_one(context, span):
    assert sorted(context.queue.received) == sorted(context.addresses), len(context.queue.received)
    assert context.took_ms <= span, context.took_ms


@given('a router that fetches a table from "{node}"')
def fetches_table(context, node):
    context.clock = ManualClock(10_000)
    context.fetches = RowFetches(context.clock)
    assert context.fetches.start(RowTable.OPERATOR, node)


@when('{span:d} ms later "{node}" tells that it has newer rows')
def tells_newer_rows(context, span, node):
    context.clock.advance(span)
    context.started = context.fetches.start(RowTable.OPERATOR, node)


@then('rows are fetched from "{node}": {fetched}')
def rows_fetched(context, node, fetched):
    assert context.started == parse_yes_no(fetched)
    if context.started:
        context.fetches.end(RowTable.OPERATOR, node)
        assert not context.fetches.start(RowTable.OPERATOR, "n1")


@when("{span:d} ms pass and the fetch {state}")
def fetch_goes_on(context, span, state):
    context.clock.advance(span)
    if state == "has ended":
        context.fetches.end(RowTable.OPERATOR, "n1")


@then("the router reads the table itself: {reads}")
def reads_itself(context, reads):
    assert context.fetches.is_unanswered(RowTable.OPERATOR) == parse_yes_no(reads)
    assert not context.fetches.is_unanswered(RowTable.UPSTREAMS)
