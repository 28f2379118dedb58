"""Steps for fleets whose zones differ in demand, with links that are measured or not."""

from types import SimpleNamespace

from behave import given, then, when

from features.choice_fleet import MAX_OVER_RATIO
from features.entry_fixtures import ZONES
from features.zone_fleet import ZoneFleet

ROUTERS = 12
REPLICAS = 24
SEED = 1
MS_PER_S = 1000
LOSS_MS = 5000


@given("zones that are {link:g} ms apart, with {rate:g} requests a second")
def zones_apart(context, link, rate):
    context.fleet_of = lambda measured: ZoneFleet(ROUTERS, REPLICAS, rate, SEED, link, measured)


@when("{event} happens in {span:d} s, with links that are not measured and with measured ones")
def event_happens(context, event, span):
    context.runs = []
    for measured in (False, True):
        fleet = context.fleet_of(measured)
        start_event(fleet, event)
        outcome = fleet.run(span * MS_PER_S)
        context.runs.append(SimpleNamespace(outcome=outcome, zones=fleet.zones))
        zones = fleet.zones
        print(
            f"{event}, measured {measured}: {zones.away_ratio:.3f} of {zones.requests} leave, "
            f"mean wait {zones.mean_wait_ms:.1f} ms"
        )


def start_event(fleet, event):
    """Let the zones' demand swing, or the first zone lose replicas."""
    kind, _, value = event.partition(" of ")
    if kind == "a wave":
        fleet.wave(float(value))
        return
    assert kind == "the loss", event
    lost = range(0, len(ZONES) * int(value.split()[0]), len(ZONES))
    fleet.at(LOSS_MS, lambda: fleet.remove(lost))


@then("the share of requests that leaves is at most {away:g}, and at least {least:g} unmeasured")
def share_leaves(context, away, least):
    before, after = (run.zones.away_ratio for run in context.runs)
    assert before >= least, before
    assert after <= away, after


@then("the mean wait is at most {ratio:g} times that with unmeasured links")
def mean_wait(context, ratio):
    before, after = (run.zones.mean_wait_ms for run in context.runs)
    assert after <= ratio * before, (before, after)


@then("no 5 s break the bound on load in either run")
def bound_holds(context):
    for run in context.runs:
        assert run.outcome.worst_window() <= MAX_OVER_RATIO, run.outcome.worst_window()


@then("all requests find an upstream in both runs")
def none_refused(context):
    assert not any(run.outcome.refused for run in context.runs)


@then("the part that may leave turns at most {turns:d} times at any router")
def part_turns(context, turns):
    for node, parts in context.runs[1].zones.parts.items():
        steps = [b - a for a, b in zip(parts, parts[1:], strict=False) if b != a]
        found = sum((a > 0) != (b > 0) for a, b in zip(steps, steps[1:], strict=False))
        print(f"{node}: {found} turns")
        assert found <= turns, (node, found, parts)
