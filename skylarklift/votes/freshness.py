"""Whether a router can show that its configuration and view are the newest ones.

Evidence is a moment on the router's own clock at which its version was still the
newest.  It comes from three sources:

* an own read of the store, counted from before the read;
* a peer's answer: the moment of the question less the age of the peer's evidence;
* while the store is away, a majority of the freshness voters that each say they
  cannot read the store, know of nothing newer, and have no acceptance under way.

Before a version is accepted, a majority of the same voters is told, and each of
them stops vouching until the acceptance is settled (`AcceptanceWatch`).  So the
store's outage alone keeps the fleet fresh, while a router that is cut off from
the others loses its evidence within `fresh_for_ms`.
"""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import RouterId
from skylarklift.votes.lease import VoterSets

FRESHNESS_NAME = "freshness"
NO_EVIDENCE = -1


@dataclass(frozen=True)
class HeadNumbers:
    """The numbers of the newest configuration and of the newest view."""

    version: int
    view: int

    def is_newer_than(self, other: "HeadNumbers") -> bool:
        """Tell whether either number is larger than in `other`."""
        return self.version > other.version or self.view > other.view


@dataclass(frozen=True)
class Vouch:
    """What a voter says: its numbers, and whether it may vouch for them."""

    heads: HeadNumbers
    store_away: bool
    pending: bool


class Freshness:
    """The evidence of one router."""

    def __init__(self, clock: Clock, fresh_for_ms: int, voters: VoterSets):
        self._clock = clock
        self.fresh_for_ms = fresh_for_ms
        self._voters = voters
        self.heads = HeadNumbers(0, 0)
        self._newest = HeadNumbers(0, 0)
        self._evidence_at: Millis | None = None
        self._vouches: dict[RouterId, tuple[Millis, Vouch]] = {}

    def apply_heads(self, heads: HeadNumbers) -> None:
        """Note that the router now acts on these numbers, which starts without evidence."""
        if heads == self.heads:
            return
        self.heads = heads
        self.observe_heads(heads)
        self._evidence_at = None

    def observe_heads(self, heads: HeadNumbers) -> None:
        """Note numbers that exist, wherever they were heard of."""
        self._newest = HeadNumbers(
            max(self._newest.version, heads.version), max(self._newest.view, heads.view)
        )

    def is_behind(self) -> bool:
        """Tell whether something newer exists."""
        return self._newest.is_newer_than(self.heads)

    def record_store_read(self, asked_at: Millis, heads: HeadNumbers) -> None:
        """Take the numbers that a read of the store found."""
        self.observe_heads(heads)
        self._add_evidence(asked_at, heads)

    def record_peer_reply(self, asked_at: Millis, heads: HeadNumbers, evidence_age_ms: int) -> None:
        """Take a peer's numbers and the age of its evidence when it answered."""
        self.observe_heads(heads)
        if evidence_age_ms != NO_EVIDENCE:
            self._add_evidence(Millis(asked_at - evidence_age_ms), heads)

    def record_vouch(self, asked_at: Millis, router: RouterId, vouch: Vouch) -> None:
        """Take what a voter says while the store may be away."""
        self.observe_heads(vouch.heads)
        self._vouches[router] = (asked_at, vouch)
        moment = self._vouched_at()
        if moment is not None:
            self._add_evidence(moment, self.heads)

    def _vouched_at(self) -> Millis | None:
        """Return the latest moment at which majorities of all voter sets vouched."""
        if self._voters.is_blocked():
            return None
        moments = [
            self._majority_vouched_at(voters)
            for voters in self._voters.required_sets(FRESHNESS_NAME)
        ]
        if not moments or None in moments:
            return None
        return Millis(min(moment for moment in moments if moment is not None))

    def _majority_vouched_at(self, voters: list[RouterId]) -> Millis | None:
        """Return the moment at which a majority of one voter set vouched."""
        times = sorted((self._voter_vouched_at(name) for name in voters), reverse=True)
        needed = times[len(voters) // 2]
        return None if needed < 0 else Millis(needed)

    def _voter_vouched_at(self, router: RouterId) -> int:
        """Return when a voter was asked that vouches for our numbers, else -1."""
        asked_at, vouch = self._vouches.get(router, (Millis(-1), None))
        if vouch is None or not vouch.store_away or vouch.pending or vouch.heads != self.heads:
            return -1
        return asked_at

    def _add_evidence(self, moment: Millis, heads: HeadNumbers) -> None:
        """Keep the evidence if it is for our numbers and newer than what we have."""
        if heads == self.heads and (self._evidence_at is None or moment > self._evidence_at):
            self._evidence_at = moment

    def evidence_age_ms(self) -> int:
        """Return the age of the evidence, or `NO_EVIDENCE`."""
        if self._evidence_at is None or self.is_behind():
            return NO_EVIDENCE
        return max(0, self._clock.now() - self._evidence_at)

    def is_fresh(self) -> bool:
        """Tell whether the router may give new work on its configuration."""
        age = self.evidence_age_ms()
        return age != NO_EVIDENCE and age <= self.fresh_for_ms


class AcceptanceTracker:
    """A freshness voter's memory of an acceptance that is under way.

    A write that was sent may take effect for `write_limit_ms`.  After that a read
    of the store tells the outcome.  A router that has just started cannot know what
    it had agreed to before, so it begins as if an acceptance were under way.
    """

    def __init__(self, clock: Clock, write_limit_ms: int):
        self._clock = clock
        self._write_limit_ms = write_limit_ms
        self._pending: HeadNumbers | None = None
        self._pending_since = Millis(0)
        self._started_at = clock.now()
        self._past_known = False

    def prepare(self, announced: HeadNumbers, known: HeadNumbers) -> bool:
        """Stop vouching for anything older than `announced`; refuse what is known already."""
        if not announced.is_newer_than(known):
            return False
        self._pending = announced
        self._pending_since = self._clock.now()
        return True

    def withdraw(self, announced: HeadNumbers) -> None:
        """Vouch again, since the router that announced this surely did not write it."""
        if self._pending == announced:
            self._pending = None

    def record_heads(self, heads: HeadNumbers) -> None:
        """Note the numbers in force; the acceptance is settled once they cover it."""
        if self._pending is not None and not self._pending.is_newer_than(heads):
            self._pending = None

    def record_store_read(self, asked_at: Millis) -> None:
        """Note a read of the store, which settles an acceptance that is over by then."""
        if asked_at - self._started_at > self._write_limit_ms:
            self._past_known = True
        if self._pending is not None and asked_at - self._pending_since > self._write_limit_ms:
            self._pending = None

    def is_pending(self) -> bool:
        """Tell whether an acceptance may be under way."""
        return self._pending is not None or not self._past_known
