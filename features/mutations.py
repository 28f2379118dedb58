"""Mutations of the code that the fleet cases and the random runs must detect."""

from contextlib import contextmanager
from unittest.mock import patch

from skylarklift.clock import Millis
from skylarklift.pools.takeover import GrantCollector
from skylarklift.requests.claims import Claim, ClaimState
from skylarklift.votes.freshness import AcceptanceTracker, Freshness
from skylarklift.votes.lease import LeaseVoter, VoteAnswer


def grant_every_vote(self, name, router, duration_ms, hold):
    return VoteAnswer(True, router, duration_ms)


def hold_lease_after_one_vote(self, round_number, voter, granted):
    if round_number == self._round and granted:
        self._held_until = Millis(self._asked_at + self.duration_ms)


def always_fresh(self):
    return True


def accept_any_single_vouch(self, voters):
    return max((self._voter_vouched_at(name) for name in voters), default=-1) or None


async def list_no_grants(self, hosted, pool_id, admitter, routers):
    return set()


def claim_without_check(name, own_row, result):
    return Claim(name, ClaimState.OURS, own_row, result.version)


def ignore_restart(self):
    return self._pending is not None


MUTATIONS = {
    "voters vote for anyone": (LeaseVoter, "vote", grant_every_vote),
    "one vote is enough": (
        "skylarklift.votes.lease.LeaseClient",
        "record_vote",
        hold_lease_after_one_vote,
    ),
    "no freshness check": (Freshness, "is_fresh", always_fresh),
    "no listing at takeover": (GrantCollector, "collect", list_no_grants),
    "every claim is ours": (
        "skylarklift.requests.claims",
        "claim_from_result",
        claim_without_check,
    ),
    "restarted voter vouches": (AcceptanceTracker, "is_pending", ignore_restart),
    "one voter may vouch": (Freshness, "_majority_vouched_at", accept_any_single_vouch),
}


@contextmanager
def mutated(name):
    """Replace one function of the code by a wrong one within a block."""
    owner, attribute, replacement = MUTATIONS[name]
    if isinstance(owner, str):
        with patch(f"{owner}.{attribute}", replacement):
            yield
    else:
        with patch.object(owner, attribute, replacement):
            yield
