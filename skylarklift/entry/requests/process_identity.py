"""Ask an upstream's process when it started, to tell it from the one that its entry describes.

A process that restarts at once under its name may run other software before its entry says so.  A
connection belongs to one process for life, so one question tells for all that comes on it.
"""

from enum import Enum

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.model import ProcessStart, UpstreamRecord
from skylarklift.entry.requests.http_connection import HttpConnection, UpstreamStream
from skylarklift.entry.requests.status_format import StatusFormat
from skylarklift.entry.state.upstream import Upstream
from skylarklift.errors import ConnectFailed, TransportError
from skylarklift.ids import ServiceId, SoftwareVersion

ANSWER_TIMEOUT_MS = 250
MAX_STATUS_BYTES = 65536
MAX_ASKED = 8
ASK_INTERVAL_MS = 1000
STATUS_OK = 200
# Statuses of a process that does not know the question.
NOT_SUPPORTED_STATUSES = (404, 405, 501)


class Identity(Enum):
    """Whether a process is the one that an entry describes.

    `UNKNOWN`: it does not know the question, or its entry names no start.  `UNANSWERED`: it said
    nothing readable in time, as one that has just been replaced.
    """

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"
    UNANSWERED = "unanswered"


class StatusReason(Enum):
    """Why a process is asked: the kinds of the metric on status requests.

    `CONNECTION`: a stream is to use a connection.  `SUSPECT`: the process may have restarted.
    `ANSWER_END`: only the end of its connection completes an answer.
    """

    CONNECTION = "connection"
    SUSPECT = "suspect"
    ANSWER_END = "answer_end"


def compare_start(record: UpstreamRecord, process: ProcessStart | None) -> Identity:
    """Return whether a process is the one of an entry, by what it said, `None` if nothing."""
    if process is None:
        return Identity.UNANSWERED
    if process.started_ms is None or not record.started_ms:
        return Identity.UNKNOWN
    return Identity.SAME if process.started_ms == record.started_ms else Identity.OTHER


async def ask_process(
    core: Core,
    record: UpstreamRecord,
    conn: HttpConnection,
    reason: StatusReason,
    timeout_ms: int = ANSWER_TIMEOUT_MS,
) -> ProcessStart | None:
    """Ask the process behind an unused connection when it started; `None` without an answer.

    The connection may be used for one more request if `prepare_next_request` says so.
    """
    core.metrics.increment("status_requests", reason.value)
    with trio.move_on_after(timeout_ms / MS_PER_SECOND):
        try:
            conn.process = await _read_start(core.status_format, conn)
            return conn.process
        except TransportError as exc:
            core.event_log.write("upstream_status_unknown", subject=record.replica, cause=str(exc))
    return None


async def _read_start(status: StatusFormat, conn: HttpConnection) -> ProcessStart | None:
    """Return what a process says of its start, `None` if that is no answer; raise an error."""
    await conn.send(b"GET", status.target, [], b"")
    code, _ = await conn.read_head()
    body = await conn.read_all(MAX_STATUS_BYTES)
    if code in NOT_SUPPORTED_STATUSES:
        return ProcessStart(None)
    started_ms = status.decode_started_ms(body) if code == STATUS_OK else None
    return None if started_ms is None else ProcessStart(started_ms)


async def ask_process_anew(core: Core, record: UpstreamRecord) -> ProcessStart | None:
    """Ask the process that serves at the address of an entry now; raise `ConnectFailed`."""
    stream = await core.dialer.dial(record, ANSWER_TIMEOUT_MS)
    return await _ask_on(core, record, stream, StatusReason.SUSPECT)


async def ask_process_by(
    core: Core, record: UpstreamRecord, relay: str | None, timeout_ms: int = ANSWER_TIMEOUT_MS
) -> ProcessStart | None:
    """Ask by the way of an answer, whose link may have ended it; raise `ConnectFailed`.

    A process that has accepted the connection may answer within `timeout_ms`.
    """
    stream = await core.dialer.dial_by(relay, record, ANSWER_TIMEOUT_MS)
    return await _ask_on(core, record, stream, StatusReason.ANSWER_END, timeout_ms)


async def is_process_alive(core: Core, record: UpstreamRecord, conn: HttpConnection) -> bool:
    """Return whether the process of an answer that came on `conn` still serves, asked once."""
    said = conn.process.started_ms if conn.process else None
    started_ms = said or record.started_ms
    try:
        process = await ask_process_by(core, record, conn.relay)
    except ConnectFailed:
        return False
    return process is not None and bool(started_ms) and process.started_ms == started_ms


async def _ask_on(
    core: Core,
    record: UpstreamRecord,
    stream: UpstreamStream,
    reason: StatusReason,
    timeout_ms: int = ANSWER_TIMEOUT_MS,
) -> ProcessStart | None:
    """Ask the process behind a new connection, which is closed then."""
    conn = HttpConnection(stream, f"{record.host}:{record.port}")
    try:
        return await ask_process(core, record, conn, reason, timeout_ms)
    finally:
        conn.abort()


async def identify(
    core: Core, upstream: Upstream, conn: HttpConnection, timeout_ms: int = ANSWER_TIMEOUT_MS
) -> Identity:
    """Return whether the process behind an unused connection is the one of an entry."""
    asked_at = core.clock.now()
    record, reason = upstream.record, StatusReason.CONNECTION
    process = await ask_process(core, record, conn, reason, timeout_ms)
    return _record_answer(core, upstream, process, asked_at)


async def identify_suspects(core: Core, service: ServiceId, version: SoftwareVersion) -> None:
    """Ask upstreams of a version that may have restarted whether they have.

    Each is asked once in `ASK_INTERVAL_MS`, whatever the number of streams that wait for it.
    """
    now = core.clock.now()
    suspects = [
        item
        for item in core.cluster_state.members_of(service).values()
        if item.record.software == version
        and core.chooser.software.is_restart_suspected(item)
        and now >= item.asked_at + ASK_INTERVAL_MS
    ]
    core.rng.shuffle(suspects)
    async with trio.open_nursery() as nursery:
        for upstream in suspects[:MAX_ASKED]:
            upstream.asked_at = now
            nursery.start_soon(_identify_suspect, core, upstream)


async def _identify_suspect(core: Core, upstream: Upstream) -> None:
    """Ask one upstream whether it has restarted since its entry was written."""
    record_identity(core, upstream, await identify_anew(core, upstream))


async def identify_anew(core: Core, upstream: Upstream) -> Identity:
    """Return whether the process that serves at the address of an entry now is that entry's."""
    asked_at = core.clock.now()
    try:
        process = await ask_process_anew(core, upstream.record)
    except ConnectFailed:
        # A process that has ended was not replaced yet.
        return Identity.UNANSWERED
    return _record_answer(core, upstream, process, asked_at)


def _record_answer(
    core: Core, upstream: Upstream, process: ProcessStart | None, asked_at: Millis
) -> Identity:
    """Count the answer to a question that was asked at some time, and return what it shows."""
    identity = compare_start(upstream.record, process)
    if process is not None:
        core.answering_services.record(upstream.record.service)
    if identity is Identity.SAME:
        upstream.record_process_seen(asked_at)
    core.metrics.increment("process_identity", identity.value)
    return identity


def record_identity(core: Core, upstream: Upstream, identity: Identity) -> None:
    """Trust or doubt the entry of an upstream by what its process has said."""
    if identity is Identity.SAME:
        upstream.record_same_process()
    elif identity is not Identity.UNKNOWN:
        core.cluster_state.doubt_software(upstream.record.replica)
