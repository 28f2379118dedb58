"""Complete a chat: place it, send it to an engine, forward the response, resume it.

A stream that breaks is resumed at another replica after the last event that was
forwarded to the caller, if the request may be retried.  A non-idempotent chat is
claimed first and dispatched once.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import httpx
import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.errors import OutcomeUnknown, RequestError, UpstreamFailed
from skylarklift.generated import ReleaseCause
from skylarklift.ids import ReplicaId
from skylarklift.invariants import INVARIANTS
from skylarklift.logger import log
from skylarklift.pools.placer import Placement
from skylarklift.requests.caller_errors import (
    chat_error,
    deadline_error,
    denies_run,
    retry_error,
)
from skylarklift.requests.chat_dependencies import ChatDependencies
from skylarklift.requests.chat_placement import ChatPlacer, resolve_pool
from skylarklift.requests.claim_checks import claim_request, require_owned
from skylarklift.requests.claims import Claim, ClaimState, Outcome
from skylarklift.requests.parsing import CallerRequest, ChatRequest
from skylarklift.upstreams.client import (
    ENGINE_BOOT_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
    BufferedResponse,
    check_request_id,
    is_busy,
)
from skylarklift.upstreams.failures import FailureKind, UpstreamError
from skylarklift.upstreams.reader import EventReader
from skylarklift.upstreams.stream_position import StreamPosition


@dataclass
class _Attempt:
    """One dispatch of a chat to a replica."""

    placement: Placement
    response: httpx.Response | None = None
    sent_at: Millis = Millis(0)
    first_token_ms: int = -1


@dataclass
class ChatSession:
    """One chat request from its arrival to the end of its response."""

    deps: ChatDependencies
    request: ChatRequest
    dispatch_count: int = 0
    resume_count: int = 0
    failed_replicas: set[ReplicaId] = field(default_factory=set)
    _attempt: _Attempt | None = None
    _claim: Claim | None = None
    _reader: EventReader | None = None
    _events: AsyncGenerator[bytes] | None = None
    _sent_failure: UpstreamError | None = None
    # Engines number events from 1.
    _position: StreamPosition = field(default_factory=lambda: StreamPosition(0))
    _trace: str = ""

    @property
    def caller(self) -> CallerRequest:
        """Return what the request has in common with calls of plain services."""
        return self.request.caller

    # Methods that the API calls.

    def status(self) -> int:
        """Return the HTTP status of the engine's response to a started chat."""
        return self._attempt.response.status_code

    async def complete(self) -> BufferedResponse:
        """Return the complete response of a chat that is not streamed."""
        try:
            recorded = await self._claim_if_non_idempotent()
            if recorded is not None:
                return recorded
            with self._span("chat"), self._deadline():
                response = await self._complete_with_retries()
                self._record_outcome(response)
                return response
            raise deadline_error(self.dispatch_count > 0)
        finally:
            self._release_grant(ReleaseCause.CANCELLED)

    async def start_stream(self) -> None:
        """Start a streamed chat; once it returns, the response head may be sent to the caller."""
        try:
            await self._claim_or_refuse_resend()
            with self._span("chat"), self._deadline():
                await self._start_with_retries()
                return
            raise deadline_error(self.dispatch_count > 0)
        except BaseException:
            await self._abort()
            raise

    async def read_rejection(self) -> BufferedResponse:
        """Return an engine's response that is no stream, such as the error for an invalid body."""
        try:
            response = await self.deps.upstreams.read_response(self._attempt.response)
            self._finish()
            return response
        except UpstreamError as exc:
            raise chat_error(exc, self._claim is not None, self.dispatch_count) from exc
        finally:
            await self._abort()

    async def events(self) -> AsyncIterator[bytes]:
        """Yield the events of a started chat; the last is the end marker or an error."""
        try:
            with self._span("answer"):
                while events := await self._next_events():
                    yield events
        except RequestError as exc:
            self.deps.telemetry.count("chats.broken")
            yield self.deps.telemetry.error_event(exc)
        finally:
            if self._events is not None:
                await self._events.aclose()
            await self._abort()

    async def _next_events(self) -> bytes:
        """Return the next events, of another replica after a break; nothing at the end.

        The deadline's scope must not be open while the caller is waited for: its cancellation
        would strike outside of this class.
        """
        with self._deadline():
            while True:
                if self._events is None:
                    self._events = self._attempt_events()
                try:
                    return await anext(self._events)
                except StopAsyncIteration:
                    self._finish()
                    return b""
                except UpstreamError as exc:
                    self._events = None
                    await self._resume_after(exc)
        raise deadline_error(self.dispatch_count > 0)

    def _deadline(self) -> trio.CancelScope:
        """Return a cancel scope that ends at the caller's deadline."""
        return trio.move_on_after(self.caller.left_ms(self.deps.clock) / MS_PER_SECOND)

    @contextmanager
    def _span(self, name: str) -> Iterator[None]:
        """Run a block in a trace span of this chat.

        The "chat" span stays the parent of the spans that follow it.
        """
        parent = self._trace or self.caller.traceparent
        with self.deps.telemetry.span(name, parent, request=self.caller.request_id) as trace:
            self._trace = trace
            try:
                yield
            finally:
                self._trace = parent if name != "chat" else trace

    # Attempts.

    async def _start_with_retries(self) -> None:
        """Dispatch the chat until an engine starts to respond."""
        while True:
            try:
                await self._dispatch(stream=True)
                return
            except UpstreamError as exc:
                await self._raise_unless_retryable(exc)

    async def _complete_with_retries(self) -> BufferedResponse:
        """Dispatch the chat until an engine returns a complete response."""
        while True:
            try:
                await self._dispatch(stream=False)
                response = await self.deps.upstreams.read_response(self._attempt.response)
                self._finish()
                return response
            except UpstreamError as exc:
                await self._raise_unless_retryable(exc)

    async def _resume_after(self, exc: UpstreamError) -> None:
        """Resume the stream at another replica after the last forwarded event."""
        await self._close_response()
        await self._raise_unless_retryable(exc)
        self.resume_count += 1
        self.deps.telemetry.count("chats.resumed")
        await self._start_with_retries()

    async def _dispatch(self, *, stream: bool) -> None:
        """Place the chat and send it to the replica that was granted."""
        placement, url = await self._place()
        attempt = self._attempt = _Attempt(placement, sent_at=self.deps.clock.now())
        if self._claim is not None:
            self._claim.mark_dispatched()
        self.dispatch_count += 1
        with self._span("dispatch"):
            headers = self._headers(stream)
            response = await self.deps.upstreams.send_request(
                "POST", url, headers, self.caller.body
            )
        attempt.response = response
        if is_busy(response):
            await self._close_response()
            # A busy status reports, but does not prove, that the request did not run; that
            # is not enough to send a non-idempotent chat again.
            reason = f"status {response.status_code}"
            raise UpstreamError(FailureKind.BUSY, reason, sent=self._claim is not None)
        check_request_id(response, self.caller.request_id)

    async def _place(self) -> tuple[Placement, str]:
        """Return a grant and the URL to send the chat to."""
        placer = ChatPlacer(self.deps, self.request, self._trace)
        try:
            return await placer.place(self.failed_replicas)
        except RequestError as exc:
            if not denies_run(exc, self._sent_failure):
                raise
            raise retry_error(exc, self._sent_failure) from exc

    def _headers(self, stream: bool) -> dict[str, str]:
        """Return the request headers for the engine."""
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: self.caller.request_id,
            "Skylarklift-Deadline-Ms": str(self.caller.left_ms(self.deps.clock)),
            "Skylarklift-Priority": self.caller.priority.value,
        }
        if self._trace:
            headers["traceparent"] = self._trace
        if stream and self._position.last:
            headers[RESUME_HEADER] = str(self._position.last)
        return headers

    async def _attempt_events(self) -> AsyncGenerator[bytes]:
        """Yield the events of the current attempt that were not forwarded before."""
        attempt = self._attempt
        self._reader = EventReader(self.caller.request_id, self._position)
        async for events in self.deps.upstreams.stream_events(attempt.response, self._reader):
            if attempt.first_token_ms < 0:
                attempt.first_token_ms = self.deps.clock.now() - attempt.sent_at
                self.deps.telemetry.timing("first_token", attempt.first_token_ms)
            yield events

    # Failures.

    async def _raise_unless_retryable(self, exc: UpstreamError) -> None:
        """Release the grant and record the failure; raise unless the chat may be retried."""
        placement = self._attempt.placement
        if exc.sent:
            self._sent_failure = exc
        crashed = exc.kind is FailureKind.BROKEN and await self._engine_crashed(placement)
        self._release_grant(ReleaseCause.CRASHED if crashed else ReleaseCause.FAILED)
        self.failed_replicas.add(placement.replica)
        self.deps.telemetry.count(f"upstream.{exc.kind.value}")
        if crashed:
            self._report_crash(placement)
        if not self._is_retryable(exc):
            raise chat_error(exc, self._claim is not None, self.dispatch_count)
        if self.dispatch_count >= self.deps.retries.attempts or not self.deps.budget.try_spend():
            raise chat_error(exc, self._claim is not None, self.dispatch_count)
        if self.deps.poison.is_poisoned(self.caller.fingerprint):
            raise UpstreamFailed("the request crashed several replicas and is not tried again")

    async def _engine_crashed(self, placement: Placement) -> bool:
        """Return whether the engine's process has ended, and not just the connection to it.

        It has if its load report cannot be read, or names another process than the response: this
        router may notice the break when the engine is back.
        """
        pool = self.deps.gate.table().pool(placement.request.pool)
        replica = pool.replicas.get(placement.replica) if pool else None
        if replica is None:
            return False
        report = await self.deps.load_reports.read(replica.url)
        response = self._attempt.response
        boot = response.headers.get(ENGINE_BOOT_HEADER, "") if response is not None else ""
        return report is None or bool(boot and boot != report.boot)

    def _report_crash(self, placement: Placement) -> None:
        """Record the crash and broadcast it to the other routers."""
        self.deps.poison.record_crash(self.caller.fingerprint, placement.replica)
        self.deps.broadcast_crash(self.caller.fingerprint, placement.replica)

    def _is_retryable(self, exc: UpstreamError) -> bool:
        """Return whether the chat may be dispatched again after a failure.

        A non-idempotent chat is dispatched again only if nothing of it was sent.  A stream
        cannot be resumed behind an event without an id.
        """
        if self._claim is not None:
            if exc.sent:
                return False
            self._claim.dispatched = False
            return True
        return self._position.exact

    # Claims.

    async def _claim_if_non_idempotent(self) -> BufferedResponse | None:
        """Claim a non-idempotent chat; return the recorded response if it already ran."""
        await self.deps.gate.enter(self.caller.left_ms(self.deps.clock))
        resolve_pool(self.deps.gate.table(), self.request)
        if not self.caller.non_idempotent:
            self.deps.budget.record_request()
            return None
        self._claim = await claim_request(self.deps.claims, self.deps.clock, self.caller)
        outcome = self._claim.outcome()
        if self._claim.state is ClaimState.TAKEN and outcome is not None:
            return BufferedResponse(outcome.status, outcome.content_type, outcome.body.encode())
        require_owned(self._claim)
        return None

    async def _claim_or_refuse_resend(self) -> None:
        """Claim a streamed chat if needed; raise for a resend, whose events are not recorded."""
        recorded = await self._claim_if_non_idempotent()
        if recorded is not None:
            raise OutcomeUnknown("the first request with this key has run")

    def _record_outcome(self, response: BufferedResponse) -> None:
        """Record the outcome of a non-idempotent chat for resends."""
        if self._claim is not None:
            body = response.body.decode(errors="replace")
            self.deps.claims.record(
                self._claim, Outcome(response.status, response.content_type, body)
            )

    # Completion.

    def _finish(self) -> None:
        """Release the grant and log the chat after its response was complete."""
        INVARIANTS.require("whole_answer", self._reader is None or self._reader.finished)
        self._release_grant(ReleaseCause.DONE)
        log.info(
            "chat_completed",
            request=self.caller.request_id,
            chat=self.request.chat,
            workspace=self.caller.workspace,
            replica=self._attempt.placement.replica,
            version=self.deps.gate.table().version,
            dispatched=self.dispatch_count,
            first_token_ms=self._attempt.first_token_ms,
        )

    def _release_grant(self, cause: ReleaseCause) -> None:
        """Release the grant of the current attempt; a second call has no effect."""
        if self._attempt is not None:
            self.deps.placer.release(self._attempt.placement, cause, self._attempt.first_token_ms)

    async def _abort(self) -> None:
        """Close the response, which cancels the request at the engine; remove an unused claim."""
        await self._close_response()
        self._release_grant(ReleaseCause.CANCELLED)
        claim = self._claim
        if claim is not None and claim.state is ClaimState.OURS and not claim.dispatched:
            self.deps.claims.abandon(claim)
            self._claim = replace(claim, state=ClaimState.NOT_OBTAINED)

    async def _close_response(self) -> None:
        """Close the response of the current attempt."""
        if self._attempt is not None and self._attempt.response is not None:
            await self.deps.upstreams.close_response(self._attempt.response)
