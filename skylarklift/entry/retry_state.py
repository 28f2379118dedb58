"""Whether a request may be sent once more, and what its caller is told otherwise."""

from dataclasses import dataclass
from enum import Enum

from skylarklift.entry.model import Route, RouteKind

# Sends of one request, those that reached nobody included.
MAX_ATTEMPTS = 4


class Outcome(Enum):
    """How one send of a request ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(slots=True)
class RetryState:
    """The sends of one request so far.

    `runs` counts those that may have run; `forwarded` tells that a part of an answer has
    reached the client.
    """

    route: Route
    attempts: int = 0
    possible_runs: int = 0
    forwarded: bool = False

    def record(self, outcome: Outcome) -> None:
        """Count a send by how it ended."""
        self.attempts += 1
        if outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT):
            self.possible_runs += 1

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        route = self.route
        return route.kind is RouteKind.IDEMPOTENT or (
            route.kind is RouteKind.STREAM and route.resumable
        )

    def may_retry(self, outcome: Outcome) -> bool:
        """Tell whether another send may follow one that ended so."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if self.forwarded and self.route.kind is not RouteKind.STREAM:
            # Only events can be gone on with; the client has a part of another answer.
            return False
        if outcome in (Outcome.NOT_SENT, Outcome.NOT_RUN):
            return True
        return self.repeatable and self.possible_runs < self.route.attempts

    @property
    def cannot_have_run(self) -> bool:
        """Tell whether no send of the request can have run."""
        return self.possible_runs == 0 and not self.forwarded


def uses_retry_budget(outcome: Outcome) -> bool:
    """Tell whether a send that follows is a further arrival at the service."""
    return outcome is not Outcome.NOT_SENT
