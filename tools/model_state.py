"""The state of the specification that `tools.model` searches, as variables of z3."""

from dataclasses import dataclass, field

from z3 import BitVec, BitVecRef, Bool

ROUTERS = 3
# Enough for every number in the specification, including the sign.
INT_BITS = 6


def int_variable(name: str) -> BitVecRef:
    """Return a signed integer variable of `INT_BITS` bits."""
    return BitVec(name, INT_BITS)


@dataclass
class State:
    """The variables of the state after `index` steps."""

    index: int
    now: BitVecRef = field(init=False)

    def __post_init__(self):
        tag = self.index

        def ints(name: str) -> list:
            return [int_variable(f"{name}{router}@{tag}") for router in range(ROUTERS)]

        def bools(name: str) -> list:
            return [Bool(f"{name}{router}@{tag}") for router in range(ROUTERS)]

        self.now = int_variable(f"now@{tag}")
        # Leases: each voter's vote and its expiry; the end of the lease as its holder counts it.
        self.vote_for = ints("vote_for")
        self.vote_expires_at = ints("vote_expires_at")
        self.no_votes_until = ints("no_votes_until")
        self.asked_at = ints("asked_at")
        self.granted = [
            [Bool(f"granted{a}by{b}@{tag}") for b in range(ROUTERS)] for a in range(ROUTERS)
        ]
        self.held_until = ints("held_until")
        # Configuration: the version in the store; each router's version and time of evidence.
        self.store_version = int_variable(f"store_version@{tag}")
        self.changed_at = int_variable(f"changed_at@{tag}")
        self.version = ints("version")
        self.evidence_at = ints("evidence_at")
        self.pending = bools("pending")
        self.used_stale_config = Bool(f"used_stale_config@{tag}")
        # The non-idempotent request: the router in the claim row (-1: none), and the routers that
        # regard the claim as theirs.
        self.claim_row = int_variable(f"claim_row@{tag}")
        self.claim_owned = bools("claim_owned")
        self.claim_attempted = bools("claim_attempted")
        self.reported_not_run = bools("reported_not_run")
        self.dispatch_count = ints("dispatch_count")

    def variables(self) -> list:
        """Return all variables, in the same order for every state."""
        flat = [
            self.now,
            self.store_version,
            self.changed_at,
            self.used_stale_config,
            self.claim_row,
        ]
        for row in (
            self.vote_for,
            self.vote_expires_at,
            self.no_votes_until,
            self.asked_at,
            self.held_until,
            self.version,
            self.evidence_at,
            self.pending,
            self.claim_owned,
            self.claim_attempted,
            self.reported_not_run,
            self.dispatch_count,
            *self.granted,
        ):
            flat.extend(row)
        return flat
