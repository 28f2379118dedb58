"""Types generated from schema.json by tools/generate.py; do not edit."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta, convert, field
from skylarklift.routers.wire import Message, Record


class UpstreamState(StrEnum):
    IN = "in"
    DRAINING = "draining"
    OUT = "out"


class ZoneState(StrEnum):
    IN = "in"
    OUT = "out"


class Priority(StrEnum):
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class PatchFormat(StrEnum):
    MERGE = "merge"
    JSON_PATCH = "json-patch"


class OrderKind(StrEnum):
    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    LOAD_VERSION = "load-version"
    CHANGE_ROLE = "change-role"


class ReleaseCause(StrEnum):
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"
    CRASHED = "crashed"


class Address(Record):
    host: str = "127.0.0.1"
    port: Annotated[int, Meta(ge=0)] = 0


class OperatorSettings(Record):
    name: str
    token: str


class TlsSettings(Record):
    certificate: str = ""
    key: str = ""
    authority: str = ""


class PeerSettings(Record):
    keys: list[str]
    listen: Address = field(default_factory=lambda: convert({}, type=Address))
    advertise: Address | None = None
    seeds: list[Address] = field(default_factory=list)
    tls: TlsSettings = field(default_factory=lambda: convert({}, type=TlsSettings))
    frame_limit_bytes: Annotated[int, Meta(ge=1024)] = 4194304
    queue_limit_frames: Annotated[int, Meta(ge=1)] = 1024
    call_timeout_ms: Annotated[int, Meta(ge=10)] = 800
    pull_interval_ms: Annotated[int, Meta(ge=50)] = 500
    suspect_after_ms: Annotated[int, Meta(ge=100)] = 1200
    suspicion_lasts_ms: Annotated[int, Meta(ge=100)] = 3000
    remove_after_ms: Annotated[int, Meta(ge=1000)] = 15000


class CallerSettings(Record):
    listen: Address = field(default_factory=lambda: convert({}, type=Address))
    body_limit_bytes: Annotated[int, Meta(ge=1024)] = 1048576
    header_limit_bytes: Annotated[int, Meta(ge=1024)] = 32768
    body_timeout_ms: Annotated[int, Meta(ge=100)] = 10000
    deadline_ms: Annotated[int, Meta(ge=100)] = 60000
    tls: TlsSettings = field(default_factory=lambda: convert({}, type=TlsSettings))


class OperatorApiSettings(Record):
    listen: Address = field(default_factory=lambda: convert({}, type=Address))
    operators: list[OperatorSettings] = field(default_factory=list)
    tls: TlsSettings = field(default_factory=lambda: convert({}, type=TlsSettings))


class StoreSettings(Record):
    url: str
    timeout_ms: Annotated[int, Meta(ge=50)] = 1000
    fleet_reads_per_second: Annotated[float, Meta(ge=0.1)] = 20
    poll_interval_ms: Annotated[int, Meta(ge=100)] = 1000
    claim_batch_wait_ms: Annotated[int, Meta(ge=0)] = 10
    claim_batch_limit_rows: Annotated[int, Meta(ge=1)] = 100
    claim_keep_ms: Annotated[int, Meta(ge=1000)] = 86400000
    outcome_limit_bytes: Annotated[int, Meta(ge=0)] = 65536
    snapshot_every_versions: Annotated[int, Meta(ge=1)] = 32


class FreshnessSettings(Record):
    fresh_for_ms: Annotated[int, Meta(ge=200)] = 2500
    lease_ms: Annotated[int, Meta(ge=200)] = 2000
    renew_interval_ms: Annotated[int, Meta(ge=50)] = 500
    voters: Annotated[int, Meta(ge=1)] = 5


class RetrySettings(Record):
    ratio: Annotated[float, Meta(ge=0.0)] = 0.1
    reserve: Annotated[float, Meta(ge=0.0)] = 10
    attempts: Annotated[int, Meta(ge=1)] = 3
    poison_crashes: Annotated[int, Meta(ge=1)] = 2
    poison_keep_ms: Annotated[int, Meta(ge=1000)] = 600000


class TelemetrySettings(Record):
    log_level: str = "info"
    log_file: str = ""
    statsd_host: str = ""
    statsd_port: Annotated[int, Meta(ge=0)] = 8125
    statsd_prefix: str = "skylarklift"
    otlp_url: str = ""
    trace_file: str = ""


class ShutdownSettings(Record):
    health_wait_ms: Annotated[int, Meta(ge=0)] = 500
    drain_limit_ms: Annotated[int, Meta(ge=0)] = 30000


class OrderSettings(Record):
    lease_ms: Annotated[int, Meta(ge=1000)] = 10000
    order_limit_ms: Annotated[int, Meta(ge=100)] = 3000
    weight_gap_ms: Annotated[int, Meta(ge=0)] = 2000


class Settings(Record):
    router: str
    zone: str
    peers: PeerSettings
    store: StoreSettings
    callers: CallerSettings = field(default_factory=lambda: convert({}, type=CallerSettings))
    operators: OperatorApiSettings = field(
        default_factory=lambda: convert({}, type=OperatorApiSettings)
    )
    freshness: FreshnessSettings = field(
        default_factory=lambda: convert({}, type=FreshnessSettings)
    )
    retries: RetrySettings = field(default_factory=lambda: convert({}, type=RetrySettings))
    telemetry: TelemetrySettings = field(
        default_factory=lambda: convert({}, type=TelemetrySettings)
    )
    shutdown: ShutdownSettings = field(default_factory=lambda: convert({}, type=ShutdownSettings))
    orders: OrderSettings = field(default_factory=lambda: convert({}, type=OrderSettings))


class ZoneRouting(Record):
    state: ZoneState = ZoneState.IN


class Replica(Record):
    url: str
    zone: str
    state: UpstreamState = UpstreamState.IN
    slots: Annotated[int, Meta(ge=1)] = 32


class Ramp(Record):
    start_slots: Annotated[int, Meta(ge=1)] = 1
    duration_ms: Annotated[int, Meta(ge=0)] = 20000


class Pool(Record):
    models: list[str]
    replicas: dict[str, Replica]
    load_factor: Annotated[float, Meta(ge=1.0)] = 1.25
    affinity_wait_ms: Annotated[int, Meta(ge=0)] = 150
    queue_limit: Annotated[int, Meta(ge=0)] = 256
    ramp: Ramp = field(default_factory=lambda: convert({}, type=Ramp))
    report_interval_ms: Annotated[int, Meta(ge=50)] = 1000
    slow_first_token_ms: Annotated[int, Meta(ge=1)] = 5000


class Service(Record):
    upstreams: dict[str, Replica]
    timeout_ms: Annotated[int, Meta(ge=10)] = 5000


class Workspace(Record):
    pools: list[str] = field(default_factory=list)
    services: list[str] = field(default_factory=list)
    share: Annotated[float, Meta(ge=0.01)] = 1
    in_flight_limit: Annotated[int, Meta(ge=1)] = 1000


class Routing(Record):
    zones: dict[str, ZoneRouting]
    pools: dict[str, Pool] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)


class Member(Record):
    host: str
    port: int
    zone: str
    boot: str
    leaving: bool = False


class ViewRow(Record):
    number: int
    members: dict[str, Member]


class HeadRow(Record):
    version: int
    snapshot: int
    digest: str


class PatchBody(Record):
    base: Annotated[int, Meta(ge=0)]
    patch: Any
    patch_id: str = ""
    format: PatchFormat = PatchFormat.MERGE
    note: str = ""


class PoolStatus(Record):
    pool: str
    admitter: str
    in_service: list[str]
    loads: dict[str, int]
    limits: dict[str, int]
    bound: int
    queued: int
    granted: int
    refused: int
    moved_aside: int


class RouterStatus(Record):
    router: str
    zone: str
    boot: str
    version: int
    view: int
    digest: str
    age_ms: int
    fresh: bool
    evidence_age_ms: int
    store_away: bool
    may_vouch: bool
    in_flight: int
    grants_held: int
    live: list[str]
    pools: list[PoolStatus]
    counts: dict[str, int]
    control_bytes: dict[str, int]
    breaches: dict[str, int]


class PatchIdRow(Record):
    version: int


class PatchRow(Record):
    version: int
    patch_id: str
    operator: str
    format: PatchFormat
    patch: Any
    digest: str
    note: str = ""


class OrderLeaseRow(Record):
    holder: str
    fence: int
    lease_ms: int


class OrderBody(Record):
    pool: str
    replica: str
    kind: OrderKind
    name: str


class ClaimRow(Record):
    claim: str
    router: str
    fingerprint: str
    status: int = 0
    body: str = ""
    content_type: str = ""


class Hello(Message):
    router: str
    boot: str
    nonce: bytes


class Challenge(Message):
    nonce: bytes
    proofs: list[bytes]


class Proof(Message):
    proof: bytes


class Failure(Message):
    seq: int
    code: str


class Pull(Message):
    seq: int
    version: int
    view: int
    digest: int


class PullReply(Message):
    seq: int
    version: int
    view: int
    digest: int
    evidence_age_ms: int
    store_away: bool
    pending: bool


class SuspicionEntry(Message):
    router: str
    boot: str
    age_ms: int


class Fetch(Message):
    seq: int
    version: int
    view: int


class Snapshot(Message):
    version: int
    digest: str
    body: bytes


class Vote(Message):
    seq: int
    key: str
    span_ms: int
    view: int
    hold: int = 0


class VoteReply(Message):
    seq: int
    granted: bool
    holder: str
    left_ms: int


class Unvote(Message):
    seq: int
    key: str
    hold: int = 0


class Prepare(Message):
    seq: int
    version: int
    view: int


class Prepared(Message):
    seq: int
    agreed: bool


class Withdraw(Message):
    seq: int
    version: int
    view: int


class Ask(Message):
    seq: int
    grant: int
    pool: str
    key: int
    version: int
    wait_ms: int
    workspace: str
    priority: int
    fingerprint: int
    avoid: list[str]
    trace: str


class Granted(Message):
    seq: int
    grant: int
    replica: str
    version: int
    waited_ms: int
    tenure: int


class Refused(Message):
    seq: int
    code: str
    retry_ms: int
    holder: str


class ReleaseEntry(Message):
    grant: int
    cause: int
    first_token_ms: int


class Inventory(Message):
    seq: int
    pool: str
    tenure: int


class GrantEntry(Message):
    grant: int
    replica: str
    workspace: str
    key: int


class Crash(Message):
    seq: int
    fingerprint: int
    replica: str
    age_ms: int


class StatusAsk(Message):
    seq: int


class StatusReply(Message):
    seq: int
    body: bytes


class Done(Message):
    seq: int


class Suspicions(Message):
    seq: int
    entries: list[SuspicionEntry]


class FetchReply(Message):
    seq: int
    routing: Snapshot | None
    patches: list[bytes]
    view: bytes
    version: int
    view_number: int
    evidence_age_ms: int


class Release(Message):
    seq: int
    pool: str
    grants: list[ReleaseEntry]


class InventoryReply(Message):
    seq: int
    complete: bool
    entries: list[GrantEntry]
