"""Decide from which other routers rows are fetched at the same time."""

from skylarklift.clock import Clock, Millis
from skylarklift.entry.state.rows import RowTable

# A fetch that has not ended by then is joined by one from another router: the first one may not be
# reachable, though its messages arrive.
HEDGE_DELAY_MS = 200
MAX_FETCHES = 3
# A router that has waited for rows for this long reads them from the store itself.
MAX_UNANSWERED_MS = 400


class RowFetches:
    """The fetches of each table in progress, by router."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started: dict[RowTable, dict[str, Millis]] = {table: {} for table in RowTable}

    def start(self, table: RowTable, node: str) -> bool:
        """Record a fetch from a router; return false if none is to be started now."""
        running, now = self._started[table], self._clock.now()
        if node in running or len(running) >= MAX_FETCHES:
            return False
        if running and now - max(running.values()) < HEDGE_DELAY_MS:
            return False
        running[node] = now
        return True

    def is_unanswered(self, table: RowTable) -> bool:
        """Return whether a fetch has run for so long that its router may not be reachable."""
        now = self._clock.now()
        return any(now - at >= MAX_UNANSWERED_MS for at in self._started[table].values())

    def end(self, table: RowTable, node: str) -> None:
        """Record that a fetch has ended."""
        self._started[table].pop(node, None)
