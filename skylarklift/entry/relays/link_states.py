"""Decide whether this router itself has lost its links to the upstreams of a zone.

An upstream that this router does not reach, and another router does, is alive: the link is at
fault.  Links are kept by zone, as a partition mostly takes all upstreams of one or more zones.
"""

from dataclasses import dataclass, field

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.ids import ReplicaId, ZoneId

# A zone is cut off once others reach so many of its upstreams that this router does not.
UPSTREAMS_TO_CUT = 2
# What was found of one upstream counts for this long.
EVIDENCE_TTL_MS = 2000
# New connections go back to the own link in parts that double with each probe.
FIRST_DIRECT_SHARE = 0.125
# The bytes of open connections were under way for this long when the link was cut.
IN_FLIGHT_MS = 150
# After this time without a byte open connections count as lost, too.
SILENT_MS = 600
# What was noticed on a link just before it came back is not sent to others for this long.
SETTLE_MS = 1000


@dataclass(slots=True)
class ZoneLink:
    """The link to the upstreams of one zone.

    `relayed_at` holds when each upstream was last reached by way of another router only, and
    `cut_at` is when the first of these was, `None` while the link is sound.  `direct_share` is the
    part of new connections that is made directly.  `reached_at` is when the last direct one was
    made, and `answered_at` when an open one last brought bytes.
    """

    relayed_at: dict[ReplicaId, Millis] = field(default_factory=dict)
    cut_at: Millis | None = None
    direct_share: float = 1.0
    reached_at: Millis = Millis(0)
    answered_at: Millis = Millis(0)


class LinkStates:
    """The links of this router to the upstreams of each zone."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._zones: dict[ZoneId, ZoneLink] = {}
        self._restored_at: Millis | None = None
        # Whether anything is wrong, so that the usual case costs one look.
        self.any_doubt = False

    def record_reached(self, record: UpstreamRecord) -> None:
        """Record that a new direct connection to an upstream was made."""
        link = self._zones.get(record.zone)
        if link is None:
            return
        link.relayed_at.pop(record.replica, None)
        link.reached_at = self._clock.now()
        if link.cut_at is None and not link.relayed_at:
            del self._zones[record.zone]
            self._update_doubt()

    def record_relayed(self, record: UpstreamRecord) -> bool:
        """Record that only another router reaches an upstream; return whether that cuts a zone."""
        now = self._clock.now()
        link = self._zones.setdefault(record.zone, ZoneLink())
        link.relayed_at[record.replica] = now
        self.any_doubt = True
        if link.cut_at is not None:
            link.direct_share = 0.0
            return False
        # What was reached directly since shows that the link to the whole zone is not cut.
        since = max(link.reached_at + 1, now - EVIDENCE_TTL_MS + 1)
        fresh = [at for at in link.relayed_at.values() if at >= since]
        if len(fresh) < UPSTREAMS_TO_CUT:
            return False
        link.cut_at, link.direct_share = min(fresh), 0.0
        return True

    def record_answer(self, record: UpstreamRecord) -> None:
        """Record that an open direct connection brought bytes."""
        link = self._zones.get(record.zone)
        if link is not None:
            link.answered_at = self._clock.now()

    def record_probe(self, zone: ZoneId, *, reached: bool) -> bool:
        """Record a probe of a link that is cut; return whether the link is whole again."""
        link = self._zones.get(zone)
        if link is None or link.cut_at is None:
            return False
        if not reached:
            link.direct_share = 0.0
            return False
        link.direct_share = max(FIRST_DIRECT_SHARE, link.direct_share * 2)
        if link.direct_share < 1:
            return False
        del self._zones[zone]
        self._restored_at = self._clock.now()
        self._update_doubt()
        return True

    def direct_share(self, record: UpstreamRecord) -> float:
        """Return the part of new connections to an upstream that is to be made directly."""
        link = self._zones.get(record.zone)
        if link is None:
            return 1.0
        if link.cut_at is not None:
            return link.direct_share
        relayed_at = link.relayed_at.get(record.replica)
        if relayed_at is None or self._clock.now() - relayed_at >= EVIDENCE_TTL_MS:
            return 1.0
        return 0.0

    def is_cut(self, record: UpstreamRecord) -> bool:
        """Return whether the link to an upstream, and not the upstream, has failed lately."""
        return self.direct_share(record) < 1

    def open_connections_are_lost(self, record: UpstreamRecord) -> bool:
        """Return whether the open direct connections to an upstream bring nothing any more."""
        link = self._zones.get(record.zone)
        if link is None or not self.is_cut(record):
            return False
        cut_at = link.relayed_at.get(record.replica) if link.cut_at is None else link.cut_at
        now = self._clock.now()
        if cut_at is None or now - cut_at < IN_FLIGHT_MS:
            return False
        return link.answered_at < cut_at + IN_FLIGHT_MS or now - link.answered_at >= SILENT_MS

    def cut_zones(self) -> tuple[ZoneId, ...]:
        """Return the zones to whose upstreams the link is cut."""
        return tuple(zone for zone, link in self._zones.items() if link.cut_at is not None)

    def is_in_doubt(self) -> bool:
        """Return whether what connections showed lately may be due to a link of this router."""
        if self.any_doubt:
            self._expire()
        restored_at = self._restored_at
        settling = restored_at is not None and self._clock.now() - restored_at < SETTLE_MS
        return self.any_doubt or settling

    def _expire(self) -> None:
        """Drop what was found of single upstreams long ago."""
        now = self._clock.now()
        for zone, link in list(self._zones.items()):
            if link.cut_at is None:
                if all(now - at >= EVIDENCE_TTL_MS for at in link.relayed_at.values()):
                    del self._zones[zone]
        self._update_doubt()

    def _update_doubt(self) -> None:
        """Note whether anything is wrong with a link."""
        self.any_doubt = bool(self._zones)
