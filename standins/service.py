"""Simulate a plain service that counts its effects by idempotency key or body.

``POST /control`` sets the faults: ``slow_ms`` (delay before the effect), ``drop_answer``
(the connection breaks after the effect, during the response), ``fail`` (responds 500
after the effect).
"""

from collections import Counter
from dataclasses import dataclass

import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import main


@dataclass
class Faults:
    """The faults that ``POST /control`` sets."""

    slow_ms: int = 0
    drop_answer: bool = False
    fail: bool = False


def make_app(_options=None):
    """Return the HTTP app of a plain service."""
    app = QuartTrio("service")
    effects: Counter = Counter()
    faults = Faults()

    async def broken_body():
        yield b"{"
        raise ConnectionResetError("cut by a fault")

    @app.route("/<path:path>", methods=["POST", "PUT", "GET", "DELETE"])
    async def call(path):
        key = request.headers.get("Idempotency-Key") or (await request.get_data()).decode()
        if faults.slow_ms:
            await trio.sleep(faults.slow_ms / 1000)
        effects[key] += 1
        if faults.drop_answer:
            return Response(broken_body(), 200)
        if faults.fail:
            return {"error": "failed"}, 500
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        return {"path": path, "count": effects[key]}, 200, headers

    @app.post("/control")
    async def control():
        for name, value in (await request.get_json()).items():
            setattr(faults, name, value)
        return vars(faults)

    @app.get("/control")
    async def state():
        return {"effects": dict(effects), "total": sum(effects.values())}

    return app


if __name__ == "__main__":
    main(__doc__.splitlines()[0], make_app)
