"""Sums of the loads that other routers report, kept up to date as reports arrive and expire."""

from collections import Counter, OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from skylarklift.clock import Millis
from skylarklift.ids import ReplicaId


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A router's requests in flight by upstream, and when they were received."""

    received_at: Millis
    loads: Mapping[ReplicaId, int]


class PeerLoads:
    """The newest load report of each router; `totals` is their sum for each upstream."""

    def __init__(self):
        # In the order in which the reports were received.
        self._reports: OrderedDict[str, LoadReport] = OrderedDict()
        self.totals: Counter[ReplicaId] = Counter()

    def record(self, node: str, loads: Mapping[ReplicaId, int], now: Millis) -> None:
        """Replace a router's report."""
        self.remove(node)
        self._reports[node] = LoadReport(now, loads)
        self.totals.update(loads)

    def remove(self, node: str) -> None:
        """Drop a router's report."""
        report = self._reports.pop(node, None)
        if report is None:
            return
        totals = self.totals
        for replica, count in report.loads.items():
            totals[replica] -= count
            if not totals[replica]:
                del totals[replica]

    def count(self) -> int:
        """Return how many routers' reports are kept."""
        return len(self._reports)

    def sum_newest(
        self, replicas: Collection[ReplicaId], since: Millis, least: int
    ) -> tuple[int, int]:
        """Return the load that the newest reports name at some upstreams, and their number.

        These are the reports received after `since`, and older ones if fewer than `least` are.
        """
        load = number = 0
        for report in reversed(self._reports.values()):
            if number >= least and report.received_at <= since:
                break
            number += 1
            load += sum(count for name, count in report.loads.items() if name in replicas)
        return load, number

    def oldest_received_at(self) -> Millis | None:
        """Return when the oldest report that counts was received, `None` without any."""
        return next((report.received_at for report in self._reports.values()), None)

    def expire(self, limit: Millis) -> None:
        """Drop the reports that were received at `limit` or before."""
        while self._reports:
            node, report = next(iter(self._reports.items()))
            if report.received_at > limit:
                return
            self.remove(node)
