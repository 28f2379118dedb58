"""Steps of events, readers of the store, and rows between entry routers."""

from unittest.mock import patch

import trio
from behave import given, then, when

from features.entry_parts import core_with_replicas, new_call, new_core, parse_yes_no
from features.world import run_virtual
from skylarklift.clock import LoopClock, ManualClock
from skylarklift.entry.attempt import Attempt
from skylarklift.entry.choose import Choice
from skylarklift.entry.fleet import Fleet, GossipMessage
from skylarklift.entry.model import Endpoint
from skylarklift.entry.rows import RowTable, TableSummary
from skylarklift.entry.silence import SilenceTimer, forward_until_silent
from skylarklift.errors import AnswerBroken
from skylarklift.upstreams.events import EventSplitter

READER_AGE_MS = 1100


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
    assert [str(event.event_id) for event in context.events] == numbers.split(",")
    assert context.splitter.has_partial_event == parse_yes_no(partial)
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
                message = GossipMessage(
                    other, "b", "", (TableSummary(1, 1, 0, age),) * 2, reads_store=True
                )
                fleet.record_message(message, Endpoint("127.0.0.1", 1))


def readers(context):
    """Return the routers that read the store."""
    limits = (READER_AGE_MS, READER_AGE_MS)
    return [name for name, fleet in context.fleets.items() if not fleet.peer_reads_store(limits)]


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
        page = context.core.cluster_state.caches[table].all_rows()
        context.second.cluster_state.confirm_version(table, page.version)
        context.second.cluster_state.apply_page(table, page)


@when("the second one takes the changes of the first")
def takes_changes(context):
    for table in RowTable:
        after = context.second.cluster_state.caches[table].version
        page = context.core.cluster_state.caches[table].changes_since(after)
        context.second.cluster_state.apply_page(table, page)


@then("both know the same")
def know_the_same(context):
    first, second = context.core.cluster_state, context.second.cluster_state
    assert first.plan.version == second.plan.version
    assert {name: item.record for name, item in first.upstreams.items()} == {
        name: item.record for name, item in second.upstreams.items()
    }


class SilentLink:
    """A connection on which data may arrive, until it is closed."""

    def __init__(self):
        self.arrived = trio.Event()
        self.closed = False

    async def read(self):
        await self.arrived.wait()
        self.arrived = trio.Event()
        if self.closed:
            self.arrived.set()

    def abort(self):
        self.closed = True
        self.arrived.set()


@when("an upstream is given up and data arrives {arrives}")
def given_up(context, arrives):
    context.passed, context.gone = False, False
    run_virtual(1, _give_up, context, arrives)


async def _give_up(context, arrives):
    core = core_with_replicas(1, LoopClock())
    call = new_call()
    choice = Choice(core.cluster_state.upstreams["r0"], 0, 0.0, 0, cold=False)
    send = Attempt(core, call, choice, None, repeatable=True)
    send.conn = link = SilentLink()

    async def forward(send, silence):
        with silence.waiting():
            await link.read()
        if arrives != "never":
            # A write to the client, at which a cancelled task would end.
            await trio.lowlevel.checkpoint()
            context.passed = True
            with silence.waiting():
                await link.read()
        raise AnswerBroken("closed")

    async def look(core, send):
        if arrives != "never":
            link.arrived.set()
        return False

    with patch("skylarklift.entry.silence.is_reachable", look):
        try:
            await forward_until_silent(core, send, SilenceTimer(core.clock, 300), forward)
        except AnswerBroken:
            context.gone = True


@then("the data was passed on: {passed}")
def data_passed(context, passed):
    assert context.passed == parse_yes_no(passed)


@then("the upstream was given up")
def upstream_given_up(context):
    assert context.gone
