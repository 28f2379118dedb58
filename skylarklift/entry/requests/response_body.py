"""Read the body of a response that is not a stream of events, within a limit."""

from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.requests.silence import SilenceTimer
from skylarklift.errors import ResponseInvalid

# A response without a length that exceeds this is not expected to end.
MAX_UNDECLARED_BYTES = 4_194_304
# An upstream makes progress if it sends this much, or the end of the body.
PROGRESS_BYTES = 1024


class ResponseBody:
    """The body of one response, read in parts; `complete` is set at its end."""

    def __init__(self, conn: HttpConnection, timer: SilenceTimer, *, has_length: bool):
        self._conn = conn
        self._timer = timer
        self._has_length = has_length
        self._bytes_since_progress = 0
        self.complete = False

    async def read(self) -> bytes | None:
        """Return the next bytes, or `None` at the end; raise `TransportError`."""
        with self._timer.waiting():
            data = await self._conn.read_body()
        if data is None:
            self.complete = True
            return None
        if not self._has_length and self._conn.counted_bytes > MAX_UNDECLARED_BYTES:
            raise ResponseInvalid(f"a body without a length exceeds {MAX_UNDECLARED_BYTES} bytes")
        self._record_progress(len(data))
        return data

    def _record_progress(self, size: int) -> None:
        """Report progress to the timer once enough bytes have arrived."""
        self._bytes_since_progress += size
        if self._bytes_since_progress >= PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self._timer.record_progress()

    async def read_start(self, limit: int) -> bytes:
        """Return the whole body, or its start if it is longer than `limit` bytes."""
        parts, size = [], 0
        while size <= limit and (data := await self.read()) is not None:
            parts.append(data)
            size += len(data)
        return b"".join(parts)
