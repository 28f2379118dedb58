"""What an admitter keeps: its queued requests, the load of each replica, and totals."""

from dataclasses import dataclass, field

from skylarklift.clock import Millis
from skylarklift.pools.grants import AdmissionRequest, RefusalCode
from skylarklift.pools.ramp import ReplicaRamp


@dataclass
class QueuedRequest:
    """A request in the queue; `sequence` numbers the requests in order of arrival."""

    request: AdmissionRequest
    sequence: int
    deadline: Millis
    affinity_deadline: Millis


@dataclass
class ReplicaState:
    """The ramp and the load of one replica.

    `granted` is the number of grants; `unlisted` is the number of running requests
    that the replica reports beyond these.
    """

    ramp: ReplicaRamp
    granted: int = 0
    unlisted: int = 0


@dataclass
class AdmissionCounts:
    """Totals for metrics and the status."""

    granted: int = 0
    refused: int = 0
    waited_for_affinity: int = 0
    moved_aside: int = 0
    by_code: dict[RefusalCode, int] = field(default_factory=dict)
