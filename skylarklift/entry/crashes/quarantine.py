"""Hold back requests, or parts of prompts, that crash upstreams, at every router.

A hold ends after a time, which doubles with each further one.  From then on a single request is
let through as a trial: if it is served, the hold is released; if it crashes its upstream, the
next one begins.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.entry.crashes.crash_records import Suspect

FIRST_HOLD_MS = 30000
MAX_DOUBLINGS = 8
MAX_HOLD_MS = 600_000
# After a hold, the router of rank 0 may let a trial through at once.  Others follow, twice as many
# after each of these intervals: the first ones may get no such request.
TRIAL_STAGGER_MS = 2000
MAX_STAGGER_STEPS = 10
# A hold that no trial has ended is dropped after this time, as no such requests arrive.
TRIAL_WINDOW_MS = 60000
# A released hold is remembered for this long, so that routers which did not hear of the release
# cannot bring it back.
RELEASED_TTL_MS = 60000
MAX_HOLDS = 64


class HoldState(Enum):
    """Whether a suspect is held back or has been released."""

    HELD = "held"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Hold:
    """The decision to hold a suspect back, as all routers know it.

    `term` counts the holds of the suspect so far; `held_at` is the start of the first one.
    `learned_at` is when this router learned of the present state, and `crashes` the number of
    crashes that led to the hold.
    """

    suspect: Suspect
    state: HoldState
    term: int
    held_at: Millis
    until: Millis
    crashes: int
    learned_at: Millis

    def supersedes(self, other: "Hold") -> bool:
        """Return whether this is a later decision than another one on the same suspect."""
        return self._order() > other._order()

    def _order(self) -> tuple[int, bool]:
        return self.term, self.state is HoldState.RELEASED


class Quarantine:
    """The suspects that are held back or were released lately."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._holds: dict[Suspect, Hold] = {}
        self._tried: dict[Suspect, int] = {}

    def hold(self, suspect: Suspect, crashes: int) -> Hold:
        """Hold a suspect back, for longer if that was done before."""
        doublings = min(self._next_term(suspect) - 1, MAX_DOUBLINGS)
        return self._hold(suspect, crashes, min(FIRST_HOLD_MS << doublings, MAX_HOLD_MS))

    def put_on_trial(self, suspect: Suspect, crashes: int) -> Hold:
        """Hold a suspect back for no time, so that a single request decides at once."""
        return self._hold(suspect, crashes, 0)

    def _hold(self, suspect: Suspect, crashes: int, span_ms: int) -> Hold:
        """Hold a suspect back for a time."""
        now, before = self._clock.now(), self._holds.get(suspect)
        term = self._next_term(suspect)
        held_at = before.held_at if before and before.state is HoldState.HELD else now
        until = Millis(now + span_ms)
        return self._store(Hold(suspect, HoldState.HELD, term, held_at, until, crashes, now))

    def _next_term(self, suspect: Suspect) -> int:
        """Return the term of a suspect's next hold."""
        before = self._holds.get(suspect)
        return before.term + 1 if before else 1

    def release(self, suspect: Suspect) -> Hold | None:
        """Release a suspect since it was served; return `None` if it is not held."""
        before = self._holds.get(suspect)
        if before is None or before.state is not HoldState.HELD:
            return None
        now = self._clock.now()
        return self._store(replace(before, state=HoldState.RELEASED, until=now, learned_at=now))

    def apply_reported(self, reported: Hold) -> bool:
        """Apply another router's decision; return whether it is later than the known one."""
        known = self._holds.get(reported.suspect)
        if known is not None and not reported.supersedes(known):
            return False
        if self._is_over(reported):
            return False
        self._store(reported)
        return True

    def _store(self, hold: Hold) -> Hold:
        """Store a decision; drop the oldest one if there are too many."""
        self._holds.pop(hold.suspect, None)
        self._holds[hold.suspect] = hold
        while len(self._holds) > MAX_HOLDS:
            del self._holds[next(iter(self._holds))]
        return hold

    def find(self, suspects: Iterable[Suspect]) -> Hold | None:
        """Return the first hold on one of the suspects, `None` if none is held back."""
        if not self._holds:
            return None
        for suspect in suspects:
            hold = self._holds.get(suspect)
            if hold is not None and hold.state is HoldState.HELD and not self._is_over(hold):
                return hold
        return None

    def is_on_trial(self, hold: Hold) -> bool:
        """Return whether the time of a hold is over, so that a trial decides about the next."""
        return self._clock.now() >= hold.until

    def start_trial(self, hold: Hold, rank: int) -> bool:
        """Return whether a request may be let through as a trial, once for each hold.

        `rank` is this router's rank, from 0, in the suspect's order of all routers.
        """
        if not self.is_on_trial(hold) or self._tried.get(hold.suspect) == hold.term:
            return False
        steps = (self._clock.now() - hold.until) // TRIAL_STAGGER_MS
        if rank >= 1 << min(steps, MAX_STAGGER_STEPS):
            return False
        self._tried[hold.suspect] = hold.term
        return True

    def _is_over(self, hold: Hold) -> bool:
        """Return whether a decision is too old to be remembered."""
        ttl_ms = TRIAL_WINDOW_MS if hold.state is HoldState.HELD else RELEASED_TTL_MS
        return self._clock.now() > hold.until + ttl_ms

    def expire(self) -> list[Hold]:
        """Drop what is too old; return the holds that ended so, without a release."""
        over = [hold for hold in self._holds.values() if self._is_over(hold)]
        for hold in over:
            del self._holds[hold.suspect]
            self._tried.pop(hold.suspect, None)
        return [hold for hold in over if hold.state is HoldState.HELD]

    def decisions(self) -> list[Hold]:
        """Return all holds and releases that are remembered."""
        return list(self._holds.values())

    def held(self) -> list[Hold]:
        """Return the holds that are in force."""
        return [hold for hold in self._holds.values() if hold.state is HoldState.HELD]
