"""Pass an upstream's answer on to the client: in one piece, in parts, or event by event."""

from skylarklift.entry.attempts import Attempts, Outcome
from skylarklift.entry.caller import CallerLink
from skylarklift.entry.health import Sign
from skylarklift.entry.model import AnswerHead, Call, RouteKind
from skylarklift.entry.sending import Send
from skylarklift.entry.silence import Silence
from skylarklift.errors import AnswerBroken, OutcomeUnknown
from skylarklift.upstreams.events import EventSplitter, StreamEvent

ANSWER_LIMIT_BYTES = 16_777_216
# A whole answer up to this size is held until it is complete, so that a broken one can be
# replaced; a larger one is passed on as it comes.
HELD_BYTES = 65536
# A stream that is silent for this long within its answer is looked at.
SILENT_BETWEEN_MS = 600
STATUS_OK = 200


class Forwarder:
    """What of a request's answer has reached the client, over all sends of the request.

    `resume_after` is the last event that the client has, `failed` an upstream's own failure
    that is passed on if nothing better comes.
    """

    def __init__(self, caller: CallerLink, call: Call, attempts: Attempts):
        self._caller = caller
        self._attempts = attempts
        self.resume_after = call.resume_after
        self.failed: tuple[AnswerHead, bytes] | None = None

    async def forward(self, send: Send, silence: Silence) -> int:
        """Send the request and pass its answer on.

        Return the status, or 0 if the answer is not one for the client; raise `LinkError`.
        """
        with silence.waiting():
            head = await send.start()
        answered = send.classify() is Outcome.ANSWERED
        if answered and self._attempts.route.kind is RouteKind.STREAM:
            if head.status == STATUS_OK:
                return await self._stream(send, silence)
        elif answered and head.length is not None and head.length > HELD_BYTES:
            return await self._parts(send)
        return await self._whole(send, silence)

    async def _whole(self, send: Send, silence: Silence) -> int:
        """Pass an answer on when it is complete."""
        with silence.waiting():
            body = await send.link.read_all(ANSWER_LIMIT_BYTES)
        send.finish()
        head = send.head
        if send.outcome is not Outcome.ANSWERED:
            self._keep_failure(send, body)
            return 0
        if self._attempts.forwarded:
            raise OutcomeUnknown("the stream could not be resumed")
        send.note(Sign.GOOD)
        await self._caller.send_answer(head.status, head.headers, body)
        return head.status

    def _keep_failure(self, send: Send, body: bytes) -> None:
        """Keep an upstream's own failure."""
        send.detail = f"status {send.head.status}"
        if send.outcome is Outcome.FAILED:
            self.failed = (send.head, body)
            send.note(Sign.FAILED)

    async def _parts(self, send: Send) -> int:
        """Pass a large answer on as it comes."""
        await self._begin(send.head)
        while (data := await send.link.read_body()) is not None:
            await self._caller.send_data(data)
        return await self._end(send)

    async def _stream(self, send: Send, silence: Silence) -> int:
        """Pass whole events on in order, each once."""
        splitter = EventSplitter()
        silence.limit_ms = SILENT_BETWEEN_MS
        while True:
            with silence.waiting():
                data = await send.link.read_body()
            if data is None:
                break
            for event in splitter.feed(data):
                if self._is_next(event):
                    await self._begin(send.head)
                    await self._caller.send_data(event.raw)
        if splitter.has_partial_event:
            raise AnswerBroken("the stream ended within an event")
        await self._begin(send.head)
        return await self._end(send)

    def _is_next(self, event: StreamEvent) -> bool:
        """Tell whether the client lacks an event; raise `AnswerBroken` after a gap."""
        number, last = event.event_id, self.resume_after
        if number is None:
            return True
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            raise AnswerBroken(f"event {number} after {last}")
        self.resume_after = number
        return True

    async def _begin(self, head: AnswerHead) -> None:
        """Send the head of the answer; later sends of the request keep it."""
        if not self._attempts.forwarded:
            self._attempts.forwarded = True
            await self._caller.send_head(head.status, head.headers)

    async def _end(self, send: Send) -> int:
        """End an answer that is complete."""
        send.finish()
        send.note(Sign.GOOD)
        await self._caller.send_end()
        return send.head.status
