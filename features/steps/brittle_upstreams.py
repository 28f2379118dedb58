"""Steps for upstreams that fail if they have to reject too many requests."""

import io
import re
from contextlib import redirect_stdout
from dataclasses import replace

from behave import given, then, when

from features.brittle_fleet import HERE, SERVICE, BrittleFleet, BrittleSetting
from features.entry_fixtures import core_with_replicas
from features.steps.entry_limits import EMPTY_SUMMARIES
from features.steps.entry_process_faults import run_fleet_command
from features.world_thread import replicas_by_name
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import DISCOVERY_MS, Fleet, GossipMessage
from skylarklift.entry.model import ReplicaLoad
from skylarklift.entry.placement.concurrency_limits import (
    ConcurrencyLimits,
    KnownLoads,
    RejectionLimit,
)
from skylarklift.ui.main import main
from standins.brittle_replica import Brittleness

MS_PER_S = 1000
WAITING_PER_SLOT = 1.0
ALLOWED_FALLS = 2
IDLE_RATIO = 0.0001
SILENCE_MS = 2000
NAMED_AT_MS = 600
BUSY_LOAD = 1000
ALLOWED_FALLS_RATIO = 0.1


@given(
    "{routers:d} routers before {replicas:d} brittle replicas of {slots:d} slots, "
    "by the seed {seed:d}"
)
def brittle_replicas(context, routers, replicas, slots, seed):
    context.sizes = {"routers": routers, "replicas": replicas, "slots": slots, "seed": seed}


@given("they can reject {limit:d} requests a second, and answers {loads}")
def rejection_limit(context, limit, loads):
    assert loads in ("tell loads", "tell no loads"), loads
    context.rejections_per_s = limit
    context.tells_load = loads == "tell loads"


@when(
    "{ratio:g} times what they can run comes for {span:g} s, "
    "and they are brittle from {since:g} s on"
)
def overload(context, ratio, span, since):
    overload_setting(context, ratio, int(since * MS_PER_S))
    context.fleet.run(int(span * MS_PER_S))


@when(
    "{ratio:g} times what they can run comes for {span:g} s, and ten times as much from "
    "{step:g} s on, while they are brittle"
)
def load_step(context, ratio, span, step):
    overload_setting(context, ratio, since_ms=0)
    context.fleet.at(int(step * MS_PER_S), lambda: context.fleet.multiply_load(10))
    context.fleet.run(int(span * MS_PER_S))


@when(
    "{ratio:g} times what they can run comes for {span:g} s, and {count:d} routers "
    "start anew at {moment:g} s, while they are brittle"
)
def routers_start_anew(context, ratio, span, count, moment):
    overload_setting(context, ratio, since_ms=0)
    fleet = context.fleet
    fleet.at(int(moment * MS_PER_S), lambda: fleet.restart_routers(range(count)))
    fleet.run(int(span * MS_PER_S))


def overload_setting(context, ratio, since_ms):
    """Build the fleet for a ratio of the load that the replicas can run."""
    setting = BrittleSetting(
        **context.sizes,
        waiting_room=int(WAITING_PER_SLOT * context.sizes["slots"]),
        load_ratio=ratio,
        brittleness=Brittleness(since_ms, context.rejections_per_s),
        tells_load=context.tells_load,
    )
    context.fleet = BrittleFleet(setting)


@then("at most 2 falls and a tenth of the number of replicas are seen")
def few_falls(context):
    falls, replicas = context.fleet.falls(), context.sizes["replicas"]
    allowed = ALLOWED_FALLS + ALLOWED_FALLS_RATIO * replicas
    assert falls <= allowed, f"{falls} falls, {allowed} allowed; {describe(context.fleet)}"


@then("from {start:g} s on at least {ratio:g} of the slots run requests")
def slots_used(context, start, ratio):
    used = context.fleet.used_ratio()
    assert used >= ratio, f"{used:.3f} used; {describe(context.fleet)}"


@then("at most {ratio:g} of the requests are refused")
def few_refused(context, ratio):
    results = context.fleet.results
    refused = results.refused / (results.refused + results.served)
    assert refused <= ratio, f"{refused:.3f} refused; {describe(context.fleet)}"


@when('a router\'s request is rejected by "{replica}" at {moment:d} ms')
def request_rejected(context, replica, moment):
    overload_setting(context, IDLE_RATIO, since_ms=0)
    context.moments = {}
    # That the replicas are brittle is known before.
    context.fleet.at(NAMED_AT_MS, lambda: context.fleet.answer(0, replica, rejects=False))
    context.fleet.at(moment, lambda: context.fleet.answer(0, replica, rejects=True))


@then(
    '{count:d} routers send nothing to "{replica}" at {moment:d} ms, '
    "and {later_count:d} at {later:d} ms"
)
def send_nothing_until(context, count, replica, moment, later_count, later):
    fleet, seen = context.fleet, []
    for at in (moment, later):
        fleet.at(at, lambda: seen.append(fleet.routers_without_place(replica)))
        for name in fleet.replicas:
            fleet.at(at, lambda name=name: note_without_place(context, name))
    fleet.run(later + 1)
    assert seen == [count, later_count], seen


def note_without_place(context, replica):
    """Note how many routers have no place at a replica now."""
    found = context.fleet.routers_without_place(replica)
    context.moments.setdefault(replica, []).append(found)


@then('{count:d} routers send nothing to "{replica}" at {moment:d} ms')
def sent_nothing(context, count, replica, moment):
    assert context.moments[replica][0] == count, context.moments


@given("a router before replicas that have named no rejections")
def router_before_replicas(context):
    context.clock = ManualClock(0)
    context.limits = ConcurrencyLimits(context.clock)


@when('it learns of "{history}" about rejections')
def learns(context, history):
    limits = context.limits
    for item in history.split():
        at, kind, *values = item.split(":")
        context.clock.advance(int(at) - context.clock.now())
        limits.expire()
        match kind:
            case "named":
                limits.record_named(SERVICE, int(values[0]))
            case "plain":
                limits.record_unnamed(SERVICE, int(values[0]))
            case "reported":
                limits.apply_limit(RejectionLimit(SERVICE, int(values[0]), int(values[1])))


@then('the service can bear "{limit}" rejections a second')
def bears(context, limit):
    named = context.limits.named()
    assert named == ({} if limit == "none" else {SERVICE: int(limit)}), named


@given("{count:d} routers that share the places of a replica of {slots:d} slots")
def routers_with_places(context, count, slots):
    context.clock = ManualClock(100_000)
    context.record = replace(
        core_with_replicas(1).cluster_state.upstreams["r0"].record, slots=slots
    )
    context.fleets = [Fleet(context.clock, f"n{n}") for n in range(count)]
    context.limits = [ConcurrencyLimits(context.clock) for _ in context.fleets]
    for fleet in context.fleets:
        for other in context.fleets:
            fleet.add(other.own_node, HERE)
    for limits in context.limits:
        limits.record_named(context.record.service, 3)
    hear_all(context)


def hear_all(context):
    """Let all routers hear each other."""
    for fleet in context.fleets:
        for other in context.fleets:
            if other is not fleet:
                message = GossipMessage(
                    other.own_node, "b", "", EMPTY_SUMMARIES, router_count=other.router_count()
                )
                fleet.record_message(message, HERE)


@when("they have just started")
def just_started(context):
    pass


@when("all hear each other")
def all_hear(context):
    context.clock.advance(DISCOVERY_MS)
    hear_all(context)


@when("each hears no other one")
def hear_none(context):
    context.clock.advance(DISCOVERY_MS + SILENCE_MS)


@when("an answer tells of {slots:d} slots")
def tells_slots(context, slots):
    all_hear(context)
    for limits in context.limits:
        limits.record_load(context.record.replica, ReplicaLoad(slots, 0, slots))


@when("an answer tells of waiting ones")
def tells_waiting(context):
    all_hear(context)
    for limits in context.limits:
        limits.record_load(context.record.replica, ReplicaLoad(1, 1, context.record.slots))


@then("their places at it are {places:d} together, and at most {most:d} for each")
def places_together(context, places, most):
    counts = [
        places_of(context, *item) for item in zip(context.fleets, context.limits, strict=True)
    ]
    assert sum(counts) == places and max(counts) == most, counts


def places_of(context, fleet, limits):
    """Return how many requests a router may have at the replica while that is busy."""
    share, own = fleet.share(context.record.replica), 0
    while limits.has_place(context.record, KnownLoads(own, BUSY_LOAD, BUSY_LOAD, 1), share):
        own += 1
    return own


@given('the replicas "{names}" can bear {limit:d} rejections a second, and reject the next request')
def replicas_can_bear(context, names, limit):
    for replica in replicas_by_name(context, names):
        replica.faults.rejection_limit = limit
        replica.faults.shed = 1


@then('explaining it shows the lines "{events}"')
def explained(context, events):
    output = io.StringIO()
    with redirect_stdout(output):
        assert main(["explain", context.request, str(context.router.log)]) == 0
    for event in events.split(","):
        assert event in output.getvalue(), output.getvalue()


@then('the metrics and the fleet command show {limit:d} rejections for "{service}"')
def metrics_show(context, limit, service):
    store = context.world.store_endpoints[0][1]
    output = run_fleet_command(store, context.router.readiness_port).stdout
    assert re.search(rf"rejection_limit[^,]*{service}[^,]*: {limit}", output), output


def describe(fleet):
    """Return the figures of a run."""
    results = fleet.results
    return (
        f"{results.sent} sent, {results.served} served, {results.refused} refused, "
        f"{fleet.rejections()} rejections, {fleet.falls()} falls, {fleet.used_ratio():.3f} used, "
        f"{fleet.outcome.messages} messages, codes {sorted(results.codes)}"
    )
