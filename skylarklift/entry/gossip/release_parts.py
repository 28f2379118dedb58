"""Send the rows on software versions in parts, in turn, where they do not fit into a message.

A message with all rows says that they were the newest ones; one with a part of them cannot.  So a
digest of all rows goes beside each part, and confirms them where it is the receiver's, too.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

import msgpack
from xxhash import xxh3_64_intdigest

from skylarklift.clock import Clock, Millis
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.wire import encode_gossip
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.releases import REPORT_DELAY_MS, Releases
from skylarklift.errors import PeerError
from skylarklift.ids import ServiceId
from skylarklift.util.bounded import MAX_HASH, checked_integer

# The first item of a message; other messages between routers have other numbers there.
DIGEST_FORMAT = 105
# The rows of one message; as much is left for the rest of it.
MAX_ROWS_BYTES = 32_768
# Rows that have changed within this time come first, in half of the room for rows.
RECENT_MS = 3000
EMPTY_MESSAGE = GossipMessage("", "", "", ())
EMPTY_BYTES = len(encode_gossip(EMPTY_MESSAGE))


@dataclass(frozen=True, slots=True)
class RowState:
    """What identifies a row, when that changed, and the size of the row in a message."""

    era: int
    row_version: int
    changed_at: Millis
    size: int


@dataclass(frozen=True, slots=True)
class RowsDigest:
    """A digest of all rows of a router, which were the newest ones `age_ms` ago."""

    digest: int
    age_ms: int


class ReleaseParts:
    """The rows that the next message to each router has."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._rows: dict[ServiceId, RowState] = {}
        # By a router, the service whose row its next message begins with.
        self._next: dict[str, ServiceId] = {}

    def select(self, node: str, reports: Sequence[ReleaseReport]) -> tuple[ReleaseReport, ...]:
        """Return the rows, recorded before, for the next message to a router: all if they fit."""
        if sum(self._rows[report.service].size for report in reports) <= MAX_ROWS_BYTES:
            return tuple(reports)
        chosen = self._fill(self._recent(reports), MAX_ROWS_BYTES // 2)
        names = {report.service for report in chosen}
        used = sum(self._rows[name].size for name in names)
        rest = [report for report in self._in_turn(node, reports) if report.service not in names]
        filled = self._fill(rest, MAX_ROWS_BYTES - used)
        self._next[node] = rest[len(filled) % len(rest)].service
        return (*chosen, *filled)

    def forget_others(self, nodes: Collection[str]) -> None:
        """Forget the turns of all routers but these."""
        if len(self._next) > len(nodes):
            self._next = {node: name for node, name in self._next.items() if node in nodes}

    def record(self, reports: Sequence[ReleaseReport]) -> None:
        """Record which rows have changed, and their sizes."""
        now, rows = self._clock.now(), {}
        for report in reports:
            known = self._rows.get(report.service)
            if known is None or (known.era, known.row_version) != (report.era, report.row_version):
                data = encode_gossip(replace(EMPTY_MESSAGE, releases=(report,)))
                size = len(data) - EMPTY_BYTES
                known = RowState(report.era, report.row_version, now, size)
            rows[report.service] = known
        self._rows = rows

    def _recent(self, reports: Sequence[ReleaseReport]) -> list[ReleaseReport]:
        """Return the rows that have changed lately, the newest first."""
        since = self._clock.now() - RECENT_MS
        found = [report for report in reports if self._rows[report.service].changed_at > since]
        return sorted(found, key=lambda report: -self._rows[report.service].changed_at)

    def _in_turn(self, node: str, reports: Sequence[ReleaseReport]) -> list[ReleaseReport]:
        """Return all rows, beginning with the one whose turn it is for a router."""
        first = self._next.get(node, "")
        return sorted(reports, key=lambda report: (report.service < first, report.service))

    def _fill(self, reports: Sequence[ReleaseReport], room: int) -> list[ReleaseReport]:
        """Return the first rows that fit, one at least if there is any."""
        found: list[ReleaseReport] = []
        for report in reports:
            room -= self._rows[report.service].size
            if room < 0 and found:
                break
            found.append(report)
        return found


class RoundEncoder:
    """The messages of one round, each encoded once for all routers that get the same one."""

    def __init__(self, parts: ReleaseParts, make_message: Callable[[Millis], GossipMessage]):
        self._parts = parts
        self._make_message = make_message
        self._messages: dict[Millis, GossipMessage] = {}
        self._encoded: dict[tuple[Millis, tuple[ServiceId, ...]], list[bytes]] = {}

    def encode(self, node: str, since: Millis) -> list[bytes]:
        """Return the datagrams for a router, with the placements after `since`."""
        if since not in self._messages:
            self._messages[since] = self._make_message(since)
            self._parts.record(self._messages[since].releases)
        message = self._messages[since]
        part = self._parts.select(node, message.releases)
        key = since, tuple(report.service for report in part)
        if key not in self._encoded:
            self._encoded[key] = encode_with_part(message, part)
        return self._encoded[key]


def encode_with_part(message: GossipMessage, part: tuple[ReleaseReport, ...]) -> list[bytes]:
    """Return a message with some of its rows on software versions, and a digest of them all."""
    if len(part) == len(message.releases):
        return [encode_gossip(message)]
    data = encode_gossip(replace(message, releases=part, releases_age_ms=None))
    if message.releases_age_ms is None:
        return [data]
    digest = RowsDigest(digest_rows(message.releases), message.releases_age_ms)
    return [data, encode_digest(digest)]


def confirm_by_digest(releases: Releases, data: bytes, waited_ms: int) -> None:
    """Confirm the known rows by a datagram that arrived `waited_ms` ago; raise `PeerError`."""
    message = decode_digest(data)
    if digest_rows(releases.reports()) == message.digest:
        releases.confirm(message.age_ms + waited_ms + REPORT_DELAY_MS)


def digest_rows(reports: Sequence[ReleaseReport]) -> int:
    """Return a digest of the services of rows, their eras and versions."""
    rows = sorted((report.service, report.era, report.row_version) for report in reports)
    return xxh3_64_intdigest(msgpack.packb(rows)) & MAX_HASH


def encode_digest(message: RowsDigest) -> bytes:
    """Return a digest of all rows as a datagram."""
    return msgpack.packb((DIGEST_FORMAT, message.digest, message.age_ms))


def is_digest(data: bytes) -> bool:
    """Return whether a datagram is a digest of all rows of a router."""
    return data[1:2] == msgpack.packb(DIGEST_FORMAT)


def decode_digest(data: bytes) -> RowsDigest:
    """Return the digest in a datagram; raise `PeerError` if it is invalid."""
    try:
        _, digest, age_ms = msgpack.unpackb(data, use_list=False)
        return RowsDigest(checked_integer(digest, most=MAX_HASH), checked_integer(age_ms))
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid digest of rows on versions: {exc}") from exc
