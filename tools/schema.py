"""Build skylarklift/schema.json, the schema of messages, settings, routing and rows.

The tables below are the source.  They list the fields of each record as
``name: type = default``, separated by semicolons.  ``tools/generate.py`` writes the
schema and the types generated from it, ``skylarklift/generated.py``.
"""

import json

from skylarklift.routers.wire import MESSAGE_TAGS

SETTINGS_BASE = "skylarklift.routers.wire.Record"
MESSAGE_BASE = "skylarklift.routers.wire.Message"

ENUMS = {
    "UpstreamState": ["in", "draining", "out"],
    "ZoneState": ["in", "out"],
    "Priority": ["high", "normal", "low"],
    "PatchFormat": ["merge", "json-patch"],
    "OrderKind": ["load-model", "load-adapter", "load-version", "change-role"],
    "ReleaseCause": ["done", "cancelled", "failed", "crashed"],
}

# Types: int, str, bool, bytes, float, any, a name of a record or enumeration, [T] for a list,
# {T} for an object with values of T, T? for a nullable value.  `>=N` sets a minimum.
RECORDS = {
    # Settings of one router.
    "Address": "host: str = 127.0.0.1; port: int>=0 = 0",
    "OperatorSettings": "name: str; token: str",
    "TlsSettings": "certificate: str = ; key: str = ; authority: str = ",
    "PeerSettings": (
        "listen: Address = {}; advertise: Address? = null; seeds: [Address] = []; keys: [str];"
        "tls: TlsSettings = {};"
        "frame_limit_bytes: int>=1024 = 4194304; queue_limit_frames: int>=1 = 1024;"
        "call_timeout_ms: int>=10 = 800; pull_interval_ms: int>=50 = 500;"
        "suspect_after_ms: int>=100 = 1200; suspicion_lasts_ms: int>=100 = 3000;"
        "remove_after_ms: int>=1000 = 15000"
    ),
    "CallerSettings": (
        "listen: Address = {}; body_limit_bytes: int>=1024 = 1048576;"
        "header_limit_bytes: int>=1024 = 32768; body_timeout_ms: int>=100 = 10000;"
        "deadline_ms: int>=100 = 60000; tls: TlsSettings = {}"
    ),
    "OperatorApiSettings": "listen: Address = {}; operators: [OperatorSettings] = [];"
    "tls: TlsSettings = {}",
    "StoreSettings": (
        "url: str; timeout_ms: int>=50 = 1000; fleet_reads_per_second: float>=0.1 = 20;"
        "poll_interval_ms: int>=100 = 1000; claim_batch_wait_ms: int>=0 = 10;"
        "claim_batch_limit_rows: int>=1 = 100; claim_keep_ms: int>=1000 = 86400000;"
        "outcome_limit_bytes: int>=0 = 65536; snapshot_every_versions: int>=1 = 32"
    ),
    "FreshnessSettings": "fresh_for_ms: int>=200 = 2500; lease_ms: int>=200 = 2000;"
    "renew_interval_ms: int>=50 = 500; voters: int>=1 = 5",
    "RetrySettings": (
        "ratio: float>=0 = 0.1; reserve: float>=0 = 10; attempts: int>=1 = 3;"
        "poison_crashes: int>=1 = 2; poison_keep_ms: int>=1000 = 600000"
    ),
    "TelemetrySettings": (
        "log_level: str = info; log_file: str = ; statsd_host: str = ; statsd_port: int>=0 = 8125;"
        "statsd_prefix: str = skylarklift; otlp_url: str = ; trace_file: str = "
    ),
    "ShutdownSettings": "health_wait_ms: int>=0 = 500; drain_limit_ms: int>=0 = 30000",
    "OrderSettings": "lease_ms: int>=1000 = 10000; order_limit_ms: int>=100 = 3000;"
    "weight_gap_ms: int>=0 = 2000",
    "Settings": (
        "router: str; zone: str; callers: CallerSettings = {};"
        "operators: OperatorApiSettings = {}; peers: PeerSettings; store: StoreSettings;"
        "freshness: FreshnessSettings = {}; retries: RetrySettings = {};"
        "telemetry: TelemetrySettings = {}; shutdown: ShutdownSettings = {};"
        "orders: OrderSettings = {}"
    ),
    # The routing configuration of a deployment.
    "ZoneRouting": "state: ZoneState = in",
    "Replica": "url: str; zone: str; state: UpstreamState = in; slots: int>=1 = 32",
    "Ramp": "start_slots: int>=1 = 1; duration_ms: int>=0 = 20000",
    "Pool": (
        "models: [str]; replicas: {Replica}; load_factor: float>=1 = 1.25;"
        "affinity_wait_ms: int>=0 = 150; queue_limit: int>=0 = 256; ramp: Ramp = {};"
        "report_interval_ms: int>=50 = 1000; slow_first_token_ms: int>=1 = 5000"
    ),
    "Service": "upstreams: {Replica}; timeout_ms: int>=10 = 5000",
    "Workspace": "pools: [str] = []; services: [str] = []; share: float>=0.01 = 1;"
    "in_flight_limit: int>=1 = 1000",
    "Routing": "zones: {ZoneRouting}; pools: {Pool} = {}; services: {Service} = {};"
    "workspaces: {Workspace} = {}",
    # Rows of the membership view and the head in the store.
    "Member": "host: str; port: int; zone: str; boot: str; leaving: bool = false",
    "ViewRow": "number: int; members: {Member}",
    "HeadRow": "version: int; snapshot: int; digest: str",
    # Bodies of the operators' API, and the other rows of the store.
    "PatchBody": "base: int>=0; patch_id: str = ; format: PatchFormat = merge; patch: any;"
    "note: str = ",
    "PoolStatus": "pool: str; admitter: str; in_service: [str]; loads: {int}; limits: {int};"
    "bound: int; queued: int; granted: int; refused: int; moved_aside: int",
    "RouterStatus": "router: str; zone: str; boot: str; version: int; view: int; digest: str;"
    "age_ms: int; fresh: bool; evidence_age_ms: int; store_away: bool; may_vouch: bool;"
    "in_flight: int;"
    "grants_held: int; live: [str]; pools: [PoolStatus]; counts: {int};"
    "control_bytes: {int}; breaches: {int}",
    "PatchIdRow": "version: int",
    "PatchRow": (
        "version: int; patch_id: str; operator: str; format: PatchFormat; patch: any;"
        "digest: str; note: str = "
    ),
    "OrderLeaseRow": "holder: str; fence: int; lease_ms: int",
    "OrderBody": "pool: str; replica: str; kind: OrderKind; name: str",
    "ClaimRow": "claim: str; router: str; fingerprint: str; status: int = 0; body: str = ;"
    "content_type: str = ",
}

# Messages between routers; skylarklift/routers/wire.py defines their tag numbers.
MESSAGES = {
    "Hello": "router: str; boot: str; nonce: bytes",
    "Challenge": "nonce: bytes; proofs: [bytes]",
    "Proof": "proof: bytes",
    "Failure": "seq: int; code: str",
    "Pull": "seq: int; version: int; view: int; digest: int",
    "PullReply": "seq: int; version: int; view: int; digest: int; evidence_age_ms: int;"
    "store_away: bool; pending: bool",
    "Suspicions": "seq: int; entries: [SuspicionEntry]",
    "SuspicionEntry": "router: str; boot: str; age_ms: int",
    "Fetch": "seq: int; version: int; view: int",
    "FetchReply": "seq: int; routing: Snapshot?; patches: [bytes]; view: bytes;"
    "version: int; view_number: int; evidence_age_ms: int",
    "Snapshot": "version: int; digest: str; body: bytes",
    "Vote": "seq: int; key: str; span_ms: int; view: int; hold: int = 0",
    "VoteReply": "seq: int; granted: bool; holder: str; left_ms: int",
    "Unvote": "seq: int; key: str; hold: int = 0",
    "Prepare": "seq: int; version: int; view: int",
    "Prepared": "seq: int; agreed: bool",
    "Withdraw": "seq: int; version: int; view: int",
    "Ask": "seq: int; grant: int; pool: str; key: int; version: int; wait_ms: int;"
    "workspace: str; priority: int; fingerprint: int; avoid: [str]; trace: str",
    "Granted": "seq: int; grant: int; replica: str; version: int; waited_ms: int;" "tenure: int",
    "Refused": "seq: int; code: str; retry_ms: int; holder: str",
    "Release": "seq: int; pool: str; grants: [ReleaseEntry]",
    "ReleaseEntry": "grant: int; cause: int; first_token_ms: int",
    "Inventory": "seq: int; pool: str; tenure: int",
    "InventoryReply": "seq: int; complete: bool; entries: [GrantEntry]",
    "GrantEntry": "grant: int; replica: str; workspace: str; key: int",
    "Crash": "seq: int; fingerprint: int; replica: str; age_ms: int",
    "StatusAsk": "seq: int",
    "StatusReply": "seq: int; body: bytes",
    "Done": "seq: int",
}


def field_schema(type_name):
    """Return the JSON schema of a type in the notation of `RECORDS`."""
    if type_name.endswith("?"):
        return {"anyOf": [field_schema(type_name[:-1]), {"type": "null"}]}
    if type_name.startswith("["):
        return {"type": "array", "items": field_schema(type_name[1:-1])}
    if type_name.startswith("{"):
        return {"type": "object", "additionalProperties": field_schema(type_name[1:-1])}
    name, _, minimum = type_name.partition(">=")
    simple = {
        "int": {"type": "integer"},
        "float": {"type": "number"},
        "str": {"type": "string"},
        "bool": {"type": "boolean"},
        "bytes": {"type": "string", "format": "binary"},
        "any": {},
    }
    found = simple.get(name, {"$ref": f"#/$defs/{name}"})
    if minimum:
        found = {**found, "minimum": float(minimum) if name == "float" else int(minimum)}
    return found


def parse_default(type_name, text):
    """Return a default as JSON parses it, or the text itself if it is not JSON."""
    if type_name == "str":
        return text
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def record_schema(fields, base):
    """Return the JSON schema of one record from its list of fields."""
    properties = {}
    required = []
    for part in filter(None, (item.strip() for item in fields.split(";"))):
        head, equals, default = part.partition(" =")
        name, _, type_name = head.partition(": ")
        properties[name] = field_schema(type_name.strip())
        if equals:
            properties[name] = {
                **properties[name],
                "default": parse_default(type_name, default.strip()),
            }
        else:
            required.append(name)
    return {
        "type": "object",
        "customBasePath": base,
        "additionalProperties": False,
        "required": required,
        "properties": properties,
    }


def build_schema():
    """Return the complete schema; exit if the messages and their tags do not match."""
    missing = set(MESSAGES) ^ set(MESSAGE_TAGS)
    if missing:
        raise SystemExit(f"messages without a tag, or tags without a message: {sorted(missing)}")
    defs = {name: {"type": "string", "enum": values} for name, values in ENUMS.items()}
    defs |= {name: record_schema(text, SETTINGS_BASE) for name, text in RECORDS.items()}
    defs |= {name: record_schema(text, MESSAGE_BASE) for name, text in MESSAGES.items()}
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "$defs": defs}


def render_schema():
    """Return the text of schema.json."""
    return json.dumps(build_schema(), indent=1) + "\n"
