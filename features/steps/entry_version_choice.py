"""Steps for which replicas may take a stream of a software version."""

from unittest.mock import Mock, patch

import trio
from behave import given, then, when

from features.entry_fixtures import (
    apply_next_rows,
    choose,
    core_with_replicas,
    new_call,
)
from features.release_fixtures import EMPTY_SUMMARIES, SERVICE, entry
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.wire import encode_gossip
from skylarklift.entry.model import Endpoint, ResponseHead, SendOptions
from skylarklift.entry.placement.choice import Choice, WantedVersion
from skylarklift.entry.placement.health import MAX_EJECTION_MS, HealthSignal
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.state.rows import RowTable
from skylarklift.errors import ResponseBroken


@given('a router before replicas r0 and r1 of "v1" and r2 of "v2"')
def router_before_versions(context):
    context.clock = ManualClock(100_000)
    context.core = core_with_replicas(3, context.clock)
    context.version = 1
    apply_next_rows(context, RowTable.UPSTREAMS, {"r2": entry(2, version="v2")})


@when('"{event}" happens')
def versions_change(context, event):
    health, clock = context.core.health, context.clock
    match event:
        case "r0 was unreachable":
            health.record_result("r0", HealthSignal.UNREACHABLE)
            clock.advance(MAX_EJECTION_MS)
        case "r0 answers again" | "r0 writes again":
            attempt = attempt_at(context.core, "r0")
            attempt.report_signal(HealthSignal.UNREACHABLE)
            clock.advance(MAX_EJECTION_MS)
            attempt.report_signal(HealthSignal.GOOD)
            if event == "r0 writes again":
                apply_next_rows(context, RowTable.UPSTREAMS, {"r0": entry(0, sequence=2)})
        case "r0 broke off" | "r0 and r1 broke off":
            break_off(context, *event.split()[:-2:2])
        case "r0 broke off long ago":
            break_off(context, "r0")
            clock.advance(2000)
            apply_next_rows(context, RowTable.UPSTREAMS, {})
        case "r0 ended an idle one" | "r0 ended it late":
            end_idle_connection(context, 10_000 if event == "r0 ended it late" else 100)
        case "a standstill" | "a standstill long ago":
            context.core.suspect_all_restarts()
            if event == "a standstill long ago":
                clock.advance(2000)
                apply_next_rows(context, RowTable.UPSTREAMS, {})
        case "r0 broke off one answer":
            old = attempt_at(context.core, "r0")
            old.conn = HttpConnection(None, "r0")
            old.conn.connected_at = clock.now()
            old.head = ResponseHead(200, [])
            clock.advance(500)
            break_off(context, "r0")
            old.record_progress()
        case "n1 saw r0 end one":
            apply_message(context.core, suspected_restarts=("r0",))
        case "n1 reports r0":
            report_ejection(context.core, "r0")
            clock.advance(MAX_EJECTION_MS)
            health.record_result("r0", HealthSignal.GOOD)
        case "r0 is back as v2":
            rows = {"r0": entry(0, version="v2", born=7)}
            apply_next_rows(context, RowTable.UPSTREAMS, rows)
        case "r0 says v3":
            apply_next_rows(context, RowTable.UPSTREAMS, {"r0": entry(0, version="v3")})
        case "r0 says nothing":
            apply_next_rows(context, RowTable.UPSTREAMS, {"r0": entry(0, version=None)})
        case "r1 and r2 have left":
            apply_next_rows(context, RowTable.UPSTREAMS, {"r1": None, "r2": None})


def end_idle_connection(context, after_ms):
    """Let r0 end an idle connection, and the router look at it some time after its last use."""
    conn = Mock(HttpConnection, relay=None)
    core = context.core
    pool = core.connection_pool
    pool.release(core.cluster_state.upstreams["r0"].record, conn, None)
    context.clock.advance(after_ms)
    conn.has_no_input.return_value = False
    pool.find_early_ends()


def break_off(context, *replicas):
    """Let a connection to each replica end within an answer."""
    with patch("skylarklift.entry.requests.attempt.is_reachable", return_value=True):
        for replica in replicas:
            attempt = attempt_at(context.core, replica)
            trio.run(attempt.record_failure, ResponseBroken("closed"))


def attempt_at(core, replica):
    """Return an attempt at a replica."""
    for number in range(60):
        call = new_call(f"base:100,s{number}:2000,own:30")
        choice = choose(core, call)
        if choice.upstream.record.replica == replica:
            options = SendOptions(replica, None, 100, None, None)
            return Attempt(core, call, choice, options, repeatable=True)
    raise AssertionError(f"no request goes to {replica}")


def report_ejection(core, replica):
    """Let another router report that it could not reach a replica."""
    apply_message(core, ejected={replica: 100}, maybe_restarted=(replica,))


def apply_message(core, **fields):
    """Let a message of another router arrive."""
    message = GossipMessage("n1", "b", "", EMPTY_SUMMARIES, **fields)

    async def apply():
        async with trio.open_nursery() as nursery:
            data = encode_gossip(message)
            Peering(core, members=None)._apply_datagram(data, Endpoint("127.0.0.2", 1), nursery)
            nursery.cancel_scope.cancel()

    trio.run(apply)


@then('a stream that "{version}" {state} may go to "{replicas}"')
def stream_may_go_to(context, version, state, replicas):
    core = context.core
    wanted = WantedVersion(version, begun=state == "has begun")
    route = core.cluster_state.plan.route("app.example", "/chat/x")
    found = set()
    for number in range(60):
        call = new_call(f"base:100,s{number}:2000,own:30")
        choice = core.chooser.choose(call, route, SERVICE, (), None, wanted)
        if isinstance(choice, Choice):
            found.add(choice.upstream.record.replica)
        context.clock.advance(1200)
    assert found == set(replicas.split()) - {"none"}, found
