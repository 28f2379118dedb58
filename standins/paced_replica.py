"""A replica that makes events at a pace and records when it made each of them."""

from dataclasses import dataclass, field

import trio

from standins.replica import STATUS_PATH
from standins.scripted_replica import EVENT_STREAM, SIGNED_HEAD, ReceivedRequest, ScriptedReplica
from standins.scripted_replica import framed as add_length

READ_BYTES = 65536
MS_PER_SECOND = 1000
STREAM_PATHS = (b"/chat/", b"/once/")
ANSWER = b"done"
PART = b"part of an answer\n"


@dataclass
class PacedRun:
    """A request that a replica ran; times are those of the trio clock, in seconds.

    `made_at` holds when each event was made.  `left_at` is when the connection ended before the
    answer did.  `port` is the local port of the router, or the proxy, that sent the request.
    """

    request_id: str
    target: str
    last_event: int
    replica: str
    port: int
    began_at: float
    made_at: dict[int, float] = field(default_factory=dict)
    completed: bool = False
    left_at: float | None = None


class PacedReplica(ScriptedReplica):
    """Answer streams with `events` events, one each `pace_ms`, and other requests after a pace.

    The answer to a stream has chunks, or if it is not `framed` ends with the connection.  So do
    then other answers, which have as many parts as streams have events.  The events name the
    version, so that a caller sees which one wrote them, and have at least `event_bytes` of data.
    """

    def __init__(
        self, name: str, *, events=6, pace_ms=50, framed=True, version="v1", event_bytes=0
    ):
        super().__init__(lambda request: None, born=1)
        self.name = name
        self.events = events
        self.pace_ms = pace_ms
        self.framed = framed
        self.version = version
        self.event_bytes = event_bytes
        self.runs: list[PacedRun] = []
        self._nursery: trio.Nursery | None = None

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections.add(stream)
        buffer, number = b"", 0
        try:
            while True:
                request, buffer = await self._read_request(stream, buffer, number)
                if request is None:
                    return
                number += 1
                if request.target == STATUS_PATH:
                    await stream.send_all(self._status())
                elif not await self._run(stream, request):
                    return
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The router closed the connection, or this replica has stopped.
            pass
        finally:
            self.connections.discard(stream)
            stream.socket.close()

    def close_connections(self) -> None:
        """Close all connections, as a crash would."""
        for stream in list(self.connections):
            stream.socket.close()

    async def _run(self, stream: trio.SocketStream, request: ReceivedRequest) -> bool:
        """Run a request; return whether the connection can be used for another one."""
        run = PacedRun(
            request.request_id,
            request.target.decode(),
            int(request.last_event or 0),
            self.name,
            stream.socket.getpeername()[1],
            trio.current_time(),
        )
        self.runs.append(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_end, stream, run, nursery.cancel_scope)
            try:
                if request.target.startswith(STREAM_PATHS):
                    await self._send_stream(stream, run)
                elif not self.framed:
                    await self._send_parts(stream, run)
                else:
                    await trio.sleep(self.pace_ms / MS_PER_SECOND)
                    await stream.send_all(self._named(add_length(SIGNED_HEAD, ANSWER), run))
                run.completed = True
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                run.left_at = run.left_at or trio.current_time()
            nursery.cancel_scope.cancel()
        if run.left_at is not None:
            return False
        return self.framed

    @staticmethod
    async def _watch_end(stream, run: PacedRun, scope: trio.CancelScope) -> None:
        """Cancel a run once the router has closed the connection."""
        try:
            while await stream.receive_some(READ_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        run.left_at = trio.current_time()
        scope.cancel()

    async def _send_stream(self, stream: trio.SocketStream, run: PacedRun) -> None:
        """Send the events behind the last one that the caller has."""
        chunks = b"transfer-encoding: chunked\r\n" if self.framed else b""
        await stream.send_all(self._named(SIGNED_HEAD + EVENT_STREAM + chunks + b"\r\n", run))
        for number in range(run.last_event + 1, self.events + 1):
            await trio.sleep(self.pace_ms / MS_PER_SECOND)
            data = b"data: %s-%d" % (self.version.encode(), number)
            event = b"id: %d\n%s\n\n" % (number, data.ljust(self.event_bytes, b"."))
            run.made_at[number] = trio.current_time()
            await stream.send_all(b"%x\r\n%s\r\n" % (len(event), event) if self.framed else event)
        if self.framed:
            await stream.send_all(b"0\r\n\r\n")

    async def _send_parts(self, stream: trio.SocketStream, run: PacedRun) -> None:
        """Send an answer without a length in parts."""
        await stream.send_all(self._named(SIGNED_HEAD + b"\r\n", run))
        for number in range(1, self.events + 1):
            await trio.sleep(self.pace_ms / MS_PER_SECOND)
            run.made_at[number] = trio.current_time()
            await stream.send_all(PART)

    @staticmethod
    def _named(data: bytes, run: PacedRun) -> bytes:
        """Return bytes of an answer with the id of the request."""
        return data.replace(b"%s", run.request_id.encode())
