"""The platform's names: header fields, paths, tables, row keys and status codes."""

REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
PREFIX = b"x-prefix-hash"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
SIGNATURE = b"x-replica-signature"
TENANT = b"x-tenant"
API_KEY = b"x-api-key"
EXPECT_REPLICA = b"x-expect-replica"
REPLICA_LOAD = b"x-replica-load"
NOT_RUN = b"x-not-executed"
COLD_START = b"x-cold-start-ms"
PRIORITY = b"x-request-priority"
KV_FETCH = b"kv-fetch"
REQUEST_LIMIT = b"server-limit"
REJECTION_LIMIT = b"server-brittle"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
# In all answers of the store; rises each time the store is restored from a copy.
STORE_ERA = b"store-era"

# Removed from callers' requests, so that a caller's own value never reaches an upstream.  The
# router sets some of them itself.
STRIPPED_REQUEST_HEADERS = frozenset(
    (
        API_KEY,
        TENANT,
        EXPECT_REPLICA,
        PRIORITY,
        DEADLINE,
        LAST_EVENT,
        b"x-kv-retain",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        KV_FETCH,
        b"x-expect-version",
    )
)

READY_PATH = b"/-/readyz"

OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
ROLLOUT_PREFIX = "rollout/"
STATUS_TABLE = "status"
ROWS_GET = "/-/rows-get"
ROWS_FEED = "/-/rows-feed"
ROWS_TX = "/-/rows-tx"

LOWEST_PRIORITY = 9
STATUS_MISDIRECTED = 421
STATUS_TURNED_AWAY = 503
STATUS_CHANGES_UNAVAILABLE = 410
STATUS_CONDITION_FAILED = 412
NO_EFFECT_STATUSES = (429, 503)
