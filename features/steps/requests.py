"""Steps on claims, retries, poison and the reading of events."""

import random
from collections import defaultdict
from unittest.mock import patch

import trio
from behave import then, when
from logbook import TestHandler
from msgspec import to_builtins

from features.fakes import FakePlatform, FakeStore
from features.world import run_virtual
from skylarklift.clock import LoopClock, ManualClock
from skylarklift.errors import InvariantBreach, StoreUnavailable
from skylarklift.generated import ClaimRow, RetrySettings, StoreSettings
from skylarklift.ids import Fingerprint, ReplicaId, RequestId, RouterId, WorkspaceId
from skylarklift.logger import FailureLog
from skylarklift.requests.claims import Claim, ClaimName, ClaimState, ClaimWriter, claim_from_result
from skylarklift.store.base import Row, WriteResult
from skylarklift.upstreams.crashes import CrashTracker
from skylarklift.upstreams.failures import FailureKind, UpstreamError
from skylarklift.upstreams.reader import EventReader
from skylarklift.upstreams.retries import RetryBudget

NAME = ClaimName(WorkspaceId("w"), "k")
OWN = ClaimRow(claim="own", router="r1", fingerprint="f")
OTHER = ClaimRow(claim="other", router="r2", fingerprint="f")
RESULTS = {
    "is done": WriteResult(True, 1),
    "meets another router's row": WriteResult(False, 0, Row("k", to_builtins(OTHER), 1)),
    "meets our own row": WriteResult(False, 0, Row("k", to_builtins(OWN), 1)),
    "finds no row and did nothing": WriteResult(False, 0, None),
    "meets a row nobody can read": WriteResult(False, 0, Row("k", {"odd": 1}, 1)),
}


@when("a claim is written and the write {result}")
def step_judge(context, result):
    context.claim = claim_from_result(NAME, OWN, RESULTS[result])


@then('the claim is "{state}"')
def step_claim_state(context, state):
    assert context.claim.state.value == state


@when("a claim that is ours is used twice")
def step_use_twice(context):
    claim = Claim(NAME, ClaimState.OURS, OWN, 1)
    claim.mark_dispatched()
    try:
        claim.mark_dispatched()
        context.error = None
    except InvariantBreach as exc:
        context.error = exc


@then('the second use breaks the invariant "{name}"')
def step_breach(context, name):
    assert context.error is not None and name in str(context.error)


FAULTS = {
    "works": {},
    "loses half of its answers": {"lost_share": 0.5},
    "is away for 3 seconds": {"away": True},
    "is slow": {"slow_ms": 400},
}


@when("{callers:d} callers claim {keys:d} keys twice while the store {fault}")
def step_claims(context, callers, keys, fault):
    assert callers == 2 * keys
    context.had = defaultdict(list)

    async def run():
        platform = context.platform = FakePlatform(random.Random(3))
        cfg = StoreSettings(url="http://fake")
        async with trio.open_nursery() as nursery:
            writers = [
                ClaimWriter(LoopClock(), RouterId(n), cfg, FakeStore(platform, RouterId(n)))
                for n in ("r1", "r2")
            ]
            for writer in writers:
                nursery.start_soon(writer.run)
            for name, value in FAULTS[fault].items():
                setattr(platform, name, value)

            async def claim(writer, key):
                name = ClaimName(WorkspaceId("w"), f"k{key}")
                claim = await writer.claim(name, "f", 2000)
                context.had[key].append(claim)

            for key in range(keys):
                for writer in writers:
                    nursery.start_soon(claim, writer, key)
            await trio.sleep(3)
            platform.away = False
            # Rows of claims that nobody waits for any more are removed.
            await trio.sleep(30)
            nursery.cancel_scope.cancel()

    run_virtual(5, run)


@then("no key is had by two callers and what is not had was not written in the end")
def step_claims_hold(context):
    for key, claims in context.had.items():
        ours = [claim for claim in claims if claim.state is ClaimState.OURS]
        assert len(claims) == 2 and len(ours) <= 1, (key, claims)
        row = context.platform.rows.get(f"claim/w/k{key}")
        assert (row is not None) == bool(ours), (key, claims, row)


@when("{requests:d} requests were noted after the reserve was spent")
def step_budget(context, requests):
    context.budget = RetryBudget(RetrySettings(ratio=0.1, reserve=10))
    while context.budget.try_spend():
        pass
    for _ in range(requests):
        context.budget.record_request()


@then("{allowed:d} of {asked:d} retries are allowed")
def step_allowed(context, allowed, asked):
    # A tenth of a retry cannot be kept exactly, so one more or less may be had.
    granted = sum(context.budget.try_spend() for _ in range(asked))
    assert granted in (allowed, allowed - 1), granted


@when("a request crashed {crashes:d} replicas {age:d} ms ago")
def step_crashes(context, crashes, age):
    clock = ManualClock(1_000_000)
    cfg = RetrySettings()
    context.poison = CrashTracker(clock, cfg.poison_crashes, cfg.poison_keep_ms)
    for number in range(crashes):
        context.poison.record_crash(Fingerprint(7), ReplicaId(f"r{number}"))
    clock.advance(age)


@then("sending it again is {judged}")
def step_judged(context, judged):
    assert context.poison.is_poisoned(Fingerprint(7)) == (judged == "refused")


def event(offset, request="abc"):
    return f'id: {offset}\ndata: {{"id": "chatcmpl-{request}", "n": {offset}}}\n\n'.encode()


END = b"data: [DONE]\n\n"
WHOLE = event(1) + event(2) + event(3) + END
SHAPES = {
    "one piece": [WHOLE],
    "single bytes": [bytes([byte]) for byte in WHOLE],
    "repeated after a resume": [event(1) + event(2), event(1) + event(2) + event(3) + END],
    "a gap": [event(1) + event(3) + END],
    "another request's events": [event(1, "xyz")],
    "no end": [event(1) + event(2)],
}


@when("events come as {shape}")
def step_events(context, shape):
    context.reader = EventReader(RequestId("abc"), 0)
    context.passed, context.error = b"", None
    try:
        for data in SHAPES[shape]:
            context.passed += context.reader.feed(data)
    except UpstreamError as exc:
        context.error = exc


OUTCOMES = {
    "a whole answer": lambda c: c.passed == WHOLE and c.reader.finished and not c.error,
    "a broken stream": lambda c: c.error.kind is FailureKind.BROKEN,
    "crossed answers": lambda c: c.error.kind is FailureKind.CROSSED and not c.passed,
    "an unfinished one": lambda c: not c.reader.finished and not c.error,
}


@then("they are passed on as {result}")
def step_passed_on(context, result):
    assert OUTCOMES[result](context), (context.passed, context.error)


@when("{count:d} polls of the store fail within a second")
def step_polls_fail(context, count):
    failure_log = FailureLog()
    with TestHandler() as handler, patch("skylarklift.logger.time.monotonic", lambda: 7.0):
        for _ in range(count):
            failure_log.record("heads_poll_failed", StoreUnavailable("status 503"))
        context.records = list(handler.records)


@then("{count:d} lines tell of them, the first with its cause")
def step_lines_tell(context, count):
    assert len(context.records) == count, len(context.records)
    assert context.records[0].message == "heads_poll_failed"
    assert context.records[0].kwargs["cause"] == "StoreUnavailable: status 503"
