"""Steps for roll-outs: orders, evidence, verdicts, and drawn roll-outs of several routers."""

import math
from collections import Counter
from dataclasses import replace
from random import Random

import msgpack
from behave import given, then, when

from features.entry_fixtures import apply_rows, new_core
from features.rollout_fixtures import (
    KEY,
    NEW,
    OLD,
    REQUESTS,
    SERVICE,
    add_replicas,
    make_router,
    may_go_to,
    order,
    tell,
)
from features.rollout_world import RolloutWorld
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.rollouts.evidence import (
    EvidenceReport,
    RouteCounts,
    Sample,
    time_bucket,
)
from skylarklift.entry.rollouts.news import RolloutNews, StateReport
from skylarklift.entry.rollouts.plan import plan_steps
from skylarklift.entry.rollouts.state import RolloutPhase
from skylarklift.entry.rollouts.verdict import Verdict, judge
from skylarklift.entry.state.rows import RowTable
from skylarklift.platform.settings_file import parse_node_settings

LATEST_BAD_ANSWERS = 50
SETTINGS = """
node_name=r1
zone=a
listen.frontend=127.0.0.1:80
listen.ready_addr=127.0.0.1:81
platform.address=127.0.0.1:82
port_range=9000,9100
"""


@given("a router that knows an order to v2 within 60 s")
def router_with_order(context):
    context.core = make_router(ManualClock(10_000))
    order(context.core, 2)


@when("the row of an order says {text}")
def read_order(context, text):
    rows = {KEY: text.encode()}
    changes = apply_rows(context.core, RowTable.OPERATOR, 3, rows)
    context.core.record_state_changes(changes, "store")


@then("the order is refused")
def order_is_refused(context):
    known = context.core.cluster_state.rollout_orders.get(SERVICE)
    assert known.row_version == 2 and known.order.to == NEW, known
    lines = [line for line in context.core.event_log.lines if line["event"] == "row_invalid"]
    assert len(lines) == 1 and lines[0]["subject"] == KEY, lines
    assert "rows_invalid" in context.core.metrics.render()


@then("the order is {to} within {duration:d} ms")
def order_is_known(context, to, duration):
    known = context.core.cluster_state.rollout_orders.get(SERVICE)
    assert (known.order.to, known.order.duration_ms, known.row_version) == (to, duration, 3), known


@when(
    "a settings file sets the exposure share to {share:g}, the slack to {slack:d} and the rollback "
    "to {rollback:d}"
)
def read_settings(context, share, slack, rollback):
    text = f"bounds.exposure_share={share}\nbounds.exposure_slack={slack}\n"
    text += f"bounds.rollback_ms={rollback}\n"
    context.bounds = parse_node_settings("test", SETTINGS + text).bounds


@then("the bounds of the settings are {share:g}, {slack:d} and {rollback:d}")
def settings_are(context, share, slack, rollback):
    found = context.bounds
    values = found.exposure_share, found.exposure_slack, found.rollback_ms
    assert values == (share, slack, rollback), values


@then("a settings file without them leaves roll-outs off")
def settings_leave_off(context):
    assert parse_node_settings("test", SETTINGS).bounds.exposure_share == 0


@given("the plan for a bound on exposure of {bound:g}")
def make_plan(context, bound):
    context.bound, context.plan = bound, plan_steps(bound)


@then("its first share is {share:g}")
def first_share(context, share):
    assert math.isclose(context.plan[0].share, share), context.plan


@then("its shares rise to 1 at rising times within the planned time")
def shares_rise(context):
    plan = context.plan
    assert plan[0].from_elapsed == 0 and plan[-1].share == 1 and plan[-1].from_elapsed < 1, plan
    for before, after in zip(plan, plan[1:], strict=False):
        assert before.share <= after.share and before.from_elapsed < after.from_elapsed, plan


@then("all of them together use less than the bound")
def shares_in_bound(context):
    ends = [step.from_elapsed for step in context.plan[1:]] + [1.0]
    pairs = zip(context.plan, ends, strict=True)
    used = sum(step.share * (end - step.from_elapsed) for step, end in pairs)
    assert used < context.bound, used


def make_report(new, other, bad_replicas=(), route="chat"):
    """Return the counts of both versions on a route."""
    report = EvidenceReport(SERVICE, 1, bad_replicas=Counter(dict(bad_replicas)))
    report.routes = {(0, NEW, route): new, (0, OLD, route): other}
    return report


@given("{bad:d} bad of {answers:d} answers of the new version on {spread:d} replicas")
def new_answers(context, bad, answers, spread):
    context.new = RouteCounts(answers, bad)
    replicas = [f"new-{number % spread}" for number in range(bad)]
    context.bad_replicas = Counter(replicas)


@given("{bad:d} bad of {answers:d} answers of the other version")
def other_answers(context, bad, answers):
    context.report = make_report(context.new, RouteCounts(answers, bad), context.bad_replicas)


@given(
    "{answers:d} first events of the new version after {new_ms:d} ms, and 1000 of the other one "
    "after {other_ms:d} ms"
)
def first_events(context, answers, new_ms, other_ms):
    new = RouteCounts(answers, 0, Counter({time_bucket(new_ms): answers}))
    other = RouteCounts(1000, 0, Counter({time_bucket(other_ms): 1000}))
    context.report = make_report(new, other)


@then("the verdict is {verdict}")
def verdict_is(context, verdict):
    found = judge(context.report, NEW, replicas=4)
    assert found.verdict is Verdict(verdict), found


@when(
    "300 drawn roll-outs of 100 to 3000 answers with failures of {new:g} beside {other:g} are "
    "judged after each 5 answers"
)
def judge_drawn(context, new, other):
    rng = Random(7)
    context.condemned_at = [draw_condemnation(rng, new, other) for _ in range(300)]


def draw_condemnation(rng, new, other):
    """Return at which bad answer a drawn version is condemned, `None` if it is not."""
    limit, counts, beside = rng.randrange(100, 3000), RouteCounts(), RouteCounts()
    share, replicas = rng.choice((0.03, 0.1, 0.3, 0.6)), Counter()
    while counts.answers < limit:
        for _ in range(5):
            counts.answers += 1
            if rng.random() < new:
                counts.bad += 1
                replicas[f"new-{rng.randrange(4)}"] += 1
        for _ in range(round(5 * (1 - share) / share)):
            beside.answers += 1
            beside.bad += rng.random() < other
        if (
            counts.bad
            and judge(make_report(counts, beside, replicas), NEW, 4).verdict is Verdict.BAD
        ):
            return counts.bad
    return None


@then("{rate} of them are condemned")
def condemned_rate(context, rate):
    found = [count for count in context.condemned_at if count is not None]
    print(f"{len(found)} of {len(context.condemned_at)}, at most {max(found, default=0)} bad")
    if rate == "all before the 50th bad answer":
        assert len(found) == len(context.condemned_at), len(found)
        assert max(found) < LATEST_BAD_ANSWERS, max(found)
    else:
        most = 0 if rate == "none" else len(context.condemned_at) // 100
        assert len(found) <= most, found


@given("a router with replicas of v1 and roll-outs {state}")
def router_with_replicas(context, state):
    context.clock = ManualClock(10_000)
    context.core = make_router(context.clock, share=0.1 if state == "enabled" else 0.0)


@when("replicas of v2 appear")
def replicas_appear(context):
    add_replicas(context.core, 2, (NEW,))


@when("an order to v2 within 60 s is read")
def read_valid_order(context):
    order(context.core, 2)


@when("{duration:d} ms pass")
def time_passes(context, duration):
    context.clock.advance(duration)


@then("no request and no resumable stream goes to v2")
def nothing_goes(context):
    assert may_go_to(context.core, NEW) == 0
    assert context.core.rollouts.steer_counts(SERVICE, {OLD: 2, NEW: 2}) == {OLD: 2}


@then("requests and resumable streams may go to v2")
def requests_may_go(context):
    assert may_go_to(context.core, NEW) == may_go_to(context.core, OLD) == REQUESTS
    counts = {OLD: 2, NEW: 2}
    assert context.core.rollouts.steer_counts(SERVICE, counts) == counts


@given("replicas of v2 and an order to v2 whose roll-out is in progress")
def rollout_in_progress(context):
    add_replicas(context.core, 2, (NEW,))
    order(context.core, 2)
    tell(context.core, RolloutPhase.IN_PROGRESS)


@then("3 in 100 of 20000 requests go to v2, the same ones at another router")
def share_is_kept(context):
    other = make_router(context.clock, node="r2")
    add_replicas(other, 2, (NEW,))
    order(other, 2)
    tell(other, RolloutPhase.IN_PROGRESS)
    for number in range(REQUESTS):
        request = f"q{number}"
        here = context.core.rollouts.wanted(SERVICE, request, again=False)
        assert here == other.rollouts.wanted(SERVICE, request, again=False)
    share = may_go_to(context.core, NEW) / REQUESTS
    assert 0.025 < share < 0.035, share


@then("a request that is tried again goes to v1")
def again_to_old(context):
    assert may_go_to(context.core, NEW, again=True) == 0


@then("the row of software versions gives v2 3 in 100")
def row_has_share(context):
    found = context.core.rollouts.steer_counts(SERVICE, {OLD: 2, NEW: 2})
    assert found == {OLD: 970, NEW: 30}, found


@when("v2 has answered {new:d} of {total:d} requests")
def has_answered(context, new, total):
    rollouts = context.core.rollouts
    for number in range(total):
        rollouts.record(SERVICE, Sample(NEW if number < new else OLD, "chat", "r", bad=False))
    rollouts.revert_condemned()


@when("another router tells that v2 was reverted")
def told_reverted(context):
    tell(context.core, RolloutPhase.REVERTED)


@then("a state of an earlier step does not bring it back")
def stays_reverted(context):
    tell(context.core, RolloutPhase.IN_PROGRESS, step=3)
    assert may_go_to(context.core, NEW) == 0


@given("a message between routers with a roll-out and evidence")
def make_message(context):
    state = StateReport(SERVICE, NEW, 7, 100, 60_000, RolloutPhase.REVERTED, 2)
    report = make_report(RouteCounts(9, 2, Counter({3: 4, 8: 1})), RouteCounts(70, 0), {"n": 2})
    news = RolloutNews((state,), (report,))
    tables = tuple(new_core().cluster_state.summarize(table) for table in RowTable)
    context.message = GossipMessage("r1", "b", "127.0.0.1:1", tables, rollouts=news)


@then("its roll-outs are read as they were written")
def message_is_read(context):
    assert decode_gossip(encode_gossip(context.message)).rollouts == context.message.rollouts


@then("without these fields it has no roll-outs")
def message_of_earlier_release(context):
    fields = list(msgpack.unpackb(encode_gossip(context.message)))
    fields[10] = {key: value for key, value in fields[10].items() if not key.startswith("rollout_")}
    found = decode_gossip(msgpack.packb(fields))
    assert found.rollouts == RolloutNews()
    # All that an earlier release reads is at its place.
    assert found == replace(decode_gossip(encode_gossip(context.message)), rollouts=RolloutNews())


@then("a message without roll-outs has none of these fields")
def message_without(context):
    message = replace(context.message, rollouts=RolloutNews())
    extras = msgpack.unpackb(encode_gossip(message))[10]
    assert not any(key.startswith("rollout_") for key in extras), extras


@when("{count:d} drawn roll-outs are played")
def play_drawn(context, count):
    context.played = []
    for seed in range(count):
        world = RolloutWorld(seed).run()
        context.played.append((seed, world.draw.kind, world.faults_of_bounds()))


@then("no bad version breaks its bounds")
def bad_ones_in_bounds(context):
    broken = [item for item in context.played if item[1] != "good" and item[2]]
    assert not broken, broken


@then("at most 1 in 100 good ones is not completed within its deadline")
def good_ones_completed(context):
    good = [item for item in context.played if item[1] == "good"]
    broken = [item for item in good if item[2]]
    assert len(broken) <= len(good) // 100, (len(good), broken)
