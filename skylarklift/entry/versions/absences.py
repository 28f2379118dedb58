"""Versions that have no replicas while their service's row cannot say so.

A prompt that the row gives to such a version begins its streams at any other one.  A router keeps
these times, counts them as it derives versions, and writes them with the first write that is taken.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from skylarklift.clock import Clock, Millis
from skylarklift.entry.versions.release_steps import (
    SPREAD_MS,
    ReleaseStep,
    VersionWeight,
    bound_steps,
)
from skylarklift.ids import ServiceId, SoftwareVersion

# More of a service are merged.
MAX_ABSENCES = 8


@dataclass(frozen=True, slots=True)
class Absence:
    """When versions had no replicas, and what served in their place if no other version of the row.

    `ended_at` is `None` while they have none.
    """

    versions: frozenset[SoftwareVersion]
    others: tuple[VersionWeight, ...]
    began_at: Millis
    ended_at: Millis | None = None

    def began_ms(self, now: Millis) -> int:
        """Return how long ago it began."""
        return now - self.began_at

    def ended_ms(self, now: Millis) -> int:
        """Return how long ago it ended, 0 if it has not."""
        return 0 if self.ended_at is None else now - self.ended_at

    def affects(self, step: ReleaseStep) -> bool:
        """Return whether proportions give prompts to one of the versions."""
        return any(step.has_replicas(version) for version in self.versions)

    def join(self, later: "Absence") -> "Absence":
        """Return one absence for this one, which has ended, and one that began later."""
        ended_at = None if later.ended_at is None else max(self.ended_at, later.ended_at)
        return Absence(self.versions | later.versions, (), self.began_at, ended_at)


class VersionAbsences:
    """The absences of versions of each service that no row is known to have."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._found: dict[ServiceId, tuple[Absence, ...]] = {}

    def of(self, service: ServiceId) -> tuple[Absence, ...]:
        """Return the absences of a service, the earliest first."""
        return self._found.get(service, ())

    def is_any_open(self) -> bool:
        """Return whether some version has no replicas."""
        return any(found[-1].ended_at is None for found in self._found.values())

    def record(
        self, service: ServiceId, in_force: ReleaseStep, counts: Mapping[SoftwareVersion, int]
    ) -> None:
        """Record which versions of the proportions in force have no replicas now."""
        now, found = self._clock.now(), self.of(service)
        versions = frozenset(
            item.version
            for item in in_force.weights
            if item.weight and not counts.get(item.version)
        )
        is_open = bool(found) and found[-1].ended_at is None
        if is_open and found[-1].versions == versions:
            return
        if is_open:
            found = (*found[:-1], replace(found[-1], ended_at=now))
        if versions:
            others = tuple(VersionWeight(item, n) for item, n in sorted(counts.items()) if n)
            found = (*found, Absence(versions, others, now))
        self._keep(service, found)

    def record_past(
        self,
        service: ServiceId,
        versions: frozenset[SoftwareVersion],
        others: tuple[VersionWeight, ...],
        began_ms: int,
    ) -> None:
        """Record that versions may have had no replicas from `began_ms` ago until now."""
        now = self._clock.now()
        absence = Absence(versions, others, Millis(now - began_ms), now)
        self._keep(service, (absence, *self.of(service)))

    def _keep(self, service: ServiceId, found: tuple[Absence, ...]) -> None:
        """Keep the absences of a service, in a bounded number."""
        if len(found) > MAX_ABSENCES:
            found = (found[0].join(found[1]), *found[2:])
        if found:
            self._found[service] = found
        else:
            self._found.pop(service, None)

    def forget(self, service: ServiceId) -> None:
        """Forget the absences of a service, as its row has them."""
        self._found.pop(service, None)

    def forget_written(self, service: ServiceId, steps: tuple[ReleaseStep, ...]) -> None:
        """Forget the absences that the steps of a newer row have."""
        now = self._clock.now()
        self._keep(
            service, tuple(item for item in self.of(service) if not _includes(steps, item, now))
        )

    def add_to(self, service: ServiceId, steps: tuple[ReleaseStep, ...]) -> tuple[ReleaseStep, ...]:
        """Return the steps of a service's row with the absences.

        The proportions of the row hold again, or still at other routers, after each of them.
        """
        now = self._clock.now()
        for absence in self.of(service):
            steps = _add_absence(steps, absence, now)
        return bound_steps(steps)


def _ends(steps: tuple[ReleaseStep, ...]) -> list[int]:
    """Return how long ago each step was replaced, 0 for the last one."""
    return [step.age_ms for step in steps[1:]] + [0]


def _includes(steps: tuple[ReleaseStep, ...], absence: Absence, now: Millis) -> bool:
    """Return whether proportions without the versions were in force during an absence."""
    if absence.ended_at is None and steps and not absence.affects(steps[-1]):
        return True
    return any(
        step.is_known
        and not absence.affects(step)
        and step.age_ms >= absence.began_ms(now) - SPREAD_MS
        and end_ms <= absence.ended_ms(now) + SPREAD_MS
        for step, end_ms in zip(steps, _ends(steps), strict=True)
    )


def _add_absence(
    steps: tuple[ReleaseStep, ...], absence: Absence, now: Millis
) -> tuple[ReleaseStep, ...]:
    """Return steps with one that lacks the versions in each step amid which they were gone."""
    found: list[ReleaseStep] = []
    for step, end_ms in zip(steps, _ends(steps), strict=True):
        found.append(step)
        from_ms = min(step.age_ms, absence.began_ms(now))
        until_ms = max(end_ms, absence.ended_ms(now))
        if step.is_known and absence.affects(step) and from_ms >= until_ms:
            found.append(ReleaseStep(from_ms, _without(step, absence)))
            found.append(ReleaseStep(until_ms, step.weights))
    return tuple(found)


def _without(step: ReleaseStep, absence: Absence) -> tuple[VersionWeight, ...]:
    """Return the proportions while versions are gone; those of no other one are not known."""
    weights = tuple(
        replace(item, weight=0) if item.version in absence.versions else item
        for item in step.weights
    )
    return weights if any(item.weight for item in weights) else absence.others
