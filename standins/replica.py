"""A replica of the platform that sends streams and single responses, with switchable faults."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from skylarklift.entry.model import CallerLimits
from skylarklift.entry.requests.caller_connection import CallerConnection, CallerDisconnected
from skylarklift.errors import BadRequest

LIMITS = CallerLimits(header_bytes=65536, idle_ms=60000)
MS_PER_SECOND = 1000
STATUS_PATH = b"/-/report"


class CrashPoint(Enum):
    """The point in an answer at which a replica crashes."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    AFTER_EVENT = "after an event"


@dataclass
class ReplicaFaults:
    """The faults of a replica; integers count the requests still to be affected.

    `shed` responds 503 without running the request, `errors` responds with `error_status` after
    running it, `unsigned` leaves out the signature header, `lose_response` runs the request and
    closes the connection,
    `extra_response` sends a second, foreign response, `unframed` ends a response by closing
    the connection, and `encoded` declares a content encoding.  `break_after` closes streams
    in the middle of the event after that number of events; `silent_after` stops sending there
    but keeps the connection open.  `silent` runs requests without ever responding, and
    `keep_answer` runs some without responding.  `first_event_ms` delays the first event of streams.
    `long_runs` requests take `long_run_ms`.  `request_limit` is named in all answers.
    `rejection_limit` is named in all answers, too: how many requests it can reject in a second.
    `leaving` says in all answers that the replica leaves.  `retry_after_s` is the time for which
    it wants nothing after it has shed a request.
    """

    shed: int = 0
    errors: int = 0
    error_status: int = 500
    unsigned: int = 0
    lose_response: int = 0
    extra_response: int = 0
    unframed: bool = False
    encoded: int = 0
    break_after: int | None = None
    silent_after: int | None = None
    silent: bool = False
    keep_answer: int = 0
    first_event_ms: int = 0
    long_runs: int = 0
    long_run_ms: int = 0
    request_limit: float | None = None
    rejection_limit: int | None = None
    leaving: bool = False
    retry_after_s: float | None = None


@dataclass
class Run:
    """A request that the replica has begun to run."""

    request_id: str
    headers: dict[str, str]
    method: str
    target: str
    body: bytes
    first_event: int
    completed: bool = False
    cancelled: bool = False


@dataclass
class Replica:
    """One replica, its faults and the requests that it ran.

    It crashes at `crash_point` of the answer to a request to the path `crash_on` or to a prompt
    with the shared part `crash_on_part`, and to any request if it `crashes_always`.
    """

    name: str
    events: int = 6
    pace_ms: int = 10
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: list[Run] = field(default_factory=list)
    rejected: int = 0
    crash_on: str = ""
    crash_on_part: str = ""
    crashes_always: bool = False
    crash_point: CrashPoint = CrashPoint.BEFORE_HEAD
    crashed: int = 0
    on_crash: Callable[[], None] | None = None
    born: int = 1
    connections: set[trio.SocketStream] = field(default_factory=set)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        caller = CallerConnection(stream, LIMITS.header_bytes)
        self.connections.add(stream)
        try:
            await self._serve_requests(caller, stream)
        except* (CallerDisconnected, BadRequest):
            # The router closed the connection; a run in progress is marked as cancelled by now.
            # The nursery of a run wraps this in a group.
            caller.close_after_response = True
        finally:
            self.connections.discard(stream)
            caller.abort()

    async def _serve_requests(self, caller, stream) -> None:
        """Serve the requests of one connection, one after the other."""
        while (head := await caller.read_head(LIMITS.idle_ms, LIMITS.header_ms)) is not None:
            body = await caller.read_body(LIMITS)
            if not await self._serve_request(caller, stream, head, body):
                return
            if not caller.prepare_next_request():
                return

    async def _serve_request(self, caller, stream, head, body) -> bool:
        """Serve one request; return whether the connection can be reused."""
        fields = {name.decode(): value.decode() for name, value in head.headers}
        faults = self.faults
        if head.target == STATUS_PATH:
            await caller.send_response(200, [], b'{"born":%d}' % self.born)
            return True
        echo = (b"x-attempt-id", fields.get("x-attempt-id", "").encode())
        named = self._state_headers()
        if fields.get("x-expect-replica", self.name) != self.name:
            self.rejected += 1
            await caller.send_response(421, [echo, (b"x-replica-id", self.name.encode())], b"")
            return True
        if faults.shed:
            faults.shed -= 1
            self.rejected += 1
            if faults.retry_after_s is not None:
                named.append((b"retry-after", b"%.2f" % faults.retry_after_s))
            await caller.send_response(503, [echo, (b"x-not-executed", b"1"), *named], b"")
            return True
        run = Run(
            fields.get("x-attempt-id", ""),
            fields,
            head.method.decode(),
            head.target.decode(),
            body,
            int(fields.get("last-event-id", "0")) + 1,
        )
        self.runs.append(run)
        if run.target == self.crash_on and self.crash_point is CrashPoint.BEFORE_HEAD:
            return self._crash()
        if faults.keep_answer:
            faults.keep_answer -= 1
            await self._stay_silent(caller, run)
        if faults.silent:
            await self._stay_silent(caller, run)
        if "x-token-count" in fields:
            return await self._send_stream(caller, run)
        return await self._send_complete(caller, stream, run)

    def _crash(self) -> bool:
        """End as a crashed process does; return that no connection can be reused."""
        self.crashed += 1
        if self.on_crash is not None:
            self.on_crash()
        self.close_connections()
        return False

    def _crashes_on(self, run) -> bool:
        """Return whether a run crashes this replica."""
        if self.crashes_always or (self.crash_on and run.target == self.crash_on):
            return True
        parts = run.headers.get("x-prefix-hash", "").split(",")[:-1]
        return bool(self.crash_on_part) and self.crash_on_part in (
            part.partition(":")[0] for part in parts
        )

    async def _stay_silent(self, caller, run) -> None:
        """Send nothing until the router closes the connection."""
        await caller.wait_disconnected()
        run.cancelled = True
        raise CallerDisconnected("router disconnected from a silent replica")

    def _state_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header fields of all answers, by which a replica speaks of itself."""
        fields = []
        if self.faults.request_limit is not None:
            fields.append((b"server-limit", b"%.2f" % self.faults.request_limit))
        if self.faults.rejection_limit is not None:
            fields.append((b"server-brittle", b"%d" % self.faults.rejection_limit))
        if self.faults.leaving:
            fields.append((b"server-leaving", b"1"))
        return fields

    def _response_headers(self, run, signed=True) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a response."""
        fields = [(b"x-attempt-id", run.request_id.encode()), (b"keep-alive", b"timeout=5")]
        fields += self._state_headers()
        if signed:
            fields.append((b"x-replica-signature", f"sig-{self.name}".encode()))
        return fields

    async def _send_complete(self, caller, stream, run) -> bool:
        """Send a single response; return whether the connection can be reused."""
        faults = self.faults
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, caller, run, nursery.cancel_scope)
            await trio.sleep(self._run_ms() / MS_PER_SECOND)
            run.completed = True
            nursery.cancel_scope.cancel()
        if run.cancelled:
            raise CallerDisconnected("router disconnected during a request")
        if faults.lose_response:
            faults.lose_response -= 1
            return False
        status = 200
        if faults.errors:
            faults.errors -= 1
            status = faults.error_status
        signed = True
        if faults.unsigned:
            faults.unsigned -= 1
            signed = False
        fields = self._response_headers(run, signed)
        if faults.encoded:
            faults.encoded -= 1
            fields.append((b"content-encoding", b"gzip"))
        body = f"{self.name}:{run.request_id}".encode()
        if faults.unframed:
            await self._send_unframed(stream, run, body)
            return False
        await caller.send_response(status, fields, body)
        if faults.extra_response:
            faults.extra_response -= 1
            await trio.sleep(0.02)
            await stream.send_all(self._encode_response(b"other", b"not yours"))
        return True

    def _run_ms(self) -> int:
        """Return how long the next request takes."""
        if not self.faults.long_runs:
            return self.pace_ms
        self.faults.long_runs -= 1
        return self.faults.long_run_ms

    def _encode_response(self, request: bytes, body: bytes) -> bytes:
        """Return a complete response as bytes."""
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-replica-signature: s\r\n" % request
        return head + b"content-length: %d\r\n\r\n%s" % (len(body), body)

    async def _send_unframed(self, stream, run, body) -> None:
        """Send a response without a length, ended by the end of the connection."""
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-replica-signature: s\r\n\r\n"
        await stream.send_all(head % run.request_id.encode() + body)
        await stream.send_eof()

    async def _send_stream(self, caller, run) -> bool:
        """Send a stream of events; return whether the connection can be reused."""
        faults = self.faults
        fields = [*self._response_headers(run), (b"content-type", b"text/event-stream")]
        await trio.sleep(max(self.pace_ms, faults.first_event_ms) / MS_PER_SECOND)
        crashes = self._crashes_on(run)
        if crashes and self.crash_point is CrashPoint.BEFORE_HEAD:
            return self._crash()
        await caller.send_head(200, fields)
        if crashes and self.crash_point is CrashPoint.AFTER_EVENT:
            await caller.send_data(b"id: %d\ndata: e\n\n" % run.first_event)
        if crashes:
            await trio.sleep(self.pace_ms / MS_PER_SECOND)
            return self._crash()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, caller, run, nursery.cancel_scope)
            for number in range(run.first_event, self.events + 1):
                sent = number - run.first_event
                if faults.break_after is not None and sent >= faults.break_after:
                    await caller.send_data(b"id: %d\nda" % number)
                    return False
                if faults.silent_after is not None and sent >= faults.silent_after:
                    await trio.sleep_forever()
                await trio.sleep(self.pace_ms / MS_PER_SECOND)
                await caller.send_data(b"id: %d\ndata: %s-%d\n\n" % (number, b"e", number))
            run.completed = True
            nursery.cancel_scope.cancel()
        if run.cancelled:
            raise CallerDisconnected("router disconnected during a stream")
        await caller.send_end()
        return True

    @staticmethod
    async def _cancel_on_disconnect(caller, run, scope) -> None:
        """Cancel a run when the router closes the connection."""
        await caller.wait_disconnected()
        run.cancelled = True
        scope.cancel()

    def close_connections(self) -> None:
        """Close all connections, as a crash would."""
        for stream in list(self.connections):
            stream.socket.close()
