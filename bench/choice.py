"""Measure the time of one choice of an upstream by the size of the fleet."""

import random
import time

from bench.report import Report
from features.admission_world import AnyVersion
from features.entry_fixtures import choose, core_with_replicas, new_call
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.model import Call, Endpoint
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.requests.admitted_search import AdmittedSearch
from skylarklift.entry.requests.retry_state import RetryState
from skylarklift.entry.requests.upstream_search import SearchedRequest
from skylarklift.entry.state.rows import TableSummary

SIZES = ((8, 12), (67, 56), (195, 156), (390, 650))
# From letter 1's size on, a choice may take a little longer.
LIMITS_MS = {8: 0.25, 67: 0.25, 195: 0.25, 390: 0.4}
# The design note on uneven load names these for a choice with admission.
ADMISSION_LIMITS_MS = {195: 0.1, 390: 0.2}
CHATS = 400
CHOICES = 2000
US_PER_MS = 1000
EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2


def run(seed: int) -> Report:
    """Measure choices in fleets of several sizes, with loads reported by all routers."""
    report = Report("choice", "time of one choice of an upstream by routers/replicas")
    report.axes = ("replicas", "microseconds")
    for routers, replicas in SIZES:
        span_ms = measure(routers, replicas, random.Random(seed))
        report.at_most(f"choice at {routers}/{replicas}", span_ms, LIMITS_MS[routers], "ms")
        admitted_ms = measure(routers, replicas, random.Random(seed), admission=True)
        limit_ms = ADMISSION_LIMITS_MS.get(routers, LIMITS_MS[routers])
        report.at_most(f"admission at {routers}/{replicas}", admitted_ms, limit_ms, "ms")
        report.series.setdefault("choice", []).append((replicas, round(span_ms * US_PER_MS)))
    return report


def measure(routers: int, replicas: int, rng: random.Random, *, admission: bool = False) -> float:
    """Return the mean milliseconds of a choice; gossip arrives between the choices.

    With `admission` the room of the service is checked as well.
    """
    clock = ManualClock(100_000)
    core = core_with_replicas(replicas, clock)
    calls = [new_call(f"base:100,c{number}:2000,own{number}:30") for number in range(CHATS)]
    spent_s = 0.0
    for number in range(CHOICES):
        loads = {f"r{rng.randrange(replicas)}": rng.randrange(4) for _ in range(4)}
        message = GossipMessage(f"n{number % routers}", "b", "", EMPTY_SUMMARIES, loads=loads)
        core.fleet.record_message(message, Endpoint("127.0.0.2", 1))
        call = rng.choice(calls)
        began = time.perf_counter()
        choice = admit(core, call) if admission else choose(core, call)
        spent_s += time.perf_counter() - began
        core.chooser.start_request(choice, call)
        core.chooser.end_request(choice.upstream.record.replica)
        clock.advance(2)
    return spent_s / CHOICES * 1000


def admit(core: Core, call: Call) -> Choice:
    """Return the choice for a call that has room; it does not wait."""
    route = core.cluster_state.plan.route(call.host, call.path)
    call.received_at = core.clock.now()
    deadline = Millis(call.received_at + route.timeout_ms)
    request = SearchedRequest(call, route, "lm", None, route.priority, deadline, call.request)
    search = AdmittedSearch(core, request, RetryState(route), AnyVersion())
    try:
        search.choose().send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the request waits for room")
