"""Steps for days of a site file with real processes."""

import tempfile
import tomllib
from pathlib import Path

import trio.testing
from behave import then, when

from soak.lost_answers import Fate
from soak.planned_work import is_planned
from soak.site import count_outcome, run_site
from soak.site_file import SiteError, parse_site, read_site
from soak.streams import Options
from standins.entry_world import ROOT
from standins.rows import RowStore, StoreEndpoint

CALLERS = 16
MIN_STREAMS = 20
SILENT_WAIT_MS = 100


@when('a day of "{path}" of {span:d} s is played with seed {seed:d} and only "{kinds}"')
def day_played(context, path, span, seed, kinds):
    options = Options(seed, span, callers=CALLERS, only_faults=tuple(kinds.split(", ")))
    context.result = run_site(read_site(ROOT / path), options)
    context.outcome = count_outcome(context.result.calls)


@then("the day breaks no rule")
def day_breaks_no_rule(context):
    assert not context.result.violations, "\n".join(context.result.violations)
    assert context.outcome.streams >= MIN_STREAMS, context.outcome.describe()


@then("streams are whole, and both kinds of faults were played")
def streams_whole(context):
    assert context.outcome.whole > 0, context.outcome.describe()
    assert len(context.result.faults) == 2, context.result.faults


@then("streams are whole, and no answer that ran was cut off")
def no_answer_lost(context):
    assert context.outcome.whole > 0, context.outcome.describe()
    assert context.result.lost.fates[Fate.LOST] == 0, context.result.lost.describe()


@when('"{path}" is read')
def site_read(context, path):
    context.site = read_site(ROOT / path)


@then('its routers run in "{routers}", and a spare one in "{spare}"')
def routers_in(context, routers, spare):
    assert ", ".join(context.site.routers) == routers
    assert context.site.spares == (spare,)


@then('its replicas run at "{places}"')
def replicas_at(context, places):
    found = ", ".join(f"{item.service}/{item.zone}" for item in context.site.replicas)
    assert found == places, found


@then("its classes are these")
def classes_are(context):
    found = [
        (item.name, item.kind.name, item.deadline_ms, item.timeout_ms, *item.events)
        for item in context.site.classes
    ]
    expected = [(name, kind, *map(int, numbers)) for name, kind, *numbers in context.table]
    assert sorted(found) == sorted(expected), found


@then('of {total:d} things "{one}" meets {few:d}, and "{other}" {many:d}')
def faults_meet(context, total, one, few, other, many):
    counts = {item.kind: item.choose_count(total, 0.1) for item in context.site.faults}
    assert counts == {one: few, other: many}, counts


@when('"{path}" is read with {count:d} replicas of streams in each zone')
def site_read_scaled(context, path, count):
    data = tomllib.loads((ROOT / path).read_text())
    for item in data["services"][0]["servers"]:
        item["count"] = count
    context.site = parse_site(data)


@then("{count:d} replicas are played")
def replicas_played(context, count):
    assert len(context.site.replicas) == count, context.site.replicas


@when('"{path}" is read with "{text}" in place of "{part}"')
def site_read_changed(context, path, text, part):
    content = (ROOT / path).read_text()
    assert part in content
    with tempfile.TemporaryDirectory() as folder:
        changed = Path(folder) / "site.toml"
        changed.write_text(content.replace(part, text))
        context.error = read_error(changed)


@when('"{path}" is read as a site')
def absent_site_read(context, path):
    context.error = read_error(Path(path))


def read_error(path: Path) -> str:
    try:
        read_site(path)
    except SiteError as exc:
        return str(exc)
    return ""


@then('the site is refused with "{error}"')
def site_refused(context, error):
    assert error in context.error, context.error


@then('its outcome is "{outcome}"')
def outcome_is(context, outcome):
    assert count_outcome([context.call]).describe() == outcome


@when("a router waits for a change that is made while the feed is silent")
def feed_silent(context):
    store = RowStore(is_feed_silent=True)
    query = {"table": "servers", "after": "0", "wait_ms": str(SILENT_WAIT_MS)}
    endpoint = StoreEndpoint(store)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_for_change, endpoint, query, context)
            await trio.testing.wait_all_tasks_blocked()
            store.write("servers", "lm-1", b"{}")
        store.compact()
        store.is_feed_silent = False
        context.after = await endpoint._feed(query)

    trio.run(main)


async def wait_for_change(endpoint, query, context):
    context.before = await endpoint._feed(query)


@then("it learns nothing, and then that the history is gone")
def learns_nothing(context):
    status, value = context.before
    assert status == 200 and not value["rows"] and value["row_version"] == 0, context.before
    assert context.after[0] == 410, context.after


@then('a day of the kinds "{kinds}" has "{conduct}" replicas')
def day_has_replicas(context, kinds, conduct):
    assert is_planned(tuple(kinds.split(","))) is (conduct == "sound")


@then('a day of the kinds "" has "faulty" replicas')
def day_has_faulty_replicas(context):
    assert not is_planned(())
