"""Leases granted by majority votes of a few routers, without a write to the store.

A lease has a name (``pool/NAME``).  Its voters are the routers that come first in
rendezvous order for that name among the members of the view.  A voter stores one
holder for each name until the vote expires, in memory only; after a restart it does
not vote until the longest possible earlier vote has expired.  The holder counts its
lease from before it asked and the voter counts its vote from when it answered, so a
lease always ends at the holder first, and no clocks are compared.

A holder may end its votes early.  Such a message can be read late, after votes of the same
router for a later hold of the lease; the number of the hold tells them apart.

A change of the view may change the voters.  For `settle_ms` after a router learned
of the change, its leases need a majority of the old voters and one of the new voters.  During this
time another router may still act on the old view; it stops once its view is no
longer fresh, and its lease expires soon after.
"""

import secrets
from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.hashing import rendezvous_order
from skylarklift.ids import RouterId

# A holder shortens its lease by this much, since two clocks may run at slightly
# different speeds.
CLOCK_DRIFT_PERCENT = 2
# Random, so that a process does not repeat the numbers of the one before it.
HOLD_BITS = 31


@dataclass(frozen=True)
class VoteAnswer:
    """A voter's answer: whether it voted as asked, who has its vote, and for how much longer."""

    granted: bool
    holder: RouterId
    left_ms: int


@dataclass
class _Vote:
    """The vote that a voter has given for one lease, and the number of the holder's hold."""

    holder: RouterId
    hold: int
    expires_at: Millis


class LeaseVoter:
    """Keeps the votes that one router has given."""

    def __init__(self, clock: Clock, max_duration_ms: int):
        self._clock = clock
        self._max_duration_ms = max_duration_ms
        self._no_votes_until = Millis(clock.now() + max_duration_ms)
        self._votes: dict[str, _Vote] = {}

    def vote(self, name: str, router: RouterId, duration_ms: int, hold: int) -> VoteAnswer:
        """Vote for `router` for `duration_ms`, unless another router has or may have the vote."""
        now = self._clock.now()
        if now < self._no_votes_until or duration_ms > self._max_duration_ms:
            return VoteAnswer(False, RouterId(""), max(0, self._no_votes_until - now))
        current = self._votes.get(name)
        if current is not None and current.expires_at > now and current.holder != router:
            return VoteAnswer(False, current.holder, current.expires_at - now)
        self._votes[name] = _Vote(router, hold, Millis(now + duration_ms))
        self._drop_expired(now)
        return VoteAnswer(True, router, duration_ms)

    def unvote(self, name: str, router: RouterId, hold: int) -> None:
        """End a vote before it expires, as requested by its holder for one of its holds."""
        vote = self._votes.get(name)
        if vote is not None and vote.holder == router and vote.hold == hold:
            del self._votes[name]

    def _drop_expired(self, now: Millis) -> None:
        """Remove expired votes, so that memory use stays bounded."""
        for name in [name for name, vote in self._votes.items() if vote.expires_at <= now]:
            del self._votes[name]


@dataclass
class VoterSets:
    """Computes the voters of each lease in the present view and in recently replaced ones."""

    clock: Clock
    count: int
    settle_ms: int
    view: int = 0
    members: list[RouterId] = field(default_factory=list)
    blocked_until: Millis = Millis(0)
    _previous: list[tuple[list[RouterId], Millis]] = field(default_factory=list)

    def apply_view(self, view: int, members: list[RouterId]) -> None:
        """Apply a newer view.

        If views were skipped, the voters of those views are unknown, so no lease can be
        obtained or renewed until `settle_ms` has passed.
        """
        if view <= self.view:
            return
        now = self.clock.now()
        until = Millis(now + self.settle_ms)
        if view != self.view + 1 and view != 1:
            self.blocked_until = until
        if self.members:
            self._previous.append((self.members, until))
        self.view = view
        self.members = sorted(members)

    def required_sets(self, name: str) -> list[list[RouterId]]:
        """Return the voter sets of the name; a majority of each of them is required."""
        now = self.clock.now()
        self._previous = [item for item in self._previous if item[1] > now]
        voter_sets = []
        for members in [self.members, *(members for members, _ in self._previous)]:
            voters = [RouterId(item) for item in rendezvous_order(name, members)][: self.count]
            if voters and voters not in voter_sets:
                voter_sets.append(voters)
        return voter_sets

    def is_blocked(self) -> bool:
        """Return whether votes do not count now, since not all voters are known."""
        return not self.members or self.clock.now() < self.blocked_until


class LeaseClient:
    """Collects the votes for one lease and keeps the time at which the lease expires."""

    def __init__(self, clock: Clock, voters: VoterSets, name: str, duration_ms: int):
        self._clock = clock
        self._voters = voters
        self.name = name
        self.duration_ms = duration_ms
        self._held_until = Millis(0)
        self._asked_at = Millis(0)
        self._granted: set[RouterId] = set()
        self._round = 0
        self.hold = secrets.randbits(HOLD_BITS)

    def start_round(self) -> list[RouterId]:
        """Start a round of voting; return the routers to ask."""
        self._asked_at = self._clock.now()
        self._granted = set()
        self._round += 1
        asked: dict[RouterId, None] = {}
        for voters in self._voters.required_sets(self.name):
            asked.update(dict.fromkeys(voters))
        return list(asked)

    def round_number(self) -> int:
        """Return the number of the present round."""
        return self._round

    def record_vote(self, round_number: int, voter: RouterId, granted: bool) -> None:
        """Count a vote of the present round; votes of earlier rounds are ignored.

        With all majorities, the lease is held for its duration from the start of the round,
        less the allowance for clock drift.
        """
        if round_number != self._round or not granted:
            return
        self._granted.add(voter)
        if self._has_majorities() and not self._voters.is_blocked():
            kept = self.duration_ms * (100 - CLOCK_DRIFT_PERCENT) // 100
            self._held_until = Millis(max(self._held_until, self._asked_at + kept))

    def _has_majorities(self) -> bool:
        """Return whether a majority of each required voter set granted its vote."""
        return all(
            2 * len(self._granted.intersection(voters)) > len(voters)
            for voters in self._voters.required_sets(self.name)
        )

    def is_held(self) -> bool:
        """Return whether the lease is held now."""
        return self._clock.now() < self._held_until

    def release(self) -> None:
        """Release the lease; votes still in transit no longer count."""
        self._held_until = Millis(0)
        self._round += 1
        self.hold = secrets.randbits(HOLD_BITS)
