"""Mutated programs that the random runs must find broken."""

from contextlib import contextmanager
from unittest.mock import patch

from skylarklift.clock import Millis
from skylarklift.pools.takeover import GrantCollector
from skylarklift.requests.claims import Claim, ClaimState
from skylarklift.votes.freshness import AcceptanceTracker, Freshness
from skylarklift.votes.lease import LeaseVoter, VoteAnswer


def vote_for_anyone(self, name, router, duration_ms):
    return VoteAnswer(True, router, duration_ms)


def vote_of_one_is_enough(self, round_number, voter, granted):
    if round_number == self._round and granted:
        self._held_until = Millis(self._asked_at + self.duration_ms)


def always_fresh(self):
    return True


def any_one_vouches(self, voters):
    return max((self._voter_vouched_at(name) for name in voters), default=-1) or None


async def list_nothing(self, hosted, pool_id, admitter, routers):
    return set()


def every_claim_is_ours(name, wanted, result):
    return Claim(name, ClaimState.OURS, wanted, result.version)


def only_what_was_announced(self):
    return self._pending is not None


MUTATIONS = {
    "voters vote for anyone": (LeaseVoter, "vote", vote_for_anyone),
    "one vote is enough": (
        "skylarklift.votes.lease.LeaseClient",
        "record_vote",
        vote_of_one_is_enough,
    ),
    "no freshness check": (Freshness, "is_fresh", always_fresh),
    "no listing at takeover": (GrantCollector, "collect", list_nothing),
    "every claim is ours": (
        "skylarklift.requests.claims",
        "claim_from_result",
        every_claim_is_ours,
    ),
    "restarted voter vouches": (AcceptanceTracker, "is_pending", only_what_was_announced),
    "one voter may vouch": (Freshness, "_majority_vouched_at", any_one_vouches),
}


@contextmanager
def mutated(name):
    """Run a block with one part of the program replaced by a wrong one."""
    owner, attribute, wrong = MUTATIONS[name]
    if isinstance(owner, str):
        with patch(f"{owner}.{attribute}", wrong):
            yield
    else:
        with patch.object(owner, attribute, wrong):
            yield
