"""Pass an upstream's answer on to the client: in one piece, in parts, or event by event."""

from skylarklift.entry.attempt import Attempt
from skylarklift.entry.caller_connection import CallerConnection
from skylarklift.entry.health import Sign
from skylarklift.entry.model import AnswerHead, Call, RouteKind
from skylarklift.entry.retry_state import Outcome, RetryState
from skylarklift.entry.silence import SilenceTimer
from skylarklift.errors import AnswerBroken, OutcomeUnknown
from skylarklift.upstreams.events import EventSplitter, StreamEvent

MAX_ANSWER_BYTES = 16_777_216
# A whole answer up to this size is held until it is complete, so that a broken one can be
# replaced; a larger one is passed on as it comes.
MAX_BUFFERED_BYTES = 65536
# A stream that is silent for this long within its answer is looked at.
MID_STREAM_SILENCE_MS = 600
STATUS_OK = 200


class Forwarder:
    """What of a request's answer has reached the client, over all sends of the request.

    `resume_after` is the last event that the client has, `failed` an upstream's own failure
    that is passed on if nothing better comes.
    """

    def __init__(self, caller: CallerConnection, call: Call, retry_state: RetryState):
        self._caller = caller
        self._retry_state = retry_state
        self.resume_after = call.resume_after
        self.upstream_error: tuple[AnswerHead, bytes] | None = None

    async def forward(self, attempt: Attempt, timer: SilenceTimer) -> int:
        """Send the request and pass its answer on.

        Return the status, or 0 if the answer is not one for the client; raise `LinkError`.
        """
        with timer.waiting():
            head = await attempt.send()
        answered = attempt.classify() is Outcome.ANSWERED
        if answered and self._retry_state.route.kind is RouteKind.STREAM:
            if head.status == STATUS_OK:
                return await self._forward_events(attempt, timer)
        elif answered and head.length is not None and head.length > MAX_BUFFERED_BYTES:
            return await self._forward_chunks(attempt)
        return await self._forward_whole(attempt, timer)

    async def _forward_whole(self, attempt: Attempt, timer: SilenceTimer) -> int:
        """Pass an answer on when it is complete."""
        with timer.waiting():
            body = await attempt.conn.read_all(MAX_ANSWER_BYTES)
        attempt.release_connection()
        head = attempt.head
        if attempt.outcome is not Outcome.ANSWERED:
            self._record_failure(attempt, body)
            return 0
        if self._retry_state.forwarded:
            raise OutcomeUnknown("the stream could not be resumed")
        attempt.report_signal(Sign.GOOD)
        await self._caller.send_answer(head.status, head.headers, body)
        return head.status

    def _record_failure(self, attempt: Attempt, body: bytes) -> None:
        """Keep an upstream's own failure."""
        attempt.detail = f"status {attempt.head.status}"
        if attempt.outcome is Outcome.FAILED:
            self.upstream_error = (attempt.head, body)
            attempt.report_signal(Sign.FAILED)

    async def _forward_chunks(self, attempt: Attempt) -> int:
        """Pass a large answer on as it comes."""
        await self._send_head_once(attempt.head)
        while (data := await attempt.conn.read_body()) is not None:
            await self._caller.send_data(data)
        return await self._finish(attempt)

    async def _forward_events(self, attempt: Attempt, timer: SilenceTimer) -> int:
        """Pass whole events on in order, each once."""
        splitter = EventSplitter()
        timer.check_after_ms = MID_STREAM_SILENCE_MS
        while True:
            with timer.waiting():
                data = await attempt.conn.read_body()
            if data is None:
                break
            for event in splitter.feed(data):
                if self._is_next_event(event):
                    await self._send_head_once(attempt.head)
                    await self._caller.send_data(event.raw)
        if splitter.partial:
            raise AnswerBroken("the stream ended within an event")
        await self._send_head_once(attempt.head)
        return await self._finish(attempt)

    def _is_next_event(self, event: StreamEvent) -> bool:
        """Tell whether the client lacks an event; raise `AnswerBroken` after a gap."""
        number, last = event.number, self.resume_after
        if number is None:
            return True
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            raise AnswerBroken(f"event {number} after {last}")
        self.resume_after = number
        return True

    async def _send_head_once(self, head: AnswerHead) -> None:
        """Send the head of the answer; later sends of the request keep it."""
        if not self._retry_state.forwarded:
            self._retry_state.forwarded = True
            await self._caller.send_head(head.status, head.headers)

    async def _finish(self, attempt: Attempt) -> int:
        """End an answer that is complete."""
        attempt.release_connection()
        attempt.report_signal(Sign.GOOD)
        await self._caller.send_end()
        return attempt.head.status
