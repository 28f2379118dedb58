"""Callers that send the id of a try again while its stream goes on."""

from random import Random

from soak.stream_checker import Try

# The first one follows the begin of the request by so long, the next one the one before.
REPEAT_AFTER_MS = (50, 2000)
MAX_REPEATS = 2
# No id is repeated with less time left.
MIN_LEFT_MS = 200
# The part of the repeated ids that go to the router that has the id.
SAME_ROUTER_RATIO = 0.5


class Repeats:
    """When the ids of one request are sent again, `count` times at most.

    A part of them, `whole_ratio`, ask for the whole stream, whose answer the caller reads by
    itself.  The others ask for the rest of what the caller has.
    """

    def __init__(self, rng: Random, count: int, whole_ratio: float, started_ms: int):
        self._rng = rng
        self._left = count
        self._whole_ratio = whole_ratio
        self._at_ms = started_ms + rng.randint(*REPEAT_AFTER_MS) if count else 0

    def is_due(self, held: int, now_ms: int, deadline_ms: int) -> bool:
        """Return whether to send an id again now, with so many events held."""
        if self._left <= 0 or not (held or self._whole_ratio):
            return False
        return self._at_ms <= now_ms < deadline_ms - MIN_LEFT_MS

    def prepare(self, item: Try, now_ms: int) -> None:
        """Let a try be one that repeats an id, and plan the next one."""
        self._left -= 1
        self._at_ms = now_ms + self._rng.randint(*REPEAT_AFTER_MS)
        item.repeats_id = True
        if not item.resume_after or self._rng.random() < self._whole_ratio:
            item.apart, item.resume_after = True, 0
