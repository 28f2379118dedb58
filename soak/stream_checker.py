"""Check what callers received over all tries of their requests, without I/O."""

import json
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from standins.stream_events import EVENT_BYTES, EVENT_END, PADDING, has_size, make_event_id

# Statuses that guarantee that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
STATUS_OK = 200
# Replicas that may run one try of a resumable stream or an idempotent request.
MAX_RUNS = 2
# The services; the name of a replica begins with its service.
STREAM_SERVICE, PLAIN_SERVICE = "lm", "till"
SHOWN_BYTES = 200


class Kind(Enum):
    """The kind of a request; its value is the prefix of its route."""

    STREAM = "/chat/"
    ONCE = "/once/"
    BRIEF = "/brief/"
    NON_IDEMPOTENT = "/redeem/"
    IDEMPOTENT = "/check/"

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (Kind.STREAM, Kind.ONCE, Kind.BRIEF)

    @property
    def resumable(self) -> bool:
        """Return whether the answer is a stream that callers may take up."""
        return self.is_stream and self.repeatable

    @property
    def service(self) -> str:
        """Return the service that serves it."""
        return STREAM_SERVICE if self.is_stream else PLAIN_SERVICE

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self not in (Kind.ONCE, Kind.NON_IDEMPOTENT)


class TryEnd(Enum):
    """How a try ended for its caller."""

    OPEN = "open"
    COMPLETE = "complete"
    CUT = "ended before its end"
    RESET = "reset"
    LEFT = "left by the caller"
    NOT_SENT = "not connected"


@dataclass(frozen=True)
class Received:
    """One event that a caller received, as its data names it."""

    number: int
    replica: str
    software: str
    run: str
    request: str


@dataclass
class Try:
    """One try of a request at one router, and what came back.

    `resume_after` is the last event that the caller had when it sent the try.  With `dropped` the
    caller began the stream again, so that nothing of this try counts.  With `event_bytes` events
    of another size are unreadable, and so are those whose ids are not of its `id_step`.

    One with `repeats_id` names the id of a try that goes on.  What comes on a connection that is
    `apart` is an answer of its own, which the caller joins with no other.  With `went_on_late` the
    stream was taken up while this connection was silent, and then it brought events again.
    `reads_slowly` is whether the caller pauses, or takes little at a time, and `end_believed` is
    whether its router could not tell an early end from that of a whole stream.
    """

    attempt: str
    router: str
    resume_after: int = 0
    http_1_0: bool = False
    status: int = 0
    end: TryEnd = TryEnd.OPEN
    started_ms: int = 0
    deadline_ms: int | None = None
    answered_ms: int = 0
    progress_ms: int = 0
    ended_ms: int = 0
    retry_after_s: float = 0.0
    dropped: bool = False
    repeats_id: bool = False
    apart: bool = False
    silent: bool = False
    went_on_late: bool = False
    reads_slowly: bool = False
    end_believed: bool = False
    event_bytes: int | None = None
    id_step: int = 1
    body: bytearray = field(default_factory=bytearray)
    events: list[Received] = field(default_factory=list)
    unreadable: list[bytes] = field(default_factory=list)

    def receive(self, data: bytes, *, is_stream: bool) -> None:
        """Add bytes of the body; only whole events count."""
        if self.dropped:
            return
        self.body += data
        if not is_stream or self.status != STATUS_OK:
            return
        *whole, rest = bytes(self.body).split(EVENT_END)
        self.body = bytearray(rest)
        for raw in whole:
            event = parse_event(raw, self.id_step)
            wrong_size = self.event_bytes is not None and not has_size(raw, self.event_bytes)
            if event is None or wrong_size:
                self.unreadable.append(raw)
            else:
                self.events.append(event)

    @property
    def last_event(self) -> int:
        """Return the last event that the caller has after this try."""
        return self.events[-1].number if self.events else self.resume_after


@dataclass
class SentCall:
    """One request of a caller, over all its tries.

    `last` is the last event of its stream, `event_bytes` the size of each, and `id_step` tells
    their ids.  With `unknown_resumes` the caller names a try that nobody made when it takes it up.
    """

    name: str
    kind: Kind
    last: int = 0
    event_bytes: int = EVENT_BYTES
    id_step: int = 1
    unknown_resumes: bool = False
    tries: list[Try] = field(default_factory=list)

    def held(self) -> int:
        """Return the last event that the caller has."""
        return max((item.last_event for item in self.tries if not item.apart), default=0)

    def first_attempt(self) -> str | None:
        """Return the id of the try that brought the first event."""
        first = self._first_try()
        return first.attempt if first is not None else None

    def _first_try(self) -> Try | None:
        """Return the try that brought the first event."""
        for item in self.tries:
            if item.events and item.resume_after == 0 and not item.apart:
                return item
        return None

    def is_served(self) -> bool:
        """Return whether a try was complete."""
        complete = [item for item in self.tries if item.end is TryEnd.COMPLETE and not item.apart]
        return any(item.status == STATUS_OK for item in complete)

    def oldest_resumption_ms(self) -> int:
        """Return how long after its begin the stream was last taken up and went on, 0 if never."""
        first = self._first_try()
        resumed = [item for item in self.tries if item.events and item.resume_after]
        if first is None:
            return 0
        return max((item.answered_ms - first.answered_ms for item in resumed), default=0)


@dataclass
class ReplicaRun:
    """One run of a request, as its replica logged it; the fields with defaults are of streams.

    `asked_after` is the event after which the router wanted it, `first` where it began, and `extra`
    what the replica sent after the answer although nobody asked for it.
    """

    run: str
    attempt: str
    replica: str
    software: str = ""
    asked_after: str | None = None
    first: int = 0
    framing: str = ""
    plan: str = ""
    body_unread: bool = False
    ended: str = "killed"
    ended_ms: int | None = None
    last_sent: int | None = None
    extra: str = "nothing"

    @property
    def service(self) -> str:
        """Return the service that the replica's name begins with, empty if with none."""
        service, dash, _ = self.replica.partition("-")
        return service if dash else ""

    def describe(self) -> str:
        """Return the run as text."""
        body = ", body unread" if self.body_unread else ""
        return (
            f"run {self.run} {self.software} asked after {self.asked_after}, began at "
            f"{self.first}, framing {self.framing}, plan {self.plan}{body}, "
            f"last sent {self.last_sent}, ended: {self.ended}, followed by {self.extra}"
        )


def parse_event(raw: bytes, id_step: int = 1) -> Received | None:
    """Return an event, or `None` if it is not as replicas make them."""
    lines = raw.decode("latin-1").split("\n")
    words = lines[-1].rstrip(PADDING.decode()).split(" ")
    if len(lines) != 2 or len(words) != 6 or words[0] != "data:":
        return None
    if not words[5].isdigit() or lines[0] != f"id: {make_event_id(int(words[5]), id_step)}":
        return None
    return Received(int(words[5]), *words[1:5])


def parse_runs(lines: list[str]) -> list[ReplicaRun]:
    """Return the runs in the lines of replicas' logs."""
    runs: dict[str, ReplicaRun] = {}
    for line in lines:
        fields = json.loads(line)
        name = fields["run"]
        if "attempt" in fields:
            runs[name] = make_run(fields)
        elif "extra" in fields:
            runs[name].extra = fields["extra"]
        elif name in runs:
            runs[name].ended, runs[name].last_sent = fields["ended"], fields["last_sent"]
            runs[name].ended_ms = fields["at_ms"]
    return list(runs.values())


def make_run(fields: dict[str, Any]) -> ReplicaRun:
    """Return the run in a line that a replica logged at its start."""
    return ReplicaRun(
        run=fields["run"],
        attempt=fields["attempt"],
        replica=fields["run"].partition(".")[0],
        software=fields.get("software", ""),
        asked_after=fields.get("asked_after"),
        first=fields.get("first", 0),
        framing=fields.get("framing", ""),
        plan=fields.get("plan", ""),
        body_unread=fields.get("body_unread", False),
    )


class StreamChecker:
    """Check each request when all is over, and collect the violations."""

    def __init__(self, runs: list[ReplicaRun]):
        self.violations: list[str] = []
        self._runs: dict[str, list[ReplicaRun]] = defaultdict(list)
        for run in runs:
            self._runs[run.attempt].append(run)

    def check(self, call: SentCall, more: Sequence[str] = ()) -> None:
        """Check one request; `more` is what else was found wrong with it."""
        found = [*more, *self._check_runs(call)]
        if call.kind.is_stream:
            found += check_events(call)
        else:
            found += check_answers(call)
        if found:
            self.violations.append("\n    ".join(["; ".join(found), *self.history(call)]))

    def _check_runs(self, call: SentCall) -> list[str]:
        """Return what is wrong with how often a request ran."""
        found = []
        counts = {item.attempt: len(self._runs[item.attempt]) for item in call.tries}
        if not call.kind.repeatable and sum(counts.values()) > 1:
            found.append(f"ran {sum(counts.values())} times and may run once")
        refused = [item for item in call.tries if item.status in NOT_RUN_STATUSES]
        for attempt, sent in Counter(item.attempt for item in call.tries).items():
            turned_away = sum(item.attempt == attempt for item in refused)
            if counts[attempt] > MAX_RUNS * max(1, sent - turned_away):
                where = "one try" if sent == 1 else f"the {sent} connections of {attempt}"
                found.append(f"ran {counts[attempt]} times within {where}")
            if turned_away == sent and counts[attempt]:
                status = next(item.status for item in refused if item.attempt == attempt)
                found.append(f"status {status} for {attempt}, which ran")
        runs = [run for item in call.tries for run in self._runs[item.attempt]]
        if any(run.service not in ("", call.kind.service) for run in runs):
            found.append("ran at another service")
        return found

    def history(self, call: SentCall) -> list[str]:
        """Return the tries and runs of a request, one a line."""
        lines = [f"{call.name} {call.kind.value} of {call.last} events of {call.event_bytes} B"]
        for item in call.tries:
            version = "HTTP/1.0" if item.http_1_0 else "HTTP/1.1"
            lines.append(
                f"try {item.attempt} at {item.router} {version} from {item.started_ms} to "
                f"{item.ended_ms} ms: status {item.status}, after {item.resume_after}, "
                f"{'an answer of its own, ' if item.apart else ''}"
                f"events {describe_events(item.events)}, {len(item.body)} B left, {item.end.value}"
            )
            if not item.repeats_id:
                lines += [f"  {run.describe()}" for run in self._runs[item.attempt]]
        return lines


def describe_events(events: list[Received]) -> str:
    """Return ranges of event numbers, with the run that made them."""
    ranges: list[list] = []
    for event in events:
        if ranges and ranges[-1][2] == event.run and ranges[-1][1] + 1 == event.number:
            ranges[-1][1] = event.number
        else:
            ranges.append([event.number, event.number, event.run, event.software])
    texts = [f"{first}-{last} of {run} {software}" for first, last, run, software in ranges]
    return ", ".join(texts) or "none"


def check_events(call: SentCall) -> list[str]:
    """Return what is wrong with the events of a stream, over all its tries."""
    found = []
    for item in call.tries:
        expected = item.resume_after
        for event in item.events:
            expected += 1
            if event.number != expected:
                found.append(f"{item.attempt}: event {event.number} in place of {expected}")
                break
        if item.unreadable:
            found.append(f"{item.attempt}: no event: {item.unreadable[0][:SHOWN_BYTES]!r}")
        if item.end is TryEnd.COMPLETE and item.status == STATUS_OK:
            if item.last_event != call.last and not item.end_believed:
                found.append(f"{item.attempt}: complete after event {item.last_event}")
            if item.body:
                found.append(f"{item.attempt}: complete within an event")
    events = [event for item in call.tries for event in item.events]
    found += check_versions([item for item in call.tries if not item.apart])
    for item in call.tries:
        found += check_versions([item]) if item.apart else []
    if any(event.request != call.name for event in events):
        found.append("events of another request")
    if any(event.run.partition(".")[0] != event.replica for event in events):
        found.append("a run with events of two replicas")
    return found


def check_versions(tries: Sequence[Try]) -> list[str]:
    """Return what is wrong with the software versions of tries that bring one stream."""
    versions = sorted({event.software for item in tries for event in item.events})
    return [f"joined versions {', '.join(versions)}"] if len(versions) > 1 else []


def check_answers(call: SentCall) -> list[str]:
    """Return what is wrong with the single answers of a request."""
    found = []
    for item in call.tries:
        if item.end is TryEnd.COMPLETE and item.status == STATUS_OK:
            if not item.body.endswith(f":{item.attempt}".encode()):
                found.append(f"{item.attempt}: not its own answer: {bytes(item.body)!r}")
    return found
