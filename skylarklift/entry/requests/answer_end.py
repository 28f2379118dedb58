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
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.requests.process_identity import StatusReason, ask_process, ask_process_by
from skylarklift.entry.requests.second_connection import SecondConnection
from skylarklift.errors import ConnectFailed

MAX_QUESTIONS = 3
# The connections over a link that is closed are seen to end within this time of each other.
LINK_END_MS = 60
QUESTION_PAUSE_MS = 60


class EndSign(Enum):
    """What showed whether an answer that its connection ends is whole.

    `PROCESS_SILENT`: nothing that shows its process to live came in time.  `LINK_CLOSED`: the
    process lives, but its other connection ended with that of the answer.
    """

    PROCESS_LIVES = "process_lives"
    PROCESS_REPLACED = "process_replaced"
    PROCESS_SILENT = "process_silent"
    LINK_CLOSED = "link_closed"


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
        said = conn.process.started_ms if conn.process else None
        # When the process of the answer started, 0 if that is not known.
        self._started_ms = said or record.started_ms

    async def judge(self) -> EndSign:
        """Ask the process of the answer, now that the end has been read."""
        since = Millis(self._core.clock.now() - LINK_END_MS)
        sign = await self._ask_often()
        second_ended = self._second_failed or self._second.has_ended_since(since)
        if sign is EndSign.PROCESS_LIVES and second_ended:
            return EndSign.LINK_CLOSED
        return sign

    async def _ask_often(self) -> EndSign:
        """Ask until an answer tells, a few times."""
        for _ in range(MAX_QUESTIONS):
            sign = await self._ask()
            if sign is not EndSign.PROCESS_SILENT:
                return sign
            await trio.sleep(QUESTION_PAUSE_MS / MS_PER_SECOND)
        return EndSign.PROCESS_SILENT

    async def _ask(self) -> EndSign:
        """Ask once: on the second connection, else on a new one."""
        conn = await self._second.take()
        if conn is not None:
            process = await self._ask_on(conn)
            if process is not None:
                return self._compare(process, if_not_said=EndSign.PROCESS_LIVES)
            self._second_failed = True
        try:
            process = await ask_process_by(self._core, self._record, self._relay)
        except ConnectFailed:
            # Another one may be on its way to the address.
            return EndSign.PROCESS_SILENT
        if process is None:
            return EndSign.PROCESS_SILENT
        return self._compare(process, if_not_said=EndSign.PROCESS_SILENT)

    async def _ask_on(self, conn: HttpConnection) -> ProcessStart | None:
        """Return what the process says on the second connection, which is closed then."""
        try:
            return await ask_process(self._core, self._record, conn, StatusReason.ANSWER_END)
        finally:
            conn.abort()

    def _compare(self, process: ProcessStart, if_not_said: EndSign) -> EndSign:
        """Return whether a process that answers is the one of the answer."""
        if process.started_ms is None or not self._started_ms:
            return if_not_said
        same = process.started_ms == self._started_ms
        return EndSign.PROCESS_LIVES if same else EndSign.PROCESS_REPLACED
