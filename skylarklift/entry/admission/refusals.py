"""When a refused caller may come back, and which requests have come back."""

import random
from collections import OrderedDict

from skylarklift.clock import MS_PER_SECOND, Clock, Millis

# Callers honour a Retry-After of at most this part of the time that they have left.
MAX_RETRY_RATIO = 1 / 3
MIN_RETRY_AFTER_MS = 50
# The Retry-After while it is not known how fast requests end.
UNKNOWN_RETRY_AFTER_MS = 500
# A request is recognized until this long after the time that its Retry-After named.
RETURN_GRACE_MS = 1000
MAX_REFUSED = 4096


def retry_after_ms(
    backlog: int, drain_per_s: float | None, left_ms: int, rng: random.Random, hold_off_ms: int = 0
) -> int:
    """Return when a refused caller is to come back.

    The backlog is gone after a time, and as many places again are free after twice that time, so
    the callers are spread over the time between.  `hold_off_ms` is the time for which no upstream
    wants a request.
    """
    base_ms = UNKNOWN_RETRY_AFTER_MS
    if drain_per_s:
        base_ms = max(MIN_RETRY_AFTER_MS, int((backlog + 1) / drain_per_s * MS_PER_SECOND))
    longest_ms = int(max(0, left_ms) * MAX_RETRY_RATIO)
    # Without this, a long backlog would give all callers the same time, that of the limit.
    base_ms = min(hold_off_ms + base_ms, longest_ms // 2)
    return min(base_ms + rng.randrange(base_ms + 1), longest_ms)


class RefusedRequests:
    """The requests that were refused, to recognize those that come back to this router."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until: OrderedDict[str, Millis] = OrderedDict()

    def record(self, fingerprint: str, wait_ms: int) -> None:
        """Record a refusal with its Retry-After."""
        self._until.pop(fingerprint, None)
        self._until[fingerprint] = Millis(self._clock.now() + wait_ms + RETURN_GRACE_MS)
        if len(self._until) > MAX_REFUSED:
            self._until.popitem(last=False)

    def recognize(self, fingerprint: str) -> bool:
        """Return, once for each refusal, whether a request was refused before."""
        until = self._until.pop(fingerprint, None)
        return until is not None and self._clock.now() <= until
