"""Systems of routers that read rows from a store and from each other, for the search of orders."""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from skylarklift.entry.state.follower import ALL_ROWS
from skylarklift.entry.state.row_cache import RowCache
from skylarklift.entry.state.rows import (
    NO_ERA,
    ChangesUnavailable,
    Era,
    RowChange,
    RowPage,
    TableComparison,
    TableSummary,
)
from tools.order_search import System

KEYS = ("a", "b")


@dataclass
class RowsSystem(System):
    """Two routers that read two rows from a store and from each other, late and out of order."""

    rows: dict[str, RowChange] = field(default_factory=dict)
    version: int = 0
    caches: list[RowCache] = field(default_factory=lambda: [RowCache(), RowCache()])
    last_change_versions: list[int] = field(default_factory=lambda: [0, 0])
    in_transit: list[tuple[int, RowPage]] = field(default_factory=list)
    applied_versions: list[dict[str, int]] = field(default_factory=lambda: [{}, {}])
    recorded_violation: str = ""
    era: Era = NO_ERA

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        for key in KEYS:
            yield f"write {key}"
            if key in self.rows and self.rows[key].data is not None:
                yield f"remove {key}"
        for reader in (0, 1):
            yield f"read {reader}"
            yield f"prune {reader}"
            if len(self.in_transit) < 2:
                yield f"summary {reader}"
        for index in range(len(self.in_transit)):
            yield f"deliver {index}"
            yield f"drop {index}"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        name, subject = event.split()
        if name in ("write", "remove"):
            self.version += 1
            data = b"x" if name == "write" else None
            self.rows[subject] = RowChange(subject, self.version, data)
        elif name == "read":
            self._apply_page(int(subject), self._store_page(self.caches[int(subject)].version))
        elif name == "prune":
            self.caches[int(subject)].prune_tombstones(0)
        elif name == "summary":
            self._receive_summary(int(subject))
        else:
            reader, page = self.in_transit.pop(int(subject))
            if name == "deliver":
                self._apply_page(reader, page)

    def _store_page(self, after: int) -> RowPage:
        """Return the page that the store sends to a reader."""
        if not after:
            rows = [row for row in self.rows.values() if row.data is not None]
            return RowPage(rows, self.version, complete=True, era=self.era)
        rows = [row for row in self.rows.values() if row.version > after]
        return RowPage(rows, self.version, complete=False, era=self.era)

    def _receive_summary(self, reader: int) -> None:
        """Let a router receive the other's table summary, and request the rows that it lacks."""
        cache, other = self.caches[reader], self.caches[1 - reader]
        comparison = cache.compare(
            TableSummary(
                other.version, self.last_change_versions[1 - reader], other.digest, 0, other.era
            )
        )
        if comparison is TableComparison.SAME:
            if other.era == cache.era:
                cache.version = max(cache.version, other.version)
            if _existing_keys(cache) != _existing_keys(other):
                self.recorded_violation = f"router {reader} compared as the same but has other rows"
        elif comparison is not TableComparison.NOTHING_NEW:
            after = ALL_ROWS if comparison is TableComparison.ROWS_DIFFER else cache.version
            self.in_transit.append((reader, self._peer_page(other, after)))

    @staticmethod
    def _peer_page(cache: RowCache, after: int) -> RowPage:
        """Return the page that a router sends to another one."""
        try:
            return cache.changes_since(after)
        except ChangesUnavailable:
            return cache.all_rows()

    def _apply_page(self, reader: int, page: RowPage) -> None:
        """Let a router merge a page; record a violation if it accepts an outdated row."""
        cache, applied = self.caches[reader], self.applied_versions[reader]
        # A version of another era says nothing of a page.
        known_version = cache.version if page.era == cache.era else 0
        existing = _existing_keys(cache)
        for row in cache.merge(page):
            if (row.key in existing) != (row.data is not None):
                self.last_change_versions[reader] = max(
                    self.last_change_versions[reader], row.version
                )
            if row.version < applied.get(row.key, 0):
                self.recorded_violation = f"router {reader} applied an older version of {row.key}"
            elif row.data is not None and page.version < known_version and row.key not in applied:
                self.recorded_violation = (
                    f"router {reader} applied {row.key}, which it knew to be removed"
                )
            applied[row.key] = max(row.version, applied.get(row.key, 0))

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        return (
            self.version,
            tuple(sorted((k, r.version, r.data) for k, r in self.rows.items())),
            tuple(_cache_key(cache) for cache in self.caches),
            tuple(self.last_change_versions),
            tuple((reader, page.version, page.complete) for reader, page in self.in_transit),
            tuple(tuple(sorted(item.items())) for item in self.applied_versions),
        )

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        if self.recorded_violation:
            return self.recorded_violation
        for cache in self.caches:
            held = {row.key: row for row in cache.all_rows().rows}
            for key, row in self.rows.items():
                removed = row.data is None and row.version <= cache.version
                if removed and key in held:
                    return f"{key} exists again after its removal"
        return ""


def _existing_keys(cache: RowCache) -> set[str]:
    """Return the keys of the rows that exist in a cache."""
    return {row.key for row in cache.all_rows().rows}


def _cache_key(cache: RowCache) -> Hashable:
    """Return a key of a cache's contents."""
    rows = sorted((row.key, row.version) for row in cache.all_rows().rows)
    return (cache.version, cache.history_floor, tuple(rows))


@dataclass
class RestoredRowsSystem(RowsSystem):
    """The same with one row and a store that may be restored, once, from an earlier copy."""

    copies: list[tuple[dict[str, RowChange], int]] = field(default_factory=list)
    cached_eras: list[Era] = field(default_factory=lambda: [NO_ERA, NO_ERA])

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        yield from (event for event in super().events() if event not in ("write b", "remove b"))
        if not self.copies:
            yield "copy store"
        elif not self.era:
            yield "restore store"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        if event == "copy store":
            self.copies.append((dict(self.rows), self.version))
        elif event == "restore store":
            rows, self.version = self.copies[0]
            self.rows = dict(rows)
            self.era = Era(self.era + 1)
        else:
            super().apply_event(event)
        for reader, cache in enumerate(self.caches):
            if cache.era < self.cached_eras[reader]:
                self.recorded_violation = f"router {reader} went back to era {cache.era}"
            self.cached_eras[reader] = cache.era

    def _store_page(self, after: int) -> RowPage:
        """Return the page that the store sends to a reader, which asks within its own era."""
        known = any(cache.version == after and cache.era == self.era for cache in self.caches)
        return super()._store_page(after if known else 0)

    def _apply_page(self, reader: int, page: RowPage) -> None:
        """Let a router merge a page; record a violation if it accepts a row of an older era."""
        cache = self.caches[reader]
        if page.era > cache.era:
            # Versions start anew.
            self.applied_versions[reader] = {}
            self.last_change_versions[reader] = page.version
        before = cache.era
        held = {row.key: row for row in cache.all_rows().rows}
        super()._apply_page(reader, page)
        if page.era < before and held != {row.key: row for row in cache.all_rows().rows}:
            self.recorded_violation = f"router {reader} applied a page of an older era"

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        copies = tuple(
            (version, tuple(sorted((key, row.version, row.data) for key, row in rows.items())))
            for rows, version in self.copies
        )
        eras = (self.era, *(cache.era for cache in self.caches))
        pages = tuple(page.era for _, page in self.in_transit)
        return (super().state_key(), copies, eras, pages)

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        if self.recorded_violation:
            return self.recorded_violation
        for cache in self.caches:
            if cache.era != self.era:
                continue
            held = {row.key for row in cache.all_rows().rows}
            for key, row in self.rows.items():
                if row.data is None and row.version <= cache.version and key in held:
                    return f"{key} exists again after its removal"
                if row.data is not None and row.version <= cache.version and key not in held:
                    return f"{key} is missing"
        return ""
