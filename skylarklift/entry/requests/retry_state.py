"""Decide whether another attempt of a request is allowed after one that failed."""

from dataclasses import dataclass
from enum import Enum

from skylarklift.entry.model import Route, RouteKind

# Limit on the attempts of one request, including those that did not reach an upstream.
MAX_ATTEMPTS = 4


class Outcome(Enum):
    """How one attempt of a request ended.

    `NOT_SENT`: no connection was made.  `NOT_RUN`: the upstream said that it did not run the
    request.  `FAILED`: it responded with a server error.  `BROKEN`: the connection broke, or the
    response was incomplete or invalid.  `SILENT`: no response was complete before the deadline.
    `UNCONFIRMED`: a stream that only its connection ends has ended, and another run behind its last
    event would show whether that was its end.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    UNCONFIRMED = "unconfirmed"


class RetryDenial(Enum):
    """Why no other attempt follows one that failed.

    `ATTEMPTS`: the limit on attempts.  `POSITION`: a part of a response that nothing can go on from
    has been sent.  `ROUTE`: the request may run once.  `RUNS`: the route allows no more runs.
    `DEADLINE`: no time is left.  `HOLD`: the request crashes upstreams.  `BUDGET`: no retry budget.
    """

    ATTEMPTS = "attempts"
    POSITION = "position"
    ROUTE = "route"
    RUNS = "runs"
    DEADLINE = "deadline"
    HOLD = "hold"
    BUDGET = "budget"


@dataclass(slots=True)
class RetryState:
    """The attempts of one request so far.

    `possible_runs` counts the attempts in which the request may have run; `forwarded` is set
    once a part of a response has been sent to the caller, and `position_known` while another run
    of a stream could go on from there.  `excused` is whether the last attempt does not count
    towards the limit on attempts.
    """

    route: Route
    attempts: int = 0
    possible_runs: int = 0
    forwarded: bool = False
    position_known: bool = True
    excused: bool = False

    def record(self, outcome: Outcome, *, excused: bool = False) -> None:
        """Count a finished attempt; an excused one may be followed by another in any case."""
        self.attempts += 1
        self.excused = excused
        if outcome not in (Outcome.NOT_SENT, Outcome.NOT_RUN):
            self.possible_runs += 1

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        route = self.route
        return route.kind is RouteKind.IDEMPOTENT or (
            route.kind is RouteKind.STREAM and route.resumable
        )

    def denial(self, outcome: Outcome) -> RetryDenial | None:
        """Return why no other attempt may follow one with this outcome, `None` if one may."""
        if self.attempts >= MAX_ATTEMPTS and not self.excused:
            return RetryDenial.ATTEMPTS
        if self.forwarded and not (self.route.kind is RouteKind.STREAM and self.position_known):
            # The caller has a part of a response, and only a stream of events can be resumed.
            return RetryDenial.POSITION
        if outcome in (Outcome.NOT_SENT, Outcome.NOT_RUN):
            return None
        if not self.repeatable:
            return RetryDenial.ROUTE
        return RetryDenial.RUNS if self.runs_used_up else None

    @property
    def runs_used_up(self) -> bool:
        """Return whether the route allows no other run of the request."""
        return self.possible_runs >= self.route.max_runs

    @property
    def cannot_have_run(self) -> bool:
        """Return whether the request has certainly run in none of its attempts."""
        return self.possible_runs == 0 and not self.forwarded


def uses_retry_budget(outcome: Outcome) -> bool:
    """Return whether a retry adds to the load of the service and so spends retry budget.

    An attempt that was not sent did not reach the service, so its retry is free.
    """
    return outcome is not Outcome.NOT_SENT
