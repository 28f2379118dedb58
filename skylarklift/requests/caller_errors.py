"""Errors that callers get for failures of upstreams and for missed deadlines."""

from skylarklift.clock import MS_PER_SECOND
from skylarklift.errors import OutcomeUnknown, Refusal, RequestError, RunState, UpstreamFailed
from skylarklift.upstreams.failures import UpstreamError

DEADLINE_STATUS = 504


def chat_error(exc: UpstreamError, claimed: bool, dispatch_count: int) -> RequestError:
    """Return the error for a chat that failed and is not retried.

    After more than one dispatch an earlier one may have run, whatever the last one did.
    """
    if claimed and exc.sent:
        return OutcomeUnknown(f"the upstream failed after the request went out: {exc}")
    return call_error(exc, exc.sent or dispatch_count > 1)


def call_error(exc: UpstreamError, sent: bool) -> RequestError:
    """Return the error for a failed request that the caller may send again."""
    if not sent:
        return Refusal("upstream_unreachable", f"no upstream took the request: {exc}")
    return UpstreamFailed(f"the upstream failed: {exc}", retry_after_ms=MS_PER_SECOND)


def denies_run(refusal: RequestError, failure: UpstreamError | None) -> bool:
    """Return whether a refusal says "not run" although an earlier dispatch was sent."""
    return failure is not None and refusal.run is RunState.NOT_RUN


def retry_error(refusal: RequestError, failure: UpstreamError) -> RequestError:
    """Return the error for a request that an upstream failed and that no other one took."""
    text = f"the upstream failed: {failure}; no other took the request: {refusal}"
    return UpstreamFailed(text, retry_after_ms=refusal.retry_after_ms)


def deadline_error(sent: bool) -> RequestError:
    """Return the error for a missed deadline; `sent` says whether the request was dispatched."""
    if not sent:
        text = "the deadline passed before any upstream took the request"
        return Refusal("deadline", text, status=DEADLINE_STATUS)
    error = OutcomeUnknown("the deadline passed while the request ran")
    error.status = DEADLINE_STATUS
    error.code = "deadline"
    return error
