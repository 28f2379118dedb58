"""The platform's row store with its published HTTP protocol, and switchable faults."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from skylarklift.entry.model import CallerLimits
from skylarklift.entry.requests.caller_connection import CallerConnection, CallerDisconnected
from skylarklift.errors import BadRequest

LIMITS = CallerLimits(idle_ms=60000)
STATUS_OK = 200
WRITE_TARGET = b"/-/rows-tx"
MAX_PAGE_ROWS = 500
STATUS_CONDITION_FAILED = 412
STATUS_UNAVAILABLE = 503
MS_PER_SECOND = 1000
# A call without an answer is performed after this at the latest, if it is not done at once.
LATE_S = (1.0, 6.0)


@dataclass
class LateWrites:
    """The part of the writes that get no answer and are performed later, as `rng` draws them."""

    rng: Random
    ratio: float = 1.0
    delay_s: tuple[float, float] = LATE_S

    def draw_delay_s(self) -> float | None:
        """Return how much later the next write is performed, `None` if it is not a late one."""
        return self.rng.uniform(*self.delay_s) if self.rng.random() < self.ratio else None


@dataclass
class StoreFaults:
    """The faults of one endpoint of the store.

    `status` responds with that status, `silent` never answers, `reset` closes the connection
    before any effect, and `lose_answers` closes it after the effect.  `refuse_writes` answers
    writes with 503.  `late_writes` performs writes later, and answers those never.
    """

    status: int = 0
    silent: bool = False
    reset: bool = False
    slow_ms: int = 0
    lose_answers: bool = False
    refuse_writes: bool = False
    late_writes: LateWrites | None = None


@dataclass
class StoredRow:
    """A row with its version; without data it is a tombstone."""

    data: bytes | None
    version: int


@dataclass(frozen=True)
class StoreCopy:
    """A copy of all rows at a version, from which a store can be restored."""

    tables: dict[str, dict[str, StoredRow]]
    version: int


@dataclass
class RowStore:
    """All rows with their versions, and an event that is set at each change.

    `era` counts how often the store was restored from a copy.  While the feed is silent, nobody
    who waits for changes learns of them.
    """

    tables: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    version: int = 0
    era: int = 1
    oldest_version: int = 0
    call_count: int = 0
    is_feed_silent: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    def write(self, table: str, key: str, data: bytes | None) -> int:
        """Write a row, or remove it if `data` is `None`; return the new version."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = StoredRow(data, self.version)
        self.notify()
        return self.version

    def notify(self) -> None:
        """Let all who wait for changes look again."""
        self.changed.set()
        self.changed = trio.Event()

    def row_version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if there is none."""
        row = self.tables.get(table, {}).get(key)
        return row.version if row is not None and row.data is not None else 0

    def transact(self, value: dict[str, Any]) -> bool:
        """Write and remove rows; return false, without effect, if an expected one has changed."""
        for row in value.get("expected", ()):
            if self.row_version(row["table"], row["key"]) != row["row_version"]:
                return False
        for row in value.get("write", ()):
            self.write(row["table"], row["key"], b64decode(row["data"]))
        for row in value.get("remove", ()):
            self.write(row["table"], row["key"], None)
        return True

    async def transact_later(self, value: dict[str, Any], delay_s: float) -> bool:
        """Write and remove rows after a time, also if the store was restored meanwhile.

        Return false, without effect, if an expected one has changed.
        """
        await trio.sleep(delay_s)
        return self.transact(value)

    def copy(self) -> StoreCopy:
        """Return a copy of all rows."""
        return StoreCopy({name: dict(rows) for name, rows in self.tables.items()}, self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: what was written since is gone, and versions are given out again."""
        self.tables = {name: dict(rows) for name, rows in copy.tables.items()}
        self.version = copy.version
        self.oldest_version = min(self.oldest_version, copy.version)
        self.era += 1
        self.changed.set()
        self.changed = trio.Event()

    @staticmethod
    def now_ms() -> int:
        """Return the time of the store's clock, as its answers name it."""
        return int(trio.current_time() * MS_PER_SECOND)

    def compact(self) -> None:
        """Drop the tombstones; changes since older versions can no longer be read."""
        self.oldest_version = self.version
        for rows in self.tables.values():
            for key in [key for key, row in rows.items() if row.data is None]:
                del rows[key]

    def rows(self, table: str, after: int = -1) -> list[dict]:
        """Return a table's rows changed after a version, encoded for the protocol.

        Without a version, return all rows but no tombstones.
        """
        found = sorted(self.tables.get(table, {}).items(), key=lambda item: item[1].version)
        return [
            self._encode_row(table, key, row)
            for key, row in found
            if row.version > after and (after >= 0 or row.data is not None)
        ]

    @staticmethod
    def _encode_row(table: str, key: str, row: StoredRow) -> dict:
        """Return one row encoded for the protocol."""
        form = {"table": table, "part": "", "key": key, "row_version": row.version}
        if row.data is None:
            return {**form, "deleted": True}
        return {**form, "data": b64encode(row.data).decode()}


class StoreEndpoint:
    """One endpoint of the store, with its own faults."""

    def __init__(self, store: RowStore):
        self.store = store
        self.faults = StoreFaults()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        caller = CallerConnection(stream, 65536)
        try:
            while (head := await caller.read_head(LIMITS.idle_ms, LIMITS.header_ms)) is not None:
                body = await caller.read_body(LIMITS)
                if (
                    not await self._serve_call(caller, head, body)
                    or not caller.prepare_next_request()
                ):
                    return
        except (CallerDisconnected, BadRequest):
            # The router closed the connection, or was killed in the middle of a call.
            return
        finally:
            caller.abort()

    async def _serve_call(self, caller, head, body) -> bool:
        """Serve one call; return whether the connection can be reused."""
        self.store.call_count += 1
        faults = self.faults
        if faults.silent:
            await trio.sleep_forever()
        if faults.reset:
            return False
        await trio.sleep(faults.slow_ms / MS_PER_SECOND)
        if faults.status:
            await caller.send_response(faults.status, self._era_headers(), b"")
            return True
        if head.target == WRITE_TARGET and faults.late_writes is not None:
            delay_s = faults.late_writes.draw_delay_s()
            if delay_s is not None:
                # Nobody has to wait for it, or to call again.
                caller.abort()
                await self.store.transact_later(json.loads(body), delay_s)
                return False
        status, value = await self._handle_call(head, body)
        if faults.lose_answers:
            return False
        value["now_ms"] = self.store.now_ms()
        await caller.send_response(status, self._era_headers(), json.dumps(value).encode())
        return True

    def _era_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header field of all answers that names the store's era."""
        return [(b"store-era", b"%d" % self.store.era)]

    async def _handle_call(self, head, body) -> tuple[int, dict]:
        """Execute a call and return its status and answer."""
        parts = urlsplit(unquote(head.target.decode()))
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-get":
            return STATUS_OK, self._page(query)
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        if parts.path == WRITE_TARGET.decode():
            return self._transact(json.loads(body))
        return 404, {}

    def _page(self, query) -> dict:
        """Return the rows of a table from `source` on, as many as one answer holds."""
        store, source = self.store, query.get("source", "")
        rows = [row for row in store.rows(query["table"]) if row["key"] >= source]
        rows.sort(key=lambda row: row["key"])
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        has_more = len(rows) > limit
        return {"rows": rows[:limit], "has_more": has_more, "row_version": store.version}

    async def _feed(self, query) -> tuple[int, dict]:
        """Return the changes after a version, waiting up to `wait_ms` for the first one.

        Return 410 if the version is older than the last compaction, or if the store does not
        have it, since it was restored from an older copy.
        """
        store, table, after = self.store, query["table"], int(query["after"])
        with trio.move_on_after(int(query.get("wait_ms", 0)) / MS_PER_SECOND):
            while store.is_feed_silent or (
                not store.rows(table, after) and store.oldest_version <= after <= store.version
            ):
                await store.changed.wait()
        if store.is_feed_silent:
            return STATUS_OK, {"rows": [], "row_version": after}
        if not store.oldest_version <= after <= store.version:
            return 410, {"row_version": store.version}
        return STATUS_OK, {"rows": store.rows(table, after), "row_version": store.version}

    def _transact(self, value) -> tuple[int, dict]:
        """Write and remove rows, unless an expected one has another version."""
        if self.faults.refuse_writes:
            return STATUS_UNAVAILABLE, {}
        if not self.store.transact(value):
            return STATUS_CONDITION_FAILED, {"rows": [], "row_version": self.store.version}
        return STATUS_OK, {"row_version": self.store.version}
