"""Bound a server's open connections by closing those that have been idle for longest."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from skylarklift.clock import Clock
from skylarklift.entry.requests.caller_connection import CallerConnection
from skylarklift.entry.requests.open_connections import OpenConnections


class IdleConnections:
    """The connections of one server; those that wait for a request can be closed.

    `limit` returns how many may be open, and `on_close` is called for each one closed for it.
    """

    def __init__(self, clock: Clock, limit: Callable[[], int], on_close: Callable[[], None]):
        self._limit = limit
        self._on_close = on_close
        self._connections = OpenConnections(clock, CallerConnection.is_quiet)
        self._scopes: dict[CallerConnection, trio.CancelScope] = {}

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def may_accept(self) -> bool:
        """Return whether to accept another connection now, to serve or to refuse it."""
        return self._connections.may_add(self._limit())

    def admit(self, caller: CallerConnection) -> bool:
        """Add a connection; return whether there is room for it once idle ones are closed."""
        self._connections.add(caller)
        return self.close_excess()

    def close_excess(self) -> bool:
        """Close idle connections above the limit; return whether the rest are within it."""
        while len(self._connections) > self._limit():
            if not self.close_longest_idle():
                return False
        return True

    def remove(self, caller: CallerConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.remove(caller)

    @contextmanager
    def waiting(self, caller: CallerConnection) -> Iterator[None]:
        """Return a block in which a connection waits for a request; closing it ends the block."""
        with trio.CancelScope() as scope:
            self._scopes[caller] = scope
            self._connections.mark_idle(caller)
            try:
                yield
            finally:
                self._connections.mark_busy(caller)
                del self._scopes[caller]

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        caller = self._connections.take_longest_idle()
        if caller is None:
            return False
        self._scopes[caller].cancel()
        self._on_close()
        return True

    def close_idle(self) -> None:
        """Close all connections that wait for a request."""
        for scope in list(self._scopes.values()):
            scope.cancel()
