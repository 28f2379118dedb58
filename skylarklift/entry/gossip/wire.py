"""Encode the messages between routers: gossip in datagrams, rows in framed streams."""

import zlib
from collections.abc import Hashable, Sequence
from itertools import zip_longest
from typing import Any

import msgpack
import trio

from skylarklift.entry.gossip.backpressure_fields import (
    backpressure_fields,
    decode_backpressure,
)
from skylarklift.entry.gossip.early_end_fields import decode_early_ends, encode_early_ends
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.release_fields import (
    NOMINAL_STARTS_KEY,
    decode_releases,
    release_fields,
)
from skylarklift.entry.gossip.rollout_fields import decode_rollouts, rollout_fields
from skylarklift.entry.gossip.silences import SilenceReport
from skylarklift.entry.gossip.speed_fields import decode_slow_replicas, encode_slow_replicas
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.placement.prefixes import Placement
from skylarklift.entry.placement.rate_limits import LimitReport
from skylarklift.entry.state.rows import NO_ERA, Era, RowChange, RowPage, RowTable, TableSummary
from skylarklift.entry.versions.nominal_starts import MAX_SPANS, RouteWait
from skylarklift.errors import PeerError
from skylarklift.ids import ReplicaId, ServiceId
from skylarklift.util.bounded import (
    MAX_HASH,
    checked_age,
    checked_decimal,
    checked_integer,
    checked_list,
    checked_text,
)

GOSSIP_FORMAT = 2
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16_777_216
MAX_ROW_REQUEST_BYTES = 4096
READ_BYTES = 65536
# Keys of what was added to gossip messages since the first release of the format.
ROUTER_COUNT_KEY = "routers"
LIMITS_KEY = "limits"
ERAS_KEY = "eras"
OBSERVED_LOADS_KEY = "observed"
RELEASES_AGE_KEY = "releases_age"
SUSPECTED_RESTARTS_KEY = "suspected_restarts"
STORE_RESTORED_KEY = "store_restored"
ZONE_KEY = "zone"
CUT_ZONES_KEY = "cut_zones"
HOLD_OFFS_KEY = "hold_offs"
SILENCES_KEY = "silences"
ROUTE_WAITS_KEY = "route_waits"
SLOW_REPLICAS_KEY = "slow"
EARLY_ENDS_KEY = "early_ends"
# An empty field of these shows that the sender is of a release that knows the field.
SIGN_KEYS = (NOMINAL_STARTS_KEY, SLOW_REPLICAS_KEY)
COMPRESSION_LEVEL = 1


def encode_gossip(message: GossipMessage) -> bytes:
    """Return a gossip message as a datagram."""
    return msgpack.packb(
        (
            GOSSIP_FORMAT,
            message.node,
            message.boot,
            message.address,
            [
                (summary.version, summary.last_change_version, summary.digest, summary.age_ms)
                for summary in message.tables
            ],
            message.reads_store,
            message.leaving,
            message.loads,
            message.ejected,
            message.maybe_restarted,
            # Routers of earlier releases send an empty list here, and ignore what they get.
            _without_defaults(_extra_fields(message)),
            [(placement.part_names, placement.replica) for placement in message.placements],
        )
    )


def _extra_fields(message: GossipMessage) -> dict[str, Any]:
    """Return what was added to the message since the first release of the format."""
    return {
        ROUTER_COUNT_KEY: message.router_count,
        LIMITS_KEY: [
            (report.replica, report.per_second, report.age_ms) for report in message.limits
        ],
        RELEASES_AGE_KEY: message.releases_age_ms,
        SUSPECTED_RESTARTS_KEY: message.suspected_restarts,
        STORE_RESTORED_KEY: message.store_restored,
        ZONE_KEY: message.zone,
        CUT_ZONES_KEY: message.cut_zones,
        HOLD_OFFS_KEY: message.hold_offs,
        SILENCES_KEY: [(item.began_ms, max(0, item.ended_ms)) for item in message.silences],
        ROUTE_WAITS_KEY: [
            (
                wait.service,
                wait.route,
                wait.timeout_ms,
                wait.longest_ms,
                wait.mean_ms,
                wait.count,
            )
            for wait in message.route_waits
        ],
        ERAS_KEY: [summary.era for summary in message.tables],
        OBSERVED_LOADS_KEY: [
            (observed.replica, observed.load, observed.age_ms, observed.urgent)
            for observed in message.observed_loads
        ],
        SLOW_REPLICAS_KEY: encode_slow_replicas(message.slow_replicas),
        EARLY_ENDS_KEY: encode_early_ends(message.early_ends),
        **release_fields(message.releases),
        **backpressure_fields(message.backpressure),
        **rollout_fields(message.rollouts),
    }


def _without_defaults(extras: dict[str, Any]) -> dict[str, Any]:
    """Return the fields without those whose absence means the same.

    In a calm fleet their names would be most of the message.
    """
    return {
        name: value for name, value in extras.items() if name in SIGN_KEYS or not _is_default(value)
    }


def _is_default(value: Any) -> bool:
    """Return whether a receiver takes a missing field for this value; 0 may be an age."""
    return value is None or value is False or value in ("", (), [], {})


def decode_gossip(data: bytes) -> GossipMessage:
    """Return the gossip message in a datagram; raise `PeerError` if it is invalid."""
    try:
        format_number, *items = msgpack.unpackb(data, use_list=False)
        if format_number != GOSSIP_FORMAT:
            raise PeerError(f"gossip message has format {format_number}, expected {GOSSIP_FORMAT}")
        node, boot, address, tables, reads_store, leaving, *rest = items
        loads, ejected, maybe_restarted, extras, placements = rest
        extras = extras if isinstance(extras, dict) else {}
        return GossipMessage(
            node=checked_text(node),
            boot=checked_text(boot),
            address=checked_text(address),
            tables=_decode_summaries(tables, extras.get(ERAS_KEY, ())),
            reads_store=bool(reads_store),
            leaving=bool(leaving),
            loads={checked_text(name): checked_integer(count) for name, count in loads.items()},
            ejected={checked_text(name): checked_age(left) for name, left in ejected.items()},
            maybe_restarted=tuple(checked_text(name) for name in maybe_restarted),
            placements=tuple(
                Placement(
                    tuple(checked_text(name) for name in checked_list(names)),
                    ReplicaId(checked_text(replica)),
                )
                for names, replica in placements
            ),
            router_count=checked_integer(extras.get(ROUTER_COUNT_KEY, 0)),
            limits=tuple(_decode_limit(*fields) for fields in extras.get(LIMITS_KEY, ())),
            observed_loads=tuple(
                decode_observed_load(*fields) for fields in extras.get(OBSERVED_LOADS_KEY, ())
            ),
            slow_replicas=decode_slow_replicas(extras.get(SLOW_REPLICAS_KEY, ())),
            knows_slow_replicas=SLOW_REPLICAS_KEY in extras,
            early_ends=decode_early_ends(extras.get(EARLY_ENDS_KEY, ())),
            suspected_restarts=tuple(
                checked_text(name) for name in extras.get(SUSPECTED_RESTARTS_KEY, ())
            ),
            store_restored=bool(extras.get(STORE_RESTORED_KEY, False)),
            zone=checked_text(extras.get(ZONE_KEY, "")),
            cut_zones=tuple(checked_text(name) for name in extras.get(CUT_ZONES_KEY, ())),
            hold_offs={
                checked_text(name): checked_age(left)
                for name, left in extras.get(HOLD_OFFS_KEY, {}).items()
            },
            releases_age_ms=_optional_age(extras.get(RELEASES_AGE_KEY)),
            backpressure=decode_backpressure(extras),
            releases=decode_releases(extras),
            rollouts=decode_rollouts(extras),
            route_waits=tuple(
                _decode_wait(*fields) for fields in extras.get(ROUTE_WAITS_KEY, ())[:MAX_SPANS]
            ),
            knows_nominal_starts=NOMINAL_STARTS_KEY in extras,
            silences=tuple(_decode_silence(*ages) for ages in extras.get(SILENCES_KEY, ())),
        )
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid gossip message: {exc}") from exc


def _decode_silence(began_ms: Any, ended_ms: Any) -> SilenceReport:
    """Return a silence that ended; raise `ValueError`."""
    return SilenceReport(checked_age(began_ms), checked_age(ended_ms))


def _optional_age(value: Any) -> int | None:
    """Return a span in milliseconds, `None` without one; raise `ValueError`."""
    return None if value is None else checked_age(value)


def _decode_limit(replica: Any, per_second: Any, age_ms: Any) -> LimitReport:
    """Return what another router knows of an upstream's limit; raise `ValueError`."""
    rate = None if per_second is None else checked_decimal(per_second)
    return LimitReport(ReplicaId(checked_text(replica)), rate, checked_age(age_ms))


def decode_observed_load(replica: Any, load: Any, age_ms: Any, urgent: Any) -> ObservedLoad:
    """Return what another router observed of an upstream's load; raise `ValueError`."""
    return ObservedLoad(
        ReplicaId(checked_text(replica)), checked_integer(load), checked_age(age_ms), bool(urgent)
    )


def _decode_summaries(tables: Sequence, eras: Sequence) -> tuple[TableSummary, ...]:
    """Return the summaries of all tables; routers of earlier releases send no eras."""
    if len(tables) != len(RowTable) or len(eras) > len(tables):
        raise ValueError(f"summaries of {len(tables)} tables")
    return tuple(
        TableSummary(
            checked_integer(version),
            checked_integer(last_change_version),
            checked_integer(digest, most=MAX_HASH),
            checked_age(age_ms),
            Era(checked_integer(era)),
        )
        for (version, last_change_version, digest, age_ms), era in zip_longest(
            tables, eras, fillvalue=NO_ERA
        )
    )


def _decode_wait(service: Any, route: Any, *numbers: Any) -> RouteWait:
    """Return how long the callers of a route wait; raise `ValueError`."""
    timeout_ms, longest_ms, mean_ms, count = map(checked_integer, numbers)
    return RouteWait(
        ServiceId(checked_text(service)),
        checked_text(route),
        timeout_ms,
        longest_ms,
        mean_ms,
        count,
    )


def encode_page(page: RowPage, *, with_era: bool = True) -> bytes:
    """Return rows as a compressed message; routers of earlier releases refuse one with an era."""
    rows = [(row.key, row.version, row.data) for row in page.rows]
    fields = (page.version, page.complete, rows)
    if with_era:
        fields += (page.era,)
    return zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


class PageEncoder:
    """Encode pages of rows, keeping the last message, since many routers request the same."""

    def __init__(self):
        self._key: Hashable = None
        self._message = b""

    def encode(self, page: RowPage, *, with_era: bool) -> bytes:
        """Return a page as a compressed message."""
        first_key = page.rows[0].key if page.rows else ""
        key = (page.era, page.version, page.complete, len(page.rows), first_key, with_era)
        if self._key != key:
            self._key, self._message = key, encode_page(page, with_era=with_era)
        return self._message


def decode_page(data: bytes) -> RowPage:
    """Return the rows of a message; raise `PeerError` if it is invalid or too long."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, MAX_FRAME_BYTES)
        if unpacker.unconsumed_tail:
            raise PeerError(f"page of rows exceeds {MAX_FRAME_BYTES} bytes")
        version, complete, rows, *eras = msgpack.unpackb(text)
        changes = [_decode_row(*fields) for fields in checked_list(rows)]
        era = Era(checked_integer(eras[0])) if eras else NO_ERA
        return RowPage(changes, checked_integer(version), bool(complete), era)
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid page of rows: {exc}") from exc


def _decode_row(key: Any, version: Any, data: Any) -> RowChange:
    """Return one row of a page; raise `ValueError`."""
    if data is not None and not isinstance(data, bytes):
        raise ValueError("the data of a row is not binary")
    return RowChange(checked_text(key), checked_integer(version), data)


async def send_frame(stream: trio.abc.Stream, body: bytes) -> None:
    """Send one message after its length in `LENGTH_BYTES` bytes."""
    await stream.send_all(len(body).to_bytes(LENGTH_BYTES, "big") + body)


async def receive_frame(stream: trio.abc.Stream, limit: int) -> bytes | None:
    """Return the next message, or `None` if the connection ends; raise `PeerError` if too long."""
    head = await _receive_exactly(stream, LENGTH_BYTES)
    if head is None:
        return None
    length = int.from_bytes(head, "big")
    if length > limit:
        raise PeerError(f"message of {length} bytes exceeds the limit of {limit}")
    return await _receive_exactly(stream, length)


async def _receive_exactly(stream: trio.abc.Stream, count: int) -> bytes | None:
    """Return the next `count` bytes, or `None` if the connection ends before."""
    parts, size = [], 0
    while size < count:
        data = await stream.receive_some(min(READ_BYTES, count - size))
        if not data:
            return None
        parts.append(data)
        size += len(data)
    return b"".join(parts)
