"""An operator's order to move the traffic of a service to another software version."""

from dataclasses import dataclass

from skylarklift.ids import ServiceId, SoftwareVersion


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Move a service to the version `to` within `duration_ms` after the order."""

    service: ServiceId
    to: SoftwareVersion
    duration_ms: int


@dataclass(frozen=True, slots=True)
class RolloutRow:
    """The row of a service's order; `order` is `None` if it was removed."""

    service: ServiceId
    order: RolloutOrder | None


@dataclass(frozen=True, slots=True)
class KnownOrder:
    """An order with the version of its row, which tells it from other orders of the service."""

    order: RolloutOrder
    row_version: int
