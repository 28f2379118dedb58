"""Open the connection of an attempt, if wanted only one to the process that an entry describes."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.model import ProcessStart
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.requests.process_identity import (
    Identity,
    compare_start,
    identify,
    record_identity,
)
from skylarklift.entry.state.upstream import Upstream
from skylarklift.errors import LocalShortage, ProcessReplaced

SHORTAGE_PAUSE_MS = 50


class AttemptConnection:
    """The way to a connection to one upstream.

    `recently_used` and `new` say which connections of the pool may be taken, as in `acquire`.
    `identity` is whether the process behind the connection is that of the upstream's entry, `None`
    if it was not checked.
    """

    def __init__(self, core: Core, upstream: Upstream, *, recently_used: bool, new: bool):
        self._core = core
        self._upstream = upstream
        self._record = upstream.record
        self._recently_used = recently_used
        self._new = new
        self.identity: Identity | None = None

    async def open(self) -> HttpConnection:
        """Return a connection to whatever process serves there; raise `ConnectFailed`."""
        return await self._acquire(new=self._new)

    async def open_checked(self) -> HttpConnection:
        """Return a connection to the process of the entry; raise `TransportError`.

        A process that does not say when it started is taken for it.
        """
        conn = await self._acquire(new=self._new)
        try:
            conn, self.identity = await self._identify(conn)
        except BaseException:
            conn.abort()
            raise
        record_identity(self._core, self._upstream, self.identity)
        if self.identity in (Identity.OTHER, Identity.UNANSWERED):
            conn.abort()
            text = f"{self._record.replica} may have restarted: {self.identity.value}"
            raise ProcessReplaced(text)
        return conn

    async def _acquire(self, *, new: bool) -> HttpConnection:
        """Return a connection of the pool or a new one; raise `ConnectFailed`."""
        core = self._core
        try:
            return await core.connection_pool.acquire(
                self._record, recently_used=self._recently_used, new=new
            )
        except LocalShortage:
            core.descriptors_short.set()
            # Another attempt is of use once a descriptor is free.
            await trio.sleep(SHORTAGE_PAUSE_MS / MS_PER_SECOND)
            raise

    async def _identify(self, conn: HttpConnection) -> tuple[HttpConnection, Identity]:
        """Return a connection that can carry the request, and whose process it is to."""
        if conn.reused:
            known = await self._identify_used(conn)
            if known in (Identity.SAME, Identity.UNKNOWN):
                return conn, known
            conn.abort()
            conn = await self._acquire(new=True)
        identity = await identify(self._core, self._upstream, conn)
        if identity in (Identity.OTHER, Identity.UNANSWERED) or conn.prepare_next_request():
            return conn, identity
        # It closes the connection after its answer; on the next one it may be another process.
        conn.abort()
        return await self._acquire(new=True), Identity.UNKNOWN

    async def _identify_used(self, conn: HttpConnection) -> Identity:
        """Return whose process a used connection is to; it can carry the request if known.

        What comes on it may answer an earlier request, so only one answer counts.
        """
        if conn.process is None and self._upstream.is_connected_to_process(conn.connected_at):
            conn.process = ProcessStart(self._record.started_ms)
        if conn.process is not None:
            return compare_start(self._record, conn.process)
        identity = await identify(self._core, self._upstream, conn)
        is_usable = identity is Identity.SAME and conn.prepare_next_request()
        return Identity.SAME if is_usable else Identity.UNANSWERED
