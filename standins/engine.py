"""Simulate a model engine: batching, prefix cache, cold start, stream resume, cancellation.

It implements the OpenAI chat protocol.  Each streamed event carries its offset as the
event id, and ``Last-Event-ID`` resumes the stream after that offset.  ``POST /control``
sets the faults: ``crash`` (the process exits), ``cold`` (the cache is emptied, and the
engine is slow at first as after a restart), ``break_streams`` (the number of streams to
cut after ``break_after`` tokens each), ``stall_ms`` (an extra delay per token),
``refuse`` (responds 503), ``crossed`` (responses carry another request's id), and
``obeys_fencing`` (if false, orders with old fencing numbers are accepted).
"""

import hashlib
import json
import os
import time
import uuid
from collections import OrderedDict
from dataclasses import dataclass, field

import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import main

WORDS = "the wash balloon till carton token quay bird spin label stock owner line week sum".split()
CRASH_MARK = "poison-crash"
DEFAULT_TOKENS = 16
PREFILL_MS_PER_TOKEN = 0.2
LOST_EVENT_INTERVAL = 7
MAX_CACHE_EVENTS = 1000


@dataclass
class Faults:
    """The faults and speeds that ``POST /control`` sets."""

    break_streams: int = 0
    break_after: int = 0
    stall_ms: int = 0
    refuse: bool = False
    crossed: bool = False
    obeys_fencing: bool = True
    token_ms: float = 4.0
    batch_cost: float = 0.05
    report_lag_ms: int = 300
    event_lag_ms: int = 500
    weights_url: str = ""


@dataclass
class Engine:
    """The state of one engine process."""

    name: str
    slots: int
    cache_chats: int
    cold_ms: int
    boot: str = field(default_factory=lambda: uuid.uuid4().hex[:8])
    started: float = field(default_factory=time.monotonic)
    running: int = 0
    peak: int = 0
    served: int = 0
    cancelled: int = 0
    hits: int = 0
    misses: int = 0
    orders: list = field(default_factory=list)
    fence: int = 0
    cache: OrderedDict = field(default_factory=OrderedDict)
    reports: list = field(default_factory=list)
    events: list = field(default_factory=list)
    event_count: int = 0

    def touch_cache(self, chat):
        """Insert a chat's prefix or mark it as used last; return whether it was cached."""
        hit = chat in self.cache
        self.hits += hit
        self.misses += not hit
        self.cache[chat] = time.monotonic()
        self.cache.move_to_end(chat)
        self.record_cache_event("held", chat)
        while len(self.cache) > self.cache_chats:
            self.record_cache_event("dropped", self.cache.popitem(last=False)[0])
        return hit

    def record_cache_event(self, kind, chat):
        """Record a cache event for ``/cache/events``; every seventh event is lost."""
        self.event_count += 1
        if self.event_count % LOST_EVENT_INTERVAL:
            self.events.append((time.monotonic(), kind, chat))
            self.events = self.events[-MAX_CACHE_EVENTS:]

    def cold_slowdown(self):
        """Return the factor by which a cold engine is slower than a warm one, from 10 down to 1."""
        age_ms = (time.monotonic() - self.started) * 1000
        return 1 + 9 * (1 - age_ms / self.cold_ms) if age_ms < self.cold_ms else 1

    def reset_to_cold(self):
        """Empty the cache and start a new cold period, as after a restart."""
        self.boot = uuid.uuid4().hex[:8]
        self.started = time.monotonic()
        self.cache.clear()


def token_at(prompt, offset):
    """Return the token at an offset of the response to a prompt, the same for every engine."""
    digest = hashlib.sha256(f"{prompt}\0{offset}".encode()).digest()
    return WORDS[digest[0] % len(WORDS)] + " "


def response_text(prompt, count):
    """Return the complete response to a prompt."""
    return "".join(token_at(prompt, offset) for offset in range(count))


def add_options(parser):
    """Add the command-line options of an engine."""
    parser.add_argument("--name", default="engine")
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--cache-chats", type=int, default=1000)
    parser.add_argument("--cold-ms", type=int, default=1)
    parser.add_argument("--token-ms", type=float, default=4.0)


def make_app(options):
    """Return the HTTP app of an engine."""
    app = QuartTrio("engine")
    engine = Engine(options.name, options.slots, options.cache_chats, options.cold_ms)
    faults = Faults(token_ms=options.token_ms)
    slots = trio.Semaphore(options.slots)

    def token_delay_s():
        """Return the time per token at the present batch size."""
        factor = (1 + faults.batch_cost * engine.running) * engine.cold_slowdown()
        return faults.token_ms * factor / 1000

    async def prefill(chat, prompt):
        """Wait for the prefill of a prompt, a tenth of the time if its prefix is cached."""
        cached = engine.touch_cache(chat)
        duration_s = len(prompt) / 4 * PREFILL_MS_PER_TOKEN / 1000 * engine.cold_slowdown()
        await trio.sleep(duration_s / 10 if cached else duration_s)

    def chunk(request_id, model, offset, delta, finish=None):
        """Return one server-sent event with the chunk of a completion."""
        body = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        }
        return f"id: {offset}\ndata: {json.dumps(body)}\n\n".encode()

    async def stream(body, prompt, request_id, first, count):
        """Yield the events after offset `first`."""
        done = False
        try:
            async with slots:
                engine.running += 1
                engine.peak = max(engine.peak, engine.running)
                try:
                    await prefill(body.get("user") or prompt, prompt)
                    for offset in range(first, count):
                        await trio.sleep(token_delay_s() + faults.stall_ms / 1000)
                        if faults.break_streams and offset - first >= faults.break_after:
                            faults.break_streams -= 1
                            raise ConnectionResetError("cut by a fault")
                        delta = {"content": token_at(prompt, offset)}
                        yield chunk(request_id, body["model"], offset + 1, delta)
                    yield chunk(request_id, body["model"], count + 1, {}, "stop")
                    yield b"data: [DONE]\n\n"
                    done = True
                finally:
                    engine.running -= 1
        finally:
            engine.served += done
            engine.cancelled += not done

    @app.post("/v1/chat/completions")
    async def chat():
        body = await request.get_json()
        prompt = "\n".join(str(message["content"]) for message in body["messages"])
        if int(body.get("max_tokens") or 0) < 0:
            return {"error": {"message": "max_tokens", "code": "invalid_value"}}, 400
        if CRASH_MARK in prompt:
            os._exit(13)
        if faults.refuse:
            return {"error": {"message": "busy", "code": "busy"}}, 503
        request_id = request.headers.get("X-Request-Id", uuid.uuid4().hex)
        request_id = "crossed" if faults.crossed else request_id
        count = int(body.get("max_tokens") or DEFAULT_TOKENS)
        first = int(request.headers.get("Last-Event-ID", 0))
        events = stream(body, prompt, request_id, first, count)
        headers = {"X-Request-Id": request_id, "X-Engine-Boot": engine.boot}
        if body.get("stream"):
            response = Response(events, 200, headers, content_type="text/event-stream")
            response.timeout = None
            return response
        async for _ in events:
            pass
        text = response_text(prompt, count)
        message = {"role": "assistant", "content": text}
        completion = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "created": 0,
            "model": body["model"],
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": count, "prompt_tokens": len(prompt) // 4},
        }
        return completion, 200, headers

    @app.get("/load")
    async def load():
        """Return the load as it was `report_lag_ms` ago."""
        now = time.monotonic()
        engine.reports.append((now, engine.running, engine.boot))
        old = [item for item in engine.reports if now - item[0] >= faults.report_lag_ms / 1000]
        engine.reports = engine.reports[-100:]
        seen = old[-1] if old else engine.reports[0]
        return {"running": seen[1], "boot": seen[2], "age_ms": int((now - seen[0]) * 1000)}

    @app.post("/orders")
    async def order():
        body = await request.get_json()
        if faults.obeys_fencing and body.get("fence", 0) < engine.fence:
            return {"error": "old fencing number", "fence": engine.fence}, 409
        if faults.weights_url and body["kind"].startswith("load-"):
            async with httpx.AsyncClient(trust_env=False) as client:
                response = await client.get(f"{faults.weights_url}/weights/{body['name']}")
            if response.status_code != 200:
                return {"error": "the weight store refused"}, 503
        engine.fence = max(engine.fence, body.get("fence", 0))
        engine.orders.append(body)
        return {"done": True}

    @app.get("/cache/events")
    async def cache_events():
        """Return the cache events older than `event_lag_ms`; lost ones leave gaps."""
        limit = time.monotonic() - faults.event_lag_ms / 1000
        return {"events": [item[1:] for item in engine.events if item[0] <= limit]}

    @app.post("/cache/export")
    async def export_cache():
        chat_id = (await request.get_json())["chat"]
        return {"held": chat_id in engine.cache}

    @app.post("/cache/import")
    async def import_cache():
        engine.touch_cache((await request.get_json())["chat"])
        return {"done": True}

    @app.post("/control")
    async def control():
        changes = await request.get_json()
        if changes.pop("crash", False):
            os._exit(13)
        if changes.pop("cold", False):
            engine.reset_to_cold()
        for name, value in changes.items():
            setattr(faults, name, value)
        return vars(faults)

    @app.get("/control")
    async def state():
        shown = ("name", "boot", "running", "peak", "served", "cancelled", "hits", "misses")
        return {name: getattr(engine, name) for name in shown} | {"orders": engine.orders}

    return app


if __name__ == "__main__":
    main(__doc__.splitlines()[0], make_app, add_options)
