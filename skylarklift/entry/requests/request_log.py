"""Log and count the attempts and results of requests."""

from typing import TYPE_CHECKING

from skylarklift.entry.core import Core
from skylarklift.entry.model import Call
from skylarklift.entry.placement.prefixes import shared_parts
from skylarklift.entry.requests.attempt import Attempt

if TYPE_CHECKING:
    from skylarklift.entry.requests.request_handler import RequestHandler

# Shared parts of a prompt that the line of a failed attempt names.
MAX_LOGGED_PARTS = 8
# Decimals of a mean load in the log.
LOGGED_DECIMALS = 2


def log_failed_attempt(core: Core, call: Call, attempt: Attempt, sends: int) -> None:
    """Log and count an attempt that did not complete the request; `sends` are those so far."""
    core.metrics.increment("sends_failed", attempt.outcome.value)
    core.event_log.write(
        "send_failed",
        id=call.request,
        upstream=attempt.record.replica,
        outcome=attempt.outcome.value,
        detail=attempt.detail,
        sends=sends,
        load=attempt.choice.load,
        **attempt.answer_fields(),
        parts=[part.name for part in shared_parts(call.parts)[:MAX_LOGGED_PARTS]],
    )


def log_result(handler: "RequestHandler", status: int) -> None:
    """Log the result of a request and update the metrics."""
    core, call = handler.core, handler.call
    span = core.clock.now() - call.received_at
    route = handler.route.name if handler.route else ""
    core.metrics.increment("requests", str(status))
    core.metrics.observe_ms("request", span, route and handler.route.kind.value)
    core.event_log.write(
        "request" if status in range(200, 300) else "request_failed",
        id=call.request,
        route=route,
        plan=handler.plan_version,
        status=status,
        ms_taken=span,
        sends=handler.steps,
        **({"no_retry": handler.denial.value} if handler.denial else {}),
        **({"error": str(handler.late_error)} if handler.late_error else {}),
        **(handler.forwarder.log_fields() if handler.forwarder else {}),
        **(_attempt_fields(handler.attempt) if handler.attempt else {}),
        **(handler.stream_version.log_fields() if handler.stream_version else {}),
        **(handler.search.log_fields() if handler.search else {}),
        **(handler.crash_guard.log_fields() if handler.crash_guard else {}),
    )


def _attempt_fields(attempt: Attempt) -> dict[str, float | str | list[int] | None]:
    """Return the load that the choice assumed, the one that was answered, and the answer."""
    choice, observed = attempt.choice, attempt.head.load if attempt.head else None
    return {
        "load": choice.load,
        "mean": round(choice.mean, LOGGED_DECIMALS),
        "load_age_ms": choice.load_age_ms,
        "observed_load": None if observed is None else observed.running + observed.waiting,
        **attempt.answer_fields(),
    }
