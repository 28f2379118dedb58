"""Judge the promises by what clients got and what replicas ran."""

from collections import Counter
from dataclasses import dataclass, field

from skylarklift.upstreams.events import EventSplitter
from standins.entryworld import Answer
from standins.replica import Replica

# Statuses that say that a request has not run.
PROMISES = (408, 421, 429, 503)
EVENTS = 6
# Bounds of the pages: how long calm must last before the bounds hold, and the bounds.
CALM_S = 4.0
IN_FORCE_S = 2.0
GRACE_S = 8.0
# A request sent this long ago has surely been read.
SENT_S = 0.05
# Faults that are planned work and cut off nothing.
PLANNED = ("router_stop", "router_stops_in_series")


@dataclass
class Sent:
    """One request of a client and what came of it."""

    request: str
    path: str
    key: str
    router: str
    at: float
    answer: Answer = field(default_factory=Answer)
    done_at: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.path.startswith(("/check/", "/chat/"))


@dataclass
class Disturbance:
    """A fault from its start to its end."""

    kind: str
    start: float
    end: float = float("inf")


@dataclass
class Judge:
    """Collect what happened and name each broken promise."""

    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    sent: list[Sent] = field(default_factory=list)
    disturbed: list[Disturbance] = field(default_factory=list)
    # When each router was told to stop.
    stops: list[tuple[str, float]] = field(default_factory=list)
    key_gone_at: dict[str, float] = field(default_factory=dict)
    key_new_at: dict[str, float] = field(default_factory=dict)

    def calm(self, start: float, end: float) -> bool:
        """Tell whether nothing disturbed a span or the time before it."""
        return not any(item.start < end and item.end > start - CALM_S for item in self.disturbed)

    def take(self, sent: Sent) -> None:
        """Judge one request by its answer."""
        self.sent.append(sent)
        answer = sent.answer
        self.counts[f"status {answer.status}"] += 1
        if answer.status == 200 and answer.whole and not self.own_answer(sent):
            self.broken.append(f"{sent.request} at {sent.router}: not its own whole answer")
        if any(self._cut_by_stop(sent, name, at) for name, at in self.stops):
            self.broken.append(f"{sent.request} at {sent.router}: cut at its stop")
        gone_at = self.key_gone_at.get(sent.key)
        if gone_at is not None:
            late = sent.at > gone_at + IN_FORCE_S and self.calm(gone_at, sent.done_at)
            if late and answer.status == 200:
                self.broken.append(f"{sent.request} at {sent.router}: a key gone for long")
            return
        new_at = self.key_new_at.get(sent.key, 0.0)
        if sent.at < new_at + IN_FORCE_S or not self.calm(new_at, sent.done_at):
            return
        if self.calm(sent.at, sent.done_at) and not (answer.status == 200 and answer.whole):
            text = f"status {answer.status}, whole {answer.whole}"
            self.broken.append(f"{sent.request} at {sent.router}: {text} while all was calm")

    def _cut_by_stop(self, sent: Sent, name: str, at: float) -> bool:
        """Tell whether a router that was told to stop dropped a request that ran there.

        Other faults in that span, or just before, excuse it.
        """
        if sent.router != name or not sent.at < at - SENT_S or not at < sent.done_at < at + GRACE_S:
            return False
        excused = any(
            item.kind not in PLANNED and item.start < sent.done_at and item.end > at - CALM_S
            for item in self.disturbed
        )
        return not sent.answer.whole and not excused

    @staticmethod
    def own_answer(sent: Sent) -> bool:
        """Tell whether an answer is the whole one to this request."""
        body = sent.answer.body
        if sent.path.startswith(("/chat/", "/once/")):
            numbers = [event.event_id for event in EventSplitter().feed(body)]
            return numbers == list(range(1, EVENTS + 1))
        return body.endswith(f":{sent.request}".encode())

    def judge_runs(self, replicas: list[Replica]) -> None:
        """Judge at the end what replicas ran against what clients were told."""
        runs = Counter(run.request for replica in replicas for run in replica.runs)
        known = {item.request for item in self.sent}
        for sent in self.sent:
            count = runs[sent.request]
            if count > 1 and not sent.repeatable:
                self.broken.append(f"{sent.request} at {sent.router}: ran {count} times")
            if count and sent.answer.status in PROMISES:
                text = f"status {sent.answer.status}, but ran"
                self.broken.append(f"{sent.request} at {sent.router}: {text}")
        self.broken += [f"{name} ran and nobody sent it" for name in runs.keys() - known]
