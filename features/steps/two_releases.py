"""Steps for routers of two releases that read what each other writes."""

import json
import tempfile
from pathlib import Path

import trio
from behave import given, then, when

from features.release_fixtures import EMPTY_SUMMARIES, REQUEST, SERVICE
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.model import Endpoint
from skylarklift.entry.versions.origin_messages import OriginMessage
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.resumptions import Resumptions
from skylarklift.entry.versions.stream_origins import DoubtedEnd, StreamOrigin, StreamOrigins
from soak.builds import HistoryMissing, extract_build, run_in_build
from standins.entry_world import ROOT

SCRIPT = ROOT / "features" / "build_messages.py"
RELEASES = ROOT / "features" / "build_releases.py"
COPY_AGE_MS = 3000
# What a reading holds of a field that was not said.
NOT_SAID = (
    None,
    False,
    "",
    [],
    {},
    {"limits": [], "rejections": []},
    {"states": [], "evidence": []},
)
MISSING = "no such field"


def run_script(tree, *arguments):
    """Return what the script says with the packages of a build."""
    return json.loads(run_in_build(tree, SCRIPT, *arguments))


def list_differences(first, second, name=""):
    """Yield the name of each field that differs, and its value in the second reading."""
    if isinstance(first, dict) and isinstance(second, dict):
        for key in sorted({*first, *second}):
            yield from list_differences(first.get(key, MISSING), second.get(key, MISSING), key)
    elif isinstance(first, list) and isinstance(second, list) and len(first) == len(second):
        for item, other in zip(first, second, strict=True):
            yield from list_differences(item, other, name)
    elif first != second:
        yield name, second


@given("the routers of the commit {commit}")
def routers_of(context, commit):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.old = extract_build(commit, Path(folder.name))


@when("the routers of the commit {commit} are looked for")
def routers_looked_for(context, commit):
    context.error = None
    try:
        routers_of(context, commit)
    except HistoryMissing as exc:
        context.error = exc


@then('the test fails, as "{cause}"')
def fails_as(context, cause):
    assert isinstance(context.error, AssertionError) and cause in str(context.error)


@when('each of them and a new one writes "{kind}"')
def both_write(context, kind):
    context.kind = kind
    context.by_new = run_script(ROOT, "write", kind)
    context.by_old = run_script(context.old, "write", kind)


def read_both(context, datagrams):
    """Return what a new router and an old one read in the same datagrams."""
    by_new = run_script(ROOT, "read", context.kind, *datagrams)
    return by_new, run_script(context.old, "read", context.kind, *datagrams)


@then('the old one reads all but "{names}" of the new one')
@then('the old one reads all but "" of the new one')
def old_reads(context, names=""):
    by_new, by_old = read_both(context, context.by_new)
    assert set(dict(list_differences(by_new, by_old))) == set(names.split()), by_old


@then('the new one reads all of the old one, and takes "{names}" for not said')
@then('the new one reads all of the old one, and takes "" for not said')
def new_reads(context, names=""):
    by_new, by_old = read_both(context, context.by_old)
    not_said = dict(list_differences(by_old, by_new))
    assert set(not_said) == set(names.split()), by_new
    if context.kind.startswith("row"):
        # It is the moment of a step that both read.
        assert not_said.pop("stored_ms") is not None
    assert all(value in NOT_SAID for value in not_said.values()), not_said


@when("a new router sends it {request}")
def sends_request(context, request):
    kind = "relay" if request == "a request to relay" else "rows"
    context.answer = run_script(context.old, "answer", *run_script(ROOT, "ask", kind))


@then('it answers "{answer}"')
def answers(context, answer):
    assert context.answer == answer, context.answer


@given("a row by a new router that does not know which proportions were in force 4 to 9 s ago")
def row_with_unknown(context):
    context.row = run_script(ROOT, "write", "row with unknown proportions")


@when("a router of the earlier release {change}")
def old_router_changes(context, change):
    commands = {"passes it on": "pass_on", "writes it again": "write_again"}
    context.command = "heard" if change in ("passes it on", "has heard of it") else "row"
    if change == "has heard of it":
        context.row = run_script(ROOT, "write", "unknown proportions")
    if change in commands:
        context.row = run_script(context.old, commands[change], *context.row)


def versions_for(context, reader, age_ms):
    """Return the versions at which a router that has just started takes up streams of an age."""
    tree = context.old if reader == "an old router" else ROOT
    return run_script(tree, context.command, *context.row, str(age_ms))


@then("{reader} takes up no stream of the last {age:d} s by proportions")
def takes_up_none(context, reader, age):
    assert versions_for(context, reader, age * 1000) == []


@then('{reader} takes up streams of the last {age:d} s by proportions at "{version}"')
def takes_up_some(context, reader, age, version):
    assert versions_for(context, reader, age * 1000) == [version]


@when(
    "the rows of a release of {replicas:d} replicas, one each {gap:d} ms, are written by {writers}"
)
def rows_written(context, replicas, gap, writers):
    steps = [
        {"v1": old, "v2": done + 1} if old else {"v2": done + 1}
        for done in range(replicas - 1)
        for old in (replicas - done, replicas - done - 1)
    ]
    names = writers.strip('"').split(", ")
    share = len(steps) // sum(name != "copy" for name in names)
    play = {"now": 10_000_000, "gap_ms": gap // 2}
    for name in names:
        if name == "copy":
            restore(play)
            continue
        play["counts"], steps = steps[:share], steps[share:]
        tree = ROOT if name == "new" else context.old
        play = json.loads(run_in_build(tree, RELEASES, "play", given=json.dumps(play)))
    found = run_in_build(ROOT, RELEASES, "resume", given=json.dumps(play))
    context.found = json.loads(found)


def restore(play):
    """Let the store go back to a copy of some seconds ago."""
    play["rows"] = [row for row in play["rows"] if row[0] <= play["now"] - COPY_AGE_MS]
    play["era"] = play.get("era", 1) + 1


@then("a new router that has just started takes up streams by proportions at no other version")
def takes_up_none_elsewhere(context):
    wrong = [pair for pair in context.found if pair[1] not in (None, pair[0])]
    assert context.found
    assert not wrong, f"{len(wrong)} of {len(context.found)}"


@then("it takes up {some} of them")
def takes_up_part(context, some):
    going = sum(version is not None for _, version in context.found)
    assert bool(going) == (some == "some"), f"{going} of {len(context.found)}"


@given("a new router that knows a stream whose end is in doubt")
def knows_doubted_end(context):
    clock = ManualClock(1000)
    context.fleet = Fleet(clock, "n1")
    context.resumptions = Resumptions(clock, context.fleet, StreamOrigins(clock), Releases(clock))
    context.resumptions.record_begun(StreamOrigin(REQUEST, SERVICE, "v1", DoubtedEnd(9, 2)))


@when("a router {release} asks it about the stream")
def asks_about(context, release):
    address = Endpoint("127.0.0.2", 2)
    if release != "that was not heard":
        zone = "za" if release == "that names its zone" else ""
        context.fleet.record_message(
            GossipMessage("n2", "b", "", EMPTY_SUMMARIES, zone=zone), address
        )
    context.resumptions.apply_message(OriginMessage("n2", asked=(REQUEST,)), address)


@then('the answers are "{answers}"')
def answers_are(context, answers):
    async def receive():
        channel = context.resumptions.outgoing
        return [await channel.receive() for _ in range(channel.statistics().current_buffer_used)]

    found = [origin for item in trio.run(receive) for origin in item.message.origins]
    assert {origin.version for origin in found} == {"v1"}
    said = ["with the end" if origin.doubted_end else "without it" for origin in found]
    assert ", ".join(said) == answers, said
