"""Follow the tables of the store: read them, or take them from a router that does."""

import msgpack
import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.beliefs import UPSTREAM_GONE
from skylarklift.entry.core import Core
from skylarklift.entry.http_connection import connect
from skylarklift.entry.model import Endpoint
from skylarklift.entry.rowset import HistoryLost, RowPage, RowSource, RowTable
from skylarklift.entry.tells import FRAME_LIMIT_BYTES, decode_page, receive_frame, send_frame
from skylarklift.errors import LinkError, PeerError, StoreError
from skylarklift.ids import ReplicaId

# A call for changes waits this long for one; a store that says nothing is noticed soon after.
WAIT_MS = 500
# Between two calls, so that many small changes come in one answer.
PAUSE_MS = {RowTable.OPERATOR: 100, RowTable.UPSTREAMS: 350}
RETRY_MS = 600
RETRY_SPREAD_MS = 300
IDLE_MS = 150
# A table that was not confirmed for this long is read here, whoever else should read it.
FRESH_MS = 1100
PEER_TIMEOUT_MS = 800
# Asked for in place of a version by one who wants all rows.
WHOLE = -1


class Follower:
    """Keep one table of a router's beliefs up to date."""

    def __init__(self, core: Core, store: RowSource, table: RowTable):
        self._core = core
        self._store = store
        self._table = table
        self._failing = False

    async def run(self) -> None:
        """Read the store for as long as no other router does."""
        core = self._core
        while True:
            if core.beliefs.caches[self._table].version and core.fleet.covers(self._limits()):
                core.reading[self._table] = False
                await trio.sleep(IDLE_MS / MS_PER_SECOND)
                continue
            try:
                await self._read_store()
                await trio.sleep(PAUSE_MS[self._table] / MS_PER_SECOND)
            except StoreError as exc:
                self._note_lost(exc)
                span = RETRY_MS + core.rng.randrange(RETRY_SPREAD_MS)
                await trio.sleep(span / MS_PER_SECOND)

    def _limits(self) -> tuple[int, ...]:
        """Return the ages up to which the tables count as read."""
        return (FRESH_MS,) * len(RowTable)

    async def _read_store(self) -> None:
        """Make one call to the store and take in what it says."""
        core, table = self._core, self._table
        after = core.beliefs.caches[table].version
        if after == 0:
            page = await self._store.read_table(table)
        else:
            try:
                wait_ms = 0 if self._failing else WAIT_MS
                page = await self._store.read_changes(table, after, wait_ms)
            except HistoryLost as exc:
                core.journal.write("history_lost", table=table.name, detail=str(exc))
                page = await self._store.read_table(table)
        core.reading[table] = True
        if self._failing:
            self._failing = False
            core.journal.write("store_regained", table=table.name, version=page.version)
        take_page(core, table, page, "store", 0)

    def _note_lost(self, exc: StoreError) -> None:
        """Log that the store does not answer, once."""
        core = self._core
        core.reading[self._table] = False
        core.meters.increment("store_errors", type(exc).__name__)
        if not self._failing:
            self._failing = True
            age = core.beliefs.age(self._table)
            core.journal.write("store_lost", table=self._table.name, cause=str(exc), age_ms=age)


def take_page(core: Core, table: RowTable, page: RowPage, source: str, age_ms: int) -> bool:
    """Take rows into the beliefs and log what changed; tell whether anything did."""
    core.beliefs.confirm(table, page.version, age_ms)
    changes = core.beliefs.take(table, page)
    for belief in changes:
        if belief.event == UPSTREAM_GONE:
            core.forget(ReplicaId(belief.subject))
        core.journal.write(
            belief.event,
            subject=belief.subject,
            version=belief.version,
            detail=belief.detail,
            source=source,
            age_ms=age_ms,
        )
    if changes:
        core.changed.set()
    return bool(changes)


async def fetch_rows(
    core: Core, table: RowTable, address: Endpoint, age_ms: int, *, whole: bool = False
) -> None:
    """Take from another router what it knows of a table and this one does not.

    With `whole`, take all rows, since this router lacks some or has some that are gone.
    """
    try:
        with trio.fail_after(PEER_TIMEOUT_MS / MS_PER_SECOND):
            after = WHOLE if whole else core.beliefs.caches[table].version
            page = await _ask_rows(table, address, after)
    except (LinkError, PeerError, OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
        core.meters.increment("peer_errors")
        core.journal.write("rows_not_fetched", peer=str(address), cause=repr(exc))
        return
    take_page(core, table, page, str(address), age_ms)


async def _ask_rows(table: RowTable, address: Endpoint, after: int) -> RowPage:
    """Ask another router for the rows that changed after a version."""
    stream = await connect(address.host, address.port, PEER_TIMEOUT_MS)
    try:
        await send_frame(stream, msgpack.packb((table.value, after)))
        body = await receive_frame(stream, FRAME_LIMIT_BYTES)
    finally:
        stream.socket.close()
    if body is None:
        raise PeerError("closed without an answer")
    return decode_page(body)


def answer_rows(core: Core, body: bytes) -> RowPage:
    """Return the rows that another router asks for; raise `PeerError`."""
    try:
        number, after = msgpack.unpackb(body)
        cache = core.beliefs.caches[RowTable(number)]
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"not a request for rows: {exc}") from exc
    try:
        return cache.changes(int(after))
    except HistoryLost:
        return cache.page()
