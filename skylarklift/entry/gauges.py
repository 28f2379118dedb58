"""Gauges of a router's state on the metrics page."""

from skylarklift.entry.core import Core
from skylarklift.entry.rollouts.gauges import update_rollout_gauges
from skylarklift.entry.state.rows import RowTable


def update_gauges(core: Core) -> None:
    """Set the gauges on the metrics page from the current state."""
    metrics, plan = core.metrics, core.cluster_state.plan
    metrics.set_gauge("plan_version", plan.version if plan else 0)
    metrics.set_gauge("requests_open", core.requests_open)
    metrics.set_gauge("relays_open", core.relays_open)
    metrics.set_gauge("links_cut", len(core.links.cut_zones()))
    metrics.set_gauge("connections_limit", core.descriptors.callers, "callers")
    metrics.set_gauge("routers_heard", len(core.fleet.live_peers()))
    metrics.set_gauge("upstreams_known", len(core.cluster_state.upstreams))
    metrics.set_gauge("store_era", core.newest_era)
    now = core.clock.now()
    metrics.replace_gauges(
        "quarantine_held_ms",
        {
            f"{hold.suspect.kind.value}:{hold.suspect.name}": now - hold.held_at
            for hold in core.suspects.held()
        },
    )
    update_rollout_gauges(metrics, core.rollouts)
    metrics.replace_gauges("hold_off_left_ms", core.chooser.hold_offs.left_ms())
    metrics.replace_gauges("observed_load", dict(core.chooser.observed_loads.loads()))
    metrics.replace_gauges("upstream_slowdown", dict(core.chooser.speeds.slowdowns()))
    metrics.replace_gauges("upstream_limit", core.chooser.rate_limits.named())
    metrics.replace_gauges("rejection_limit", core.chooser.concurrency_limits.named())
    spill = core.chooser.zone_spill
    metrics.replace_gauges("zone_pressure", spill.pressures())
    metrics.replace_gauges("zone_link_rtt_ms", dict(spill.links.known()))
    metrics.replace_gauges("zone_spill_part", dict(spill.parts()))
    for table in RowTable:
        cache = core.cluster_state.caches[table]
        metrics.set_gauge("older_rows", cache.older_rows, table.name.lower())
        metrics.set_gauge("rows_age_ms", core.cluster_state.age_ms(table), table.name.lower())
        metrics.set_gauge("reads_store", int(core.reading_store[table]), table.name.lower())
