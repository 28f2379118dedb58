"""Steps on routers that read, or act on, something late."""

import random
from collections import Counter

import trio
from behave import given, then, when

from features.fakes import FakeNetwork, FakePlatform, make_node
from features.world import make_routing, run_virtual
from skylarklift.clock import ManualClock, sleep_ms
from skylarklift.config.patching import HEAD_KEY, VIEW_KEY, PatchRequest
from skylarklift.config.routing import RoutingTable
from skylarklift.errors import PatchError, PeerError
from skylarklift.generated import Ask, Granted, Member, PatchFormat, PeerSettings, Vote
from skylarklift.ids import PatchId, PoolId, RouterId, Version
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.hosted import HostedPool
from skylarklift.pools.takeover import DepartedRouters
from skylarklift.routers.membership import Membership
from skylarklift.votes.freshness import HeadNumbers
from skylarklift.votes.lease import LeaseClient, VoterSets

SEED = 1
PROBE_INTERVAL_MS = 500
MAX_CHANGE_S = 600


def make_router(context, name, nursery):
    """Return a router on the scenario's platform; its tasks do not run."""
    boot = f"{name}-boot"
    return make_node(name, "zone-1", boot, context.platform, context.network, Counter(), nursery)


async def accept_patch(node, patch_id, patch):
    """Let a router accept a patch."""
    base = Version(node.heads.table.version)
    request = PatchRequest(base, PatchId(patch_id), "anna", PatchFormat.MERGE, patch)
    await node.heads.accept(request)


def prepare_slowly(node, duration_ms):
    """Let the voters of a router agree only after some time."""

    async def prepare(_heads):
        await sleep_ms(duration_ms)
        return True

    node.heads.prepare = prepare


@given("a router whose store has a configuration and a view")
def step_router(context):
    context.platform = FakePlatform(random.Random(SEED))
    context.network = FakeNetwork(random.Random(SEED))


def run_steps(context, change):
    """Run a change at a router, beside another one that wrote the first heads."""

    async def run():
        async with trio.open_nursery() as nursery:
            first = make_router(context, "r0", nursery)
            first.heads.prepare = prepare_at_once
            await accept_patch(first, "p0", make_routing())
            await first.views.join(first.me, first.gossip.own_member())
            await change(first, nursery)
            nursery.cancel_scope.cancel()

    run_virtual(SEED, run)


async def prepare_at_once(_heads):
    """Agree."""
    return True


@when("the answer that tells of a newer patch takes {duration:d} ms")
def step_slow_answer(context, duration):
    async def change(_first, nursery):
        node = make_router(context, "r1", nursery)
        context.platform.extra_delay_ms = duration
        async with trio.open_nursery() as reading:
            reading.start_soon(node.heads.refresh)
            # Only the first read is slow, that of the heads.
            await sleep_ms(1)
            context.platform.extra_delay_ms = 0
        context.age_ms = node.freshness.evidence_age_ms()

    run_steps(context, change)


@when("a patch is accepted after voters agreed within {duration:d} ms")
def step_slow_patch(context, duration):
    async def change(first, _nursery):
        prepare_slowly(first, duration)
        await accept_patch(first, "p1", {"zones": {"zone-1": {"state": "out"}}})
        context.age_ms = first.freshness.evidence_age_ms()

    run_steps(context, change)


@when("a view is written after voters agreed within {duration:d} ms")
def step_slow_view(context, duration):
    async def change(first, _nursery):
        prepare_slowly(first, duration)
        await first.views.mark_leaving(first.me)
        context.age_ms = first.freshness.evidence_age_ms()

    run_steps(context, change)


@then("its evidence is at least {age:d} ms old")
def step_evidence_age(context, age):
    assert context.age_ms >= age, context.age_ms


@given("a view of two routers that a router has noted")
def step_noted_view(context):
    context.clock = ManualClock()
    context.membership = Membership(context.clock, RouterId("r1"), PeerSettings(keys=["k"]))
    member = Member(host="h", port=1, zone="zone-1", boot="b")
    context.membership.apply_view(1, {RouterId("r1"): member, RouterId("r2"): member})
    context.departed = DepartedRouters(context.clock, context.membership)
    context.departed.recently_departed()


@when("the router stands still for {duration:d} ms and reads that one of them left")
def step_late_view(context, duration):
    context.clock.advance(duration)
    members = {RouterId("r1"): context.membership.members[RouterId("r1")]}
    context.membership.apply_view(2, members)


@then("it counts that one as recently departed")
def step_departed(context):
    assert context.departed.recently_departed() == {RouterId("r2")}


@then("no longer {duration:d} ms later")
def step_not_departed(context, duration):
    context.clock.advance(duration)
    assert not context.departed.recently_departed()


@given("an admitter with a free replica")
def step_admitter(context):
    context.clock = ManualClock()
    context.pool = RoutingTable(Version(1), make_routing()).routing.pools["till"]


@when("it stands still for {duration:d} ms between its decision and its answer")
def step_late_answer(context, duration):
    async def run():
        async with trio.open_nursery() as nursery:
            context.platform = FakePlatform(random.Random(SEED))
            context.network = FakeNetwork(random.Random(SEED))
            node = make_node(
                "r0",
                "zone-1",
                "b",
                context.platform,
                context.network,
                Counter(),
                nursery,
                context.clock,
            )
            lease = LeaseClient(context.clock, VoterSets(context.clock, 1, 0), "pool/till", 4000)
            admitter = PoolAdmitter(context.clock, context.pool, list(context.pool.replicas))
            hosted = HostedPool(lease, admitter)
            decide = hosted.decide

            async def decide_and_stand_still(request):
                decision = await decide(request)
                context.clock.advance(duration)
                return decision

            hosted.decide = decide_and_stand_still
            ask = Ask(0, 1, "till", 1, 1, 1000, "w0", 1, 0, [], "")
            context.granted = await node.pools._decide(RouterId("r0"), ask, PoolId("till"), hosted)
            nursery.cancel_scope.cancel()

    run_virtual(SEED, run)


@then("the grant says that it waited for less than {limit:d} ms")
def step_waited(context, limit):
    assert isinstance(context.granted, Granted) and context.granted.waited_ms < limit


@when("the other router does not answer for {duration:d} ms while its prober {prober}")
def step_silent_router(context, duration, prober):
    membership = context.membership
    membership.record_answer(RouterId("r2"))
    context.clock.advance(PROBE_INTERVAL_MS)
    step_ms = duration if prober == "stands still" else PROBE_INTERVAL_MS
    membership.record_probe_failure(RouterId("r2"), refused=False)
    for _ in range(duration // step_ms):
        context.clock.advance(step_ms)
        # Two probes were on their way.
        membership.record_probe_failure(RouterId("r2"), refused=False)
        membership.record_probe_failure(RouterId("r2"), refused=False)


STATES = {
    "not suspected": (False, False),
    "suspected": (True, False),
    "suspected and removed": (True, True),
}


@then("the other router is {state}")
def step_other_state(context, state):
    membership = context.membership
    suspected = RouterId("r2") not in membership.live()
    removed = RouterId("r2") in membership.members_to_remove()
    assert (suspected, removed) == STATES[state], (suspected, removed)


@given("two routers in a view, of which one holds the lease of a pool")
def step_holder(context):
    context.platform = FakePlatform(random.Random(SEED))
    context.network = FakeNetwork(random.Random(SEED))


async def start_pair(context, nursery):
    """Return two routers that know the same view and configuration; their tasks do not run."""
    pair = [make_router(context, name, nursery) for name in ("r1", "r2")]
    for node in pair:
        context.network.nodes[node.me] = node
        node.heads.prepare = prepare_at_once
    await accept_patch(pair[0], "p0", make_routing())
    for node in pair:
        await node.views.join(node.me, node.gossip.own_member())
    for node in pair:
        await node.heads.refresh()
    return pair


@when("it hands the lease over, gets it again, and the voter then reads that the first hold ended")
def step_late_unvote(context):
    late = []

    async def read_later(router, message):
        late.append((router, message))
        raise PeerError("the voter stands still")

    async def run():
        async with trio.open_nursery() as nursery:
            holder, voter = await start_pair(context, nursery)
            pool = PoolId("till")
            hosted = holder.pools._pools[pool]
            await sleep_ms(2 * hosted.lease.duration_ms)
            await holder.pools._renew(pool, hosted)
            voter.handlers["Unvote"] = read_later
            await holder.pools.hand_over(pool)
            await holder.pools._renew(pool, hosted)
            assert hosted.lease.is_held() and len(late) == 1
            await voter.pools.answer_unvote(*late[0])
            ask = Vote(0, hosted.lease.name, hosted.lease.duration_ms, voter.heads.view.number)
            context.vote = await voter.pools.answer_vote(RouterId("r3"), ask)
            nursery.cancel_scope.cancel()

    run_virtual(SEED, run)


@then("the voter refuses its vote to a third router")
def step_vote_refused(context):
    assert not context.vote.granted


@when("it writes a {kind} after voters agreed within {duration:d} ms")
def step_write_late(context, kind, duration):
    async def change(first, _nursery):
        prepare_slowly(first, duration)
        before = first.heads.numbers()
        with trio.move_on_after(MAX_CHANGE_S):
            try:
                if kind == "patch":
                    await accept_patch(first, "p1", {"zones": {"zone-1": {"state": "out"}}})
                else:
                    await first.views.mark_leaving(first.me)
            except PatchError:
                pass
        rows = context.platform.rows
        written = HeadNumbers(rows[HEAD_KEY].value["version"], rows[VIEW_KEY].value["number"])
        context.written = written.is_newer_than(before)

    run_steps(context, change)


@then("the change of the {_kind:w} is {state}")
def step_written(context, _kind, state):
    assert context.written == (state == "written")


@when("it stands still until the lease has ended, and gets it again before it looks")
def step_lease_ended(context):
    async def run():
        async with trio.open_nursery() as nursery:
            holder, _ = await start_pair(context, nursery)
            pool = PoolId("till")
            hosted = holder.pools._pools[pool]
            await sleep_ms(2 * hosted.lease.duration_ms)
            await holder.pools._renew(pool, hosted)
            context.tenures = [hosted.tenure]
            await sleep_ms(2 * hosted.lease.duration_ms)
            await holder.pools._renew(pool, hosted)
            context.tenures.append(hosted.tenure)
            assert hosted.lease.is_held() and hosted.admitter is not None
            nursery.cancel_scope.cancel()

    run_virtual(SEED, run)


@then("its tenure is a new one")
def step_new_tenure(context):
    first, second = context.tenures
    assert first and second and first != second
