"""The platform: a transactional table service, an object store and a lagging VM list.

``POST /control`` sets the faults: ``away`` (503 before any effect), ``slow_ms``,
``lose_answers`` (the effect happens, the answer does not come), ``rate`` (writes a
second, counted by row), ``reads`` (reads a second).
"""

import time
from dataclasses import dataclass, field

import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import main

ABSENT = 0
LOST_ANSWER_HOLD_S = 30


@dataclass
class Faults:
    """The faults that a control call can switch."""

    away: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    rate: int = 0
    reads: int = 0


@dataclass
class Counts:
    """What was asked of the store."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


@dataclass
class Table:
    """Rows with versions, whole transactions, and removal after a set time."""

    rows: dict = field(default_factory=dict)
    versions: dict = field(default_factory=dict)
    ends: dict = field(default_factory=dict)

    def found(self, key):
        """Return the row as a JSON object, or `None`."""
        if key in self.ends and self.ends[key] <= time.monotonic():
            self.remove(key)
        if key not in self.rows:
            return None
        return {"key": key, "value": self.rows[key], "version": self.versions[key]}

    def remove(self, key):
        """Remove a row; its version numbers go on growing."""
        self.rows.pop(key, None)
        self.ends.pop(key, None)

    def matches(self, write):
        """Tell whether the row is as the write expects."""
        row = self.found(write["key"])
        expected = write.get("expect")
        return expected is None or expected == (row["version"] if row else ABSENT)

    def apply(self, write):
        """Do one write; return the new version."""
        key = write["key"]
        version = self.versions.get(key, ABSENT) + 1
        self.versions[key] = version
        if write.get("delete"):
            self.remove(key)
            return version
        self.rows[key] = write["value"]
        self.ends.pop(key, None)
        if write.get("keep_ms"):
            self.ends[key] = time.monotonic() + write["keep_ms"] / 1000
        return version


class Meter:
    """Count events of the running second against a limit."""

    def __init__(self):
        self.second = 0
        self.used = 0

    def take(self, amount, limit):
        """Count `amount`; tell whether the limit (0: none) still holds."""
        now = int(time.monotonic())
        if now != self.second:
            self.second = now
            self.used = 0
        self.used += amount
        return not limit or self.used <= limit


def make_app(_options=None):
    """Return the app of the platform."""
    app = QuartTrio("platform")
    table, faults, counts = Table(), Faults(), Counts()
    write_meter, read_meter = Meter(), Meter()
    objects, machines = {}, []

    async def enter(amount, meter, limit):
        """Apply the faults before an effect; return a refusal or `None`."""
        if faults.slow_ms:
            await trio.sleep(faults.slow_ms / 1000)
        if faults.away:
            counts.refused += amount
            return Response("away", 503)
        if not meter.take(amount, limit):
            counts.refused += amount
            return Response("rate", 429)
        return None

    async def leave(answer, status=200):
        """Apply the faults after an effect."""
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            await trio.sleep(LOST_ANSWER_HOLD_S)
            return Response("lost", 500)
        return answer, status

    @app.get("/table/rows/<path:key>")
    async def read_row(key):
        refusal = await enter(1, read_meter, faults.reads)
        if refusal:
            return refusal
        counts.reads += 1
        row = table.found(key)
        return row if row else ({"error": "absent"}, 404)

    @app.get("/table/rows")
    async def read_rows():
        refusal = await enter(1, read_meter, faults.reads)
        if refusal:
            return refusal
        counts.reads += 1
        prefix = request.args["prefix"]
        found = [table.found(key) for key in sorted(table.rows) if key.startswith(prefix)]
        return {"rows": [row for row in found if row]}

    @app.post("/table/transaction")
    async def transact():
        writes = (await request.get_json())["writes"]
        refusal = await enter(len(writes), write_meter, faults.rate)
        if refusal:
            return refusal
        counts.writes += len(writes)
        if not all(table.matches(write) for write in writes):
            failed = [write["key"] for write in writes if not table.matches(write)]
            return await leave({"rows": {key: table.found(key) for key in failed}}, 409)
        return await leave({"versions": [table.apply(write) for write in writes]})

    @app.post("/table/batch")
    async def write_each():
        writes = (await request.get_json())["writes"]
        refusal = await enter(len(writes), write_meter, faults.rate)
        if refusal:
            return refusal
        counts.writes += len(writes)
        results = []
        for write in writes:
            done = table.matches(write)
            version = table.apply(write) if done else ABSENT
            row = None if done else table.found(write["key"])
            results.append({"done": done, "version": version, "row": row})
        return await leave({"results": results})

    @app.get("/objects/<path:key>")
    async def get_object(key):
        refusal = await enter(1, read_meter, faults.reads)
        if refusal:
            return refusal
        counts.reads += 1
        return Response(objects[key], 200) if key in objects else Response("absent", 404)

    @app.put("/objects/<path:key>")
    async def put_object(key):
        body = await request.get_data()
        refusal = await enter(1, write_meter, faults.rate)
        if refusal:
            return refusal
        counts.writes += 1
        objects[key] = body
        return await leave({"stored": key})

    @app.get("/vms")
    async def list_machines():
        refusal = await enter(1, read_meter, faults.reads)
        return refusal or {"vms": machines}

    @app.post("/control")
    async def control():
        for name, value in (await request.get_json()).items():
            if name == "vms":
                machines[:] = value
            else:
                setattr(faults, name, value)
        return vars(faults)

    @app.get("/control")
    async def state():
        return {"faults": vars(faults), "counts": vars(counts), "rows": len(table.rows)}

    return app


if __name__ == "__main__":
    main(__doc__.splitlines()[0], make_app)
