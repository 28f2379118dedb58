"""Steps with callers whose responses end with their connection."""

import json
import socket

from behave import then, when

from features.steps.path import chat_body

VERSIONS = {"speaks HTTP/1.0": "1.0", "asks for a close": "1.1"}
END_WAIT_S = 3
READ_BYTES = 65536


@when("a {kind} chat is sent by a caller that {caller}")
def step_send(context, kind, caller):
    body = json.dumps(chat_body(stream=kind == "streamed")).encode()
    head = (
        f"POST /v1/chat/completions HTTP/{VERSIONS[caller]}\r\nHost: router\r\n"
        "Connection: close\r\nSkylarklift-Workspace: wash-a\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    port = context.deployment.processes["router-1"].port
    context.last_part = b"[DONE]" if kind == "streamed" else b"chat.completion"
    context.received = b""
    context.ended = False
    with socket.create_connection(("127.0.0.1", port), timeout=END_WAIT_S) as sock:
        sock.sendall(head.encode() + body)
        try:
            while data := sock.recv(READ_BYTES):
                context.received += data
            context.ended = True
        except TimeoutError:
            return


@then("the whole response comes and the connection ends within 3 seconds")
def step_ended(context):
    assert context.last_part in context.received, context.received[-300:]
    assert context.ended
