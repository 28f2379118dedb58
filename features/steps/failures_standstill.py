"""Steps for failures that a router of the own deployment notices late, since it stood still."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
from behave import then, when

from features.chat_calls import send_chat
from features.steps.failures import ENGINES, TIMEOUT_S, running_chats, wait_for_health
from features.steps.path import chat_body, chat_headers


def count_crashes(context, router):
    """Return how many crashes a router has noticed itself."""
    return context.deployment.processes[router].log.read_text().count('"replica_crashed"')


@when("an engine is killed and restarted in the middle of a stream while its router stands still")
def step_crash_unseen(context):
    deployment = context.deployment
    router = deployment.processes["router-1"]
    context.crashes_before = count_crashes(context, "router-1")
    busy = []

    def find_busy():
        busy[:] = [name for name in ENGINES if running_chats(context, name)]
        return bool(busy)

    with ThreadPoolExecutor(1) as executor:
        executor.submit(send_chat, context, "router-1", "unseen", 500)
        deployment.wait_until(find_busy, "an engine to be busy")
        router.signal(signal.SIGSTOP)
        deployment.processes[busy[0]].signal(signal.SIGKILL)
        deployment.processes[busy[0]].process.wait()
        deployment.restart_engine(busy[0])
        deployment.wait_until(lambda: running_chats(context, busy[0]) == 0, "the engine to be back")
        router.signal(signal.SIGCONT)
    wait_for_health(context)


@then("the router has counted one crash")
def step_one_crash(context):
    assert count_crashes(context, "router-1") - context.crashes_before == 1


@when("a router is frozen past the deadline of {count:d} streams")
def step_freeze_past_deadline(context, count):
    router = context.deployment.processes["router-1"]
    bodies = context.stream_ends = []

    def stream(number):
        headers = chat_headers(chat=f"frozen-{number}", **{"Skylarklift-Deadline-Ms": "1500"})
        body = chat_body(2000, stream=True)
        url = f"{router.url}/v1/chat/completions"
        try:
            response = httpx.post(
                url, json=body, headers=headers, timeout=TIMEOUT_S, trust_env=False
            )
            bodies.append(response.text)
        except httpx.HTTPError as exc:
            bodies.append(repr(exc))

    with ThreadPoolExecutor(count) as executor:
        for number in range(count):
            executor.submit(stream, number)
        time.sleep(0.8)
        router.signal(signal.SIGSTOP)
        time.sleep(1.5)
        router.signal(signal.SIGCONT)
    wait_for_health(context)


@then('every stream ends with the error "{code}"')
def step_streams_end(context, code):
    ends = [text[-300:] for text in context.stream_ends]
    assert ends and all(f'"code": "{code}"' in end for end in ends), ends
