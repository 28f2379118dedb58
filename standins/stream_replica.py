"""A replica as a process of its own, on raw sockets, so that the kernel ends its connections.

Usage: python -m standins.stream_replica NAME SOFTWARE START SEED LOG FRAMINGS CUT CONDUCT
  PORT [LISTENER]

CUT tells how it breaks off between two events of an answer that its connection ends: only another
run tells a process that lives on and closes in order there from one that is done.  CONDUCT tells
whether it breaks off at all, and when it is silent.

With the descriptor of a listener, it accepts there, and connections wait while it is restarted.
SIGUSR1 makes it reset all its connections, SIGUSR2 end them in order.
"""

import json
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from random import Random

from standins.pause_lock import PauseLock
from standins.replica_conduct import Conduct, Ratios
from standins.stream_events import WantedStream, encode_event, find_event_number
from standins.stream_extras import Extras, draw_ratio
from standins.stream_wire import ConnectionCuts, ConnectionEnded, Ending, Request, Wire

HOST = "127.0.0.1"
MS_PER_SECOND = 1000
STATUS_PATH = "/-/report"
MAX_BATCH = 4
PLAIN_RUN_S = (0.005, 0.06)
PART_PAUSE_S = 0.001
# Parts of the answers.
BREAK_WITHIN_RATIO = 0.4
RESET_RATIO = 0.4
UNREAD_BODY_RATIO = 0.3
RESTART_RATIO = 0.15


class Framing(Enum):
    """What shows the end of an answer's body."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CONNECTION = "connection"
    HTTP_1_0 = "http/1.0"
    HTTP_1_0_LENGTH = "http/1.0 length"


UNFRAMED = (Framing.CONNECTION, Framing.HTTP_1_0)
KEPT_FRAMINGS = (Framing.CHUNKED, Framing.LENGTH)
FRAMING_WEIGHTS = {
    Framing.CHUNKED: 4,
    Framing.LENGTH: 2,
    Framing.CONNECTION: 2,
    Framing.HTTP_1_0: 2,
    Framing.HTTP_1_0_LENGTH: 1,
}


@dataclass(frozen=True)
class AnswerPlan:
    """How one stream is sent: its framing, and after which event and how it breaks off, if so."""

    framing: Framing
    first: int
    last: int
    leaves_body: bool
    breaks_after: int | None
    breaks_within: bool
    ending: Ending

    def describe(self) -> str:
        """Return how it breaks off, as text."""
        if self.breaks_after is None:
            return "whole"
        where = "within the one after" if self.breaks_within else "after"
        return f"{self.ending.value} {where} {self.breaks_after}"


def draw_plan(
    rng: Random, request: Request, framings: Sequence[Framing], break_ratio: float
) -> AnswerPlan:
    """Return a random plan for a stream; some resumed ones start again from an earlier event."""
    wanted = WantedStream.parse(request.target)
    last, last_id = wanted.last, int(request.headers.get("last-event-id", "0"))
    first = find_event_number(last_id, wanted.id_step) + 1
    if first > 1 and rng.random() < RESTART_RATIO:
        first = rng.choice((1, rng.randint(1, first)))
    breaks_after = None
    if first <= last and rng.random() < break_ratio:
        breaks_after = rng.randint(first - 1, last - 1)
    return AnswerPlan(
        framing=rng.choices(framings, [FRAMING_WEIGHTS[item] for item in framings])[0],
        first=first,
        last=last,
        leaves_body=rng.random() < UNREAD_BODY_RATIO,
        breaks_after=breaks_after,
        breaks_within=rng.random() < BREAK_WITHIN_RATIO,
        ending=Ending.RESET if rng.random() < RESET_RATIO else Ending.ORDERLY,
    )


def cut_randomly(rng: Random, data: bytes, max_parts: int) -> Iterator[bytes]:
    """Yield the data in parts, cut at random bytes."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randint(0, max_parts - 1)))
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        if start < end:
            yield data[start:end]


class StreamReplica:
    """Serve streams and single answers, one thread for each connection."""

    def __init__(
        self,
        name: str,
        software: str,
        start: int,
        seed: int,
        log: str,
        framings: Sequence[Framing],
        unframed_cut: Ending,
        conduct: Conduct,
    ):
        self.name = name
        self.software = software
        self._start = start
        self._seed = seed
        self._log = os.open(log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self._framings = framings
        self._unframed_cut = unframed_cut
        self._ratios = conduct.ratios
        self._pauses = Pauses(PauseLock(log, name), self._ratios)
        extra_ratio = draw_ratio(Random(f"{seed} {name} extras"))
        self._extra_ratio = 0.0 if self._ratios.sound else extra_ratio
        self._run_count = 0
        self._connection_count = 0
        self._lock = threading.Lock()
        self._cuts = ConnectionCuts()

    def cut_all(self, signal_number: int, _frame) -> None:
        """Make all threads end their connections."""
        self._cuts.ending = Ending.RESET if signal_number == signal.SIGUSR1 else Ending.ORDERLY
        self._cuts.count += 1

    def write_log(self, **fields) -> None:
        """Write one line; it stays when the process is killed."""
        fields["at_ms"] = int(time.monotonic() * MS_PER_SECOND)
        os.write(self._log, json.dumps(fields).encode() + b"\n")

    def _next_run(self) -> tuple[str, Random]:
        """Return the name of a new run, and its random numbers."""
        with self._lock:
            self._run_count += 1
            run = f"{self.name}.{self._start}.{self._run_count}"
        return run, Random(f"{self._seed} {run}")

    def _next_rng(self) -> Random:
        """Return the random numbers of a new connection."""
        with self._lock:
            self._connection_count += 1
            return Random(f"{self._seed} connection {self._connection_count}")

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until it ends."""
        wire = Wire(sock, self._cuts)
        extras = Extras(wire, self._next_rng(), self._extra_ratio)
        try:
            while self._serve_one(wire, extras):
                pass
        except (ConnectionEnded, OSError):
            # The router has gone, or this replica has broken off.
            return
        finally:
            wire.close()

    def _serve_one(self, wire: Wire, extras: Extras) -> bool:
        """Serve one request; return whether the connection can carry another."""
        request = wire.read_head()
        extras.precede_answer()
        if request.target == STATUS_PATH:
            body = b'{"born":%d}' % self._start
            wire.write(self._head(request, "200 OK", f"content-length: {len(body)}") + body)
            return True
        if request.headers.get("x-expect-replica", self.name) != self.name:
            wire.read_body(request.body_bytes)
            wire.write(self._head(request, "421 Misdirected Request", "content-length: 0"))
            return True
        run, rng = self._next_run()
        serve = self._serve_stream if request.is_stream else self._serve_plain
        goes_on = serve(wire, request, run, rng)
        extra = extras.draw() if goes_on else None
        if extra is not None:
            self.write_log(run=run, extra=extra.describe())
            extras.send(extra)
        return goes_on

    def _head(self, request: Request, status: str, *fields: str, version: str = "1.1") -> bytes:
        """Return the head of an answer."""
        lines = [
            f"HTTP/{version} {status}",
            f"x-attempt-id: {request.attempt}",
            f"x-replica-signature: sig-{self.name}",
            "keep-alive: timeout=5",
            *fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _serve_plain(self, wire: Wire, request: Request, run: str, rng: Random) -> bool:
        """Serve a request with a single answer, which some break off before."""
        wire.read_body(request.body_bytes)
        self.write_log(run=run, attempt=request.attempt, target=request.target)
        with self._logged_end(run):
            self._send_plain(wire, request, rng)
        return True

    def _send_plain(self, wire: Wire, request: Request, rng: Random) -> None:
        """Send a single answer, or break off."""
        time.sleep(rng.uniform(*PLAIN_RUN_S))
        if rng.random() < self._ratios.breaks / 2:
            wire.end(Ending.RESET if rng.random() < RESET_RATIO else Ending.ORDERLY)
        self._pauses.precede_end(rng)
        body = f"{self.name}:{request.attempt}".encode()
        answer = self._head(request, "200 OK", f"content-length: {len(body)}") + body
        for part in cut_randomly(rng, answer, 3):
            wire.write(part)

    @contextmanager
    def _logged_end(self, run: str, sender: "StreamSender | None" = None) -> Iterator[None]:
        """Log how a run ended, and the last event that was sent."""
        how = "killed"
        try:
            yield
            how = "whole"
        except (ConnectionEnded, OSError) as exc:
            how = str(exc)
            raise
        finally:
            self.write_log(run=run, ended=how, last_sent=sender.last_sent if sender else None)

    def _serve_stream(self, wire: Wire, request: Request, run: str, rng: Random) -> bool:
        """Serve a stream by a random plan, and log how far it came."""
        plan = draw_plan(rng, request, self._framings, self._ratios.breaks)
        if not plan.leaves_body:
            wire.read_body(request.body_bytes)
        self.write_log(
            run=run,
            attempt=request.attempt,
            target=request.target,
            software=self.software,
            asked_after=request.headers.get("last-event-id"),
            first=plan.first,
            framing=plan.framing.value,
            plan=plan.describe(),
            body_unread=plan.leaves_body,
        )
        if plan.framing in UNFRAMED:
            wire.cut_ending = self._unframed_cut
        names = f"{self.name} {self.software} {run}"
        sender = StreamSender(wire, plan, rng, names, request, self._pauses)
        with self._logged_end(run, sender):
            sender.send(self._head)
        return plan.framing in KEPT_FRAMINGS


class StreamSender:
    """Send one stream; `last_sent` is the last event that was written whole."""

    def __init__(
        self,
        wire: Wire,
        plan: AnswerPlan,
        rng: Random,
        names: str,
        request: Request,
        pauses: "Pauses",
    ):
        self._wire = wire
        self._pauses = pauses
        self._plan = plan
        self._rng = rng
        self._request = request
        wanted = WantedStream.parse(request.target)
        self._names = f"{names} {wanted.name}"
        self._event_bytes, self._id_step = wanted.event_bytes, wanted.id_step
        self._pause_s = wanted.event_pause_ms / MS_PER_SECOND
        self.last_sent = plan.first - 1

    def send(self, make_head) -> None:
        """Send head, events and end."""
        plan, wire = self._plan, self._wire
        time.sleep(self._pause_s)
        version = "1.1" if plan.framing in (*KEPT_FRAMINGS, Framing.CONNECTION) else "1.0"
        fields = ["content-type: text/event-stream", *self._framing_fields()]
        wire.write(make_head(self._request, "200 OK", *fields, version=version))
        number = plan.first
        while number <= plan.last:
            number = self._send_batch(number)
        self._pauses.precede_end(self._rng)
        if plan.leaves_body:
            wire.read_body(self._request.body_bytes)
        if plan.framing is Framing.CHUNKED:
            self._write_in_parts(b"0\r\n\r\n")

    def _event(self, number: int) -> bytes:
        """Return one event."""
        return encode_event(number, self._names, self._event_bytes, self._id_step)

    def _framing_fields(self) -> list[str]:
        """Return the header fields that frame the body."""
        framing = self._plan.framing
        if framing is Framing.CHUNKED:
            return ["transfer-encoding: chunked"]
        if framing in (Framing.LENGTH, Framing.HTTP_1_0_LENGTH):
            numbers = range(self._plan.first, self._plan.last + 1)
            size = sum(len(self._event(number)) for number in numbers)
            return [f"content-length: {size}"]
        return ["connection: close"] if framing is Framing.CONNECTION else []

    def _send_batch(self, first: int) -> int:
        """Send a few events together, or break off; return the number of the next event."""
        plan, rng = self._plan, self._rng
        end = min(first + rng.choice((1, 1, 1, rng.randint(1, MAX_BATCH))), plan.last + 1)
        breaks = plan.breaks_after is not None and plan.breaks_after < end
        if breaks:
            end = plan.breaks_after + 1
        time.sleep(self._pause_s * max(1, end - first))
        self._pauses.precede_event(rng)
        data = b"".join(self._event(number) for number in range(first, end))
        if data:
            self._write_body(data)
        self.last_sent = end - 1
        if breaks:
            self._break_off(end)
        return end

    def _break_off(self, number: int) -> None:
        """End the connection, after a part of the next event if the plan says so."""
        if self._plan.breaks_within:
            event = self._event(number)
            self._write_body(event[: self._rng.randrange(1, len(event))])
            self._wire.cut_ending = None
        self._wire.end(self._plan.ending)

    def _write_body(self, data: bytes) -> None:
        """Write a part of the body, in chunks of random sizes if it is chunked."""
        if self._plan.framing is Framing.CHUNKED:
            parts = cut_randomly(self._rng, data, 3)
            data = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        self._write_in_parts(data)

    def _write_in_parts(self, data: bytes) -> None:
        """Write bytes, cut at random places."""
        for part in cut_randomly(self._rng, data, 3):
            self._wire.write(part)
            time.sleep(self._rng.choice((0, 0, PART_PAUSE_S)))


class Pauses:
    """When the streams of a replica are silent, by its conduct."""

    def __init__(self, lock: PauseLock, ratios: Ratios):
        self._lock = lock
        self._ratios = ratios

    def precede_event(self, rng: Random) -> None:
        """Be silent before some events."""
        if rng.random() < self._ratios.pauses:
            self._pause(rng)

    def precede_end(self, rng: Random) -> None:
        """Be silent before the end of some answers, if the conduct has such pauses."""
        if self._ratios.end_pauses and rng.random() < self._ratios.end_pauses:
            self._pause(rng)

    def _pause(self, rng: Random) -> None:
        """Be silent, unless the process has been suspended until a moment ago."""
        span_s = rng.uniform(*self._ratios.pause_s)
        with self._lock.hold_for_pause() as may_pause:
            if may_pause:
                time.sleep(span_s)


def open_listener(port: int) -> socket.socket:
    """Return a listener on a port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(128)
    return listener


def main() -> None:
    """Serve until the process is ended."""
    name, software, start, seed, log, framings, cut, conduct, port, *descriptors = sys.argv[1:]
    chosen = [Framing(value) for value in framings.split(",")]
    replica = StreamReplica(
        name, software, int(start), int(seed), log, chosen, Ending(cut), Conduct(conduct)
    )
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(number, replica.cut_all)
    if descriptors:
        listener = socket.socket(fileno=int(descriptors[0]))
    else:
        listener = open_listener(int(port))
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=replica.serve, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main()
