"""Which proportions of software versions were in force when, in a bounded number of steps.

Each step holds until the next one.  A history that grows too long is never cut: neighbouring steps
are merged into ones under which a prompt may get each version that it got under any of them, so
that a reader can only find more versions possible than there were.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import SoftwareVersion

MAX_STEPS = 24
# Longer histories of other writers are not merged step by step.
MAX_READ_STEPS = 32
# A router that is in touch with the others may use proportions for this long after newer ones are
# in the row.
SPREAD_MS = 1000
# A step is used for streams that nominally began this long after it was written, and all routers
# that are in touch know it this long after one does.
STEP_DELAY_MS = 200
# Routers of earlier releases drop steps without a trace: those replaced for longer than this before
# they write a row, and the oldest ones beyond `MAX_STEPS`.
UNMARKED_TTL_MS = 60_000
HASH_RANGE = 1 << 64
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class VersionWeight:
    """A software version and its number of replicas."""

    version: SoftwareVersion
    weight: int


UNKNOWN_WEIGHTS = (VersionWeight(SoftwareVersion(""), 1),)


@dataclass(frozen=True, slots=True)
class ReleaseStep:
    """The proportions in force since `age_ms` ago, until those of the next step.

    Without weights above 0 it is not known which proportions were in force.  Streams that nominally
    began since `from_ms` ago may be of the step; `None` if that is a while after it was written.
    All routers knew the step `settled_ms` ago, less than 0 if they are to know it soon, `None` if
    that is not known.  `stored_ms` is when it was written by the clock of the store, if known, so
    that it stays the same however often the row is written.
    """

    age_ms: int
    weights: tuple[VersionWeight, ...]
    from_ms: int | None = field(default=None, compare=False)
    settled_ms: int | None = field(default=None, compare=False)
    stored_ms: int | None = field(default=None, compare=False)

    def starts_ms(self) -> int:
        """Return how long ago the first stream nominally began to which the step may apply."""
        return self.age_ms - STEP_DELAY_MS if self.from_ms is None else self.from_ms

    def aged(self, elapsed_ms: int) -> "ReleaseStep":
        """Return this step as it is `elapsed_ms` later."""
        from_ms = None if self.from_ms is None else self.from_ms + elapsed_ms
        settled_ms = None if self.settled_ms is None else self.settled_ms + elapsed_ms
        age_ms = self.age_ms + elapsed_ms
        return ReleaseStep(age_ms, self.weights, from_ms, settled_ms, self.stored_ms)

    def has_replicas(self, version: SoftwareVersion) -> bool:
        """Return whether a version has replicas that can be used."""
        return any(item.version == version and item.weight for item in self.weights)

    @property
    def is_known(self) -> bool:
        """Return whether it is known which proportions were in force."""
        return any(item.weight for item in self.weights)

    def only_version(self) -> SoftwareVersion | None:
        """Return the version that gets all prompts, `None` if there are several or none."""
        versions = [item.version for item in self.weights if item.weight]
        return versions[0] if len(versions) == 1 else None


def unknown_step(age_ms: int = 0, from_ms: int | None = None) -> ReleaseStep:
    """Return a step since which it is not known which proportions were in force."""
    return ReleaseStep(age_ms, (), from_ms)


def encodable_steps(steps: tuple[ReleaseStep, ...]) -> tuple[ReleaseStep, ...]:
    """Return steps as rows and messages have them, for `read_step`.

    Routers of earlier releases drop a step without weights, and write rows without it; so an
    unknown one that a known one follows has a version of no replica, at which no stream goes on.
    """
    known = [number for number, step in enumerate(steps) if step.is_known]
    newest = max(known, default=0)
    return tuple(
        replace(step, weights=UNKNOWN_WEIGHTS) if number < newest and not step.is_known else step
        for number, step in enumerate(steps)
    )


def read_step(
    age_ms: int,
    weights: tuple[VersionWeight, ...],
    from_ms: int | None = None,
    settled_ms: int | None = None,
    stored_ms: int | None = None,
) -> ReleaseStep:
    """Return a step of a row or a message."""
    known = () if weights == UNKNOWN_WEIGHTS else weights
    return ReleaseStep(age_ms, known, from_ms, settled_ms, stored_ms)


def pick_version(key: str, weights: tuple[VersionWeight, ...]) -> SoftwareVersion:
    """Return the version of a prompt by weighted rendezvous hashing.

    If a weight changes, only prompts of that version's part move.
    """

    def score(item: VersionWeight) -> float:
        point = (rendezvous_weight(key, item.version) + 1) / (HASH_RANGE + 1)
        return -item.weight / math.log(point) if item.weight else 0.0

    return max(weights, key=score).version


def steps_since(steps: tuple[ReleaseStep, ...], max_age_ms: int) -> tuple[ReleaseStep, ...]:
    """Return the steps that some router may have used at most `max_age_ms` ago."""
    replaced = [step.age_ms for step in steps[1:]]
    old = sum(age_ms > max_age_ms + SPREAD_MS for age_ms in replaced)
    return steps[old:]


def possible_versions(
    steps: tuple[ReleaseStep, ...], key: str, max_age_ms: int
) -> frozenset[SoftwareVersion] | None:
    """Return the versions that a prompt may have got at most `max_age_ms` ago.

    Return `None` if a part of that time is not known.
    """
    used = steps_since(steps, max_age_ms)
    if not all(step.is_known for step in used):
        return None
    return frozenset(pick_version(key, step.weights) for step in used)


def known_for_ms(steps: tuple[ReleaseStep, ...]) -> float:
    """Return for how long the proportions have been known without a gap."""
    ends = [step.age_ms for step in steps[1:]] + [0]
    gaps = [end_ms for step, end_ms in zip(steps, ends, strict=True) if not step.is_known]
    return min(gaps, default=math.inf)


def join_steps(
    known: tuple[ReleaseStep, ...],
    row: tuple[ReleaseStep, ...],
    span_ms: int,
    *,
    is_newest: bool,
) -> tuple[ReleaseStep, ...]:
    """Return a whole history up to lately with the steps of a row that began within `span_ms`.

    The last step of the newest row is in force.
    """
    known_steps = [step for step in row if step.is_known]
    later = [step for step in known_steps if step.age_ms < span_ms]
    last = known_steps[-1:] if is_newest else []
    earlier = [step for step in (*known, *later) if step not in last]
    earlier.sort(key=lambda step: step.age_ms, reverse=True)
    newest_ms = earlier[-1].age_ms if earlier else math.inf
    in_force = [
        replace(
            step,
            age_ms=min(step.age_ms, newest_ms),
            from_ms=step.starts_ms(),
            stored_ms=step.stored_ms if step.age_ms <= newest_ms else None,
        )
        for step in last
    ]
    return bound_steps((*earlier, *in_force))


def undisturbed_steps(steps: tuple[ReleaseStep, ...]) -> tuple[ReleaseStep, ...]:
    """Return a history in which the last proportions held while no replica joined or left.

    Meanwhile a version of no more than half of the replicas may not have been used, as all of its
    replicas were ejected or out of service for a while.
    """
    weights = steps[-1].weights
    total = sum(item.weight for item in weights)
    unused = [
        ReleaseStep(0, _without_version(weights, item.version))
        for item in weights
        if 0 < 2 * item.weight <= total and item.weight < total
    ]
    return bound_steps((*steps, *unused, ReleaseStep(0, weights))) if unused else steps


def _without_version(
    weights: tuple[VersionWeight, ...], version: SoftwareVersion
) -> tuple[VersionWeight, ...]:
    """Return the proportions while a version is not used."""
    return tuple(
        VersionWeight(item.version, 0) if item.version == version else item for item in weights
    )


def mark_unmarked_cuts(steps: tuple[ReleaseStep, ...]) -> tuple[ReleaseStep, ...]:
    """Return the steps of a row of an earlier release, with an unknown one where some may lack."""
    if not steps:
        return steps
    oldest, known_ms = steps[0], steps[-1].age_ms + UNMARKED_TTL_MS
    if oldest.age_ms > known_ms:
        return (
            unknown_step(oldest.age_ms),
            replace(oldest, age_ms=known_ms, stored_ms=None),
            *steps[1:],
        )
    if len(steps) >= MAX_STEPS:
        return (unknown_step(oldest.age_ms), *steps)
    return steps


def bound_steps(steps: tuple[ReleaseStep, ...]) -> tuple[ReleaseStep, ...]:
    """Return a history of at most `MAX_STEPS` steps that admits all that this one does."""
    if len(steps) > MAX_READ_STEPS:
        cut = steps[-MAX_READ_STEPS]
        steps = (unknown_step(cut.age_ms, cut.starts_ms()), *steps[1 - MAX_READ_STEPS :])
    while len(steps) > MAX_STEPS:
        steps = _choose_merge(steps).apply(steps)
    return steps


@dataclass(frozen=True, slots=True)
class _Merge:
    """Steps from `start` up to `end` that fewer others take the place of."""

    start: int
    end: int
    merged: tuple[ReleaseStep, ...]
    cost: float

    def apply(self, steps: tuple[ReleaseStep, ...]) -> tuple[ReleaseStep, ...]:
        """Return the steps with these merged."""
        return (*steps[: self.start], *self.merged, *steps[self.end :])


def _choose_merge(steps: tuple[ReleaseStep, ...]) -> _Merge:
    """Return the merge that makes the fewest prompts uncertain, of the newest least of all."""
    in_force = max((n for n, step in enumerate(steps) if step.is_known), default=0)
    earlier = steps[: in_force + 1]
    found = [merge for start in range(in_force - 1) if (merge := _merge_at(earlier, start))]
    if found:
        return min(found, key=lambda merge: merge.cost)
    return _Merge(0, 2, (unknown_step(steps[0].age_ms, steps[0].starts_ms()),), 0.0)


def _merge_at(steps: tuple[ReleaseStep, ...], start: int) -> _Merge | None:
    """Return the smallest merge of steps from `start` on, `None` if there is none.

    The last step, which is in force, is not merged.
    """
    versions: set[SoftwareVersion] = set()
    for end in range(start + 1, len(steps)):
        if not steps[end - 1].is_known:
            return None
        versions.update(item.version for item in steps[end - 1].weights if item.weight)
        # There is a corner for each version at most.
        if end - start > len(versions):
            return _merge(steps[start:end], start, steps[end].age_ms)
    return None


def _merge(group: tuple[ReleaseStep, ...], start: int, until_ms: int) -> _Merge:
    """Return the merge of a group of steps, the last of which was replaced `until_ms` ago."""
    corners = _corners(group)
    ages = [group[0].age_ms, *[until_ms] * (len(corners) - 1)]
    # Each corner may apply since the group began.
    from_ms = max(step.starts_ms() for step in group)
    merged = tuple(
        ReleaseStep(age, weights, from_ms) for age, weights in zip(ages, corners, strict=True)
    )
    age_s = max(until_ms / MS_PER_SECOND, 1.0)
    return _Merge(start, start + len(group), merged, _width(group) / age_s)


def _corners(group: Sequence[ReleaseStep]) -> list[tuple[VersionWeight, ...]]:
    """Return proportions that give each prompt all versions that any between the steps' gives it.

    A prompt gets a version under some weights within the steps' ranges just if it does where that
    version has its largest weight and each other its smallest one.
    """
    ranges = _ranges(group)
    found: list[tuple[VersionWeight, ...]] = []
    for version, (_, most) in ranges.items():
        weights = tuple(
            VersionWeight(other, most if other == version else least)
            for other, (least, _) in ranges.items()
        )
        if most and weights not in found:
            found.append(weights)
    return found


def _ranges(group: Sequence[ReleaseStep]) -> dict[SoftwareVersion, tuple[int, int]]:
    """Return the smallest and the largest weight of each version, 0 where it is missing."""
    weights = [{item.version: item.weight for item in step.weights} for step in group]
    versions = sorted({version for step in weights for version in step})
    return {
        version: (
            min(step.get(version, 0) for step in weights),
            max(step.get(version, 0) for step in weights),
        )
        for version in versions
    }


def _width(group: Sequence[ReleaseStep]) -> float:
    """Return about which part of the prompts become uncertain if steps are merged."""
    shares = [_shares(step) for step in group]
    versions = {version for step in shares for version in step}
    return sum(
        max(step.get(version, 0.0) for step in shares)
        - min(step.get(version, 0.0) for step in shares)
        for version in versions
    )


def _shares(step: ReleaseStep) -> dict[SoftwareVersion, float]:
    """Return each version's part of the prompts."""
    total = sum(item.weight for item in step.weights) or 1
    return {item.version: item.weight / total for item in step.weights}
