"""Steps that let a router read and use messages in which one value is an odd one."""

import zlib

import msgpack
import trio
from behave import then, when
from hypothesis import given as example
from hypothesis import settings, strategies

from features.entry_fixtures import (
    choose,
    core_with_replicas,
    new_call,
    plan_data,
    upstream_data,
)
from features.odd_copies import (
    CRASHES,
    GOSSIP,
    JSON_ODD_VALUES,
    NOW,
    ODD_VALUES,
    ORIGINS,
    PAGE,
    SPLIT,
    STORE_ANSWER,
    in_headers,
    in_json,
    packed,
    steps_row,
)
from features.outside_values import (
    ANSWER_HEADERS,
    CODEC,
    REQUEST_HEADERS,
    answer_call,
)
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.crashes.crash_messages import (
    encode_crash_message,
)
from skylarklift.entry.gossip.load_messages import LoadMessage, encode_load_message
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.wire import decode_gossip, decode_page, encode_gossip, encode_page
from skylarklift.entry.model import Endpoint, SendOptions
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.state.follower import apply_page, rows_for_request
from skylarklift.entry.state.rows import InvalidRow, RowChange, RowPage, RowTable
from skylarklift.entry.versions.origin_messages import (
    encode_origin_message,
)
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_release_row
from skylarklift.errors import (
    BadRequest,
    PeerError,
    SkylarkError,
    StoreError,
)
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import PlatformStore


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
    loads, slow = core.chooser.observed_loads.reports(), core.chooser.speeds.reports()
    encode_load_message(LoadMessage(loads, slow))


def use_request_head(core, headers):
    """Let a router read the head of a request and choose for it."""
    call = CODEC.decode_request(b"POST", b"/chat/x", headers, Millis(0))
    choose(core, call)


# By the name of a message: its changed copies, what a router does with one, and its own error.
FUZZED = {
    "gossip message": (
        lambda odd: packed(encode_gossip(GOSSIP), odd),
        use_datagram,
        PeerError,
    ),
    "message about loads": (
        lambda odd: packed(
            encode_load_message(LoadMessage(GOSSIP.observed_loads, GOSSIP.slow_replicas)), odd
        ),
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
