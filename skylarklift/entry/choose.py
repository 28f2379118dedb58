"""Choose the upstream for a request.

Requests of one chat go to the same replica, found by rendezvous hashing, so that the replica
has the prompt's prefix in its cache.  If the load of that replica exceeds a set multiple of
the mean, the next replica in the same order takes them.  Requests without affinity go to the
least loaded upstream.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Clock
from skylarklift.entry.cluster_state import ClusterState, Upstream
from skylarklift.entry.fleet import Fleet
from skylarklift.entry.fleet_limits import ColdRequestLimit
from skylarklift.entry.health import Health
from skylarklift.entry.model import Bounds, Call, Route, ServicePlan, Workspace
from skylarklift.entry.prefixes import PrefixIndex, shared_parts
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ReplicaId, ServiceId, ZoneId

# A replica takes chats by affinity until its load reaches the mean load times the fleet's load
# factor times this ratio, plus the extra requests.
AFFINITY_LOAD_RATIO = 0.8
AFFINITY_EXTRA_REQUESTS = 2
# An upstream in another zone counts as having this many more requests in flight.
OTHER_ZONE_PENALTY = 0.5
# The replicas with the most tokens of a prompt's shared parts count as its holders if these are at
# least this ratio of all shared tokens.
HOLDER_RATIO = 0.5
# More tokens than a replica can hold: no replica counts as a holder.
NO_HOLDER_TOKENS = 1 << 60
# Copying a prefix from another replica pays off from this many tokens on.
MIN_COPY_TOKENS = 64
HASH_RANGE = 1 << 32


class NoUpstream(Enum):
    """Why no upstream can take a request."""

    NONE_KNOWN = "no_upstream_known"
    ZONES_EVACUATED = "zones_out"
    OUTSIDE_ALLOWED_REGIONS = "no_upstream_at_home"
    EJECTED = "upstreams_failing"
    COLD = "upstreams_cold"
    TRIED = "upstreams_tried"


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream and the figures behind the choice.

    `load` and `mean` count requests in flight.  `position` is the index of the upstream in the
    order of candidates.  `copy_source` is a replica from which the chosen one can copy the part
    of the prefix that it lacks.
    """

    upstream: Upstream
    load: int
    mean: float
    position: int
    cold: bool
    copy_source: Upstream | None = None


class Chooser:
    """Choose upstreams by affinity, load, health and the request limit of cold ones."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        fleet: Fleet,
        health: Health,
        bounds: Bounds,
        zone: ZoneId,
        regions: Mapping[str, str] | None = None,
    ):
        self._clock = clock
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._health = health
        self._bounds = bounds
        self._zone = zone
        self._regions = regions or {}
        self.cold_limit = ColdRequestLimit(clock, bounds)
        self.prefixes = PrefixIndex(clock)
        self.in_flight: Counter[ReplicaId] = Counter()

    def select_service(self, route: Route, call: Call) -> ServiceId:
        """Return the service for a request by weight; a chat stays with one service."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        key = affinity_key(call) if route.affinity else call.request
        point = rendezvous_weight(key, "split") % HASH_RANGE / HASH_RANGE * total
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
        """Return the upstream for a request, or the reason why there is none."""
        regions = allowed_regions(route, workspace)
        candidates = self._candidates(service, tried, regions)
        if isinstance(candidates, NoUpstream):
            return candidates
        plan = self._cluster_state.plan.services.get(service)
        loads = {item.record.replica: self.load(item.record.replica) for item in candidates}
        mean = sum(loads.values()) / len(loads)
        by_affinity = plan is not None and plan.engine_slots > 0 and route.affinity
        if by_affinity:
            ordered = self._order_by_affinity(call, candidates, loads, mean)
        else:
            ordered = self._order_by_load(candidates, loads)
        for position, item in enumerate(ordered):
            cold = self.is_cold(item, plan)
            if cold and not self._cold_limit_allows(item, plan):
                continue
            copy_source = self._find_copy_source(call, service, item) if by_affinity else None
            return Choice(item, loads[item.record.replica], mean, position, cold, copy_source)
        return NoUpstream.COLD

    def _candidates(
        self,
        service: ServiceId,
        tried: Collection[ReplicaId],
        regions: frozenset[str] | None,
    ) -> list[Upstream] | NoUpstream:
        """Return the upstreams that may take the request, or the reason why there is none."""
        known = self._cluster_state.upstreams_of(service)
        if not known:
            return NoUpstream.NONE_KNOWN
        usable = self._cluster_state.usable_upstreams(service)
        if not usable:
            return NoUpstream.ZONES_EVACUATED
        if regions is not None:
            usable = [item for item in usable if self._regions.get(item.record.zone) in regions]
            if not usable:
                return NoUpstream.OUTSIDE_ALLOWED_REGIONS
        untried = [item for item in usable if item.record.replica not in tried]
        if not untried:
            return NoUpstream.TRIED
        healthy = [item for item in untried if self._health.allows(item.record.replica)]
        if healthy:
            return healthy
        # If all upstreams are ejected, one that was reachable last time is better than none.
        failing = [item for item in untried if self._health.reachable(item.record.replica)]
        return failing or NoUpstream.EJECTED

    def load(self, replica: ReplicaId) -> int:
        """Return the known number of requests in flight at an upstream from all routers."""
        return self.in_flight[replica] + self._fleet.peer_load(replica)

    def _order_by_affinity(
        self,
        call: Call,
        candidates: list[Upstream],
        loads: dict[ReplicaId, int],
        mean: float,
    ) -> list[Upstream]:
        """Return the replicas from the best to the worst for a chat, overloaded ones last.

        The holders of its prefix come first, then the rest in the chat's rendezvous order.
        """
        key = affinity_key(call)
        held = {item.record.replica: self.held_tokens(call, item) for item in candidates}
        most_held = max(held.values())
        shared_tokens = sum(part.tokens for part in shared_parts(call.parts))
        holder_tokens = most_held if most_held >= HOLDER_RATIO * shared_tokens else NO_HOLDER_TOKENS
        load_limit = AFFINITY_LOAD_RATIO * self._bounds.load_factor * mean + AFFINITY_EXTRA_REQUESTS

        def sort_key(item: Upstream) -> tuple[bool, bool, int]:
            replica = item.record.replica
            return (
                loads[replica] < load_limit,
                held[replica] >= holder_tokens,
                rendezvous_weight(key, replica) if loads[replica] < load_limit else -loads[replica],
            )

        return sorted(candidates, key=sort_key, reverse=True)

    def held_tokens(self, call: Call, upstream: Upstream) -> int:
        """Return how many tokens of a prompt's shared parts an upstream holds."""
        parts = shared_parts(call.parts)
        return self.prefixes.held_tokens(parts, upstream.record.replica, upstream.known_since)

    def _find_copy_source(
        self, call: Call, service: ServiceId, chosen: Upstream
    ) -> Upstream | None:
        """Return the replica that holds most of a prompt, if copying from it pays off."""
        best, most = None, self.held_tokens(call, chosen) + MIN_COPY_TOKENS
        for item in self._cluster_state.upstreams.values():
            if item.record.service != service or not self._health.allows(item.record.replica):
                continue
            held = self.held_tokens(call, item)
            if held > most:
                best, most = item, held
        return best

    def _order_by_load(
        self, candidates: list[Upstream], loads: dict[ReplicaId, int]
    ) -> list[Upstream]:
        """Return the upstreams from the least to the most loaded, preferring the own zone."""

        def sort_key(item: Upstream) -> tuple[float, int]:
            other_zone = item.record.zone != self._zone
            jitter = rendezvous_weight(self._clock.now(), item.record.replica)
            return loads[item.record.replica] + OTHER_ZONE_PENALTY * other_zone, jitter

        return sorted(candidates, key=sort_key)

    def is_cold(self, upstream: Upstream, plan: ServicePlan | None) -> bool:
        """Return whether an upstream is still limited to a few requests a second.

        An upstream that may have restarted counts as cold.
        """
        if plan is None or plan.cold_per_s <= 0:
            return False
        restarted = self._health.maybe_restarted(upstream.record.replica)
        return restarted or upstream.cold_until > self._clock.now()

    def _cold_limit_allows(self, upstream: Upstream, plan: ServicePlan) -> bool:
        """Return whether this router may send one more request to a cold replica."""
        fleet = self._fleet
        if not fleet.discovery_done():
            return False
        replica = upstream.record.replica
        return self.cold_limit.allows(
            replica, plan.cold_per_s, fleet.router_count(), fleet.rank(replica)
        )

    def start_request(self, choice: Choice, call: Call) -> None:
        """Count a request as in flight, right before it is sent."""
        replica = choice.upstream.record.replica
        self.prefixes.record_own(shared_parts(call.parts), replica)
        self.in_flight[replica] += 1
        if choice.cold:
            self.cold_limit.record_request(replica)
        self._health.start_trial(replica)

    def end_request(self, replica: ReplicaId) -> None:
        """Count a request as ended."""
        self.in_flight[replica] -= 1
        if self.in_flight[replica] <= 0:
            del self.in_flight[replica]


def allowed_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions whose upstreams a request may reach, `None` for all."""
    limits = [route.allowed_regions, workspace.allowed_regions if workspace else ()]
    bound = [frozenset(regions) for regions in limits if regions]
    return frozenset.intersection(*bound) if bound else None


def affinity_key(call: Call) -> str:
    """Return the hash key for affinity: the last shared part of the prompt.

    The name of that part stands for the whole shared prefix of a chat.
    """
    if len(call.parts) > 1:
        return call.parts[-2].name
    if call.parts:
        return call.parts[0].name
    return call.request
