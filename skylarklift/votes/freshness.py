"""Evidence that a router's configuration and membership view are the newest ones.

Evidence is a moment on the router's own clock at which its version was still the
newest.  It comes from three sources:

* the router's own read of the store; the moment is the start of the read;
* a peer's reply; the moment is the time of the request less the age of the peer's
  evidence;
* while the store is unavailable, a majority of the freshness voters that vouch: each
  reports that it cannot read the store, has the same numbers, and has no acceptance
  pending.

An acceptance is the write that makes a new version or view the newest.  It is first
announced to a majority of the same voters, and each of them stops vouching until it
is certain whether the write took effect (`AcceptanceTracker`).  The
routers therefore stay fresh during an outage of the store alone, while a router that
is partitioned from the others loses its freshness within `fresh_for_ms`.
"""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import RouterId
from skylarklift.votes.lease import VoterSets

FRESHNESS_NAME = "freshness"
NO_EVIDENCE = -1


@dataclass(frozen=True)
class HeadNumbers:
    """The version of a configuration and the number of a membership view, in short "numbers"."""

    version: int
    view: int

    def is_newer_than(self, other: "HeadNumbers") -> bool:
        """Return whether either number is larger than in `other`."""
        return self.version > other.version or self.view > other.view


@dataclass(frozen=True)
class Vouch:
    """A voter's report: its numbers, and whether it may vouch for them.

    It may if the store is unavailable to it and no acceptance is pending.
    """

    heads: HeadNumbers
    store_away: bool
    pending: bool


class Freshness:
    """Keeps the freshness evidence of one router."""

    def __init__(self, clock: Clock, fresh_for_ms: int, voters: VoterSets):
        self._clock = clock
        self.fresh_for_ms = fresh_for_ms
        self._voters = voters
        self.heads = HeadNumbers(0, 0)
        self._newest = HeadNumbers(0, 0)
        self._evidence_at: Millis | None = None
        self._vouches: dict[RouterId, tuple[Millis, Vouch]] = {}

    def apply_heads(self, heads: HeadNumbers) -> None:
        """Switch to new numbers, for which there is no evidence yet."""
        if heads == self.heads:
            return
        self.heads = heads
        self.observe_heads(heads)
        self._evidence_at = None

    def observe_heads(self, heads: HeadNumbers) -> None:
        """Record that these numbers exist, even if this router does not have them yet."""
        self._newest = HeadNumbers(
            max(self._newest.version, heads.version), max(self._newest.view, heads.view)
        )

    def is_behind(self) -> bool:
        """Return whether newer numbers than the router's are known to exist."""
        return self._newest.is_newer_than(self.heads)

    def record_store_read(self, asked_at: Millis, heads: HeadNumbers) -> None:
        """Record the numbers that a read of the store returned."""
        self.observe_heads(heads)
        self._add_evidence(asked_at, heads)

    def record_peer_reply(self, asked_at: Millis, heads: HeadNumbers, evidence_age_ms: int) -> None:
        """Record a peer's numbers and the age of its evidence at the time of its reply."""
        self.observe_heads(heads)
        if evidence_age_ms != NO_EVIDENCE:
            self._add_evidence(Millis(asked_at - evidence_age_ms), heads)

    def record_vouch(self, asked_at: Millis, router: RouterId, vouch: Vouch) -> None:
        """Record a voter's report, and add the evidence that the vouching voters give together."""
        self.observe_heads(vouch.heads)
        self._vouches[router] = (asked_at, vouch)
        moment = self._vouched_at()
        if moment is not None:
            self._add_evidence(moment, self.heads)

    def _vouched_at(self) -> Millis | None:
        """Return the latest moment for which a majority of each voter set vouched, or `None`."""
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
        """Return the latest moment for which a majority of one voter set vouched, or `None`."""
        times = sorted((self._voter_vouched_at(name) for name in voters), reverse=True)
        needed = times[len(voters) // 2]
        return None if needed < 0 else Millis(needed)

    def _voter_vouched_at(self, router: RouterId) -> int:
        """Return when a voter was asked, or -1 if it does not vouch for this router's numbers."""
        asked_at, vouch = self._vouches.get(router, (Millis(-1), None))
        if vouch is None or not vouch.store_away or vouch.pending or vouch.heads != self.heads:
            return -1
        return asked_at

    def _add_evidence(self, moment: Millis, heads: HeadNumbers) -> None:
        """Keep evidence for this router's numbers if it is newer than the present evidence."""
        if heads == self.heads and (self._evidence_at is None or moment > self._evidence_at):
            self._evidence_at = moment

    def evidence_age_ms(self) -> int:
        """Return the age of the evidence, or `NO_EVIDENCE`."""
        if self._evidence_at is None or self.is_behind():
            return NO_EVIDENCE
        return max(0, self._clock.now() - self._evidence_at)

    def is_fresh(self) -> bool:
        """Return whether the router may start new work on its configuration."""
        age = self.evidence_age_ms()
        return age != NO_EVIDENCE and age <= self.fresh_for_ms


class AcceptanceTracker:
    """Tracks, for a freshness voter, whether an acceptance may be pending.

    A write may take effect up to `max_write_delay_ms` after it was sent; a later read
    of the store shows its outcome.  A router that has just started cannot know what it
    agreed to before its restart, so it starts as if an acceptance were pending.
    """

    def __init__(self, clock: Clock, max_write_delay_ms: int):
        self._clock = clock
        self._max_write_delay_ms = max_write_delay_ms
        self._pending: HeadNumbers | None = None
        self._pending_since = Millis(0)
        self._started_at = clock.now()
        self._past_known = False

    def prepare(self, announced: HeadNumbers, known: HeadNumbers) -> bool:
        """Stop vouching until the acceptance of `announced` is settled.

        Returns `False` and changes nothing if `announced` is not newer than `known`.
        """
        if not announced.is_newer_than(known):
            return False
        self._pending = announced
        self._pending_since = self._clock.now()
        return True

    def withdraw(self, announced: HeadNumbers) -> None:
        """End a pending acceptance that its router is certain not to have written."""
        if self._pending == announced:
            self._pending = None

    def record_heads(self, heads: HeadNumbers) -> None:
        """Record the numbers in force, which settle an acceptance of the same or older ones."""
        if self._pending is not None and not self._pending.is_newer_than(heads):
            self._pending = None

    def record_store_read(self, asked_at: Millis) -> None:
        """Record a read of the store, which settles an acceptance too old to take effect later."""
        if asked_at - self._started_at > self._max_write_delay_ms:
            self._past_known = True
        if self._pending is not None and asked_at - self._pending_since > self._max_write_delay_ms:
            self._pending = None

    def is_pending(self) -> bool:
        """Return whether an acceptance may be pending."""
        return self._pending is not None or not self._past_known
