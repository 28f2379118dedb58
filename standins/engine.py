"""A model engine: continuous batching, a prefix cache, cold start, resume and cancel.

It speaks the OpenAI chat protocol.  Each streamed event carries its offset as the
event id, and ``Last-Event-ID`` resumes behind that offset.  ``POST /control`` sets
the faults: ``crash`` (the process ends), ``cold`` (empty cache, new ramp),
``break_streams`` (so many streams are cut after ``break_after`` tokens each),
``stall_ms``, ``refuse``,
``crossed`` (answers carry another request's id), ``obeys_fencing``.
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
EVENT_GAP = 7
EVENTS_KEPT = 1000


@dataclass
class Faults:
    """The faults and speeds that a control call can switch."""

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
    events_lost: int = 0

    def touch_cache(self, chat):
        """Note a chat's prefix; tell whether it was held."""
        hit = chat in self.cache
        self.hits += hit
        self.misses += not hit
        self.cache[chat] = time.monotonic()
        self.cache.move_to_end(chat)
        self.note_event("held", chat)
        while len(self.cache) > self.cache_chats:
            self.note_event("dropped", self.cache.popitem(last=False)[0])
        return hit

    def note_event(self, kind, chat):
        """Keep a cache event for those who ask; every seventh one is lost."""
        self.events_lost += 1
        if self.events_lost % EVENT_GAP:
            self.events.append((time.monotonic(), kind, chat))
            self.events = self.events[-EVENTS_KEPT:]

    def slowness(self):
        """Return how many times slower than warm the engine is."""
        age_ms = (time.monotonic() - self.started) * 1000
        return 1 + 9 * (1 - age_ms / self.cold_ms) if age_ms < self.cold_ms else 1

    def become_cold(self):
        """Lose the cache and the warmth, as after a restart."""
        self.boot = uuid.uuid4().hex[:8]
        self.started = time.monotonic()
        self.cache.clear()


def token_at(prompt, offset):
    """Return the token that every engine gives at an offset of a prompt's answer."""
    digest = hashlib.sha256(f"{prompt}\0{offset}".encode()).digest()
    return WORDS[digest[0] % len(WORDS)] + " "


def answer_text(prompt, count):
    """Return the whole answer to a prompt."""
    return "".join(token_at(prompt, offset) for offset in range(count))


def add_options(parser):
    """Add the options of an engine."""
    parser.add_argument("--name", default="engine")
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--cache-chats", type=int, default=1000)
    parser.add_argument("--cold-ms", type=int, default=1)
    parser.add_argument("--token-ms", type=float, default=4.0)


def make_app(options):
    """Return the app of an engine."""
    app = QuartTrio("engine")
    engine = Engine(options.name, options.slots, options.cache_chats, options.cold_ms)
    faults = Faults(token_ms=options.token_ms)
    slots = trio.Semaphore(options.slots)

    def token_span():
        """Return the seconds a token takes at this batch size."""
        factor = (1 + faults.batch_cost * engine.running) * engine.slowness()
        return faults.token_ms * factor / 1000

    async def prefill(chat, prompt):
        """Wait for the prompt, or a tenth of it when the prefix is held."""
        held = engine.touch_cache(chat)
        span = len(prompt) / 4 * PREFILL_MS_PER_TOKEN / 1000 * engine.slowness()
        await trio.sleep(span / 10 if held else span)

    def chunk(request_id, model, offset, delta, finish=None):
        """Return one streamed event."""
        body = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        }
        return f"id: {offset}\ndata: {json.dumps(body)}\n\n".encode()

    async def stream(body, prompt, request_id, first, count):
        """Yield the events behind offset `first`."""
        done = False
        try:
            async with slots:
                engine.running += 1
                engine.peak = max(engine.peak, engine.running)
                try:
                    await prefill(body.get("user") or prompt, prompt)
                    for offset in range(first, count):
                        await trio.sleep(token_span() + faults.stall_ms / 1000)
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
        text = answer_text(prompt, count)
        message = {"role": "assistant", "content": text}
        answer = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "created": 0,
            "model": body["model"],
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": count, "prompt_tokens": len(prompt) // 4},
        }
        return answer, 200, headers

    @app.get("/load")
    async def load():
        """Report the load as it was some time ago."""
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
                answer = await client.get(f"{faults.weights_url}/weights/{body['name']}")
            if answer.status_code != 200:
                return {"error": "the weight store refused"}, 503
        engine.fence = max(engine.fence, body.get("fence", 0))
        engine.orders.append(body)
        return {"done": True}

    @app.get("/cache/events")
    async def cache_events():
        """Tell the cache events that are old enough, with gaps."""
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
            engine.become_cold()
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
