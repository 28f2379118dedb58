"""How long callers wait for their streams, so that the age of one that is resumed is bounded.

A caller that resumes a stream names how long it will still wait.  Together with the longest time
that any caller of the service waits, this tells how long ago the stream began at most.  Routers
report the longest time to each other, and keep it in the row on software versions for those that
start anew.
"""

from dataclasses import dataclass
from itertools import pairwise

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ServiceId

# Callers are taken to wait no longer than this unless they say so.
MAX_DEADLINE_MS = 600_000
# Longer spans mean the same as this one: a day.
MAX_SPAN_MS = 86_400_000
MAX_SERVICES = 5000
# Deadlines of a service beyond this number are merged into longer ones.
MAX_DEADLINES = 4
# A deadline that no caller has named for this long, and for as long as it is, counts no more.
DEADLINE_TTL_MS = 120_000
# A caller's tries begin a little before its first deadline arrives here.
DEADLINE_MARGIN_MS = 500
# The row on software versions says when a deadline was named, but for this much.
STORED_DELAY_MS = 60_000


@dataclass(frozen=True, slots=True)
class LongestDeadline:
    """A deadline that no other one of its service makes needless, and when one last named it."""

    span_ms: int
    age_ms: int

    def left_ms(self) -> int:
        """Return for how long the deadline still counts."""
        return _ttl_ms(self.span_ms) - self.age_ms

    def covers(self, other: "LongestDeadline") -> bool:
        """Return whether this one is as long, and counts for as long."""
        return self.span_ms >= other.span_ms and self.left_ms() >= other.left_ms()

    def is_stored_as(self, stored: "LongestDeadline") -> bool:
        """Return whether what is stored says enough of this one."""
        if stored.covers(self):
            return True
        return stored.span_ms >= self.span_ms and stored.age_ms - self.age_ms <= STORED_DELAY_MS


def _ttl_ms(span_ms: int) -> int:
    """Return for how long a deadline counts after it was named."""
    return max(DEADLINE_TTL_MS, span_ms + STORED_DELAY_MS)


@dataclass(frozen=True, slots=True)
class KnownDeadlines:
    """The deadlines of a service, the longest first, and when their ages were right."""

    deadlines: tuple[LongestDeadline, ...]
    known_at: Millis


class StreamDeadlines:
    """The longest deadlines that callers of each service have named lately, at any router.

    A shorter one that was named later counts once a longer one does no more.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._known: dict[ServiceId, KnownDeadlines] = {}

    def record(self, service: ServiceId, span_ms: int, age_ms: int = 0) -> None:
        """Record that a caller named a deadline `age_ms` ago, with the first try of a stream."""
        found = LongestDeadline(min(span_ms, MAX_SPAN_MS), age_ms)
        if span_ms <= 0 or found.left_ms() <= 0:
            return
        known = self.all(service)
        if any(item.covers(found) for item in known):
            return
        kept = [item for item in known if not found.covers(item)]
        deadlines = sorted([*kept, found], key=lambda item: item.span_ms, reverse=True)
        while len(deadlines) > MAX_DEADLINES:
            deadlines = _merge_closest(deadlines)
        self._known[service] = KnownDeadlines(tuple(deadlines), self._clock.now())
        while len(self._known) > MAX_SERVICES:
            del self._known[next(iter(self._known))]

    def all(self, service: ServiceId) -> tuple[LongestDeadline, ...]:
        """Return the deadlines of a service that count, the longest first."""
        known = self._known.get(service)
        if known is None:
            return ()
        elapsed_ms = self._clock.now() - known.known_at
        aged = [LongestDeadline(item.span_ms, item.age_ms + elapsed_ms) for item in known.deadlines]
        return tuple(item for item in aged if item.left_ms() > 0)

    def longest(self, service: ServiceId) -> LongestDeadline | None:
        """Return the longest deadline of a service, `None` if none is known."""
        return next(iter(self.all(service)), None)

    def max_age_ms(self, service: ServiceId, timeout_ms: int, left_ms: int) -> int | None:
        """Return how long ago a stream that a caller resumes began at most, `None` if unknown.

        The caller will wait for `left_ms` more, 0 if it names no time.  `timeout_ms` is the
        time-out of the route, which callers need not know.
        """
        longest = self.longest(service)
        if longest is None or not 0 < left_ms <= longest.span_ms:
            return None
        return max(longest.span_ms, timeout_ms) + DEADLINE_MARGIN_MS - left_ms


def _merge_closest(deadlines: list[LongestDeadline]) -> list[LongestDeadline]:
    """Return deadlines with the two of the most similar length merged into one that covers both."""
    longer, shorter = min(pairwise(deadlines), key=lambda pair: pair[0].span_ms - pair[1].span_ms)
    age_ms = _ttl_ms(longer.span_ms) - shorter.left_ms()
    merged = LongestDeadline(longer.span_ms, age_ms)
    return [merged if item is longer else item for item in deadlines if item is not shorter]
