"""Forward an upstream's response to the caller: buffered, in chunks, or event by event."""

from collections.abc import Callable

from skylarklift.entry.model import Call, ResponseHead, RouteKind
from skylarklift.entry.placement.health import HealthSignal
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.buffer_budget import BufferBudget, BufferShare
from skylarklift.entry.requests.caller_connection import CallerConnection
from skylarklift.entry.requests.response_body import ResponseBody
from skylarklift.entry.requests.retry_state import Outcome, RetryState
from skylarklift.entry.requests.silence import SilenceTimer
from skylarklift.entry.requests.stream_ends import StreamEnds
from skylarklift.errors import OutcomeUnknown, ResponseBroken, ResponseInvalid
from skylarklift.upstreams.events import MAX_EVENT_BYTES, EventSplitter, StreamEvent
from skylarklift.upstreams.stream_position import StreamPosition

# A longer response than this is forwarded as it arrives.  Other responses, except streams of
# events, are buffered until they are complete, so that the request can be retried if a response
# breaks off.
MAX_BUFFERED_BYTES = 65536
# An upstream that sends nothing for this long within a stream is probed.
MID_STREAM_SILENCE_MS = 600
STATUS_OK = 200


class Forwarder:
    """Forward the response of a request, over all its attempts.

    `upstream_error` is the last server error of an upstream, which is forwarded if no attempt
    succeeds.  `on_events` is called before new events of an attempt are sent.  `ends` tells whether
    a stream has ended.
    """

    def __init__(
        self,
        caller: CallerConnection,
        call: Call,
        retry_state: RetryState,
        on_events: Callable[[Attempt], None],
        buffers: BufferBudget,
    ):
        self._caller = caller
        self._retry_state = retry_state
        self._on_events = on_events
        self._buffers = buffers
        self._position = StreamPosition(call.resume_after)
        self.upstream_error: tuple[ResponseHead, bytes] | None = None
        self.ends = StreamEnds(self._position, retry_state)

    @property
    def resume_after(self) -> int | None:
        """Return the id of the last event that the caller has."""
        return self._position.last

    async def forward(self, attempt: Attempt, timer: SilenceTimer) -> int:
        """Send the request and forward its response.

        Return the status, or 0 if the response is not to be forwarded; raise `TransportError`.
        """
        self.ends.start_run()
        with timer.waiting():
            head = await attempt.send()
        answered = attempt.classify() is Outcome.ANSWERED
        if answered and self._retry_state.route.kind is RouteKind.STREAM:
            if head.status == STATUS_OK:
                return await self._forward_events(attempt, timer)
        timer.record_progress()
        body = ResponseBody(attempt.conn, timer, has_length=head.length is not None)
        return await self._forward_buffered(attempt, body)

    async def _forward_buffered(self, attempt: Attempt, response_body: ResponseBody) -> int:
        """Read the response, then forward it unless the attempt failed.

        A response that turns out to be long is forwarded from then on as it arrives.
        """
        head = attempt.head
        answered = attempt.outcome is Outcome.ANSWERED
        body = await response_body.read_start(MAX_BUFFERED_BYTES)
        if answered and self._retry_state.forwarded:
            raise OutcomeUnknown("the stream could not be resumed")
        if not response_body.complete:
            if not answered:
                raise ResponseInvalid(f"an error response exceeds {MAX_BUFFERED_BYTES} bytes")
            return await self._forward_chunks(attempt, body, response_body)
        await attempt.check_end()
        attempt.record_progress()
        attempt.release_connection()
        if not answered:
            self._record_failure(attempt, body)
            return 0
        attempt.report_signal(HealthSignal.GOOD)
        await self._caller.send_response(head.status, head.headers, body)
        return head.status

    def _record_failure(self, attempt: Attempt, body: bytes) -> None:
        """Set the detail of a failed attempt, and keep a server error for the caller."""
        attempt.detail = f"status {attempt.head.status}"
        if attempt.outcome is Outcome.FAILED:
            self.upstream_error = (attempt.head, body)
            attempt.report_signal(HealthSignal.FAILED)

    async def _forward_chunks(
        self, attempt: Attempt, start: bytes, response_body: ResponseBody
    ) -> int:
        """Forward a long response as it arrives, after the start that has been read."""
        await self._send_head_once(attempt.head)
        data: bytes | None = start
        while data is not None:
            with attempt.reading.held_up(len(data)):
                await self._caller.send_data(data)
            data = await response_body.read()
        await attempt.check_end()
        return await self._finish(attempt)

    async def _forward_events(self, attempt: Attempt, timer: SilenceTimer) -> int:
        """Forward complete events in order, each once; raise `TransportError`."""
        splitter = EventSplitter()
        with self._buffers.open_share() as share:
            try:
                await self._forward_each_event(attempt, timer, splitter, share)
            finally:
                splitter.drop()
        await attempt.check_end()
        if not self.ends.confirm(attempt):
            self.ends.record(attempt)
            attempt.outcome = Outcome.UNCONFIRMED
            attempt.report_signal(HealthSignal.GOOD)
            return 0
        await self._send_head_once(attempt.head)
        return await self._finish(attempt)

    async def complete_believed(self) -> int:
        """Complete a stream whose end is believed, and return its status."""
        head = self.ends.believe()
        await self._send_head_once(head)
        await self._caller.send_end()
        return head.status

    def log_fields(self) -> dict[str, int | str | None]:
        """Return, for the log, the last event that the caller has, and what showed the end."""
        proof = self.ends.proof
        doubt = None if proof else self.ends.doubt
        fields = {"last_event": self.resume_after, "end_proof": proof and proof.value}
        return {**fields, "doubt": doubt.value} if doubt else fields

    async def _forward_each_event(
        self, attempt: Attempt, timer: SilenceTimer, splitter: EventSplitter, share: BufferShare
    ) -> None:
        """Forward events until the upstream ends the stream; charge incomplete ones to `share`."""
        counted_before = 0
        self.ends.record_framing(attempt)
        self._position.start_run(continuing=self._retry_state.forwarded)
        timer.record_progress()
        timer.probe_after_ms = MID_STREAM_SILENCE_MS
        while True:
            with timer.waiting():
                data = await attempt.conn.read_body()
            if data is None:
                break
            events = splitter.feed(data)
            if not share.resize(splitter.partial_bytes):
                raise ResponseInvalid("incomplete events use up the memory for them")
            if events:
                counted_before = attempt.conn.counted_bytes
            elif attempt.conn.counted_bytes - counted_before > MAX_EVENT_BYTES:
                raise ResponseInvalid(f"an event in small parts exceeds {MAX_EVENT_BYTES} bytes")
            if _has_content(events):
                timer.record_progress()
                attempt.record_progress()
            with attempt.reading.held_up(len(data)):
                await self._forward_new(events, attempt)
        await self._forward_new(splitter.finish(), attempt)
        if splitter.partial_bytes:
            raise ResponseBroken("the stream ended within an event")
        self._position.end_run()

    async def _forward_new(self, events: list[StreamEvent], attempt: Attempt) -> None:
        """Send the events that the caller lacks, in one write; raise `ResponseBroken` at a gap."""
        new: list[StreamEvent] = []
        self.ends.run_has_events |= _has_content(events)
        try:
            for event in events:
                if self._position.is_next(event):
                    new.append(event)
                    if event.event_id is not None:
                        attempt.record_event(event.event_id)
        finally:
            # The events before a gap are sent.
            self._retry_state.position_known = self._position.exact
            if _has_content(new):
                self.ends.disprove(attempt)
            if new:
                self._on_events(attempt)
                await self._send_head_once(attempt.head)
                await self._caller.send_data(b"".join(event.raw for event in new))

    async def _send_head_once(self, head: ResponseHead) -> None:
        """Send the head of the response unless an earlier attempt has sent it."""
        if not self._retry_state.forwarded:
            self._retry_state.forwarded = True
            await self._caller.send_head(head.status, head.headers)

    async def _finish(self, attempt: Attempt) -> int:
        """Complete the response to the caller and report the success."""
        attempt.release_connection()
        attempt.report_signal(HealthSignal.GOOD)
        await self._caller.send_end()
        return attempt.head.status


def _has_content(events: list[StreamEvent]) -> bool:
    """Return whether there is an event that is no comment."""
    return any(not event.is_comment for event in events)
