"""Which upstream takes a request.

Requests of one chat go to the same replica, found by rendezvous hashing, so that its prefix
is at hand there, unless that replica carries more than a set multiple of the mean; then the
next one in the same order takes them.  Plain requests go where the fewest run.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Clock
from skylarklift.entry.beliefs import Beliefs, Upstream
from skylarklift.entry.fleet import Fleet
from skylarklift.entry.health import Health
from skylarklift.entry.model import Bounds, Call, Route, ServicePlan, Workspace
from skylarklift.entry.prefixes import PrefixIndex, shared_parts
from skylarklift.entry.shares import ColdShare
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ReplicaId, ServiceId, ZoneId

# A replica takes more of its own chats up to this part of the fleet's load factor.
AFFINITY_PART = 0.8
AFFINITY_SLACK = 2
# An upstream in another zone is as good as one here that carries this much more.
ZONE_PREFERENCE = 0.5
# A replica that holds this part of a prompt's shared tokens counts as its holder.
HOLDER_PART = 0.5
NOBODY_HOLDS = 1 << 60
# Copying a prefix from another replica pays from this many tokens on.
FETCH_LEAST_TOKENS = 64
WEIGHT_SCALE = 1 << 32


class NoUpstream(Enum):
    """Why no upstream takes a request."""

    UNKNOWN_SERVICE = "no_upstream_known"
    ZONES_OUT = "zones_out"
    NOT_AT_HOME = "no_upstream_at_home"
    EJECTED = "upstreams_failing"
    COLD = "upstreams_cold"
    TRIED = "upstreams_tried"


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen, and what decided it.

    `source` is a replica from which the chosen one can copy what it lacks of the prefix.
    """

    upstream: Upstream
    load: int
    mean: float
    place: int
    cold: bool
    source: Upstream | None = None


class Chooser:
    """Choose upstreams by affinity, load, health, and the shares of cold ones."""

    def __init__(
        self,
        clock: Clock,
        beliefs: Beliefs,
        fleet: Fleet,
        health: Health,
        bounds: Bounds,
        zone: ZoneId,
        regions: Mapping[str, str] | None = None,
    ):
        self._clock = clock
        self._beliefs = beliefs
        self._fleet = fleet
        self._health = health
        self._bounds = bounds
        self._zone = zone
        self._regions = regions or {}
        self.cold = ColdShare(clock, bounds)
        self.prefixes = PrefixIndex(clock)
        self.running: Counter[ReplicaId] = Counter()

    def service_of(self, route: Route, call: Call) -> ServiceId:
        """Return the service that takes a request; all requests of a chat go to one."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        key = affinity_key(call) if route.affinity else call.request
        point = rendezvous_weight(key, "split") % WEIGHT_SCALE / WEIGHT_SCALE * total
        for target in route.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return route.targets[-1].service

    def choose(
        self,
        call: Call,
        route: Route,
        service: ServiceId,
        tried: Collection[ReplicaId] = (),
        workspace: Workspace | None = None,
    ) -> Choice | NoUpstream:
        """Return the upstream for a request, or why there is none."""
        homes = home_regions(route, workspace)
        candidates = self._candidates(service, tried, homes)
        if isinstance(candidates, NoUpstream):
            return candidates
        plan = self._beliefs.plan.services.get(service)
        loads = {item.record.replica: self.load(item.record.replica) for item in candidates}
        mean = sum(loads.values()) / len(loads)
        by_affinity = plan is not None and plan.engine_slots > 0 and route.affinity
        if by_affinity:
            ordered = self._by_affinity(call, candidates, loads, mean)
        else:
            ordered = self._by_load(candidates, loads)
        for place, item in enumerate(ordered):
            cold = self.is_cold(item, plan)
            if cold and not self._cold_allows(item, plan):
                continue
            source = self._source(call, service, item) if by_affinity else None
            return Choice(item, loads[item.record.replica], mean, place, cold, source)
        return NoUpstream.COLD

    def _candidates(
        self,
        service: ServiceId,
        tried: Collection[ReplicaId],
        homes: frozenset[str] | None,
    ) -> list[Upstream] | NoUpstream:
        """Return the upstreams that may be sent to."""
        known = self._beliefs.of_service(service)
        if not known:
            return NoUpstream.UNKNOWN_SERVICE
        usable = self._beliefs.usable(service)
        if not usable:
            return NoUpstream.ZONES_OUT
        if homes is not None:
            usable = [item for item in usable if self._regions.get(item.record.zone) in homes]
            if not usable:
                return NoUpstream.NOT_AT_HOME
        untried = [item for item in usable if item.record.replica not in tried]
        if not untried:
            return NoUpstream.TRIED
        healthy = [item for item in untried if self._health.allows(item.record.replica)]
        if healthy:
            return healthy
        # Where all fail, a failing upstream is better than none.
        failing = [item for item in untried if self._health.reachable(item.record.replica)]
        return failing or NoUpstream.EJECTED

    def load(self, replica: ReplicaId) -> int:
        """Return how many requests an upstream has from all routers, as far as known."""
        return self.running[replica] + self._fleet.load_at(replica)

    def _by_affinity(
        self,
        call: Call,
        candidates: list[Upstream],
        loads: dict[ReplicaId, int],
        mean: float,
    ) -> list[Upstream]:
        """Return the replicas from the best to the worst for a chat, overloaded ones last.

        Those that hold most of its prefix come first, then the rest in the chat's own order.
        """
        key = affinity_key(call)
        held = {item.record.replica: self.held(call, item) for item in candidates}
        most = max(held.values())
        whole = sum(part.tokens for part in shared_parts(call.parts))
        enough = most if most >= HOLDER_PART * whole else NOBODY_HOLDS
        bound = AFFINITY_PART * self._bounds.load_factor * mean + AFFINITY_SLACK

        def weight(item: Upstream) -> tuple[bool, bool, int]:
            replica = item.record.replica
            return (
                loads[replica] < bound,
                held[replica] >= enough,
                rendezvous_weight(key, replica) if loads[replica] < bound else -loads[replica],
            )

        return sorted(candidates, key=weight, reverse=True)

    def held(self, call: Call, upstream: Upstream) -> int:
        """Return how many tokens of a prompt's shared parts a replica holds."""
        parts = shared_parts(call.parts)
        return self.prefixes.held(parts, upstream.record.replica, upstream.known_since)

    def _source(self, call: Call, service: ServiceId, chosen: Upstream) -> Upstream | None:
        """Return a replica that holds clearly more of a prompt than the chosen one."""
        best, most = None, self.held(call, chosen) + FETCH_LEAST_TOKENS
        for item in self._beliefs.upstreams.values():
            if item.record.service != service or not self._health.allows(item.record.replica):
                continue
            held = self.held(call, item)
            if held > most:
                best, most = item, held
        return best

    def _by_load(self, candidates: list[Upstream], loads: dict[ReplicaId, int]) -> list[Upstream]:
        """Return the upstreams from the least to the most loaded, near ones first."""

        def weight(item: Upstream) -> tuple[float, int]:
            away = item.record.zone != self._zone
            jitter = rendezvous_weight(self._clock.now(), item.record.replica)
            return loads[item.record.replica] + ZONE_PREFERENCE * away, jitter

        return sorted(candidates, key=weight)

    def is_cold(self, upstream: Upstream, plan: ServicePlan | None) -> bool:
        """Tell whether an upstream bears only a few requests a second yet."""
        if plan is None or plan.cold_per_s <= 0:
            return False
        lost = self._health.lost(upstream.record.replica)
        return lost or upstream.cold_until > self._clock.now()

    def _cold_allows(self, upstream: Upstream, plan: ServicePlan) -> bool:
        """Tell whether this router may send one more request to a cold replica."""
        fleet = self._fleet
        if not fleet.has_listened():
            return False
        replica = upstream.record.replica
        return self.cold.allows(replica, plan.cold_per_s, fleet.routers(), fleet.rank(replica))

    def start(self, choice: Choice, call: Call) -> None:
        """Count a request in, right before it is sent."""
        replica = choice.upstream.record.replica
        self.prefixes.note(shared_parts(call.parts), replica)
        self.running[replica] += 1
        if choice.cold:
            self.cold.note(replica)
        self._health.start_trial(replica)

    def end(self, replica: ReplicaId) -> None:
        """Count a request out."""
        self.running[replica] -= 1
        if self.running[replica] <= 0:
            del self.running[replica]


def home_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions whose upstreams a request may reach, `None` for all."""
    limits = [route.homes, workspace.homes if workspace else ()]
    bound = [frozenset(homes) for homes in limits if homes]
    return frozenset.intersection(*bound) if bound else None


def affinity_key(call: Call) -> str:
    """Return what requests of one chat have in common: the longest prefix others share."""
    if len(call.parts) > 1:
        return call.parts[-2].name
    if call.parts:
        return call.parts[0].name
    return call.request
