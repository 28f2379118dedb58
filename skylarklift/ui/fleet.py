"""Show what stands in the platform's store, and what each router on it believes."""

import argparse
import json
from dataclasses import asdict, dataclass

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.http_connection import HttpConnection, connect
from skylarklift.entry.model import Endpoint, RoutePlan
from skylarklift.entry.rows import EvacuationRow, InvalidRow, RowTable, UpstreamRow
from skylarklift.errors import LinkError, SettingsError
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.settings_file import parse_endpoint
from skylarklift.platform.store import PlatformStore
from skylarklift.ui.output import ExitCode, Output
from skylarklift.util.findings import Finding

CALL_TIMEOUT_MS = 2000
METRICS_LIMIT_BYTES = 1_048_576
PREFIX = "skylarklift_"


@dataclass
class StoreView:
    """What the store holds: the newest configuration, zones that are emptied, upstreams."""

    version: int = 0
    routes: int = 0
    zones_out: tuple[str, ...] = ()
    upstreams: int = 0
    draining: int = 0
    unreadable: tuple[str, ...] = ()


def show_fleet(options: argparse.Namespace, out: Output) -> int:
    """Print the store's view and every noted router's; exit 4 if a router is silent."""
    store = parse_endpoint(options.store)
    if store is None:
        raise SettingsError([Finding("--store", 0, "", f"{options.store!r} is not IP:PORT")])
    view, routers = trio.run(_read, store, options.metrics_port)
    behind = [name for name, values in routers.items() if values is None]
    lines = [
        f"configuration {view.version} with {view.routes} routes, {view.upstreams} upstreams, "
        f"{view.draining} of them draining, zones out: {', '.join(view.zones_out) or 'none'}"
    ]
    lines += [f"unreadable row: {key}" for key in view.unreadable]
    lines += [_router_line(name, values) for name, values in sorted(routers.items())]
    out.value({"store": asdict(view), "routers": routers}, "\n".join(lines))
    return ExitCode.UNREACHABLE if behind else ExitCode.OK


def _router_line(name: str, values: dict[str, int] | None) -> str:
    """Return what is known of one router."""
    if values is None:
        return f"{name}: no answer"
    shown = ("plan_version", "rows_age_ms", "routers_heard", "upstreams_known", "requests_open")
    found = {key: value for key, value in values.items() if key.startswith(shown)}
    return f"{name}: {json.dumps(found)}"


async def _read(
    address: Endpoint, metrics_port: int
) -> tuple[StoreView, dict[str, dict[str, int] | None]]:
    """Read the store, then ask every router that is noted there."""
    rows = PlatformRowFormat()
    store = PlatformStore(address, rows)
    view = StoreView()
    for table in RowTable:
        for row in (await store.read_table(table)).rows:
            try:
                _take(view, rows.decode(table, row.key, row.data))
            except InvalidRow:
                view.unreadable += (row.key,)
    found: dict[str, dict[str, int] | None] = {}

    async def ask(node: str, peer: str) -> None:
        host = peer.rpartition(":")[0]
        found[node] = await _metrics(host, metrics_port)

    async with trio.open_nursery() as nursery:
        for node, peer in (await store.read_members()).items():
            nursery.start_soon(ask, node, peer)
    return view, found


def _take(view: StoreView, item: RoutePlan | EvacuationRow | UpstreamRow | None) -> None:
    """Count one row in."""
    match item:
        case RoutePlan():
            view.version, view.routes = item.version, item.route_count
        case EvacuationRow():
            view.zones_out += (item.zone,) if item.active else ()
        case UpstreamRow() if item.record is not None:
            view.upstreams += 1
            view.draining += item.record.draining


async def _metrics(host: str, port: int) -> dict[str, int] | None:
    """Return a router's values by name, or `None` if it does not answer."""
    try:
        with trio.fail_after(CALL_TIMEOUT_MS / MS_PER_SECOND):
            link = HttpConnection(await connect(host, port, CALL_TIMEOUT_MS), f"{host}:{port}")
            await link.send(b"GET", b"/metrics", [], b"")
            await link.read_head()
            text = (await link.read_all(METRICS_LIMIT_BYTES)).decode()
            link.close()
    except (LinkError, trio.TooSlowError):
        # The router is silent; that is what the caller shows.
        return None
    pairs = [line.rsplit(" ", 1) for line in text.splitlines()]
    return {name.removeprefix(PREFIX): int(value) for name, value in pairs if value.isdigit()}
