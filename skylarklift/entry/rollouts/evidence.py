"""What both versions of a service answered since the order, by step, version and route.

Each router counts its own attempts and sends its totals, so that a lost message loses nothing.  The
totals of all routers are summed.  Counts of different steps are kept apart, as the versions can be
compared only under the same share: a burst of failures hits the one with most requests.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import log2

from skylarklift.ids import ReplicaId, ServiceId, SoftwareVersion

# Of all steps, versions and routes of a service.
MAX_COUNTS = 256
MAX_REPORTERS = 2048
# Of the replicas with bad answers, this many are sent.
MAX_BAD_REPLICAS = 8
# Each bucket of times is 1.41 times as wide as the one before; the last one holds all above.
BUCKETS_PER_OCTAVE = 2
LAST_BUCKET = 40

# A step, a version and a route.
RouteKey = tuple[int, SoftwareVersion, str]


def time_bucket(took_ms: int) -> int:
    """Return the index of the bucket of a time to first event."""
    return min(LAST_BUCKET, int(BUCKETS_PER_OCTAVE * log2(max(0, took_ms) + 1)))


@dataclass(slots=True)
class RouteCounts:
    """The answers of one version on one route; `times` counts times to first event by bucket."""

    answers: int = 0
    bad: int = 0
    times: Counter[int] = field(default_factory=Counter)

    def add(self, other: "RouteCounts") -> None:
        """Add the counts of another router."""
        self.answers += other.answers
        self.bad += other.bad
        self.times.update(other.times)


@dataclass(slots=True)
class EvidenceReport:
    """The counts of one router since an order; `bad_replicas` are those of the new version."""

    service: ServiceId
    order_version: int
    routes: dict[RouteKey, RouteCounts] = field(default_factory=dict)
    bad_replicas: Counter[ReplicaId] = field(default_factory=Counter)

    def total(self) -> int:
        """Return the number of answers, which only grows."""
        return sum(counts.answers for counts in self.routes.values())

    def counts(self, key: RouteKey) -> RouteCounts | None:
        """Return the counts of a version on a route in a step, `None` if there are too many."""
        if key not in self.routes:
            if len(self.routes) >= MAX_COUNTS:
                return None
            self.routes[key] = RouteCounts()
        return self.routes[key]

    def trimmed_replicas(self) -> list[tuple[ReplicaId, int]]:
        """Return the replicas with the most bad answers, as many as are sent."""
        return self.bad_replicas.most_common(MAX_BAD_REPLICAS)


@dataclass(frozen=True, slots=True)
class Sample:
    """One attempt that an upstream answered, or should have answered.

    `first_event_ms` is `None` if the time cannot be compared with that of other replicas.
    """

    version: SoftwareVersion
    route: str
    replica: ReplicaId
    bad: bool
    first_event_ms: int | None = None


class Evidence:
    """The counts of this router and of the others for one order of a service."""

    def __init__(self, service: ServiceId, order_version: int):
        self.own = EvidenceReport(service, order_version)
        self._others: dict[str, EvidenceReport] = {}
        # The sum, `None` if a count has changed since: a large fleet sends many reports.
        self._summed: EvidenceReport | None = None

    def record(self, sample: Sample, to: SoftwareVersion, step: int) -> None:
        """Count an attempt of this router."""
        self._summed = None
        counts = self.own.counts((step, sample.version, sample.route))
        if counts is None:
            return
        counts.answers += 1
        counts.bad += sample.bad
        if sample.first_event_ms is not None:
            counts.times[time_bucket(sample.first_event_ms)] += 1
        if sample.bad and sample.version == to:
            self.own.bad_replicas[sample.replica] += 1

    def apply_report(self, reporter: str, report: EvidenceReport) -> None:
        """Use the totals of another router, unless newer ones are known."""
        known = self._others.get(reporter)
        if known is None and len(self._others) >= MAX_REPORTERS:
            return
        if known is None or report.total() >= known.total():
            self._others[reporter] = report
            self._summed = None

    def _reports(self) -> Iterator[EvidenceReport]:
        """Yield the reports of all routers."""
        yield self.own
        yield from self._others.values()

    def summed(self) -> EvidenceReport:
        """Return the counts of all routers."""
        if self._summed is not None:
            return self._summed
        total = EvidenceReport(self.own.service, self.own.order_version)
        for report in self._reports():
            for key, counts in report.routes.items():
                known = total.counts(key)
                if known is not None:
                    known.add(counts)
            total.bad_replicas.update(report.bad_replicas)
        self._summed = total
        return total
