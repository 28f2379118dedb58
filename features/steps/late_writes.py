"""Steps for the store of the tests as it performs writes late that it does not answer."""

from random import Random

import trio
from behave import given, then, when

from skylarklift.entry.model import Endpoint
from skylarklift.entry.state.rows import FIRST_ERA
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_release_row
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight
from skylarklift.errors import StoreAnswerLost
from skylarklift.ids import ServiceId, SoftwareVersion
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import RELEASE_TABLE, PlatformStore
from standins.entry_world import HOST
from standins.rows import LateWrites, RowStore, StoreEndpoint

SERVICE = ServiceId("lm")


def make_report(row_version, name):
    """Return a row whose only step names one version."""
    step = ReleaseStep(0, (VersionWeight(SoftwareVersion(name), 1),))
    return ReleaseReport(SERVICE, row_version, (step,), FIRST_ERA)


@given("a store that performs all writes {delay:d} ms late, with a row at version 1")
def late_store(context, delay):
    context.store, context.delay_s = RowStore(), delay / 1000
    context.empty_copy = context.store.copy()
    context.store.write(RELEASE_TABLE, SERVICE, b"{}")
    context.copy = context.store.copy()


CHANGES = {
    "nothing else is written": lambda context: None,
    "another row is written": lambda context: context.store.write(RELEASE_TABLE, "till", b"{}"),
    "the row is written": lambda context: context.store.write(RELEASE_TABLE, SERVICE, b"{}"),
    "the store goes back to a copy with the row": lambda context: context.store.restore(
        context.copy
    ),
    "the store goes back to a copy without it": lambda context: context.store.restore(
        context.empty_copy
    ),
}


@when("a router writes the row, expected at version 1, and {change} before it is performed")
def row_written_late(context, change):
    """Write the row, change the store before the write is performed, and wait."""

    async def run():
        async with trio.open_nursery() as nursery:
            endpoint = StoreEndpoint(context.store)
            delay_s = (context.delay_s, context.delay_s)
            endpoint.faults.late_writes = LateWrites(Random(1), delay_s=delay_s)
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            nursery.start_soon(trio.serve_listeners, endpoint.serve, listeners)
            address = Endpoint(HOST, listeners[0].socket.getsockname()[1])
            client = PlatformStore(address, PlatformRowFormat())
            context.answer = None
            try:
                context.answer = await client.write_release(make_report(1, "v2"))
            except StoreAnswerLost:
                pass
            context.before = read_version(context.store)
            CHANGES[change](context)
            await trio.sleep(2 * context.delay_s)
            nursery.cancel_scope.cancel()

    trio.run(run)


def read_version(store):
    """Return the version that the row names, `other` without one, and `none` without a row."""
    row = store.tables.get(RELEASE_TABLE, {}).get(SERVICE)
    if row is None:
        return "none"
    steps = decode_release_row(row.data, store.version).steps
    return steps[-1].weights[0].version if steps else "other"


@then('the router has no answer, and the row is "{row}" {after:d} ms later without another call')
def row_is(context, row, after):
    assert context.answer is None
    assert context.before == "other", context.before
    assert read_version(context.store) == row, read_version(context.store)
