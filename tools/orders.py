"""Search every order of a few events for violated invariants of the entry router.

The search runs the router's own classes (`RowCache`, `RetryState`, `RateLimits`, ...), not a
model of them.  Each system below adds their environment: a store, messages in transit, time.
Each distinct state is searched once.
"""

import argparse
import sys
import time
from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field

from skylarklift.clock import ManualClock
from skylarklift.entry.fleet_limits import ColdRequestLimit, FleetShare
from skylarklift.entry.follower import ALL_ROWS
from skylarklift.entry.model import Bounds, Route, RouteKind
from skylarklift.entry.rate_limits import LimitReport, RateLimits
from skylarklift.entry.retry_state import Outcome, RetryState
from skylarklift.entry.row_cache import RowCache
from skylarklift.entry.rows import (
    NO_ERA,
    ChangesUnavailable,
    Era,
    RowChange,
    RowPage,
    TableComparison,
    TableSummary,
)


class System(ABC):
    """A state to search, with the events possible in it and its invariants."""

    @abstractmethod
    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""

    @abstractmethod
    def apply_event(self, event: str) -> None:
        """Change the state by one event."""

    @abstractmethod
    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""

    @abstractmethod
    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""


def search(start: System, depth: int) -> list[str] | None:
    """Return the shortest order of events that violates an invariant, or `None`."""
    seen = {start.state_key()}
    states: list[tuple[System, list[str]]] = [(start, [])]
    for _ in range(depth):
        next_states = []
        for state, path in states:
            for event in state.events():
                next_state = deepcopy(state)
                next_state.apply_event(event)
                steps = [*path, event]
                text = next_state.violation()
                if text:
                    return [*steps, text]
                if next_state.state_key() not in seen:
                    seen.add(next_state.state_key())
                    next_states.append((next_state, steps))
        states = next_states
    return None


# Rows.

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


# Attempts of one request.

# Whether the request counts as run after each outcome; true if it may have run.
RUNS_BY_OUTCOME = {
    Outcome.ANSWERED: True,
    Outcome.FAILED: True,
    Outcome.BROKEN: True,
    Outcome.SILENT: True,
    Outcome.NOT_RUN: False,
    Outcome.NOT_SENT: False,
}


@dataclass
class RequestSystem(System):
    """A request whose attempts end in any outcome, until one succeeds or no retry is allowed."""

    attempts: RetryState
    runs: int = 0
    finished: bool = False
    reported_not_run: bool = False

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        if not self.finished:
            yield from (outcome.name for outcome in Outcome)
            yield "part of the response, then BROKEN"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        partly = event.startswith("part")
        outcome = Outcome.BROKEN if partly else Outcome[event]
        self.runs += RUNS_BY_OUTCOME[outcome]
        if outcome is Outcome.ANSWERED:
            self.finished = True
            return
        self.attempts.forwarded = self.attempts.forwarded or partly
        self.attempts.record(outcome)
        if not self.attempts.may_retry(outcome):
            self.finished = True
            self.reported_not_run = self.attempts.cannot_have_run

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        attempts = self.attempts
        return (
            attempts.attempts,
            attempts.possible_runs,
            attempts.forwarded,
            self.runs,
            self.finished,
        )

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        route = self.attempts.route
        must_run_once = route.kind is RouteKind.NON_IDEMPOTENT or (
            route.kind is RouteKind.STREAM and not route.resumable
        )
        if must_run_once and self.runs > 1:
            return "a request that must run at most once ran again"
        if self.runs > route.max_runs:
            return "more runs than the route allows"
        if self.reported_not_run and self.runs:
            return "reported as not run, but it ran"
        return ""


# Rows of a store that is restored from a copy.


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


# A replica that names a limit.

NAMED_PER_S = 0.25
NAMED_STEP_MS = 2000
NAMED_WINDOW_MS = 4000
MOST_IN_WINDOW = 1.5 * NAMED_PER_S * NAMED_WINDOW_MS / 1000 + 5


@dataclass
class NamedLimitSystem(System):
    """Two routers and a replica that names a limit of a request in four seconds."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(100_000))
    limits: list[RateLimits] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)

    def __post_init__(self):
        self.limits = [RateLimits(self.clock) for _ in range(2)]

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        yield "time passes"
        for rank, limits in enumerate(self.limits):
            yield f"name {rank}"
            yield f"restart {rank}"
            if self.limits[1 - rank].reports():
                yield f"tell {rank}"
            if limits.is_limited("r0"):
                yield f"lift {rank}"
                if limits.allows("r0", FleetShare(2, rank)):
                    yield f"send {rank}"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        if event == "time passes":
            self.clock.advance(NAMED_STEP_MS)
            return
        name, number = event.split()
        limits = self.limits[int(number)]
        match name:
            case "name":
                limits.record_named("r0", NAMED_PER_S)
            case "lift":
                limits.record_lifted("r0", self.clock.now())
            case "tell":
                for report in self.limits[1 - int(number)].reports():
                    limits.apply_report(LimitReport(report.replica, report.per_second, 100))
            case "restart":
                self.limits[int(number)] = RateLimits(self.clock)
            case "send":
                limits.record_request("r0")
                self.sent_at.append(self.clock.now())

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        now = self.clock.now()
        known = tuple(
            tuple(
                (item.per_second, now - item.observed_at, now - item.filled_at, item.tokens)
                for item in limits._limits.values()
            )
            for limits in self.limits
        )
        return (known, tuple(now - moment for moment in self.sent_at))

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        recent = [moment for moment in self.sent_at if moment > self.clock.now() - NAMED_WINDOW_MS]
        return f"{len(recent)} requests in 4 s" if len(recent) > MOST_IN_WINDOW else ""


# A cold replica.

ROUTERS = 3
LIMIT_PER_S = 2
STEP_MS = 250


@dataclass
class ColdReplicaSystem(System):
    """Three routers and a cold replica that accepts two requests a second."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(10_000))
    limits: list[ColdRequestLimit] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)

    def __post_init__(self):
        bounds = Bounds(cold_overshoot=1.0, cold_tolerance=0)
        self.limits = [ColdRequestLimit(self.clock, bounds) for _ in range(ROUTERS)]

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        yield "time passes"
        for rank in range(ROUTERS):
            if self.limits[rank].allows("r0", LIMIT_PER_S, FleetShare(ROUTERS, rank)):
                yield f"send {rank}"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        if event == "time passes":
            self.clock.advance(STEP_MS)
            return
        self.limits[int(event.split()[1])].record_request("r0")
        self.sent_at.append(self.clock.now())

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        now = self.clock.now()
        ages = [
            tuple(now - moment for moment in limit._sent.get("r0", ())) for limit in self.limits
        ]
        return (tuple(ages), tuple(now - moment for moment in self.sent_at[-LIMIT_PER_S:]))

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        recent = [moment for moment in self.sent_at if moment > self.clock.now() - 1000]
        return f"{len(recent)} requests within a second" if len(recent) > LIMIT_PER_S else ""


def make_request_system(kind: RouteKind, *, resumable: bool = False) -> RequestSystem:
    """Return a request on a route that allows two runs."""
    route = Route("r", "h", "/", kind, (), 5000, 500, 1, 2, False, False, resumable)
    return RequestSystem(RetryState(route))


SYSTEMS = {
    "rows": RowsSystem,
    "rows of a restored store": RestoredRowsSystem,
    "a named limit": NamedLimitSystem,
    "an idempotent request": lambda: make_request_system(RouteKind.IDEMPOTENT),
    "a non-idempotent request": lambda: make_request_system(RouteKind.NON_IDEMPOTENT),
    "a resumable stream": lambda: make_request_system(RouteKind.STREAM, resumable=True),
    "a non-resumable stream": lambda: make_request_system(RouteKind.STREAM),
    "a cold replica": ColdReplicaSystem,
}


def main() -> int:
    """Search all systems; return 1 if an invariant is violated."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=7)
    options = parser.parse_args()
    violations = 0
    for name, make in SYSTEMS.items():
        began = time.monotonic()
        found = search(make(), options.depth)
        violations += found is not None
        text = "holds" if found is None else f"VIOLATED by {found}"
        print(f"{name}: {text}, {time.monotonic() - began:.0f} s", flush=True)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
