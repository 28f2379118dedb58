"""Client of the platform's store: read tables, follow changes, and write member entries."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, LoopClock
from skylarklift.entry.model import Endpoint, Headers
from skylarklift.entry.requests.http_connection import HttpConnection, connect
from skylarklift.entry.rollouts.rollout_rows import decode_state, encode_state, encode_status
from skylarklift.entry.rollouts.state import RolloutState, StoredRollout
from skylarklift.entry.state.rows import (
    NO_ERA,
    ChangesUnavailable,
    Era,
    MemberStore,
    ReleaseStore,
    RolloutStore,
    RowChange,
    RowPage,
    RowSource,
    RowTable,
)
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_report, encode_report
from skylarklift.errors import StoreAnswerLost, StoreError, StoreUnavailable, TransportError
from skylarklift.ids import ServiceId
from skylarklift.platform import names
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store_clock import StoreClock
from skylarklift.util.bounded import (
    checked_integer,
    checked_list,
    parse_integer,
    parse_json,
)

CONNECT_TIMEOUT_MS = 500
# Time-out for the head of an answer, from the end of the wait that the call asks for.  It is short,
# so that a store that stalled is called again soon after it recovers.
HEAD_TIMEOUT_MS = 900
# Time-out for the rest of the answer.
BODY_TIMEOUT_MS = 1500
MAX_RESPONSE_BYTES = 8_388_608
MEMBER_TABLE = "skylarklift-routers"
RELEASE_TABLE = "skylarklift-releases"
ROLLOUT_TABLE = "skylarklift-rollouts"
PAGE_ROWS = 500
JSON_HEADERS = [(b"content-type", b"application/json")]


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """An answer of the store: its status, its era and its JSON body."""

    status: int
    era: Era
    value: dict[str, Any]


class PlatformStore(RowSource, MemberStore, ReleaseStore, RolloutStore):
    """One router's calls to the store; the change feed of each table has its own connection."""

    def __init__(self, address: Endpoint, rows: PlatformRowFormat, clock: Clock | None = None):
        self._address = address
        self._row_format = rows
        self._clock = clock or LoopClock()
        self._store_clock = StoreClock(self._clock)
        self._conns: dict[str, HttpConnection] = {}

    async def read_table(self, table: RowTable) -> RowPage:
        """Return all rows of a table."""
        return await self._read_all(self._row_format.table_name(table))

    async def read_changes(
        self, table: RowTable, after: int, wait_ms: int, era: Era = NO_ERA
    ) -> RowPage:
        """Return the rows changed after a version of an era; raise `ChangesUnavailable`."""
        name = self._row_format.table_name(table)
        query = urlencode({"table": name, "after": after, "wait_ms": wait_ms})
        timeout_ms = wait_ms + HEAD_TIMEOUT_MS
        answer = await self._call(f"feed-{name}", "GET", names.ROWS_FEED, query, timeout_ms)
        if answer.status == names.STATUS_CHANGES_UNAVAILABLE:
            raise ChangesUnavailable(
                f"changes of table {name} after version {after} are no longer kept"
            )
        self._check_status(answer.status)
        if answer.era != era:
            # The store may have given out the version again, for other changes.
            raise ChangesUnavailable(
                f"changes of table {name} after version {after} are of era {era}, the store is in "
                f"era {answer.era}"
            )
        rows, version = _decode_rows(answer.value)
        return RowPage(rows, version, complete=False, era=answer.era)

    async def _read_all(self, name: str) -> RowPage:
        """Return all rows of a table; raise `StoreError` if the store is restored meanwhile."""
        found: list[RowChange] = []
        version, start = 0, ""
        era: Era | None = None
        while True:
            fields = {"table": name, "part": "", "limit": PAGE_ROWS}
            if start:
                fields["source"] = start
            answer = await self._call("read", "GET", names.ROWS_GET, urlencode(fields))
            self._check_status(answer.status)
            if era is not None and era != answer.era:
                raise StoreError(f"the store was restored while table {name} was read")
            era = answer.era
            page, page_version = _decode_rows(answer.value)
            # All pages get the version of the first one.  Changes made since arrive by the feed.
            version = version or page_version
            found += page
            if not answer.value.get("has_more") or not page:
                return RowPage(found, version, complete=True, era=era)
            start = page[-1].key + "\0"

    async def read_members(self) -> dict[str, str]:
        """Return the peer address of each registered router by its name."""
        page = await self._read_all(MEMBER_TABLE)
        return {row.key: row.data.decode("utf-8", "replace") for row in page.rows if row.data}

    async def write_member(self, node: str, address: str | None) -> None:
        """Write a router's member entry, or remove it."""
        row = {"table": MEMBER_TABLE, "part": "", "key": node}
        body: dict[str, Any] = {"expected": [], "write": [], "remove": []}
        if address is None:
            body["remove"].append(row)
        else:
            body["write"].append({**row, "data": b64encode(address.encode()).decode()})
        answer = await self._call("write", "POST", names.ROWS_TX, "", body=body)
        self._check_status(answer.status)

    async def read_releases(self) -> list[ReleaseReport]:
        """Return the rows on the software versions of all services."""
        page = await self._read_all(RELEASE_TABLE)
        now_ms = self._store_clock.now_ms()
        return [_decode_release(row, now_ms, page.era) for row in page.rows]

    async def write_release(self, report: ReleaseReport) -> ReleaseReport:
        """Write a service's row if its version is still the one named; return the row as it is."""
        row = {"table": RELEASE_TABLE, "part": "", "key": report.service}
        data = encode_report(report, self._store_clock.now_ms())
        body = {
            "expected": [{**row, "row_version": report.row_version}],
            "write": [{**row, "data": b64encode(data).decode()}],
            "remove": [],
        }
        answer = await self._call("write", "POST", names.ROWS_TX, "", body=body)
        if answer.status == names.STATUS_CONDITION_FAILED:
            found = [item for item in await self.read_releases() if item.service == report.service]
            # A restored store may have no row.
            return found[0] if found else ReleaseReport(report.service, 0, (), answer.era)
        self._check_status(answer.status)
        _, version = _decode_rows(answer.value)
        # The ages are those of now.
        return _decode_release(
            RowChange(row["key"], version, data), self._store_clock.now_ms(), answer.era
        )

    async def read_rollouts(self) -> list[StoredRollout]:
        """Return the states of the roll-outs of all services; those that are odd are left out."""
        page = await self._read_all(ROLLOUT_TABLE)
        found = (self._decode_rollout(row) for row in page.rows)
        return [item for item in found if item is not None]

    async def write_rollout(self, state: RolloutState, row_version: int) -> StoredRollout | None:
        """Write a state and the status of its order if the row still has this version.

        Both rows are written together, so that the status never differs from the state.
        """
        row = {"table": ROLLOUT_TABLE, "part": "", "key": state.service}
        status = {
            "table": names.STATUS_TABLE,
            "part": "",
            "key": names.ROLLOUT_PREFIX + state.service,
        }
        data = encode_state(state, self._clock.now(), self._store_clock.now_ms())
        body = {
            "expected": [{**row, "row_version": row_version}],
            "write": [
                {**row, "data": b64encode(data).decode()},
                {**status, "data": b64encode(encode_status(state)).decode()},
            ],
            "remove": [],
        }
        answer = await self._call("write", "POST", names.ROWS_TX, "", body=body)
        if answer.status == names.STATUS_CONDITION_FAILED:
            found = await self.read_rollouts()
            return next((item for item in found if item.state.service == state.service), None)
        self._check_status(answer.status)
        _, version = _decode_rows(answer.value)
        return StoredRollout(state, version)

    def _decode_rollout(self, row: RowChange) -> StoredRollout | None:
        """Return the state in a row, `None` if there is none or it cannot be read."""
        if row.data is None:
            return None
        now, store_ms = self._clock.now(), self._store_clock.now_ms()
        state = decode_state(ServiceId(row.key), row.data, now, store_ms)
        return None if state is None else StoredRollout(state, row.version)

    def _note_clock(self, value: dict[str, Any]) -> None:
        """Record the time of the store's clock that an answer tells."""
        if "now_ms" in value:
            self._store_clock.record(checked_integer(value["now_ms"]))

    @staticmethod
    def _check_status(status: int) -> None:
        """Raise `StoreError` unless the call succeeded."""
        if status in names.NO_EFFECT_STATUSES:
            raise StoreUnavailable(f"the store answered with status {status}")
        if status != 200:
            raise StoreError(f"the store answered with status {status}")

    async def _call(
        self,
        channel: str,
        method: str,
        path: str,
        query: str,
        timeout_ms: int = HEAD_TIMEOUT_MS,
        body: dict[str, Any] | None = None,
    ) -> StoreAnswer:
        """Make one call and return its answer; calls of one `channel` share a connection.

        Raise `StoreAnswerLost` if there is no complete answer in time.
        """
        target = f"{path}?{query}" if query else path
        data = b"" if body is None else json.dumps(body).encode()
        conn = self._conns.pop(channel, None)
        try:
            with trio.fail_after(timeout_ms / MS_PER_SECOND):
                if conn is not None and not conn.has_no_input():
                    conn.close()
                    conn = None
                if conn is None:
                    conn = await self._connect()
                await conn.send(
                    method.encode(), quote(target, safe="/?&=%-.").encode(), JSON_HEADERS, data
                )
                status, headers = await conn.read_head()
            with trio.fail_after(BODY_TIMEOUT_MS / MS_PER_SECOND):
                text = await conn.read_all(MAX_RESPONSE_BYTES)
        except (TransportError, trio.TooSlowError) as exc:
            raise StoreAnswerLost(f"{method} {path}: {exc or 'no answer in time'}") from exc
        finally:
            if conn is not None:
                if conn.prepare_next_request():
                    self._conns[channel] = conn
                else:
                    conn.abort()
        try:
            return self._decode_answer(status, headers, text)
        except ValueError as exc:
            raise StoreError(f"{method} {path}: unexpected answer: {exc}") from exc

    def _decode_answer(self, status: int, headers: Headers, text: bytes) -> StoreAnswer:
        """Return a decoded answer, and record the time that it tells; raise `ValueError`."""
        value = parse_json(text) if text else {}
        if not isinstance(value, dict):
            raise ValueError("not a JSON object")
        self._note_clock(value)
        return StoreAnswer(status, _parse_era(headers), value)

    async def _connect(self) -> HttpConnection:
        """Return a new connection to the store."""
        address = self._address
        stream = await connect(address.host, address.port, CONNECT_TIMEOUT_MS)
        return HttpConnection(stream, str(address))


def _parse_era(headers: Headers) -> Era:
    """Return the era that an answer names, `NO_ERA` without one; raise `ValueError`."""
    text = dict(headers).get(names.STORE_ERA)
    return NO_ERA if text is None else Era(parse_integer(text))


def _decode_rows(value: dict[str, Any]) -> tuple[list[RowChange], int]:
    """Return the rows and the version in the body of an answer; raise `StoreError`."""
    try:
        rows = [_decode_row(row) for row in checked_list(value.get("rows") or ())]
        return rows, checked_integer(value["row_version"])
    except (AttributeError, KeyError, ValueError) as exc:
        raise StoreError(f"unexpected answer of the store: {type(exc).__name__}: {exc}") from exc


def _decode_release(row: RowChange, now_ms: int, era: Era) -> ReleaseReport:
    """Return a row on software versions, without steps if it cannot be read."""
    return decode_report(ServiceId(row.key), row.version, row.data or b"", now_ms, era)


def _decode_row(row: dict[str, Any]) -> RowChange:
    """Return one row; data that cannot be read stays as it is, for the decoder to refuse."""
    data = None if row.get("deleted") else str(row.get("data") or "").encode()
    if data is not None:
        try:
            data = b64decode(data)
        except ValueError:
            # The row exists, so it must not be taken for removed.
            pass
    # JSON may hold half a surrogate pair, which cannot be sent on to other routers.
    key = str(row["key"]).encode("utf-8", "replace").decode()
    return RowChange(key, checked_integer(row["row_version"]), data)
