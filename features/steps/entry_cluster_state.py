"""Steps for the cluster state, the upstream health and the crash suspects of an entry router."""

import json

from behave import then, when

from features.entry_fixtures import (
    apply_next_rows,
    apply_rows,
    choose,
    new_call,
    parse_yes_no,
    plan_data,
    upstream_data,
)
from skylarklift.entry.crashes.crash_messages import CrashMessage
from skylarklift.entry.crashes.crash_records import CrashReport, suspects_of
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.health import HealthSignal
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.state.follower import apply_page
from skylarklift.entry.state.rows import RowChange, RowPage, RowTable


@when('the replica "{name}" is draining')
def replica_draining(context, name):
    apply_next_rows(context, RowTable.UPSTREAMS, {name: upstream_data(state="draining")})


@when('the replica "{name}" is removed')
def replica_removed(context, name):
    apply_next_rows(context, RowTable.UPSTREAMS, {name: None})


@when('the replica "{name}" is listed again')
def listed_again(context, name):
    apply_next_rows(context, RowTable.UPSTREAMS, {name: upstream_data()})


@when('the replica "{name}" writes a heartbeat')
def writes_heartbeat(context, name):
    record = context.core.cluster_state.upstreams[name].record
    context.clock.advance(1200)
    row = upstream_data(zone=record.zone, port=record.port, sequence=2)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when('the replica "{name}" reports that it is cold')
def reports_cold(context, name):
    record = context.core.cluster_state.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, cold_remaining_ms=2000)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when('the replica "{name}" reports more slots')
def reports_slots(context, name):
    record = context.core.cluster_state.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, slots=80)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when('the removal of "{name}" is delayed')
def removal_delayed(context, name):
    context.clock.advance(6000)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: None})
    assert name in context.core.cluster_state.upstreams


@then("the newest row is the last change: {matters}")
def newest_row_is_change(context, matters):
    state = context.core.cluster_state
    newest = state.caches[RowTable.UPSTREAMS].version
    assert (state.last_change_version[RowTable.UPSTREAMS] == newest) == parse_yes_no(matters)


@when('the zone of "{name}" is evacuated')
def zone_evacuated(context, name):
    context.zone = context.core.cluster_state.upstreams[name].record.zone
    apply_next_rows(context, RowTable.OPERATOR, {f"evacuate/{context.zone}": b"{}"})


@when('the zone of "{name}" is restored')
def zone_restored(context, name):
    apply_next_rows(context, RowTable.OPERATOR, {f"evacuate/{context.zone}": None})


@when('the replica "{name}" is unreachable')
def replica_unreachable(context, name):
    context.core.health.record_result(name, HealthSignal.UNREACHABLE)


def chosen_replicas(context):
    """Apply due removals and return the replicas that 60 different chats go to."""
    for change in context.core.cluster_state.apply_delayed_removals():
        assert change.event == "upstream_removed"
    calls = (new_call(f"p:100,c{number}:5000,q:10") for number in range(60))
    choices = [choose(context.core, call) for call in calls]
    return {item.upstream.record.replica for item in choices if isinstance(item, Choice)}


@then('no request goes to the replica "{name}"')
def not_chosen(context, name):
    chosen = chosen_replicas(context)
    assert chosen and name not in chosen, chosen


@then('requests may go to the replica "{name}"')
def may_be_chosen(context, name):
    assert name in chosen_replicas(context)


@then('the replica "{name}" is cold for {span:d} ms')
def replica_cold_for(context, name, span):
    upstream = context.core.cluster_state.upstreams[name]
    assert upstream.cold_until - context.clock.now() == span


@when("the configuration {number:d} arrives in a row of version {version:d}")
def configuration_arrives(context, number, version):
    apply_rows(context.core, RowTable.OPERATOR, version, {"config": plan_data(number)})


@then("the configuration {number:d} is in effect")
def configuration_in_effect(context, number):
    assert context.core.cluster_state.plan.version == number


@when("the store is unavailable for {span:d} ms")
def store_unavailable(context, span):
    context.clock.advance(span)


@when("{span:d} ms pass")
def time_passes(context, span):
    context.clock.advance(span)


@when("the list of upstreams is confirmed")
def list_confirmed(context):
    context.core.cluster_state.confirm_version(RowTable.UPSTREAMS, context.version)


@when('requests to "{name}" give the signals "{signals}"')
def requests_give_signals(context, name, signals):
    for signal in signals.split(","):
        context.core.health.record_result(name, HealthSignal(signal))


@when("{bad:d} of every {all:d} requests to each replica fail, of {count:d} requests")
def requests_fail_everywhere(context, bad, all, count):
    names = [f"r{number}" for number in range(context.count)]
    for number in range(count):
        signal = HealthSignal.FAILED if number % all < bad else HealthSignal.GOOD
        for name in names:
            context.core.health.record_result(name, signal, names)


@then('the replica "{name}" is ejected: {ejected}')
def replica_ejected(context, name, ejected):
    assert context.core.health.allows(name) != parse_yes_no(ejected)


@when('a trial request to "{name}" is running')
def trial_running(context, name):
    assert context.core.health.allows(name)
    context.core.health.start_trial(name)


@when("the request crashes {own:d} replicas at this router and {reported:d} at others")
def request_crashes(context, own, reported):
    suspects, now = context.core.suspects, context.core.clock.now()
    for number in range(own):
        suspects.record_own_crash(CrashReport(f"o{number}", now, 7))
    for number in range(reported):
        reports = (CrashReport(f"t{number}", now, 7),)
        suspects.apply_message(CrashMessage("n2", crashes=reports))


@then("the request is refused: {refused}")
def request_refused(context, refused):
    hold = context.core.suspects.find_hold(suspects_of(7, ()))
    assert (hold is not None) == parse_yes_no(refused)


SIGNALS = {
    "was unreachable": [HealthSignal.UNREACHABLE],
    "broke two connections": [HealthSignal.BROKEN] * 2,
    "failed three requests": [HealthSignal.FAILED] * 3,
    "was unreachable and then succeeded": [HealthSignal.UNREACHABLE, HealthSignal.GOOD],
    "was unreachable, succeeded 3100 ms ago": [HealthSignal.UNREACHABLE, HealthSignal.GOOD],
}


@when('it is known that the replica "{name}" {showed}')
def replica_known_that(context, name, showed):
    core = context.core
    if showed.startswith("was reported"):
        core.health.apply_reported_ejection(name, 500, maybe_restarted=showed.endswith("restarted"))
        return
    attempt = Attempt(core, new_call(), choice_of(core, name), None, repeatable=True)
    for signal in SIGNALS[showed]:
        attempt.report_signal(signal)
    if showed.endswith("ms ago"):
        core.clock.advance(3100)


@then('the replica "{name}" counts as cold: {cold}')
def counts_as_cold(context, name, cold):
    upstream = context.core.cluster_state.upstreams[name]
    plan = context.core.cluster_state.plan.services["lm"]
    assert context.core.chooser.is_cold(upstream, plan) == parse_yes_no(cold)


def choice_of(core, name):
    return Choice(core.cluster_state.upstreams[name], 0, 0.0, 0, cold=False)


@when('the replica "{name}" says in an answer that it wants nothing for {span:d} s')
def says_it_wants_nothing(context, name, span):
    record = context.core.cluster_state.upstreams[name].record
    context.core.record_hold_off(record, span * 1000)


@when('the replica "{name}" says in an answer that it leaves')
def says_it_leaves(context, name):
    state = context.core.cluster_state
    (change,) = state.mark_leaving(state.upstreams[name].record)
    assert change.event == "upstream_leaving"


ROWS_AFTER_LEAVING = {
    "its entry says that it is ready": ({"sequence": 5},),
    "its entry is removed and comes back": (None, {"sequence": 5}),
    "it starts again under its name": ({"born": 9, "sequence": 1},),
}


@when("then {what}")
def rows_after_leaving(context, what):
    record = context.core.cluster_state.upstreams["r0"].record
    for fields in ROWS_AFTER_LEAVING[what]:
        data = fields and upstream_data(zone=record.zone, port=record.port, **fields)
        apply_next_rows(context, RowTable.UPSTREAMS, {"r0": data})


@then('the replica "{name}" is used: {used}')
def replica_is_used(context, name, used):
    assert (name in chosen_replicas(context)) == parse_yes_no(used)


DEEP = "[" * 100_000 + "]" * 100_000
ODD_ENTRIES = {
    "100,000 nested lists": DEEP.encode(),
    "100,000 nested lists in a zone": upstream_data().replace(b'"cape-a"', DEEP.encode()),
    "slots of 1e999": upstream_data().replace(b'"slots": 64', b'"slots": 1e999'),
    "slots of 5,000 digits": upstream_data().replace(b'"slots": 64', b'"slots": ' + b"9" * 5000),
    "slots of NaN": upstream_data().replace(b'"slots": 64', b'"slots": NaN'),
    "a negative cold time": upstream_data(cold_remaining_ms=-1),
    "a start of 1e300": upstream_data().replace(b'"born": 1', b'"born": 1e300'),
    "the port 99999": upstream_data(port=99999),
    "a port of 5,000 digits": upstream_data(port="9" * 5000),
    "the port 0": upstream_data(port=0),
    "a port of superscript digits": upstream_data(address="127.0.0.1:8\u00b2"),
    "a host that is no IP address": upstream_data(address="replica.example:8120"),
    "a lone surrogate as zone": upstream_data().replace(b'"cape-a"', b'"\\ud800"'),
    "bytes that are no text": b"\xff\xfe\x00{",
}


@when("another writer leaves an entry with {entry}")
def leaves_odd_entry(context, entry):
    context.version += 1
    page = RowPage(
        [RowChange("odd", context.version, ODD_ENTRIES[entry])], context.version, complete=False
    )
    apply_page(context.core, RowTable.UPSTREAMS, page, "store", 0)


@then("the entry is logged as invalid, and requests go to the {count:d} replicas")
def odd_entry_is_invalid(context, count):
    lines = [line for line in context.core.event_log.lines if line["event"] == "row_invalid"]
    assert [line["subject"] for line in lines] == ["odd"], lines
    json.dumps(lines)
    assert chosen_replicas(context) == {f"r{number}" for number in range(count)}
