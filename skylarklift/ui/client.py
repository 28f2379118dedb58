"""HTTP client of the operators' API."""

import uuid
from dataclasses import dataclass
from typing import Any

import httpx

from skylarklift.errors import SkylarkError
from skylarklift.generated import PatchFormat

CALL_TIMEOUT_S = 20.0
MAX_PATCH_ATTEMPTS = 3


class ApiError(SkylarkError):
    """An error response of the API; `code` and `details` are from its body."""

    def __init__(self, code: str, message: str, details: dict[str, Any]):
        super().__init__(message)
        self.code = code
        self.details = details


class ApiUnreachable(SkylarkError):
    """No response, or one that is not from an operators' API."""


@dataclass(frozen=True)
class AcceptedPatch:
    """The version and the patch id of an accepted patch."""

    version: int
    patch_id: str


class OperatorClient:
    """Client of the operators' API of one router."""

    def __init__(self, url: str, token: str):
        self._client = httpx.Client(
            base_url=url,
            headers={"Authorization": f"Bearer {token}"} if token else {},
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )

    def configuration(self) -> dict[str, Any]:
        """Return the version, digest and routing configuration in force."""
        return self._call("GET", "/v1/configuration")

    def history(self, since: int) -> dict[str, Any]:
        """Return the accepted patches after a version."""
        return self._call("GET", "/v1/configuration/history", params={"since": since})

    def status(self) -> dict[str, Any]:
        """Return the status of all routers."""
        return self._call("GET", "/v1/status")

    def claim(self, workspace: str, key: str) -> dict[str, Any]:
        """Return the claim of a non-idempotent request."""
        return self._call("GET", f"/v1/claims/{workspace}/{key}")

    def order(self, pool: str, replica: str, kind: str, name: str) -> dict[str, Any]:
        """Send an order to an engine."""
        body = {"pool": pool, "replica": replica, "kind": kind, "name": name}
        return self._call("POST", "/v1/orders", json=body)

    def check(self, base: int, patch_format: PatchFormat, patch: Any) -> dict[str, Any]:
        """Validate a patch without accepting it."""
        body = {"base": base, "format": patch_format.value, "patch": patch}
        return self._call("POST", "/v1/configuration/check", json=body)

    def submit(
        self, base: int, patch_format: PatchFormat, patch: Any, patch_id: str = "", note: str = ""
    ) -> AcceptedPatch:
        """Submit a patch; retry with the same patch id while its outcome is unknown."""
        body = {
            "base": base,
            "format": patch_format.value,
            "patch": patch,
            "patch_id": patch_id or uuid.uuid4().hex,
            "note": note,
        }
        for attempt in range(MAX_PATCH_ATTEMPTS):
            try:
                accepted = self._call("POST", "/v1/configuration/patches", json=body)
                return AcceptedPatch(accepted["version"], accepted["patch_id"])
            except (ApiUnreachable, ApiError) as exc:
                settled = isinstance(exc, ApiError) and exc.code != "unsettled"
                if settled or attempt + 1 == MAX_PATCH_ATTEMPTS:
                    raise
        raise AssertionError("unreachable")

    def _call(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        """Send one request and return its JSON response."""
        try:
            response = self._client.request(method, path, **options)
        except httpx.HTTPError as exc:
            raise ApiUnreachable(f"no response from {self._client.base_url}: {exc}") from exc
        try:
            answer = response.json()
        except ValueError as exc:
            raise ApiUnreachable(
                f"response from {self._client.base_url} is not JSON; is it an operators' API?"
            ) from exc
        if response.status_code >= 400:
            error = answer.get("error", {})
            code = error.pop("code", f"http_{response.status_code}")
            raise ApiError(code, error.pop("message", response.text), error)
        return answer
