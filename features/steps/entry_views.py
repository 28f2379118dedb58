"""Steps for routers whose views of store, peers and upstreams differ."""

from behave import given, then, when

from features.entry_fixtures import apply_next_rows, parse_yes_no, upstream_data
from features.steps.entry_cluster_state import (
    replica_known_that,
    zone_evacuated,
    zone_restored,
)
from features.steps.entry_eras import sync
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.model import Endpoint
from skylarklift.entry.state.rows import RowTable, TableSummary

ROUND_MS = 250
SUMMARIES = (TableSummary(1, 1, 0, 50),) * len(RowTable)


@when('it is known to the first router that the replica "{name}" {known}')
def known_to_first(context, name, known):
    word = known.split()[0]
    if word == "answers":
        context.core.cluster_state.apply_reported_cold_time(name, int(known.split()[-2]))
    elif word == "writes":
        writes_cold(context, name, int(known.split()[-2]))
    elif known == "is in a zone that was restored":
        zone_evacuated(context, name)
        zone_restored(context, name)
    else:
        replica_known_that(context, name, known)


@when('the replica "{name}" writes that it is cold for {span:d} ms')
def writes_cold(context, name, span):
    record = context.core.cluster_state.upstreams[name].record
    row = upstream_data(zone=record.zone, port=record.port, cold_remaining_ms=span)
    apply_next_rows(context, RowTable.UPSTREAMS, {name: row})


@when("the second router hears the first and fetches what it lacks")
def second_hears_first(context):
    sync(context.second, context.core)


@then('the replica "{name}" is cold at the second router for {span:d} ms')
def cold_at_second(context, name, span):
    upstream = context.second.cluster_state.upstreams[name]
    left_ms = upstream.cold_until - context.clock.now()
    assert left_ms == span, left_ms


@given("a router that heard {count:d} others, which count {counted:d} routers")
def heard_others(context, count, counted):
    context.clock = ManualClock(10_000)
    context.fleet = Fleet(context.clock, "n0")
    context.message_count, context.counted = count, counted
    hear_others(context)


def hear_others(context):
    """Let the others send a message each."""
    for number in range(1, context.message_count + 1):
        message = GossipMessage(
            f"n{number}", "b", "", SUMMARIES, True, router_count=context.counted
        )
        context.fleet.record_message(message, Endpoint("127.0.0.1", number))


@when("it knows {registered:d} more from the store, and {span:d} ms pass while the {count:d} go on")
def go_on(context, registered, span, count):
    for number in range(registered):
        context.fleet.add(f"registered-{number}", Endpoint("127.0.0.2", 1 + number))
    for _ in range(span // ROUND_MS):
        context.clock.advance(ROUND_MS)
        hear_others(context)


@then("it hears all others: {all}")
def hears_all(context, all):
    assert context.fleet.hears_all() == parse_yes_no(all)
