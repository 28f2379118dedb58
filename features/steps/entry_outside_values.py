"""Steps for numbers, text and messages from other processes that no sound one sends."""

from collections.abc import Callable
from typing import Any

import httpx
import trio
from behave import then, when

from features.entry_fixtures import (
    choose,
    new_call,
    plan_data,
    upstream_data,
)
from features.outside_values import (
    ANSWER_HEADERS,
    CODEC,
    DEEP,
    LONG,
    REQUEST_HEADERS,
    answer_call,
    encode_headers,
)
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.model import Endpoint, SendOptions
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.state.rows import InvalidRow, RowTable
from skylarklift.errors import (
    BadRequest,
    ResponseInvalid,
    StoreError,
)
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import PlatformStore
from skylarklift.store.http import HttpStore
from skylarklift.upstreams.events import EventSplitter
from skylarklift.upstreams.reports import LoadReportClient


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
