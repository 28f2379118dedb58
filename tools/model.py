"""Model checking of the core protocol by bounded unrolling with z3: ``make model``.

The specification is a small transition system over three routers that all vote, one
store and one marked request; time passes in whole units.  It covers, as
docs/design/model.md maps action by action: lease by votes and handover, freshness
and acceptance of a configuration, claim and dispatch.  Every path of up to ``DEPTH``
steps is searched for a state that breaks a property.  Mutated specifications must
each be found broken.
"""

import argparse
import sys
import time
from dataclasses import dataclass, field

from z3 import And, BitVec, BitVecRef, Bool, BoolRef, If, Not, Or, PbGe, SolverFor, sat

ROUTERS = 3
MAJORITY = 2
# Units of time: a vote lasts LEASE at the voter; evidence FRESH; a voter that
# restarted stays silent for LEASE; an old version may be used for FRESH after a change.
LEASE = 2
FRESH = 1
DEPTH = 8
FAR = 20
# Every number of the specification fits into so many bits, the sign included.
NUMBER_BITS = 6


def number(name: str) -> BitVecRef:
    """Return a small signed number."""
    return BitVec(name, NUMBER_BITS)


def at_least(items: list, count: int) -> BoolRef:
    """Return that so many of the items hold."""
    return PbGe([(item, 1) for item in items], count)


@dataclass(frozen=True)
class Mutation:
    """A change of the specification, and the depth at which it must be found."""

    name: str
    depth: int


MUTATIONS = (
    Mutation("voter forgets its vote", 6),
    Mutation("restarted voter votes at once", 7),
    Mutation("holder counts from the answer", 8),
    Mutation("no majority", 5),
    Mutation("no freshness check", 5),
    Mutation("vouching without a majority", 6),
    Mutation("acceptance not announced", 7),
    Mutation("restarted voter vouches at once", 6),
    Mutation("claim without condition", 5),
    Mutation("lost claim counts as had", 6),
    Mutation("dispatch again after a lost answer", 6),
    Mutation("not run after a dispatch", 6),
)


@dataclass
class State:
    """The variables of one step."""

    index: int
    now: BitVecRef = field(init=False)

    def __post_init__(self):
        tag = self.index

        def ints(name: str) -> list:
            return [number(f"{name}{router}@{tag}") for router in range(ROUTERS)]

        def bools(name: str) -> list:
            return [Bool(f"{name}{router}@{tag}") for router in range(ROUTERS)]

        self.now = number(f"now@{tag}")
        # Leases: whom each voter votes for and until when; the holder's own end.
        self.vote_for = ints("vote_for")
        self.vote_until = ints("vote_until")
        self.silent_until = ints("silent_until")
        self.asked_at = ints("asked_at")
        self.granted = [
            [Bool(f"granted{a}by{b}@{tag}") for b in range(ROUTERS)] for a in range(ROUTERS)
        ]
        self.held_until = ints("held_until")
        # Configuration: the store's version and each router's, with its evidence.
        self.store_version = number(f"store_version@{tag}")
        self.changed_at = number(f"changed_at@{tag}")
        self.version = ints("version")
        self.evidence = ints("evidence")
        self.pending = bools("pending")
        self.gave_work_late = Bool(f"gave_work_late@{tag}")
        # One marked request: whose claim the store holds, who thinks it is theirs.
        self.claim_row = number(f"claim_row@{tag}")
        self.claim_ours = bools("claim_ours")
        self.claim_tried = bools("claim_tried")
        self.told_not_run = bools("told_not_run")
        self.dispatched = ints("dispatched")

    def variables(self) -> list:
        """Return all variables, for saying that the others stay as they are."""
        flat = [self.now, self.store_version, self.changed_at, self.gave_work_late, self.claim_row]
        for row in (
            self.vote_for,
            self.vote_until,
            self.silent_until,
            self.asked_at,
            self.held_until,
            self.version,
            self.evidence,
            self.pending,
            self.claim_ours,
            self.claim_tried,
            self.told_not_run,
            self.dispatched,
            *self.granted,
        ):
            flat.extend(row)
        return flat


class Specification:
    """The transition system, whole or mutated."""

    def __init__(self, mutation: str = ""):
        self._mutation = mutation

    def _is(self, name: str) -> bool:
        """Tell whether this mutation is in force."""
        return self._mutation == name

    # The start.

    def start(self, s: State) -> BoolRef:
        """All routers have version 0 and no evidence; no votes, no claim."""
        parts = [s.now == 0, s.store_version == 0, s.changed_at == -FAR, Not(s.gave_work_late)]
        parts += [s.claim_row == -1]
        for router in range(ROUTERS):
            parts += [
                s.vote_for[router] == -1,
                s.vote_until[router] == 0,
                s.silent_until[router] == 0,
                s.asked_at[router] == -1,
                s.held_until[router] == 0,
                s.version[router] == 0,
                s.evidence[router] == -FAR,
                Not(s.pending[router]),
                Not(s.claim_ours[router]),
                Not(s.claim_tried[router]),
                Not(s.told_not_run[router]),
                s.dispatched[router] == 0,
            ]
            parts += [Not(item) for item in s.granted[router]]
        return And(parts)

    # Actions.

    def step(self, s: State, t: State) -> BoolRef:
        """Return that one action leads from `s` to `t`."""
        choices = [self._tick(s, t), self._accept(s, t)]
        for router in range(ROUTERS):
            choices += [
                self._start_round(s, t, router),
                self._restart_voter(s, t, router),
                self._read_store(s, t, router),
                self._vouch(s, t, router),
                self._give_work(s, t, router),
                self._claim(s, t, router),
                self._claim_with_lost_answer(s, t, router),
                self._give_up_claim(s, t, router),
                self._dispatch(s, t, router),
            ]
            for other in range(ROUTERS):
                choices.append(self._vote(s, t, router, other))
                if router != other:
                    choices.append(self._take_evidence(s, t, router, other))
                    choices.append(self._settle_pending(s, t, router, other))
        return Or(choices)

    def _change(self, s: State, t: State, changes: dict) -> BoolRef:
        """Return that only the named variables change; the keys are variables of `t`."""
        names = {variable.get_id(): value for variable, value in changes.items()}
        parts = []
        for old, new in zip(s.variables(), t.variables(), strict=True):
            parts.append(new == names.get(new.get_id(), old))
        return And(parts)

    def _tick(self, s: State, t: State) -> BoolRef:
        """Let a unit of time pass."""
        return self._change(s, t, {t.now: s.now + 1})

    def _start_round(self, s: State, t: State, router: int) -> BoolRef:
        """LeaseClient.start_round: begin to ask for the lease."""
        changes = {t.asked_at[router]: s.now}
        changes |= {item: False for item in t.granted[router]}
        return self._change(s, t, changes)

    def _vote(self, s: State, t: State, voter: int, router: int) -> BoolRef:
        """LeaseVoter.vote and LeaseClient.record_vote: one vote arrives."""
        free = Or(
            s.vote_until[voter] <= s.now,
            s.vote_for[voter] == router,
            self._is("voter forgets its vote"),
        )
        awake = Or(s.silent_until[voter] <= s.now, self._is("restarted voter votes at once"))
        before = [s.granted[router][other] for other in range(ROUTERS) if other != voter]
        needed = (1 if self._is("no majority") else MAJORITY) - 1
        enough = at_least(before, needed) if needed else True
        counted_from = s.now if self._is("holder counts from the answer") else s.asked_at[router]
        end = counted_from + LEASE
        held = If(And(enough, end > s.held_until[router]), end, s.held_until[router])
        # The answer may take a unit of time on its way, so the voter may count
        # from one unit before; the holder's count is from before it asked.
        changes = {
            t.vote_for[voter]: router,
            t.vote_until[voter]: s.now + LEASE,
            t.granted[router][voter]: True,
            t.held_until[router]: held,
        }
        if self._is("holder counts from the answer"):
            changes[t.vote_until[voter]] = s.asked_at[router] + LEASE
        return And(s.asked_at[router] >= 0, free, awake, self._change(s, t, changes))

    def _restart_voter(self, s: State, t: State, router: int) -> BoolRef:
        """A voter is replaced: its votes are forgotten, its lease is gone."""
        changes = {
            t.vote_for[router]: -1,
            t.vote_until[router]: 0,
            t.silent_until[router]: s.now + LEASE,
            t.held_until[router]: 0,
            t.asked_at[router]: -1,
            # It cannot know of what it had agreed to, so it vouches for nothing
            # until it has read the store.
            t.pending[router]: not self._is("restarted voter vouches at once"),
            t.evidence[router]: -FAR,
        }
        changes |= {item: False for item in t.granted[router]}
        return self._change(s, t, changes)

    def _accept(self, s: State, t: State) -> BoolRef:
        """HeadManager.accept: announce to a majority of voters, then write."""
        changes = {t.store_version: s.store_version + 1, t.changed_at: s.now}
        outcomes = []
        for left_out in range(-1, ROUTERS):
            told = dict(changes)
            if not self._is("acceptance not announced"):
                told |= {t.pending[router]: True for router in range(ROUTERS) if router != left_out}
            outcomes.append(self._change(s, t, told))
        return And(s.store_version == 0, Or(outcomes))

    def _read_store(self, s: State, t: State, router: int) -> BoolRef:
        """HeadManager.poll: read the store and act on what it says."""
        changes = {
            t.version[router]: s.store_version,
            t.evidence[router]: s.now,
            t.pending[router]: False,
        }
        return self._change(s, t, changes)

    def _take_evidence(self, s: State, t: State, router: int, other: int) -> BoolRef:
        """Gossip.pull and fetch: take another router's version and evidence."""
        newer = s.version[other] > s.version[router]
        same = s.version[other] == s.version[router]
        better = If(s.evidence[other] > s.evidence[router], s.evidence[other], s.evidence[router])
        changes = {
            t.version[router]: If(newer, s.version[other], s.version[router]),
            t.evidence[router]: If(newer, s.evidence[other], If(same, better, s.evidence[router])),
            t.pending[router]: And(s.pending[router], Not(newer)),
        }
        return self._change(s, t, changes)

    def _settle_pending(self, s: State, t: State, router: int, other: int) -> BoolRef:
        """AcceptanceTracker.record_heads: an acceptance is settled by hearing of its version."""
        changes = {t.pending[router]: False, t.version[router]: s.version[other]}
        changes[t.evidence[router]] = -FAR
        return And(s.version[other] > s.version[router], self._change(s, t, changes))

    def _vouch(self, s: State, t: State, router: int) -> BoolRef:
        """Freshness.record_vouch: a majority of voters vouch while the store is away."""
        vouching = [
            And(s.version[voter] == s.version[router], Not(s.pending[voter]))
            for voter in range(ROUTERS)
        ]
        enough = 1 if self._is("vouching without a majority") else MAJORITY
        return And(at_least(vouching, enough), self._change(s, t, {t.evidence[router]: s.now}))

    def _give_work(self, s: State, t: State, router: int) -> BoolRef:
        """Gate.check: give out work on the own version while the evidence is fresh."""
        fresh = Or(s.now - s.evidence[router] <= FRESH, self._is("no freshness check"))
        old = s.version[router] < s.store_version
        late = And(old, s.now - s.changed_at > FRESH)
        return And(fresh, self._change(s, t, {t.gave_work_late: Or(s.gave_work_late, late)}))

    def _claim(self, s: State, t: State, router: int) -> BoolRef:
        """ClaimWriter: write the claim conditionally and learn whose it is."""
        absent = s.claim_row == -1
        ours = Or(absent, s.claim_row == router, self._is("claim without condition"))
        row = If(Or(absent, self._is("claim without condition")), router, s.claim_row)
        changes = {t.claim_row: row, t.claim_ours[router]: ours, t.claim_tried[router]: True}
        return And(Not(s.told_not_run[router]), self._change(s, t, changes))

    def _claim_with_lost_answer(self, s: State, t: State, router: int) -> BoolRef:
        """The store may write the claim while its answer is lost."""
        row = If(s.claim_row == -1, router, s.claim_row)
        changes = {t.claim_row: row, t.claim_tried[router]: True}
        if self._is("lost claim counts as had"):
            changes[t.claim_ours[router]] = True
        return And(Not(s.told_not_run[router]), self._change(s, t, changes))

    def _give_up_claim(self, s: State, t: State, router: int) -> BoolRef:
        """A claim that is not had, or not used, is answered as not run."""
        unused = Or(s.dispatched[router] == 0, self._is("not run after a dispatch"))
        changes = {t.told_not_run[router]: True, t.claim_ours[router]: False}
        return And(unused, self._change(s, t, changes))

    def _dispatch(self, s: State, t: State, router: int) -> BoolRef:
        """Claim.use: send the request once."""
        unused = Or(s.dispatched[router] == 0, self._is("dispatch again after a lost answer"))
        changes = {t.dispatched[router]: s.dispatched[router] + 1}
        return And(s.claim_ours[router], unused, self._change(s, t, changes))

    # Properties.

    def broken(self, s: State) -> BoolRef:
        """Return that a state breaks what must always hold."""
        holds = [s.held_until[router] > s.now for router in range(ROUTERS)]
        two_holders = at_least(holds, 2)
        ran = [count > 0 for count in s.dispatched]
        ran_twice = Or(at_least(ran, 2), *[count > 1 for count in s.dispatched])
        lied = Or(
            [
                And(s.told_not_run[r], s.dispatched[r] > 0, Not(s.claim_ours[r]))
                for r in range(ROUTERS)
            ]
        )
        went_back = Or([s.version[router] > s.store_version for router in range(ROUTERS)])
        return Or(two_holders, ran_twice, lied, went_back, s.gave_work_late)


def search(specification: Specification, depth: int) -> int | None:
    """Return the number of steps to a broken state, or `None` up to the depth."""
    states = [State(index) for index in range(depth + 1)]
    solver = SolverFor("QF_FD")
    solver.add(specification.start(states[0]))
    for step in range(1, depth + 1):
        solver.add(specification.step(states[step - 1], states[step]))
        solver.push()
        solver.add(specification.broken(states[step]))
        if solver.check() == sat:
            return step
        solver.pop()
        # What was shown not to happen helps the next search.
        solver.add(Not(specification.broken(states[step])))
    return None


def main() -> int:
    """Check the specification and its mutations."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=DEPTH)
    options = parser.parse_args()
    failures = 0
    began = time.monotonic()
    for mutation in MUTATIONS:
        found = search(Specification(mutation.name), mutation.depth)
        failures += found is None
        text = f"broken after {found} steps" if found else f"NOT FOUND in {mutation.depth} steps"
        print(f"mutated, {mutation.name}: {text}", flush=True)
    found = search(Specification(), options.depth)
    failures += found is not None
    text = "holds" if found is None else f"BROKEN after {found} steps"
    print(f"the specification: {text} for every path of {options.depth} steps")
    print(f"{time.monotonic() - began:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
