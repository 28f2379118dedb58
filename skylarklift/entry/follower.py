"""Follow the tables of the store: read them, or take them from a router that does."""

import msgpack
import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.clusterstate import UPSTREAM_REMOVED
from skylarklift.entry.core import Core
from skylarklift.entry.link import connect
from skylarklift.entry.model import Endpoint
from skylarklift.entry.rowset import ChangesUnavailable, RowPage, RowSource, RowTable
from skylarklift.entry.wire import FRAME_LIMIT_BYTES, decode_page, receive_frame, send_frame
from skylarklift.errors import LinkError, PeerError, StoreError
from skylarklift.ids import ReplicaId

# A call for changes waits this long for one; a store that says nothing is noticed soon after.
CHANGES_WAIT_MS = 500
# Between two calls, so that many small changes come in one answer.
POLL_PAUSE_MS = {RowTable.OPERATOR: 100, RowTable.UPSTREAMS: 350}
RETRY_MS = 600
RETRY_JITTER_MS = 300
STANDBY_CHECK_MS = 150
# A table that was not confirmed for this long is read here, whoever else should read it.
TABLE_STALE_MS = 1100
PEER_TIMEOUT_MS = 800
# Asked for in place of a version by one who wants all rows.
ALL_ROWS = -1


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
            if core.cluster_state.caches[self._table].version and core.fleet.peer_reads_store(
                self._age_limits_ms()
            ):
                core.reading_store[self._table] = False
                await trio.sleep(STANDBY_CHECK_MS / MS_PER_SECOND)
                continue
            try:
                await self._read_store()
                await trio.sleep(POLL_PAUSE_MS[self._table] / MS_PER_SECOND)
            except StoreError as exc:
                self._log_store_lost(exc)
                span = RETRY_MS + core.rng.randrange(RETRY_JITTER_MS)
                await trio.sleep(span / MS_PER_SECOND)

    def _age_limits_ms(self) -> tuple[int, ...]:
        """Return the ages up to which the tables count as read."""
        return (TABLE_STALE_MS,) * len(RowTable)

    async def _read_store(self) -> None:
        """Make one call to the store and take in what it says."""
        core, table = self._core, self._table
        after = core.cluster_state.caches[table].version
        if after == 0:
            page = await self._store.read_table(table)
        else:
            try:
                wait_ms = 0 if self._failing else CHANGES_WAIT_MS
                page = await self._store.read_changes(table, after, wait_ms)
            except ChangesUnavailable as exc:
                core.event_log.write("history_lost", table=table.name, detail=str(exc))
                page = await self._store.read_table(table)
        core.reading_store[table] = True
        if self._failing:
            self._failing = False
            core.event_log.write("store_regained", table=table.name, version=page.version)
        apply_page(core, table, page, "store", 0)

    def _log_store_lost(self, exc: StoreError) -> None:
        """Log that the store does not answer, once."""
        core = self._core
        core.reading_store[self._table] = False
        core.metrics.count("store_errors", type(exc).__name__)
        if not self._failing:
            self._failing = True
            age = core.cluster_state.age_ms(self._table)
            core.event_log.write("store_lost", table=self._table.name, cause=str(exc), age_ms=age)


def apply_page(core: Core, table: RowTable, page: RowPage, source: str, age_ms: int) -> bool:
    """Take rows into the beliefs and log what changed; tell whether anything did."""
    core.cluster_state.confirm_version(table, page.version, age_ms)
    changes = core.cluster_state.apply_page(table, page)
    for change in changes:
        if change.event == UPSTREAM_REMOVED:
            core.forget_upstream(ReplicaId(change.subject))
        core.event_log.write(
            change.event,
            subject=change.subject,
            version=change.version,
            detail=change.detail,
            source=source,
            age_ms=age_ms,
        )
    if changes:
        core.state_changed.set()
    return bool(changes)


async def fetch_rows(
    core: Core, table: RowTable, address: Endpoint, age_ms: int, *, complete: bool = False
) -> None:
    """Take from another router what it knows of a table and this one does not.

    With `whole`, take all rows, since this router lacks some or has some that are gone.
    """
    try:
        with trio.fail_after(PEER_TIMEOUT_MS / MS_PER_SECOND):
            after = ALL_ROWS if complete else core.cluster_state.caches[table].version
            page = await _request_rows(table, address, after)
    except (LinkError, PeerError, OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
        core.metrics.count("peer_errors")
        core.event_log.write("rows_not_fetched", peer=str(address), cause=repr(exc))
        return
    apply_page(core, table, page, str(address), age_ms)


async def _request_rows(table: RowTable, address: Endpoint, after: int) -> RowPage:
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


def rows_for_request(core: Core, body: bytes) -> RowPage:
    """Return the rows that another router asks for; raise `PeerError`."""
    try:
        number, after = msgpack.unpackb(body)
        cache = core.cluster_state.caches[RowTable(number)]
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"not a request for rows: {exc}") from exc
    try:
        return cache.changes_since(int(after))
    except ChangesUnavailable:
        return cache.all_rows()
