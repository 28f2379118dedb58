"""Messages between routers about crashes, what was served, and what is held back.

They are sent only while there is something to report.  Times are sent as ages, since the clocks of
routers are not comparable.
"""

from dataclasses import dataclass
from typing import Any

import msgpack

from skylarklift.clock import Millis
from skylarklift.entry.crashes.crash_evidence import CRASH_TTL_MS, SERVED_TTL_MS
from skylarklift.entry.crashes.crash_records import CrashReport, Suspect, SuspectKind
from skylarklift.entry.crashes.quarantine import MAX_HOLD_MS, MAX_HOLDS, Hold, HoldState
from skylarklift.errors import PeerError
from skylarklift.ids import Fingerprint, ReplicaId
from skylarklift.util.bounded import (
    MAX_HASH,
    MAX_INTEGER,
    checked_integer,
    checked_list,
    checked_text,
)

# The first item of a message; gossip messages have another number there.
CRASH_FORMAT = 101
# Limits on a message, which also keep it within a datagram.
MAX_REPORTS = 256
MAX_REPORTED_PARTS = 400
MAX_HOLD_AGE_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class ServedReport:
    """A request that was served, or a part of one, although it was suspected."""

    suspect: Suspect
    served_at: Millis


@dataclass(frozen=True, slots=True)
class CrashMessage:
    """What a router reports to another one about crashes.

    `crashes` and `served` are new reports, `decisions` the holds and releases in force.
    """

    node: str
    crashes: tuple[CrashReport, ...] = ()
    served: tuple[ServedReport, ...] = ()
    decisions: tuple[Hold, ...] = ()


def encode_crash_message(message: CrashMessage, now: Millis) -> bytes:
    """Return a message as a datagram; above the limits, the newest reports are kept.

    The starts of the processes that crashed follow all else, where earlier releases skip them.
    """
    crashes = _newest_crashes(message.crashes)
    return msgpack.packb(
        (
            CRASH_FORMAT,
            message.node,
            [
                (item.fingerprint, item.replica, now - item.crashed_at, item.parts, item.answered)
                for item in crashes
            ],
            [
                (item.suspect.kind.value, item.suspect.name, now - item.served_at)
                for item in message.served[-MAX_REPORTS:]
            ],
            [
                (
                    hold.suspect.kind.value,
                    hold.suspect.name,
                    hold.state.value,
                    hold.term,
                    now - hold.held_at,
                    hold.until - now,
                    hold.crashes,
                )
                for hold in message.decisions[-MAX_HOLDS:]
            ],
            [item.started_ms for item in crashes],
        )
    )


def _newest_crashes(reports: tuple[CrashReport, ...]) -> list[CrashReport]:
    """Return the newest reports, within the limits on reports and on their parts."""
    kept: list[CrashReport] = []
    parts = 0
    for report in reversed(reports[-MAX_REPORTS:]):
        parts += len(report.parts)
        if parts > MAX_REPORTED_PARTS:
            break
        kept.append(report)
    return kept[::-1]


def is_crash_message(data: bytes) -> bool:
    """Return whether a datagram is a message about crashes, of a version that is understood."""
    unpacker = msgpack.Unpacker(max_buffer_size=len(data) or 1)
    unpacker.feed(data)
    try:
        return unpacker.read_array_header() > 0 and unpacker.unpack() == CRASH_FORMAT
    except (ValueError, msgpack.UnpackException):
        # The decoder of gossip messages reports what is wrong with it.
        return False


def decode_crash_message(data: bytes, now: Millis) -> CrashMessage:
    """Return the message in a datagram; raise `PeerError` if it is invalid."""
    try:
        _, node, crashes, served, decisions, *rest = msgpack.unpackb(data, use_list=False)
        starts = _decode_starts(rest, len(crashes))
        return CrashMessage(
            node=checked_text(node),
            crashes=tuple(
                CrashReport(
                    ReplicaId(checked_text(replica)),
                    _moment(now, age_ms, CRASH_TTL_MS),
                    Fingerprint(checked_integer(fingerprint, most=MAX_HASH)),
                    tuple(checked_text(part) for part in checked_list(parts)),
                    bool(answered),
                    started_ms,
                )
                for (fingerprint, replica, age_ms, parts, answered), started_ms in zip(
                    crashes, starts, strict=True
                )
            ),
            served=tuple(
                ServedReport(
                    Suspect(SuspectKind(kind), checked_text(name)),
                    _moment(now, age_ms, SERVED_TTL_MS),
                )
                for kind, name, age_ms in served
            ),
            decisions=tuple(_decode_hold(item, now) for item in decisions),
        )
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid crash message: {exc}") from exc


def _decode_starts(rest: list, count: int) -> list[int]:
    """Return when the processes of `count` crashes started, 0 where an earlier release names none.

    Raise `ValueError` if one is invalid.
    """
    starts = rest[0] if rest and isinstance(rest[0], tuple) else ()
    known = [checked_integer(started_ms) for started_ms in starts[:count]]
    return known + [0] * (count - len(known))


def _decode_hold(item: tuple, now: Millis) -> Hold:
    """Return a hold or a release; raise `ValueError` or `TypeError` if it is invalid."""
    kind, name, state, term, age_ms, left_ms, crashes = item
    return Hold(
        suspect=Suspect(SuspectKind(kind), checked_text(name)),
        state=HoldState(state),
        term=checked_integer(term),
        held_at=_moment(now, age_ms, MAX_HOLD_AGE_MS),
        until=Millis(now + min(_checked_span(left_ms), MAX_HOLD_MS)),
        crashes=checked_integer(crashes),
        learned_at=now,
    )


def _moment(now: Millis, age_ms: int, limit_ms: int) -> Millis:
    """Return the time that lies `age_ms` back, within 0 and `limit_ms`."""
    return Millis(now - min(max(_checked_span(age_ms), 0), limit_ms))


def _checked_span(value: Any) -> int:
    """Return a span in milliseconds, negative after its end; raise `ValueError`."""
    return checked_integer(value, -MAX_INTEGER)
