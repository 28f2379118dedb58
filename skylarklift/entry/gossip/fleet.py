"""The other routers known to this one, with the last gossip message of each."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.entry.gossip.silences import (
    MAX_ONGOING_MS,
    SILENCE_TTL_MS,
    EndedSilences,
    Silence,
    SilenceReport,
)
from skylarklift.entry.model import Endpoint
from skylarklift.entry.placement.concurrency_limits import Backpressure
from skylarklift.entry.placement.early_ends import EarlyEnd
from skylarklift.entry.placement.fleet_limits import FleetShare
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.placement.peer_loads import PeerLoads
from skylarklift.entry.placement.prefixes import Placement
from skylarklift.entry.placement.rate_limits import LimitReport
from skylarklift.entry.placement.replica_speeds import SlowReplica
from skylarklift.entry.rollouts.news import RolloutNews
from skylarklift.entry.state.rows import Era, TableSummary
from skylarklift.entry.versions.nominal_starts import RouteWait
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ReplicaId

GOSSIP_INTERVAL_MS = 250
# A change of the cluster state is sent at once, but messages are at least this far apart.
MIN_GOSSIP_INTERVAL_MS = 50
# A round sends to this many peers, which take turns if there are more.  A router that reads the
# store sends to all of them in each round.
GOSSIP_FANOUT = 8
# A reported load counts for this long, or in a large fleet for this many times the period in which
# each peer gets its turn.
LOAD_TTL_MS = 1500
LOAD_TTL_ROTATIONS = 1.2
# The mean load is taken from the reports of the last `LOAD_TTL_MS`, or from this many.
MIN_NEWEST_REPORTS = 16
# A router that has sent no message for this long counts neither as live nor as reading the store.
MAX_PEER_SILENCE_MS = 700
# A router that has sent no message for this long is no longer counted among those that divide the
# fleet's limits.  Until then it may be partitioned from this one and still send requests.
LIMIT_MEMBER_TTL_MS = 30000
# After this silence a router may be cut off.  If most routers are silent, this one may be cut off
# itself; it must notice that before it counts them no more.
SUSPECT_SILENCE_MS = 20000
# After this time a router that has just started has received two messages from every other one.
DISCOVERY_MS = 500
# A router uses its share of the fleet's limits once it knows this ratio of the routers that the
# others count.
KNOWN_ROUTERS_RATIO = 0.8
# The routers that divide the fleet's limits are determined again after this long.
MEMBERS_TTL_MS = 250
# A router reads the store if it did so successfully within this time.
STORE_READ_TTL_MS = 2500
# The routers that were not heard yet are counted again after this long.
AWAITED_TTL_MS = 250
MAX_REMEMBERED_RANKS = 2000
# A router that has sent no message for this long is forgotten.
FORGET_PEER_MS = 120_000
# A router that has heard no other one for this long, and does not read the store, may be cut off.
MAX_SILENCE_OF_ALL_MS = 1500
# A router of an earlier release counts for this long after it was heard last.
NOMINAL_STARTS_TTL_MS = 30_000
READER_KEY = "reader"
SEED_PREFIX = "seed-"


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What a router sends to the others several times a second.

    `boot` is a random id for each start.  `tables` holds a summary of each table, in the order
    of `RowTable`.  `reads_store` is true if the sender reads the store itself.  `loads` holds
    its requests in flight by upstream, `ejected` the milliseconds left of each ejection,
    `maybe_restarted` the ejected upstreams that may have restarted, and `placements` the replicas
    that recent prompts were sent to.  `router_count` is how many routers the sender counts, and
    `limits` what it knows of the limits that upstreams name.  `observed_loads` holds the loads that
    busy upstreams have answered, `releases` the proportions of software versions, which were the
    newest ones `releases_age_ms` ago, `None` if that is not known.  `suspected_restarts` are the
    upstreams that have ended connections to the sender lately.  `store_restored` is true while the
    sender has seen lately that the store was restored from a copy.  `zone` is that of the sender,
    `cut_zones` are the zones to whose upstreams it has lost its links, and `hold_offs` the
    milliseconds for which upstreams want no request from a router that relays to them.
    `backpressure` is what it knows of upstreams that can reject few requests, and `silences` are
    the times that have ended in which it did not hear a router.  `knows_nominal_starts` is false
    for a sender of a release whose streams get their versions by their begins only.  `route_waits`
    is how long callers wait at it on routes without such a span.  `slow_replicas` are those whose
    work takes longer than usual; `knows_slow_replicas` is false for a release that has no such
    field.  `rollouts` is what it knows of roll-outs, and `early_ends` tells the software that
    lately ended an answer early.
    """

    node: str
    boot: str
    address: str
    tables: tuple[TableSummary, ...]
    reads_store: bool = False
    leaving: bool = False
    loads: dict[str, int] = field(default_factory=dict)
    ejected: dict[str, int] = field(default_factory=dict)
    maybe_restarted: tuple[str, ...] = ()
    placements: tuple[Placement, ...] = ()
    router_count: int = 0
    limits: tuple[LimitReport, ...] = ()
    observed_loads: tuple[ObservedLoad, ...] = ()
    releases: tuple[ReleaseReport, ...] = ()
    releases_age_ms: int | None = None
    suspected_restarts: tuple[str, ...] = ()
    store_restored: bool = False
    zone: str = ""
    cut_zones: tuple[str, ...] = ()
    hold_offs: dict[str, int] = field(default_factory=dict)
    backpressure: Backpressure = Backpressure()
    silences: tuple[SilenceReport, ...] = ()
    knows_nominal_starts: bool = True
    route_waits: tuple[RouteWait, ...] = ()
    slow_replicas: tuple[SlowReplica, ...] = ()
    knows_slow_replicas: bool = True
    rollouts: RolloutNews = RolloutNews()
    early_ends: tuple[EarlyEnd, ...] = ()

    @property
    def knows_doubted_ends(self) -> bool:
        """Return whether the sender is of a release whose routers read doubted ends of streams.

        Those that name their zone do.
        """
        return bool(self.zone)


@dataclass(slots=True)
class Peer:
    """Another router; `sent_at` is when it was last sent a message, `holds_sent_at` all holds."""

    node: str
    address: Endpoint
    added_at: Millis
    received_at: Millis | None = None
    sent_at: Millis = Millis(0)
    holds_sent_at: Millis = Millis(0)
    last_message: GossipMessage | None = None

    def knows_slow_replicas(self) -> bool:
        """Return whether the router reads reports of slow replicas; one not heard may not."""
        return self.last_message is not None and self.last_message.knows_slow_replicas

    def may_be_cut_off(self, now: Millis) -> bool:
        """Return whether the router has fallen silent without having announced that it leaves."""
        if self.received_at is None or self.last_message.leaving:
            return False
        return now - self.received_at > SUSPECT_SILENCE_MS


class Turns:
    """The routers that come next, in turn."""

    def __init__(self):
        self._next = 0

    def next(self, peers: list[Peer]) -> list[Peer]:
        """Return the next `GOSSIP_FANOUT` routers, all of a small fleet."""
        if len(peers) <= GOSSIP_FANOUT:
            return peers
        start = self._next % len(peers)
        self._next += GOSSIP_FANOUT
        return (peers + peers)[start : start + GOSSIP_FANOUT]


class Fleet:
    """The known routers and the last message of each."""

    def __init__(self, clock: Clock, own: str):
        self._clock = clock
        self._started = clock.now()
        self.own_node = own
        self.peers: dict[str, Peer] = {}
        self._loads = PeerLoads()
        self.silences = EndedSilences(clock)
        # When this router last read the store itself.
        self.store_read_at: Millis | None = None
        self._members: frozenset[str] = frozenset()
        self._members_until = Millis(0)
        self._counted_by_others = 0
        self._last_heard_at = clock.now()
        # Whether more routers have fallen silent than are heard.
        self._in_minority = False
        self._ranks: dict[str, int] = {}
        self._awaited = 0
        self._awaited_until = Millis(0)

    def add_seed(self, address: Endpoint) -> None:
        """Add a router of which only the address is known."""
        self.add(f"{SEED_PREFIX}{address}", address)

    def add(self, node: str, address: Endpoint) -> None:
        """Add a router, or update its address; it takes the place of a seed at its address."""
        if node == self.own_node:
            return
        self.peers.pop(f"{SEED_PREFIX}{address}", None)
        known = self.peers.get(node)
        if known is None:
            self.peers[node] = Peer(node, address, self._clock.now())
            self._members_until = Millis(0)
        else:
            known.address = address

    def record_message(self, message: GossipMessage, address: Endpoint, waited_ms: int = 0) -> Peer:
        """Record a router's message, which arrived `waited_ms` ago, and return the router."""
        self.add(message.node, address)
        peer = self.peers[message.node]
        if peer.last_message is None or peer.last_message.boot != message.boot:
            # After a restart the router knows nothing of earlier messages.
            peer.sent_at = peer.holds_sent_at = Millis(0)
        arrived_at = Millis(self._clock.now() - waited_ms)
        self._note_ended_silence(peer, arrived_at)
        # The wait is a difference of times of day, which may have been set in between.
        peer.received_at = max(arrived_at, peer.received_at or arrived_at)
        self._last_heard_at = max(arrived_at, self._last_heard_at)
        peer.last_message = message
        self._loads.record(message.node, message.loads, peer.received_at)
        return peer

    def _note_ended_silence(self, peer: Peer, ended_at: Millis) -> None:
        """Record that a router was silent until now, if it was and had not said that it leaves.

        If it has started anew, its last process may have run for as long.
        """
        if peer.received_at is None or peer.last_message.leaving:
            return
        if ended_at - peer.received_at > self._load_ttl_ms():
            self.silences.record(Silence(peer.received_at, ended_at))

    def remove(self, node: str) -> None:
        """Remove a router."""
        self.peers.pop(node, None)
        self._loads.remove(node)
        self._members_until = Millis(0)

    def _limit_members(self) -> frozenset[str]:
        """Return the other routers among which the fleet's limits are divided."""
        now = self._clock.now()
        if now >= self._members_until:
            members = self._find_members(now)
            self._members_until = Millis(now + MEMBERS_TTL_MS)
            self._counted_by_others = max(
                (peer.last_message.router_count for peer in self.live_peers()), default=0
            )
            if members != self._members:
                self._members = members
                self._ranks.clear()
        return self._members

    def _find_members(self, now: Millis) -> frozenset[str]:
        """Return the routers that were heard recently, and those that may only be cut off.

        Of two parts of a fleet that do not hear each other, the smaller one goes on counting all,
        so that the limits are not used twice.
        """
        self._forget_silent(now)
        silent = sum(peer.may_be_cut_off(now) for peer in self.peers.values())
        self._in_minority = silent > len(self.peers) - silent
        limit = now - LIMIT_MEMBER_TTL_MS
        return frozenset(
            node
            for node, peer in self.peers.items()
            if (peer.received_at or peer.added_at) > limit
            or (self._in_minority and peer.may_be_cut_off(now))
        )

    def _forget_silent(self, now: Millis) -> None:
        """Drop the routers that have sent nothing for so long that they will not come back."""
        for node, peer in list(self.peers.items()):
            if peer.received_at is not None and peer.received_at <= now - FORGET_PEER_MS:
                # It may go on apart, but not for longer than this.
                self._note_ended_silence(peer, Millis(peer.received_at + SILENCE_TTL_MS))
                del self.peers[node]
                self._loads.remove(node)

    def _reads_store(self, now: Millis) -> bool:
        """Return whether this router has read the store itself recently."""
        return self.store_read_at is not None and now - self.store_read_at <= STORE_READ_TTL_MS

    def router_count(self) -> int:
        """Return how many routers divide the fleet's limits, this one included."""
        return 1 + len(self._limit_members())

    def share(self, key: str) -> FleetShare:
        """Return this router's share of a limit; the key names a replica, for instance."""
        own = self.router_count()
        counted = self._counted_by_others
        usable = self._knows_others(own, counted) and not self._may_be_cut_off()
        return FleetShare(max(own, counted), self.rank(key), usable)

    def _knows_others(self, own: int, counted: int) -> bool:
        """Return whether this router counts about as many routers as the others do."""
        return self.discovery_done() and own >= KNOWN_ROUTERS_RATIO * counted

    def hears_all(self) -> bool:
        """Return whether there are others, and each that they or this router count is heard."""
        if self.longest_silence_ms() > 0 or not self.live_peers() or not self.discovery_done():
            return False
        members = self._limit_members()
        if any(self.peers[node].received_at is None for node in members if node in self.peers):
            return False
        return self.router_count() >= self._counted_by_others

    def longest_silence_ms(self) -> int:
        """Return for how long the most silent router was not heard, 0 if messages of all are due.

        Those that said that they leave do not count.
        """
        now, due_ms = self._clock.now(), self._load_ttl_ms()
        silences = (
            now - peer.received_at
            for peer in self.peers.values()
            if peer.received_at is not None and not peer.last_message.leaving
        )
        return max((silence for silence in silences if silence > due_ms), default=0)

    def known_silences(self) -> tuple[SilenceReport, ...]:
        """Return the silences that count, with the longest one that goes on, if there is one."""
        ended, silence_ms = self.silences.reports(), self.longest_silence_ms()
        if not silence_ms:
            return ended
        return (*ended, SilenceReport(silence_ms, -MAX_ONGOING_MS))

    def longest_apart_ms(self, max_age_ms: int) -> int:
        """Return since when a router may use old proportions, if a stream began so long ago.

        A router that is silent, or was then, may have begun it by those of when it was last heard.
        """
        return max(self.longest_silence_ms(), self.silences.longest_ms(max_age_ms))

    def _may_be_cut_off(self) -> bool:
        """Return whether this router hears too few others to know how the limits are divided."""
        now = self._clock.now()
        if not self._members or self._reads_store(now):
            return False
        return self._in_minority or now - self._last_heard_at > MAX_SILENCE_OF_ALL_MS

    def discovery_done(self) -> bool:
        """Return whether this router has run long enough to know all others."""
        return self._clock.now() - self._started >= DISCOVERY_MS

    def rank(self, key: str) -> int:
        """Return this router's rank, from 0, in the order of the routers for a key.

        The key names a replica, for instance.  The order holds all routers that divide the
        fleet's limits.
        """
        members = self._limit_members()
        rank = self._ranks.get(key)
        if rank is None:
            own = rendezvous_weight(key, self.own_node)
            rank = sum(rendezvous_weight(key, node) > own for node in members)
            if len(self._ranks) >= MAX_REMEMBERED_RANKS:
                self._ranks.clear()
            self._ranks[key] = rank
        return rank

    def all_know_nominal_starts(self) -> bool:
        """Return whether no router was heard lately that does not know nominal starts."""
        return all(
            peer.last_message is None or peer.last_message.knows_nominal_starts
            for peer in self.peers_heard_within(NOMINAL_STARTS_TTL_MS)
        )

    def live_peers(self) -> list[Peer]:
        """Return the routers that sent a message recently."""
        return self.peers_heard_within(MAX_PEER_SILENCE_MS)

    def peers_heard_within(self, span_ms: int) -> list[Peer]:
        """Return the routers that sent a message within a time."""
        limit = self._clock.now() - span_ms
        return [
            peer
            for peer in self.peers.values()
            if peer.received_at is not None and peer.received_at > limit
        ]

    def any_peer_reads_store(self) -> bool:
        """Return whether another router said that it reads the store, and may do so still.

        One that is not live counts as long as its next message is not due, as for `hears_all`.
        """
        peers = self.peers_heard_within(self._load_ttl_ms())
        return any(peer.last_message.reads_store for peer in peers)

    def peer_reads_store(self, age_limits: tuple[int, ...], eras: tuple[Era, ...]) -> bool:
        """Return whether another router with fresh tables reads the store for this one.

        The tables are fresh if their ages do not exceed `age_limits`, and they are of no older
        era than this router's, `eras`.  Of two routers that read
        the store, the one with the lower rendezvous weight stops.
        """
        own = rendezvous_weight(READER_KEY, self.own_node)
        for peer in self.live_peers():
            message = peer.last_message
            fresh = all(
                summary.age_ms <= limit and summary.era >= era
                for summary, limit, era in zip(message.tables, age_limits, eras, strict=False)
            )
            if message.reads_store and fresh and rendezvous_weight(READER_KEY, peer.node) > own:
                return True
        return False

    def _load_ttl_ms(self) -> int:
        """Return how long a reported load counts: until the next report is due."""
        rotation_ms = (
            len(self.peers) / GOSSIP_FANOUT * (GOSSIP_INTERVAL_MS + MIN_GOSSIP_INTERVAL_MS)
        )
        return max(LOAD_TTL_MS, int(LOAD_TTL_ROTATIONS * rotation_ms))

    def total_load(self, replicas: Collection[ReplicaId], own: int) -> float:
        """Estimate the requests of all routers in flight at some upstreams; `own` are this one's.

        In a large fleet most reports are older than a stream lasts.  The newest ones stand for all,
        also for routers that were not heard yet.
        """
        self._expire_loads()
        since = Millis(self._clock.now() - LOAD_TTL_MS)
        load, number = self._loads.sum_newest(replicas, since, MIN_NEWEST_REPORTS)
        routers = 1 + self._loads.count() + self._count_awaited()
        return (own + load) * routers / (1 + number)

    def _count_awaited(self) -> int:
        """Return how many routers are known by their addresses only, and may be running."""
        now = self._clock.now()
        if now >= self._awaited_until:
            limit = now - self._load_ttl_ms()
            peers = self.peers.values()
            self._awaited = sum(
                peer.received_at is None and peer.added_at > limit for peer in peers
            )
            self._awaited_until = Millis(now + AWAITED_TTL_MS)
        return self._awaited

    def load_age_ms(self) -> int:
        """Return the age of the oldest reported load that counts, 0 without any."""
        oldest = self._loads.oldest_received_at()
        return 0 if oldest is None else self._clock.now() - oldest

    def peer_loads(self) -> Mapping[ReplicaId, int]:
        """Return how many requests the other routers have in flight at each upstream."""
        self._expire_loads()
        return self._loads.totals

    def hears_loads(self) -> bool:
        """Return whether the loads of any other router are known."""
        self._expire_loads()
        return self._loads.count() > 0

    def _expire_loads(self) -> None:
        """Drop the reported loads that no longer count."""
        self._loads.expire(Millis(self._clock.now() - self._load_ttl_ms()))
