"""What the choice of an upstream comes to: an upstream, or the reason why there is none."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from skylarklift.entry.state.upstream import Upstream
from skylarklift.ids import ReplicaId, SoftwareVersion


class NoUpstream(Enum):
    """Why no upstream can take a request."""

    NONE_KNOWN = "no_upstream_known"
    ZONES_EVACUATED = "zones_out"
    OUTSIDE_ALLOWED_REGIONS = "no_upstream_at_home"
    EJECTED = "upstreams_failing"
    COLD = "upstreams_cold"
    LIMITED = "upstreams_limited"
    FULL = "upstreams_full"
    SATURATED = "upstreams_saturated"
    HELD_OFF = "upstreams_ask_to_wait"
    TRIED = "upstreams_tried"
    OTHER_VERSION = "no_upstream_of_version"
    MAYBE_RESTARTED = "upstreams_may_have_restarted"


@dataclass(frozen=True, slots=True)
class PassedOver:
    """An upstream that may get no request now, and why."""

    replica: ReplicaId
    reason: NoUpstream


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream and the figures behind the choice.

    `load` and `mean` count requests in flight; `load_age_ms` is the age of the oldest report of
    another router that they rest on.  `position` is the index of the upstream in the
    order of candidates.  `copy_source` is a replica from which the chosen one can copy the part
    of the prefix that it lacks.  `busy_load` is the load from which it takes no more chats while
    another replica is less busy, 0 for plain services.  `passed_over` names the upstreams that
    would have been better but may get no request now, with the reason.
    """

    upstream: Upstream
    load: int
    mean: float
    position: int
    cold: bool
    load_age_ms: int = 0
    busy_load: float = 0.0
    copy_source: Upstream | None = None
    passed_over: tuple[PassedOver, ...] = ()


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """The software version that is to take a stream, which it has `begun` or is to begin.

    With `others`, all versions but this one may take the request.
    """

    version: SoftwareVersion
    begun: bool
    others: bool = False


def summarize(passed_over: Iterable[PassedOver]) -> NoUpstream:
    """Return why there is no upstream if all were passed over.

    A limit may last; what is cold takes more requests soon.
    """
    reasons = {item.reason for item in passed_over}
    for reason in (NoUpstream.COLD, NoUpstream.LIMITED):
        if reason in reasons:
            return reason
    return NoUpstream.SATURATED
