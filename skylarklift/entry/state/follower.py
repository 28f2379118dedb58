"""Follow the store's tables by reading the store or by fetching rows from another router."""

import msgpack
import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.gossip.wire import MAX_FRAME_BYTES, decode_page, receive_frame, send_frame
from skylarklift.entry.model import Endpoint
from skylarklift.entry.requests.http_connection import connect
from skylarklift.entry.state.rows import (
    NO_ERA,
    ChangesUnavailable,
    Era,
    RowPage,
    RowSource,
    RowTable,
    TableSummary,
)
from skylarklift.errors import PeerError, StoreError, TransportError
from skylarklift.util.bounded import checked_integer

# The store answers a read of changes as soon as there is one, or without any after this long.  If
# it does not answer soon after that, it counts as unavailable.
CHANGES_WAIT_MS = 500
# The delay between two reads, so that one answer holds many small changes.
POLL_DELAY_MS = {RowTable.OPERATOR: 100, RowTable.UPSTREAMS: 350}
RETRY_DELAY_MS = 600
RETRY_JITTER_MS = 300
STANDBY_CHECK_INTERVAL_MS = 150
# If the tables of the router that reads the store were not confirmed within this time, this router
# reads the store itself.
MAX_TABLE_AGE_MS = 1100
PEER_TIMEOUT_MS = 800
# Requested in place of a version to get all rows.
ALL_ROWS = -1


class Follower:
    """Keep one table of the cluster state up to date."""

    def __init__(self, core: Core, store: RowSource, table: RowTable):
        self._core = core
        self._store = store
        self._table = table
        self._failing = False

    async def run(self) -> None:
        """Read the store while no other router does so for this one."""
        core = self._core
        while True:
            if self._gets_rows_from_others():
                core.reading_store[self._table] = False
                await trio.sleep(STANDBY_CHECK_INTERVAL_MS / MS_PER_SECOND)
                continue
            try:
                await self._read_store()
                await trio.sleep(POLL_DELAY_MS[self._table] / MS_PER_SECOND)
            except StoreError as exc:
                self._log_store_lost(exc)
                span = RETRY_DELAY_MS + core.rng.randrange(RETRY_JITTER_MS)
                await trio.sleep(span / MS_PER_SECOND)

    def _gets_rows_from_others(self) -> bool:
        """Return whether another router reads the store, and its rows arrive here."""
        core, table = self._core, self._table
        if not core.cluster_state.caches[table].version or core.row_fetches.is_unanswered(table):
            return False
        return core.fleet.peer_reads_store(self._age_limits_ms(), self._eras())

    def _age_limits_ms(self) -> tuple[int, ...]:
        """Return, per table, the greatest age at which a peer's copy is fresh enough."""
        return (MAX_TABLE_AGE_MS,) * len(RowTable)

    def _eras(self) -> tuple[Era, ...]:
        """Return, per table, the era of this router's copy."""
        return tuple(self._core.cluster_state.caches[table].era for table in RowTable)

    async def _read_store(self) -> None:
        """Read the table or its changes from the store once and apply them."""
        core, table = self._core, self._table
        after = core.cluster_state.caches[table].version
        called_at = core.clock.now()
        if after == 0:
            page = await self._store.read_table(table)
        else:
            try:
                wait_ms = 0 if self._failing else CHANGES_WAIT_MS
                era = core.cluster_state.caches[table].era
                page = await self._store.read_changes(table, after, wait_ms, era)
            except ChangesUnavailable as exc:
                core.event_log.write(
                    "changes_unavailable",
                    table=table.name,
                    detail=str(exc),
                    older_rows=core.cluster_state.caches[table].older_rows,
                )
                page = await self._store.read_table(table)
        known_era = core.cluster_state.caches[table].era
        if page.era < known_era:
            raise StoreError(f"the store went back from era {known_era} to {page.era}")
        core.reading_store[table] = True
        # An answer that waited while this router stood still may be as old as the call.
        now = core.clock.now()
        age_ms = now - called_at if core.standstill.has_ended_since(called_at) else 0
        core.fleet.store_read_at = Millis(now - age_ms)
        if self._failing:
            self._failing = False
            core.event_log.write("store_regained", table=table.name, version=page.version)
        apply_page(core, table, page, "store", age_ms)

    def _log_store_lost(self, exc: StoreError) -> None:
        """Log the failure of a read, once until a read succeeds."""
        core = self._core
        core.reading_store[self._table] = False
        core.metrics.increment("store_errors", type(exc).__name__)
        if not self._failing:
            self._failing = True
            age = core.cluster_state.age_ms(self._table)
            core.event_log.write("store_lost", table=self._table.name, cause=str(exc), age_ms=age)


def apply_page(core: Core, table: RowTable, page: RowPage, source: str, age_ms: int) -> bool:
    """Apply rows to the cluster state and log the changes; return whether there were any."""
    core.note_era(page.era, source)
    core.cluster_state.confirm_version(table, page.version, age_ms, page.era)
    changes = core.cluster_state.apply_page(table, page)
    core.record_state_changes(changes, source, age_ms)
    return bool(changes)


async def fetch_rows(
    core: Core, table: RowTable, address: Endpoint, summary: TableSummary, *, complete: bool = False
) -> None:
    """Fetch the rows that another router has by its summary and this one lacks, and apply them.

    With `complete`, fetch all rows, since the two routers disagree on which rows exist.
    """
    cache = core.cluster_state.caches[table]
    asked_at = core.clock.now()
    try:
        with trio.fail_after(PEER_TIMEOUT_MS / MS_PER_SECOND):
            after = ALL_ROWS if complete else cache.version
            # Routers of earlier releases know no eras, and refuse requests that name one.
            era = None if summary.era == NO_ERA else cache.era
            page = await _request_rows(table, address, after, era)
    except (TransportError, PeerError, OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
        core.metrics.increment("peer_errors")
        core.event_log.write("rows_fetch_failed", peer=str(address), cause=repr(exc))
        return
    age_ms = summary.age_ms + core.clock.now() - asked_at
    apply_page(core, table, page, str(address), age_ms)


async def _request_rows(table: RowTable, address: Endpoint, after: int, era: Era | None) -> RowPage:
    """Request the rows changed after a version of an era from another router."""
    stream = await connect(address.host, address.port, PEER_TIMEOUT_MS)
    try:
        request = (table.value, after) if era is None else (table.value, after, era)
        await send_frame(stream, msgpack.packb(request))
        body = await receive_frame(stream, MAX_FRAME_BYTES)
    finally:
        stream.socket.close()
    if body is None:
        raise PeerError("connection closed before the rows were complete")
    return decode_page(body)


def rows_for_request(core: Core, body: bytes) -> bytes:
    """Return the message with the rows that another router requests; raise `PeerError`."""
    try:
        number, after, *eras = msgpack.unpackb(body)
        cache = core.cluster_state.caches[RowTable(number)]
        after = checked_integer(after, ALL_ROWS)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid request for rows: {exc}") from exc
    try:
        # Versions of another era say nothing of what the other router lacks.
        page = cache.all_rows() if eras and eras[0] != cache.era else cache.changes_since(after)
    except ChangesUnavailable:
        page = cache.all_rows()
    return core.page_encoder.encode(page, with_era=bool(eras))
