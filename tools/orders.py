"""Search every order of a few events for the decisions of the entry router.

The decisions themselves run (`RowCache`, `Attempts`, `ColdRequestLimit`), not a copy of them; each
system below adds what surrounds them: a store, messages under way, time.  States that look
alike are searched once.
"""

import argparse
import sys
import time
from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field

from skylarklift.clock import ManualClock
from skylarklift.entry.fleet_limits import ColdRequestLimit
from skylarklift.entry.follower import ALL_ROWS
from skylarklift.entry.model import Bounds, Route, RouteKind
from skylarklift.entry.retry_state import Outcome, RetryState
from skylarklift.entry.row_cache import RowCache
from skylarklift.entry.rows import (
    ChangesUnavailable,
    RowChange,
    RowPage,
    TableComparison,
    TableSummary,
)


class System(ABC):
    """What is searched: a state, the events that may come next, and what must hold."""

    @abstractmethod
    def events(self) -> Iterator[str]:
        """Yield the events that may come next."""

    @abstractmethod
    def happen(self, event: str) -> None:
        """Let an event happen."""

    @abstractmethod
    def key(self) -> Hashable:
        """Return what makes two states alike."""

    @abstractmethod
    def broken(self) -> str:
        """Return the promise that is broken, or nothing."""


def search(start: System, depth: int) -> list[str] | None:
    """Return the shortest order of events that breaks a promise, or `None`."""
    seen = {start.key()}
    states: list[tuple[System, list[str]]] = [(start, [])]
    for _ in range(depth):
        following = []
        for state, path in states:
            for event in state.events():
                after = deepcopy(state)
                after.happen(event)
                steps = [*path, event]
                text = after.broken()
                if text:
                    return [*steps, text]
                if after.key() not in seen:
                    seen.add(after.key())
                    following.append((after, steps))
        states = following
    return None


# Rows.

KEYS = ("a", "b")


@dataclass
class RowsSystem(System):
    """A store of two rows and two routers that read it and each other, late and out of order."""

    rows: dict[str, RowChange] = field(default_factory=dict)
    version: int = 0
    caches: list[RowCache] = field(default_factory=lambda: [RowCache(), RowCache()])
    material: list[int] = field(default_factory=lambda: [0, 0])
    under_way: list[tuple[int, RowPage]] = field(default_factory=list)
    before: list[dict[str, int]] = field(default_factory=lambda: [{}, {}])
    fault: str = ""

    def events(self) -> Iterator[str]:
        """Yield the events that may come next."""
        for key in KEYS:
            yield f"write {key}"
            if key in self.rows and self.rows[key].data is not None:
                yield f"remove {key}"
        for reader in (0, 1):
            yield f"read {reader}"
            yield f"forget {reader}"
            if len(self.under_way) < 2:
                yield f"hear {reader}"
        for index in range(len(self.under_way)):
            yield f"arrive {index}"
            yield f"lose {index}"

    def happen(self, event: str) -> None:
        """Let an event happen."""
        name, subject = event.split()
        if name in ("write", "remove"):
            self.version += 1
            data = b"x" if name == "write" else None
            self.rows[subject] = RowChange(subject, self.version, data)
        elif name == "read":
            self._take(int(subject), self._from_store(self.caches[int(subject)].version))
        elif name == "forget":
            self.caches[int(subject)].prune_tombstones(0)
        elif name == "hear":
            self._hear(int(subject))
        else:
            reader, page = self.under_way.pop(int(subject))
            if name == "arrive":
                self._take(reader, page)

    def _from_store(self, after: int) -> RowPage:
        """Return what the store answers to a reader."""
        if not after:
            rows = [row for row in self.rows.values() if row.data is not None]
            return RowPage(rows, self.version, complete=True)
        rows = [row for row in self.rows.values() if row.version > after]
        return RowPage(rows, self.version, complete=False)

    def _hear(self, reader: int) -> None:
        """Let a router hear the other one's news, and ask it for rows where it lacks some."""
        cache, other = self.caches[reader], self.caches[1 - reader]
        heard = cache.compare(
            TableSummary(other.version, self.material[1 - reader], other.digest, 0)
        )
        if heard is TableComparison.SAME:
            cache.version = max(cache.version, other.version)
            if _existing(cache) != _existing(other):
                self.fault = f"router {reader} took itself for as new and is not"
        elif heard is not TableComparison.NOTHING_NEW:
            after = ALL_ROWS if heard is TableComparison.ROWS_DIFFER else cache.version
            self.under_way.append((reader, self._from_peer(other, after)))

    @staticmethod
    def _from_peer(cache: RowCache, after: int) -> RowPage:
        """Return what a router answers to one that asks."""
        try:
            return cache.changes_since(after)
        except ChangesUnavailable:
            return cache.all_rows()

    def _take(self, reader: int, page: RowPage) -> None:
        """Let a router take rows; note what it took that is older than what it had."""
        cache, before = self.caches[reader], self.before[reader]
        known, existing = cache.version, _existing(cache)
        for row in cache.merge(page):
            if (row.key in existing) != (row.data is not None):
                self.material[reader] = max(self.material[reader], row.version)
            if row.version < before.get(row.key, 0):
                self.fault = f"router {reader} took an older version of {row.key}"
            elif row.data is not None and page.version < known and row.key not in before:
                self.fault = f"router {reader} took {row.key} that it knew to be gone"
            before[row.key] = max(row.version, before.get(row.key, 0))

    def key(self) -> Hashable:
        """Return what makes two states alike."""
        return (
            self.version,
            tuple(sorted((k, r.version, r.data) for k, r in self.rows.items())),
            tuple(_cache_key(cache) for cache in self.caches),
            tuple(self.material),
            tuple((reader, page.version, page.complete) for reader, page in self.under_way),
            tuple(tuple(sorted(item.items())) for item in self.before),
        )

    def broken(self) -> str:
        """Return the promise that is broken, or nothing."""
        if self.fault:
            return self.fault
        for cache in self.caches:
            held = {row.key: row for row in cache.all_rows().rows}
            for key, row in self.rows.items():
                gone = row.data is None and row.version <= cache.version
                if gone and key in held:
                    return f"{key} is back after its removal"
        return ""


def _existing(cache: RowCache) -> set[str]:
    """Return the rows that a router knows to exist."""
    return {row.key for row in cache.all_rows().rows}


def _cache_key(cache: RowCache) -> Hashable:
    """Return what a router knows."""
    rows = sorted((row.key, row.version) for row in cache.all_rows().rows)
    return (cache.version, cache.history_floor, tuple(rows))


# Sends of one request.

RUNS = {
    Outcome.ANSWERED: True,
    Outcome.FAILED: True,
    Outcome.BROKEN: True,
    Outcome.SILENT: True,
    Outcome.NOT_RUN: False,
    Outcome.NOT_SENT: False,
}


@dataclass
class SendsSystem(System):
    """One request that upstreams answer, refuse, fail or lose, until it is given up."""

    attempts: RetryState
    runs: int = 0
    over: bool = False
    told_not_run: bool = False

    def events(self) -> Iterator[str]:
        """Yield the events that may come next."""
        if not self.over:
            yield from (outcome.name for outcome in Outcome)
            yield "part of the answer, then BROKEN"

    def happen(self, event: str) -> None:
        """Let an event happen."""
        partly = event.startswith("part")
        outcome = Outcome.BROKEN if partly else Outcome[event]
        self.runs += RUNS[outcome]
        if outcome is Outcome.ANSWERED:
            self.over = True
            return
        self.attempts.forwarded = self.attempts.forwarded or partly
        self.attempts.record(outcome)
        if not self.attempts.may_retry(outcome):
            self.over = True
            self.told_not_run = self.attempts.cannot_have_run

    def key(self) -> Hashable:
        """Return what makes two states alike."""
        attempts = self.attempts
        return (attempts.attempts, attempts.possible_runs, attempts.forwarded, self.runs, self.over)

    def broken(self) -> str:
        """Return the promise that is broken, or nothing."""
        route = self.attempts.route
        once = route.kind is RouteKind.NON_IDEMPOTENT or (
            route.kind is RouteKind.STREAM and not route.resumable
        )
        if once and self.runs > 1:
            return "a request that must run once ran again"
        if self.runs > route.max_runs:
            return "more runs than the route allows"
        if self.told_not_run and self.runs:
            return "told as not run, though it ran"
        return ""


# A cold replica.

ROUTERS = 3
LIMIT = 2
STEP_MS = 250


@dataclass
class ColdSystem(System):
    """Three routers before a cold replica that bears two requests a second."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(10_000))
    shares: list[ColdRequestLimit] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)

    def __post_init__(self):
        bounds = Bounds(cold_overshoot=1.0, cold_tolerance=0)
        self.shares = [ColdRequestLimit(self.clock, bounds) for _ in range(ROUTERS)]

    def events(self) -> Iterator[str]:
        """Yield the events that may come next."""
        yield "time passes"
        for rank in range(ROUTERS):
            if self.shares[rank].allows("r0", LIMIT, ROUTERS, rank):
                yield f"send {rank}"

    def happen(self, event: str) -> None:
        """Let an event happen."""
        if event == "time passes":
            self.clock.advance(STEP_MS)
            return
        self.shares[int(event.split()[1])].record_request("r0")
        self.sent.append(self.clock.now())

    def key(self) -> Hashable:
        """Return what makes two states alike."""
        now = self.clock.now()
        ages = [
            tuple(now - moment for moment in share._sent.get("r0", ())) for share in self.shares
        ]
        return (tuple(ages), tuple(now - moment for moment in self.sent[-LIMIT:]))

    def broken(self) -> str:
        """Return the promise that is broken, or nothing."""
        last = [moment for moment in self.sent if moment > self.clock.now() - 1000]
        return f"{len(last)} requests within a second" if len(last) > LIMIT else ""


def one_request(kind: RouteKind, *, resumable: bool = False) -> SendsSystem:
    """Return a request on a route that allows two runs."""
    route = Route("r", "h", "/", kind, (), 5000, 500, 1, 2, False, False, resumable)
    return SendsSystem(RetryState(route))


SYSTEMS = {
    "rows": RowsSystem,
    "an idempotent request": lambda: one_request(RouteKind.IDEMPOTENT),
    "a request to run once": lambda: one_request(RouteKind.NON_IDEMPOTENT),
    "a stream to resume": lambda: one_request(RouteKind.STREAM, resumable=True),
    "a stream to run once": lambda: one_request(RouteKind.STREAM),
    "a cold replica": ColdSystem,
}


def main() -> int:
    """Search all systems; the exit code tells whether one can break."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=7)
    options = parser.parse_args()
    bad = 0
    for name, make in SYSTEMS.items():
        began = time.monotonic()
        found = search(make(), options.depth)
        bad += found is not None
        text = "holds" if found is None else f"BROKEN by {found}"
        print(f"{name}: {text}, {time.monotonic() - began:.0f} s", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
