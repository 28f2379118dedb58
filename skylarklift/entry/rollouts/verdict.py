"""Whether a version is clearly worse than the one that serves beside it.

For each route two sequential tests compare the versions, one of failures and one of slow answers.
The weight of the evidence is the logarithm of a likelihood ratio: of the rates of bad answers that
were seen, to one rate of both versions.  The weights of all steps are summed.  A version that is
not at least `WORSE_RATIO` times as bad is not condemned, however much evidence there is.
"""

from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from math import log

from skylarklift.entry.rollouts.evidence import EvidenceReport, RouteCounts
from skylarklift.ids import SoftwareVersion

# A version with fewer times the bad answers of the other one is not clearly worse.
WORSE_RATIO = 2.0
# The evidence of versions that are alike reaches this weight in about 3 of 10,000 tests, however
# often it is looked at.
CONDEMN_WEIGHT = 11.0
# Few bad answers may have one cause, such as a replica that was lost.
MIN_BAD_ANSWERS = 8
# From this weight and this many bad answers on the share does not rise.
SUSPICION_WEIGHT = 5.0
MIN_SUSPICIOUS_ANSWERS = 4
# Bad answers of one replica count as a fault of its own up to this many more than the others have,
# until there are so many in all that the bound on the rollback is near.
LONE_REPLICA_ANSWERS = 3
MAX_DISCOUNTED_ANSWERS = 35
# An answer is slow if it is in a bucket so far above the one with this part of the other version's.
SLOW_QUANTILE = 0.9
SLOW_BUCKETS = 2
# A route has enough answers for a verdict that the version is good.
ENOUGH_ANSWERS = 30
MIN_TIMES = 20


class Verdict(Enum):
    """What the evidence says of the new version."""

    OPEN = "open"
    SUSPECT = "suspect"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with the route and the figures that gave it."""

    verdict: Verdict
    route: str = ""
    kind: str = ""
    weight: float = 0.0
    bad: int = 0
    answers: int = 0


@dataclass(frozen=True, slots=True)
class Pair:
    """The bad answers of a version in a step, and those of the other versions beside it."""

    bad: float
    answers: int
    other_bad: int
    other_answers: int

    def weight(self) -> float:
        """Return the logarithm of the likelihood ratio, negative if the version is better."""
        if not self.answers or not self.other_answers:
            return 0.0
        total = self.answers + self.other_answers
        found = (
            _log_likelihood(self.bad, self.answers)
            + _log_likelihood(self.other_bad, self.other_answers)
            - _log_likelihood(self.bad + self.other_bad, total)
        )
        is_worse = self.bad * self.other_answers > self.other_bad * self.answers
        return found if is_worse else -found


def _log_likelihood(bad: float, answers: int) -> float:
    """Return the logarithm of the likelihood of the most likely rate."""
    good = answers - bad
    found = 0.0
    if bad > 0:
        found += bad * log(bad / answers)
    if good > 0:
        found += good * log(good / answers)
    return found


def judge(report: EvidenceReport, to: SoftwareVersion, replicas: int) -> Judgement:
    """Return the verdict on a version that `replicas` replicas run."""
    scale = _lone_replica_scale(report.bad_replicas, replicas)
    found = Judgement(Verdict.OPEN)
    enough = []
    for route in sorted({route for _, _, route in report.routes}):
        steps = _compare(report, to, route)
        enough.append(sum(new.answers for new, _ in steps) >= ENOUGH_ANSWERS)
        failures = [
            Pair(scale * new.bad, new.answers, other.bad, other.answers) for new, other in steps
        ]
        slow = _pair_times(steps)
        for kind, pairs in (("bad", failures), ("slow", slow)):
            found = max(found, _weigh(pairs, route, kind), key=_rank)
    verdict = Verdict.GOOD if enough and all(enough) else Verdict.OPEN
    if found.weight >= CONDEMN_WEIGHT and found.bad >= MIN_BAD_ANSWERS:
        verdict = Verdict.BAD
    elif found.weight >= SUSPICION_WEIGHT and found.bad >= MIN_SUSPICIOUS_ANSWERS:
        verdict = Verdict.SUSPECT
    return replace(found, verdict=verdict)


def _rank(item: Judgement) -> tuple[bool, bool, float]:
    """Return a sort key: what condemns comes first, then what is suspicious, then the weight."""
    condemns = item.weight >= CONDEMN_WEIGHT and item.bad >= MIN_BAD_ANSWERS
    is_suspicious = item.weight >= SUSPICION_WEIGHT and item.bad >= MIN_SUSPICIOUS_ANSWERS
    return condemns, is_suspicious, item.weight


def _compare(
    report: EvidenceReport, to: SoftwareVersion, route: str
) -> list[tuple[RouteCounts, RouteCounts]]:
    """Return, for each step, the counts of a version on a route and those of all others."""
    steps: dict[int, tuple[RouteCounts, RouteCounts]] = {}
    for (step, version, name), counts in report.routes.items():
        if name == route:
            new, other = steps.setdefault(step, (RouteCounts(), RouteCounts()))
            (new if version == to else other).add(counts)
    return list(steps.values())


def _weigh(pairs: list[Pair], route: str, kind: str) -> Judgement:
    """Return the evidence of all steps, none if the version is not clearly worse."""
    bad, answers = sum(pair.bad for pair in pairs), sum(pair.answers for pair in pairs)
    weight = sum(pair.weight() for pair in pairs)
    # What the version would have as bad answers if it were like the others in each step.
    usual = sum(
        pair.answers * pair.other_bad / pair.other_answers for pair in pairs if pair.other_answers
    )
    if bad < WORSE_RATIO * usual:
        weight = min(weight, 0.0)
    return Judgement(Verdict.OPEN, route, kind, weight, round(bad), answers)


def _pair_times(steps: list[tuple[RouteCounts, RouteCounts]]) -> list[Pair]:
    """Return the slow answers of each step."""
    known: Counter[int] = Counter()
    for _, other in steps:
        known.update(other.times)
    if known.total() < MIN_TIMES:
        return []
    limit = _quantile_bucket(known, SLOW_QUANTILE) + SLOW_BUCKETS
    return [
        Pair(
            _count_from(new.times, limit),
            new.times.total(),
            _count_from(other.times, limit),
            other.times.total(),
        )
        for new, other in steps
    ]


def _quantile_bucket(times: Counter[int], quantile: float) -> int:
    """Return the bucket that holds a quantile of the times."""
    left = quantile * times.total()
    for bucket in sorted(times):
        left -= times[bucket]
        if left <= 0:
            return bucket
    return max(times)


def _count_from(times: Counter[int], limit: int) -> int:
    """Return how many times are in a bucket or above it."""
    return sum(count for bucket, count in times.items() if bucket >= limit)


def _lone_replica_scale(bad_replicas: Counter, replicas: int) -> float:
    """Return the part of the bad answers that is not a fault of one replica alone."""
    total = bad_replicas.total()
    if replicas < 2 or not total or total >= MAX_DISCOUNTED_ANSWERS:
        return 1.0
    worst = max(bad_replicas.values())
    others = total - worst
    return (others + min(worst, others + LONE_REPLICA_ANSWERS)) / total
