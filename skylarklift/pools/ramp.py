"""Slow start of a replica that has just started or become slow.

The limit on its requests grows linearly from a few to the replica's slots.  A new
boot id restarts the ramp; several slow first tokens in a row or a broken connection
restart it only once the replica is warm.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.generated import Ramp
from skylarklift.ids import BootId

SLOW_ANSWERS_BEFORE_RESTART = 3


class ReplicaRamp:
    """The slow-start limit of one replica."""

    def __init__(self, clock: Clock, slots: int, ramp: Ramp, *, warm: bool = False):
        self._clock = clock
        self.slots = slots
        self.cfg = ramp
        self.boot: BootId | None = None
        self._slow_answers = 0
        self._started_at: Millis = clock.now()
        if warm:
            self._started_at = Millis(clock.now() - ramp.duration_ms)

    def limit(self) -> int:
        """Return how many requests the replica may run now."""
        if self.is_warm():
            return self.slots
        age = self._clock.now() - self._started_at
        start = min(self.cfg.start_slots, self.slots)
        return start + (self.slots - start) * age // self.cfg.duration_ms

    def is_warm(self) -> bool:
        """Return whether the ramp has ended, so that all slots may be used."""
        return self._clock.now() - self._started_at >= self.cfg.duration_ms

    def record_boot(self, boot: BootId) -> bool:
        """Record the boot id of a load report; return whether the replica restarted."""
        restarted = self.boot is not None and boot != self.boot
        self.boot = boot
        if restarted:
            self.restart()
        return restarted

    def record_first_token(self, first_token_ms: int, slow_ms: int) -> bool:
        """Record the time to a first token; return whether this restarted the ramp."""
        if first_token_ms < slow_ms:
            self._slow_answers = 0
            return False
        self._slow_answers += 1
        if self._slow_answers < SLOW_ANSWERS_BEFORE_RESTART or not self.is_warm():
            return False
        self.restart()
        return True

    def start_from_load(self, load: int) -> None:
        """Continue the ramp from the point where its limit is `load` requests."""
        start = min(self.cfg.start_slots, self.slots)
        slots_to_add = max(1, self.slots - start)
        elapsed = self.cfg.duration_ms * max(0, load - start) // slots_to_add
        self._started_at = Millis(self._clock.now() - elapsed)
        self._slow_answers = 0

    def restart(self) -> None:
        """Start the ramp again from its lowest limit."""
        self._started_at = self._clock.now()
        self._slow_answers = 0
