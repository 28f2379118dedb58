"""Show the contents of the platform's store and the metrics of the routers listed there."""

import argparse
import json
from dataclasses import asdict, dataclass

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.model import Endpoint, RoutePlan, parse_endpoint
from skylarklift.entry.requests.http_connection import HttpConnection, connect
from skylarklift.entry.rollouts.order import RolloutRow
from skylarklift.entry.state.restored_rows import DecodedRow
from skylarklift.entry.state.rows import EvacuationRow, InvalidRow, RowTable, UpstreamRow
from skylarklift.errors import SettingsError, TransportError
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.store import PlatformStore
from skylarklift.ui.output import ExitCode, Output
from skylarklift.util.findings import Finding

CALL_TIMEOUT_MS = 2000
MAX_METRICS_BYTES = 1_048_576
METRIC_PREFIX = "skylarklift_"


@dataclass
class StoreSummary:
    """The contents of the store: configuration, evacuated zones, upstreams and roll-outs."""

    version: int = 0
    routes: int = 0
    zones_out: tuple[str, ...] = ()
    upstreams: int = 0
    draining: int = 0
    unreadable: tuple[str, ...] = ()
    orders: tuple[str, ...] = ()
    rollouts: tuple[str, ...] = ()


def show_fleet(options: argparse.Namespace, out: Output) -> int:
    """Print a summary of the store and of every router listed in it.

    The exit code is `UNREACHABLE` if a listed router does not answer.
    """
    store = parse_endpoint(options.store)
    if store is None:
        raise SettingsError([Finding("--store", 0, "", f"{options.store!r} is not IP:PORT")])
    summary, routers = trio.run(_read_fleet, store, options.metrics_port)
    silent_routers = [name for name, values in routers.items() if values is None]
    lines = [
        f"configuration {summary.version} with {summary.routes} routes, "
        f"{summary.upstreams} upstreams, {summary.draining} of them draining, "
        f"zones out: {', '.join(summary.zones_out) or 'none'}"
    ]
    lines += [f"ordered: {order}" for order in summary.orders]
    lines += [f"roll-out: {state}" for state in summary.rollouts]
    lines += [f"unreadable row: {key}" for key in summary.unreadable]
    lines += [_router_line(name, values) for name, values in sorted(routers.items())]
    out.value({"store": asdict(summary), "routers": routers}, "\n".join(lines))
    return ExitCode.UNREACHABLE if silent_routers else ExitCode.OK


def _router_line(name: str, values: dict[str, float] | None) -> str:
    """Return the output line of one router."""
    if values is None:
        return f"{name}: no answer"
    shown = (
        "plan_version",
        "rows_age_ms",
        "routers_heard",
        "upstreams_known",
        "requests_open",
        "quarantine_held_ms",
        "store_era",
        "upstream_limit",
        "rejection_limit",
        "hold_off_left_ms",
        "rollout_",
    )
    found = {key: value for key, value in values.items() if key.startswith(shown)}
    return f"{name}: {json.dumps(found)}"


async def _read_fleet(
    address: Endpoint, metrics_port: int
) -> tuple[StoreSummary, dict[str, dict[str, float] | None]]:
    """Read the store, then fetch the metrics of every router listed in it."""
    rows = PlatformRowFormat()
    store = PlatformStore(address, rows)
    summary = StoreSummary()
    for table in RowTable:
        for row in (await store.read_table(table)).rows:
            try:
                _count_row(summary, rows.decode(table, row.key, row.data))
            except InvalidRow:
                summary.unreadable += (row.key,)
    summary.rollouts = tuple(
        f"{item.state.service} to {item.state.to}: {item.state.phase.value}, step {item.state.step}"
        for item in await store.read_rollouts()
    )
    metrics_by_router: dict[str, dict[str, float] | None] = {}

    async def fetch(node: str, peer: str) -> None:
        host = peer.rpartition(":")[0]
        metrics_by_router[node] = await _fetch_metrics(host, metrics_port)

    async with trio.open_nursery() as nursery:
        for node, peer in (await store.read_members()).items():
            nursery.start_soon(fetch, node, peer)
    return summary, metrics_by_router


def _count_row(summary: StoreSummary, item: DecodedRow | None) -> None:
    """Add one row to the summary."""
    match item:
        case RoutePlan():
            summary.version, summary.routes = item.version, item.route_count
        case EvacuationRow():
            summary.zones_out += (item.zone,) if item.active else ()
        case RolloutRow() if item.order is not None:
            order = item.order
            summary.orders += (f"{order.service} to {order.to} within {order.duration_ms} ms",)
        case UpstreamRow() if item.record is not None:
            summary.upstreams += 1
            summary.draining += item.record.draining


async def _fetch_metrics(host: str, port: int) -> dict[str, float] | None:
    """Return a router's metrics by name, or `None` if it does not answer."""
    try:
        with trio.fail_after(CALL_TIMEOUT_MS / MS_PER_SECOND):
            conn = HttpConnection(await connect(host, port, CALL_TIMEOUT_MS), f"{host}:{port}")
            await conn.send(b"GET", b"/metrics", [], b"")
            await conn.read_head()
            text = (await conn.read_all(MAX_METRICS_BYTES)).decode()
            conn.close()
    except (TransportError, trio.TooSlowError):
        # The caller reports that the router does not answer.
        return None
    pairs = [line.rsplit(" ", 1) for line in text.splitlines()]
    return {
        name.removeprefix(METRIC_PREFIX): json.loads(value)
        for name, value in pairs
        if value.replace(".", "", 1).isdigit()
    }
