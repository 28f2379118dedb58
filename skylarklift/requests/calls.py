"""Forward calls to plain services; a non-idempotent call is sent at most once."""

import random
from dataclasses import dataclass

import httpx
import trio

from skylarklift.clock import MS_PER_SECOND, Clock
from skylarklift.errors import BadRequest, OutcomeUnknown, Refusal, RequestError
from skylarklift.generated import Replica, RetrySettings, Service
from skylarklift.ids import ReplicaId, ServiceId
from skylarklift.requests.caller_errors import (
    call_error,
    deadline_error,
    denies_run,
    retry_error,
)
from skylarklift.requests.claim_checks import claim_request, require_owned
from skylarklift.requests.claims import Claim, ClaimState, ClaimWriter, Outcome
from skylarklift.requests.gate import Gate
from skylarklift.requests.parsing import IDEMPOTENCY_KEY_HEADER, CallerRequest
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.client import (
    REQUEST_ID_HEADER,
    BufferedResponse,
    UpstreamClient,
    check_request_id,
)
from skylarklift.upstreams.failures import UpstreamError
from skylarklift.upstreams.retries import RetryBudget

# Methods that RFC 9110, section 9.2.2 defines as idempotent and that may be retried.
IDEMPOTENT_METHODS = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")


@dataclass
class CallDependencies:
    """The components that all service calls of a router share."""

    clock: Clock
    gate: Gate
    upstreams: UpstreamClient
    claims: ClaimWriter
    budget: RetryBudget
    retries: RetrySettings
    telemetry: Telemetry


@dataclass(frozen=True)
class ServiceCall:
    """A caller's request to a plain service."""

    caller: CallerRequest
    service: ServiceId
    method: str
    path: str
    content_type: str


class CallRunner:
    """Run calls of plain services, with retries and claims."""

    def __init__(self, deps: CallDependencies):
        self._deps = deps

    async def run(self, call: ServiceCall) -> BufferedResponse:
        """Return the service's response; a raised `RequestError` says whether the call ran."""
        await self._deps.gate.enter(call.caller.left_ms(self._deps.clock))
        service = self._resolve_service(call)
        if not call.caller.non_idempotent:
            self._deps.budget.record_request()
            return await self._run_retryable(call, service)
        claim = await claim_request(self._deps.claims, self._deps.clock, call.caller)
        outcome = claim.outcome()
        if claim.state is ClaimState.TAKEN and outcome is not None:
            return BufferedResponse(outcome.status, outcome.content_type, outcome.body.encode())
        require_owned(claim)
        try:
            return await self._run_claimed(call, claim)
        finally:
            if not claim.dispatched:
                self._deps.claims.abandon(claim)

    def _resolve_service(self, call: ServiceCall) -> Service:
        """Return the service; raise `BadRequest` unless the workspace may use it."""
        table = self._deps.gate.table()
        workspace = table.workspace(call.caller.workspace)
        if workspace is None:
            text = f"no workspace {call.caller.workspace!r}"
            raise BadRequest("workspace_unknown", text, status=404)
        if call.service not in workspace.services:
            text = f"no service {call.service!r} for this workspace"
            raise BadRequest("service_unknown", text, status=404)
        return table.routing.services[call.service]

    async def _run_retryable(self, call: ServiceCall, service: Service) -> BufferedResponse:
        """Run a call without a claim; retry it where its method or the failure allows that."""
        failed: set[ReplicaId] = set()
        sent_failure: UpstreamError | None = None
        while True:
            try:
                name, upstream = await self._choose_upstream(call, failed)
                return await self._forward(call, service, upstream)
            except UpstreamError as exc:
                sent_failure = exc if exc.sent else sent_failure
                failed.add(name)
                self._deps.telemetry.count(f"upstream.{exc.kind.value}")
                retryable = not exc.sent or call.method in IDEMPOTENT_METHODS
                if not retryable or not self._may_retry(failed):
                    raise call_error(exc, sent_failure is not None) from exc
            except RequestError as exc:
                if not denies_run(exc, sent_failure):
                    raise
                raise retry_error(exc, sent_failure) from exc

    def _may_retry(self, failed: set[ReplicaId]) -> bool:
        """Return whether the attempt limit and the retry budget allow another dispatch."""
        return len(failed) < self._deps.retries.attempts and self._deps.budget.try_spend()

    async def _run_claimed(self, call: ServiceCall, claim: Claim) -> BufferedResponse:
        """Run a non-idempotent call; try another upstream only if nothing of it was sent."""
        failed: set[ReplicaId] = set()
        while True:
            service = self._resolve_service(call)
            name, upstream = await self._choose_upstream(call, failed)
            claim.mark_dispatched()
            try:
                response = await self._forward(call, service, upstream)
            except UpstreamError as exc:
                if exc.sent:
                    raise OutcomeUnknown(f"the call went out and failed: {exc}") from exc
                claim.dispatched = False
                failed.add(name)
                continue
            body = response.body.decode(errors="replace")
            self._deps.claims.record(claim, Outcome(response.status, response.content_type, body))
            return response

    async def _choose_upstream(
        self, call: ServiceCall, failed: set[ReplicaId]
    ) -> tuple[ReplicaId, Replica]:
        """Return a random upstream in service that has not failed this call."""
        table = await self._deps.gate.require_fresh_within(call.caller.left_ms(self._deps.clock))
        upstreams = table.routing.services[call.service].upstreams
        names = [name for name in table.ids_in_service(upstreams) if name not in failed]
        if not names:
            raise Refusal("no_upstream", "no upstream of the service takes the call")
        name = random.choice(names)
        return name, upstreams[name]

    async def _forward(
        self, call: ServiceCall, service: Service, upstream: Replica
    ) -> BufferedResponse:
        """Send the call to one upstream and return its complete response."""
        left_ms = min(service.timeout_ms, call.caller.left_ms(self._deps.clock))
        if not left_ms:
            raise Refusal("deadline", "the deadline passed before the call", status=504)
        if not self._deps.gate.check_upstream(upstream):
            raise Refusal("stale_router", "the upstream is no longer in service")
        with trio.move_on_after(left_ms / MS_PER_SECOND):
            response = await self._send_request(call, upstream, left_ms)
            check_request_id(response, call.caller.request_id)
            return await self._deps.upstreams.read_response(response)
        raise deadline_error(True)

    async def _send_request(
        self, call: ServiceCall, upstream: Replica, left_ms: int
    ) -> httpx.Response:
        """Send the call and its headers to the upstream; return once the response head arrives."""
        headers = {
            REQUEST_ID_HEADER: call.caller.request_id,
            "Skylarklift-Deadline-Ms": str(left_ms),
        }
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.caller.idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = call.caller.idempotency_key
        if call.caller.traceparent:
            headers["traceparent"] = call.caller.traceparent
        url = f"{upstream.url}/{call.path}"
        return await self._deps.upstreams.send_request(call.method, url, headers, call.caller.body)
