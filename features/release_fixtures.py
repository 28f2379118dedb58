"""Build rows on software versions, and prompts assigned by them, for tests."""

from features.entry_fixtures import (
    ZONES,
    upstream_data,
)
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.state.rows import TableSummary
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight, pick_version

SERVICE = "lm"
REQUEST = "first-1"
ROW_VERSION = 2
LONGEST_MS = 15_000
STORE_NOW_MS = 10_000_000
# A router is silent after this long in a small fleet.
SILENCE_MS = 9000
EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2


def parse_weights(text):
    """Return the proportions VERSION:REPLICAS,..."""
    pairs = (item.split(":") for item in text.split(","))
    return tuple(VersionWeight(version, int(count)) for version, count in pairs)


def parse_steps(text):
    """Return the steps AGE_S=PROPORTIONS, separated by spaces."""
    items = (item.split("=") for item in text.split())
    return tuple(ReleaseStep(int(age) * 1000, parse_weights(weights)) for age, weights in items)


def prompt_of(context, version):
    """Return the key of a prompt that the newest proportions assign to a version."""
    if version == "any":
        return "s0"
    weights = context.steps[-1].weights
    return next(key for n in range(100) if pick_version(key := f"s{n}", weights) == version)


def entry(number, **fields):
    return upstream_data(zone=ZONES[number], port=9000 + number, **fields)


def gossip_of_releases(*releases):
    """Return a message of another router about software versions."""
    return GossipMessage("n1", "b", "", EMPTY_SUMMARIES, releases=releases)
