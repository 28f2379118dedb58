"""Complete a chat: place it, start it at an engine, pass its answer on, resume it.

A stream that breaks goes on at another replica behind the last event that the
caller has, as long as the request may be repeated.  A marked chat is claimed first
and dispatched once.
"""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import httpx
import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.config.routing import RoutingTable
from skylarklift.errors import BadRequest, OutcomeUnknown, Refusal, RequestError, UpstreamFailed
from skylarklift.generated import ReleaseCause, RetrySettings
from skylarklift.ids import Fingerprint, PoolId, ReplicaId
from skylarklift.invariants import INVARIANTS
from skylarklift.logger import log
from skylarklift.pools.placer import Placement, PlacementRequest, Placer
from skylarklift.requests.claiming import claim_request, require_own
from skylarklift.requests.claims import Claim, ClaimState, ClaimWriter, Outcome
from skylarklift.requests.gate import Gate
from skylarklift.requests.reading import CallerRequest, ChatRequest
from skylarklift.requests.refusals import chat_failure, late_error
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.client import (
    REQUEST_ID_HEADER,
    RESUME_HEADER,
    UpstreamClient,
    WholeAnswer,
    check_echo,
    is_busy,
)
from skylarklift.upstreams.crashes import CrashCounts
from skylarklift.upstreams.failures import FailureKind, UpstreamError
from skylarklift.upstreams.reader import EventReader
from skylarklift.upstreams.reports import LoadReporter
from skylarklift.upstreams.retries import RetryBudget

CrashTeller = Callable[[Fingerprint, ReplicaId], None]

CHAT_PATH = "/v1/chat/completions"


@dataclass
class ChatParts:
    """What every chat of a router uses."""

    clock: Clock
    gate: Gate
    placer: Placer
    upstreams: UpstreamClient
    reporter: LoadReporter
    claims: ClaimWriter
    budget: RetryBudget
    poison: CrashCounts
    retries: RetrySettings
    telemetry: Telemetry
    tell_crash: CrashTeller


@dataclass
class _Attempt:
    """One dispatch of a chat."""

    placement: Placement
    response: httpx.Response | None = None
    sent_at: Millis = Millis(0)
    first_token_ms: int = -1


@dataclass
class ChatSession:
    """One chat request from its arrival to the end of its answer."""

    parts: ChatParts
    request: ChatRequest
    dispatched: int = 0
    resumed: int = 0
    failed_replicas: set[ReplicaId] = field(default_factory=set)
    _attempt: _Attempt | None = None
    _claim: Claim | None = None
    _reader: EventReader | None = None
    _trace: str = ""

    @property
    def caller(self) -> CallerRequest:
        """Return the common part of the request."""
        return self.request.caller

    # Entry points.

    def status(self) -> int:
        """Return the status of a started chat's answer."""
        return self._attempt.response.status_code

    async def whole(self) -> WholeAnswer:
        """Return the whole answer of a chat that is not streamed."""
        try:
            kept = await self._claim_if_marked()
            if kept is not None:
                return kept
            with self._span("chat"), self._deadline():
                answer = await self._whole_with_retries()
                self._record(answer)
                return answer
            raise late_error(self.dispatched > 0)
        finally:
            self._end(ReleaseCause.CANCELLED)

    async def open(self) -> None:
        """Start a streamed chat; after this its head may be sent to the caller."""
        try:
            await self._refuse_streamed_resend()
            with self._span("chat"), self._deadline():
                await self._start_with_retries()
                return
            raise late_error(self.dispatched > 0)
        except BaseException:
            await self._abort()
            raise

    async def rejection(self) -> WholeAnswer:
        """Return the answer of an engine that did not stream, such as to a wrong body."""
        try:
            answer = await self.parts.upstreams.whole(self._attempt.response)
            self._finish()
            return answer
        except UpstreamError as exc:
            raise chat_failure(exc, self._claim is not None, self.dispatched) from exc
        finally:
            await self._abort()

    async def events(self) -> AsyncIterator[bytes]:
        """Yield the events of a started chat; the last one is the end or an error."""
        try:
            with self._span("answer"), self._deadline() as scope:
                while True:
                    try:
                        async for events in self._attempt_events():
                            yield events
                        self._finish()
                        return
                    except UpstreamError as exc:
                        await self._resume_after(exc)
            if scope.cancelled_caught:
                raise late_error(self.dispatched > 0)
        except RequestError as exc:
            self.parts.telemetry.count("chats.broken")
            yield self.parts.telemetry.error_event(exc)
        finally:
            await self._abort()

    def _deadline(self) -> trio.CancelScope:
        """Return a scope that ends with the caller's deadline."""
        return trio.move_on_after(self.caller.left_ms(self.parts.clock) / MS_PER_SECOND)

    @contextmanager
    def _span(self, name: str) -> Iterator[None]:
        """Run a block within a span of this chat."""
        outer = self._trace or self.caller.traceparent
        with self.parts.telemetry.span(name, outer, request=self.caller.request_id) as trace:
            self._trace = trace
            try:
                yield
            finally:
                self._trace = outer if name != "chat" else trace

    # Attempts.

    async def _start_with_retries(self) -> None:
        """Dispatch until an engine starts to answer."""
        while True:
            try:
                await self._dispatch(stream=True)
                return
            except UpstreamError as exc:
                await self._judge_failure(exc)

    async def _whole_with_retries(self) -> WholeAnswer:
        """Dispatch until an engine gives a whole answer."""
        while True:
            try:
                await self._dispatch(stream=False)
                answer = await self.parts.upstreams.whole(self._attempt.response)
                self._finish()
                return answer
            except UpstreamError as exc:
                await self._judge_failure(exc)

    async def _resume_after(self, exc: UpstreamError) -> None:
        """Go on at another replica behind the last forwarded event."""
        await self._close_response()
        await self._judge_failure(exc)
        self.resumed += 1
        self.parts.telemetry.count("chats.resumed")
        await self._start_with_retries()

    async def _dispatch(self, *, stream: bool) -> None:
        """Place the chat and send it to the replica."""
        placement, url = await self._place()
        attempt = self._attempt = _Attempt(placement, sent_at=self.parts.clock.now())
        if self._claim is not None:
            self._claim.use()
        self.dispatched += 1
        with self._span("dispatch"):
            headers = self._headers(stream)
            response = await self.parts.upstreams.open("POST", url, headers, self.caller.body)
        attempt.response = response
        if is_busy(response):
            await self._close_response()
            # Only the engine's word says that it did not run; a marked chat needs more.
            text = f"status {response.status_code}"
            raise UpstreamError(FailureKind.BUSY, text, sent=self._claim is not None)
        check_echo(response, self.caller.request_id)

    def _headers(self, stream: bool) -> dict[str, str]:
        """Return the headers for the engine."""
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: self.caller.request_id,
            "Skylarklift-Deadline-Ms": str(self.caller.left_ms(self.parts.clock)),
            "Skylarklift-Priority": self.caller.priority.value,
        }
        if self._trace:
            headers["traceparent"] = self._trace
        if stream and self._reader is not None and self._reader.offset:
            headers[RESUME_HEADER] = str(self._reader.offset)
        return headers

    async def _place(self) -> tuple[Placement, str]:
        """Return a grant that may be used now, and the address to send to."""
        while True:
            table = await self.parts.gate.settle(self.caller.left_ms(self.parts.clock))
            request = self._place_request(table)
            with self.parts.telemetry.span("place", request.trace) as trace:
                placement = await self.parts.placer.place(replace(request, trace=trace))
            replica = self.parts.gate.check_placement(placement)
            if replica is not None:
                return placement, replica.url + CHAT_PATH
            self.parts.placer.release(placement, ReleaseCause.CANCELLED)

    def _place_request(self, table: RoutingTable) -> PlacementRequest:
        """Return what to ask the admitter for, with the configuration in force now."""
        pool = self._check_names()
        if self.parts.poison.refuses(self.caller.fingerprint):
            raise Refusal(
                "poisoned", "the request crashed replicas", status=422, retry_after_ms=None
            )
        return PlacementRequest(
            pool=pool,
            workspace=self.caller.workspace,
            chat=self.request.chat,
            priority=self.caller.priority,
            wait_ms=self.caller.left_ms(self.parts.clock),
            version=table.version,
            fingerprint=self.caller.fingerprint,
            avoid=frozenset(self.failed_replicas),
            trace=self._trace,
        )

    def _check_names(self) -> PoolId:
        """Return the pool for the chat; raise for an unknown workspace or model."""
        table = self.parts.gate.table()
        workspace = table.workspace(self.caller.workspace)
        if workspace is None:
            text = f"no workspace {self.caller.workspace!r}"
            raise BadRequest("workspace_unknown", text, status=404)
        pool = table.pool_for(workspace, self.request.model)
        if pool is None:
            text = f"no model {self.request.model!r} for this workspace"
            raise BadRequest("model_unknown", text, status=404)
        return pool

    async def _attempt_events(self) -> AsyncIterator[bytes]:
        """Yield the new events of the running attempt."""
        attempt = self._attempt
        if self._reader is None or self.resumed:
            offset = self._reader.offset if self._reader else 0
            self._reader = EventReader(self.caller.request_id, offset)
        async for events in self.parts.upstreams.events(attempt.response, self._reader):
            if attempt.first_token_ms < 0:
                attempt.first_token_ms = self.parts.clock.now() - attempt.sent_at
                self.parts.telemetry.timing("first_token", attempt.first_token_ms)
            yield events

    # Failures.

    async def _judge_failure(self, exc: UpstreamError) -> None:
        """Return if the chat may be dispatched again; else raise its error."""
        placement = self._attempt.placement
        crashed = exc.kind is FailureKind.BROKEN and await self._is_gone(placement)
        self._end(ReleaseCause.CRASHED if crashed else ReleaseCause.FAILED)
        self.failed_replicas.add(placement.replica)
        self.parts.telemetry.count(f"upstream.{exc.kind.value}")
        if crashed:
            self._note_crash(placement)
        if not self._may_repeat(exc):
            raise chat_failure(exc, self._claim is not None, self.dispatched)
        if self.dispatched >= self.parts.retries.attempts or not self.parts.budget.take():
            raise chat_failure(exc, self._claim is not None, self.dispatched)
        if self.parts.poison.refuses(self.caller.fingerprint):
            raise UpstreamFailed("the request crashed several replicas and is not tried again")

    async def _is_gone(self, placement: Placement) -> bool:
        """Tell whether the engine itself is gone, and not just the connection to it."""
        pool = self.parts.gate.table().pool(placement.request.pool)
        replica = pool.replicas.get(placement.replica) if pool else None
        return replica is not None and await self.parts.reporter.read(replica.url) is None

    def _note_crash(self, placement: Placement) -> None:
        """Note the crash here and tell the other routers."""
        self.parts.poison.note(self.caller.fingerprint, placement.replica)
        self.parts.tell_crash(self.caller.fingerprint, placement.replica)

    def _may_repeat(self, exc: UpstreamError) -> bool:
        """Tell whether the chat may be dispatched again after a failure."""
        if self._claim is not None:
            if exc.sent:
                return False
            self._claim.dispatched = False
            return True
        forwarded = self._reader is not None and not self._reader.numbered
        started = self._attempt is not None and self._attempt.first_token_ms >= 0
        return not (forwarded and started)

    # Claims.

    async def _claim_if_marked(self) -> WholeAnswer | None:
        """Claim a marked chat; return the kept answer of its first run if there is one."""
        await self.parts.gate.enter(self.caller.left_ms(self.parts.clock))
        self._check_names()
        if not self.caller.marked:
            self.parts.budget.note_request()
            return None
        self._claim = await claim_request(self.parts.claims, self.parts.clock, self.caller)
        outcome = self._claim.outcome()
        if self._claim.state is ClaimState.TAKEN and outcome is not None:
            return WholeAnswer(outcome.status, outcome.content_type, outcome.body.encode())
        require_own(self._claim)
        return None

    async def _refuse_streamed_resend(self) -> None:
        """Claim a marked streamed chat; a resend gets "unknown", since events are not kept."""
        kept = await self._claim_if_marked()
        if kept is not None:
            raise OutcomeUnknown("the first request with this key has run")

    def _record(self, answer: WholeAnswer) -> None:
        """Keep the outcome of a marked chat for resends."""
        if self._claim is not None:
            body = answer.body.decode(errors="replace")
            self.parts.claims.record(self._claim, Outcome(answer.status, answer.content_type, body))

    # The end.

    def _finish(self) -> None:
        """Note that the whole answer was passed on."""
        INVARIANTS.require("whole_answer", self._reader is None or self._reader.finished)
        self._end(ReleaseCause.DONE)
        log.info(
            "chat_ended",
            request=self.caller.request_id,
            chat=self.request.chat,
            workspace=self.caller.workspace,
            replica=self._attempt.placement.replica,
            version=self.parts.gate.table().version,
            dispatched=self.dispatched,
            first_token_ms=self._attempt.first_token_ms,
        )

    def _end(self, cause: ReleaseCause) -> None:
        """Give the grant back, once."""
        if self._attempt is not None:
            self.parts.placer.release(self._attempt.placement, cause, self._attempt.first_token_ms)

    async def _abort(self) -> None:
        """Close what is still open, which cancels the request at the engine."""
        await self._close_response()
        self._end(ReleaseCause.CANCELLED)
        claim = self._claim
        if claim is not None and claim.state is ClaimState.OURS and not claim.dispatched:
            self.parts.claims.abandon(claim)
            self._claim = replace(claim, state=ClaimState.NOT_HAD)

    async def _close_response(self) -> None:
        """Close the connection of the running attempt."""
        if self._attempt is not None and self._attempt.response is not None:
            await self.parts.upstreams.finish(self._attempt.response)
