"""Sound messages of each kind, and copies of them in which one value is an odd one."""

import json
from collections.abc import Iterator
from typing import Any

import msgpack

from features.entry_fixtures import (
    ROUTE,
    upstream_data,
)
from features.outside_values import (
    LONG,
    encode_headers,
)
from skylarklift.clock import Millis
from skylarklift.entry.crashes.crash_messages import (
    CrashMessage,
    ServedReport,
)
from skylarklift.entry.crashes.crash_records import CrashReport, Suspect, SuspectKind
from skylarklift.entry.crashes.quarantine import Hold, HoldState
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.placement.concurrency_limits import (
    Backpressure,
    Rejection,
    RejectionLimit,
)
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.placement.prefixes import Placement
from skylarklift.entry.placement.rate_limits import LimitReport
from skylarklift.entry.placement.replica_speeds import SlowReplica
from skylarklift.entry.state.rows import RowChange, RowPage, TableSummary
from skylarklift.entry.versions.origin_messages import (
    OriginMessage,
)
from skylarklift.entry.versions.release_rows import ReleaseReport, ReleaseRow, encode_release_row
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight
from skylarklift.entry.versions.stream_deadlines import LongestDeadline
from skylarklift.entry.versions.stream_origins import StreamOrigin

SUMMARIES = (TableSummary(5, 4, 7, 20, 1), TableSummary(6, 6, 9, 20, 1))
RELEASE = ReleaseReport(
    "lm", 3, (ReleaseStep(10, (VersionWeight("v1", 2),)),), 1, LongestDeadline(15_000, 20)
)
GOSSIP = GossipMessage(
    node="r2",
    boot="b",
    address="127.0.0.1:2",
    tables=SUMMARIES,
    reads_store=True,
    leaving=False,
    loads={"r0": 3},
    ejected={"r1": 500},
    maybe_restarted=("r1",),
    placements=(Placement(("aa", "bb"), "r0"),),
    router_count=3,
    limits=(LimitReport("r2", 5.0, 10),),
    observed_loads=(ObservedLoad("r0", 90, 10, True),),
    slow_replicas=(SlowReplica("r0", 250, 10),),
    releases=(RELEASE,),
    store_restored=True,
    backpressure=Backpressure((RejectionLimit("lm", 3, 10),), (Rejection("r0", 10),)),
)
NOW = Millis(10_000)
SUSPECT = Suspect(SuspectKind.PART, "aa")
CRASHES = CrashMessage(
    "r2",
    (CrashReport("r0", NOW, 5, ("aa",)),),
    (ServedReport(SUSPECT, NOW),),
    (Hold(SUSPECT, HoldState.HELD, 1, NOW, Millis(20_000), 3, NOW),),
)
ORIGINS = OriginMessage("r2", (StreamOrigin("s1", "lm", "v1"),), ("s2",), ("s3",))
PAGE = RowPage([RowChange("r0", 5, upstream_data()), RowChange("r1", 6, None)], 6, False, 0)
ODD_VALUES = (
    *(-1, 0, 2**53, 2**63, 2**64 - 1, -(2**63), 0.5, 1e308, float("inf"), float("nan")),
    *(None, True, "", "\n", "odd", "\u0660", LONG, (), ("odd",), {}, {"odd": ()}, [[[1]]]),
)
JSON_ODD_VALUES = (*ODD_VALUES, 10**400, "\ud800", "1e999")


def with_each_replaced(value: Any, odd: Any) -> Iterator[Any]:
    """Yield copies of a decoded message, each with one value or a whole part replaced."""
    yield odd
    if isinstance(value, dict):
        for key, item in value.items():
            for changed in with_each_replaced(item, odd):
                yield {**value, key: changed}
    elif isinstance(value, (list, tuple)):
        for index, item in enumerate(value):
            for changed in with_each_replaced(item, odd):
                yield [*value[:index], changed, *value[index + 1 :]]
            yield [*value[:index], *value[index + 1 :]]


def packed(data: bytes, odd: Any) -> Iterator[bytes]:
    """Yield changed copies of a message in msgpack."""
    for changed in with_each_replaced(msgpack.unpackb(data, use_list=False), odd):
        yield msgpack.packb(changed)


def in_json(data: bytes, odd: Any) -> Iterator[bytes]:
    """Yield changed copies of a message in JSON."""
    for changed in with_each_replaced(json.loads(data), odd):
        yield json.dumps(changed).encode()


def in_headers(headers: dict[str, str], odd: Any) -> Iterator[list[tuple[bytes, bytes]]]:
    """Yield header fields one value of which is the text of an odd one."""
    text = str(odd).encode("latin-1", "replace")
    for name, value in headers.items():
        parts = value.encode().replace(b":", b",").replace(b"=", b",").split(b",")
        for part in {value.encode(), *parts}:
            changed = {**headers, name: value.encode().replace(part, text).decode("latin-1")}
            yield encode_headers(changed)


def steps_row(odd):
    """Yield changed copies of a row on software versions."""
    row = ReleaseRow(RELEASE.steps, RELEASE.deadline)
    yield from in_json(encode_release_row(row, 1000), odd)


STORE_ANSWER = json.dumps(
    {"rows": [{"key": "lm", "row_version": 2, "data": "e30="}], "row_version": 2, "now_ms": 5}
).encode()
SPLIT = [{**ROUTE, "traffic_split": [{"service": "lm", "weight": 1}], "allowed_regions": ["x"]}]
