"""Simulate the platform: a transactional table service, an object store and a VM list.

``POST /control`` sets the VM list (``vms``) and the faults: ``away`` (responds 503
before any effect), ``slow_ms`` (delay of each call), ``lose_answers`` (number of writes
that take effect but get no answer in time), ``rate`` (limit of written rows per second),
``reads`` (limit of reads per second).
"""

import time
from dataclasses import dataclass, field

import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import main

ABSENT_VERSION = 0
LOST_ANSWER_DELAY_S = 30


@dataclass
class Faults:
    """The faults that ``POST /control`` sets; a limit of 0 means none."""

    away: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    rate: int = 0
    reads: int = 0


@dataclass
class Counts:
    """Counts of reads, of written rows, and of refused reads and rows."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


@dataclass
class Table:
    """Versioned rows with conditional writes and optional expiry."""

    rows: dict = field(default_factory=dict)
    versions: dict = field(default_factory=dict)
    expires_at: dict = field(default_factory=dict)

    def read(self, key):
        """Return the row as a JSON object, or `None` if it is absent or has expired."""
        if key in self.expires_at and self.expires_at[key] <= time.monotonic():
            self.remove(key)
        if key not in self.rows:
            return None
        return {"key": key, "value": self.rows[key], "version": self.versions[key]}

    def remove(self, key):
        """Remove a row; a later row under its key continues its version numbers."""
        self.rows.pop(key, None)
        self.expires_at.pop(key, None)

    def matches(self, write):
        """Return whether the row has the version that the write expects."""
        row = self.read(write["key"])
        expected = write.get("expect")
        return expected is None or expected == (row["version"] if row else ABSENT_VERSION)

    def apply(self, write):
        """Apply one write and return the row's new version."""
        key = write["key"]
        version = self.versions.get(key, ABSENT_VERSION) + 1
        self.versions[key] = version
        if write.get("delete"):
            self.remove(key)
            return version
        self.rows[key] = write["value"]
        self.expires_at.pop(key, None)
        if write.get("keep_ms"):
            self.expires_at[key] = time.monotonic() + write["keep_ms"] / 1000
        return version


class RateLimiter:
    """Limit events per second, counted in whole seconds of the clock."""

    def __init__(self):
        self.second = 0
        self.used = 0

    def try_acquire(self, amount, limit):
        """Count `amount` events; return whether the limit is kept (0 means no limit)."""
        now = int(time.monotonic())
        if now != self.second:
            self.second = now
            self.used = 0
        self.used += amount
        return not limit or self.used <= limit


def make_app(_options=None):
    """Return the HTTP app of the platform."""
    app = QuartTrio("platform")
    table, faults, counts = Table(), Faults(), Counts()
    write_limiter, read_limiter = RateLimiter(), RateLimiter()
    objects, vms = {}, []

    async def apply_request_faults(amount, limiter, limit):
        """Apply the faults that precede a call's effect; return a refusal or `None`."""
        if faults.slow_ms:
            await trio.sleep(faults.slow_ms / 1000)
        if faults.away:
            counts.refused += amount
            return Response("away", 503)
        if not limiter.try_acquire(amount, limit):
            counts.refused += amount
            return Response("rate", 429)
        return None

    async def apply_answer_faults(answer, status=200):
        """Return the answer, or withhold it if an answer is to be lost."""
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            await trio.sleep(LOST_ANSWER_DELAY_S)
            return Response("lost", 500)
        return answer, status

    @app.get("/table/rows/<path:key>")
    async def read_row(key):
        refusal = await apply_request_faults(1, read_limiter, faults.reads)
        if refusal:
            return refusal
        counts.reads += 1
        row = table.read(key)
        return row if row else ({"error": "absent"}, 404)

    @app.get("/table/rows")
    async def read_rows():
        refusal = await apply_request_faults(1, read_limiter, faults.reads)
        if refusal:
            return refusal
        counts.reads += 1
        prefix = request.args["prefix"]
        found = [table.read(key) for key in sorted(table.rows) if key.startswith(prefix)]
        return {"rows": [row for row in found if row]}

    @app.post("/table/transaction")
    async def transact():
        writes = (await request.get_json())["writes"]
        refusal = await apply_request_faults(len(writes), write_limiter, faults.rate)
        if refusal:
            return refusal
        counts.writes += len(writes)
        if not all(table.matches(write) for write in writes):
            failed = [write["key"] for write in writes if not table.matches(write)]
            return await apply_answer_faults(
                {"rows": {key: table.read(key) for key in failed}}, 409
            )
        return await apply_answer_faults({"versions": [table.apply(write) for write in writes]})

    @app.post("/table/batch")
    async def write_batch():
        writes = (await request.get_json())["writes"]
        refusal = await apply_request_faults(len(writes), write_limiter, faults.rate)
        if refusal:
            return refusal
        counts.writes += len(writes)
        results = []
        for write in writes:
            done = table.matches(write)
            version = table.apply(write) if done else ABSENT_VERSION
            row = None if done else table.read(write["key"])
            results.append({"done": done, "version": version, "row": row})
        return await apply_answer_faults({"results": results})

    @app.get("/objects/<path:key>")
    async def get_object(key):
        refusal = await apply_request_faults(1, read_limiter, faults.reads)
        if refusal:
            return refusal
        counts.reads += 1
        return Response(objects[key], 200) if key in objects else Response("absent", 404)

    @app.put("/objects/<path:key>")
    async def put_object(key):
        body = await request.get_data()
        refusal = await apply_request_faults(1, write_limiter, faults.rate)
        if refusal:
            return refusal
        counts.writes += 1
        objects[key] = body
        return await apply_answer_faults({"stored": key})

    @app.get("/vms")
    async def list_vms():
        refusal = await apply_request_faults(1, read_limiter, faults.reads)
        return refusal or {"vms": vms}

    @app.post("/control")
    async def control():
        for name, value in (await request.get_json()).items():
            if name == "vms":
                vms[:] = value
            else:
                setattr(faults, name, value)
        return vars(faults)

    @app.get("/control")
    async def state():
        return {"faults": vars(faults), "counts": vars(counts), "rows": len(table.rows)}

    return app


if __name__ == "__main__":
    main(__doc__.splitlines()[0], make_app)
