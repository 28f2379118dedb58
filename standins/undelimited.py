"""Simulate an old upstream whose answers have neither a length nor chunks.

The connection's end ends each answer.  With a script that begins with ``cut``, the process
exits in the middle of its first answer, whose connection the kernel then closes in order.
``GET /load`` and ``GET /control`` are answered with a length.
"""

import argparse
import json
import os
import uuid
from functools import partial

import trio

from standins.request_heads import HEAD_END, READ_BYTES, receive_head

CUT_EXIT_CODE = 13
PAUSE_MS = 50
DONE_EVENT = b"data: [DONE]\n\n"
# More than the buffers of a connection hold, so that a slow caller holds up the router.
LARGE_EVENTS = 60
LARGE_TEXT = "w" * 100_000


def make_event(request_id: str, number: int, text: str) -> bytes:
    """Return one event of a streamed chat."""
    body = {"id": f"chatcmpl-{request_id}", "choices": [{"index": 0, "delta": {"content": text}}]}
    return f"id: {number}\ndata: {json.dumps(body)}\n\n".encode()


def make_events(request_id: str, count: int, text: str) -> bytes:
    """Return the events of a streamed chat without its end marker."""
    return b"".join(make_event(request_id, number + 1, text) for number in range(count))


def json_body(request_id: str) -> bytes:
    """Return a JSON object that contains the request's id."""
    return json.dumps({"id": f"chatcmpl-{request_id}", "words": ["wash"] * 20}).encode()


def text_body(_request_id: str) -> bytes:
    """Return a text."""
    return b"wash,token\n" * 20


def stream_body(request_id: str) -> bytes:
    """Return a complete stream of small events."""
    return make_events(request_id, 6, "wash ") + DONE_EVENT


def large_stream_body(request_id: str) -> bytes:
    """Return a complete stream of large events."""
    return make_events(request_id, LARGE_EVENTS, LARGE_TEXT) + DONE_EVENT


BODIES = {
    "JSON": ("application/json", json_body),
    "text": ("text/csv", text_body),
    "stream": ("text/event-stream", stream_body),
    "large stream": ("text/event-stream", large_stream_body),
}


class Upstream:
    """Answers each connection's first request by a script such as ``cut JSON``."""

    def __init__(self, script: str):
        self._extent, _, kind = script.partition(" ")
        self._content_type, self._body = BODIES[kind]
        self._boot = uuid.uuid4().hex[:8]
        self._requests = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            await self._serve_request(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            stream.socket.close()

    async def _serve_request(self, stream: trio.SocketStream) -> None:
        """Read one request and answer it."""
        head = await self._read_request(stream)
        path = head.split(b" ")[1] if head else b""
        if path in (b"/load", b"/control"):
            report = {"running": 0, "boot": self._boot, "age_ms": 0, "requests": self._requests}
            body = json.dumps(report).encode()
            opening = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: %d\r\n\r\n"
            await stream.send_all(opening % len(body) + body)
        elif head:
            self._requests += 1
            await self._answer(stream, head)

    async def _read_request(self, stream: trio.SocketStream) -> bytes:
        """Return the head of a request after its whole body came; empty if none came."""
        head, _, body = (await receive_head(stream)).partition(HEAD_END)
        left = int(find_header(head, "content-length") or 0) - len(body)
        while left > 0 and (data := await stream.receive_some(READ_BYTES)):
            left -= len(data)
        return head

    async def _answer(self, stream: trio.SocketStream, head: bytes) -> None:
        """Send the answer, or its first part before the process exits."""
        request_id = find_header(head, "x-request-id")
        opening = f"HTTP/1.1 200 OK\r\ncontent-type: {self._content_type}\r\n"
        await stream.send_all(f"{opening}x-request-id: {request_id}\r\n\r\n".encode())
        if head.startswith(b"HEAD "):
            return
        body = self._body(request_id)
        if self._extent == "whole":
            await stream.send_all(body)
            return
        await stream.send_all(body[: len(body) // 2])
        await trio.sleep(PAUSE_MS / 1000)
        os._exit(CUT_EXIT_CODE)


def find_header(head: bytes, name: str) -> str:
    """Return the value of a header, or an empty text."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        found, _, value = line.partition(":")
        if found.lower() == name:
            return value.strip()
    return ""


def main() -> None:
    """Parse the command line and serve until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--script", required=True)
    options = parser.parse_args()
    upstream = Upstream(options.script)
    trio.run(partial(trio.serve_tcp, upstream.serve, options.port, host="127.0.0.1"))


if __name__ == "__main__":
    main()
