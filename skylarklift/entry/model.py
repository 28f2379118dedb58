"""The data types of the entry router: routes, workspaces, upstreams, calls and responses."""

from dataclasses import dataclass, field, fields, replace
from enum import Enum
from socket import AF_INET, inet_pton

from skylarklift.clock import Millis
from skylarklift.ids import (
    ReplicaId,
    RequestId,
    ServiceId,
    SoftwareVersion,
    Version,
    WorkspaceId,
    ZoneId,
)
from skylarklift.util.bounded import parse_integer

MAX_PORT = 65535
# A router ends this long before the end of the grace period, when the platform kills the process.
STOPPING_MARGIN_MS = 400

DEFAULT_MEMORY_MB = 300
# An upstream that reports this takes as long for its work as usual.
USUAL_WORK_PERCENT = 100

Headers = list[tuple[bytes, bytes]]


class RouteKind(Enum):
    """How a request of a route may be retried or resumed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to; its share of the requests is proportional to `weight`."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests below one path of one host are served.

    Times are in milliseconds; `priority` 0 is the most urgent.  `max_runs` limits the attempts
    in which a request may have run.  `allowed_regions` holds the regions that requests may reach;
    empty for all.  Without `targets` no request is sent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: int
    objective_ms: int
    priority: int
    max_runs: int
    anonymous: bool
    affinity: bool
    resumable: bool
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """The configuration of one service.

    A replica is cold for `cold_ms` after its start, and all routers together may send it only
    about `cold_per_s` requests a second.  `engine_slots` is 0 for a service without engines.
    """

    service: ServiceId
    cold_ms: int
    cold_per_s: float
    engine_slots: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the deployment; its priority, if set, overrides that of the route."""

    name: WorkspaceId
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """The limits on callers' requests: sizes in bytes, time-outs in milliseconds."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_ms: int = 3000
    idle_ms: int = 15000


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """What a process says of its start; `started_ms` is `None` if it does not say when that was."""

    started_ms: int | None


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream's entry in the platform's list, which the upstream itself writes.

    `cold_ms` is the time for which it still stays cold; `started_ms` differs after a restart.
    `sequence` counts what the upstream has reported since its start.  `software` is the version of
    the upstream's software, `None` if the entry names none.
    """

    replica: ReplicaId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    slots: int
    draining: bool
    cold_ms: int
    started_ms: int
    sequence: int = 0
    software: SoftwareVersion | None = None

    def is_older_than(self, other: "UpstreamRecord") -> bool:
        """Return whether the upstream itself wrote this entry before the other one."""
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share, and its number of tokens."""

    name: str
    tokens: int


@dataclass(slots=True)
class Call:
    """A caller's complete request.

    `headers` are those that are forwarded unchanged.  `received_at` is the time at which the
    head was complete; `deadline_ms` is the time that the caller allows from then on, or 0 if it
    names none.  `resume_after` is the last event that the caller has of a stream that it resumes,
    and `resumes` the request that brought it the first one.
    """

    request: RequestId
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    received_at: Millis
    api_key: str = ""
    deadline_ms: int = 0
    resume_after: int | None = None
    resumes: RequestId | None = None
    parts: tuple[PromptPart, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class SendOptions:
    """The values that the router itself sets on a request to an upstream.

    `left_ms` is the time until the caller's deadline.  `copy_from` is the address of a replica
    that holds more of the prompt's prefix.
    """

    replica: ReplicaId
    workspace: WorkspaceId | None
    left_ms: int
    priority: int | None
    resume_after: int | None
    copy_from: "Endpoint | None" = None


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """The load that an upstream reports: running and waiting requests, and its slots.

    `work_percent` is how long work takes there at the moment, in percent of the usual time.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_WORK_PERCENT


@dataclass(slots=True)
class ResponseHead:
    """The head of an upstream's response.

    `signed` is true if the upstream signed it, `not_run` if the request did not and will not
    run there, `moved` if another upstream now has the address, `encoded` if the body has a
    content encoding.  `length` is the content-length, `keep_alive_ms` the time for which the
    upstream keeps an idle connection, `cold_ms` the time for which it stays cold.
    `leaving` is true if the upstream is about to end, `hold_off_ms` the time for which it wants
    no request from this router.
    `request_limit` is the number of requests a second that it takes from all routers together;
    `limit_unreadable` is true if it names a limit that is no number.
    `rejection_limit` is the number of requests that it can reject in a second without failing,
    `None` if it names none.
    """

    status: int
    headers: Headers
    request: RequestId | None = None
    signed: bool = False
    not_run: bool = False
    moved: bool = False
    encoded: bool = False
    length: int | None = None
    keep_alive_ms: int | None = None
    load: ReplicaLoad | None = None
    cold_ms: int | None = None
    leaving: bool = False
    hold_off_ms: int | None = None
    request_limit: float | None = None
    limit_unreadable: bool = False
    rejection_limit: int | None = None


@dataclass(slots=True)
class Bounds:
    """The limits of the whole fleet and the grace period of a router; times are in milliseconds.

    All parts of a router share one object, so that reloaded settings reach them all.
    """

    grace_ms: int = 8000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10000
    retry_extra: int = 50
    cold_overshoot: float = 1.5
    cold_tolerance: int = 5
    load_factor: float = 2.0
    exposure_share: float = 0.0
    exposure_slack: int = 50
    rollback_ms: int = 5000

    def drain_ms(self) -> int:
        """Return how long a stopping router may go on with requests."""
        return self.grace_ms - STOPPING_MARGIN_MS

    def update_from(self, other: "Bounds") -> None:
        """Copy all values from another object."""
        for item in fields(other):
            setattr(self, item.name, getattr(other, item.name))


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint | None:
    """Return the address written as IP:PORT, or `None`."""
    host, _, digits = text.rpartition(":")
    try:
        port = parse_integer(digits, MAX_PORT)
        inet_pton(AF_INET, host)
    except (OSError, ValueError):
        return None
    return Endpoint(host, port) if port else None


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one router.

    `regions` maps each zone to its region.  `callers`, `readiness` and `peers` are the addresses
    on which the router serves callers, readiness checks and the other routers; `store` is the
    address of the platform's store.  The process ends if it uses more than `memory_mb`.
    With `zone_spill` the router weighs long links to other zones.
    It may have `max_fds` descriptors open; `None` for what the system allows.
    With `admission_control`, requests wait or are refused by the known room of their service.
    """

    node: str
    zone: ZoneId
    regions: dict[str, str]
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int | None = None
    bounds: Bounds = field(default_factory=Bounds)
    admission_control: bool = False
    zone_spill: bool = False

    def with_bounds(self, bounds: Bounds) -> "NodeSettings":
        """Return a copy of the settings with other bounds."""
        return replace(self, bounds=bounds)


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """One immutable version of the operators' configuration.

    `workspaces` are by API key.  `needs_key` is true if the configuration has workspaces, also if
    none of them holds a key any more.
    """

    version: Version
    routes: dict[str, dict[str, Route]]
    services: dict[ServiceId, ServicePlan]
    workspaces: dict[str, Workspace]
    limits: CallerLimits
    route_count: int
    needs_key: bool = True

    def route(self, host: str, path: str) -> Route | None:
        """Return the route at `host` with the longest prefix that matches `path`."""
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def has_engines(self) -> bool:
        """Return whether any service has model engines."""
        return any(plan.engine_slots for plan in self.services.values())

    def workspace(self, api_key: str) -> Workspace | None:
        """Return the workspace that holds an API key, `None` for an unknown or empty one."""
        return self.workspaces.get(api_key) if api_key else None
