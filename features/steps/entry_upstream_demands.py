"""Steps for what upstreams say of themselves in answers, and for late requests at a router."""

import signal
import time

import trio
from behave import given, then, when

from features.world_thread import all_runs, replicas_by_name, send_request

# A stream that begins then keeps a stopping router from ending early.
STREAM_AFTER_SIGTERM_S = 1.8


@given('the replica "{name}" says in all answers that it leaves')
def says_it_leaves(context, name):
    context.world.replicas[name].faults.leaving = True


@then('the replica "{name}" ran at most {most:d} requests')
def ran_at_most(context, name, most):
    assert len(context.world.replicas[name].runs) <= most, context.world.replicas[name].runs


@given('the replicas "{names}" shed requests and want none for {span:f} s')
def shed_and_ask_to_wait(context, names, span):
    for replica in replicas_by_name(context, names):
        replica.faults.shed = 100
        replica.faults.retry_after_s = span


@when('the replicas "{names}" shed no more requests')
def shed_no_more(context, names):
    for replica in replicas_by_name(context, names):
        replica.faults.shed = 0


@when('{count:d} requests to "{path}" are sent, one each {apart:d} ms')
def requests_sent_apart(context, count, path, apart):
    context.responses = []
    for number in range(count):
        response = send_request(context, path, request_id=f"id-{number}")
        context.responses.append((f"id-{number}", response))
        time.sleep(apart / 1000)


@then('the replica "{name}" turned {count:d} requests away')
def turned_away(context, name, count):
    assert context.world.replicas[name].rejected == count, context.world.replicas[name].rejected


@then('within {span:d} ms a request to "{path}" reaches "{name}"')
def reaches_within(context, span, path, name):
    deadline = time.monotonic() + span / 1000
    while not context.world.replicas[name].runs:
        assert time.monotonic() < deadline, "no request"
        assert send_request(context, path).status == 200
        time.sleep(0.05)


@then("all are refused at once with a Retry-After of {least:d} to {most:d} ms")
def refused_with_retry_after(context, least, most):
    for _, response in context.responses:
        assert response.status == 503, response
        retry_ms = float(response.headers["retry-after"]) * 1000
        assert least <= retry_ms <= most, response.headers


@given('requests to "{names}" take {span:d} ms')
def requests_take(context, names, span):
    for replica in replicas_by_name(context, names):
        replica.faults.long_runs = 100
        replica.faults.long_run_ms = span


@when('a request to "{path}" arrives {late:d} ms after SIGTERM, while a stream runs')
def arrives_after_sigterm(context, path, late):
    async def run():
        async with trio.open_nursery() as nursery:
            context.router.process.send_signal(signal.SIGTERM)
            await trio.sleep(STREAM_AFTER_SIGTERM_S)
            nursery.start_soon(context.world.call, context.router, "/chat/a")
            await trio.sleep(late / 1000 - STREAM_AFTER_SIGTERM_S)
            context.late_response = await context.world.call(context.router, path, deadline_ms=8000)

    context.thread.run(run)


@then("the late request got the status {status:d}")
def late_status(context, status):
    assert context.late_response.status == status, context.late_response


@then('the request to "{path}" ran {count:d} times')
def ran_times(context, path, count):
    runs = [run for run in all_runs(context) if run.target == path]
    assert len(runs) == count, runs
