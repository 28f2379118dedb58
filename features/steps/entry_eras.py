"""Steps for a store that is restored from an older copy."""

import time

import msgpack
import trio
from behave import given, then, when

from features.entry_fixtures import new_core, plan_data, upstream_data
from features.release_fixtures import parse_steps, parse_weights
from features.steps.entry_fleet import MAX_READER_AGE_MS
from features.world_thread import send_request
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.wire import decode_gossip, decode_page, encode_gossip, encode_page
from skylarklift.entry.model import Endpoint
from skylarklift.entry.state.follower import apply_page, rows_for_request
from skylarklift.entry.state.rows import (
    NO_ERA,
    ChangesUnavailable,
    RowChange,
    RowPage,
    RowTable,
    TableComparison,
    TableSummary,
)
from skylarklift.entry.versions.release_rows import ReleaseReport, ReleaseRow, encode_release_row
from skylarklift.errors import StoreError
from skylarklift.ids import ServiceId
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import MEMBER_TABLE, RELEASE_TABLE, PlatformStore
from standins.entry_world import HOST
from standins.rows import RowStore, StoreEndpoint

HERE = Endpoint("127.0.0.2", 1)
KNOWN_VERSION = 50


def parse_row(text):
    """Return the table, key and data of a row, without data for a removal."""
    removed = text.startswith("-")
    name, _, value = text.lstrip("-").partition("=")
    if name == "plan":
        number, _, key = value.partition("/")
        return RowTable.OPERATOR, "config", plan_data(int(number), keys=(key or "k1",))
    if name == "out":
        return RowTable.OPERATOR, f"evacuate/{value}", None if removed else b"{}"
    if removed and not value:
        return RowTable.UPSTREAMS, name, None
    state, born, sequence = value.split("/")
    data = upstream_data(
        port=9000 + int(name[1:]), state=state, born=int(born), sequence=int(sequence)
    )
    return RowTable.UPSTREAMS, name, data


def apply_text(core, era, version, text, complete):
    """Apply rows given as text, of which all are in one table."""
    rows = [parse_row(item) for item in text.split("+") if item]
    changes = [RowChange(key, version, data) for _, key, data in rows]
    apply_page(core, rows[0][0], RowPage(changes, version, complete, era), "test", 0)


def core_that_knows(clock, era, version, text):
    """Return a core with rows given as text; `-NAME=...` is an entry that was removed."""
    core = new_core(clock)
    items = text.split("+")
    kept = [item for item in items if not item.startswith("-")]
    all_rows = "+".join(item.lstrip("-") for item in items)
    apply_text(core, era, version - 1, all_rows, complete=True)
    for item in items:
        if item not in kept:
            apply_text(core, era, version, item.partition("=")[0], complete=False)
    for table in RowTable:
        core.cluster_state.confirm_version(table, version, 0, era)
    return core


@given('a router that knows era {era:d} at version {version:d}: "{text}"')
def router_knows(context, era, version, text):
    context.clock = ManualClock(100_000)
    context.core = core_that_knows(context.clock, era, version, text)


@when('it reads "{history}"')
def reads_history(context, history):
    start = context.clock.now()
    for item in history.split():
        at, _, rest = item.partition(":")
        while context.clock.now() < start + int(at):
            context.clock.advance(min(100, start + int(at) - context.clock.now()))
            apply_due(context.core)
        if rest == "later":
            continue
        era, rest = rest.split(":", 1)
        complete = "~" not in rest
        version, rows = rest.split(":" if complete else "~", 1)
        apply_text(context.core, int(era), int(version), rows, complete)
        confirm(context.core, int(era))


def apply_due(core):
    """Do what a router's maintenance does."""
    confirm(core, core.cluster_state.caches[RowTable.UPSTREAMS].era)
    core.record_state_changes(core.cluster_state.apply_delayed_removals(), "test")
    core.record_state_changes(core.cluster_state.apply_settled_rows(), "test")


def confirm(core, era):
    """Let the store confirm both tables."""
    for table in RowTable:
        version = core.cluster_state.caches[table].version
        core.cluster_state.confirm_version(table, version, 0, era)


def describe(core):
    """Return what a router knows, in the form of the tables."""
    state = core.cluster_state
    parts = []
    if state.plan is not None:
        (key,) = state.plan.workspaces
        parts.append(f"plan={state.plan.version}" + (f"/{key}" if key != "k1" else ""))
    parts += [f"out={zone}" for zone in sorted(state.evacuated_zones)]
    for name, item in sorted(state.upstreams.items()):
        word = "draining" if item.draining else "ready"
        parts.append(f"{name}={word}/{item.record.started_ms}/{item.record.sequence}")
    return "+".join(parts)


@then('it knows "{result}"')
def knows(context, result):
    assert describe(context.core) == result, describe(context.core)


def many_entries(count, sequence=1, first=0):
    """Return the entries of many replicas as text."""
    return "+".join(f"r{number}=ready/5/{sequence}" for number in range(first, count))


@given("a router that has read the entries of {count:d} replicas")
def router_knows_many(context, count):
    context.clock = ManualClock(100_000)
    context.count = count
    context.core = core_that_knows(context.clock, 1, KNOWN_VERSION, many_entries(count))


@when("an answer of {name}, which started at {started:d}, says that it leaves")
def answer_says_leaving(context, name, started):
    table, key, data = parse_row(f"{name}=ready/{started}/1")
    row = PlatformRowFormat().decode(table, key, data)
    context.core.cluster_state.mark_leaving(row.record)


@given("another router that knows them, too")
def other_knows_many(context):
    text = many_entries(context.count)
    context.other = core_that_knows(context.clock, 1, KNOWN_VERSION, text)


@given("{leaving:d} of them say that they leave, and {count:d} entries go {age:d} ms later")
def many_leave(context, leaving, count, age):
    state = context.core.cluster_state
    for number in range(1, leaving + 1):
        state.mark_leaving(state.upstreams[f"r{number}"].record)
    run_confirmed(context, age)
    removed = "+".join(f"-r{number}" for number in range(1, count + 1))
    apply_text(context.core, 1, KNOWN_VERSION + 1, removed, complete=False)
    assert len(state.upstreams) == context.count - count


def run_confirmed(context, span_ms):
    """Let time pass in which the store confirms the tables each second."""
    for _ in range(span_ms // 1000):
        context.clock.advance(1000)
        confirm(context.core, 1)


@when("a copy of the store with all entries is read, and entries of {written} are written again")
def copy_read(context, written):
    context.clock.advance(500)
    apply_text(context.core, 2, KNOWN_VERSION, many_entries(context.count), complete=True)
    context.clock.advance(500)
    if written == "all":
        entries = many_entries(context.count, sequence=2)
        apply_text(context.core, 2, KNOWN_VERSION + 1, entries, complete=False)


def count_members(core):
    """Return to how many replicas a router may send."""
    return len(core.cluster_state.members_of("lm"))


@then("the router sends to {count:d} of the replicas")
def router_sends_to(context, count):
    assert count_members(context.core) == count, count_members(context.core)


@then("both routers send to {count:d} of the replicas")
def both_send_to(context, count):
    for core in (context.core, context.other):
        assert count_members(core) == count, count_members(core)


@when("the last replica comes back under its name and leaves {span:d} ms later")
def last_leaves(context, span):
    run_confirmed(context, span)
    state = context.core.cluster_state
    name = f"r{context.count - 1}"
    apply_text(context.core, 1, KNOWN_VERSION + 2, f"{name}=ready/6/1", complete=False)
    state.mark_leaving(state.upstreams[name].record)
    apply_text(context.core, 1, KNOWN_VERSION + 3, f"-{name}", complete=False)


@then("the router remembers at most {count:d} that have left")
def remembers_left(context, count):
    departed = context.core.cluster_state.departed
    assert 0 < len(departed) <= count, len(departed)


@given('another router that knows era {era:d} at version {version:d}: "{text}"')
def other_knows(context, era, version, text):
    context.other = core_that_knows(context.clock, era, version, text)


def sync(receiver, sender):
    """Let a router hear another one's gossip and fetch the rows that it lacks."""
    summaries = tuple(sender.cluster_state.summarize(table) for table in RowTable)
    message = GossipMessage("n2", "b", "", summaries, reads_store=True)
    message = decode_gossip(encode_gossip(message))
    receiver.fleet.record_message(message, HERE)
    for table, summary in zip(RowTable, message.tables, strict=True):
        cache = receiver.cluster_state.caches[table]
        comparison = cache.compare(summary)
        if comparison is TableComparison.SAME:
            receiver.cluster_state.confirm_version(table, summary.version, 0, summary.era)
        elif comparison is not TableComparison.NOTHING_NEW:
            after = -1 if comparison is TableComparison.ROWS_DIFFER else cache.version
            request = msgpack.packb((table.value, after, cache.era))
            page = decode_page(rows_for_request(sender, request))
            apply_page(receiver, table, page, "n2", 0)


@when("each hears the other's summary and fetches what it lacks")
def both_sync(context):
    eras = tuple(context.other.cluster_state.caches[table].era for table in RowTable)
    sync(context.other, context.core)
    limits = (MAX_READER_AGE_MS,) * len(RowTable)
    context.old_reads_for_new = context.other.fleet.peer_reads_store(limits, eras)
    sync(context.core, context.other)


@then('both know "{result}" in era {era:d}')
def both_know(context, result, era):
    for core in (context.core, context.other):
        assert describe(core) == result, describe(core)
        assert core.cluster_state.caches[RowTable.OPERATOR].era == era


@then("the router of era 1 does not read the store for that of era 2")
def old_does_not_read(context):
    assert not context.old_reads_for_new


@given("a store with {count:d} rows, and its client")
def store_with_rows(context, count):
    context.store, context.endpoint = RowStore(), None
    for number in range(count):
        context.store.write("servers", f"r{number}", b"{}")
        if not number:
            context.copy = context.store.copy()


@when("the store is restored from a copy of 1 row, and {count:d} other rows are written")
def restore_and_write(context, count):
    context.store.restore(context.copy)
    for number in range(count):
        context.store.write("servers", f"s{number}", b"{}")


def call_store(context, method, *args):
    """Return what a call of the store's client returns, or that the changes are unavailable."""

    async def run():
        async with trio.open_nursery() as nursery:
            endpoint = context.endpoint or StoreEndpoint(context.store)
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            nursery.start_soon(trio.serve_listeners, endpoint.serve, listeners)
            address = Endpoint(HOST, listeners[0].socket.getsockname()[1])
            client = PlatformStore(address, PlatformRowFormat())
            try:
                return await getattr(client, method)(*args)
            except (ChangesUnavailable, StoreError) as exc:
                return exc
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(run)


@then("changes after version {after:d} of era {era:d} are unavailable")
def changes_unavailable(context, after, era):
    found = call_store(context, "read_changes", RowTable.UPSTREAMS, after, 0, era)
    assert isinstance(found, ChangesUnavailable), found


# By a table: its name in the store, and the call that reads it, which may have an argument.
TABLE_READS = {
    "upstreams": ("servers", "read_table", RowTable.UPSTREAMS),
    "routers": (MEMBER_TABLE, "read_members"),
    "software versions": (RELEASE_TABLE, "read_releases"),
}


class RestoredBetweenPages(StoreEndpoint):
    """A store that is restored from a copy after it has sent the first page of a table."""

    def _page(self, query):
        found = super()._page(query)
        if "source" not in query:
            self.store.restore(self.store.copy())
        return found

    def _era_headers(self):
        return [(b"store-era", b"%d" % self.page_era)]

    async def _handle_call(self, head, body):
        self.page_era = self.store.era
        return await super()._handle_call(head, body)


@given("a store with {count:d} rows of the table of {table}, and its client")
def store_with_table(context, count, table):
    context.store, context.endpoint = RowStore(), None
    context.store_table = table
    data = encode_release_row(ReleaseRow(parse_steps("0=v1:1")), 0)
    for number in range(count):
        context.store.write(TABLE_READS[table][0], f"r{number:04}", data)


@given("the store is restored from a copy after the first page")
def restored_after_page(context):
    context.endpoint = RestoredBetweenPages(context.store)


def read_whole_table(context):
    """Return what the client of the store returns for all rows of the table."""
    _, method, *args = TABLE_READS[context.store_table]
    return call_store(context, method, *args)


@then("its client reads {count:d} rows of that table")
def client_reads_rows(context, count):
    found = read_whole_table(context)
    found = found.rows if isinstance(found, RowPage) else found
    assert len(found) == count, len(found)


@then("its client cannot read that table")
def client_cannot_read(context):
    found = read_whole_table(context)
    assert isinstance(found, StoreError), type(found)


@when("its client writes the last of these rows as if there were none")
def client_writes_last(context):
    context.last = max(context.store.tables[RELEASE_TABLE])
    report = ReleaseReport(ServiceId(context.last), 0, parse_steps("0=v2:1"))
    context.found = call_store(context, "write_release", report)


@then("it is told the row that the store has")
def told_row(context):
    version = context.store.row_version(RELEASE_TABLE, context.last)
    assert context.found.row_version == version, context.found
    assert [step.weights for step in context.found.steps] == [parse_weights("v1:1")]


@then("the whole table is read as of era {era:d}")
def whole_table(context, era):
    page = call_store(context, "read_table", RowTable.UPSTREAMS)
    assert page.era == era and page.complete and len(page.rows) == 5, page


@given("the store is restored from a copy without the router's entry")
def restore_without_entry(context):
    def restore():
        store = context.world.store
        copy = store.copy()
        copy.tables[MEMBER_TABLE].clear()
        store.restore(copy)

    deadline = time.monotonic() + 5
    while not registered(context) and time.monotonic() < deadline:
        time.sleep(0.05)
    context.thread.run_sync(restore)
    assert not registered(context)


def registered(context):
    """Return whether the store has the entry of a router."""
    rows = context.world.store.tables.get(MEMBER_TABLE, {})
    return any(row.data is not None for row in rows.values())


@then("within {span:d} ms the store has the router's entry again")
def has_entry_again(context, span):
    deadline = time.monotonic() + span / 1000
    while not registered(context):
        assert time.monotonic() < deadline, "no entry"
        time.sleep(0.05)


@then("within {span:d} ms a new configuration is in force")
def new_configuration(context, span):
    def replace_key():
        context.world.keys[:] = ["key-2"]
        context.world.write_plan()

    context.thread.run_sync(replace_key)
    deadline = time.monotonic() + span / 1000
    while send_request(context, "/check/a", key="key-2").status != 200:
        assert time.monotonic() < deadline, "not in force"
        time.sleep(0.05)


@when("gossip without eras is decoded")
def gossip_without_eras(context):
    message = GossipMessage("n2", "b", "", (TableSummary(5, 5, 0, 10),) * len(RowTable))
    number, *items = msgpack.unpackb(encode_gossip(message))
    # The place of what was added since, which earlier releases leave empty.
    items[9] = ()
    (era,) = {item.era for item in decode_gossip(msgpack.packb([number, *items])).tables}
    context.era = era


@when("a page of rows without eras is decoded")
def page_without_era(context):
    page = RowPage([RowChange("r1", 5, b"{}")], 5, complete=True, era=3)
    context.era = decode_page(encode_page(page, with_era=False)).era


@then("its era is 0")
def era_is_none(context):
    assert context.era == NO_ERA, context.era
