"""Steps for status requests to replicas."""

import time

from behave import given, then, when

from features.steps.entry_answers import CHUNKS, STREAM_HEAD, add_world, call
from standins.scripted_replica import EVENTS, Ending, Reply, chunked

METRICS_DELAY_LIMIT_S = 2.0


@given("a router before 1 replica that says its start, whose answers end {framing}")
def replica_says_start(context, framing):
    endings = {"in chunks": (CHUNKS + chunked(EVENTS), Ending.KEEP)}
    endings["with the connection"] = (b"\r\n" + EVENTS, Ending.CLOSE)
    body, ending = endings[framing]
    add_world(context, 1, lambda _request: Reply(STREAM_HEAD + body, ending))
    context.scripted[0].born = 1


@when('{count:d} requests to "{path}" are sent one after the other')
def sent_after_each_other(context, count, path):
    for number in range(count):
        answer = context.thread.run(call, context, path, f"status-{number}")
        assert answer.status == 200 and answer.complete, answer


@then('the metrics count {count:d} status requests for "{reason}"')
def metrics_count_status_requests(context, count, reason):
    async def ask():
        port = context.router.readiness_port
        return await context.world.send_request(port, "GET", "/metrics", {})

    name = f'skylarklift_status_requests_total{{kind="{reason}"}} '
    until = time.monotonic() + METRICS_DELAY_LIMIT_S
    while (found := count_in(context.thread.run(ask).body.decode(), name)) != count:
        assert time.monotonic() < until, (found, count)


def count_in(text, name):
    """Return the value of a metric, 0 without its line."""
    values = [line.removeprefix(name) for line in text.splitlines() if line.startswith(name)]
    return int(values[0]) if values else 0
