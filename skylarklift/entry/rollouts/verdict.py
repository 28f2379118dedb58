"""Whether a version is clearly worse than the one that serves beside it.

For each route two sequential tests compare the versions, one of failures and one of slow answers.
Each bad answer belongs to the new version with the probability of its part of the answers if both
versions are alike, and with a larger one if it is worse.  The logarithm of the ratio of both
likelihoods is the weight of the evidence; by Ville's inequality it exceeds `CONDEMN_WEIGHT` for a
version that is no worse with a probability of at most exp(-CONDEMN_WEIGHT), whenever it is looked
at.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import log

from skylarklift.entry.rollouts.evidence import EvidenceReport, RouteCounts
from skylarklift.ids import SoftwareVersion

# The tests look for a version with this many times the bad answers of the other one.
WORSE_RATIO = 3.0
# One wrong verdict in 10,000 for each route and test.
CONDEMN_WEIGHT = log(10_000)
# From this weight on the share does not rise.
SUSPICION_WEIGHT = 3.0
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


def evidence_weight(bad: float, answers: int, other_bad: int, other_answers: int) -> float:
    """Return the logarithm of the likelihood ratio of a version that is worse."""
    if not answers or not other_answers:
        return 0.0
    alike = answers / (answers + other_answers)
    worse = WORSE_RATIO * answers / (WORSE_RATIO * answers + other_answers)
    return bad * log(worse / alike) + other_bad * log((1 - worse) / (1 - alike))


def judge(report: EvidenceReport, to: SoftwareVersion, replicas: int) -> Judgement:
    """Return the verdict on a version that `replicas` replicas run."""
    scale = _lone_replica_scale(report.bad_replicas, replicas)
    found = Judgement(Verdict.OPEN)
    enough = []
    for route in sorted({route for _, route in report.routes}):
        new = report.routes.get((to, route), RouteCounts())
        other = _other_versions(report, to, route)
        enough.append(new.answers >= ENOUGH_ANSWERS)
        weight = evidence_weight(scale * new.bad, new.answers, other.bad, other.answers)
        candidates = [Judgement(Verdict.OPEN, route, "bad", weight, new.bad, new.answers)]
        candidates.append(_judge_times(new, other, route))
        found = max(found, *candidates, key=lambda item: item.weight)
    verdict = Verdict.GOOD if enough and all(enough) else Verdict.OPEN
    if found.weight >= CONDEMN_WEIGHT:
        verdict = Verdict.BAD
    elif found.weight >= SUSPICION_WEIGHT:
        verdict = Verdict.SUSPECT
    return Judgement(verdict, found.route, found.kind, found.weight, found.bad, found.answers)


def _other_versions(report: EvidenceReport, to: SoftwareVersion, route: str) -> RouteCounts:
    """Return the counts of all other versions on a route."""
    total = RouteCounts()
    for (version, name), counts in report.routes.items():
        if name == route and version != to:
            total.add(counts)
    return total


def _judge_times(new: RouteCounts, other: RouteCounts, route: str) -> Judgement:
    """Return the evidence that a version is slower than the other ones."""
    known = other.times.total()
    if known < MIN_TIMES:
        return Judgement(Verdict.OPEN, route)
    limit = _quantile_bucket(other.times, SLOW_QUANTILE) + SLOW_BUCKETS
    slow, other_slow = _count_from(new.times, limit), _count_from(other.times, limit)
    answers = new.times.total()
    weight = evidence_weight(slow, answers, other_slow, known)
    return Judgement(Verdict.OPEN, route, "slow", weight, slow, answers)


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
