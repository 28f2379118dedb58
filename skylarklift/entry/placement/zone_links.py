"""Estimate the round-trip time from this router to the upstreams of each zone.

The time in which a connection is made is one round trip and what the two machines add.  The
estimate is therefore a low one of the recent times, but not the lowest: a single wrong time, for
example under an outdated entry whose address a nearer upstream uses now, must not set it.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ZoneId

# From this round trip on, the link to a zone is weighed.  A shorter one is not seen beside the time
# of a single step of an engine, so all zones are equally near.
MIN_WEIGHED_RTT_MS = 5.0
SAMPLE_TTL_MS = 60_000
MAX_SAMPLES = 32
MIN_SAMPLES = 3
# The estimate is the sample at this index in ascending order.
ESTIMATE_RANK = 1
MAX_ZONES = 64


@dataclass(frozen=True, slots=True)
class RttSample:
    """How long it took to make a connection, and when."""

    measured_at: Millis
    rtt_ms: float


class ZoneLinks:
    """The recent connection times to each zone."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._samples: OrderedDict[ZoneId, deque[RttSample]] = OrderedDict()
        self._estimates: dict[ZoneId, float] = {}

    def record(self, zone: ZoneId, rtt_ms: float) -> None:
        """Record how long it took to make a direct connection to an upstream of a zone."""
        if rtt_ms < 0:
            return
        samples = self._samples.setdefault(zone, deque(maxlen=MAX_SAMPLES))
        self._samples.move_to_end(zone)
        samples.append(RttSample(self._clock.now(), rtt_ms))
        self._estimate(zone)
        while len(self._samples) > MAX_ZONES:
            oldest, _ = self._samples.popitem(last=False)
            self._estimates.pop(oldest, None)

    def rtt_ms(self, zone: ZoneId) -> float | None:
        """Return the estimated round-trip time to a zone, `None` if it is not known."""
        samples = self._samples.get(zone)
        if samples and samples[0].measured_at < self._clock.now() - SAMPLE_TTL_MS:
            self._estimate(zone)
        return self._estimates.get(zone)

    def is_long(self, zone: ZoneId) -> bool:
        """Return whether the link to a zone is known to be long enough to be weighed."""
        rtt_ms = self.rtt_ms(zone)
        return rtt_ms is not None and rtt_ms >= MIN_WEIGHED_RTT_MS

    def known(self) -> dict[ZoneId, float]:
        """Return the estimated round-trip times of all zones for which they are known."""
        rtts = {zone: self.rtt_ms(zone) for zone in list(self._samples)}
        return {zone: rtt_ms for zone, rtt_ms in rtts.items() if rtt_ms is not None}

    def _estimate(self, zone: ZoneId) -> None:
        """Drop the expired samples of a zone and determine its estimate."""
        samples, oldest = self._samples[zone], self._clock.now() - SAMPLE_TTL_MS
        while samples and samples[0].measured_at < oldest:
            samples.popleft()
        if len(samples) < MIN_SAMPLES:
            self._estimates.pop(zone, None)
            return
        self._estimates[zone] = sorted(item.rtt_ms for item in samples)[ESTIMATE_RANK]
