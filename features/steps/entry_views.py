"""Steps for routers whose views of store, peers and upstreams differ."""

from behave import then, when

from features.entry_fixtures import apply_next_rows, upstream_data
from features.steps.entry_cluster_state import (
    replica_known_that,
    zone_evacuated,
    zone_restored,
)
from features.steps.entry_eras import sync
from skylarklift.entry.state.rows import RowTable


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
