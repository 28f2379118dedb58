"""One attempt of a request at one upstream, up to the head of the response."""

import math
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.crashes.crash_records import Suspect
from skylarklift.entry.model import Call, ResponseHead, SendOptions
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.health import HealthSignal
from skylarklift.entry.requests.answer_end import AnswerEnd, Doubt, EndSign
from skylarklift.entry.requests.answer_reading import AnswerReading
from skylarklift.entry.requests.attempt_connection import ConnectionOpener, ProcessCheck
from skylarklift.entry.requests.connection_pool import CONNECT_TIMEOUT_MS
from skylarklift.entry.requests.http_connection import (
    MAX_RESPONSES_READ,
    NO_BODY_STATUSES,
    HttpConnection,
)
from skylarklift.entry.requests.process_identity import (
    Identity,
    compare_start,
    is_process_alive,
)
from skylarklift.entry.requests.reachability import is_reachable
from skylarklift.entry.requests.retry_state import Outcome
from skylarklift.entry.requests.second_connection import SecondConnection
from skylarklift.errors import (
    ConnectFailed,
    LocalShortage,
    NoRelay,
    ProcessReplaced,
    ResponseBroken,
    ResponseInvalid,
    TransportError,
)

# A request that crashes its upstream does so when it begins to run, which its first events may
# precede by a little.
SETTLED_ANSWER_MS = 500
# An answer that has lasted this long makes its request less suspect.
STARTED_ANSWER_MS = 80
# An upstream that stops at the deadline ends its answer at most this much before it.
DEADLINE_MARGIN_MS = 100
SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR_STATUSES = range(500, 600)
# Statuses by which a caller concludes that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Attempt:
    """One attempt of a request at one upstream.

    `outcome` is what the attempt amounts to if it ends now: `NOT_SENT` until a connection is
    made, then `BROKEN` until the response is classified.  `aborted` is set when this router ends
    the attempt because the upstream is silent, `given_up` when it has brought nothing in time,
    `withdrawn` when it does so because the request is held back, and `crash_reported` when the
    upstream crashed.
    """

    def __init__(
        self,
        core: Core,
        call: Call,
        choice: Choice,
        options: SendOptions,
        *,
        repeatable: bool,
        route_name: str = "",
        suspects: Sequence[Suspect] = (),
        sent_before: bool = False,
        check: ProcessCheck = ProcessCheck.ANY,
        confirm_until: Millis | None = None,
        connect_ms: int = CONNECT_TIMEOUT_MS,
    ):
        self.core = core
        self.call = call
        self.choice = choice
        self.record = choice.upstream.record
        self.options = options
        self.route_name = route_name
        self.repeatable = repeatable
        self.suspects = suspects
        self._check = check
        # Until when it is to show that a stream has ended which its caller has all of, `None` if it
        # is to go on with one.
        self.confirm_until = confirm_until
        # A connection that is made for it may take so long.
        self._connect_ms = connect_ms
        # If the upstream got this request before, a second copy of that answer, with the same id,
        # may come on the same connection.
        self._sent_before = sent_before
        # Whose process the connection is to, `None` if it was not asked.
        self.identity: Identity | None = None
        self._served_recorded = False
        self.second_connection = SecondConnection(
            core.clock, core.dialer, core.standstill, self.record
        )
        self.conn: HttpConnection | None = None
        self.head: ResponseHead | None = None
        self.outcome = Outcome.NOT_SENT
        self.detail = ""
        self.aborted = self.withdrawn = self.crash_reported = self.given_up = False
        # Whether it broke off though the upstream is reached by other ways only.
        self.broken_by_link = False
        # The ids of the first and the last event that were sent to the caller, empty without one.
        self.event_range: list[int] = []
        # What showed whether an answer without a length is whole, `None` for others.
        self.end_sign: EndSign | None = None
        # When the first event or the complete answer arrived.
        self.answered_at: Millis | None = None
        # When the answer broke off, `None` before.
        self.broken_at: Millis | None = None
        self.sent_at = self.started_at = core.clock.now()
        self._response_read = False
        self.reading = AnswerReading(core.clock)
        # Whether no connection was made in time, which a sound upstream's silence may explain.
        self.silence_tolerated = False

    @asynccontextmanager
    async def open(self):
        """Count the request as in flight during the block; abort its connection if unfinished."""
        core = self.core
        self.started_at = core.clock.now()
        core.chooser.start_request(self.choice, self.call)
        core.report_sent(self.record)
        core.attempts.add(self)
        try:
            yield self
        finally:
            core.attempts.discard(self)
            core.chooser.end_request(self.record.replica)
            core.health.end_trial(self.record.replica)
            if self.conn is not None and not self._response_read:
                self.conn.abort()

    async def send(self) -> ResponseHead:
        """Send the request and return the head of its response; raise `TransportError`."""
        self.core.make_room_for_attempts()
        self.conn = await self._open_connection()
        if self.given_up:
            raise ConnectFailed(self.detail)
        self.outcome = Outcome.BROKEN
        if self.choice.cold:
            self.core.chooser.cold_limit.record_sent(self.record.replica, self.started_at)
        await self._connect_twice_if_expected()
        call = self.call
        headers = self.core.header_codec.encode_upstream_headers(call, self._current_options())
        await self.conn.send(call.method, call.target, headers, call.body)
        if not self.conn.has_unsent_body:
            self.head = await self._read_head()
            return self.head
        failure: TransportError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.conn.send_remaining_body)
            try:
                self.head = await self._read_head()
            except TransportError as exc:
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return self.head

    async def _open_connection(self) -> HttpConnection:
        """Return a connection to the upstream; raise `TransportError`."""
        resumes = self.repeatable and self.options.resume_after is not None
        opener = ConnectionOpener(
            self.core,
            self.choice.upstream,
            recently_used=not self.repeatable,
            new=self._sent_before or resumes,
            timeout_ms=self._connect_ms,
        )
        try:
            conn = await opener.open(self._check)
        finally:
            self.identity = opener.identity
        if not conn.reused:
            self.core.health.unanswered.record_answer(self.record.replica)
        return conn

    async def _connect_twice_if_expected(self) -> None:
        """Make the second connection before the request, if only that may tell of its answer."""
        core = self.core
        expected = core.undelimited_services.is_expected(self.record.service)
        if self._process_tells_start() or not expected:
            return
        core.metrics.increment("early_second_connections")
        self.second_connection.start(self.conn.relay, core.clock.now(), renewed=True)
        await self.second_connection.wait_opened()

    def _process_tells_start(self) -> bool:
        """Return whether the process behind the connection has said when it started."""
        process = self.conn.process
        return process is not None and process.started_ms is not None

    def process_started_ms(self) -> int:
        """Return when the process of the answer started, by its own clock, 0 if not known."""
        process = self.conn.process if self.conn is not None else None
        return (process and process.started_ms) or self.record.started_ms

    def _current_options(self) -> SendOptions:
        """Return the options, with what is left of the time now that the connection is open."""
        left_ms = self.options.left_ms - (self.core.clock.now() - self.started_at)
        return replace(self.options, left_ms=max(1, left_ms))

    async def _read_head(self) -> ResponseHead:
        """Return the head of the response, skipping responses that carry another request id."""
        for _ in range(MAX_RESPONSES_READ):
            status, headers = await self.conn.read_head()
            head = self.core.header_codec.decode_response_head(status, headers)
            if head.request is None and self.conn.reused:
                # It may be a second copy of the answer to an earlier request.
                raise ResponseInvalid(f"status {head.status} without an id of a request")
            if head.request is None or head.request == self.call.request:
                self._note_framing(status)
                if compare_start(self.record, self.conn.process) is Identity.SAME:
                    self.choice.upstream.record_process_seen(self.sent_at)
                return self._check_head(head)
            self.core.event_log.write(
                "response_id_mismatch", id=self.call.request, upstream=self.record.replica
            )
            await self.conn.skip_response()
        raise ResponseInvalid("only responses with the id of another request")

    def _note_framing(self, status: int) -> None:
        """Hold a second connection for an answer that ends with its own, and none for others."""
        if self.conn.ends_with_connection and status not in NO_BODY_STATUSES:
            renewed = not self._process_tells_start()
            self.second_connection.start(self.conn.relay, self.sent_at, renewed=renewed)
            return
        self.second_connection.drop()
        if status in SUCCESS_STATUSES and status not in NO_BODY_STATUSES:
            self.core.undelimited_services.record_other(self.record.service)

    def _check_head(self, head: ResponseHead) -> ResponseHead:
        """Return the head if the response may be forwarded; raise `ResponseInvalid`.

        A success must be signed by the upstream and must not have a content encoding.
        """
        if not head.moved:
            self._record_upstream_state(head)
        if head.status in SUCCESS_STATUSES and (not head.signed or head.encoded):
            raise ResponseInvalid(f"status {head.status} unsigned or with a content encoding")
        return head

    def _record_upstream_state(self, head: ResponseHead) -> None:
        """Record what the upstream says of itself in the head of a response."""
        core, replica = self.core, self.record.replica
        if head.cold_ms:
            core.cluster_state.apply_reported_cold_time(replica, head.cold_ms)
        if head.leaving:
            changes = core.cluster_state.mark_leaving(self.record)
            core.record_state_changes(changes, core.settings.node)
        if head.load is not None:
            core.record_observed_load(self.choice, head.load)
        if head.hold_off_ms:
            core.record_hold_off(self.record, head.hold_off_ms, relayed=self.relayed)
        core.record_limits(self.record, head, self.sent_at)

    def answer_fields(self) -> dict[str, int | str | list[int] | None]:
        """Return, for the log, the age and framing of the answer, and the events sent of it."""
        return {
            "answer_age_ms": self.answer_age_ms(),
            "framing": self._framing(),
            "events": self.event_range,
            "end_sign": self.end_sign and self.end_sign.value,
            "process": self.identity and self.identity.value,
        }

    def _framing(self) -> str | None:
        """Return what ends the answer's body, `None` before the head of the answer."""
        if self.head is None:
            return None
        if self.conn.ends_with_connection:
            return "connection"
        return "chunked" if self.head.length is None else "length"

    def record_event(self, number: int) -> None:
        """Record that an event is sent to the caller."""
        self.event_range = [*self.event_range[:1], number] if self.event_range else [number, number]

    def classify(self) -> Outcome:
        """Set the outcome by the head of the response, and return it.

        A status alone does not show that the request did not run.
        """
        head = self.head
        if head.not_run or head.moved:
            self.outcome = Outcome.NOT_RUN
        elif head.status in SERVER_ERROR_STATUSES or head.status in NOT_RUN_STATUSES:
            self.outcome = Outcome.FAILED
        else:
            self.outcome = Outcome.ANSWERED
        return self.outcome

    def withdraw(self) -> None:
        """End the attempt, so that its upstream drops the request before it crashes by it."""
        if self.conn is not None and not self.has_settled():
            self.withdrawn = True
            # The head of its answer may have come, so it may have run.
            self.outcome = Outcome.BROKEN
            self.detail = "withdrawn, as the request is held back"
            self.conn.abort()

    def give_up(self, detail: str) -> None:
        """End the attempt, as it has brought nothing in time."""
        self.given_up = self.aborted = True
        self.detail = detail
        if self.conn is not None:
            self.conn.abort()

    async def check_end(self) -> None:
        """Check an answer that ended with its connection; raise `ResponseBroken` after a crash."""
        if not self.conn.ends_with_connection or self.head.status in NO_BODY_STATUSES:
            return
        self.reading.record_end()
        end = AnswerEnd(self.core, self.record, self.conn, self.second_connection)
        left_ms = self._confirmation_left_ms()
        with trio.move_on_after(left_ms / MS_PER_SECOND) as scope:
            self.end_sign = await end.judge()
        if scope.cancelled_caught:
            self.end_sign = EndSign.PROCESS_SILENT
            self.give_up("the end of the stream was not confirmed in time")
        if not self.end_sign.shows_own_end:
            raise ResponseBroken("the upstream ended within an answer without a length")

    def _confirmation_left_ms(self) -> float:
        """Return how long the caller waits for this attempt to confirm the end of a stream."""
        if self.confirm_until is None or self.event_range:
            return math.inf
        return max(0, self.confirm_until - self.core.clock.now())

    def report_early_end(self) -> None:
        """Report that the upstream ended this answer early."""
        by_reset = self.conn.was_reset
        self.core.report_early_end(self.record, self.call.request, by_reset=by_reset)

    def find_doubt(self) -> Doubt | None:
        """Return what speaks against the end of an answer that its process ended."""
        core = self.core
        if self.reached_deadline():
            return Doubt.DEADLINE
        if core.early_ends.is_doubted(self.record, self.call.received_at):
            return Doubt.EARLY_END
        return None

    def reached_deadline(self) -> bool:
        """Return whether the answer ended when the upstream was to stop the work."""
        ended_at = self.reading.ended_at or self.broken_at or self.core.clock.now()
        return ended_at >= self.started_at + self.options.left_ms - DEADLINE_MARGIN_MS

    async def report_if_ended_early(self) -> None:
        """Report an answer that broke off if its process lives, and so has ended it."""
        self.reading.record_end()
        if await self._has_ended_early():
            self.report_early_end()

    async def _has_ended_early(self) -> bool:
        """Return whether an answer that broke off was ended by a process that lives."""
        if (
            self.aborted
            or self.head is None
            or self.reading.was_left_unread()
            or self.reached_deadline()
        ):
            return False
        if self.end_sign is not None:
            # It ended in order; only its process, or its link, was in doubt.
            return False
        if self.core.early_ends.has_recent(self.record, by_reset=self.conn.was_reset):
            return False
        return await is_process_alive(self.core, self.record, self.conn)

    def answer_age_ms(self) -> int | None:
        """Return how long the answer has lasted since its first event, `None` before that.

        What follows its break, such as probes of the upstream, does not count.
        """
        if self.answered_at is None:
            return None
        until = self.core.clock.now() if self.broken_at is None else self.broken_at
        return until - self.answered_at

    def has_started(self) -> bool:
        """Return whether the answer began a while ago, so that another request is more suspect."""
        age_ms = self.answer_age_ms()
        return age_ms is not None and age_ms >= STARTED_ANSWER_MS

    def has_settled(self) -> bool:
        """Return whether the answer has lasted too long for its start to crash the upstream."""
        age_ms = self.answer_age_ms()
        return age_ms is not None and age_ms >= SETTLED_ANSWER_MS

    def record_progress(self) -> None:
        """Record that the upstream sent an event or a part of a body."""
        progress, replica = self.core.progress, self.record.replica
        progress.record_progress(replica)
        self.core.health.unanswered.record_answer(replica)
        if self.core.links.any_doubt and not self.relayed:
            self.core.links.record_answer(self.record)
        if self.has_settled():
            self.record_served()
        if self.answered_at is None:
            self.answered_at = self.core.clock.now()
            progress.record_answer(replica, self.route_name, self.sent_at)

    def record_served(self) -> None:
        """Record, once, that the request does not crash its upstream."""
        core = self.core
        if self._served_recorded or self.head.status not in SUCCESS_STATUSES:
            return
        self._served_recorded = True
        core.apply_hold_changes(core.suspects.record_served(self.suspects), core.settings.node)

    def release_connection(self) -> None:
        """Return the connection to the pool after a complete response."""
        self.record_served()
        self._response_read = True
        self.core.connection_pool.release(self.record, self.conn, self.head.keep_alive_ms)

    def report_signal(self, signal: HealthSignal) -> None:
        """Report the result of the attempt to the upstream's health record.

        An upstream that is ejected by it loses its idle connections.
        """
        core = self.core
        if signal is HealthSignal.GOOD and core.health.maybe_restarted(self.record.replica):
            core.cluster_state.restart_cold_period(self.record.replica)
        if signal is HealthSignal.UNREACHABLE:
            core.cluster_state.doubt_software(self.record.replica)
        others = core.cluster_state.members_of(self.record.service)
        if core.health.record_result(self.record.replica, signal, others):
            core.connection_pool.close_idle(self.record.replica)
            core.metrics.increment("ejections")
            core.event_log.write(
                "upstream_ejected",
                upstream=self.record.replica,
                signal=signal.value,
                id=self.call.request,
            )

    async def record_failure(self, exc: TransportError) -> None:
        """Set the outcome for a failed connection or response, and report the failure.

        What this router's own link, or the router that relays, has done is not the upstream's.
        """
        self.broken_at = self.core.clock.now()
        self.detail = str(exc)
        if isinstance(exc, LocalShortage):
            self.outcome = Outcome.NOT_SENT
            self.core.metrics.increment("local_shortages")
        elif isinstance(exc, ProcessReplaced):
            self.outcome = Outcome.NOT_SENT
            self.core.metrics.increment("processes_replaced")
        elif isinstance(exc, ConnectFailed):
            self.outcome = Outcome.NOT_SENT
            unanswered = self.core.health.unanswered
            replica, began_at = self.record.replica, self.started_at
            self.silence_tolerated = unanswered.tolerates(replica, exc, began_at)
            # What nobody could look at is not held against the upstream.
            if not self.silence_tolerated and not isinstance(exc, NoRelay):
                self.report_signal(HealthSignal.UNREACHABLE)
        else:
            self.outcome = Outcome.BROKEN
            if isinstance(exc, ResponseBroken) and await self._is_link_at_fault():
                self.broken_by_link = True
                self.core.metrics.increment("broken_by_links")
                self.detail = f"{self.detail}; not the upstream, but the way to it"
                return
            if isinstance(exc, ResponseBroken) and not self.aborted:
                self.core.cluster_state.suspect_restart(self.record.replica)
                self.core.state_changed.set()
            self.report_signal(
                HealthSignal.BROKEN if isinstance(exc, ResponseBroken) else HealthSignal.FAILED
            )

    @property
    def relayed(self) -> bool:
        """Return whether the connection is relayed by another router."""
        return self.conn is not None and self.conn.relay is not None

    def is_on_lost_link(self) -> bool:
        """Return whether the connection is over a link of this router that brings nothing."""
        lost = self.core.links.open_connections_are_lost(self.record)
        return lost and self.conn is not None and not self.relayed

    async def _is_link_at_fault(self) -> bool:
        """Return whether an answer broke off though its upstream is reached by other ways only."""
        core = self.core
        if self.relayed:
            return self.conn.was_reset and not self.aborted
        with trio.CancelScope(shield=True):
            since = None if self.aborted else core.clock.now()
            alive = await is_reachable(core, self, since=since)
        return alive and core.links.is_cut(self.record)
