"""Choose the routers that are asked to relay connections to an upstream."""

import random

from skylarklift.clock import Clock, Millis
from skylarklift.entry.gossip.fleet import Fleet, Peer
from skylarklift.entry.model import UpstreamRecord
from skylarklift.ids import ZoneId

# A router that was of no help is not asked for this long.
PAUSE_MS = 500
# A router that was not heard for longer may have ended.
MAX_SILENCE_MS = 3000
# Routers that are silent for less may only stand still.
MAX_SILENCE_OF_OTHERS_MS = 10_000


class RelayChoice:
    """The routers that may relay, from the best to the worst.

    Those of the own zone come first, of these the ones with few requests in flight.  Bodies stay
    within the region.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        zone: ZoneId,
        regions: dict[str, str],
        rng: random.Random,
    ):
        self._clock = clock
        self._fleet = fleet
        self._zone = zone
        self._regions = regions
        self._rng = rng
        self._paused_until: dict[str, Millis] = {}

    def candidates(self, record: UpstreamRecord) -> list[Peer]:
        """Return the routers that may reach an upstream, in the order in which to ask them."""
        now = self._clock.now()
        peers = [
            peer
            for peer in self._fleet.peers_heard_within(MAX_SILENCE_MS)
            if self._may_relay(peer, record) and self._paused_until.get(peer.node, 0) <= now
        ]
        return self._mix_zones(sorted(peers, key=self._rank))

    @staticmethod
    def _mix_zones(peers: list[Peer]) -> list[Peer]:
        """Return the routers so that the best one of each zone comes before all others.

        A whole zone may be cut off.
        """
        seen: set[str] = set()
        first, rest = [], []
        for peer in peers:
            zone = peer.last_message.zone
            later = zone in seen or peer.last_message.leaving
            (rest if later else first).append(peer)
            seen.add(zone)
        return first + rest

    def knows_others(self) -> bool:
        """Return whether there are other routers, also if none of them can be asked now."""
        return bool(self._fleet.peers_heard_within(MAX_SILENCE_OF_OTHERS_MS))

    def find(self, node: str) -> Peer | None:
        """Return a router by its name, `None` if it is not known."""
        return self._fleet.peers.get(node)

    def is_leaving(self, node: str) -> bool:
        """Return whether a router has said that it ends soon, or is not known any more."""
        peer = self._fleet.peers.get(node)
        return peer is None or peer.last_message is None or peer.last_message.leaving

    def record_no_help(self, node: str) -> None:
        """Leave a router out for a while."""
        self._paused_until[node] = Millis(self._clock.now() + PAUSE_MS)

    def _may_relay(self, peer: Peer, record: UpstreamRecord) -> bool:
        """Return whether a router is in this region and has its link to an upstream."""
        message = peer.last_message
        if record.zone in message.cut_zones:
            return False
        return self._regions.get(message.zone) == self._regions.get(self._zone)

    def _rank(self, peer: Peer) -> tuple[bool, bool, float]:
        """Return the sort key of a router, the best one lowest; those that end soon come last."""
        message = peer.last_message
        load = sum(message.loads.values())
        return (
            message.leaving,
            message.zone != self._zone,
            (1 + load) * self._rng.uniform(0.5, 1.0),
        )
