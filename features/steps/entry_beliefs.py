"""Steps of beliefs, health and crash suspects of an entry router."""

from behave import then, when

from features.entry_parts import (
    apply_next_rows,
    apply_rows,
    choose,
    new_call,
    parse_yes_no,
    plan_data,
    upstream_data,
)
from skylarklift.entry.attempt import Attempt
from skylarklift.entry.choose import Choice
from skylarklift.entry.health import HealthSignal
from skylarklift.entry.rows import RowTable


@when('the replica "{name}" is draining')
def draining(context, name):
    apply_next_rows(context, RowTable.UPSTREAMS, {name: upstream_data(state="draining")})


@when('the replica "{name}" is removed')
def removed(context, name):
    apply_next_rows(context, RowTable.UPSTREAMS, {name: None})


@when('the replica "{name}" is listed again')
def listed_again(context, name):
    apply_next_rows(context, RowTable.UPSTREAMS, {name: upstream_data()})


@when('the replica "{name}" writes a beat')
def writes_beat(context, name):
    record = context.core.cluster_state.upstreams[name].record
    context.clock.advance(1200)
    row = upstream_data(zone=record.zone, port=record.port, sequence=2)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when('the replica "{name}" says it is cold')
def says_cold(context, name):
    record = context.core.cluster_state.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, cold_remaining_ms=2000)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when('the replica "{name}" says it has more slots')
def says_slots(context, name):
    record = context.core.cluster_state.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, slots=80)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when('the removal of "{name}" is held')
def removal_held(context, name):
    context.clock.advance(6000)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: None})
    assert name in context.core.cluster_state.upstreams


@then("the last change that mattered is the newest row: {matters}")
def mattered(context, matters):
    state = context.core.cluster_state
    newest = state.caches[RowTable.UPSTREAMS].version
    assert (state.last_change_version[RowTable.UPSTREAMS] == newest) == parse_yes_no(matters)


@when('the zone of "{name}" is emptied')
def zone_out(context, name):
    context.zone = context.core.cluster_state.upstreams[name].record.zone
    apply_next_rows(context, RowTable.OPERATOR, {f"evacuate/{context.zone}": b"{}"})


@when('the zone of "{name}" is taken back')
def zone_back(context, name):
    apply_next_rows(context, RowTable.OPERATOR, {f"evacuate/{context.zone}": None})


@when('the replica "{name}" is unreachable')
def unreachable(context, name):
    context.core.health.record_result(name, HealthSignal.UNREACHABLE)


def reached(context):
    """Return the replicas that many different chats go to."""
    for change in context.core.cluster_state.apply_delayed_removals():
        assert change.event == "upstream_removed"
    calls = (new_call(f"p:100,c{number}:5000,q:10") for number in range(60))
    found = [choose(context.core, call) for call in calls]
    return {item.upstream.record.replica for item in found if isinstance(item, Choice)}


@then('no request goes to the replica "{name}"')
def not_reached(context, name):
    found = reached(context)
    assert found and name not in found, found


@then('requests may go to the replica "{name}"')
def may_reach(context, name):
    assert name in reached(context)


@then('the replica "{name}" is cold for {span:d} ms')
def cold_for(context, name, span):
    upstream = context.core.cluster_state.upstreams[name]
    assert upstream.cold_until - context.clock.now() == span


@when("the configuration {number:d} is taken in a row of version {version:d}")
def configuration_taken(context, number, version):
    apply_rows(context.core, RowTable.OPERATOR, version, {"config": plan_data(number)})


@then("the configuration {number:d} is in force")
def in_force(context, number):
    assert context.core.cluster_state.plan.version == number


@when("the store is away for {span:d} ms")
def store_away(context, span):
    context.clock.advance(span)


@when("{span:d} ms pass")
def time_passes(context, span):
    context.clock.advance(span)


@when("the list of upstreams is confirmed")
def list_confirmed(context):
    context.core.cluster_state.confirm_version(RowTable.UPSTREAMS, context.version)


@when('requests to "{name}" show "{signs}"')
def requests_show(context, name, signs):
    for sign in signs.split(","):
        context.core.health.record_result(name, HealthSignal(sign))


@when("requests to all replicas fail {bad:d} times of {all:d}, {count:d} times")
def all_fail(context, bad, all, count):
    names = [f"r{number}" for number in range(context.count)]
    for number in range(count):
        sign = HealthSignal.FAILED if number % all < bad else HealthSignal.GOOD
        for name in names:
            context.core.health.record_result(name, sign, names)


@then('the replica "{name}" is left alone: {alone}')
def left_alone(context, name, alone):
    assert context.core.health.allows(name) != parse_yes_no(alone)


@when('a trial request to "{name}" runs')
def trial_runs(context, name):
    assert context.core.health.allows(name)
    context.core.health.start_trial(name)


@when("the request crashes {own:d} replicas here and {told:d} elsewhere")
def crashes(context, own, told):
    for number in range(own):
        context.core.suspects.record_own_crash(7, f"o{number}")
    for number in range(told):
        context.core.suspects.record_crash(7, f"t{number}")


@then("the request is refused: {refused}")
def refused(context, refused):
    assert context.core.suspects.is_poisoned(7) == parse_yes_no(refused)


SHOWN = {
    "was unreachable": [HealthSignal.UNREACHABLE],
    "broke two connections": [HealthSignal.BROKEN] * 2,
    "failed three requests": [HealthSignal.FAILED] * 3,
    "was unreachable and then did well": [HealthSignal.UNREACHABLE, HealthSignal.GOOD],
    "was unreachable, and well 3100 ms ago": [HealthSignal.UNREACHABLE, HealthSignal.GOOD],
}


@when('the replica "{name}" shows that it {showed}')
def replica_showed(context, name, showed):
    core = context.core
    if showed.startswith("was told"):
        core.health.apply_reported_ejection(name, 500, maybe_restarted=showed.endswith("lost"))
        return
    send = Attempt(core, new_call(), a_choice(core, name), None, repeatable=True)
    for sign in SHOWN[showed]:
        send.report_signal(sign)
    if showed.endswith("ms ago"):
        core.clock.advance(3100)


@then('the replica "{name}" gets a cold one\'s share: {cold}')
def gets_cold_share(context, name, cold):
    upstream = context.core.cluster_state.upstreams[name]
    plan = context.core.cluster_state.plan.services["lm"]
    assert context.core.chooser.is_cold(upstream, plan) == parse_yes_no(cold)


def a_choice(core, name):
    return Choice(core.cluster_state.upstreams[name], 0, 0.0, 0, cold=False)
