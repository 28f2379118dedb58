"""Claim non-idempotent requests and turn failed claims into errors for the caller."""

from skylarklift.clock import MS_PER_SECOND, Clock
from skylarklift.errors import BadRequest, OutcomeUnknown, Refusal
from skylarklift.requests.claims import Claim, ClaimName, ClaimState, ClaimWriter
from skylarklift.requests.parsing import CallerRequest


async def claim_request(claims: ClaimWriter, clock: Clock, caller: CallerRequest) -> Claim:
    """Claim a non-idempotent request; raise if its key was used for a different request."""
    name = ClaimName(caller.workspace, caller.idempotency_key)
    claim = await claims.claim(name, f"{caller.fingerprint:08x}", caller.left_ms(clock))
    if claim.state is ClaimState.TAKEN and claim.row is not None:
        if claim.row.fingerprint != f"{caller.fingerprint:08x}":
            text = "the idempotency key was used for another request"
            raise BadRequest("idempotency_key_reused", text, status=422)
    return claim


def require_owned(claim: Claim) -> None:
    """Raise unless this router holds the claim and may dispatch the request."""
    if claim.state is ClaimState.NOT_OBTAINED:
        raise Refusal("claim_not_had", "the store took no claim for the request in time")
    if claim.state is ClaimState.TAKEN:
        error = OutcomeUnknown(
            "the first request with this key is running or its outcome is not known",
            retry_after_ms=MS_PER_SECOND,
        )
        error.status = 409
        raise error
