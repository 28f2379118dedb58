"""Open the connection of an attempt, if wanted only one to the process that an entry describes."""

from enum import Enum

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.model import ProcessStart
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.requests.process_identity import (
    ANSWER_TIMEOUT_MS,
    Identity,
    compare_start,
    identify,
    identify_anew,
    record_identity,
)
from skylarklift.entry.state.upstream import Upstream
from skylarklift.errors import LocalShortage, ProcessReplaced

SHORTAGE_PAUSE_MS = 50


class ProcessCheck(Enum):
    """Which process may get a request.

    `ANY`: whatever serves at the address.  `ASKED`: likewise, but it is asked when it started.
    `SAME_OR_SILENT`: none that says that it is another one than that of the entry.  `SAME`: only
    that of the entry, or one that does not say its start.  `SAME_LATE`: likewise, but it has longer
    to say so.
    """

    ANY = "any"
    ASKED = "asked"
    SAME_OR_SILENT = "same_or_silent"
    SAME = "same"
    SAME_LATE = "same_late"


# What a process may turn out to be.
ALLOWED_IDENTITIES = {
    ProcessCheck.ASKED: tuple(Identity),
    ProcessCheck.SAME_OR_SILENT: (Identity.SAME, Identity.UNKNOWN, Identity.UNANSWERED),
    ProcessCheck.SAME: (Identity.SAME, Identity.UNKNOWN),
    ProcessCheck.SAME_LATE: (Identity.SAME, Identity.UNKNOWN),
}
# A process that gets a request late has so long to say when it started.
LATE_ANSWER_TIMEOUT_MS = 1000


class ConnectionOpener:
    """The way to a connection to one upstream.

    `recently_used` and `new` say which connections of the pool may be taken, as in `acquire`, and
    one that is made may take `timeout_ms`.  `identity` is whether the process behind the connection
    is that of the upstream's entry, `None` if it was not asked.
    """

    def __init__(
        self, core: Core, upstream: Upstream, *, recently_used: bool, new: bool, timeout_ms: int
    ):
        self._core = core
        self._upstream = upstream
        self._record = upstream.record
        self._recently_used = recently_used
        self._new = new
        self._timeout_ms = timeout_ms
        self._conn: HttpConnection | None = None
        self.identity: Identity | None = None

    async def open(self, check: ProcessCheck) -> HttpConnection:
        """Return a connection that can carry the request; raise `TransportError`."""
        try:
            self._conn = await self._acquire(new=self._new)
            if check is not ProcessCheck.ANY:
                await self._check(check)
            return self._conn
        except BaseException:
            if self._conn is not None:
                self._conn.abort()
            raise

    async def _acquire(self, *, new: bool) -> HttpConnection:
        """Return a connection of the pool or a new one; raise `ConnectFailed`."""
        core = self._core
        try:
            return await core.connection_pool.acquire(
                self._record,
                recently_used=self._recently_used,
                new=new,
                timeout_ms=self._timeout_ms,
            )
        except LocalShortage:
            core.descriptors_short.set()
            # Another attempt is of use once a descriptor is free.
            await trio.sleep(SHORTAGE_PAUSE_MS / MS_PER_SECOND)
            raise

    async def _check(self, check: ProcessCheck) -> None:
        """Ask the process; raise `ProcessReplaced` if it may not get the request."""
        late = check is ProcessCheck.SAME_LATE
        timeout_ms = LATE_ANSWER_TIMEOUT_MS if late else ANSWER_TIMEOUT_MS
        is_ready = await self._identify(timeout_ms)
        self._refuse_unless_allowed(check)
        if is_ready:
            return
        await self._replace()
        if self.identity is Identity.SAME:
            # The new connection may be to another process.
            self.identity = await identify_anew(self._core, self._upstream)
            self._refuse_unless_allowed(check)

    def _refuse_unless_allowed(self, check: ProcessCheck) -> None:
        """Raise `ProcessReplaced` if the process may not get the request."""
        record_identity(self._core, self._upstream, self.identity)
        if self.identity not in ALLOWED_IDENTITIES[check]:
            text = f"{self._record.replica} may have restarted: {self.identity.value}"
            raise ProcessReplaced(text)

    async def _replace(self) -> None:
        """Take a new connection in place of one that cannot carry the request."""
        self._conn.abort()
        self._conn = await self._acquire(new=True)

    async def _identify(self, timeout_ms: int) -> bool:
        """Set whose process the connection is to; return whether it can carry the request."""
        if self._conn.reused:
            if await self._identify_used():
                return True
            await self._replace()
        self.identity = await identify(self._core, self._upstream, self._conn, timeout_ms)
        return self._conn.prepare_next_request()

    async def _identify_used(self) -> bool:
        """Set whose process a used connection is to; return whether it can carry the request.

        What comes on it may answer an earlier request, so only one answer counts.
        """
        conn = self._conn
        if conn.process is None and self._upstream.is_connected_to_process(conn.connected_at):
            conn.process = ProcessStart(self._record.started_ms)
        if conn.process is not None:
            self.identity = compare_start(self._record, conn.process)
            return self.identity in (Identity.SAME, Identity.UNKNOWN)
        self.identity = await identify(self._core, self._upstream, conn)
        return self.identity is Identity.SAME and conn.prepare_next_request()
