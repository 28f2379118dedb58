"""Steps for the decisions on what crashes upstreams: evidence, judgement, holds, messages."""

import trio
from behave import given, then, when
from trio.testing import MockClock

from features.entry_fixtures import core_with_replicas, new_call, parse_yes_no
from skylarklift.clock import MS_PER_SECOND, LoopClock, ManualClock, Millis
from skylarklift.entry.core import Probe
from skylarklift.entry.crashes.crash_guard import CrashGuard
from skylarklift.entry.crashes.crash_messages import (
    CrashMessage,
)
from skylarklift.entry.crashes.crash_records import CrashReport, Suspect, SuspectKind, suspects_of
from skylarklift.entry.crashes.quarantine import Quarantine
from skylarklift.entry.crashes.suspects import (
    JUDGEMENT_DELAY_MS,
    CrashSuspects,
    suspects_of_call,
)
from skylarklift.entry.model import ResponseHead
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.process import EntryRouter
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.retry_state import Outcome, RetryState
from skylarklift.errors import ConnectFailed, ResponseBroken
from standins.ports import reserve_port

START_MS = 100_000
RUN_ON_S = 2
PART = Suspect(SuspectKind.PART, "bad")


@given("a router that has seen no crash")
def no_crash_seen(context):
    context.clock = ManualClock(START_MS)
    context.suspects = CrashSuspects(context.clock)


@when('it hears of "{history}"')
def hears_of(context, history):
    context.convicted, context.tried = [], []
    for item in history.split():
        at, what, *rest = item.split(":")
        if START_MS + int(at) - context.clock.now() >= JUDGEMENT_DELAY_MS:
            judge(context)
        context.clock.advance(START_MS + int(at) - context.clock.now())
        if what == "later":
            judge(context)
            continue
        if what == "served":
            name = rest[0]
            served = suspects_of(int(name), ()) if name.isdigit() else suspects_of(0, (name,))
            apply_changes(context, context.suspects.record_served(served))
            continue
        if what == "held":
            hold_back(context, suspects_of(int(rest[0]), ())[0])
            continue
        parts = tuple(rest[1].rstrip("!").split("+"))
        answered = rest[1].endswith("!")
        replica, _, start = what.partition("@")
        report = CrashReport(
            replica, context.clock.now(), int(rest[0]), parts, answered, int(start or 0)
        )
        apply_changes(context, context.suspects.record_own_crash(report))
    judge(context)


@given('a router that hears of "{history}" as it runs')
def running_router_hears(context, history):
    async def play():
        core = context.core = core_with_replicas(1, LoopClock())
        router = EntryRouter(core, None, None, None, lambda: core.settings)
        start_ms = core.clock.now()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(router._judge_crashes)
            for item in history.split():
                at, replica, number, parts = item.split(":")
                await trio.sleep((start_ms + int(at) - core.clock.now()) / MS_PER_SECOND)
                now, names = core.clock.now(), tuple(parts.split("+"))
                core.report_crash(CrashReport(replica, now, int(number), names))
            context.last_crash_at = core.clock.now()
            await trio.sleep(RUN_ON_S)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=MockClock(autojump_threshold=0))


@then('it holds back "{part}" between {least:d} and {most:d} ms after the last crash')
def holds_back_later(context, part, least, most):
    (hold,) = context.core.suspects.held()
    assert hold.suspect.name == part, hold
    assert least <= hold.held_at - context.last_crash_at <= most, hold


def judge(context):
    """Judge parts, as a router does once all reports of a crash have arrived."""
    context.clock.advance(JUDGEMENT_DELAY_MS)
    apply_changes(context, context.suspects.judge())


def apply_changes(context, changes):
    """Keep the lists of those convicted, or tried by single requests, and not released."""
    for change in changes:
        suspect = change.hold.suspect
        for names in (context.convicted, context.tried):
            if suspect in names:
                names.remove(suspect)
        if change.event == "quarantine_on_trial":
            context.tried.append(suspect)
        elif change.event != "quarantine_released":
            context.convicted.append(suspect)


@when('the crashes "{history}" are known, and another router holds "bad" first')
def hears_of_hold_before_judgement(context, history):
    for item in history.split():
        at, replica, number, part = item.split(":")
        context.clock.advance(START_MS + int(at) - context.clock.now())
        report = CrashReport(replica, context.clock.now(), int(number), (part,))
        context.suspects.record_own_crash(report)
    hold_back(context, PART)
    assert context.suspects.judge() == []


@then("there is one hold on the part, of {span:d} ms and in its first term")
def one_hold(context, span):
    (hold,) = context.suspects.held()
    assert (hold.term, hold.until - hold.held_at) == (1, span), hold


@then('it lets single requests through with "{tried}", and has convicted "{convicted}"')
@then('it lets single requests through with "{tried}", and has convicted ""')
@then('it lets single requests through with "", and has convicted "{convicted}"')
@then('it lets single requests through with "", and has convicted ""')
def lets_single_requests_through(context, tried="", convicted=""):
    found = [suspect.name for suspect in context.tried]
    assert "+".join(found) == tried, found
    found = [suspect.name for suspect in context.convicted]
    assert "+".join(found) == convicted, found


@then('it has convicted "{names}"')
def has_convicted(context, names):
    found = [
        "request" if suspect.kind is SuspectKind.REQUEST else suspect.name
        for suspect in context.convicted
    ]
    assert found == names.split("+"), found


@then('it has convicted ""')
def has_convicted_nothing(context):
    assert not context.convicted, context.convicted


@given("a router whose last probe of a replica was {ms:d} ms ago and found it {found}")
def replica_was_probed(context, ms, found):
    context.core = core_with_replicas(1, upstream_port=reserve_port())
    now = context.core.clock.now()
    context.core.probes["r0"] = Probe(Millis(now - ms), found == "reachable")


@when("an answer of the replica breaks off and its port is closed")
def answer_breaks_off(context):
    core, call = context.core, new_call("aa:1,bad:1,own:1")
    choice = Choice(core.cluster_state.upstreams["r0"], 0, 0.0, 0, cold=False)
    attempt = Attempt(core, call, choice, None, repeatable=True)
    attempt.outcome = Outcome.BROKEN
    trio.run(CrashGuard(core, call, 5).check_for_crash, attempt)


@given("a router that needs {ms:d} ms to find that a replica is unreachable")
def slow_to_find(context, ms):
    context.core = core_with_replicas(1)

    async def dial(*_):
        context.core.clock.advance(ms)
        raise ConnectFailed("refused")

    context.core.dialer.dial = dial


@when("an answer of the replica breaks off {age:d} ms after its first event")
def answer_breaks_off_after(context, age):
    core, call = context.core, new_call("aa:1,bad:1,own:1")
    choice = Choice(core.cluster_state.upstreams["r0"], 0, 0.0, 0, cold=False)
    attempt = Attempt(core, call, choice, None, repeatable=True)
    attempt.answered_at = core.clock.now()
    core.clock.advance(age)

    async def end():
        await attempt.record_failure(ResponseBroken("reset"))
        await CrashGuard(core, call, 5).check_for_crash(attempt)

    trio.run(end)


@then("its request is reported as {reported}")
def request_reported(context, reported):
    message = context.core.suspects.make_message("n1", Millis(0), relay=False, with_holds=True)
    found = "none"
    if message is not None:
        answered = message.crashes[0].answered
        found = "answered for a while" if answered else "about to be answered"
    assert found == reported, message


@then("the crash is reported: {reported}")
def crash_is_reported(context, reported):
    message = context.core.suspects.make_message("n1", Millis(0), relay=False, with_holds=True)
    found = message is not None and [report.parts for report in message.crashes]
    assert bool(found) == parse_yes_no(reported), found


class RecordingConnection:
    """A connection that only records whether it was closed."""

    closed = False

    def abort(self):
        self.closed = True


@given('a request with the parts "{parts}" that was sent, and answered since {age} ms')
def request_was_sent(context, parts, age):
    context.core = core = core_with_replicas(1)
    call = new_call(",".join(f"{part}:1" for part in parts.split(",")))
    choice = Choice(core.cluster_state.upstreams["r0"], 0, 0.0, 0, cold=False)
    suspects = suspects_of_call(call, 5)
    attempt = Attempt(core, call, choice, None, repeatable=True, suspects=suspects)
    attempt.conn = context.conn = RecordingConnection()
    attempt.outcome = Outcome.BROKEN
    context.attempt = attempt
    if age != "no":
        attempt.answered_at = Millis(core.clock.now() - int(age))
    core.attempts.add(attempt)


@given("the head of its answer has come: {come}")
def head_has_come(context, come):
    if parse_yes_no(come):
        context.attempt.head = ResponseHead(200, [], signed=True)
        assert context.attempt.classify() is Outcome.ANSWERED


@then("it counts as one that may have run")
def may_have_run(context):
    route = context.core.cluster_state.plan.route("app.example", "/chat/x")
    assert context.attempt.outcome is Outcome.BROKEN
    for outcome in (context.attempt.outcome, Outcome.ANSWERED):
        state = RetryState(route)
        state.record(outcome)
        assert not state.cannot_have_run, outcome


@when('the part "{part}" is held back')
def part_is_held_back(context, part):
    context.clock, context.suspects = context.core.clock, context.core.suspects
    changes = hold_back(context, Suspect(SuspectKind.PART, part))
    context.core.apply_hold_changes(changes, "n2")


@then("its connection is closed: {closed}")
def connection_is_closed(context, closed):
    assert context.conn.closed == parse_yes_no(closed)


def hold_back(context, suspect):
    """Let another router report that a suspect is held back from now on."""
    quarantine = Quarantine(context.clock)
    quarantine.hold(suspect, 3)
    message = CrashMessage("n2", decisions=tuple(quarantine.decisions()))
    return context.suspects.apply_message(message)
