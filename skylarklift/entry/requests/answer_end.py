"""Judge the end of an answer that has no length and ends with its connection.

A process that is killed ends its connections like one that is done, and its end may be read long
after it came: a router waits for its caller, or stands still.  So neither the end nor the time of
it tells; only a process that still answers once the end has been read has ended the answer itself.
"""

from enum import Enum

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.model import ProcessStart, UpstreamRecord
from skylarklift.entry.placement.unanswered import TOLERATED_SILENCE_MS
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.requests.process_identity import StatusReason, ask_process, ask_process_by
from skylarklift.entry.requests.second_connection import SecondConnection
from skylarklift.errors import ConnectFailed, ConnectTimeout

# A process is gone once this many connections to it were refused, or ended without an answer.
MAX_FAILURES = 3
# The connections over a link that is closed are seen to end within this time of each other.
LINK_END_MS = 60
QUESTION_PAUSE_MS = 60
# A router that stops asks no longer than until this time before it ends its requests.
STOP_MARGIN_MS = 300
STOP_POLL_MS = 20


class EndSign(Enum):
    """What showed whether an answer that its connection ends is whole.

    `PROCESS_LIVES`: the process of the answer still answers, so it has ended the answer itself.
    `PROCESS_REPLACED`: another process answers at its address.  `PROCESS_SILENT`: its process is
    gone, or has shown no life for longer than a sound one may be silent.  `LINK_CLOSED`: the
    process lives, but its other connection ended with that of the answer.  `CONNECTION_HELD`: its
    process was silent until this router came to end its requests, but held its other connection, as
    no process does that is gone.
    """

    PROCESS_LIVES = "process_lives"
    PROCESS_REPLACED = "process_replaced"
    PROCESS_SILENT = "process_silent"
    LINK_CLOSED = "link_closed"
    CONNECTION_HELD = "connection_held"

    @property
    def shows_own_end(self) -> bool:
        """Return whether the process of the answer has ended it itself."""
        return self in (EndSign.PROCESS_LIVES, EndSign.CONNECTION_HELD)


class Doubt(Enum):
    """What speaks against an end of an answer, at a process that lives, that nothing confirms.

    `CONTRADICTED`: a run that was to confirm it broke off.  `EARLY_END`: a replica of its software
    has ended others early.  `DEADLINE`: the upstream may have stopped at its deadline.
    """

    CONTRADICTED = "contradicted"
    EARLY_END = "early_end"
    DEADLINE = "deadline"


class AnswerEnd:
    """The end of one answer, which came on `conn`; `second` was begun before it."""

    def __init__(
        self, core: Core, record: UpstreamRecord, conn: HttpConnection, second: SecondConnection
    ):
        self._core = core
        self._record = record
        self._second = second
        self._relay = conn.relay
        # Whether the second connection ended, or brought nothing, when it was asked on.
        self._second_failed = False
        # Whether the process of the answer is being asked on the second connection.
        self._asks_same_process = False
        said = conn.process.started_ms if conn.process else None
        # When the process of the answer started, 0 if that is not known.
        self._started_ms = said or record.started_ms

    async def judge(self) -> EndSign:
        """Ask the process of the answer, now that the end has been read.

        A sound process may be silent for `TOLERATED_SILENCE_MS`, also from the end of an answer on.
        """
        since = Millis(self._core.clock.now() - LINK_END_MS)
        sign = EndSign.PROCESS_SILENT
        with trio.move_on_after(TOLERATED_SILENCE_MS / MS_PER_SECOND):
            sign = await self._ask_until_stop()
        second_ended = self._second_failed or self._second.has_ended_since(since)
        if sign is EndSign.PROCESS_LIVES and second_ended:
            return EndSign.LINK_CLOSED
        return sign

    async def _ask_until_stop(self) -> EndSign:
        """Ask until an answer tells, or this router is about to end its requests."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_before_stop, nursery.cancel_scope)
            sign = await self._ask()
            nursery.cancel_scope.cancel()
            return sign
        return EndSign.CONNECTION_HELD if self._asks_same_process else EndSign.PROCESS_SILENT

    async def _cancel_before_stop(self, scope: trio.CancelScope) -> None:
        """Cancel shortly before this router ends its requests, once the end of a link had time."""
        await trio.sleep(LINK_END_MS / MS_PER_SECOND)
        while True:
            if self._is_about_to_stop():
                scope.cancel()
            await trio.sleep(STOP_POLL_MS / MS_PER_SECOND)

    def _is_about_to_stop(self) -> bool:
        """Return whether this router is about to end its requests."""
        stop_at = self._core.stop_at()
        return stop_at is not None and self._core.clock.now() >= stop_at - STOP_MARGIN_MS

    async def _ask(self) -> EndSign:
        """Ask until an answer tells: on the second connection, else on new ones."""
        conn = await self._second.take()
        if conn is not None:
            same = self._asks_same_process = self._second.is_to_same_process
            process = await self._ask_on(conn)
            self._asks_same_process = False
            if process is not None:
                return self._compare(
                    process, EndSign.PROCESS_LIVES if same else EndSign.PROCESS_SILENT
                )
            self._second_failed = True
        failures = 0
        while failures < MAX_FAILURES:
            try:
                process = await self._ask_anew()
            except ConnectTimeout:
                # It may be silent for a time that is tolerated.
                continue
            except ConnectFailed:
                # Another one may be on its way to the address.
                process = None
            if process is not None:
                sign = self._compare(process, if_not_said=EndSign.PROCESS_SILENT)
                if sign is not EndSign.PROCESS_SILENT:
                    return sign
            failures += 1
            await trio.sleep(QUESTION_PAUSE_MS / MS_PER_SECOND)
        return EndSign.PROCESS_SILENT

    async def _ask_anew(self) -> ProcessStart | None:
        """Return what the process says on a new connection; raise `ConnectFailed`."""
        core, record = self._core, self._record
        return await ask_process_by(core, record, self._relay, TOLERATED_SILENCE_MS)

    async def _ask_on(self, conn: HttpConnection) -> ProcessStart | None:
        """Return what the process says on the second connection, which is closed then."""
        core, record, reason = self._core, self._record, StatusReason.ANSWER_END
        try:
            return await ask_process(core, record, conn, reason, TOLERATED_SILENCE_MS)
        finally:
            conn.abort()

    def _compare(self, process: ProcessStart, if_not_said: EndSign) -> EndSign:
        """Return whether a process that answers is the one of the answer."""
        services, service = self._core.undelimited_services, self._record.service
        if process.started_ms is None or not self._started_ms:
            services.record_undelimited(service)
            return if_not_said
        services.record_other(service)
        same = process.started_ms == self._started_ms
        return EndSign.PROCESS_LIVES if same else EndSign.PROCESS_REPLACED
