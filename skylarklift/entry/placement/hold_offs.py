"""Upstreams that asked this router to send them nothing for some time."""

from collections.abc import Mapping
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.state.upstream import Upstream
from skylarklift.ids import ReplicaId

# An upstream that asks for more is sent a request after this long.
MAX_HOLD_OFF_MS = 600_000


@dataclass(frozen=True, slots=True)
class HoldOff:
    """Until when an upstream that started at `started_ms` wants no request.

    `relayed` is whether it said so to the relay of this router, so that others are to know.
    """

    started_ms: int
    until: Millis
    relayed: bool = False


class HoldOffs:
    """Until when each upstream wants no request from this router."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._hold_offs: dict[ReplicaId, HoldOff] = {}

    def record(self, record: UpstreamRecord, span_ms: int, *, relayed: bool = False) -> bool:
        """Record that an upstream wants nothing for a time; return whether it had not said so."""
        self._expire()
        now = self._clock.now()
        until = Millis(now + min(span_ms, MAX_HOLD_OFF_MS))
        known = self._hold_offs.get(record.replica)
        if known is not None and known.started_ms == record.started_ms:
            until = max(known.until, until)
        else:
            known = None
        relayed = relayed or (known is not None and known.relayed)
        self._hold_offs[record.replica] = HoldOff(record.started_ms, until, relayed)
        return known is None

    def active(self, members: Mapping[ReplicaId, Upstream]) -> set[ReplicaId]:
        """Return the members that want no request now.

        A member that has started again asked for nothing yet.
        """
        self._expire()
        return {
            replica
            for replica, item in self._hold_offs.items()
            if replica in members and members[replica].record.started_ms == item.started_ms
        }

    def shortest_ms(self, members: Mapping[ReplicaId, Upstream]) -> int:
        """Return the time until the first of some members wants requests."""
        held_off = self.active(members)
        if len(held_off) < len(members):
            return 0
        return min((self.left_ms()[replica] for replica in held_off), default=0)

    def left_ms(self) -> dict[ReplicaId, int]:
        """Return the time for which each upstream wants no request."""
        self._expire()
        now = self._clock.now()
        return {replica: item.until - now for replica, item in self._hold_offs.items()}

    def relayed_ms(self, members: Mapping[ReplicaId, Upstream]) -> dict[ReplicaId, int]:
        """Return the time left of what the members said to relays of this router."""
        if not self._hold_offs:
            return {}
        active, left_ms = self.active(members), self.left_ms()
        return {replica: left_ms[replica] for replica in active if self._hold_offs[replica].relayed}

    def _expire(self) -> None:
        """Drop what is over."""
        now = self._clock.now()
        for replica, item in list(self._hold_offs.items()):
            if item.until <= now:
                del self._hold_offs[replica]
