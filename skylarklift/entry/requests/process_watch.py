"""Hold a second connection to the process of an answer that ends with its connection."""

import trio

from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.requests.http_connection import HttpConnection, connect
from skylarklift.errors import ConnectFailed

CONNECT_TIMEOUT_MS = 250


class ProcessWatch:
    """A connection that is made while the answer comes, and used after its end.

    Unlike a connection that is made then, it is not to a later process at the same address.
    """

    def __init__(self, record: UpstreamRecord):
        self._record = record
        self._wanted = trio.Event()
        self._opened = trio.Event()
        self._conn: HttpConnection | None = None

    def start(self) -> None:
        """Let `run` make the connection."""
        self._wanted.set()

    async def run(self) -> None:
        """Make the connection, once it is wanted, and hold it until cancelled."""
        await self._wanted.wait()
        record = self._record
        try:
            stream = await connect(record.host, record.port, CONNECT_TIMEOUT_MS)
        except ConnectFailed:
            # Without the connection nothing shows that the process lives.
            self._opened.set()
            return
        conn = self._conn = HttpConnection(stream, f"{record.host}:{record.port}")
        self._opened.set()
        try:
            await trio.sleep_forever()
        finally:
            conn.abort()

    async def take(self) -> HttpConnection | None:
        """Return the connection for one question, `None` if there is none any more."""
        if not self._wanted.is_set():
            return None
        await self._opened.wait()
        conn, self._conn = self._conn, None
        return conn
