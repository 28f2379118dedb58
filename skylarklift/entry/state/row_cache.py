"""A router's copy of one table, merged by row version from any source."""

from skylarklift.entry.state.rows import (
    NO_ERA,
    ChangesUnavailable,
    RowChange,
    RowPage,
    TableComparison,
    TableSummary,
)
from skylarklift.hashing import name_hash


class RowCache:
    """The newest known version of each row, with tombstones for removed rows.

    `version` is the newest version up to which every change is known.  Tombstones of versions
    after `history_floor` are kept; a router whose copy is older must read the whole table.
    `digest` is equal at routers that know the same existing rows.  All versions are of the same
    `era`.
    """

    def __init__(self):
        self.era = NO_ERA
        self.version = 0
        self.history_floor = 0
        self.digest = 0
        # The rows that were not applied since they were older than the known ones.
        self.older_rows = 0
        self._rows: dict[str, RowChange] = {}

    def merge(self, page: RowPage) -> list[RowChange]:
        """Merge a page and return the rows that it changed, in order of version.

        Rows that are missing from a complete page become tombstones.  A page of an older era
        changes nothing; one of a newer era replaces all rows, and must be complete.
        """
        if page.era != self.era:
            return self._replace(page) if page.era > self.era and page.complete else []
        changed = [row for row in page.rows if self._is_newer(row, page)]
        self.older_rows += sum(
            row.version < self._rows[row.key].version for row in page.rows if row.key in self._rows
        )
        if page.complete:
            page_keys = {row.key for row in page.rows}
            changed += [
                RowChange(key, page.version, None)
                for key, row in self._rows.items()
                if key not in page_keys and row.data is not None and row.version < page.version
            ]
            self.history_floor = max(self.history_floor, page.version)
        for row in changed:
            if self._exists(row.key) != (row.data is not None):
                self.digest ^= name_hash(row.key)
            self._rows[row.key] = row
        self.version = max(self.version, page.version)
        changed.sort(key=lambda row: row.version)
        return changed

    def _replace(self, page: RowPage) -> list[RowChange]:
        """Take all rows from the first page of a newer era; return those that differ."""
        before = self._rows
        self._rows = {row.key: row for row in page.rows}
        changed = [
            row for row in page.rows if row.key not in before or before[row.key].data != row.data
        ]
        for key, row in before.items():
            if key not in self._rows and row.data is not None:
                tombstone = self._rows[key] = RowChange(key, page.version, None)
                changed.append(tombstone)
        self.digest = 0
        for row in page.rows:
            self.digest ^= name_hash(row.key)
        self.era, self.version, self.history_floor = page.era, page.version, page.version
        changed.sort(key=lambda row: row.version)
        return changed

    def _is_newer(self, row: RowChange, page: RowPage) -> bool:
        """Return whether a row is newer than the known one.

        If the row is unknown and the page is older than this cache, the row was removed after
        the page was made, and no tombstone of it is kept here.
        """
        known = self._rows.get(row.key)
        if known is None:
            return page.version >= self.version
        return row.version > known.version

    def _exists(self, key: str) -> bool:
        """Return whether a row is known and not removed."""
        known = self._rows.get(key)
        return known is not None and known.data is not None

    def compare(self, summary: TableSummary) -> TableComparison:
        """Compare another router's summary of the table with this copy."""
        if not summary.version or summary.era < self.era:
            return TableComparison.NOTHING_NEW
        if summary.era > self.era:
            return TableComparison.ROWS_DIFFER
        if not self.version or self.version < summary.last_change_version:
            return TableComparison.CHANGES_MISSING
        if summary.version < self.version:
            return TableComparison.NOTHING_NEW
        return (
            TableComparison.SAME if summary.digest == self.digest else TableComparison.ROWS_DIFFER
        )

    def all_rows(self) -> RowPage:
        """Return a complete page of the rows that exist."""
        rows = [row for row in self._rows.values() if row.data is not None]
        return RowPage(rows, self.version, complete=True, era=self.era)

    def changes_since(self, after: int) -> RowPage:
        """Return the rows changed after a version; raise `ChangesUnavailable`."""
        if after < self.history_floor:
            raise ChangesUnavailable(
                f"changes after version {after} are incomplete: kept from {self.history_floor} on"
            )
        rows = [row for row in self._rows.values() if row.version > after]
        rows.sort(key=lambda row: row.version)
        return RowPage(rows, self.version, complete=False, era=self.era)

    def prune_tombstones(self, keep: int) -> None:
        """Drop all tombstones but the newest `keep` ones."""
        removed = sorted(
            (row for row in self._rows.values() if row.data is None), key=lambda row: row.version
        )
        for row in removed[: max(0, len(removed) - keep)]:
            self.history_floor = max(self.history_floor, row.version)
            del self._rows[row.key]
