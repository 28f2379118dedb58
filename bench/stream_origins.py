"""Measure what it costs a router to remember which software versions began streams."""

import secrets
import time
import tracemalloc
from collections import deque
from dataclasses import dataclass, field

import trio

from bench.report import Report
from features.release_fixtures import EMPTY_SUMMARIES, SERVICE
from skylarklift.clock import MS_PER_SECOND, ManualClock, Millis
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.model import Endpoint
from skylarklift.entry.standstill import CHECK_INTERVAL_MS
from skylarklift.entry.versions.backup_routers import BACKUP_ROUTERS
from skylarklift.entry.versions.origin_messages import (
    OriginMessage,
    decode_origin_message,
    encode_origin_message,
)
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.resumptions import Resumptions
from skylarklift.entry.versions.stream_origins import MAX_ORIGINS, StreamOrigin, StreamOrigins
from skylarklift.ids import RequestId, SoftwareVersion

ROUTERS = 390
REQUESTS_PER_S = 3300
STREAMS_S = (15, 60, 600)
MEASURED_S = 30
HEARD_INTERVAL_MS = 10_000
MAX_MEMORY_MB = 30.0
MAX_MESSAGES_PER_S = 330.0
MAX_PROCESSOR_PERCENT = 1.0
VERSION = SoftwareVersion("2026.12.1")
OTHER = Endpoint("10.0.0.1", 7)


@dataclass
class Sent:
    """The messages that a router sent."""

    messages: int = 0
    size: int = 0


@dataclass
class MeasuredRouter:
    """A router that begins streams, and is told of those that others begin."""

    lasts_ms: int
    clock: ManualClock = field(default_factory=lambda: ManualClock(1_000_000))
    running: deque[tuple[Millis, RequestId]] = field(default_factory=deque)
    begun: Sent = field(default_factory=Sent)
    renewed: Sent = field(default_factory=Sent)
    spent_s: float = 0.0

    def __post_init__(self) -> None:
        self.fleet = Fleet(self.clock, "edge-0")
        self.releases = Releases(self.clock)
        self.origins = StreamOrigins(self.clock)
        self.resumptions = Resumptions(self.clock, self.fleet, self.origins, self.releases)

    def hear_all(self) -> None:
        """Hear all other routers."""
        for number in range(1, ROUTERS):
            message = GossipMessage(f"edge-{number}", "b", "", EMPTY_SUMMARIES)
            self.fleet.record_message(message, Endpoint("10.0.0.1", number))

    def run(self, span_ms: int) -> None:
        """Begin and end streams, and learn of others', for a time."""
        for elapsed_ms in range(0, span_ms, CHECK_INTERVAL_MS):
            self.clock.advance(CHECK_INTERVAL_MS)
            if elapsed_ms % HEARD_INTERVAL_MS == 0:
                self.hear_all()
            self.releases.deadlines.record(SERVICE, self.lasts_ms)
            for _ in range(count_until(elapsed_ms)):
                self._begin()
            for _ in range(BACKUP_ROUTERS * count_until(elapsed_ms)):
                self._learn()
            while self.running and self.running[0][0] <= self.clock.now():
                self.resumptions.end_run(self.running.popleft()[1])
            self._take_sent(self.begun)
            began = time.perf_counter()
            self.resumptions.renew_running()
            self.spent_s += time.perf_counter() - began
            self._take_sent(self.renewed)

    def _begin(self) -> None:
        """Begin a stream."""
        request = RequestId(secrets.token_hex(8))
        origin = StreamOrigin(request, SERVICE, VERSION)
        self.resumptions.record_begun(origin, self.lasts_ms, run=request)
        self.running.append((Millis(self.clock.now() + self.lasts_ms), request))

    def _learn(self) -> None:
        """Be told of a stream that another router began."""
        origin = StreamOrigin(RequestId(secrets.token_hex(8)), SERVICE, VERSION)
        data = encode_origin_message(OriginMessage("edge-7", origins=(origin,)))
        self.resumptions.apply_message(decode_origin_message(data), OTHER)

    def _take_sent(self, sent: Sent) -> None:
        """Count what waits to be sent."""
        while True:
            try:
                item = self.resumptions.outgoing.receive_nowait()
            except trio.WouldBlock:
                return
            sent.messages += 1
            sent.size += len(encode_origin_message(item.message))


def count_until(elapsed_ms: int) -> int:
    """Return how many streams begin at a router in the check interval from `elapsed_ms` on."""
    per_ms = REQUESTS_PER_S / ROUTERS / MS_PER_SECOND
    return int((elapsed_ms + CHECK_INTERVAL_MS) * per_ms) - int(elapsed_ms * per_ms)


def run(seed: int) -> Report:
    """Measure streams of several lengths, whose callers wait for as long."""
    report = Report("stream_origins", f"origins of streams at {ROUTERS} routers")
    for lasts_s in STREAMS_S:
        lasts_ms = lasts_s * MS_PER_SECOND
        tracemalloc.start()
        router = MeasuredRouter(lasts_ms)
        router.run(lasts_ms + MEASURED_S * MS_PER_SECOND)
        memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        name = f"streams of {lasts_s} s: "
        report.at_most(f"{name}origins", len(router.origins), MAX_ORIGINS)
        report.at_most(f"{name}memory", memory_mb, MAX_MEMORY_MB, "MB")
        router.begun, router.renewed, router.spent_s = Sent(), Sent(), 0.0
        router.run(MEASURED_S * MS_PER_SECOND)
        for kind, sent in (("begun", router.begun), ("renewed", router.renewed)):
            messages, size = sent.messages / MEASURED_S, sent.size / MEASURED_S
            report.at_most(f"{name}messages, {kind}", messages, MAX_MESSAGES_PER_S, "/s")
            report.add(f"{name}bytes, {kind}", size, "B/s")
        percent = router.spent_s / MEASURED_S * 100
        report.at_most(f"{name}renewal", percent, MAX_PROCESSOR_PERCENT, "% of a core")
    return report
