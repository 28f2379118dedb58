"""Counters, gauges and latency histograms, served as text on the metrics address."""

from bisect import bisect_left
from collections import Counter

# Upper bounds of the histograms' buckets, in milliseconds.
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 15000)
PREFIX = "skylarklift_"


class Metrics:
    """The counters, gauges and histograms of one router.

    All are keyed by name and label; the label is written as `kind`.
    """

    def __init__(self):
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], list[int]] = {}
        self._sums: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[tuple[str, str], float] = {}

    def set_gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._gauges[name, label] = value

    def replace_gauges(self, name: str, values: dict[str, float]) -> None:
        """Set a gauge for each label, and drop it for all other labels."""
        self._gauges = {key: value for key, value in self._gauges.items() if key[0] != name}
        for label, value in values.items():
            self.set_gauge(name, value, label)

    def increment(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self._counters[name, label] += amount

    def observe_ms(self, name: str, span_ms: int, label: str = "") -> None:
        """Record a duration in a histogram."""
        counts = self._histograms.get((name, label))
        if counts is None:
            counts = self._histograms[name, label] = [0] * (len(BUCKETS_MS) + 1)
        counts[bisect_left(BUCKETS_MS, span_ms)] += 1
        self._sums[name, label] += span_ms

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, label), value in sorted(self._counters.items()):
            lines.append(f"{PREFIX}{name}_total{_format_labels(label)} {value}")
        for (name, label), value in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}{name}{_format_labels(label)} {value}")
        for (name, label), counts in sorted(self._histograms.items()):
            total = 0
            for bound, count in zip((*BUCKETS_MS, "+Inf"), counts, strict=True):
                total += count
                lines.append(f"{PREFIX}{name}_ms_bucket{_format_labels(label, str(bound))} {total}")
            lines.append(f"{PREFIX}{name}_ms_sum{_format_labels(label)} {self._sums[name, label]}")
            lines.append(f"{PREFIX}{name}_ms_count{_format_labels(label)} {total}")
        return "\n".join(lines) + "\n"


def _format_labels(kind: str, bound: str = "") -> str:
    """Return the labels of a metric line in braces, empty without labels."""
    parts = []
    if kind:
        parts.append(f'kind="{_escape(kind)}"')
    if bound:
        parts.append(f'le="{bound}"')
    return "{" + ",".join(parts) + "}" if parts else ""


def _escape(label: str) -> str:
    """Return a label's value with the characters escaped that the format reserves."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
