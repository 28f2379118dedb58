"""How long requests take at each service, and how many of this router's end in a second."""

from collections import deque
from dataclasses import dataclass, field

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.ids import ServiceId

# The weight of a new sample in the moving average of the service time.
SAMPLE_WEIGHT = 0.1
# Ends of requests count for this long.
WINDOW_MS = 1000
MAX_ENDS = 1024


@dataclass(slots=True)
class ServiceEnds:
    """The mean time that requests took, and when the last ones ended."""

    took_ms: float
    ends: deque[Millis] = field(default_factory=lambda: deque(maxlen=MAX_ENDS))


class DrainRates:
    """The recent service times and ends of requests by service."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._services: dict[ServiceId, ServiceEnds] = {}

    def record_end(self, service: ServiceId, took_ms: int) -> None:
        """Record a request that was answered."""
        item = self._services.setdefault(service, ServiceEnds(max(1, took_ms)))
        item.took_ms += SAMPLE_WEIGHT * (max(1, took_ms) - item.took_ms)
        item.ends.append(self._clock.now())

    def service_ms(self, service: ServiceId) -> float | None:
        """Return how long requests took, `None` without a sample."""
        item = self._services.get(service)
        return item and item.took_ms

    def per_second(self, service: ServiceId, slots: int, routers: int) -> float | None:
        """Return how many requests of this router start in a second, `None` if unknown.

        A router that sent little before still gets its equal share of the slots.
        """
        item = self._services.get(service)
        if item is None:
            return None
        limit = self._clock.now() - WINDOW_MS
        while item.ends and item.ends[0] <= limit:
            item.ends.popleft()
        own = len(item.ends) * MS_PER_SECOND / WINDOW_MS
        return max(own, slots / item.took_ms * MS_PER_SECOND / max(1, routers))
