"""What routers tell each other of roll-outs."""

from dataclasses import dataclass

from skylarklift.entry.rollouts.evidence import EvidenceReport
from skylarklift.entry.rollouts.state import RolloutPhase
from skylarklift.ids import ServiceId, SoftwareVersion


@dataclass(frozen=True, slots=True)
class StateReport:
    """A state of a roll-out whose order was seen first `age_ms` ago."""

    service: ServiceId
    to: SoftwareVersion
    order_version: int
    age_ms: int
    duration_ms: int
    phase: RolloutPhase
    step: int


@dataclass(frozen=True, slots=True)
class RolloutNews:
    """The states that a router knows, and what it counted itself."""

    states: tuple[StateReport, ...] = ()
    evidence: tuple[EvidenceReport, ...] = ()
