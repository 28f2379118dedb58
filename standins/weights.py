"""Simulate the weight store, which limits the rate of loads and counts those it refuses.

``POST /control`` sets ``gap_ms``, the minimum time between two loads.
"""

import time
from dataclasses import dataclass

from quart import request
from quart_trio import QuartTrio

from standins.serving import main

SOME_WEIGHTS = b"weights" * 100


@dataclass
class WeightStore:
    """The rate limit, and counts of served and refused loads."""

    gap_ms: int = 1000
    last: float = 0.0
    served: int = 0
    refused: int = 0


def make_app(_options=None):
    """Return the HTTP app of the weight store."""
    app = QuartTrio("weights")
    store = WeightStore()

    @app.get("/weights/<name>")
    async def load(name):
        now = time.monotonic()
        if store.served and now - store.last < store.gap_ms / 1000:
            store.refused += 1
            return {"error": "rate"}, 429
        store.last = now
        store.served += 1
        return SOME_WEIGHTS

    @app.post("/control")
    async def control():
        store.gap_ms = (await request.get_json())["gap_ms"]
        return vars(store)

    @app.get("/control")
    async def state():
        return vars(store)

    return app


if __name__ == "__main__":
    main(__doc__.splitlines()[0], make_app)
