"""Steps that call a pool's admitter and its parts directly, without I/O."""

import random

from behave import given, then, when

from skylarklift.clock import ManualClock
from skylarklift.generated import Pool, Ramp, Replica
from skylarklift.ids import BootId, ChatKey, GrantId, ReplicaId, RouterId, WorkspaceId
from skylarklift.invariants import INVARIANTS
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.bound import load_bound, select_in_service
from skylarklift.pools.grants import AdmissionRequest, Grant, GrantKey, Refused
from skylarklift.pools.ramp import ReplicaRamp
from skylarklift.votes.lease import LeaseClient, VoterSets

VOTERS, SETTLE_MS, LEASE_MS = 5, 5000, 4000


def make_admitter(clock, replicas, slots, queue=256):
    names = [ReplicaId(f"r{number}") for number in range(replicas)]
    pool = Pool(
        models=["m"],
        replicas={name: Replica(url="http://r", zone="z", slots=slots) for name in names},
        queue_limit=queue,
        ramp=Ramp(duration_ms=0),
    )
    return PoolAdmitter(clock, pool, names, warm=True)


def make_request(number, workspace="w", **more):
    key = GrantKey(RouterId("router"), GrantId(number))
    return AdmissionRequest(key, ChatKey(number * 7919), WorkspaceId(workspace), **more)


@then("the bound of {total:d} requests over {replicas:d} replicas at {factor:f} is {bound:d}")
def step_bound(context, total, replicas, factor, bound):
    assert load_bound(factor, total, replicas) == bound


@then('with limits "{limits}" and {demand:d} requests the replicas in service are "{service}"')
def step_service(context, limits, demand, service):
    parsed = {ReplicaId(k): int(v) for k, v in (item.split("=") for item in limits.split(","))}
    assert sorted(select_in_service(1.25, parsed, demand)) == service.split(",")


@when("a pool of {replicas:d} replicas gets {count:d} random requests and releases")
def step_random_asks(context, count, replicas):
    rng = random.Random(7)
    clock = ManualClock()
    INVARIANTS.counts.clear()
    admitter = make_admitter(clock, replicas, 32)
    grant_keys, context.used = [], set()
    for number in range(count):
        decisions = admitter.ask(make_request(number, wait_ms=rng.randrange(1, 900)))
        if grant_keys and rng.random() < 0.48:
            decisions += admitter.release(grant_keys.pop(rng.randrange(len(grant_keys))))
        clock.advance(rng.randrange(30))
        decisions += admitter.tick()
        granted = [item for item in decisions if isinstance(item, Grant)]
        grant_keys += [item.key for item in granted]
        context.used |= {item.replica for item in granted}
    context.replicas = replicas


@then("no invariant was violated and every replica was used")
def step_no_violation(context):
    assert not INVARIANTS.counts
    assert len(context.used) == context.replicas


@given("a ramp from {start:d} to {slots:d} slots in {duration:d} ms")
def step_ramp(context, start, slots, duration):
    context.clock = ManualClock()
    ramp = Ramp(start_slots=start, duration_ms=duration)
    context.ramp = ReplicaRamp(context.clock, slots, ramp)
    context.ramp.record_boot(BootId("first"))


@when("{age:d} ms have passed")
def step_advance(context, age):
    context.clock.advance(age)


RAMP_SIGNALS = {
    "another boot id": lambda ramp: ramp.record_boot(BootId("second")),
    "the same boot id": lambda ramp: ramp.record_boot(BootId("first")),
    "one slow first token": lambda ramp: ramp.record_first_token(9000, 5000),
    "three slow first tokens": lambda ramp: [ramp.record_first_token(9000, 5000) for _ in range(3)],
}


@when("the replica reports {signal}")
def step_signal(context, signal):
    RAMP_SIGNALS[signal](context.ramp)


@then("the limit is {limit:d}")
def step_limit(context, limit):
    assert context.ramp.limit() == limit, context.ramp.limit()


@given("a full pool of {replicas:d} replicas of {slots:d} slots with a queue of {queue:d}")
def step_full(context, replicas, slots, queue):
    context.clock = ManualClock()
    context.admitter = make_admitter(context.clock, replicas, slots, queue)
    context.grant_keys = []
    for number in range(replicas * slots):
        decisions = context.admitter.ask(make_request(number, "loud"))
        context.clock.advance(200)
        decisions += context.admitter.tick()
        context.grant_keys += [item.key for item in decisions if isinstance(item, Grant)]
    assert len(context.grant_keys) == replicas * slots


@when('workspace "{loud}" sends {many:d} requests and then workspace "{quiet}" sends 2')
def step_surge(context, loud, many, quiet):
    context.decisions = []
    context.workspaces = {}
    for number in range(100, 100 + many + 2):
        workspace = loud if number < 100 + many else quiet
        request = make_request(number, workspace, wait_ms=60_000)
        context.workspaces[request.key] = workspace
        context.decisions += context.admitter.ask(request)


@then('"{quiet}" is refused {none:d} times and "{loud}" at least {some:d} times')
def step_refused_counts(context, quiet, none, loud, some):
    refused = [context.workspaces[d.key] for d in context.decisions if isinstance(d, Refused)]
    assert refused.count(quiet) == none and refused.count(loud) >= some, refused


@then('"{quiet}" is served first when slots become free')
def step_served_first(context, quiet):
    served = []
    for key in context.grant_keys[:2]:
        context.clock.advance(200)
        decisions = context.admitter.release(key) + context.admitter.tick()
        served += [context.workspaces[d.key] for d in decisions if isinstance(d, Grant)]
    assert served == [quiet, quiet], served


PROPERTIES = {
    "nothing special": {},
    "every replica avoided": {"avoid": frozenset([ReplicaId("r0")])},
    "its workspace at its limit": {"in_flight_limit": 1},
}


@when("a request with {property_name} waits until its wait limit")
def step_property(context, property_name):
    request = make_request(500, "loud", wait_ms=300, **PROPERTIES[property_name])
    context.decisions = context.admitter.ask(request)
    context.clock.advance(300)
    context.decisions += context.admitter.tick()


@then('it is refused with "{code}"')
def step_code(context, code):
    assert [item.code.value for item in context.decisions] == [code], context.decisions


@when("the router lists no grants and the admitter reconciles")
def step_reconcile(context):
    context.clock.advance(10_000)
    context.admitter.reconcile(RouterId("router"), set(), context.clock.now())


@then("the admitter has no grants and counts no load")
def step_empty(context):
    assert context.admitter.grants() == []
    assert set(context.admitter.loads().values()) == {0}


@given("an admitter that took over while a replica with {count:d} requests was out of service")
def step_takeover(context, count):
    context.admitter = make_admitter(ManualClock(), 3, 8)
    pool = context.admitter.pool
    context.admitter.configure(pool, [ReplicaId("r0"), ReplicaId("r1")])
    listed = [
        Grant(GrantKey(RouterId("x"), GrantId(n)), ReplicaId("r2"), WorkspaceId("w"), ChatKey(n))
        for n in range(count)
    ]
    context.admitter.add_grants(listed)


@when("the replica is in service again")
def step_in_service(context):
    names = [ReplicaId(f"r{number}") for number in range(3)]
    context.admitter.configure(context.admitter.pool, names)


@then("the admitter counts a load of {count:d} for it")
def step_load(context, count):
    assert context.admitter.loads()["r2"] == count


@when('a router that knows the members "{members}" counts the votes of "{votes}"')
@when('a router that knows the members "" counts the votes of "{votes}"')
def votes_counted(context, votes, members=""):
    clock = ManualClock(10_000)
    voters = VoterSets(clock, VOTERS, SETTLE_MS)
    voters.apply_view(1, members.split())
    context.lease = LeaseClient(clock, voters, "pool/chat", LEASE_MS)
    context.lease.start_round()
    for voter in votes.split():
        context.lease.record_vote(context.lease.round_number(), voter, granted=True)


@then("it holds the lease: {held}")
def holds_lease(context, held):
    assert context.lease.is_held() == (held == "yes")
