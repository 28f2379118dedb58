"""Steps for upstreams that fail if they have to reject too many requests."""

from behave import given, then, when

from features.brittle_fleet import BrittleFleet, BrittleSetting
from standins.brittle_replica import Brittleness

MS_PER_S = 1000
WAITING_PER_SLOT = 1.0
ALLOWED_FALLS = 2
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
    setting = BrittleSetting(
        **context.sizes,
        waiting_room=int(WAITING_PER_SLOT * context.sizes["slots"]),
        load_ratio=ratio,
        brittleness=Brittleness(int(since * MS_PER_S), context.rejections_per_s),
        tells_load=context.tells_load,
    )
    context.fleet = BrittleFleet(setting)
    context.fleet.run(int(span * MS_PER_S))


@then("at most 2 falls and a tenth of the number of replicas are seen")
def few_falls(context):
    falls, replicas = context.fleet.falls(), context.sizes["replicas"]
    allowed = ALLOWED_FALLS + ALLOWED_FALLS_RATIO * replicas
    assert falls <= allowed, f"{falls} falls, {allowed} allowed; {describe(context.fleet)}"


@then("from {start:g} s on at least {ratio:g} of the slots run requests")
def slots_used(context, start, ratio):
    used = context.fleet.used_ratio()
    assert used >= ratio, f"{used:.3f} used; {describe(context.fleet)}"


def describe(fleet):
    """Return the figures of a run."""
    results = fleet.results
    return (
        f"{results.sent} sent, {results.served} served, {results.refused} refused, "
        f"{fleet.rejections()} rejections, {fleet.falls()} falls, {fleet.used_ratio():.3f} used, "
        f"{fleet.outcome.messages} messages, codes {sorted(results.codes)}"
    )
