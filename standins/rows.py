"""The platform's store of rows, spoken as its published protocol says, with faults to switch."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from skylarklift.entry.caller_connection import CallerConnection, CallerDisconnected
from skylarklift.entry.model import CallerLimits
from skylarklift.errors import BadRequest

LIMITS = CallerLimits(idle_ms=60000)
READY = 200
MS = 1000


@dataclass
class StoreFaults:
    """How the store misbehaves towards those that use one of its doors."""

    status: int = 0
    silent: bool = False
    reset: bool = False
    slow_ms: int = 0
    lose_answers: bool = False


@dataclass
class StoredRow:
    """A row with its version; no data once it was removed."""

    data: bytes | None
    version: int


@dataclass
class RowStore:
    """All rows, and who waits for a change."""

    tables: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    version: int = 0
    oldest: int = 0
    calls: int = 0
    changed: trio.Event = field(default_factory=trio.Event)

    def write(self, table: str, key: str, data: bytes | None) -> int:
        """Write or remove a row as the operator or an upstream would."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = StoredRow(data, self.version)
        self.changed.set()
        self.changed = trio.Event()
        return self.version

    def compact(self) -> None:
        """Forget the history."""
        self.oldest = self.version
        for rows in self.tables.values():
            for key in [key for key, row in rows.items() if row.data is None]:
                del rows[key]

    def rows(self, table: str, after: int = -1) -> list[dict]:
        """Return the rows of a table that changed after a version, in the protocol's form."""
        found = sorted(self.tables.get(table, {}).items(), key=lambda item: item[1].version)
        return [
            self._form(table, key, row)
            for key, row in found
            if row.version > after and (after >= 0 or row.data is not None)
        ]

    @staticmethod
    def _form(table: str, key: str, row: StoredRow) -> dict:
        """Return one row in the protocol's form."""
        form = {"table": table, "part": "", "key": key, "row_version": row.version}
        if row.data is None:
            return {**form, "deleted": True}
        return {**form, "data": b64encode(row.data).decode()}


class StoreDoor:
    """One address of the store, with faults of its own."""

    def __init__(self, store: RowStore):
        self.store = store
        self.faults = StoreFaults()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        caller = CallerConnection(stream, 65536)
        try:
            while (head := await caller.read_head(LIMITS.idle_ms, LIMITS.header_ms)) is not None:
                body = await caller.read_body(LIMITS)
                if not await self._serve(caller, head, body) or not caller.prepare_next_request():
                    return
        except (CallerDisconnected, BadRequest):
            # A router that was killed leaves its connections as they were.
            return
        finally:
            caller.abort()

    async def _serve(self, caller, head, body) -> bool:
        """Serve one call; tell whether the connection goes on."""
        self.store.calls += 1
        faults = self.faults
        if faults.silent:
            await trio.sleep_forever()
        if faults.reset:
            return False
        await trio.sleep(faults.slow_ms / MS)
        if faults.status:
            await caller.send_response(faults.status, [], b"")
            return True
        status, value = await self._answer(head, body)
        if faults.lose_answers:
            return False
        await caller.send_response(status, [], json.dumps(value).encode())
        return True

    async def _answer(self, head, body) -> tuple[int, dict]:
        """Return the answer to a call."""
        parts = urlsplit(unquote(head.target.decode()))
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        store = self.store
        if parts.path == "/-/rows-get":
            rows = sorted(store.rows(query["table"]), key=lambda row: row["key"])
            return READY, {"rows": rows, "has_more": False, "row_version": store.version}
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        if parts.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    async def _feed(self, query) -> tuple[int, dict]:
        """Return what changed, as soon as something did."""
        store, table, after = self.store, query["table"], int(query["after"])
        with trio.move_on_after(int(query.get("wait_ms", 0)) / MS):
            while not store.rows(table, after) and after >= store.oldest:
                await store.changed.wait()
        if after < store.oldest:
            return 410, {}
        return READY, {"rows": store.rows(table, after), "row_version": store.version}

    def _transact(self, value) -> tuple[int, dict]:
        """Write rows."""
        for row in value.get("write", ()):
            self.store.write(row["table"], row["key"], b64decode(row["data"]))
        for row in value.get("remove", ()):
            self.store.write(row["table"], row["key"], None)
        return READY, {"row_version": self.store.version}
