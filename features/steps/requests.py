"""Steps on claims, the retry budget, poison requests, streamed events and failure logs."""

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
from skylarklift.upstreams.events import EventSplitter
from skylarklift.upstreams.failures import FailureKind, UpstreamError
from skylarklift.upstreams.reader import EventReader
from skylarklift.upstreams.retries import RetryBudget
from skylarklift.upstreams.stream_position import StreamPosition

NAME = ClaimName(WorkspaceId("w"), "k")
OWN_ROW = ClaimRow(claim="own", router="r1", fingerprint="f")
OTHER_ROW = ClaimRow(claim="other", router="r2", fingerprint="f")
WRITE_RESULTS = {
    "is done": WriteResult(True, 1),
    "conflicts with another router's row": WriteResult(
        False, 0, Row("k", to_builtins(OTHER_ROW), 1)
    ),
    "conflicts with its own row": WriteResult(False, 0, Row("k", to_builtins(OWN_ROW), 1)),
    "fails and there is no row": WriteResult(False, 0, None),
    "conflicts with an invalid row": WriteResult(False, 0, Row("k", {"odd": 1}, 1)),
}


@when("a claim is written and the write {result}")
def step_write_claim(context, result):
    context.claim = claim_from_result(NAME, OWN_ROW, WRITE_RESULTS[result])


@then('the state of the claim is "{state}"')
def step_claim_state(context, state):
    assert context.claim.state.value == state


@when("an obtained claim is marked as dispatched twice")
def step_dispatch_twice(context):
    claim = Claim(NAME, ClaimState.OURS, OWN_ROW, 1)
    claim.mark_dispatched()
    try:
        claim.mark_dispatched()
        context.error = None
    except InvariantBreach as exc:
        context.error = exc


@then('the second time violates the invariant "{name}"')
def step_violation(context, name):
    assert context.error is not None and name in str(context.error)


STORE_FAULTS = {
    "works": {},
    "loses half of its answers": {"loss_rate": 0.5},
    "is unavailable for 3 seconds": {"unavailable": True},
    "is slow": {"extra_delay_ms": 400},
}


@when("{callers:d} callers claim {keys:d} keys twice while the store {fault}")
def step_claims(context, callers, keys, fault):
    assert callers == 2 * keys
    context.claims = defaultdict(list)

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
            for name, value in STORE_FAULTS[fault].items():
                setattr(platform, name, value)

            async def claim(writer, key):
                name = ClaimName(WorkspaceId("w"), f"k{key}")
                claim = await writer.claim(name, "f", 2000)
                context.claims[key].append(claim)

            for key in range(keys):
                for writer in writers:
                    nursery.start_soon(claim, writer, key)
            await trio.sleep(3)
            platform.unavailable = False
            # The writers remove the rows of claims whose callers no longer wait.
            await trio.sleep(30)
            nursery.cancel_scope.cancel()

    run_virtual(5, run)


@then("no key is claimed by two callers and only claimed keys have a row in the end")
def step_claims_hold(context):
    for key, claims in context.claims.items():
        ours = [claim for claim in claims if claim.state is ClaimState.OURS]
        assert len(claims) == 2 and len(ours) <= 1, (key, claims)
        row = context.platform.rows.get(f"claim/w/k{key}")
        assert (row is not None) == bool(ours), (key, claims, row)


@when("{requests:d} requests are recorded after the reserve was spent")
def step_budget(context, requests):
    context.budget = RetryBudget(RetrySettings(ratio=0.1, reserve=10))
    while context.budget.try_spend():
        pass
    for _ in range(requests):
        context.budget.record_request()


@then("{allowed:d} of {asked:d} retries are allowed")
def step_allowed(context, allowed, asked):
    # 0.1 has no exact binary form, so the sum may allow one retry less.
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


@when("a request crashed the same replica {crashes:d} times, one each {gap:d} ms")
def step_crashes_again(context, crashes, gap):
    clock = ManualClock(1_000_000)
    cfg = RetrySettings()
    context.poison = CrashTracker(clock, cfg.poison_crashes, cfg.poison_keep_ms)
    for _ in range(crashes):
        clock.advance(gap)
        context.poison.record_crash(Fingerprint(7), ReplicaId("r1"))


@then("its retry is {decision}")
def step_retry_decision(context, decision):
    assert context.poison.is_poisoned(Fingerprint(7)) == (decision == "refused")


def make_event(event_id, request="abc"):
    return f'id: {event_id}\ndata: {{"id": "chatcmpl-{request}", "n": {event_id}}}\n\n'.encode()


DONE_EVENT = b"data: [DONE]\n\n"
ALL_EVENTS = make_event(1) + make_event(2) + make_event(3) + DONE_EVENT
STREAM_CHUNKS = {
    "all events in one chunk": [ALL_EVENTS],
    "one byte in each chunk": [bytes([byte]) for byte in ALL_EVENTS],
    "events repeated after a resume": [
        make_event(1) + make_event(2),
        make_event(1) + make_event(2) + make_event(3) + DONE_EVENT,
    ],
    "a missing event": [make_event(1) + make_event(3) + DONE_EVENT],
    "another request's events": [make_event(1, "xyz")],
    "no end": [make_event(1) + make_event(2)],
}


WITHOUT_ID = b'data: {"id": "chatcmpl-abc"}\n\n'
STREAM_CHUNKS["events after its end"] = [ALL_EVENTS + make_event(4)]
# Streams of which each run is read by a reader of its own.
RUNS = {
    "a run without ids after others": [[make_event(1)], [WITHOUT_ID, DONE_EVENT]],
    "a run that ends before others": [[make_event(1), make_event(2)], [make_event(1), DONE_EVENT]],
    "a run that goes on": [[make_event(1)], [make_event(2), make_event(3), DONE_EVENT]],
    "only its end left": [[make_event(1) + make_event(2) + make_event(3)], [DONE_EVENT]],
}


def assert_output_reaches(output, position):
    """Assert that the events that count as forwarded are in the output."""
    numbers = [event.event_id for event in EventSplitter().feed(output)]
    known = [number for number in numbers if number is not None]
    assert (known[-1] if known else 0) == (position.last or 0), (output, position.last)


@when("a stream with {shape} is read")
def step_events(context, shape):
    position = StreamPosition(0)
    context.output, context.error = b"", None
    try:
        for run in RUNS.get(shape, [STREAM_CHUNKS.get(shape)]):
            context.reader = EventReader(RequestId("abc"), position)
            for chunk in run:
                context.output += context.reader.feed(chunk)
                context.reader.raise_failure()
    except UpstreamError as exc:
        context.error = exc
    assert_output_reaches(context.output, position)


READER_OUTCOMES = {
    "a complete stream": lambda c: c.output == ALL_EVENTS and c.reader.finished and not c.error,
    "a broken stream": lambda c: c.error.kind is FailureKind.BROKEN,
    "an error for another request's id": lambda c: c.error.kind is FailureKind.CROSSED
    and not c.output,
    "an unfinished stream": lambda c: not c.reader.finished and not c.error,
}


@then("the reader returns {result}")
def step_reader_outcome(context, result):
    assert READER_OUTCOMES[result](context), (context.output, context.error)


@when("{count:d} polls of the store fail within a second")
def step_polls_fail(context, count):
    failure_log = FailureLog()
    with TestHandler() as handler, patch("skylarklift.logger.time.monotonic", lambda: 7.0):
        for _ in range(count):
            failure_log.record("heads_poll_failed", StoreUnavailable("status 503"))
        context.records = list(handler.records)


@then("{count:d} log lines report them, the first with its cause")
def step_failure_lines(context, count):
    assert len(context.records) == count, len(context.records)
    assert context.records[0].message == "heads_poll_failed"
    assert context.records[0].kwargs["cause"] == "StoreUnavailable: status 503"
