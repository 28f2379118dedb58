"""Steps for numbers, text and messages from other processes that no sound one sends."""

import json
import zlib
from collections.abc import Callable, Iterator
from typing import Any

import httpx
import msgpack
import trio
from behave import then, when
from hypothesis import given as example
from hypothesis import settings, strategies

from features.entry_fixtures import (
    ROUTE,
    choose,
    core_with_replicas,
    new_call,
    plan_data,
    upstream_data,
)
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.crashes.crash_evidence import CrashReport, Suspect, SuspectKind
from skylarklift.entry.crashes.crash_messages import (
    CrashMessage,
    ServedReport,
    encode_crash_message,
)
from skylarklift.entry.crashes.quarantine import Hold, HoldState
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.load_messages import encode_load_message
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.wire import decode_gossip, decode_page, encode_gossip, encode_page
from skylarklift.entry.model import Endpoint, SendOptions
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.placement.prefixes import Placement
from skylarklift.entry.placement.rate_limits import LimitReport
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.state.follower import apply_page, rows_for_request
from skylarklift.entry.state.rows import InvalidRow, RowChange, RowPage, RowTable, TableSummary
from skylarklift.entry.versions.origin_messages import (
    OriginMessage,
    encode_origin_message,
)
from skylarklift.entry.versions.releases import (
    ReleaseReport,
    ReleaseRow,
    ReleaseStep,
    VersionWeight,
    decode_release_row,
    encode_release_row,
)
from skylarklift.entry.versions.stream_deadlines import LongestDeadline
from skylarklift.entry.versions.stream_origins import StreamOrigin
from skylarklift.errors import (
    BadRequest,
    PeerError,
    ResponseInvalid,
    SkylarkError,
    StoreError,
)
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import PlatformStore
from skylarklift.store.http import HttpStore
from skylarklift.upstreams.events import EventSplitter
from skylarklift.upstreams.reports import LoadReportClient

LONG = "9" * 5000
DEEP = "[" * 100_000
CODEC = PlatformHeaderCodec()
REQUEST_HEADERS = {
    "host": "app.example",
    "x-attempt-id": "q1",
    "x-api-key": "k1",
    "x-deadline-ms": "3000",
    "last-event-id": "4",
    "x-prefix-hash": "aa:10,bb:20",
    "resumes": "q0",
}
ANSWER_HEADERS = {
    "x-attempt-id": "q1",
    "x-replica-signature": "s",
    "x-replica-load": "3,0,8",
    "x-cold-start-ms": "100",
    "keep-alive": "timeout=5",
    "retry-after": "1",
    "server-limit": "5",
    "content-length": "2",
}


def encode_headers(headers, **changed):
    """Return header fields as bytes; `_` in the names of changed ones stands for `-`."""
    fields = {**headers, **{name.replace("_", "-"): value for name, value in changed.items()}}
    return [(name.encode(), str(value).encode("latin-1")) for name, value in fields.items()]


def read_request(**changed):
    """Return what a router makes of a request with changed header fields."""
    try:
        headers = encode_headers(REQUEST_HEADERS, **changed)
        call = CODEC.decode_request(b"POST", b"/chat/x", headers, Millis(0))
    except BadRequest as exc:
        return f"{exc.status} {exc.code}"
    return f"a deadline of {call.deadline_ms}" if call.deadline_ms else "no deadline"


def read_answer(name, status=200, **changed):
    """Return what a router knows by the head of an answer with a changed header field."""
    head = CODEC.decode_response_head(status, encode_headers(ANSWER_HEADERS, **changed))
    if head.limit_unreadable:
        return "an unreadable limit"
    bounded = {"hold-off": head.hold_off_ms, "limit": head.request_limit}.get(name)
    if bounded is not None:
        return f"a bounded {name}" if bounded < 2**53 else f"{name} {bounded}"
    kept = {"load": head.load, "cold time": head.cold_ms, "keep-alive": head.keep_alive_ms}
    return f"no {name}" if kept[name] is None else f"{name} {kept[name]}"


def read_event():
    """Return what a router makes of an event with a long id."""
    try:
        return EventSplitter().feed(f"id: {LONG}\ndata: x\n\n".encode())
    except ResponseInvalid:
        return "an invalid answer"


def read_row(key, data, table=RowTable.UPSTREAMS):
    """Return what the row format makes of a row."""
    try:
        return PlatformRowFormat().decode(table, key, data)
    except InvalidRow:
        return "an invalid row"


def read_plan(replaced, by):
    """Return what the row format makes of a configuration with one text replaced."""
    data = plan_data()
    assert replaced in data, data
    return read_row("config", data.replace(replaced, by), RowTable.OPERATOR)


def read_store(text, **headers):
    """Return what the client of the platform's store makes of an answer."""
    store = PlatformStore(Endpoint("127.0.0.1", 1), PlatformRowFormat(), ManualClock(0))

    async def answer(*arguments):
        try:
            return await store.read_table(RowTable.UPSTREAMS)
        except StoreError:
            return "a store error"

    fields = encode_headers({}, **headers)
    store._call = answer_call(store, 200, fields, text.encode())
    return trio.run(answer)


def answer_call(store, status, headers, text):
    """Return a replacement of the store's calls that answers always the same."""

    async def call(*arguments, **options):
        try:
            return store._decode_answer(status, headers, text)
        except ValueError as exc:
            raise StoreError(str(exc)) from exc

    return call


def transport_of(text):
    """Return a transport whose answers all have the same body."""
    return httpx.MockTransport(lambda request: httpx.Response(200, text=text))


def read_own_store():
    """Return what the own deployment's store client makes of an answer that is no JSON."""

    async def read():
        store = HttpStore("http://store", 1000)
        store._client = httpx.AsyncClient(base_url="http://store", transport=transport_of("{odd"))
        try:
            return await store.read("k")
        except StoreError:
            return "a store error"

    return trio.run(read)


def read_report(text):
    """Return what the own deployment makes of an engine's load report."""

    async def read():
        reports = LoadReportClient()
        reports._transport = transport_of(text)
        return await reports.read("http://engine")

    found = trio.run(read)
    return "no report" if found is None else found


READS: dict[str, Callable[[], Any]] = {
    "a request with a long deadline": lambda: read_request(x_deadline_ms=LONG),
    "a request with a long last event id": lambda: read_request(last_event_id=LONG),
    "a request with a long number of tokens": lambda: read_request(x_prefix_hash=f"aa:{LONG}"),
    "a request with a superscript as tokens": lambda: read_request(x_prefix_hash="aa:\u00b2"),
    "a request with a word as deadline": lambda: read_request(x_deadline_ms="soon"),
    "an answer with a load of 1e20": lambda: read_answer("load", x_replica_load=f"{10**20},0,8"),
    "an answer with a load of 5,000 digits": lambda: read_answer(
        "load", x_replica_load=f"{LONG},0,8"
    ),
    "an answer with a long cold time": lambda: read_answer("cold time", x_cold_start_ms=LONG),
    "an answer with a long keep-alive": lambda: read_answer(
        "keep-alive", keep_alive=f"timeout={LONG}"
    ),
    "an answer with a hold-off of 1e308": lambda: read_answer("hold-off", 503, retry_after="1e308"),
    "an answer with a limit of 1e308": lambda: read_answer("limit", server_limit="1e308"),
    "an answer with a limit of NaN": lambda: read_answer("limit", server_limit="nan"),
    "an event with an id of 5,000 digits": read_event,
    "an entry with a port of 5,000 digits": lambda: read_row("r0", upstream_data(port=LONG)),
    "an entry with a line break in its key": lambda: read_row("r\r\n0", upstream_data()),
    "a configuration with the version 1e999": lambda: read_plan(
        b'"version": 1,', b'"version": 1e999,'
    ),
    "a configuration with a weight in words": lambda: read_row(
        "config",
        plan_data(routes=[{"traffic_split": [{"service": "lm", "weight": "some"}]}]),
        RowTable.OPERATOR,
    ),
    "a configuration with half a surrogate": lambda: read_plan(b'"chat"', b'"\\ud800"'),
    "a store's answer with the time 1e999": lambda: read_store(
        '{"rows":[],"row_version":1,"now_ms":1e999}'
    ),
    "a store's answer with an era of 5,000 digits": lambda: read_store(
        '{"rows":[],"row_version":1,"now_ms":1}', store_era=LONG
    ),
    "a store's answer with 100,000 nested lists": lambda: read_store(DEEP),
    "an own store's answer that is no JSON": read_own_store,
    "a load report of 1e999": lambda: read_report('{"running":1e999,"boot":"b","age_ms":1}'),
    "a load report of 100,000 nested lists": lambda: read_report(DEEP),
}


@when("a router reads {where}")
def router_reads(context, where):
    context.given = READS[where]()


@then('what it read is "{result}"')
def gives(context, result):
    assert context.given == result, context.given


# Sound messages, one value of which is replaced after another.

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
    releases=(RELEASE,),
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


def use_datagram(core, data):
    """Let a router read and apply a datagram."""
    peering = Peering(core, members=None)

    async def apply():
        async with trio.open_nursery(strict_exception_groups=False) as nursery:
            peering._apply_datagram(data, Endpoint("127.0.0.1", 2), nursery)
            nursery.cancel_scope.cancel()

    trio.run(apply)


def use_row(core, table, key, data):
    """Let a router apply a row, and a request choose by what it knows then."""
    core.row_format.decode(table, key, data)
    version = core.cluster_state.caches[table].version + 1
    apply_page(core, table, RowPage([RowChange(key, version, data)], version, False), "test", 0)
    if core.cluster_state.plan.route("app.example", "/chat/x") is None:
        return
    choice = choose(core, new_call())
    if isinstance(choice, Choice):
        name = core.cluster_state.plan.workspace("k1")
        options = SendOptions(choice.upstream.record.replica, name and name.name, 1, 0, 1)
        CODEC.encode_upstream_headers(new_call(), options)


def use_store_answer(core, data):
    """Let the client of the store decode an answer."""
    store = PlatformStore(Endpoint("127.0.0.1", 1), PlatformRowFormat(), ManualClock(0))
    store._call = answer_call(store, 200, [], data)

    async def read():
        await store.read_releases()
        await store.read_table(RowTable.UPSTREAMS)

    trio.run(read)


def use_answer_head(core, headers):
    """Let a router record what the head of an answer tells of a replica."""
    call = new_call()
    choice = choose(core, call)
    if not isinstance(choice, Choice):
        return
    options = SendOptions(choice.upstream.record.replica, None, 100, None, None)
    attempt = Attempt(core, call, choice, options, repeatable=True)
    attempt._record_upstream_state(CODEC.decode_response_head(503, headers))
    encode_load_message(core.chooser.observed_loads.reports())


def use_request_head(core, headers):
    """Let a router read the head of a request and choose for it."""
    call = CODEC.decode_request(b"POST", b"/chat/x", headers, Millis(0))
    choose(core, call)


def steps_row(odd):
    """Yield changed copies of a row on software versions."""
    row = ReleaseRow(RELEASE.steps, RELEASE.deadline)
    yield from in_json(encode_release_row(row, 1000), odd)


STORE_ANSWER = json.dumps(
    {"rows": [{"key": "lm", "row_version": 2, "data": "e30="}], "row_version": 2, "now_ms": 5}
).encode()
SPLIT = [{**ROUTE, "traffic_split": [{"service": "lm", "weight": 1}], "allowed_regions": ["x"]}]
# By the name of a message: its changed copies, what a router does with one, and its own error.
FUZZED = {
    "gossip message": (
        lambda odd: packed(encode_gossip(GOSSIP), odd),
        use_datagram,
        PeerError,
    ),
    "message about loads": (
        lambda odd: packed(encode_load_message(GOSSIP.observed_loads), odd),
        use_datagram,
        PeerError,
    ),
    "message about streams": (
        lambda odd: packed(encode_origin_message(ORIGINS), odd),
        use_datagram,
        PeerError,
    ),
    "message about crashes": (
        lambda odd: packed(encode_crash_message(CRASHES, NOW), odd),
        use_datagram,
        PeerError,
    ),
    "page of rows": (
        lambda odd: packed(zlib.decompress(encode_page(PAGE)), odd),
        lambda core, data: apply_page(
            core, RowTable.UPSTREAMS, decode_page(zlib.compress(data)), "test", 0
        ),
        PeerError,
    ),
    "request for rows": (
        lambda odd: packed(msgpack.packb((1, 5, 0)), odd),
        rows_for_request,
        PeerError,
    ),
    "entry of an upstream": (
        lambda odd: in_json(upstream_data(), odd),
        lambda core, data: use_row(core, RowTable.UPSTREAMS, "r0", data),
        InvalidRow,
    ),
    "configuration": (
        lambda odd: in_json(plan_data(version=2, routes=SPLIT), odd),
        lambda core, data: use_row(core, RowTable.OPERATOR, "config", data),
        InvalidRow,
    ),
    "row on software versions": (
        steps_row,
        lambda core, data: core.apply_release(
            ReleaseReport("lm", 9, decode_release_row(data, 1000).steps), "test"
        ),
        SkylarkError,
    ),
    "answer of the store": (
        lambda odd: in_json(STORE_ANSWER, odd),
        use_store_answer,
        StoreError,
    ),
    "head of an answer": (
        lambda odd: in_headers(ANSWER_HEADERS, odd),
        use_answer_head,
        SkylarkError,
    ),
    "head of a request": (
        lambda odd: in_headers(REQUEST_HEADERS, odd),
        use_request_head,
        BadRequest,
    ),
}


@when("one value of a sound {message} after another is replaced by an odd one")
def values_replaced(context, message):
    copies, context.use, context.own_error = FUZZED[message]
    context.copies = [
        copy for odd in JSON_ODD_VALUES for copy in copies_or_none(copies, odd) if copy is not None
    ]


def copies_or_none(copies, odd):
    """Return the copies with an odd value, none if the format of the message cannot hold it."""
    try:
        return list(copies(odd))
    except (OverflowError, UnicodeEncodeError):
        assert odd in (10**400, "\ud800"), odd
        return []


@then("each is read or refused with its own error, and the router goes on with what was read")
def read_or_refused(context):
    assert len(context.copies) > len(ODD_VALUES)
    for copy in context.copies:
        check_copy(context, copy)

    @example(strategies.sampled_from(context.copies), strategies.binary(max_size=8))
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    def check_broken(copy, noise):
        if isinstance(copy, bytes):
            check_copy(context, copy[: len(copy) // 2] + noise + copy[len(copy) // 2 :])

    check_broken()


def check_copy(context, copy):
    """Let a router use a message; it may refuse it, and must then send what it knows."""
    core = core_with_replicas(3)
    core.row_format = PlatformRowFormat()
    try:
        context.use(core, copy)
    except context.own_error:
        pass
    except Exception as exc:
        raise AssertionError(f"{copy[:400]!r}: {exc!r}") from exc
    decode_gossip(encode_gossip(Peering(core, members=None)._make_message(Millis(0))))
    encode_page(core.cluster_state.caches[RowTable.UPSTREAMS].all_rows())
    if core.cluster_state.plan.route("app.example", "/chat/x") is not None:
        choose(core, new_call())


@when("a replica names a limit of {limit:d}, and then one that cannot be read")
def names_limits(context, limit):
    core = context.core
    choice = choose(core, new_call())
    context.replica = choice.upstream.record.replica
    options = SendOptions(context.replica, None, 100, None, None)
    for text in (str(limit), "many"):
        core.clock.advance(100)
        attempt = Attempt(core, new_call(), choice, options, repeatable=True)
        core.clock.advance(100)
        head = CODEC.decode_response_head(200, encode_headers(ANSWER_HEADERS, server_limit=text))
        attempt._record_upstream_state(head)


@then("the replica still has a limit of {limit:d}")
def still_limited(context, limit):
    (report,) = context.core.chooser.rate_limits.reports()
    assert (report.replica, report.per_second) == (context.replica, limit), report
