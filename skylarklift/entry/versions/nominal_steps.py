"""Which version a stream got by its nominal start, and which it may have got.

A step is used for nominal starts from a while after it was written, so that most routers know it
by then.  Until it is in force at all routers, some still use earlier ones.  A version that no
replica has any more is replaced at once, by the newest proportions.
"""

import math
from collections.abc import Sequence

from skylarklift.entry.versions.release_steps import (
    STEP_DELAY_MS,
    ReleaseStep,
    pick_version,
)
from skylarklift.ids import SoftwareVersion

# Nominal starts differ by up to this between two tries: ways of requests, clocks of routers.
TOLERANCE_MS = 250


def version_at(steps: Sequence[ReleaseStep], key: str, age_ms: int) -> SoftwareVersion:
    """Return the version of a new stream that nominally began `age_ms` ago; all steps are known."""
    newest = steps[-1]
    started = [step for step in steps if step.starts_ms() >= age_ms]
    version = pick_version(key, (started[-1] if started else steps[0]).weights)
    return version if newest.has_replicas(version) else pick_version(key, newest.weights)


def versions_at(
    steps: Sequence[ReleaseStep],
    key: str,
    age_ms: int,
    apart_ms: int = 0,
) -> frozenset[SoftwareVersion] | None:
    """Return the versions of which a stream that nominally began `age_ms` ago may be.

    A router that has been apart since `apart_ms` ago may have used the steps of then.  Return
    `None` if steps are not known that may have been used.
    """
    found: set[SoftwareVersion] = set()
    ended_ms = max(age_ms, apart_ms) + TOLERANCE_MS
    # Ages are larger the earlier something was.
    for number, in_force_ms in _reversed_ends(steps):
        step = steps[number]
        has_started = number == 0 or step.starts_ms() >= age_ms - TOLERANCE_MS
        is_used = has_started and in_force_ms <= ended_ms
        if is_used and not step.is_known:
            return None
        if is_used:
            found.update(_versions_since(steps[number:], key))
    return frozenset(found)


def _reversed_ends(steps: Sequence[ReleaseStep]) -> list[tuple[int, float]]:
    """Return, the newest step first, how long ago a later one was in force at all routers."""
    ends: list[tuple[int, float]] = []
    ended_ms = -math.inf
    for number in reversed(range(len(steps))):
        ends.append((number, ended_ms))
        ended_ms = max(ended_ms, _in_force_ms(steps, number))
    return ends


def _in_force_ms(steps: Sequence[ReleaseStep], number: int) -> float:
    """Return how long ago all routers used a step at the latest."""
    step = steps[number]
    if not step.is_known:
        return -math.inf
    if step.settled_ms is not None:
        return min(step.settled_ms, step.starts_ms())
    replaced_ms = steps[number + 1].age_ms if number + 1 < len(steps) else -math.inf
    if replaced_ms >= step.age_ms:
        # One of several merged steps, which hold together with the ones before.
        return -math.inf
    # Whoever writes a step knows the one before.
    return min(replaced_ms - STEP_DELAY_MS, step.starts_ms())


def _versions_since(steps: Sequence[ReleaseStep], key: str) -> set[SoftwareVersion]:
    """Return what the first step gives to a prompt, and what later ones do without that version."""
    version = pick_version(key, steps[0].weights)
    found = {version}
    for step in steps[1:]:
        if step.is_known and not step.has_replicas(version):
            found.add(pick_version(key, step.weights))
    return found
