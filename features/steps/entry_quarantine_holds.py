"""Steps for holds on parts of prompts, and for the messages about them between routers."""

import json

import msgpack
from behave import given, then, when

from features.entry_fixtures import new_call, parse_yes_no
from features.steps.entry_quarantine_decisions import PART, START_MS, hold_back, no_crash_seen
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.crashes.crash_evidence import MAX_SUSPECTS
from skylarklift.entry.crashes.crash_messages import (
    CrashMessage,
    decode_crash_message,
    encode_crash_message,
    is_crash_message,
)
from skylarklift.entry.crashes.crash_records import (
    CrashReport,
    Suspect,
    SuspectKind,
    suspects_of,
)
from skylarklift.entry.crashes.quarantine import MAX_HOLDS, HoldState, Quarantine
from skylarklift.entry.crashes.suspects import CrashSuspects, suspect_parts
from skylarklift.errors import PeerError


@given("a router of rank {rank:d} that holds back a part since 0 ms")
def router_holds_back(context, rank):
    context.rank = rank
    context.clock = ManualClock(START_MS)
    context.suspects = CrashSuspects(context.clock)
    hold_back(context, PART)


def release_elsewhere(context, suspect):
    """Let another router report that a suspect is released after its first hold."""
    quarantine = Quarantine(context.clock)
    quarantine.hold(suspect, 3)
    quarantine.release(suspect)
    message = CrashMessage("n2", decisions=tuple(quarantine.decisions()))
    return context.suspects.apply_message(message)


@when('"{events}" happen')
def events_happen(context, events):
    context.events = [
        (int(at), what) for at, _, what in (item.partition(":") for item in events.split(","))
    ]


@when('"" happen')
def no_events_happen(context):
    context.events = []


@then('requests with the part are let through at "{let}" of "{asked}" ms')
def let_through_at(context, let, asked):
    steps = [(int(at), "ask") for at in asked.split(",")] + context.events
    found = []
    for at, what in sorted(steps):
        context.clock.advance(START_MS + at - context.clock.now())
        context.suspects.expire()
        if what == "served":
            context.suspects.record_served([PART])
        elif what == "released-elsewhere":
            release_elsewhere(context, PART)
        elif what == "crash":
            report = CrashReport("r1", context.clock.now(), 5, (PART.name,))
            context.suspects.record_own_crash(report)
        elif may_pass(context):
            found.append(str(at))
    assert found == let.split(","), found


def may_pass(context):
    """Return whether a request with the part is let through now."""
    hold = context.suspects.find_hold([PART])
    return hold is None or context.suspects.start_trial(hold, context.rank)


@when("it hears of {crashes:d} crashes with {parts:d} parts each, and holds back {holds:d} parts")
def hears_of_many(context, crashes, parts, holds):
    for number in range(crashes):
        names = tuple(f"{number}-{'x' * 50}-{part}" for part in range(parts))
        report = CrashReport(f"r{number}", context.clock.now(), number + 1, names)
        context.suspects.record_own_crash(report)
    for number in range(holds):
        hold_back(context, Suspect(SuspectKind.PART, f"{number}-{'x' * 50}"))


@then("its message to a new router has at most {limit:d} bytes")
def message_has_at_most(context, limit):
    message = context.suspects.make_message("n1", Millis(0), relay=True, with_holds=True)
    data = encode_crash_message(message, context.clock.now())
    assert len(message.decisions) == MAX_HOLDS and 0 < len(data) <= limit, len(data)
    assert decode_crash_message(data, context.clock.now()).crashes


@then("it remembers at most {suspects:d} suspects and {holds:d} holds")
def remembers_at_most(context, suspects, holds):
    assert suspects == MAX_SUSPECTS and holds == MAX_HOLDS
    assert context.suspects.suspect_count() <= suspects
    assert len(context.suspects.held()) <= holds
    # Longer names, and more parts of one prompt, are not suspected at all.
    call = new_call(f"{'x' * 65}:1," + "".join(f"p{number}:1," for number in range(40)) + "own:1")
    assert len(suspect_parts(call)) <= 32 and "x" * 65 not in suspect_parts(call)


@when("a part is held back, released, and reported as held back once more")
def held_and_released(context):
    assert [change.event for change in hold_back(context, PART)] == ["quarantined"]
    assert context.suspects.find_hold([PART]).state is HoldState.HELD
    context.clock.advance(500)
    context.suspects.record_served([PART])
    assert hold_back(context, PART) == []


@then("the part is not held back")
def part_is_not_held(context):
    assert context.suspects.find_hold([PART]) is None


@given("a router that heard of two crashes from a router that has ended since")
def heard_of_two_crashes(context):
    no_crash_seen(context)
    now = context.clock.now()
    reports = (
        CrashReport("r1", Millis(now - 300), 1, ("bad",)),
        CrashReport("r2", now, 2, ("bad",)),
    )
    context.suspects.apply_message(CrashMessage("n2", crashes=reports))


@when("{span:d} ms pass and it sends to a router that {receiver}")
def sends_to_receiver(context, span, receiver):
    since = Millis(0 if receiver == "has just started" else START_MS - 100)
    context.clock.advance(span)
    now = context.clock.now()
    message = context.suspects.make_message(
        "n1", since, relay=receiver.endswith("large fleet"), with_holds=True
    )
    context.receiver = CrashSuspects(context.clock)
    if message is not None:
        context.receiver.apply_message(
            decode_crash_message(encode_crash_message(message, now), now)
        )


@then("that one convicts the part at its own first crash of it: {convicts}")
def receiver_convicts(context, convicts):
    report = CrashReport("r3", context.clock.now(), 3, ("bad",))
    context.receiver.record_own_crash(report)
    assert bool(context.receiver.judge()) == parse_yes_no(convicts)


@when('another router sends the message "{text}" about crashes')
def sends_crash_message(context, text):
    context.data = msgpack.packb(json.loads(text))


@then("it is invalid, and a message of a later version is read")
def message_is_invalid(context):
    assert is_crash_message(context.data)
    try:
        decode_crash_message(context.data, Millis(START_MS))
    except PeerError:
        valid = False
    else:
        valid = True
    assert not valid
    later = msgpack.packb([101, "n", [[5, "r", 20, ["p"], True]], [], [], "more"])
    report = CrashReport("r", Millis(START_MS - 20), 5, ("p",), answered=True)
    assert decode_crash_message(later, Millis(START_MS)).crashes == (report,)
    assert suspects_of(5, ("p",))[1] == Suspect(SuspectKind.PART, "p")
