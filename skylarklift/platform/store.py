"""The platform's store: rows of tables, their changes, and transactions."""

import json
from base64 import b64decode, b64encode
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote, urlencode

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.link import Link, connect
from skylarklift.entry.model import Endpoint
from skylarklift.entry.rows import (
    ChangesUnavailable,
    MemberStore,
    RowChange,
    RowPage,
    RowSource,
    RowTable,
)
from skylarklift.errors import LinkError, StoreAnswerLost, StoreError, StoreUnavailable
from skylarklift.platform import names
from skylarklift.platform.rows import PlatformRows

CONNECT_TIMEOUT_MS = 500
# An answer begins within the first span after the wait that was asked for, or is given up, so
# that a store that is silent and then back is asked again soon; the second is for the rest.
ANSWER_TIMEOUT_MS = 900
REST_TIMEOUT_MS = 1500
ANSWER_LIMIT_BYTES = 8_388_608
MEMBER_TABLE = "skylarklift-routers"
PAGE_ROWS = 500
JSON_HEADERS = [(b"content-type", b"application/json")]


class PlatformStore(RowSource, MemberStore):
    """One router's calls to the store, each table's on a connection of its own."""

    def __init__(self, address: Endpoint, rows: PlatformRows):
        self._address = address
        self._rows = rows
        self._links: dict[str, Link] = {}

    async def read_table(self, table: RowTable) -> RowPage:
        """Return all rows of a table."""
        rows, version = await self._read_all(self._rows.table_name(table))
        return RowPage(rows, version, complete=True)

    async def read_changes(self, table: RowTable, after: int, wait_ms: int) -> RowPage:
        """Return what changed after a version; raise `ChangesUnavailable`."""
        name = self._rows.table_name(table)
        query = urlencode({"table": name, "after": after, "wait_ms": wait_ms})
        timeout_ms = wait_ms + ANSWER_TIMEOUT_MS
        status, value = await self._call(f"feed-{name}", "GET", names.ROWS_FEED, query, timeout_ms)
        if status == names.STATUS_HISTORY_GONE:
            raise ChangesUnavailable(f"no changes of {name} after {after}")
        self._expect(status)
        return RowPage(list(_rows(value)), int(value["row_version"]), complete=False)

    async def _read_all(self, name: str) -> tuple[list[RowChange], int]:
        """Return all rows of a table and the version as of which they were read."""
        found: list[RowChange] = []
        version, start = 0, ""
        while True:
            fields = {"table": name, "part": "", "limit": PAGE_ROWS}
            if start:
                fields["source"] = start
            status, value = await self._call("read", "GET", names.ROWS_GET, urlencode(fields))
            self._expect(status)
            # The oldest page's version holds for all; what changed since comes by the feed.
            version = version or int(value["row_version"])
            page = list(_rows(value))
            found += page
            if not value.get("has_more") or not page:
                return found, version
            start = page[-1].key + "\0"

    async def read_members(self) -> dict[str, str]:
        """Return the peer address of each noted router."""
        rows, _ = await self._read_all(MEMBER_TABLE)
        return {row.key: row.data.decode("utf-8", "replace") for row in rows if row.data}

    async def write_member(self, node: str, address: str | None) -> None:
        """Note a router's address, or remove the note."""
        row = {"table": MEMBER_TABLE, "part": "", "key": node}
        body: dict[str, Any] = {"expected": [], "write": [], "remove": []}
        if address is None:
            body["remove"].append(row)
        else:
            body["write"].append({**row, "data": b64encode(address.encode()).decode()})
        status, _ = await self._call("write", "POST", names.ROWS_TX, "", body=body)
        self._expect(status)

    @staticmethod
    def _expect(status: int) -> None:
        """Raise an error unless the call was done."""
        if status in names.NO_EFFECT_STATUSES:
            raise StoreUnavailable(f"status {status}")
        if status != 200:
            raise StoreError(f"status {status}")

    async def _call(
        self,
        lane: str,
        method: str,
        path: str,
        query: str,
        timeout_ms: int = ANSWER_TIMEOUT_MS,
        body: dict[str, Any] | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Make one call; calls of one lane share a connection."""
        target = f"{path}?{query}" if query else path
        data = b"" if body is None else json.dumps(body).encode()
        link = self._links.pop(lane, None)
        try:
            with trio.fail_after(timeout_ms / MS_PER_SECOND):
                if link is not None and not link.quiet():
                    link.close()
                    link = None
                if link is None:
                    link = await self._connect()
                await link.send(
                    method.encode(), quote(target, safe="/?&=%-.").encode(), JSON_HEADERS, data
                )
                status, _ = await link.read_head()
            with trio.fail_after(REST_TIMEOUT_MS / MS_PER_SECOND):
                text = await link.read_all(ANSWER_LIMIT_BYTES)
        except (LinkError, trio.TooSlowError) as exc:
            raise StoreAnswerLost(f"{method} {path}: {exc or 'no answer in time'}") from exc
        finally:
            if link is not None:
                if link.reuse():
                    self._links[lane] = link
                else:
                    link.abort()
        try:
            return status, json.loads(text) if text else {}
        except ValueError as exc:
            raise StoreError(f"{method} {path}: not JSON: {exc}") from exc

    async def _connect(self) -> Link:
        """Return a new connection to the store."""
        address = self._address
        stream = await connect(address.host, address.port, CONNECT_TIMEOUT_MS)
        return Link(stream, str(address))


def _rows(value: dict[str, Any]) -> Iterator[RowChange]:
    """Yield the rows of an answer."""
    for row in value.get("rows") or ():
        gone = bool(row.get("deleted"))
        data = None if gone else b64decode(row.get("data") or "")
        yield RowChange(row["key"], int(row["row_version"]), data)
