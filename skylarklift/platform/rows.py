"""Decode the rows of the platform's store: configurations, zone evacuations, upstreams."""

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
from skylarklift.entry.rollouts.order import RolloutOrder, RolloutRow
from skylarklift.entry.state.rows import EvacuationRow, InvalidRow, RowFormat, RowTable, UpstreamRow
from skylarklift.ids import ReplicaId, ServiceId, SoftwareVersion, Version, WorkspaceId, ZoneId
from skylarklift.platform import names
from skylarklift.util.bounded import (
    checked_decimal,
    checked_integer,
    checked_list,
    checked_text,
    parse_json,
)

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
MS_PER_SECOND = 1000
DEFAULT_TIMEOUT_MS = 15000
# Longer spans mean the same as this one: a day.
MAX_SPAN_MS = 86_400_000
# An upstream with more slots than this is taken for one with as many.
MAX_SLOTS = 1_000_000
UPSTREAM_STATES = ("ready", "draining")


class PlatformRowFormat(RowFormat):
    """The row format of the platform: JSON objects."""

    def table_name(self, table: RowTable) -> str:
        """Return the platform's name of a table."""
        return names.OPERATOR_TABLE if table is RowTable.OPERATOR else names.SERVER_TABLE

    def decode(
        self, table: RowTable, key: str, data: bytes | None
    ) -> RoutePlan | EvacuationRow | RolloutRow | UpstreamRow | None:
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
        if key.startswith(names.ROLLOUT_PREFIX):
            service = ServiceId(key.removeprefix(names.ROLLOUT_PREFIX))
            return RolloutRow(service, None if data is None else _decode_order(service, data))
        return None


def _parse_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object of a row."""
    try:
        value = parse_json(data)
    except ValueError as exc:
        raise InvalidRow(f"not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise InvalidRow("not a JSON object")
    return value


def _decode_order(service: ServiceId, data: bytes) -> RolloutOrder:
    """Decode an order to move a service to another software version."""
    value = _parse_object(data)
    if _text_field(value, "service") != service:
        raise InvalidRow("service is not the one of the key")
    try:
        duration_ms = int(checked_decimal(value.get("duration_s")) * MS_PER_SECOND)
    except ValueError as exc:
        raise InvalidRow(f"duration_s: {exc}") from exc
    if not 0 < duration_ms <= MAX_SPAN_MS:
        raise InvalidRow(f"duration_s is not above 0 and at most {MAX_SPAN_MS // MS_PER_SECOND}")
    return RolloutOrder(service, SoftwareVersion(_text_field(value, "to")), duration_ms)


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
        replica=ReplicaId(_header_text(key, "key")),
        service=ServiceId(_text_field(value, "service")),
        host=address.host,
        port=address.port,
        zone=ZoneId(_text_field(value, "zone")),
        slots=min(_int_field(value, "slots"), MAX_SLOTS),
        draining=state == "draining",
        cold_ms=min(_int_field(value, "cold_remaining_ms", 0), MAX_SPAN_MS),
        started_ms=_int_field(value, "born", 0),
        sequence=_int_field(value, "sequence", 0),
        software=_software_version(value.get("version")),
    )


def _software_version(found: Any) -> SoftwareVersion | None:
    """Return the version of an upstream's software, `None` without one or with an odd one."""
    try:
        return SoftwareVersion(checked_text(found)) if found else None
    except ValueError:
        return None


def _text_field(value: dict[str, Any], name: str) -> str:
    """Return a non-empty string field; raise `InvalidRow`."""
    try:
        found = checked_text(value.get(name))
    except ValueError as exc:
        raise InvalidRow(f"{name}: {exc}") from exc
    if not found:
        raise InvalidRow(f"{name} is empty")
    return found


def _header_text(text: str, name: str) -> str:
    """Return a text that is sent as a header field; raise `InvalidRow` if it cannot be."""
    if not text.isprintable() or text != text.strip():
        raise InvalidRow(f"{name} cannot be sent in a header field")
    return text


def _int_field(value: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return the whole part of a number field, or the default if it is missing.

    Raise `InvalidRow` if it is no number that JSON can hold exactly, or negative.
    """
    try:
        return checked_integer(value.get(name, default))
    except ValueError as exc:
        raise InvalidRow(f"{name}: {exc}") from exc


def decode_plan(data: bytes) -> RoutePlan:
    """Decode a configuration row; raise `InvalidRow`."""
    value = _parse_object(data)
    try:
        return _parse_plan(value)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise InvalidRow(f"configuration: {type(exc).__name__}: {exc}") from exc


def _parse_plan(value: dict[str, Any]) -> RoutePlan:
    """Return the routing plan of a parsed configuration."""
    routes: dict[str, dict[str, Route]] = {}
    for item in checked_list(value["routes"]):
        route = _parse_route(item)
        routes.setdefault(route.host, {})[route.prefix] = route
    workspaces = {}
    tenants = value.get("tenants")
    for item in checked_list(() if tenants is None else tenants):
        workspace = _parse_workspace(item)
        keys = checked_list(item["api_keys"])
        workspaces.update((checked_text(key), workspace) for key in keys)
    services = [_parse_service(item) for item in checked_list(value["services"])]
    return RoutePlan(
        version=Version(checked_integer(value["version"])),
        routes=routes,
        services={plan.service: plan for plan in services},
        workspaces=workspaces,
        limits=_parse_limits(value.get("limits") or {}),
        route_count=len(value["routes"]),
        needs_key=tenants is not None,
    )


def _parse_workspace(item: dict[str, Any]) -> Workspace:
    """Return one workspace, without its keys."""
    name = _header_text(_text_field(item, "name"), "name of a tenant")
    priority = item.get("priority")
    return Workspace(
        WorkspaceId(name),
        None if priority is None else checked_integer(priority),
        _allowed_regions(item),
    )


def _parse_route(item: dict[str, Any]) -> Route:
    """Return one route.

    `goal_ms` is the latency objective; `max_attempts` limits how many replicas may run a request.
    """
    timeout_ms = _span_ms(item, "timeout_ms", DEFAULT_TIMEOUT_MS)
    return Route(
        name=checked_text(item.get("name", "")),
        host=_text_field(item, "hostname").lower(),
        prefix=_text_field(item, "prefix"),
        kind=ROUTE_KINDS[item["route_type"]],
        targets=_parse_targets(item),
        timeout_ms=timeout_ms,
        objective_ms=_span_ms(item, "goal_ms", timeout_ms),
        priority=_number_or(item, "priority", 0),
        max_runs=_number_or(item, "max_attempts", 1),
        anonymous=_flag(item, "anonymous"),
        affinity=_flag(item, "session_affinity"),
        resumable=_flag(item, "stream_resume"),
        allowed_regions=_allowed_regions(item),
    )


def _parse_targets(item: dict[str, Any]) -> tuple[Target, ...]:
    """Return the targets of a route, without those that get no share of the requests."""
    split = item.get("traffic_split")
    if not split:
        return (Target(ServiceId(_text_field(item, "service")), 1),)
    targets = [_parse_target(part) for part in checked_list(split)]
    return tuple(target for target in targets if target.weight > 0)


def _flag(item: dict[str, Any], name: str) -> bool:
    """Return a flag, false if it is missing; raise `ValueError` for text such as "false"."""
    found = item.get(name)
    if found is not None and not isinstance(found, bool):
        raise ValueError(f"{name} is neither true nor false")
    return bool(found)


def _parse_target(part: dict[str, Any]) -> Target:
    """Return one target of a route with several."""
    return Target(ServiceId(_text_field(part, "service")), checked_decimal(part["weight"]))


def _number_or(item: dict[str, Any], name: str, default: int) -> int:
    """Return a whole number, or the default if it is missing or 0; raise `ValueError`."""
    return checked_integer(item.get(name) or default)


def _span_ms(item: dict[str, Any], name: str, default: int) -> int:
    """Return a span in milliseconds, or the default if it is missing or 0; raise `ValueError`."""
    return min(_number_or(item, name, default), MAX_SPAN_MS)


def _allowed_regions(item: dict[str, Any]) -> tuple[str, ...]:
    """Return the regions that requests may be sent to, empty for all."""
    return tuple(checked_text(name) for name in checked_list(item.get("allowed_regions") or ()))


def _parse_service(item: dict[str, Any]) -> ServicePlan:
    """Return one service; only model engines have a `runtime`."""
    engine = item.get("runtime") or {}
    return ServicePlan(
        service=ServiceId(_text_field(item, "name")),
        cold_ms=min(
            int(checked_decimal(item.get("cold_start_s") or 0) * MS_PER_SECOND), MAX_SPAN_MS
        ),
        cold_per_s=checked_decimal(item.get("cold_per_s") or 0),
        engine_slots=min(_number_or(engine, "slots", 0), MAX_SLOTS),
    )


def _parse_limits(item: dict[str, Any]) -> CallerLimits:
    """Return the limits on callers' requests."""
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=checked_integer(item.get("max_header_bytes", defaults.header_bytes)),
        body_bytes=checked_integer(item.get("max_body_bytes", defaults.body_bytes)),
        header_ms=_limit_ms(item, "header_timeout_ms", defaults.header_ms),
        idle_ms=_limit_ms(item, "idle_timeout_ms", defaults.idle_ms),
    )


def _limit_ms(item: dict[str, Any], name: str, default: int) -> int:
    """Return a time-out in milliseconds, or the default if it is missing; raise `ValueError`."""
    return min(checked_integer(item.get(name, default)), MAX_SPAN_MS)
