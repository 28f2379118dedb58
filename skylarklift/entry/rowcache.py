"""The rows of one table as a router knows them, merged by version from any source."""

from skylarklift.entry.rowset import (
    ChangesUnavailable,
    RowChange,
    RowPage,
    TableComparison,
    TableSummary,
)
from skylarklift.hashing import name_hash


class RowCache:
    """Keep the newest known version of each row, removals included.

    `version` is the newest version up to which every change is known; `floor` the version
    from which on removals are kept, so that a reader behind it must read the table whole;
    `digest` is equal at routers that know of the same rows.
    """

    def __init__(self):
        self.version = 0
        self.history_floor = 0
        self.digest = 0
        self._rows: dict[str, RowChange] = {}

    def merge(self, page: RowPage) -> list[RowChange]:
        """Take in a page; return the rows that changed by it, in order of version."""
        changed = [row for row in page.rows if self._is_newer(row, page)]
        if page.complete:
            named = {row.key for row in page.rows}
            changed += [
                RowChange(key, page.version, None)
                for key, row in self._rows.items()
                if key not in named and row.data is not None and row.version < page.version
            ]
            self.history_floor = max(self.history_floor, page.version)
        for row in changed:
            if self._exists(row.key) != (row.data is not None):
                self.digest ^= name_hash(row.key)
            self._rows[row.key] = row
        self.version = max(self.version, page.version)
        changed.sort(key=lambda row: row.version)
        return changed

    def _is_newer(self, row: RowChange, page: RowPage) -> bool:
        """Tell whether a row is newer than what is known.

        A row that is not known here, of a page that is older than this cache, was removed
        since the page was made.
        """
        known = self._rows.get(row.key)
        if known is None:
            return page.version >= self.version
        return row.version > known.version

    def _exists(self, key: str) -> bool:
        """Tell whether a row exists."""
        known = self._rows.get(key)
        return known is not None and known.data is not None

    def compare(self, summary: TableSummary) -> TableComparison:
        """Return what another router's news mean here."""
        if not summary.version:
            return TableComparison.NOTHING_NEW
        if not self.version or self.version < summary.last_change_version:
            return TableComparison.CHANGES_MISSING
        if summary.version < self.version:
            return TableComparison.NOTHING_NEW
        return (
            TableComparison.SAME if summary.digest == self.digest else TableComparison.ROWS_DIFFER
        )

    def all_rows(self) -> RowPage:
        """Return all rows that exist."""
        rows = [row for row in self._rows.values() if row.data is not None]
        return RowPage(rows, self.version, complete=True)

    def changes_since(self, after: int) -> RowPage:
        """Return what changed after a version; raise `HistoryLost` where that is not known."""
        if after < self.history_floor:
            raise ChangesUnavailable(f"changes are known from version {self.history_floor} on")
        rows = [row for row in self._rows.values() if row.version > after]
        rows.sort(key=lambda row: row.version)
        return RowPage(rows, self.version, complete=False)

    def prune_tombstones(self, keep: int) -> None:
        """Drop the oldest removals beyond the newest `keep` ones."""
        removed = sorted(
            (row for row in self._rows.values() if row.data is None), key=lambda row: row.version
        )
        for row in removed[: max(0, len(removed) - keep)]:
            self.history_floor = max(self.history_floor, row.version)
            del self._rows[row.key]
