"""The other routers, as far as this one heard of them."""

from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import Endpoint
from skylarklift.entry.prefixes import Placement
from skylarklift.entry.rowset import TableSummary
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ReplicaId

GOSSIP_INTERVAL_MS = 250
# After a change of belief the others are told at once, but not more often than this.
GOSSIP_MIN_INTERVAL_MS = 50
# Up to this many routers tell each other all; in a larger fleet each tick reaches so many.
GOSSIP_FANOUT = 8
# What a router told of its load counts for this long, and for so many rounds of a large fleet.
LOAD_TTL_MS = 1500
LOAD_TTL_ROUNDS = 1.2
# A router that is not heard for this long is no longer asked or counted on to read the store.
PEER_SILENCE_LIMIT_MS = 700
# A router that is not heard still takes its share of the fleet's limits for this long.
LIMIT_MEMBER_EXPIRY_MS = 30000
# A router that has just started has heard of all others after two of their tells.
DISCOVERY_MS = 500
READER_KEY = "reader"


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What a router tells the others, several times a second.

    `tables` holds its news of each table, in the order of `RowTable`.  `reader` tells that
    this router reads the store itself.  `loads` holds the requests it has at each upstream,
    `ejected` the upstreams that it leaves alone and for how long, `lost` those of them that
    may start anew, `crashes` the fingerprints of requests whose upstream crashed, with the
    upstream, `placements` where prompts were sent of late.
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
    crashes: tuple[tuple[int, str], ...] = ()
    placements: tuple[Placement, ...] = ()


@dataclass(slots=True)
class Peer:
    """Another router; `told` is when it was last told something."""

    node: str
    address: Endpoint
    added_at: Millis
    received_at: Millis | None = None
    sent_at: Millis = Millis(0)
    last_message: GossipMessage | None = None


class Fleet:
    """The routers known and what each told last."""

    def __init__(self, clock: Clock, own: str):
        self._clock = clock
        self._started = clock.now()
        self.own = own
        self.peers: dict[str, Peer] = {}

    def add(self, node: str, address: Endpoint) -> None:
        """Note that a router exists."""
        if node == self.own:
            return
        known = self.peers.get(node)
        if known is None:
            self.peers[node] = Peer(node, address, self._clock.now())
        else:
            known.address = address

    def record_message(self, message: GossipMessage, address: Endpoint) -> Peer:
        """Take in what a router told."""
        self.add(message.node, address)
        peer = self.peers[message.node]
        if peer.last_message is None or peer.last_message.boot != message.boot:
            # It has just started and knows nothing of what it was told before.
            peer.sent_at = Millis(0)
        peer.received_at = self._clock.now()
        peer.last_message = message
        return peer

    def remove(self, node: str) -> None:
        """Forget a router that said it leaves."""
        self.peers.pop(node, None)

    def _limit_members(self) -> list[str]:
        """Return the other routers that take part in the fleet's limits."""
        limit = self._clock.now() - LIMIT_MEMBER_EXPIRY_MS
        return [
            node for node, peer in self.peers.items() if (peer.received_at or peer.added_at) > limit
        ]

    def router_count(self) -> int:
        """Return how many routers share the fleet's limits, this one included."""
        return 1 + len(self._limit_members())

    def discovery_done(self) -> bool:
        """Tell whether this router has run long enough to know the others."""
        return self._clock.now() - self._started >= DISCOVERY_MS

    def rank(self, replica: ReplicaId) -> int:
        """Return this router's place, from 0, in a replica's order of all that share limits."""
        own = rendezvous_weight(replica, self.own)
        return sum(rendezvous_weight(replica, node) > own for node in self._limit_members())

    def live_peers(self) -> list[Peer]:
        """Return the routers heard of late."""
        limit = self._clock.now() - PEER_SILENCE_LIMIT_MS
        return [
            peer
            for peer in self.peers.values()
            if peer.received_at is not None and peer.received_at > limit
        ]

    def peer_reads_store(self, age_limits: tuple[int, ...]) -> bool:
        """Tell whether another router reads the store well and does so in this one's stead.

        Of two that read it, the one that comes later in an order that all know stops.
        """
        own = rendezvous_weight(READER_KEY, self.own)
        for peer in self.live_peers():
            message = peer.last_message
            fresh = all(
                summary.age_ms <= limit
                for summary, limit in zip(message.tables, age_limits, strict=False)
            )
            if message.reads_store and fresh and rendezvous_weight(READER_KEY, peer.node) > own:
                return True
        return False

    def _load_ttl_ms(self) -> int:
        """Return for how long a told load counts: until it is told again."""
        round_ms = len(self.peers) / GOSSIP_FANOUT * (GOSSIP_INTERVAL_MS + GOSSIP_MIN_INTERVAL_MS)
        return max(LOAD_TTL_MS, int(LOAD_TTL_ROUNDS * round_ms))

    def peer_load(self, replica: ReplicaId) -> int:
        """Return how many requests the other routers have at an upstream."""
        limit = self._clock.now() - self._load_ttl_ms()
        total = 0
        for peer in self.peers.values():
            if (
                peer.last_message is not None
                and peer.received_at is not None
                and peer.received_at > limit
            ):
                total += peer.last_message.loads.get(replica, 0)
        return total
