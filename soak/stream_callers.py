"""Callers of the soak of streams: they keep connections, take streams up and retry."""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import h11
import trio

from soak.stream_checker import NOT_RUN_STATUSES, Kind, SentCall, Try, TryEnd
from soak.stream_habits import ID_STEP, SMALL_BUFFER_BYTES, Habits, LoadMix, Reader
from soak.stream_load import StreamLoad
from soak.stream_repeats import MAX_REPEATS, SAME_ROUTER_RATIO, Repeats
from soak.take_ups import TakeUps
from standins.entry_world import RouterProcess
from standins.stream_events import WantedStream, make_event_id

HOST = "127.0.0.1"
MS_PER_SECOND = 1000
MIN_LEFT_MS = 200
POLL_S = 0.02
RETRY_PAUSE_S = (0.05, 0.3)
MAX_RETRY_AFTER_S = 1.0
SLOW_TRY_MS = (300, 1500)
# A connection that brought nothing for this long is silent.
SILENT_MS = 300
BODY_BYTES = (1, 600)


def now_ms() -> int:
    """Return the time in milliseconds, on the clock that the replicas' logs use."""
    return int(time.monotonic() * MS_PER_SECOND)


@dataclass
class Link:
    """A connection to a router, with the state of the protocol on it."""

    stream: trio.SocketStream
    http: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    def close(self) -> None:
        """Close the connection."""
        self.stream.socket.close()


class Caller:
    """One caller, which sends one request after the other."""

    def __init__(
        self,
        routers: list[RouterProcess],
        rng: Random,
        calls: list[SentCall],
        name: str,
        mix: LoadMix,
        load: StreamLoad,
        take_ups: TakeUps,
    ):
        self._take_ups = take_ups
        self._routers = routers
        self._rng = rng
        self._calls = calls
        self._name = name
        self._count = 0
        self._mix = mix
        self._habits = Habits.draw(rng, mix)
        self._load = load
        self._links: dict[str, Link] = {}

    async def run(self, is_loading: Callable[[], bool]) -> None:
        """Send requests until the load ends."""
        while is_loading():
            self._count += 1
            weights = self._load.weights
            kind = self._rng.choices(list(weights), list(weights.values()))[0]
            last = self._rng.randint(*self._load.events[kind]) if kind.is_stream else 0
            event_bytes = self._habits.draw_event_bytes(self._rng)
            call = SentCall(f"{self._name}q{self._count}", kind, last, event_bytes)
            self._make_odd(call)
            self._calls.append(call)
            await CallRun(call, self, self._rng, self._habits, self._load).run()
            await trio.sleep(self._rng.uniform(0.0, 0.2))

    def _make_odd(self, call: SentCall) -> None:
        """Let some streams have ids with gaps, or be taken up by a name that nobody knows."""
        if self._mix.gaps and self._rng.random() < self._mix.gaps:
            call.id_step = ID_STEP
        if self._mix.unknown_resumes:
            call.unknown_resumes = self._rng.random() < self._mix.unknown_resumes

    def choose_router(self, but_not: set[str]) -> RouterProcess:
        """Return a router, if possible one that has no try of the request."""
        others = [item for item in self._routers if item.name not in but_not]
        return self._rng.choice(others or self._routers)

    def choose_take_up_router(self, but_not: set[str]) -> RouterProcess:
        """Return a router to take a stream up at, often one that is out of step."""
        chosen = self._take_ups.choose_router(self._routers, but_not, self._rng)
        return chosen or self.choose_router(but_not)

    async def take_link(self, router: RouterProcess) -> Link:
        """Return the open connection to a router's process, or a new one."""
        link = self._links.pop(router.name, None)
        if link is not None and not link.stream.socket.is_readable():
            return link
        if link is not None:
            link.close()
        return Link(await self._connect(router.caller_port))

    async def _connect(self, port: int) -> trio.SocketStream:
        """Return a new connection, with a small receive buffer if this caller pauses."""
        sock = trio.socket.socket()
        if self._habits.pauses:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        try:
            await sock.connect((HOST, port))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    def find_router(self, name: str) -> RouterProcess:
        """Return the router with a name."""
        return next(item for item in self._routers if item.name == name)

    def keep_link(self, router: RouterProcess, link: Link) -> None:
        """Keep a connection for the next request, if it can carry one."""
        http = link.http
        usable = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self._habits.http_1_0 or not usable or router.name in self._links:
            link.close()
            return
        http.start_next_cycle()
        self._links[router.name] = link


class CallRun:
    """One request: its tries one after the other, and side by side while one seems slow."""

    def __init__(
        self, call: SentCall, caller: Caller, rng: Random, habits: Habits, load: StreamLoad
    ):
        self._call = call
        self._caller = caller
        self._rng = rng
        self._habits = habits
        self._load = load
        self._reader = Reader(habits, rng, call.event_bytes)
        self._deadline_ms = now_ms() + load.draw_deadline_ms(call.kind, rng)
        # By the positions of the tries.
        self._active: dict[int, trio.CancelScope] = {}
        self._progress_ms = now_ms()
        self._slow_ms = rng.randint(*SLOW_TRY_MS)
        self._part = rng.randrange(8)
        repeats = MAX_REPEATS if habits.repeats_ids and call.kind.resumable else 0
        self._repeats = Repeats(rng, repeats, habits.whole_repeats, now_ms())

    async def run(self) -> None:
        """Make tries until one is complete, none may follow, or the deadline has passed."""
        async with trio.open_nursery() as nursery:
            await self._start_try(nursery)
            while True:
                await trio.sleep(POLL_S)
                if self._is_done():
                    break
                if not self._active:
                    if not self._may_retry():
                        break
                    await self._pause()
                    await self._start_try(nursery)
                    if self._takes_up_twice():
                        await self._start_try(nursery)
                elif self._seems_slow():
                    await self._start_try(nursery)
                elif self._repeats.is_due(self._call.held(), now_ms(), self._deadline_ms):
                    self._repeat_try(nursery)
            nursery.cancel_scope.cancel()

    def _is_done(self) -> bool:
        """Return whether a try is complete, or the deadline has passed."""
        return self._call.is_served() or now_ms() >= self._deadline_ms

    def _may_retry(self) -> bool:
        """Return whether another try may follow those that have ended."""
        tries = [item for item in self._call.tries if not item.repeats_id]
        sent = [item for item in tries if not certainly_not_run(item)]
        if self._deadline_ms - now_ms() < MIN_LEFT_MS or len(tries) >= self._load.max_refusals:
            return False
        if not self._call.kind.repeatable:
            return not sent
        return len(sent) < self._load.max_tries

    def _seems_slow(self) -> bool:
        """Return whether to take the stream up elsewhere while the last try goes on."""
        if not self._habits.overlaps or self._call.kind is not Kind.STREAM:
            return False
        if len(self._active) > 1 or now_ms() - self._progress_ms < self._slow_ms:
            return False
        return self._may_retry()

    def _takes_up_twice(self) -> bool:
        """Return whether to take the stream up at two routers at the same moment."""
        if not self._habits.takes_up_twice or not self._call.kind.repeatable:
            return False
        return self._call.held() > 0

    async def _pause(self) -> None:
        """Wait before the next try, at least as long as a refusal asked for."""
        asked_s = min(self._call.tries[-1].retry_after_s, MAX_RETRY_AFTER_S)
        await trio.sleep(max(asked_s, self._rng.uniform(*RETRY_PAUSE_S)))

    async def _start_try(self, nursery: trio.Nursery) -> None:
        """Start the next try at another router."""
        call = self._call
        left_ms = self._deadline_ms - now_ms()
        if left_ms <= 0:
            return
        if not call.held():
            # Two tries that both begin the stream would be two streams.
            self._drop_tries()
        used = {item.router for item in call.tries[-2:]}
        choose = self._caller.choose_take_up_router if call.held() else self._caller.choose_router
        router = choose(used)
        item = self._make_try(f"{call.name}t{len(call.tries) + 1}", router)
        self._note_silences()
        self._progress_ms = now_ms()
        self._begin_try(nursery, router, item, left_ms)

    def _make_try(self, attempt: str, router: RouterProcess) -> Try:
        """Return a try that begins the stream, or goes on after what the caller has of it."""
        call = self._call
        return Try(
            attempt,
            router.name,
            resume_after=call.held() if call.kind.is_stream else 0,
            http_1_0=self._habits.http_1_0,
            started_ms=now_ms(),
            deadline_ms=self._deadline_ms,
            event_bytes=call.event_bytes,
            id_step=call.id_step,
            reads_slowly=self._habits.pauses or self._habits.reads_slowly,
        )

    def _begin_try(
        self, nursery: trio.Nursery, router: RouterProcess, item: Try, left_ms: int
    ) -> None:
        """Send a try beside those that go on."""
        request = self._encode(item, left_ms)
        number = len(self._call.tries)
        self._call.tries.append(item)
        self._active[number] = trio.CancelScope()
        nursery.start_soon(self._run_try, router, number, request)

    def _repeat_try(self, nursery: trio.Nursery) -> None:
        """Send the id of a try that goes on again, at the same router or at another one."""
        repeated = self._call.tries[self._rng.choice(list(self._active))]
        router = self._caller.choose_router({repeated.router})
        if self._rng.random() < SAME_ROUTER_RATIO:
            router = self._caller.find_router(repeated.router)
        item = self._make_try(repeated.attempt, router)
        self._repeats.prepare(item, now_ms())
        self._begin_try(nursery, router, item, self._deadline_ms - now_ms())

    def _note_silences(self) -> None:
        """Note, as the stream is taken up, which connections have been silent for a while."""
        for number in self._active:
            item = self._call.tries[number]
            item.silent = bool(item.events) and now_ms() - item.progress_ms >= SILENT_MS

    def _encode(self, item: Try, left_ms: int) -> h11.Request:
        """Return the head of a try's request."""
        call = self._call
        fields = [
            ("host", "app.example"),
            ("x-attempt-id", item.attempt),
            ("x-api-key", "key-1"),
            ("x-deadline-ms", str(left_ms)),
        ]
        if call.kind.is_stream:
            fields.append(("x-token-count", "100,50"))
            parts = f"aa{self._part}:500,bb{self._part}:40,cc{call.name}:10"
            fields.append(("x-prefix-hash", parts))
        if item.resume_after:
            last_id = make_event_id(item.resume_after, call.id_step)
            fields.append(("last-event-id", str(last_id)))
            fields.append(("resumes", self._named_attempt() or item.attempt))
        method = "GET" if call.kind is Kind.IDEMPOTENT else "POST"
        if method == "POST":
            fields.append(("content-length", str(self._rng.randint(*BODY_BYTES))))
        pause_ms = self._load.event_pause_ms
        wanted = WantedStream(call.name, call.last, call.event_bytes, pause_ms, call.id_step)
        return h11.Request(method=method, target=wanted.target(call.kind.value), headers=fields)

    def _named_attempt(self) -> str | None:
        """Return the try that the caller names as the one that brought the first event."""
        if self._call.unknown_resumes:
            return f"{self._call.name}-never-sent"
        return self._call.first_attempt()

    async def _run_try(self, router: RouterProcess, number: int, request: h11.Request) -> None:
        """Make one try; record how it ended."""
        item = self._call.tries[number]
        link: Link | None = None
        item.end = TryEnd.LEFT
        try:
            with self._active[number]:
                item.end = TryEnd.NOT_SENT
                link = await self._caller.take_link(router)
                item.end = TryEnd.LEFT
                item.end = await self._exchange(link, item, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            item.end = TryEnd.RESET
        except OSError:
            # No connection was made.
            item.end = TryEnd.NOT_SENT
        finally:
            if item.dropped:
                item.end = TryEnd.LEFT
            item.ended_ms = now_ms()
            del self._active[number]
            if link is not None and item.end is TryEnd.COMPLETE:
                self._caller.keep_link(router, link)
            elif link is not None:
                link.close()

    async def _exchange(self, link: Link, item: Try, request: h11.Request) -> TryEnd:
        """Send a request and receive its response."""
        http = link.http
        size = int(dict(request.headers).get(b"content-length", b"0"))
        data = http.send(request)
        if item.http_1_0:
            data = data.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
        if size:
            data += http.send(h11.Data(data=b"w" * size))
        await link.stream.send_all(data + http.send(h11.EndOfMessage()))
        while True:
            try:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await self._reader.receive(link.stream))
                    continue
            except h11.RemoteProtocolError:
                return TryEnd.CUT
            if isinstance(event, h11.Response):
                self._record_head(item, event)
            elif isinstance(event, h11.Data):
                self._record_data(item, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return TryEnd.COMPLETE
            elif isinstance(event, h11.ConnectionClosed):
                return TryEnd.CUT

    def _record_head(self, item: Try, event: h11.Response) -> None:
        """Record the head of the response."""
        item.status = event.status_code
        item.answered_ms = now_ms()
        text = dict(event.headers).get(b"retry-after", b"0").decode()
        item.retry_after_s = float(text)

    def _record_data(self, item: Try, data: bytes) -> None:
        """Record a part of the body; leave older tries once the new one brings events."""
        count = len(item.events)
        item.receive(data, is_stream=self._call.kind.is_stream)
        if len(item.events) == count:
            return
        item.progress_ms = now_ms()
        item.went_on_late |= item.silent
        if item.apart:
            return
        self._progress_ms = now_ms()
        if self._habits.leaves_old_tries and item is self._call.tries[-1]:
            self._leave_tries_but(item)

    def _leave_tries_but(self, kept: Try) -> None:
        """Leave all tries that go on, but one."""
        for number, scope in self._active.items():
            if self._call.tries[number] is not kept:
                scope.cancel()

    def _drop_tries(self) -> None:
        """Leave all tries that go on; what has arrived of them and is not read yet is dropped."""
        for number, scope in self._active.items():
            self._call.tries[number].dropped = True
            scope.cancel()


def certainly_not_run(item: Try) -> bool:
    """Return whether a try has certainly not run."""
    return item.end is TryEnd.NOT_SENT or item.status in NOT_RUN_STATUSES
