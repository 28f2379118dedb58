"""The roll-outs of one router: what is in force, what it has seen, and what comes next.

The state of a roll-out is a row of the store.  Its share rises only once the row says so; a verdict
against a version holds at each router from the moment that it knows it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from skylarklift.clock import Clock, Millis
from skylarklift.entry.gossip.fleet import Fleet
from skylarklift.entry.model import Bounds
from skylarklift.entry.placement.choice import WantedVersion
from skylarklift.entry.rollouts.evidence import Evidence, EvidenceReport, Sample
from skylarklift.entry.rollouts.order import KnownOrder
from skylarklift.entry.rollouts.plan import PER_MILLE, PlanStep, plan_steps
from skylarklift.entry.rollouts.state import RolloutPhase, RolloutState
from skylarklift.entry.rollouts.verdict import Judgement, Verdict, judge
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ServiceId, SoftwareVersion

# A version that is new at a service gets nothing for this long, as its order may come later than
# the entries of its replicas.  Each table is read within 1.1 s.
NEW_VERSION_HOLD_MS = 2500
# Steps are at least this far apart, so that each has some evidence before the next.
MIN_STEP_MS = 400
# Other routers use the last step, and their loads are known, this long after it was written.
LAST_STEP_MS = 1200
# The old version may stop with streams that run at it after this part of the planned time.
LAST_ELAPSED = 1.015
# The new version has answered for this long before the share rises, also if its replicas are late.
MIN_OBSERVED_MS = 3000
# A version that would have this many answers by its share, and has none, takes no requests.
EXPECTED_ANSWERS = 10
# The share rises this often although no answer of the new version was seen.
STEPS_WITHOUT_ANSWERS = 2
# The old replicas are gone by this long after the deadline of an order that was completed.
COMPLETED_TTL_MS = 10_000
# In the first step the new version pauses from this part of the bound on exposure and of its slack
# on, until it is below `RESUME_RATIO` of that.  A few prompts may make up most resumable streams.
PAUSE_RATIO = 0.5
RESUME_RATIO = 0.7
HASH_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class RolloutEvent:
    """A change of a roll-out for the log, with the evidence for it."""

    state: RolloutState
    share: float
    judgement: Judgement


class Rollouts:
    """The orders in force, their states, and the evidence on both versions."""

    def __init__(self, clock: Clock, bounds: Bounds, cluster_state: ClusterState, fleet: Fleet):
        self._clock = clock
        self._bounds = bounds
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._states: dict[ServiceId, RolloutState] = {}
        self._evidence: dict[ServiceId, Evidence] = {}
        self._stepped_at: dict[ServiceId, Millis] = {}
        # The services whose new version has got more than its share.
        self._paused: set[ServiceId] = set()
        # When the new version was seen to answer first.
        self._answers_since: dict[ServiceId, Millis] = {}
        # Per service, when each version was seen first.
        self._versions_seen: dict[ServiceId, dict[SoftwareVersion | None, Millis]] = {}

    @property
    def enabled(self) -> bool:
        """Return whether the settings ask for roll-outs."""
        return self._bounds.exposure_share > 0

    # Orders and states.

    def order(self, service: ServiceId) -> KnownOrder | None:
        """Return the order in force for a service; one that was completed ends with its time."""
        known = self._cluster_state.rollout_orders.get(service) if self.enabled else None
        state = self._states.get(service)
        if known is None or state is None or not state.is_of(known):
            return known
        ended_at = state.ordered_at + state.duration_ms + COMPLETED_TTL_MS
        is_over = state.phase is RolloutPhase.COMPLETED and self._clock.now() >= ended_at
        return None if is_over else known

    def state(self, service: ServiceId) -> RolloutState | None:
        """Return the state of the order in force, `None` before one is known."""
        known, state = self.order(service), self._states.get(service)
        return state if known is not None and state is not None and state.is_of(known) else None

    def states(self) -> tuple[RolloutState, ...]:
        """Return the states of all orders in force."""
        found = (self.state(service) for service in self._states)
        return tuple(state for state in found if state is not None)

    def apply(self, state: RolloutState) -> RolloutEvent | None:
        """Use a state from the store or another router; return what changed, if anything."""
        known = self._states.get(state.service)
        if known is None or not known.is_of_same_order(state):
            order = self._cluster_state.rollout_orders.get(state.service)
            if known is not None and order is not None and not state.is_of(order):
                return None
            merged = state
        else:
            merged = known.merge(state)
        self._states[state.service] = merged
        if known is not None and known.is_of_same_order(merged):
            if known.progress() == merged.progress():
                return None
        self._stepped_at[state.service] = self._clock.now()
        return self._event(merged)

    def _event(self, state: RolloutState) -> RolloutEvent:
        """Return the log event for a new state."""
        return RolloutEvent(state, self._share_of(state), self.judge(state.service))

    # Evidence.

    def evidence(self, service: ServiceId) -> Evidence | None:
        """Return the evidence for the order in force."""
        known = self.order(service)
        if known is None:
            self._evidence.pop(service, None)
            return None
        found = self._evidence.get(service)
        if found is None or found.own.order_version != known.row_version:
            found = self._evidence[service] = Evidence(service, known.row_version)
            self._answers_since.pop(service, None)
        return found

    def record(self, service: ServiceId, sample: Sample) -> None:
        """Count an attempt that ended."""
        evidence = self.evidence(service)
        if evidence is not None and self._is_open(service):
            state = self.state(service)
            step = 0 if state is None else state.step
            evidence.record(sample, self.order(service).order.to, step)

    def reports(self) -> tuple[EvidenceReport, ...]:
        """Return what this router counted, for the others."""
        orders = self._cluster_state.rollout_orders if self.enabled else ()
        found = (self.evidence(service) for service in orders if self._is_open(service))
        return tuple(evidence.own for evidence in found if evidence is not None)

    def has_open_orders(self) -> bool:
        """Return whether a verdict on some version is still to be found."""
        orders = self._cluster_state.rollout_orders if self.enabled else ()
        return any(self._is_open(service) for service in orders)

    def _is_open(self, service: ServiceId) -> bool:
        """Return whether a verdict is still to be found."""
        if self.order(service) is None:
            return False
        state = self.state(service)
        return state is None or state.phase is RolloutPhase.IN_PROGRESS

    def apply_report(self, reporter: str, report: EvidenceReport) -> None:
        """Use what another router counted for the order in force."""
        evidence = self.evidence(report.service)
        if evidence is not None and evidence.own.order_version == report.order_version:
            evidence.apply_report(reporter, report)

    def judge(self, service: ServiceId) -> Judgement:
        """Return the verdict on the new version of a service."""
        evidence, known = self.evidence(service), self.order(service)
        if evidence is None:
            return Judgement(Verdict.OPEN)
        to = known.order.to
        members = self._cluster_state.members_of(service).values()
        replicas = sum(item.record.software == to for item in members)
        return judge(evidence.summed(), to, replicas)

    # The share of the new version.

    def _plan(self) -> tuple[PlanStep, ...]:
        """Return the steps under the bound in force."""
        return plan_steps(self._bounds.exposure_share)

    def _share_of(self, state: RolloutState | None) -> float:
        """Return the share of the new version in a state, 0 before one is known."""
        if state is None or state.phase is RolloutPhase.REVERTED:
            return 0.0
        if state.phase is RolloutPhase.COMPLETED:
            return 1.0
        plan = self._plan()
        return plan[min(state.step, len(plan) - 1)].share

    def share(self, service: ServiceId) -> float:
        """Return the share of the new version of a service that is in force here."""
        state = self.state(service)
        is_paused = state is not None and state.step == 0 and service in self._paused
        if is_paused and state.phase is RolloutPhase.IN_PROGRESS:
            return 0.0
        return self._share_of(state)

    def is_withdrawn(self, service: ServiceId, version: SoftwareVersion | None) -> bool:
        """Return whether a version was reverted and must get no request any more."""
        state = self.state(service)
        if state is None or state.phase is not RolloutPhase.REVERTED:
            return False
        return state.to == version

    def is_completed(self, service: ServiceId) -> bool:
        """Return whether the old version of a service may stop at any moment."""
        state = self.state(service)
        return state is not None and state.phase is RolloutPhase.COMPLETED

    def wanted(self, service: ServiceId, request: str, *, again: bool) -> WantedVersion | None:
        """Return the version for a request that need not be found again, `None` if any may.

        A request that is tried `again` goes to the version that is known to be good.
        """
        known = self.order(service)
        if known is None:
            held = self.held_version(service)
            return None if held is None else WantedVersion(held, begun=False, others=True)
        share = self.share(service)
        point = rendezvous_weight(request, "rollout") % HASH_RANGE / HASH_RANGE
        is_first = point < share and (share >= 1 or not (again or self._is_cut_off()))
        return WantedVersion(known.order.to, begun=False, others=not is_first)

    def _is_cut_off(self) -> bool:
        """Return whether this router hears no other, and so may not hear of a verdict."""
        return bool(self._fleet.peers) and not self._fleet.live_peers()

    def held_version(self, service: ServiceId) -> SoftwareVersion | None:
        """Return the version of a service whose order may still come, `None` without one."""
        if not self.enabled:
            return None
        versions = self._cluster_state.services.versions(service)
        now = self._clock.now()
        seen = self._versions_seen.get(service)
        if seen is None:
            seen = dict.fromkeys(versions, Millis(now - NEW_VERSION_HOLD_MS))
        # A version without replicas is forgotten, and is new again when it comes back.
        seen = {version: seen.get(version, now) for version in versions}
        self._versions_seen[service] = seen
        if len(versions) < 2:
            return None
        newest = max(seen, key=lambda version: seen[version])
        return newest if now - seen[newest] < NEW_VERSION_HOLD_MS else None

    def steer_counts(
        self, service: ServiceId, counts: Mapping[SoftwareVersion, int]
    ) -> Mapping[SoftwareVersion, int]:
        """Return the proportions for resumable streams, those of the replicas without an order."""
        known = self.order(service)
        to = self.held_version(service) if known is None else known.order.to
        others = {name: count for name, count in counts.items() if name != to and count > 0}
        if counts.get(to, 0) <= 0 or not others:
            return counts
        share = round(self.share(service) * PER_MILLE) if known is not None else 0
        if share >= PER_MILLE:
            return {to: 1}
        if share <= 0:
            return others
        total = sum(others.values())
        rest = {
            name: max(1, round((PER_MILLE - share) * count / total))
            for name, count in others.items()
        }
        return {**rest, to: share}

    # Decisions.

    def revert_condemned(self) -> list[RolloutEvent]:
        """Revert here what the evidence condemns; the row of the store follows."""
        events = []
        for state in self.states():
            if state.phase is not RolloutPhase.IN_PROGRESS:
                continue
            self._note_answers(state)
            self._note_exposure(state)
            if self._is_condemned(state):
                event = self.apply(replace(state, phase=RolloutPhase.REVERTED))
                events += [event] if event else []
        return events

    def _is_condemned(self, state: RolloutState) -> bool:
        """Return whether the version is clearly bad, or suspect at the end of the time."""
        verdict = self.judge(state.service).verdict
        if verdict is Verdict.SUSPECT:
            return state.elapsed(self._clock.now()) >= LAST_ELAPSED
        return verdict is Verdict.BAD

    def next_state(self, service: ServiceId, *, others_busy: bool) -> RolloutState | None:
        """Return the state that the row of a service should have, `None` without an order.

        `others_busy` is whether replicas of other versions still have requests.
        """
        known = self.order(service)
        if known is None:
            return None
        state, now = self.state(service), self._clock.now()
        if state is None:
            order = known.order
            state = RolloutState(
                service, order.to, known.row_version, now, max(1, order.duration_ms)
            )
            if self._cluster_state.services.versions(service) == {order.to}:
                return replace(state, phase=RolloutPhase.COMPLETED)
            return state
        if state.phase is not RolloutPhase.IN_PROGRESS:
            return state
        return self._next_step(state, now, others_busy=others_busy)

    def _next_step(self, state: RolloutState, now: Millis, *, others_busy: bool) -> RolloutState:
        """Return the state of a roll-out in progress, one step on if it is time for that."""
        versions = self._cluster_state.services.versions(state.service)
        if versions == {state.to}:
            return replace(state, phase=RolloutPhase.COMPLETED)
        if state.to not in versions or not self._is_observed(state):
            return state
        in_step_ms = now - self._stepped_at.get(state.service, now)
        if in_step_ms < MIN_STEP_MS:
            return state
        plan, elapsed = self._plan(), state.elapsed(now)
        if self.judge(state.service).verdict in (Verdict.SUSPECT, Verdict.BAD):
            return state
        if state.step >= len(plan) - 1:
            is_due = elapsed >= LAST_ELAPSED or (in_step_ms >= LAST_STEP_MS and not others_busy)
            return replace(state, phase=RolloutPhase.COMPLETED) if is_due else state
        is_due = elapsed >= plan[state.step + 1].from_elapsed
        return replace(state, step=state.step + 1) if is_due else state

    def _note_answers(self, state: RolloutState) -> None:
        """Note when the new version was seen to answer first."""
        if state.service not in self._answers_since and self._count_answers(state)[0]:
            self._answers_since[state.service] = self._clock.now()

    def _note_exposure(self, state: RolloutState) -> None:
        """Note whether the new version has got so many requests that it is to pause."""
        new, total = self._count_answers(state)
        bounds = self._bounds
        limit = PAUSE_RATIO * (bounds.exposure_share * total + bounds.exposure_slack)
        if new > limit:
            self._paused.add(state.service)
        elif new < RESUME_RATIO * limit:
            self._paused.discard(state.service)

    def _is_observed(self, state: RolloutState) -> bool:
        """Return whether the new version has answered for a while, or gets hardly any requests."""
        since = self._answers_since.get(state.service)
        if since is not None:
            # A later step says that some router has observed it; this one may have just started.
            if state.step > 0:
                return True
            return self._clock.now() - since >= min(MIN_OBSERVED_MS, state.duration_ms // 4)
        _, total = self._count_answers(state)
        is_due = state.elapsed(self._clock.now()) >= self._plan()[1].from_elapsed
        # Streams of few prompts may all be assigned to the other version at a small share.
        is_small = state.step < STEPS_WITHOUT_ANSWERS
        return is_due and (is_small or total * self._share_of(state) < EXPECTED_ANSWERS)

    def _count_answers(self, state: RolloutState) -> tuple[int, int]:
        """Return the answers of the new version, and those of all versions."""
        routes = self.evidence(state.service).summed().routes
        new = sum(counts.answers for key, counts in routes.items() if key[1] == state.to)
        return new, sum(counts.answers for counts in routes.values())
