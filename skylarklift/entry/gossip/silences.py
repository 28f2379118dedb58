"""Times that have ended in which a router was not heard, and so may have used old proportions.

A stream that it began meanwhile may be resumed for as long as its caller waits.
"""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis

# Longer than any stream for which proportions are looked up.
SILENCE_TTL_MS = 660_000
# Silences beyond this number are merged into longer ones.
MAX_SILENCES = 16
# Beside those that have ended, one that goes on is reported.
MAX_REPORTED_SILENCES = MAX_SILENCES + 1
# Of two that differ by less, one is kept: all routers report the same ones.
TOLERANCE_MS = 500
REPORT_DELAY_MS = 50
# One that goes on is reported as going on for this long, and again meanwhile.
MAX_ONGOING_MS = 10_000


@dataclass(frozen=True, slots=True)
class Silence:
    """A time in which a router was not heard."""

    began_at: Millis
    ended_at: Millis

    def covers(self, other: "Silence", tolerance_ms: int) -> bool:
        """Return whether this one lasted from before the other one until after it."""
        began_before = self.began_at <= other.began_at + tolerance_ms
        return began_before and self.ended_at >= other.ended_at - tolerance_ms


@dataclass(frozen=True, slots=True)
class SilenceReport:
    """How long ago a silence began and ended, less than 0 if it may go on for a while."""

    began_ms: int
    ended_ms: int

    def is_reported_by(self, other: "SilenceReport") -> bool:
        """Return whether another silence lasted from before this one until after it, about."""
        tolerance_ms = TOLERANCE_MS if self.ended_ms >= 0 else MAX_ONGOING_MS // 2
        began_before = other.began_ms >= self.began_ms - TOLERANCE_MS
        return began_before and other.ended_ms <= self.ended_ms + tolerance_ms


class EndedSilences:
    """The silences that count, without those that others cover."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # The earliest one first, by the beginning and by the end.
        self._silences: list[Silence] = []

    def record(self, silence: Silence, tolerance_ms: int = 0) -> None:
        """Record a silence, unless one that is known covers it within a tolerance."""
        self._expire()
        if silence.ended_at <= self._clock.now() - SILENCE_TTL_MS:
            return
        if any(known.covers(silence, tolerance_ms) for known in self._silences):
            return
        kept = [known for known in self._silences if not silence.covers(known, 0)]
        self._silences = sorted([*kept, silence], key=lambda item: item.ended_at)
        while len(self._silences) > MAX_SILENCES:
            first, second, *later = self._silences
            self._silences = [Silence(first.began_at, second.ended_at), *later]

    def _expire(self) -> None:
        """Drop the silences that count no more."""
        limit = self._clock.now() - SILENCE_TTL_MS
        self._silences = [item for item in self._silences if item.ended_at > limit]

    def apply_report(self, report: SilenceReport) -> None:
        """Record a silence that another router reports; the report was on its way for a while."""
        now = self._clock.now()
        began_at = Millis(now - report.began_ms - REPORT_DELAY_MS)
        silence = Silence(began_at, Millis(now - report.ended_ms))
        self.record(silence, TOLERANCE_MS)

    def reports(self) -> tuple[SilenceReport, ...]:
        """Return the silences for other routers."""
        self._expire()
        now = self._clock.now()
        return tuple(
            SilenceReport(now - item.began_at, now - item.ended_at) for item in self._silences
        )

    def longest_ms(self, max_age_ms: int) -> int:
        """Return how long ago the first silence began that ended at most `max_age_ms` ago, or 0."""
        now = self._clock.now()
        limit = now - max_age_ms - TOLERANCE_MS
        began = [item.began_at for item in self._silences if item.ended_at >= limit]
        return now - min(began) + TOLERANCE_MS if began else 0
