"""A replica of the platform: streams and whole answers, with faults to switch."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from skylarklift.entry.caller_connection import CallerConnection, CallerDisconnected
from skylarklift.entry.model import CallerLimits
from skylarklift.errors import BadRequest

LIMITS = CallerLimits(header_bytes=65536, idle_ms=60000)
MS = 1000


@dataclass
class ReplicaFaults:
    """How a replica misbehaves; counts are of requests still to be spoilt.

    `break_after` ends streams after so many events, in the middle of the next one.
    """

    shed: int = 0
    errors: int = 0
    unsigned: int = 0
    lose_answer: int = 0
    extra_answer: int = 0
    unframed: bool = False
    encoded: int = 0
    break_after: int | None = None
    silent_after: int | None = None
    silent: bool = False


@dataclass
class Run:
    """A request that the replica began to work on."""

    request: str
    fields: dict[str, str]
    method: str
    target: str
    body: bytes
    first_event: int
    ended: bool = False
    cancelled: bool = False


@dataclass
class Replica:
    """One replica: its name, its pace, and what it ran."""

    name: str
    events: int = 6
    pace_ms: int = 10
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: list[Run] = field(default_factory=list)
    rejected: int = 0
    crash_on: str = ""
    crashed: int = 0
    on_crash: Callable[[], None] | None = None
    links: set[trio.SocketStream] = field(default_factory=set)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        caller = CallerConnection(stream, LIMITS.header_bytes)
        self.links.add(stream)
        try:
            while (head := await caller.read_head(LIMITS.idle_ms, LIMITS.header_ms)) is not None:
                body = await caller.read_body(LIMITS)
                if not await self._serve(caller, stream, head, body):
                    return
                if not caller.prepare_next_request():
                    return
        except (CallerDisconnected, BadRequest):
            # The router closed; a run in progress has noted that it was cancelled.
            return
        finally:
            self.links.discard(stream)
            caller.abort()

    async def _serve(self, caller, stream, head, body) -> bool:
        """Serve one request; tell whether the connection goes on."""
        fields = {name.decode(): value.decode() for name, value in head.headers}
        faults = self.faults
        if fields.get("x-expect-replica", self.name) != self.name:
            self.rejected += 1
            await caller.send_response(421, [(b"x-replica-id", self.name.encode())], b"")
            return True
        if faults.shed:
            faults.shed -= 1
            self.rejected += 1
            await caller.send_response(503, [(b"x-not-executed", b"1")], b"")
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
        if self.crash_on and run.target == self.crash_on:
            self.crashed += 1
            if self.on_crash is not None:
                self.on_crash()
            self.drop_links()
            return False
        if faults.silent:
            await self._stay_silent(caller, run)
        if "x-token-count" in fields:
            return await self._stream(caller, run)
        return await self._whole(caller, stream, run)

    async def _stay_silent(self, caller, run) -> None:
        """Say nothing until the router closes the connection."""
        await caller.wait_disconnected()
        run.cancelled = True
        raise CallerDisconnected("the router left a silent replica")

    def _head(self, run, signed=True) -> list[tuple[bytes, bytes]]:
        """Return the header fields of an answer."""
        fields = [(b"x-attempt-id", run.request.encode()), (b"keep-alive", b"timeout=5")]
        if signed:
            fields.append((b"x-replica-signature", f"sig-{self.name}".encode()))
        return fields

    async def _whole(self, caller, stream, run) -> bool:
        """Answer in one piece."""
        faults = self.faults
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._note_gone, caller, run, nursery.cancel_scope)
            await trio.sleep(self.pace_ms / MS)
            run.ended = True
            nursery.cancel_scope.cancel()
        if run.cancelled:
            raise CallerDisconnected("the router left a request")
        if faults.lose_answer:
            faults.lose_answer -= 1
            return False
        status = 200
        if faults.errors:
            faults.errors -= 1
            status = 500
        signed = True
        if faults.unsigned:
            faults.unsigned -= 1
            signed = False
        fields = self._head(run, signed)
        if faults.encoded:
            faults.encoded -= 1
            fields.append((b"content-encoding", b"gzip"))
        body = f"{self.name}:{run.request}".encode()
        if faults.unframed:
            await self._unframed(stream, run, body)
            return False
        await caller.send_response(status, fields, body)
        if faults.extra_answer:
            faults.extra_answer -= 1
            await trio.sleep(0.02)
            await stream.send_all(self._raw(b"other", b"not yours"))
        return True

    def _raw(self, request: bytes, body: bytes) -> bytes:
        """Return a whole answer as bytes."""
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-replica-signature: s\r\n" % request
        return head + b"content-length: %d\r\n\r\n%s" % (len(body), body)

    async def _unframed(self, stream, run, body) -> None:
        """Answer without a length; the end of the connection ends the answer."""
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-replica-signature: s\r\n\r\n"
        await stream.send_all(head % run.request.encode() + body)
        await stream.send_eof()

    async def _stream(self, caller, run) -> bool:
        """Answer with a stream of events."""
        faults = self.faults
        fields = [*self._head(run), (b"content-type", b"text/event-stream")]
        await trio.sleep(self.pace_ms / MS)
        await caller.send_head(200, fields)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._note_gone, caller, run, nursery.cancel_scope)
            for number in range(run.first_event, self.events + 1):
                sent = number - run.first_event
                if faults.break_after is not None and sent >= faults.break_after:
                    await caller.send_data(b"id: %d\nda" % number)
                    return False
                if faults.silent_after is not None and sent >= faults.silent_after:
                    await trio.sleep_forever()
                await trio.sleep(self.pace_ms / MS)
                await caller.send_data(b"id: %d\ndata: %s-%d\n\n" % (number, b"e", number))
            run.ended = True
            nursery.cancel_scope.cancel()
        if run.cancelled:
            raise CallerDisconnected("the router left a stream")
        await caller.send_end()
        return True

    @staticmethod
    async def _note_gone(caller, run, scope) -> None:
        """Stop a run whose router has closed."""
        await caller.wait_disconnected()
        run.cancelled = True
        scope.cancel()

    def drop_links(self) -> None:
        """Close all connections, as a crash does."""
        for stream in list(self.links):
            stream.socket.close()
