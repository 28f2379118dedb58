"""Read a site file: the machines, services, classes of requests and faults of a deployment."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak.stream_checker import PLAIN_SERVICE, STREAM_SERVICE, Kind

ROUTER_CLASS = "front"
# Replicas of one machine that plays a site; a larger site is scaled down.
MAX_REPLICAS = 24
PLAIN_KINDS = {"safe": Kind.IDEMPOTENT, "unsafe": Kind.NON_IDEMPOTENT}
TYPE_NAMES = {str: "a text", int: "a whole number", list: "a list", dict: "a table"}


class SiteError(Exception):
    """The site file cannot be played; the text says why."""


@dataclass(frozen=True)
class Place:
    """Where a replica runs, and for which service of the soak."""

    service: str
    zone: str


@dataclass(frozen=True)
class SiteClass:
    """One class of requests: its kind, its times, and how many events its streams have.

    `weight` is its part of all requests.
    """

    name: str
    kind: Kind
    deadline_ms: int
    timeout_ms: int
    events: tuple[int, int]
    weight: float


@dataclass(frozen=True)
class SiteFault:
    """One fault as the file writes it; a field that is left out is `None`."""

    kind: str
    share: float | None = None
    count: int | None = None
    x: float | None = None
    for_s: float = 5.0
    gap_s: float = 1.0
    how: tuple[str, ...] = ()
    zone: str | None = None

    def choose_count(self, total: int, default_share: float) -> int:
        """Return how many of so many things the fault meets, one at least."""
        if self.count is not None:
            return min(self.count, total)
        share = default_share if self.share is None else self.share
        return min(max(1, round(share * total)), total)


@dataclass(frozen=True)
class Site:
    """A deployment; `routers` and `spares` are the zones of its routers."""

    name: str
    zones: tuple[str, ...]
    routers: tuple[str, ...]
    spares: tuple[str, ...]
    replicas: tuple[Place, ...]
    classes: tuple[SiteClass, ...]
    faults: tuple[SiteFault, ...]
    drain_s: float


def read_site(path: Path) -> Site:
    """Return the site in a file; raise `SiteError` if it is none that can be played."""
    try:
        data = tomllib.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise SiteError(f"{path}: {exc}") from exc
    return parse_site(data)


def parse_site(data: Mapping[str, Any]) -> Site:
    """Return the site that the content of a file describes."""
    zones = tuple(_take(item, "name", str, "zones") for item in _take(data, "zones", list))
    if not zones:
        raise SiteError("zones: there is none")
    machines = [
        item
        for item in _take(data, "machines", list)
        if _take(item, "class", str, "machines") == ROUTER_CLASS
    ]
    classes = _parse_classes(data)
    routers = _list_zones(machines, "count", zones)
    if not routers:
        raise SiteError(f"machines: there is none of class {ROUTER_CLASS}")
    return Site(
        name=_take(data, "name", str),
        zones=zones,
        routers=routers,
        spares=_list_zones(machines, "spare", zones),
        replicas=_parse_replicas(data, zones),
        classes=classes,
        faults=tuple(_parse_fault(item) for item in data.get("troubles", [])),
        drain_s=_take_number(_take(data, "bounds", dict), "drain_ms", "bounds") / 1000,
    )


def _list_zones(items: list[Mapping], field: str, zones: tuple[str, ...]) -> tuple[str, ...]:
    """Return the zone of each of the things of which `field` gives the number by zone."""
    found: list[str] = []
    for item in items:
        zone = _take(item, "zone", str, "machines or servers")
        if zone not in zones:
            raise SiteError(f"zone {zone!r} is not among the zones")
        found += [zone] * int(item.get(field, 0))
    return tuple(found)


def _find_roles(data: Mapping[str, Any]) -> dict[str, str]:
    """Return the services of the soak by the names of the file's services."""
    roles: dict[str, str] = {}
    for item in _take(data, "classes", list):
        service, is_stream = _take(item, "service", str, "classes"), item.get("kind") == "stream"
        role = STREAM_SERVICE if is_stream else PLAIN_SERVICE
        if roles.setdefault(service, role) != role:
            raise SiteError(f"service {service!r} serves streams and single answers")
    if len(set(roles.values())) < len(roles):
        raise SiteError("more than one service serves streams, or single answers")
    return roles


def _parse_replicas(data: Mapping[str, Any], zones: tuple[str, ...]) -> tuple[Place, ...]:
    """Return the places of all replicas, in proportion fewer if they are too many."""
    roles, counts = _find_roles(data), {}
    services = _take(data, "services", list)
    if unknown := set(roles) - {item.get("name") for item in services}:
        raise SiteError(f"service {sorted(unknown)[0]!r} is not among the services")
    for item in services:
        if item.get("name") not in roles:
            continue
        for zone in _list_zones(_take(item, "servers", list, "services"), "count", zones):
            place = Place(roles[item["name"]], zone)
            counts[place] = counts.get(place, 0) + 1
    total = max(sum(counts.values()), MAX_REPLICAS)
    scaled = {place: max(1, count * MAX_REPLICAS // total) for place, count in counts.items()}
    return tuple(place for place, count in scaled.items() for _ in range(count))[:MAX_REPLICAS]


def _parse_classes(data: Mapping[str, Any]) -> tuple[SiteClass, ...]:
    """Return the classes of requests, the slowest first; no two of them are of one kind."""
    weights: dict[str, float] = {}
    for item in data.get("traffic", []):
        for name, weight in item.get("mix", {}).items():
            weights[name] = weights.get(name, 0.0) + weight * item.get("per_s", 1.0)
    items = _take(data, "classes", list)
    items = sorted(items, key=lambda item: -_take_number(item, "deadline_ms", "classes"))
    found: dict[Kind, SiteClass] = {}
    for item in items:
        name = _take(item, "name", str, "classes")
        kind = _find_kind(item, taken=found)
        found[kind] = SiteClass(
            name,
            kind,
            round(_take_number(item, "deadline_ms", name)),
            round(_take_number(item, "timeout_ms", name)),
            _find_events(item, name) if kind.is_stream else (0, 0),
            weights.get(name, 1.0 if not weights else 0.0),
        )
    if not any(item.weight for item in found.values()):
        raise SiteError("traffic: no class has a weight")
    return tuple(found.values())


def _find_kind(item: Mapping[str, Any], taken: Mapping[Kind, SiteClass]) -> Kind:
    """Return the soak's kind of a class; of two resumable streams the quicker one is brief."""
    name, kind = item["name"], _take(item, "kind", str, "classes")
    if kind != "stream":
        if kind not in PLAIN_KINDS:
            raise SiteError(f"class {name!r}: kind {kind!r} is not played")
        found = [PLAIN_KINDS[kind]]
    elif _take(item, "stream", dict, name).get("resume"):
        found = [Kind.STREAM, Kind.BRIEF]
    else:
        found = [Kind.ONCE]
    for kind in found:
        if kind not in taken:
            return kind
    raise SiteError(f"class {name!r}: there are too many classes of its kind")


def _find_events(item: Mapping[str, Any], name: str) -> tuple[int, int]:
    """Return the fewest and the most events of most streams of a class."""
    pieces = _take(_take(item, "stream", dict, name), "pieces", dict, name)
    mean, spread = (_take_number(pieces, field, name) for field in ("mean", "spread"))
    fewest = max(1, round(mean / (1 + spread)))
    return fewest, max(fewest, round(min(mean * (1 + spread), pieces.get("max", mean))))


def _parse_fault(item: Mapping[str, Any]) -> SiteFault:
    """Return one fault."""
    fields = ("share", "count", "x", "for_s", "gap_s", "zone")
    values = {name: item[name] for name in fields if name in item}
    how = tuple(item.get("how", "").split())
    return SiteFault(_take(item, "kind", str, "troubles"), how=how, **values)


def _take(table: Any, field: str, kind: type, where: str = "site") -> Any:
    """Return a field of a table; raise `SiteError` if it is missing or of another type."""
    if not isinstance(table, Mapping) or not isinstance(table.get(field), kind):
        raise SiteError(f"{where}: {field} is missing or is not {TYPE_NAMES[kind]}")
    return table[field]


def _take_number(table: Any, field: str, where: str) -> float:
    """Return a positive number in a table; raise `SiteError` if it is none."""
    value = table.get(field) if isinstance(table, Mapping) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise SiteError(f"{where}: {field} is missing or is not a positive number")
    return value
