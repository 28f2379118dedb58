"""Parse, validate and query the routing configuration of a deployment.

A `RoutingTable` holds one version of the configuration and is immutable.
"""

import hashlib
from collections.abc import Iterable
from typing import Any

from msgspec import ValidationError, convert, json

from skylarklift.errors import SettingsError
from skylarklift.generated import (
    Pool,
    Replica,
    Routing,
    Service,
    UpstreamState,
    Workspace,
    ZoneState,
)
from skylarklift.ids import PoolId, ReplicaId, ServiceId, Version, WorkspaceId, ZoneId
from skylarklift.util.findings import Finding
from skylarklift.util.jsonc import JsonDocument, parse_text, schema_findings, unknown_name_message

DIGEST_CHARACTERS = 16


class RoutingTable:
    """One accepted version of the routing configuration, with look-ups by name."""

    def __init__(self, version: Version, value: dict[str, Any]):
        self.version = version
        self.value = value
        self.routing = convert(value, type=Routing)
        self.digest = routing_digest(value)

    def pool(self, pool_id: PoolId) -> Pool | None:
        """Return the pool, or `None` if there is none."""
        return self.routing.pools.get(pool_id)

    def service(self, service_id: ServiceId) -> Service | None:
        """Return the service, or `None` if there is none."""
        return self.routing.services.get(service_id)

    def workspace(self, workspace_id: WorkspaceId) -> Workspace | None:
        """Return the workspace, or `None` if there is none."""
        return self.routing.workspaces.get(workspace_id)

    def ids_in_service(self, upstreams: dict[str, Replica]) -> list[ReplicaId]:
        """Return the ids of the upstreams that accept new work, sorted."""
        return [ReplicaId(name) for name in sorted(upstreams) if self.in_service(upstreams[name])]

    def in_service(self, replica: Replica) -> bool:
        """Return whether a replica and its availability zone both accept new work."""
        zone = self.routing.zones.get(replica.zone)
        return replica.state is UpstreamState.IN and zone is not None and zone.state is ZoneState.IN

    def pool_for(self, workspace: Workspace, model: str) -> PoolId | None:
        """Return the first pool of the workspace that serves the model."""
        for pool_id in workspace.pools:
            if model in self.routing.pools[pool_id].models:
                return PoolId(pool_id)
        return None

    def zones(self) -> dict[ZoneId, ZoneState]:
        """Return the state of each availability zone."""
        return {ZoneId(name): zone.state for name, zone in self.routing.zones.items()}


def routing_digest(value: dict[str, Any]) -> str:
    """Return a truncated SHA-256 of a configuration, independent of key order."""
    body = json.encode(value, order="sorted")
    return hashlib.sha256(body).hexdigest()[:DIGEST_CHARACTERS]


def check_routing(document: JsonDocument) -> list[Finding]:
    """Return a finding for each error in a routing configuration."""
    try:
        routing = convert(document.value, type=Routing)
    except ValidationError as exc:
        # `convert` stops at the first error; the slower schema check reports all of them.
        return schema_findings(document, "Routing") or [document.finding((), str(exc))]
    return list(_reference_findings(document, routing))


def _reference_findings(document: JsonDocument, routing: Routing) -> Iterable[Finding]:
    """Yield a finding for each undefined zone, pool or service and each invalid URL."""
    for group, upstreams in _upstream_groups(routing):
        for name, replica in upstreams.items():
            if replica.zone not in routing.zones:
                text = unknown_name_message(replica.zone, routing.zones)
                yield document.finding((*group, name, "zone"), f"availability zone: {text}")
            if not replica.url.startswith(("http://", "https://")):
                yield document.finding((*group, name, "url"), "must start with http:// or https://")
    for name, workspace in routing.workspaces.items():
        for field, known in (("pools", routing.pools), ("services", routing.services)):
            for index, used in enumerate(getattr(workspace, field)):
                if used not in known:
                    path = ("workspaces", name, field, index)
                    yield document.finding(path, unknown_name_message(used, known))


def _upstream_groups(routing: Routing) -> Iterable[tuple[tuple[str, ...], dict[str, Replica]]]:
    """Yield the key path and the upstreams of each pool and service."""
    for name, pool in routing.pools.items():
        yield ("pools", name, "replicas"), pool.replicas
    for name, service in routing.services.items():
        yield ("services", name, "upstreams"), service.upstreams


def parse_routing(name: str, text: str) -> dict[str, Any]:
    """Parse and validate a routing configuration.

    Raises `SettingsError` with all findings.
    """
    document = parse_text(name, text)
    findings = check_routing(document)
    if findings:
        raise SettingsError(findings)
    return document.value


def check_value(name: str, value: Any) -> None:
    """Validate a configuration that was not read from a file.

    Raises `SettingsError` with all findings.
    """
    findings = check_routing(JsonDocument(name, value, {}))
    if findings:
        raise SettingsError([Finding(name, 0, item.key, item.text) for item in findings])
