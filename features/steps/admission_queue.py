"""Steps for admission while room is short."""

import random
import time

from behave import then, when

from features.entry_fixtures import parse_yes_no
from features.steps.entry_tool import SETTINGS
from skylarklift.clock import MS_PER_SECOND, ManualClock, Millis
from skylarklift.entry.admission.decision import Demand, Room, decide
from skylarklift.entry.admission.queue import MAX_WAITING, AdmissionQueue, QueuedRequest
from skylarklift.entry.admission.refusals import RefusedRequests, retry_after_ms
from skylarklift.entry.admission.room import ReplicaRoom, ServiceRoom
from skylarklift.entry.admission.workspace_work import WorkspaceWork
from skylarklift.platform.settings_file import parse_node_settings

NOW = Millis(100_000)


def queued(workspace, priority, *flags, number=0):
    """Return a request; the later ones, by number, are younger."""
    wait_ms = 0 if "aged" in flags else 10_000
    queued_at = Millis(NOW + number)
    return QueuedRequest(
        workspace,
        int(priority),
        queued_at,
        Millis(queued_at + wait_ms),
        ahead="ahead" in flags,
        returned="returned" in flags,
    )


@when('the requests "{requests}" wait, after work of "{work}"')
def requests_wait(context, requests, work):
    levels = WorkspaceWork(ManualClock(NOW))
    for item in [] if work == "none" else work.split(","):
        workspace, _, amount = item.partition("=")
        levels.record(workspace, float(amount))
    queue, names = AdmissionQueue(levels.level), {}
    for number, item in enumerate(requests.split()):
        name, *fields = item.split(":")
        request = queued(*fields, number=number)
        names[request] = name
        queue.push(request)
    context.order = []
    while queue:
        request = queue.first(Millis(NOW + 10))
        queue.take(request)
        levels.record(request.workspace, 1)
        context.order.append(names[request])


@then('they are taken in the order "{order}"')
def taken_in_order(context, order):
    assert context.order == order.split(), context.order


@when("a request of priority 9 waits and a new one of priority 0 comes for each that is taken")
def priorities_compete(context):
    queue = AdmissionQueue(WorkspaceWork(ManualClock(NOW)).level)
    last = queued("w1", 9, "aged")
    queue.push(last)
    queue.push(queued("w2", 0))
    context.taken = 0
    while last.waiting and context.taken < 1000:
        queue.take(queue.first(NOW))
        queue.push(queued("w2", 0))
        context.taken += 1


@then("the request of priority 9 is among the first {count:d} that are taken")
def taken_early(context, count):
    assert context.taken <= count, context.taken


@when("{count:d} requests of {workspaces:d} workspaces wait and are taken or removed in turn")
def long_queue(context, count, workspaces):
    rng, clock = random.Random(1), ManualClock(NOW)
    levels = WorkspaceWork(clock)
    context.queue = queue = AdmissionQueue(levels.level)
    requests = [
        queued(f"w{rng.randrange(workspaces)}", rng.randrange(3), number=number)
        for number in range(count)
    ]
    context.ended, steps = [], 0
    began = time.process_time()
    for request in requests:
        queue.count_before(request)
        queue.push(request)
        steps += 1
    context.was_full = queue.is_full()
    for request in requests:
        clock.advance(1)
        found = queue.first(clock.now())
        queue.take(found)
        levels.record(found.workspace, 1)
        context.ended.append(found)
        steps += 1
        if request.waiting and rng.random() < 0.5:
            queue.remove(request)
            context.ended.append(request)
        if not queue:
            break
    context.step_ms = (time.process_time() - began) * MS_PER_SECOND / steps
    context.requests = requests


@then("each step took at most {limit:f} ms on average, and no request was lost or taken twice")
def steps_short(context, limit):
    assert context.step_ms <= limit, context.step_ms
    assert len(context.ended) == len(context.requests)
    assert set(context.ended) == set(context.requests)


@then("the queue refuses one more when it is full")
def queue_full(context):
    assert len(context.requests) == MAX_WAITING
    assert context.was_full
    assert not context.queue.is_full()


def parse_fields(text):
    """Return the fields of `NAME=NUMBER,FLAG,...`; a flag counts as true."""
    fields = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        fields[name] = int(value) if value else True
    return fields


@then('with "{demand}" and the room "{room}" the decision is "{decision}"')
def decision_is(context, demand, room, decision):
    wants, known = parse_fields(demand), parse_fields(room)
    verdict = decide(
        Demand(
            wants["left"],
            wants.get("first", False),
            wants.get("ahead", False),
            wants.get("ran", False),
            wants.get("expired", False),
        ),
        Room(
            known.get("free", False),
            known["taken"],
            known["places"],
            known.get("before", 0),
            known.get("drain"),
            known.get("full", False),
        ),
    )
    words = [verdict.decision.value] + ([verdict.reason.value] if verdict.reason else [])
    assert words == decision.split(), words


@then(
    "with a backlog of {backlog:d}, {drain:d} starts a second and {left:d} ms left, "
    "it is from {least:d} to {most:d} ms"
)
def retry_after_is(context, backlog, drain, left, least, most):
    rng = random.Random(1)
    values = [retry_after_ms(backlog, drain or None, left, rng) for _ in range(200)]
    assert least <= min(values) and max(values) <= most, (min(values), max(values))
    # They use the whole period, so that the callers do not come back together.
    assert max(values) - min(values) >= 0.8 * (most - least), (min(values), max(values))


@when("a request is refused for {span:d} ms and one with {body} comes {after:d} ms later")
def request_comes_back(context, span, body, after):
    clock = ManualClock(NOW)
    refused = RefusedRequests(clock)
    refused.record("the same body", span)
    clock.advance(after)
    context.recognized = [refused.recognize(body), refused.recognize(body)]


@then("it is recognized: {first}, and once more: {second}")
def is_recognized(context, first, second):
    assert context.recognized == [parse_yes_no(first), parse_yes_no(second)], context.recognized


@then(
    "a replica with {slots:d} slots, {load:d} requests, {own:d} of them from this one of "
    "{routers:d} routers, {alone}, has room: {room}"
)
def replica_has_room(context, slots, load, own, routers, alone, room):
    item = ReplicaRoom("r0", slots, load, own)
    known = ServiceRoom([item], routers, alone=alone == "hearing none")
    expected = parse_yes_no(room)
    assert known.has_room("r0", load, 1000, 100) is expected
    assert known.has_any(1000, 100) is expected


@then('admission control with the line "{line}" is {enabled}')
def admission_control_is(context, line, enabled):
    text = "".join(f"{key}={value}\n" for key, value in SETTINGS.items())
    settings = parse_node_settings("f", text if line == "none" else f"{text}{line}\n")
    assert settings.admission_control is parse_yes_no(enabled)
