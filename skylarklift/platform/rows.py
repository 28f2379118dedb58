"""Decode the rows of the platform's store: configurations, zone evacuations, upstreams."""

import json
from typing import Any

from skylarklift.entry.model import (
    CallerLimits,
    Route,
    RouteKind,
    RoutePlan,
    ServicePlan,
    Target,
    UpstreamRecord,
    Workspace,
    parse_endpoint,
)
from skylarklift.entry.rows import EvacuationRow, InvalidRow, RowFormat, RowTable, UpstreamRow
from skylarklift.ids import ReplicaId, ServiceId, SoftwareVersion, Version, WorkspaceId, ZoneId
from skylarklift.platform import names

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
MS_PER_SECOND = 1000
DEFAULT_TIMEOUT_MS = 15000
MAX_EXACT_INTEGER = 2**53 - 1
UPSTREAM_STATES = ("ready", "draining")


class PlatformRowFormat(RowFormat):
    """The row format of the platform: JSON objects."""

    def table_name(self, table: RowTable) -> str:
        """Return the platform's name of a table."""
        return names.OPERATOR_TABLE if table is RowTable.OPERATOR else names.SERVER_TABLE

    def decode(
        self, table: RowTable, key: str, data: bytes | None
    ) -> RoutePlan | EvacuationRow | UpstreamRow | None:
        """Return the decoded row, or `None` if routers do not use it; raise `InvalidRow`."""
        if table is RowTable.UPSTREAMS:
            return UpstreamRow(
                ReplicaId(key), None if data is None else _decode_upstream(key, data)
            )
        if key == names.CONFIG_KEY:
            return None if data is None else decode_plan(data)
        if key.startswith(names.EVACUATE_PREFIX):
            zone = ZoneId(key.removeprefix(names.EVACUATE_PREFIX))
            return EvacuationRow(zone, data is not None)
        return None


def _parse_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object of a row."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise InvalidRow(f"not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise InvalidRow("not a JSON object")
    return value


def _decode_upstream(key: str, data: bytes) -> UpstreamRecord:
    """Decode an upstream's own entry."""
    value = _parse_object(data)
    address = parse_endpoint(_text_field(value, "address"))
    if address is None:
        raise InvalidRow("address is not IP:PORT")
    state = _text_field(value, "state")
    if state not in UPSTREAM_STATES:
        raise InvalidRow(f"unknown state {state!r}")
    return UpstreamRecord(
        replica=ReplicaId(key),
        service=ServiceId(_text_field(value, "service")),
        host=address.host,
        port=address.port,
        zone=ZoneId(_text_field(value, "zone")),
        slots=_int_field(value, "slots"),
        draining=state == "draining",
        cold_ms=_int_field(value, "cold_remaining_ms", 0),
        started_ms=_int_field(value, "born", 0),
        sequence=_int_field(value, "sequence", 0),
        software=_software_version(value.get("version")),
    )


def _software_version(found: Any) -> SoftwareVersion | None:
    """Return the version of an upstream's software, `None` without one or with an odd one."""
    if not isinstance(found, str) or not found or not _is_encodable(found):
        return None
    return SoftwareVersion(found)


def _text_field(value: dict[str, Any], name: str) -> str:
    """Return a non-empty string field; raise `InvalidRow`."""
    found = value.get(name)
    if not isinstance(found, str) or not found:
        raise InvalidRow(f"{name} is not a non-empty string")
    if not _is_encodable(found):
        raise InvalidRow(f"{name} cannot be encoded")
    return found


def _is_encodable(text: str) -> bool:
    """Return whether a text can be sent to other routers: JSON may hold half a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _int_field(value: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return the whole part of a number field, or the default if it is missing.

    Raise `InvalidRow` if it is no number that JSON can hold exactly, or negative.
    """
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise InvalidRow(f"{name} is not a number")
    if not 0 <= found <= MAX_EXACT_INTEGER:
        raise InvalidRow(f"{name} is out of range")
    return int(found)


def decode_plan(data: bytes) -> RoutePlan:
    """Decode a configuration row; raise `InvalidRow`."""
    value = _parse_object(data)
    try:
        return _parse_plan(value)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise InvalidRow(f"configuration: {type(exc).__name__}: {exc}") from exc


def _parse_plan(value: dict[str, Any]) -> RoutePlan:
    """Return the routing plan of a parsed configuration."""
    routes: dict[str, dict[str, Route]] = {}
    for item in value["routes"]:
        route = _parse_route(item)
        routes.setdefault(route.host, {})[route.prefix] = route
    workspaces = {}
    for item in value.get("tenants") or ():
        workspace = Workspace(
            WorkspaceId(item["name"]), item.get("priority"), _allowed_regions(item)
        )
        workspaces.update((key, workspace) for key in item["api_keys"])
    services = [_parse_service(item) for item in value["services"]]
    return RoutePlan(
        version=Version(value["version"]),
        routes=routes,
        services={plan.service: plan for plan in services},
        workspaces=workspaces,
        limits=_parse_limits(value.get("limits") or {}),
        route_count=len(value["routes"]),
    )


def _parse_route(item: dict[str, Any]) -> Route:
    """Return one route.

    `goal_ms` is the latency objective; `max_attempts` limits how many replicas may run a request.
    """
    split = item.get("traffic_split")
    if split:
        targets = tuple(Target(ServiceId(part["service"]), part["weight"]) for part in split)
    else:
        targets = (Target(ServiceId(item["service"]), 1),)
    timeout_ms = int(item.get("timeout_ms") or DEFAULT_TIMEOUT_MS)
    return Route(
        name=item.get("name", ""),
        host=item["hostname"].lower(),
        prefix=item["prefix"],
        kind=ROUTE_KINDS[item["route_type"]],
        targets=targets,
        timeout_ms=timeout_ms,
        objective_ms=int(item.get("goal_ms") or timeout_ms),
        priority=int(item.get("priority") or 0),
        max_runs=int(item.get("max_attempts") or 1),
        anonymous=bool(item.get("anonymous")),
        affinity=bool(item.get("session_affinity")),
        resumable=bool(item.get("stream_resume")),
        allowed_regions=_allowed_regions(item),
    )


def _allowed_regions(item: dict[str, Any]) -> tuple[str, ...]:
    """Return the regions that requests may be sent to, empty for all."""
    return tuple(item.get("allowed_regions") or ())


def _parse_service(item: dict[str, Any]) -> ServicePlan:
    """Return one service; only model engines have a `runtime`."""
    engine = item.get("runtime") or {}
    return ServicePlan(
        service=ServiceId(item["name"]),
        cold_ms=int(float(item.get("cold_start_s") or 0) * MS_PER_SECOND),
        cold_per_s=float(item.get("cold_per_s") or 0),
        engine_slots=int(engine.get("slots") or 0),
    )


def _parse_limits(item: dict[str, Any]) -> CallerLimits:
    """Return the limits on callers' requests."""
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.get("max_header_bytes", defaults.header_bytes)),
        body_bytes=int(item.get("max_body_bytes", defaults.body_bytes)),
        header_ms=int(item.get("header_timeout_ms", defaults.header_ms)),
        idle_ms=int(item.get("idle_timeout_ms", defaults.idle_ms)),
    )
