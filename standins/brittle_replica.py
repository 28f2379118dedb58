"""A replica that falls over if it has to turn too many requests away in a second.

It decides only: who plays it moves the requests and the time.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

REJECTION_WINDOW_MS = 1000


class Admission(Enum):
    """What becomes of a request that reaches the replica."""

    RUNS = "runs"
    WAITS = "waits"
    REJECTED = "rejected"
    FALLS = "falls"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Brittleness:
    """How a replica is brittle: from when, and what it bears.

    From `since_ms` on it says so.  From `stable_ms` later on only `waiting_then` requests may wait,
    and if it rejects more than `rejections_per_s` in a second it falls over, and is back after
    `down_ms`.
    """

    since_ms: int
    rejections_per_s: int
    waiting_then: int = 0
    stable_ms: int = 3000
    down_ms: int = 4000


@dataclass
class BrittleReplica:
    """The places of one replica, what it rejected, and its falls.

    `busy_ms` sums up the time for which its slots have run requests since `counted_from_ms`.
    """

    slots: int
    waiting_room: int
    brittleness: Brittleness
    counted_from_ms: int = 0
    born: int = 1
    running: int = 0
    waiting: deque[object] = field(default_factory=deque)
    rejected: int = 0
    falls: int = 0
    busy_ms: int = 0
    _down_until_ms: int = 0
    _changed_ms: int = 0
    _rejected_ms: deque[int] = field(default_factory=deque)

    def is_brittle(self, now_ms: int) -> bool:
        """Return whether the replica says in its answers that it is brittle."""
        return now_ms >= self.brittleness.since_ms

    def is_down(self, now_ms: int) -> bool:
        """Return whether the replica refuses connections."""
        return now_ms < self._down_until_ms

    def _is_stable(self, now_ms: int) -> bool:
        """Return whether the replica has been brittle for so long that it counts."""
        return now_ms >= self.brittleness.since_ms + self.brittleness.stable_ms

    def room(self, now_ms: int) -> int:
        """Return how many requests may wait now."""
        if self._is_stable(now_ms):
            return min(self.waiting_room, self.brittleness.waiting_then)
        return self.waiting_room

    def arrive(self, now_ms: int, request: object) -> Admission:
        """Take a request in, let it wait or reject it; the replica may fall over by that."""
        if self.is_down(now_ms):
            return Admission.DOWN
        self._count_busy(now_ms)
        if self.running < self.slots:
            self.running += 1
            return Admission.RUNS
        if len(self.waiting) < self.room(now_ms):
            self.waiting.append(request)
            return Admission.WAITS
        return self._reject(now_ms)

    def _reject(self, now_ms: int) -> Admission:
        """Count a rejection; fall over after too many."""
        self.rejected += 1
        self._rejected_ms.append(now_ms)
        while self._rejected_ms[0] <= now_ms - REJECTION_WINDOW_MS:
            self._rejected_ms.popleft()
        brittle = self.brittleness
        if not self._is_stable(now_ms) or len(self._rejected_ms) <= brittle.rejections_per_s:
            return Admission.REJECTED
        self.falls += 1
        self.born += 1
        self.running = 0
        self.waiting.clear()
        self._rejected_ms.clear()
        self._down_until_ms = now_ms + brittle.down_ms
        return Admission.FALLS

    def finish(self, now_ms: int) -> object | None:
        """End a running request; return the waiting one that runs in its place."""
        self._count_busy(now_ms)
        if self.waiting:
            return self.waiting.popleft()
        self.running -= 1
        return None

    def _count_busy(self, now_ms: int) -> None:
        """Add the time since the last change to the time for which slots were in use."""
        since_ms = max(self._changed_ms, self.counted_from_ms)
        self.busy_ms += self.running * max(0, now_ms - since_ms)
        self._changed_ms = now_ms
