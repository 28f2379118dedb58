"""Model checking of the core protocol by bounded unrolling with z3: ``make model``.

The specification is a small transition system of three routers that all vote, one
store and one non-idempotent request; time passes in whole units.  It covers leases by
majority vote and their handover, freshness and acceptance of a configuration, and the
claim and dispatch of a request; docs/design/model.md maps each action to the code.
Every path of up to ``DEFAULT_DEPTH`` steps is searched for a state that violates an
invariant.  To show that the search finds faults, each mutated specification must
violate one.
"""

import argparse
import sys
import time
from dataclasses import dataclass

from z3 import And, BoolRef, If, Not, Or, PbGe, SolverFor, sat

from tools.model_state import ROUTERS, State

MAJORITY = 2
# A vote lasts LEASE_UNITS at the voter, and a restarted voter does not vote for as long.
# Evidence is fresh for FRESH_UNITS, so an old version may be used for as long after a change.
LEASE_UNITS = 2
FRESH_UNITS = 1
DEFAULT_DEPTH = 8
# Units before the start; stands for a moment that never was, such as that of missing evidence.
LONG_AGO_UNITS = 20


def at_least(items: list, count: int) -> BoolRef:
    """Return the constraint that at least `count` of the items are true."""
    return PbGe([(item, 1) for item in items], count)


@dataclass(frozen=True)
class Mutation:
    """A fault in the specification, and the depth within which the search must find it."""

    name: str
    depth: int


MUTATIONS = (
    Mutation("voter forgets its vote", 6),
    Mutation("restarted voter votes immediately", 7),
    Mutation("holder counts its lease from the answer", 8),
    Mutation("lease without a majority", 5),
    Mutation("no freshness check", 5),
    Mutation("vouching without a majority", 6),
    Mutation("acceptance not announced", 7),
    Mutation("restarted voter vouches immediately", 6),
    Mutation("unconditional claim", 5),
    Mutation("claim with a lost answer counts as owned", 6),
    Mutation("dispatch again after a lost response", 6),
    Mutation("reported as not run after a dispatch", 6),
)


class Specification:
    """The transition system, with one mutation if `mutation` names it."""

    def __init__(self, mutation: str = ""):
        self._mutation = mutation

    def _has_mutation(self, name: str) -> bool:
        """Return whether this mutation is applied."""
        return self._mutation == name

    # The initial state.

    def initial_state(self, s: State) -> BoolRef:
        """Return the constraint that routers have version 0 and no evidence, votes or claim."""
        parts = [
            s.now == 0,
            s.store_version == 0,
            s.changed_at == -LONG_AGO_UNITS,
            Not(s.used_stale_config),
        ]
        parts += [s.claim_row == -1]
        for router in range(ROUTERS):
            parts += [
                s.vote_for[router] == -1,
                s.vote_expires_at[router] == 0,
                s.no_votes_until[router] == 0,
                s.asked_at[router] == -1,
                s.held_until[router] == 0,
                s.version[router] == 0,
                s.evidence_at[router] == -LONG_AGO_UNITS,
                Not(s.pending[router]),
                Not(s.claim_owned[router]),
                Not(s.claim_attempted[router]),
                Not(s.reported_not_run[router]),
                s.dispatch_count[router] == 0,
            ]
            parts += [Not(item) for item in s.granted[router]]
        return And(parts)

    # Actions.

    def transition(self, s: State, t: State) -> BoolRef:
        """Return the constraint that one action leads from `s` to `t`."""
        choices = [self._tick(s, t), self._accept(s, t)]
        for router in range(ROUTERS):
            choices += [
                self._start_round(s, t, router),
                self._restart_voter(s, t, router),
                self._read_store(s, t, router),
                self._vouch(s, t, router),
                self._start_work(s, t, router),
                self._claim(s, t, router),
                self._claim_with_lost_answer(s, t, router),
                self._report_not_run(s, t, router),
                self._dispatch(s, t, router),
            ]
            for other in range(ROUTERS):
                choices.append(self._vote(s, t, router, other))
                if router != other:
                    choices.append(self._apply_peer_reply(s, t, router, other))
                    choices.append(self._settle_pending(s, t, router, other))
        return Or(choices)

    def _only_changes(self, s: State, t: State, changes: dict) -> BoolRef:
        """Return the constraint that only `changes` differ; its keys are variables of `t`."""
        values = {variable.get_id(): value for variable, value in changes.items()}
        parts = []
        for old, new in zip(s.variables(), t.variables(), strict=True):
            parts.append(new == values.get(new.get_id(), old))
        return And(parts)

    def _tick(self, s: State, t: State) -> BoolRef:
        """Let a unit of time pass."""
        return self._only_changes(s, t, {t.now: s.now + 1})

    def _start_round(self, s: State, t: State, router: int) -> BoolRef:
        """LeaseClient.start_round: start to ask for votes for the lease."""
        changes = {t.asked_at[router]: s.now}
        changes |= {item: False for item in t.granted[router]}
        return self._only_changes(s, t, changes)

    def _vote(self, s: State, t: State, voter: int, router: int) -> BoolRef:
        """LeaseVoter.vote and LeaseClient.record_vote: one vote reaches the router."""
        free = Or(
            s.vote_expires_at[voter] <= s.now,
            s.vote_for[voter] == router,
            self._has_mutation("voter forgets its vote"),
        )
        may_vote = Or(
            s.no_votes_until[voter] <= s.now,
            self._has_mutation("restarted voter votes immediately"),
        )
        before = [s.granted[router][other] for other in range(ROUTERS) if other != voter]
        needed = (1 if self._has_mutation("lease without a majority") else MAJORITY) - 1
        enough = at_least(before, needed) if needed else True
        counted_from = (
            s.now
            if self._has_mutation("holder counts its lease from the answer")
            else s.asked_at[router]
        )
        end = counted_from + LEASE_UNITS
        held = If(And(enough, end > s.held_until[router]), end, s.held_until[router])
        # The voter's answer may be in transit for a unit of time, so the voter may have
        # counted from one unit earlier; the holder counts from the time at which it asked.
        changes = {
            t.vote_for[voter]: router,
            t.vote_expires_at[voter]: s.now + LEASE_UNITS,
            t.granted[router][voter]: True,
            t.held_until[router]: held,
        }
        if self._has_mutation("holder counts its lease from the answer"):
            changes[t.vote_expires_at[voter]] = s.asked_at[router] + LEASE_UNITS
        return And(s.asked_at[router] >= 0, free, may_vote, self._only_changes(s, t, changes))

    def _restart_voter(self, s: State, t: State, router: int) -> BoolRef:
        """A voter restarts and loses its votes and its lease, which are in memory only."""
        changes = {
            t.vote_for[router]: -1,
            t.vote_expires_at[router]: 0,
            t.no_votes_until[router]: s.now + LEASE_UNITS,
            t.held_until[router]: 0,
            t.asked_at[router]: -1,
            # It does not know what it agreed to before, so it does not vouch until it
            # has read the store.
            t.pending[router]: not self._has_mutation("restarted voter vouches immediately"),
            t.evidence_at[router]: -LONG_AGO_UNITS,
        }
        changes |= {item: False for item in t.granted[router]}
        return self._only_changes(s, t, changes)

    def _accept(self, s: State, t: State) -> BoolRef:
        """HeadManager.accept: announce to a majority of voters, then write."""
        changes = {t.store_version: s.store_version + 1, t.changed_at: s.now}
        outcomes = []
        for uninformed in range(-1, ROUTERS):
            announced = dict(changes)
            if not self._has_mutation("acceptance not announced"):
                announced |= {
                    t.pending[router]: True for router in range(ROUTERS) if router != uninformed
                }
            outcomes.append(self._only_changes(s, t, announced))
        return And(s.store_version == 0, Or(outcomes))

    def _read_store(self, s: State, t: State, router: int) -> BoolRef:
        """HeadManager.poll: read the store and install its version."""
        changes = {
            t.version[router]: s.store_version,
            t.evidence_at[router]: s.now,
            t.pending[router]: False,
        }
        return self._only_changes(s, t, changes)

    def _apply_peer_reply(self, s: State, t: State, router: int, other: int) -> BoolRef:
        """Gossip.pull and Gossip.fetch: take over another router's newer version or evidence."""
        newer = s.version[other] > s.version[router]
        same = s.version[other] == s.version[router]
        better = If(
            s.evidence_at[other] > s.evidence_at[router],
            s.evidence_at[other],
            s.evidence_at[router],
        )
        changes = {
            t.version[router]: If(newer, s.version[other], s.version[router]),
            t.evidence_at[router]: If(
                newer, s.evidence_at[other], If(same, better, s.evidence_at[router])
            ),
            t.pending[router]: And(s.pending[router], Not(newer)),
        }
        return self._only_changes(s, t, changes)

    def _settle_pending(self, s: State, t: State, router: int, other: int) -> BoolRef:
        """AcceptanceTracker.record_heads: a version in force settles its acceptance."""
        changes = {t.pending[router]: False, t.version[router]: s.version[other]}
        changes[t.evidence_at[router]] = -LONG_AGO_UNITS
        return And(s.version[other] > s.version[router], self._only_changes(s, t, changes))

    def _vouch(self, s: State, t: State, router: int) -> BoolRef:
        """Freshness.record_vouch: a majority of voters vouches while the store is unavailable."""
        vouching = [
            And(s.version[voter] == s.version[router], Not(s.pending[voter]))
            for voter in range(ROUTERS)
        ]
        enough = 1 if self._has_mutation("vouching without a majority") else MAJORITY
        return And(
            at_least(vouching, enough), self._only_changes(s, t, {t.evidence_at[router]: s.now})
        )

    def _start_work(self, s: State, t: State, router: int) -> BoolRef:
        """Gate.require_fresh: start work on the own version while its evidence is fresh."""
        fresh = Or(
            s.now - s.evidence_at[router] <= FRESH_UNITS, self._has_mutation("no freshness check")
        )
        outdated = s.version[router] < s.store_version
        stale = And(outdated, s.now - s.changed_at > FRESH_UNITS)
        return And(
            fresh, self._only_changes(s, t, {t.used_stale_config: Or(s.used_stale_config, stale)})
        )

    def _claim(self, s: State, t: State, router: int) -> BoolRef:
        """ClaimWriter.claim: write the claim if there is none; the answer names its owner."""
        absent = s.claim_row == -1
        owned = Or(absent, s.claim_row == router, self._has_mutation("unconditional claim"))
        row = If(Or(absent, self._has_mutation("unconditional claim")), router, s.claim_row)
        changes = {t.claim_row: row, t.claim_owned[router]: owned, t.claim_attempted[router]: True}
        return And(Not(s.reported_not_run[router]), self._only_changes(s, t, changes))

    def _claim_with_lost_answer(self, s: State, t: State, router: int) -> BoolRef:
        """The store writes the claim if there is none, and its answer is lost."""
        row = If(s.claim_row == -1, router, s.claim_row)
        changes = {t.claim_row: row, t.claim_attempted[router]: True}
        if self._has_mutation("claim with a lost answer counts as owned"):
            changes[t.claim_owned[router]] = True
        return And(Not(s.reported_not_run[router]), self._only_changes(s, t, changes))

    def _report_not_run(self, s: State, t: State, router: int) -> BoolRef:
        """Report the request as not run, because its claim was not obtained or not used."""
        unused = Or(
            s.dispatch_count[router] == 0,
            self._has_mutation("reported as not run after a dispatch"),
        )
        changes = {t.reported_not_run[router]: True, t.claim_owned[router]: False}
        return And(unused, self._only_changes(s, t, changes))

    def _dispatch(self, s: State, t: State, router: int) -> BoolRef:
        """Claim.mark_dispatched: send the request once."""
        unused = Or(
            s.dispatch_count[router] == 0,
            self._has_mutation("dispatch again after a lost response"),
        )
        changes = {t.dispatch_count[router]: s.dispatch_count[router] + 1}
        return And(s.claim_owned[router], unused, self._only_changes(s, t, changes))

    # Invariants.

    def violation(self, s: State) -> BoolRef:
        """Return the constraint that a state violates an invariant."""
        holds = [s.held_until[router] > s.now for router in range(ROUTERS)]
        two_holders = at_least(holds, 2)
        ran = [count > 0 for count in s.dispatch_count]
        ran_twice = Or(at_least(ran, 2), *[count > 1 for count in s.dispatch_count])
        false_not_run = Or(
            [
                And(s.reported_not_run[r], s.dispatch_count[r] > 0, Not(s.claim_owned[r]))
                for r in range(ROUTERS)
            ]
        )
        version_ahead = Or([s.version[router] > s.store_version for router in range(ROUTERS)])
        return Or(two_holders, ran_twice, false_not_run, version_ahead, s.used_stale_config)


def search(specification: Specification, depth: int) -> int | None:
    """Return the number of steps to the first violation, or `None` if there is none."""
    states = [State(index) for index in range(depth + 1)]
    solver = SolverFor("QF_FD")
    solver.add(specification.initial_state(states[0]))
    for step in range(1, depth + 1):
        solver.add(specification.transition(states[step - 1], states[step]))
        solver.push()
        solver.add(specification.violation(states[step]))
        if solver.check() == sat:
            return step
        solver.pop()
        # A fact proved for this step speeds up the search of the next one.
        solver.add(Not(specification.violation(states[step])))
    return None


def main() -> int:
    """Search the specification and its mutations; return 1 if a result is not as expected."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=DEFAULT_DEPTH)
    options = parser.parse_args()
    failures = 0
    began = time.monotonic()
    for mutation in MUTATIONS:
        found = search(Specification(mutation.name), mutation.depth)
        failures += found is None
        text = f"violated after {found} steps" if found else f"NOT FOUND in {mutation.depth} steps"
        print(f"mutation, {mutation.name}: {text}", flush=True)
    found = search(Specification(), options.depth)
    failures += found is not None
    text = "holds" if found is None else f"VIOLATED after {found} steps"
    print(f"the specification: {text} for every path of {options.depth} steps")
    print(f"{time.monotonic() - began:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
