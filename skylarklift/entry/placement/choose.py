"""Choose the upstream for a request.

Requests of one chat go to the same replica, found by rendezvous hashing, so that the replica
has the prompt's prefix in its cache.  If the load of that replica exceeds a set multiple of
the mean, the next replica in the same order takes them.  Requests without affinity go to the
least loaded upstream.
"""

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from itertools import chain

from skylarklift.clock import Clock
from skylarklift.entry.gossip.fleet import Fleet
from skylarklift.entry.model import (
    Bounds,
    Call,
    Route,
    ServicePlan,
    UpstreamRecord,
    Workspace,
)
from skylarklift.entry.placement.affinity import RendezvousCache, affinity_key, order_by_affinity
from skylarklift.entry.placement.candidates import Candidates, allowed_regions
from skylarklift.entry.placement.choice import (
    Choice,
    NoUpstream,
    PassedOver,
    WantedVersion,
    summarize,
)
from skylarklift.entry.placement.concurrency_limits import ConcurrencyLimits, KnownLoads
from skylarklift.entry.placement.fleet_limits import ColdRequestLimit
from skylarklift.entry.placement.health import Health
from skylarklift.entry.placement.hold_offs import HoldOffs
from skylarklift.entry.placement.observed_loads import ObservedLoads
from skylarklift.entry.placement.prefixes import PrefixIndex, shared_parts
from skylarklift.entry.placement.rate_limits import RateLimits
from skylarklift.entry.placement.replica_speeds import ReplicaSpeeds
from skylarklift.entry.placement.software_versions import SoftwareVersions
from skylarklift.entry.placement.zone_links import ZoneLinks
from skylarklift.entry.placement.zone_spill import ZoneSpill, request_cost
from skylarklift.entry.standstill import Standstill
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.entry.state.rows import RowTable
from skylarklift.entry.state.upstream import Upstream
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ReplicaId, ServiceId, ZoneId

# A replica takes chats by affinity until its load reaches the mean load times the fleet's load
# factor times this ratio, plus the extra requests.
AFFINITY_LOAD_RATIO = 0.8
AFFINITY_EXTRA_REQUESTS = 2
# The replicas with the most tokens of a prompt's shared parts count as its holders if these are at
# least this ratio of all shared tokens.
HOLDER_RATIO = 0.5
# A replica that names a limit is idle if it carries less than this ratio of the mean load.
IDLE_LOAD_RATIO = 0.5
# Copying a prefix from another replica pays off from this many tokens on.
MIN_COPY_TOKENS = 64
HASH_RANGE = 1 << 32
# The list of upstreams is confirmed more often than this while the router runs.
OLD_ENTRIES_MS = 1500


class Chooser:
    """Choose upstreams by affinity, load, health and the request limit of cold ones."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        standstill: Standstill,
        fleet: Fleet,
        health: Health,
        bounds: Bounds,
        zone: ZoneId,
        regions: Mapping[str, str] | None = None,
        zone_links: ZoneLinks | None = None,
    ):
        self._clock = clock
        self._cluster_state = cluster_state
        self._standstill = standstill
        self._fleet = fleet
        self._health = health
        self._bounds = bounds
        self._zone = zone
        self._regions = regions or {}
        self.software = SoftwareVersions(cluster_state, health)
        self.cold_limit = ColdRequestLimit(clock, bounds)
        self.rate_limits = RateLimits(clock)
        self.concurrency_limits = ConcurrencyLimits(clock)
        self.hold_offs = HoldOffs(clock)
        self.prefixes = PrefixIndex(clock)
        self.observed_loads = ObservedLoads(clock)
        self.zone_spill = ZoneSpill(clock, zone, zone_links or ZoneLinks(clock))
        self.speeds = ReplicaSpeeds(clock)
        self._rendezvous = RendezvousCache()
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
        version: WantedVersion | None = None,
    ) -> Choice | NoUpstream:
        """Return the upstream for a request, or the reason why there is none."""
        regions = allowed_regions(route, workspace)
        candidates = self._candidates(service, tried, regions, version)
        if isinstance(candidates, NoUpstream):
            return candidates
        plan = self._cluster_state.plan.services.get(service)
        mean = self._mean_load(service)
        self.zone_spill.update(service, lambda: self._all_usable(service))
        busy_load = 0.0
        by_affinity = plan is not None and plan.engine_slots > 0 and route.affinity
        if by_affinity:
            busy_load = self._busy_load(mean)
            ordered = self._order_by_affinity(call, service, candidates, busy_load)
        else:
            ordered = iter(self._order_by_load(call, service, candidates))
        passed_over: list[PassedOver] = []
        limited = False
        idle = self._idle_limited(candidates, mean)
        for position, name in enumerate(chain(idle, ordered)):
            item = candidates[name]
            reason = self._reason_to_pass_over(item, plan, candidates, mean)
            if reason is None and limited and candidates.load(name) >= item.record.slots:
                # What the limited ones do not take must not swamp the rest.
                reason = NoUpstream.FULL
            if reason is not None:
                limited = limited or reason is NoUpstream.LIMITED
                passed_over.append(PassedOver(name, reason))
                continue
            return Choice(
                item,
                candidates.load(name),
                mean,
                position,
                self.is_cold(item, plan),
                self._fleet.load_age_ms(),
                busy_load,
                self._find_copy_source(call, item) if by_affinity else None,
                tuple(passed_over),
            )
        return summarize(passed_over)

    def _reason_to_pass_over(
        self, upstream: Upstream, plan: ServicePlan | None, candidates: Candidates, mean: float
    ) -> NoUpstream | None:
        """Return why a candidate may not take one more request now, `None` if it may."""
        replica = upstream.record.replica
        if not self._has_place(upstream.record, candidates, mean):
            return NoUpstream.SATURATED
        if self.is_cold(upstream, plan) and not self._cold_limit_allows(upstream, plan):
            return NoUpstream.COLD
        limits = self.rate_limits
        if limits.is_limited(replica) and not limits.allows(replica, self._fleet.share(replica)):
            return NoUpstream.LIMITED
        return None

    def _has_place(self, record: UpstreamRecord, candidates: Candidates, mean: float) -> bool:
        """Return whether an upstream runs one more request of this router, if that is limited."""
        limits, replica = self.concurrency_limits, record.replica
        if not limits.is_limited(record.service):
            return True
        own, load = self.in_flight[replica], candidates.load(replica)
        loads = KnownLoads(own, load, mean, len(candidates))
        return limits.has_place(record, loads, self._fleet.share(replica))

    def _candidates(
        self,
        service: ServiceId,
        tried: Collection[ReplicaId],
        regions: frozenset[str] | None,
        version: WantedVersion | None,
    ) -> Candidates | NoUpstream:
        """Return the upstreams that may take the request, or the reason why there is none."""
        usable = self._permitted(service, regions, version)
        if isinstance(usable, NoUpstream):
            return usable
        held_off = self.hold_offs.active(usable)
        if not self._without(usable, held_off):
            return NoUpstream.HELD_OFF
        excluded = held_off.union(tried)
        if not self._without(usable, excluded):
            return NoUpstream.TRIED
        blocked = self._health.blocked() | excluded
        avoided = self._health.unanswered.avoided()
        healthy = self._without(usable, blocked | avoided) or self._without(usable, blocked)
        if healthy:
            return healthy
        # If all upstreams are ejected, one that was reachable last time is better than none.
        unreachable = {name for name in usable if not self._health.reachable(name)}
        return self._without(usable, unreachable | excluded) or NoUpstream.EJECTED

    def _permitted(
        self, service: ServiceId, regions: frozenset[str] | None, version: WantedVersion | None
    ) -> Mapping[ReplicaId, Upstream] | NoUpstream:
        """Return the upstreams of a service that the rules permit, or why there is none."""
        if not self._cluster_state.members_of(service):
            return NoUpstream.NONE_KNOWN
        usable = self._cluster_state.usable_members(service)
        if not usable:
            return NoUpstream.ZONES_EVACUATED
        if regions is not None:
            usable = {
                name: item
                for name, item in usable.items()
                if self._regions.get(item.record.zone) in regions
            }
            if not usable:
                return NoUpstream.OUTSIDE_ALLOWED_REGIONS
        if version is not None:
            return self.software.select(service, usable, version)
        return usable

    def _without(
        self, members: Mapping[ReplicaId, Upstream], excluded: Collection[ReplicaId]
    ) -> Candidates:
        """Return the members that are not excluded as candidates."""
        peer_loads, observed_loads = self._fleet.peer_loads(), self.observed_loads.loads()
        own, slowdown = self.in_flight, self.speeds.slowdown
        return Candidates(members, excluded, own, peer_loads, observed_loads, slowdown)

    def _all_usable(self, service: ServiceId) -> Candidates:
        """Return the upstreams of a service that may take requests of any kind."""
        usable = self._cluster_state.usable_members(service)
        return self._without(usable, self._health.blocked() | self.hold_offs.active(usable))

    def wait_ms(self, service: ServiceId) -> int:
        """Return the time until some upstream of a service no longer asks to wait."""
        return self.hold_offs.shortest_ms(self._cluster_state.usable_members(service))

    def load(self, replica: ReplicaId) -> int:
        """Return the known number of requests in flight at an upstream from all routers."""
        return self.in_flight[replica] + self._fleet.peer_loads().get(replica, 0)

    def _mean_load(self, service: ServiceId) -> float:
        """Return the mean load of all replicas of a service.

        Those that get nothing count too: the bound on load is a multiple of this mean.
        """
        replicas = self._cluster_state.services.replicas(service)
        own = sum(count for name, count in self.in_flight.items() if name in replicas)
        return self._fleet.total_load(replicas, own) / len(replicas)

    def _busy_load(self, mean: float) -> float:
        """Return the load from which a replica takes no more chats by affinity."""
        return AFFINITY_LOAD_RATIO * self._bounds.load_factor * mean + AFFINITY_EXTRA_REQUESTS

    def _order_by_affinity(
        self,
        call: Call,
        service: ServiceId,
        candidates: Candidates,
        busy_load: float,
    ) -> Iterator[ReplicaId]:
        """Yield the replicas from the best to the worst for a chat, overloaded ones last.

        The holders of its prefix come first, then the rest in the chat's rendezvous order.
        """
        key = affinity_key(call)
        holders = self._find_holders(call, candidates)
        ranked = self._rendezvous.order(key, service, self._cluster_state.members_of(service))
        scarce = self._limited_with_tokens(candidates)
        zones = self.zone_spill.chat_zones(service, request_cost(key, call))
        return order_by_affinity(
            key, ranked, candidates, holders, busy_load, self._zone, scarce, zones
        )

    def _limited_with_tokens(self, candidates: Candidates) -> list[ReplicaId]:
        """Return the candidates that name a limit under which this router may send now."""
        limits, fleet = self.rate_limits, self._fleet
        return [
            replica
            for replica in limits.limited()
            if replica in candidates and limits.allows(replica, fleet.share(replica))
        ]

    def _idle_limited(self, candidates: Candidates, mean: float) -> Iterator[ReplicaId]:
        """Yield the candidates under a limit whose full share would otherwise go unused.

        In a large fleet few routers may send to such a replica, and hardly any chat of theirs
        would prefer it.
        """
        limits = self.rate_limits
        for replica in self._limited_with_tokens(candidates):
            if limits.is_full(replica, self._fleet.share(replica)):
                if candidates.weighted_load(replica) < IDLE_LOAD_RATIO * mean:
                    yield replica

    def _find_holders(self, call: Call, candidates: Candidates) -> frozenset[ReplicaId]:
        """Return the candidates that hold most of a prompt's shared parts, if that is enough."""
        parts = shared_parts(call.parts)
        least_tokens = HOLDER_RATIO * sum(part.tokens for part in parts)
        for level in self.prefixes.holders(parts, self._cluster_state.upstreams):
            if level.tokens < least_tokens:
                break
            holders = frozenset(name for name in level.names if name in candidates)
            if holders:
                return holders
        return frozenset()

    def held_tokens(self, call: Call, upstream: Upstream) -> int:
        """Return how many tokens of a prompt's shared parts an upstream holds."""
        return self.prefixes.held_tokens(shared_parts(call.parts), upstream)

    def _find_copy_source(self, call: Call, chosen: Upstream) -> Upstream | None:
        """Return the replica that holds most of a prompt, if copying from it pays off.

        Of several, one in the zone of the chosen replica is preferred: copies between zones take
        longer.
        """
        parts, record = shared_parts(call.parts), chosen.record
        most_useful = sum(part.tokens for part in parts)
        least_tokens = self.held_tokens(call, chosen) + MIN_COPY_TOKENS
        if most_useful <= least_tokens:
            return None
        upstreams = self._cluster_state.upstreams
        for level in self.prefixes.holders(parts, upstreams):
            if level.tokens <= least_tokens:
                break
            sources = [
                upstreams[name]
                for name in level.names
                if _shares_memory(upstreams[name].record, record) and self._health.allows(name)
            ]
            if sources:
                return max(sources, key=lambda item: item.record.zone == record.zone)
        return None

    def _order_by_load(
        self, call: Call, service: ServiceId, candidates: Candidates
    ) -> list[ReplicaId]:
        """Return the upstreams from the least to the most loaded, preferring the own zone."""
        now, cost = self._clock.now(), request_cost(call.request, call)
        penalties = self.zone_spill.penalties(service, candidates, cost)

        def sort_key(name: ReplicaId) -> tuple[float, int]:
            load = candidates.weighted_load(name) + penalties[candidates[name].record.zone]
            return load, rendezvous_weight(now, name)

        return sorted(candidates, key=sort_key)

    def is_cold(self, upstream: Upstream, plan: ServicePlan | None) -> bool:
        """Return whether an upstream is still limited to a few requests a second.

        An upstream that may have restarted counts as cold, and so do all of them after a
        standstill, until their entries are known anew.
        """
        if plan is None or plan.cold_per_s <= 0:
            return False
        if self._health.maybe_restarted(upstream.record.replica) or self._entries_are_old():
            return True
        return upstream.cold_until > self._clock.now()

    def _entries_are_old(self) -> bool:
        """Return whether the list of upstreams is from before a standstill of this router."""
        if not self._standstill.has_just_ended():
            return False
        return self._cluster_state.age_ms(RowTable.UPSTREAMS) >= OLD_ENTRIES_MS

    def _cold_limit_allows(self, upstream: Upstream, plan: ServicePlan) -> bool:
        """Return whether this router may send one more request to a cold replica."""
        replica = upstream.record.replica
        if upstream.listed_at_start and self.cold_limit.may_have_sent_before():
            return False
        return self.cold_limit.allows(replica, plan.cold_per_s, self._fleet.share(replica))

    def start_request(self, choice: Choice, call: Call) -> None:
        """Count a request as in flight, right before it is sent."""
        record = choice.upstream.record
        replica = record.replica
        self.prefixes.record_own(shared_parts(call.parts), replica)
        if self.concurrency_limits.is_limited(record.service):
            own, share = self.in_flight[replica], self._fleet.share(replica)
            self.concurrency_limits.record_request(record, own, share)
        self.in_flight[replica] += 1
        if choice.cold:
            self.cold_limit.record_request(replica)
        self.rate_limits.record_request(replica)
        self._health.start_trial(replica)

    def end_request(self, replica: ReplicaId) -> None:
        """Count a request as ended."""
        self.in_flight[replica] -= 1
        if self.in_flight[replica] <= 0:
            del self.in_flight[replica]


def _shares_memory(source: UpstreamRecord, target: UpstreamRecord) -> bool:
    """Return whether a replica can use what another one has read of a prompt."""
    return source.service == target.service and source.software == target.software
