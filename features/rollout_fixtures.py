"""Routers with orders for roll-outs, and what they decide."""

from features.entry_fixtures import apply_rows, new_core, plan_data, upstream_data
from skylarklift.entry.rollouts.exchange import apply_news
from skylarklift.entry.rollouts.news import RolloutNews, StateReport
from skylarklift.entry.state.rows import RowTable

SERVICE, OLD, NEW = "lm", "v1", "v2"
KEY = f"rollout/{SERVICE}"
REQUESTS = 20_000


def order_data(to=NEW, duration_s=60):
    """Return the data of an order's row."""
    return b'{"service":"lm","to":"%s","duration_s":%d}' % (to.encode(), duration_s)


def make_router(clock, versions=(OLD,), share=0.1, node="r1"):
    """Return the core of a router with two replicas of each version."""
    core = new_core(clock, node=node)
    core.settings.bounds.exposure_share = share
    apply_rows(core, RowTable.OPERATOR, 1, {"config": plan_data()}, complete=True)
    add_replicas(core, 1, versions, complete=True)
    core.rollouts.held_version(SERVICE)
    core.reading_store = dict.fromkeys(RowTable, True)
    return core


def add_replicas(core, row_version, versions, complete=False):
    """Let replicas of versions appear."""
    rows = {
        f"{version}-{number}": upstream_data(port=9000 + number, version=version)
        for version in versions
        for number in range(2)
    }
    apply_rows(core, RowTable.UPSTREAMS, row_version, rows, complete=complete)


def order(core, row_version, to=NEW):
    """Let a router read an order."""
    return apply_rows(core, RowTable.OPERATOR, row_version, {KEY: order_data(to)})


def may_go_to(core, version, again=False):
    """Return how many of the requests may go to a version."""
    found = 0
    for number in range(REQUESTS):
        wanted = core.rollouts.wanted(SERVICE, f"q{number}", again=again)
        found += wanted is None or (wanted.version == version) != wanted.others
    return found


def tell(core, phase, step=0, order_version=2):
    """Let another router tell a state."""
    report = StateReport(SERVICE, NEW, order_version, 100, 60_000, phase, step)
    apply_news(core, RolloutNews((report,)), "r2", "b")
