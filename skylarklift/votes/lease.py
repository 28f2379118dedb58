"""Time-limited leases by votes of a few routers, without a store write.

A lease has a name (``pool/NAME``).  Its voters are the routers that come first in
rendezvous order for that name among the members of the view.  A voter remembers
one holder for each name until the vote ends; it keeps nothing else, and a voter
that restarted waits for the longest vote before it votes.  The holder counts its
lease from before it asked, the voter from when it answered, so a lease always ends
at the holder first; no clock is compared with another.

When the view changes, the voters may change.  For `settle_ms` after a router
learned of the change it needs a majority of the old voters and of the new ones.
Until `settle_ms` has passed, another router may act on the old view: it stops when
its view is no longer fresh, and its lease ends soon after.
"""

from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.hashing import rendezvous_order
from skylarklift.ids import RouterId

# A holder gives up this share of its lease, since two clocks may run at
# slightly different speeds.
CLOCK_DRIFT_PERCENT = 2


@dataclass(frozen=True)
class VoteAnswer:
    """A voter's answer; `holder` is who has the vote and `left_ms` for how long."""

    granted: bool
    holder: RouterId
    left_ms: int


@dataclass
class _Vote:
    """The vote that a voter has given for one lease."""

    holder: RouterId
    expires_at: Millis


class LeaseVoter:
    """One router's votes."""

    def __init__(self, clock: Clock, max_span_ms: int):
        self._clock = clock
        self._max_span_ms = max_span_ms
        self._no_votes_until = Millis(clock.now() + max_span_ms)
        self._votes: dict[str, _Vote] = {}

    def vote(self, name: str, router: RouterId, span_ms: int) -> VoteAnswer:
        """Vote for `router` for `span_ms`, unless the vote is given or may have been."""
        now = self._clock.now()
        if now < self._no_votes_until or span_ms > self._max_span_ms:
            return VoteAnswer(False, RouterId(""), max(0, self._no_votes_until - now))
        current = self._votes.get(name)
        if current is not None and current.expires_at > now and current.holder != router:
            return VoteAnswer(False, current.holder, current.expires_at - now)
        self._votes[name] = _Vote(router, Millis(now + span_ms))
        self._drop_expired(now)
        return VoteAnswer(True, router, span_ms)

    def unvote(self, name: str, router: RouterId) -> None:
        """End a vote early at its holder's wish."""
        vote = self._votes.get(name)
        if vote is not None and vote.holder == router:
            del self._votes[name]

    def _drop_expired(self, now: Millis) -> None:
        """Forget votes that ended, so that the memory stays bounded."""
        for name in [name for name, vote in self._votes.items() if vote.expires_at <= now]:
            del self._votes[name]


@dataclass
class VoterSets:
    """The voters of each lease under the present view and the ones just replaced."""

    clock: Clock
    count: int
    settle_ms: int
    view: int = 0
    members: list[RouterId] = field(default_factory=list)
    blocked_until: Millis = Millis(0)
    _previous: list[tuple[list[RouterId], Millis]] = field(default_factory=list)

    def apply_view(self, view: int, members: list[RouterId]) -> None:
        """Take over a newer view.

        A view that does not follow at once on the known one hides the voters in
        between, so nothing may be held until the settling time is over.
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
        """Return the voter sets that must each give a majority."""
        now = self.clock.now()
        self._previous = [item for item in self._previous if item[1] > now]
        voter_sets = []
        for members in [self.members, *(members for members, _ in self._previous)]:
            voters = [RouterId(item) for item in rendezvous_order(name, members)][: self.count]
            if voters and voters not in voter_sets:
                voter_sets.append(voters)
        return voter_sets

    def is_blocked(self) -> bool:
        """Tell whether nothing may be held now."""
        return not self.members or self.clock.now() < self.blocked_until


class LeaseClient:
    """One router's wish for one lease."""

    def __init__(self, clock: Clock, voters: VoterSets, name: str, span_ms: int):
        self._clock = clock
        self._voters = voters
        self.name = name
        self.span_ms = span_ms
        self._held_until = Millis(0)
        self._asked_at = Millis(0)
        self._granted: set[RouterId] = set()
        self._round = 0

    def start_round(self) -> list[RouterId]:
        """Begin to ask; return the routers to ask."""
        self._asked_at = self._clock.now()
        self._granted = set()
        self._round += 1
        asked: dict[RouterId, None] = {}
        for voters in self._voters.required_sets(self.name):
            asked.update(dict.fromkeys(voters))
        return list(asked)

    def round_number(self) -> int:
        """Return the number of the running round."""
        return self._round

    def record_vote(self, round_number: int, voter: RouterId, granted: bool) -> None:
        """Count an answer of the running round; late answers do nothing."""
        if round_number != self._round or not granted:
            return
        self._granted.add(voter)
        if self._has_majorities() and not self._voters.is_blocked():
            kept = self.span_ms * (100 - CLOCK_DRIFT_PERCENT) // 100
            self._held_until = Millis(max(self._held_until, self._asked_at + kept))

    def _has_majorities(self) -> bool:
        """Tell whether each required voter set gave a majority."""
        return all(
            2 * len(self._granted.intersection(voters)) > len(voters)
            for voters in self._voters.required_sets(self.name)
        )

    def is_held(self) -> bool:
        """Tell whether the lease is held now."""
        return self._clock.now() < self._held_until

    def release(self) -> None:
        """Stop holding; answers under way no longer count."""
        self._held_until = Millis(0)
        self._round += 1
