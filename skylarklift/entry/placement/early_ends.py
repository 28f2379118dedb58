"""Software whose replicas lately ended an answer early although their process lived on.

An answer without a length looks the same whether it is whole or was ended early between two events.
Where a replica has ended others early, all of its software is doubted for a while.  Without such a
sign it is believed: to doubt it would cut off whole answers.
"""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.placement.report_times import reported_moment
from skylarklift.ids import ServiceId, SoftwareVersion

# An early end counts against answers to requests that came up to this long after it.
DOUBT_MS = 2500
# Answers last no longer than this after their request.
KEPT_MS = 60_000
# So soon after an early end another one of the same software tells no more.
REPEAT_MS = 300
MAX_REPORTS = 16
MAX_KEPT = 1000


@dataclass(frozen=True, slots=True)
class Software:
    """A software version of a service, `None` if its replicas name none."""

    service: ServiceId
    version: SoftwareVersion | None

    @classmethod
    def of(cls, record: UpstreamRecord) -> "Software":
        """Return the software of a replica."""
        return cls(record.service, record.software)


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """Software of which a replica ended an answer early `age_ms` ago."""

    software: Software
    age_ms: int


class EarlyEnds:
    """When a replica of each software was last seen to end an answer early.

    An end by a reset may be the doing of this router's link, so it counts at this router alone.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen_at: dict[Software, Millis] = {}
        # Those that are reported to the other routers.
        self._reported_at: dict[Software, Millis] = {}

    def record(self, record: UpstreamRecord, *, by_reset: bool = False) -> None:
        """Record that a replica has just ended an answer early."""
        software, now = Software.of(record), self._clock.now()
        self._keep(self._seen_at, software, now)
        if not by_reset:
            self._keep(self._reported_at, software, now)

    def apply_report(self, report: EarlyEnd) -> None:
        """Apply what a router reported, unless it may be an early end that is known.

        Reports pass through several routers, and each adds what it takes them to get there.
        """
        moment = reported_moment(self._clock, report.age_ms)
        if moment <= self._clock.now() - KEPT_MS:
            return
        for moments in (self._seen_at, self._reported_at):
            known = moments.get(report.software)
            if known is None or moment >= known + REPEAT_MS:
                self._keep(moments, report.software, moment)

    def _keep(self, moments: dict[Software, Millis], software: Software, seen_at: Millis) -> None:
        """Keep when an answer was ended early, as long as there are not too many."""
        known = moments.get(software)
        if known is None and len(moments) >= MAX_KEPT:
            self._expire()
            if len(moments) >= MAX_KEPT:
                return
        if known is None or known < seen_at:
            moments[software] = seen_at

    def reports(self) -> tuple[EarlyEnd, ...]:
        """Return what to report to the other routers, the newest first if there is too much."""
        now = self._clock.now()
        newest = sorted(self._reported_at.items(), key=lambda item: -item[1])
        reports = (EarlyEnd(software, now - seen_at) for software, seen_at in newest)
        return tuple(item for item in reports if item.age_ms < DOUBT_MS)[:MAX_REPORTS]

    def is_doubted(self, record: UpstreamRecord, since: Millis) -> bool:
        """Return whether the end of an answer to a request that came at `since` is in doubt."""
        self._expire()
        seen_at = self._seen_at.get(Software.of(record))
        return seen_at is not None and seen_at >= since - DOUBT_MS

    def has_recent(self, record: UpstreamRecord, *, by_reset: bool) -> bool:
        """Return whether an early end is known that is so recent that another tells no more."""
        moments = self._seen_at if by_reset else self._reported_at
        seen_at = moments.get(Software.of(record))
        return seen_at is not None and self._clock.now() - seen_at < REPEAT_MS

    def _expire(self) -> None:
        """Drop what counts against no answer any more."""
        limit = self._clock.now() - KEPT_MS
        for moments in (self._seen_at, self._reported_at):
            for software, seen_at in list(moments.items()):
                if seen_at <= limit:
                    del moments[software]
