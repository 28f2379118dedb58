"""Check the routers' invariants by what callers received and what replicas ran."""

from collections import Counter
from dataclasses import dataclass, field

from skylarklift.upstreams.events import EventSplitter
from standins.entry_world import Response
from standins.replica import Replica

# Statuses that guarantee that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS_PER_STREAM = 6
# The documented limits: the time after a fault until the invariants hold again, the time for a
# change of keys to take effect, and the grace period of a shutdown.
RECOVERY_S = 4.0
KEY_CHANGE_LIMIT_S = 2.0
GRACE_S = 8.0
# A request that was sent this long ago has been read by its router.
REQUEST_READ_S = 0.05
# Faults that are planned shutdowns, which must not abort requests.
PLANNED_STOPS = ("router_stop", "router_stops_in_series", "router_stop_signals")
# What no request may notice.
HARMLESS_KINDS = ("router_reloads",)


@dataclass
class SentRequest:
    """A request of a caller and its response."""

    request_id: str
    path: str
    key: str
    router: str
    sent_at: float
    response: Response = field(default_factory=Response)
    done_at: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.path.startswith(("/check/", "/chat/"))


@dataclass
class FaultSpan:
    """A kind of fault, with its start and end time."""

    kind: str
    start: float
    end: float = float("inf")


@dataclass
class Checker:
    """Collects requests and faults, and lists each violation of an invariant."""

    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    requests: list[SentRequest] = field(default_factory=list)
    fault_spans: list[FaultSpan] = field(default_factory=list)
    # Names of routers and when SIGTERM was sent to them.
    shutdowns: list[tuple[str, float]] = field(default_factory=list)
    key_removed_at: dict[str, float] = field(default_factory=dict)
    key_added_at: dict[str, float] = field(default_factory=dict)

    def is_undisturbed(self, start: float, end: float) -> bool:
        """Return whether no fault was active in a span or in the `RECOVERY_S` before it."""
        return not any(
            item.kind not in HARMLESS_KINDS and item.start < end and item.end > start - RECOVERY_S
            for item in self.fault_spans
        )

    def check_response(self, sent: SentRequest) -> None:
        """Record one request and check its response."""
        self.requests.append(sent)
        response = sent.response
        self.counts[f"status {response.status}"] += 1
        if response.status == 200 and response.complete and not self.is_own_response(sent):
            self.violations.append(
                f"{sent.request_id} at {sent.router}: not its own complete response"
            )
        if any(self._aborted_by_shutdown(sent, name, at) for name, at in self.shutdowns):
            self.violations.append(
                f"{sent.request_id} at {sent.router}: cut off by the router's shutdown"
            )
        removed_at = self.key_removed_at.get(sent.key)
        if removed_at is not None:
            late = sent.sent_at > removed_at + KEY_CHANGE_LIMIT_S and self.is_undisturbed(
                removed_at, sent.done_at
            )
            if late and response.status == 200:
                self.violations.append(
                    f"{sent.request_id} at {sent.router}: accepted a removed key"
                )
            return
        added_at = self.key_added_at.get(sent.key, 0.0)
        if sent.sent_at < added_at + KEY_CHANGE_LIMIT_S or not self.is_undisturbed(
            added_at, sent.done_at
        ):
            return
        if self.is_undisturbed(sent.sent_at, sent.done_at) and not (
            response.status == 200 and response.complete
        ):
            text = f"status {response.status}, complete {response.complete}"
            self.violations.append(f"{sent.request_id} at {sent.router}: {text} while fault-free")

    def _aborted_by_shutdown(self, sent: SentRequest, name: str, at: float) -> bool:
        """Return whether the shutdown of a router aborted a request that ran there.

        An unplanned fault at that time, or shortly before it, excuses the abort.
        """
        if (
            sent.router != name
            or not sent.sent_at < at - REQUEST_READ_S
            or not at < sent.done_at < at + GRACE_S
        ):
            return False
        excused = any(
            item.kind not in PLANNED_STOPS + HARMLESS_KINDS
            and item.start < sent.done_at
            and item.end > at - RECOVERY_S
            for item in self.fault_spans
        )
        return not sent.response.complete and not excused

    @staticmethod
    def is_own_response(sent: SentRequest) -> bool:
        """Return whether the response is complete and belongs to this request."""
        body = sent.response.body
        if sent.path.startswith(("/chat/", "/once/")):
            numbers = [event.event_id for event in EventSplitter().feed(body)]
            return numbers == list(range(1, EVENTS_PER_STREAM + 1))
        return body.endswith(f":{sent.request_id}".encode())

    def check_runs(self, replicas: list[Replica]) -> None:
        """Compare what the replicas ran with the responses, after the end of the run."""
        runs = Counter(run.request_id for replica in replicas for run in replica.runs)
        known = {item.request_id for item in self.requests}
        for sent in self.requests:
            count = runs[sent.request_id]
            if count > 1 and not sent.repeatable:
                self.violations.append(f"{sent.request_id} at {sent.router}: ran {count} times")
            if count and sent.response.status in NOT_RUN_STATUSES:
                text = f"status {sent.response.status}, but ran"
                self.violations.append(f"{sent.request_id} at {sent.router}: {text}")
        self.violations += [f"{name} ran but was never sent" for name in runs.keys() - known]
