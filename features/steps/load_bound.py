"""Steps for the bound on load: whole fleets of choosers in virtual time."""

from statistics import mean

from behave import given, then, when

from features.choice_fleet import MAX_OVER_RATIO, ChoiceFleet
from features.entry_fixtures import ZONES
from features.slow_machines import SlowMachines
from skylarklift.entry.placement.zone_links import MIN_SAMPLES

COLD_MS = 3000
LIMIT_PER_S = 2.0
OWN_RTT_MS = 0.2
MS_PER_S = 1000


@given(
    "{routers:d} routers before {replicas:d} replicas, {rate:g} requests a second, "
    "by the seed {seed:d}"
)
def fleet_of_choosers(context, routers, replicas, rate, seed):
    context.fleet_values = (routers, replicas, rate, seed)
    context.fleet = ChoiceFleet(*context.fleet_values)


@given("links of {rtt:g} ms between the zones, which all routers know")
def known_links(context, rtt):
    for core in context.fleet._cores:
        for zone in ZONES:
            for _ in range(MIN_SAMPLES):
                core.chooser.zone_spill.links.record(
                    zone, rtt if zone != core.settings.zone else OWN_RTT_MS
                )


@when("a zone is evacuated from {start:d} s to {end:d} s")
def zone_evacuated(context, start, end):
    fleet = context.fleet
    fleet.at(start * MS_PER_S, lambda: fleet.evacuate("cape-a", True))
    fleet.at(end * MS_PER_S, lambda: fleet.evacuate("cape-a", False))


@when("one subject gets {ratio:g} of the requests from {start:d} s to {end:d} s")
def busy_subject(context, ratio, start, end):
    fleet = context.fleet
    fleet.at(start * MS_PER_S, lambda: setattr(fleet, "hot_ratio", ratio))
    fleet.at(end * MS_PER_S, lambda: setattr(fleet, "hot_ratio", 0.0))


@when("{count:d} replicas are added at {start:d} s")
def replicas_added(context, count, start):
    fleet = context.fleet
    fleet.at(start * MS_PER_S, lambda: fleet.add_replicas(count, COLD_MS))


@when("{count:d} replicas start again at {start:d} s")
def replicas_restart(context, count, start):
    fleet = context.fleet
    fleet.at(start * MS_PER_S, lambda: fleet.restart(range(count), COLD_MS))


@when("{count:d} replicas name a limit at {start:d} s")
def replicas_limited(context, count, start):
    fleet = context.fleet
    fleet.at(start * MS_PER_S, lambda: fleet.limit(range(count), LIMIT_PER_S))


@when("{count:d} replicas name a limit from {start:d} s to {end:d} s")
def replicas_limited_for(context, count, start, end):
    fleet = context.fleet
    fleet.at(start * MS_PER_S, lambda: fleet.limit(range(count), LIMIT_PER_S))
    fleet.at(end * MS_PER_S, lambda: fleet.limit(range(count), None))


@when("replicas slow down to 2.5 times and recover, and their answers tell it")
def replicas_slow_down(context):
    fleet = context.fleet
    fleet.machines = SlowMachines(fleet.replicas, context.fleet_values[-1])


@when("no request comes for {span:d} s")
def quiet_time(context, span):
    context.fleet.quiet_ms = span * MS_PER_S


@when("all run for {span:d} s")
def run_fleet(context, span):
    context.span_ms = span * MS_PER_S
    context.outcome = context.fleet.run(context.span_ms)


@then("no 5 s break the bound on load")
def bound_kept(context):
    worst = context.outcome.worst_window()
    assert worst <= MAX_OVER_RATIO, f"{worst:.3f} of a window's requests were over the bound"


@then("no request is refused")
def none_refused(context):
    assert not context.outcome.refused, context.outcome.refused


def slow_ratio(outcome):
    """Return the share of the requests that reached a slow replica."""
    return outcome.slow_arrivals / len(outcome.sent)


@then("slow replicas get fewer requests than in a run in which answers tell no speed")
def fewer_at_slow(context):
    fleet = ChoiceFleet(*context.fleet_values)
    fleet.machines = SlowMachines(fleet.replicas, context.fleet_values[-1])
    fleet.tells_speed = False
    context.untold = fleet.run(context.span_ms)
    found, untold = slow_ratio(context.outcome), slow_ratio(context.untold)
    assert 0 < found < untold, f"{found:.4f} of the requests, {untold:.4f} without"


@then("the mean times of first events and of streams are shorter than in that run")
def faster(context):
    outcome, untold = context.outcome, context.untold
    for found, other in (
        (outcome.first_events, untold.first_events),
        (outcome.streams, untold.streams),
    ):
        assert mean(found) < mean(other), f"{mean(found):.1f} ms, {mean(other):.1f} ms without"
