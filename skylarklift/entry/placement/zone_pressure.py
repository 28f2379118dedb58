"""The load of a service in each zone, relative to the slots of its usable replicas there."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from skylarklift.entry.placement.candidates import Candidates
from skylarklift.ids import ZoneId


@dataclass(slots=True)
class ZoneLoad:
    """The requests in flight at the usable replicas of a zone, their slots and their number."""

    requests: float = 0.0
    slots: int = 0
    replicas: int = 0

    @property
    def pressure(self) -> float:
        """Return the requests per slot, infinity without any slot."""
        return self.requests / self.slots if self.slots else float("inf")

    @property
    def mean_slots(self) -> float:
        """Return the mean number of slots of a replica."""
        return self.slots / self.replicas if self.replicas else 0.0


@dataclass(frozen=True, slots=True)
class ZonePressure:
    """The load of a service in the own zone and in all other zones together."""

    own: ZoneLoad
    others: ZoneLoad


def measure_zones(candidates: Candidates) -> dict[ZoneId, ZoneLoad]:
    """Return the load of each zone that has candidates."""
    zones: defaultdict[ZoneId, ZoneLoad] = defaultdict(ZoneLoad)
    for name in candidates:
        record = candidates[name].record
        zone = zones[record.zone]
        zone.requests += candidates.weighted_load(name)
        zone.slots += record.slots
        zone.replicas += 1
    return dict(zones)


def compare_zones(zones: Mapping[ZoneId, ZoneLoad], own: ZoneId) -> ZonePressure:
    """Return the load of the own zone beside that of all others."""
    others = ZoneLoad()
    for zone, load in zones.items():
        if zone != own:
            others.requests += load.requests
            others.slots += load.slots
            others.replicas += load.replicas
    return ZonePressure(zones.get(own, ZoneLoad()), others)
