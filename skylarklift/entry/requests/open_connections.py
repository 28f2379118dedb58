"""Decide which idle connection closes first to make room for others."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from skylarklift.clock import Clock, Millis

MIN_IDLE_MS = 100

ConnT = TypeVar("ConnT", bound=Hashable)


class OpenConnections(Generic[ConnT]):
    """The open connections of one kind, and which of them wait for a request.

    An idle connection is kept for `MIN_IDLE_MS`, in which the request of a new caller arrives.
    `is_quiet` tells of an idle connection whether nothing of a request has arrived.
    """

    def __init__(self, clock: Clock, is_quiet: Callable[[ConnT], bool]):
        self._clock = clock
        self._is_quiet = is_quiet
        self._open: set[ConnT] = set()
        # Since when each is idle; the one that has been so for longest comes first.
        self._idle: dict[ConnT, Millis] = {}

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def add(self, conn: ConnT) -> None:
        """Record a new connection, which is not idle yet."""
        self._open.add(conn)

    def remove(self, conn: ConnT) -> None:
        """Forget a connection that is closed."""
        self._open.discard(conn)
        self._idle.pop(conn, None)

    def mark_idle(self, conn: ConnT) -> None:
        """Record that an open connection waits for a request from now on."""
        if conn in self._open:
            self._idle[conn] = self._clock.now()

    def mark_busy(self, conn: ConnT) -> None:
        """Record that a connection carries a request."""
        self._idle.pop(conn, None)

    def may_add(self, limit: int) -> bool:
        """Return whether to accept another connection now, to serve or to refuse it.

        It is better to wait while all that keeps it out are connections that have just come.
        """
        if len(self._open) < limit or not self._idle:
            return True
        return self._clock.now() - next(iter(self._idle.values())) >= MIN_IDLE_MS

    def take_longest_idle(self) -> ConnT | None:
        """Forget and return the connection to close first, or `None` if none may be closed."""
        latest = self._clock.now() - MIN_IDLE_MS
        for conn, idle_since in self._idle.items():
            if idle_since > latest:
                return None
            if self._is_quiet(conn):
                self.remove(conn)
                return conn
        return None
