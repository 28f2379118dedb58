"""Search every order of a few events for violated invariants of the entry router.

The search runs the router's own classes (`RowCache`, `RetryState`, `RateLimits`, ...), not a
model of them.  Each system adds their environment: a store, messages in transit, time.
Each distinct state is searched once.
"""

import argparse
import sys
import time
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

from skylarklift.entry.model import Route, RouteKind
from skylarklift.entry.requests.retry_state import Outcome, RetryState
from tools.limit_orders import ColdReplicaSystem, NamedLimitSystem
from tools.order_search import System, search
from tools.row_orders import RestoredRowsSystem, RowsSystem

# Attempts of one request.

# Whether the request counts as run after each outcome; true if it may have run.
RUNS_BY_OUTCOME = {
    Outcome.ANSWERED: True,
    Outcome.FAILED: True,
    Outcome.BROKEN: True,
    Outcome.SILENT: True,
    Outcome.UNCONFIRMED: True,
    Outcome.NOT_RUN: False,
    Outcome.NOT_SENT: False,
}


@dataclass
class RequestSystem(System):
    """A request whose attempts end in any outcome, until one succeeds or no retry is allowed."""

    attempts: RetryState
    runs: int = 0
    finished: bool = False
    reported_not_run: bool = False

    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""
        if not self.finished:
            yield from (outcome.name for outcome in Outcome)
            yield "part of the response, then BROKEN"

    def apply_event(self, event: str) -> None:
        """Change the state by one event."""
        partly = event.startswith("part")
        outcome = Outcome.BROKEN if partly else Outcome[event]
        self.runs += RUNS_BY_OUTCOME[outcome]
        if outcome is Outcome.ANSWERED:
            self.finished = True
            return
        self.attempts.forwarded = self.attempts.forwarded or partly
        self.attempts.record(outcome)
        if self.attempts.denial(outcome) is not None:
            self.finished = True
            self.reported_not_run = self.attempts.cannot_have_run

    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""
        attempts = self.attempts
        return (
            attempts.attempts,
            attempts.possible_runs,
            attempts.forwarded,
            self.runs,
            self.finished,
        )

    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""
        route = self.attempts.route
        must_run_once = route.kind is RouteKind.NON_IDEMPOTENT or (
            route.kind is RouteKind.STREAM and not route.resumable
        )
        if must_run_once and self.runs > 1:
            return "a request that must run at most once ran again"
        if self.runs > route.max_runs:
            return "more runs than the route allows"
        if self.reported_not_run and self.runs:
            return "reported as not run, but it ran"
        return ""


def make_request_system(kind: RouteKind, *, resumable: bool = False) -> RequestSystem:
    """Return a request on a route that allows two runs."""
    route = Route("r", "h", "/", kind, (), 5000, 500, 1, 2, False, False, resumable)
    return RequestSystem(RetryState(route))


SYSTEMS = {
    "rows": RowsSystem,
    "rows of a restored store": RestoredRowsSystem,
    "a named limit": NamedLimitSystem,
    "an idempotent request": lambda: make_request_system(RouteKind.IDEMPOTENT),
    "a non-idempotent request": lambda: make_request_system(RouteKind.NON_IDEMPOTENT),
    "a resumable stream": lambda: make_request_system(RouteKind.STREAM, resumable=True),
    "a non-resumable stream": lambda: make_request_system(RouteKind.STREAM),
    "a cold replica": ColdReplicaSystem,
}


def main() -> int:
    """Search all systems; return 1 if an invariant is violated."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=7)
    options = parser.parse_args()
    violations = 0
    for name, make in SYSTEMS.items():
        began = time.monotonic()
        found = search(make(), options.depth)
        violations += found is not None
        text = "holds" if found is None else f"VIOLATED by {found}"
        print(f"{name}: {text}, {time.monotonic() - began:.0f} s", flush=True)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
