"""How long callers wait for their streams, so that the age of one that is resumed is bounded.

A caller that resumes a stream names how long it will still wait.  Together with the longest time
that any caller of the service waits, this tells how long ago the stream began at most.  Routers
report the longest time to each other, and keep it in the row on software versions for those that
start anew.
"""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ServiceId

# Callers are taken to wait no longer than this unless they say so.
MAX_DEADLINE_MS = 600_000
# Longer spans mean the same as this one: a day.
MAX_SPAN_MS = 86_400_000
MAX_SERVICES = 5000
# A deadline that no caller has named for this long, and for as long as it is, counts no more.
DEADLINE_TTL_MS = 120_000
# A caller's tries begin a little before its first deadline arrives here.
DEADLINE_MARGIN_MS = 500
# The row on software versions tells a deadline that was named by this long ago.
MAX_STORED_AGE_MS = 60_000


@dataclass(frozen=True, slots=True)
class LongestDeadline:
    """The longest deadline of a service's callers, and how long ago one last named it."""

    span_ms: int
    age_ms: int

    def must_replace(self, stored: "LongestDeadline | None") -> bool:
        """Return whether it must be stored in place of what is stored, with the ages of now."""
        if stored is None or self.span_ms > stored.span_ms:
            return True
        return self.age_ms < stored.age_ms and stored.age_ms > MAX_STORED_AGE_MS


@dataclass(frozen=True, slots=True)
class KnownDeadline:
    """The longest deadline of a service's callers, and when one last named it."""

    span_ms: int
    named_at: Millis


class StreamDeadlines:
    """The longest deadline that callers of each service have named lately, at any router."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._known: dict[ServiceId, KnownDeadline] = {}

    def record(self, service: ServiceId, span_ms: int, age_ms: int = 0) -> None:
        """Record that a caller named a deadline `age_ms` ago, with the first try of a stream."""
        span_ms = min(span_ms, MAX_SPAN_MS)
        if span_ms <= 0 or age_ms >= max(DEADLINE_TTL_MS, span_ms):
            return
        found = KnownDeadline(span_ms, Millis(self._clock.now() - age_ms))
        known = self._find(service)
        if known is None or (found.span_ms, found.named_at) > (known.span_ms, known.named_at):
            self._known[service] = found
        while len(self._known) > MAX_SERVICES:
            del self._known[next(iter(self._known))]

    def _find(self, service: ServiceId) -> KnownDeadline | None:
        """Return what is known of a service and still counts."""
        known = self._known.get(service)
        if known is None:
            return None
        ttl_ms = max(DEADLINE_TTL_MS, known.span_ms)
        return known if known.named_at > self._clock.now() - ttl_ms else None

    def longest(self, service: ServiceId) -> LongestDeadline | None:
        """Return the longest deadline of a service, `None` if none is known."""
        known = self._find(service)
        if known is None:
            return None
        return LongestDeadline(known.span_ms, self._clock.now() - known.named_at)

    def max_age_ms(self, service: ServiceId, timeout_ms: int, left_ms: int) -> int | None:
        """Return how long ago a stream that a caller resumes began at most, `None` if unknown.

        The caller will wait for `left_ms` more, 0 if it names no time.  `timeout_ms` is the
        time-out of the route, which callers need not know.
        """
        known = self._find(service)
        if known is None or not 0 < left_ms <= known.span_ms:
            return None
        return max(known.span_ms, timeout_ms) + DEADLINE_MARGIN_MS - left_ms
