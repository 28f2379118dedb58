"""The HTTP API for operators: configuration, router status, claims and orders to engines."""

import hmac
import uuid
from typing import Any

import msgspec
from quart import request
from quart_trio import QuartTrio

from skylarklift.config.heads import HeadManager
from skylarklift.config.patching import PatchRequest, apply_patch
from skylarklift.config.routing import check_value
from skylarklift.errors import (
    PatchError,
    PatchUnsettled,
    SettingsError,
    SkylarkError,
    StalePatch,
    StoreError,
)
from skylarklift.generated import OperatorApiSettings, OrderBody, PatchBody, PatchFormat, PatchRow
from skylarklift.ids import PatchId, PoolId, Version, WorkspaceId
from skylarklift.logger import log
from skylarklift.operators.orders import Order, OrderDispatcher, OrderError, OrderLeaseHeldElsewhere
from skylarklift.operators.status import StatusCollector
from skylarklift.requests.claims import ClaimName, ClaimWriter
from skylarklift.telemetry import Telemetry
from skylarklift.util.bounded import parse_integer

MAX_PATCH_ID_CHARACTERS = 128
MAX_BODY_BYTES = 8 * 1024 * 1024
BEARER_PREFIX = "Bearer "


class NotAuthenticated(SkylarkError):
    """A call has no token of a configured operator."""


class BadCall(SkylarkError):
    """The body or the arguments of a call are invalid."""


class OperatorApi:
    """Serve the HTTP API for operators and the command-line tool."""

    def __init__(
        self,
        cfg: OperatorApiSettings,
        heads: HeadManager,
        status: StatusCollector,
        claims: ClaimWriter,
        orders: OrderDispatcher,
        telemetry: Telemetry,
    ):
        self._cfg = cfg
        self._heads = heads
        self._status = status
        self._claims = claims
        self._orders = orders
        self._telemetry = telemetry
        self.app = self._make_app()

    def _make_app(self) -> QuartTrio:
        """Return the app with its routes."""
        app = QuartTrio("skylarklift-operators")
        app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
        app.add_url_rule("/v1/configuration", view_func=self._show_configuration)
        app.add_url_rule("/v1/configuration/history", view_func=self._history)
        app.add_url_rule("/v1/configuration/patches", view_func=self._patch, methods=["POST"])
        app.add_url_rule("/v1/configuration/check", view_func=self._check, methods=["POST"])
        app.add_url_rule("/v1/orders", view_func=self._order, methods=["POST"])
        app.add_url_rule("/v1/status", view_func=self._show_status)
        app.add_url_rule("/v1/claims/<workspace>/<path:key>", view_func=self._claim)
        app.register_error_handler(NotAuthenticated, self._not_authenticated_response)
        app.register_error_handler(BadCall, self._bad_call_response)
        app.register_error_handler(StalePatch, self._stale_patch_response)
        app.register_error_handler(PatchUnsettled, self._unsettled_patch_response)
        app.register_error_handler(SettingsError, self._invalid_configuration_response)
        app.register_error_handler(PatchError, self._patch_error_response)
        app.register_error_handler(OrderLeaseHeldElsewhere, self._lease_held_elsewhere_response)
        app.register_error_handler(OrderError, self._order_error_response)
        app.register_error_handler(StoreError, self._store_error_response)
        return app

    # Endpoints.

    async def _show_configuration(self):
        """Return the configuration in force at this router."""
        self._authenticate()
        table = self._heads.table
        return {"version": table.version, "digest": table.digest, "routing": table.value}

    async def _history(self):
        """Return the patches accepted after a version."""
        self._authenticate()
        since = request.args.get("since", "0")
        try:
            version = parse_integer(since)
        except ValueError as exc:
            raise BadCall("since must be a version number") from exc
        rows = await self._heads.changes_since(version)
        return {"version": self._heads.table.version, "changes": _rows_as_json(rows)}

    async def _patch(self):
        """Accept a patch that is based on the current version."""
        operator = self._authenticate()
        body = await self._read_patch()
        patch_id = body.patch_id or uuid.uuid4().hex
        patch = PatchRequest(
            base=Version(body.base),
            patch_id=PatchId(patch_id),
            operator=operator,
            format=body.format,
            patch=body.patch,
            note=body.note,
        )
        version = await self._heads.accept(patch)
        self._telemetry.count("patches.accepted")
        log.info("patch_accepted", operator=operator, patch_id=patch_id, version=version)
        return {"version": version, "patch_id": patch_id}

    async def _check(self):
        """Validate a patch against the configuration in force without accepting it."""
        self._authenticate()
        body = await self._read_patch()
        table = self._heads.table
        if body.base != table.version:
            raise StalePatch(table.version, await self._heads.changes_since(body.base))
        check_value("patch", apply_patch(table.value, body.format, body.patch))
        return {"version": table.version, "valid": True}

    async def _show_status(self):
        """Return the status of every router in the view."""
        self._authenticate()
        return await self._status.collect()

    async def _claim(self, workspace: str, key: str):
        """Return the claim of a non-idempotent request."""
        self._authenticate()
        row = await self._claims.read(ClaimName(WorkspaceId(workspace), key))
        if row is None:
            return {"claim": None}
        return {"claim": row.value}

    async def _order(self):
        """Send an order to an engine."""
        operator = self._authenticate()
        try:
            body = msgspec.json.decode(await request.get_data(), type=OrderBody)
        except msgspec.MsgspecError as exc:
            raise BadCall(f"not an order: {exc}") from exc
        pool = self._heads.table.pool(PoolId(body.pool))
        replica = pool.replicas.get(body.replica) if pool else None
        if replica is None:
            raise BadCall(f"no replica {body.replica!r} in a pool {body.pool!r}")
        outcome = await self._orders.dispatch(Order(replica.url, body.kind, body.name))
        self._telemetry.count(f"orders.{outcome.value}")
        log.info(
            "order_sent",
            operator=operator,
            replica=body.replica,
            kind=body.kind.value,
            name=body.name,
            outcome=outcome.value,
            fence=self._orders.lease.fence,
        )
        return {"outcome": outcome.value, "fence": self._orders.lease.fence}

    # Authentication and parsing.

    def _authenticate(self) -> str:
        """Return the name of the operator whose token the call carries."""
        header = request.headers.get("Authorization", "")
        presented = header.removeprefix(BEARER_PREFIX).encode()
        operator_name = None
        for operator in self._cfg.operators:
            # All tokens are compared, so that the response time does not show which one matched.
            if hmac.compare_digest(operator.token.encode(), presented) and operator.token:
                operator_name = operator.name
        if operator_name is None or not header.startswith(BEARER_PREFIX):
            raise NotAuthenticated("a known operator's token is needed")
        return operator_name

    async def _read_patch(self) -> PatchBody:
        """Return the validated body of a patch call."""
        try:
            body = msgspec.json.decode(await request.get_data(), type=PatchBody)
        except msgspec.MsgspecError as exc:
            raise BadCall(f"not a patch call: {exc}") from exc
        expected_type = dict if body.format is PatchFormat.MERGE else list
        if not isinstance(body.patch, expected_type):
            raise BadCall(
                f"a patch of format {body.format.value} is a JSON {expected_type.__name__}"
            )
        if len(body.patch_id) > MAX_PATCH_ID_CHARACTERS or not body.patch_id.isprintable():
            raise BadCall("patch_id must be printable and of at most 128 characters")
        return body

    # Error responses.

    def _error_response(self, status: int, code: str, exc: Exception, **fields: Any):
        """Count and log an error; return its JSON error response."""
        self._telemetry.count(f"operators.{code}")
        log.info("operator_call_refused", code=code, text=str(exc))
        return {"error": {"code": code, "message": str(exc), **fields}}, status

    async def _not_authenticated_response(self, exc):
        return self._error_response(401, "not_authenticated", exc)

    async def _bad_call_response(self, exc):
        return self._error_response(400, "bad_call", exc)

    async def _stale_patch_response(self, exc):
        changes = _rows_as_json(exc.changes)
        return self._error_response(409, "stale_patch", exc, current=exc.current, changes=changes)

    async def _unsettled_patch_response(self, exc):
        return self._error_response(504, "unsettled", exc)

    async def _invalid_configuration_response(self, exc):
        findings = [{"key": item.key, "text": item.text} for item in exc.findings]
        return self._error_response(422, "invalid_configuration", exc, findings=findings)

    async def _patch_error_response(self, exc):
        return self._error_response(422, "patch_refused", exc)

    async def _lease_held_elsewhere_response(self, exc):
        fields = {"holder": exc.holder, "retry_ms": exc.retry_ms}
        return self._error_response(409, "order_giver_elsewhere", exc, **fields)

    async def _order_error_response(self, exc):
        return self._error_response(503, "order_not_given", exc)

    async def _store_error_response(self, exc):
        return self._error_response(503, "store_away", exc)


def _rows_as_json(rows: list[PatchRow]) -> list[dict]:
    """Return patch rows as JSON values."""
    return [msgspec.to_builtins(row) for row in rows]
