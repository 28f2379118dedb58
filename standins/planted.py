"""Faults planted in a router's promises, to show that tests find them.

Usage: python -m standins.planted NAME
"""

import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest.mock import patch

import trio

from skylarklift.entry import forwarding
from skylarklift.entry.cluster_state import ClusterState
from skylarklift.entry.fleet_limits import ColdRequestLimit, FleetRetryBudget
from skylarklift.entry.http_connection import HttpConnection
from skylarklift.entry.model import RoutePlan
from skylarklift.entry.process import EntryRouter
from skylarklift.entry.retry_state import RetryState
from skylarklift.entry.row_cache import RowCache
from skylarklift.entry.rows import TableComparison
from skylarklift.entry.serving import CallerServer
from skylarklift.platform import daemon, names
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.upstreams.events import StreamEvent


@dataclass(frozen=True)
class Planted:
    """A part of the program and the wrong one in its place."""

    owner: object
    attribute: str
    wrong: object


decode_response_head = PlatformHeaderCodec.decode_response_head
encode_upstream_headers = PlatformHeaderCodec.encode_upstream_headers


def _answer_without_id(self, status, headers):
    """Decode an answer and lose whose it is."""
    head = decode_response_head(self, status, headers)
    head.request = None
    return head


def _send_without_name(self, call, terms):
    """Encode a request and leave out which upstream it is for."""
    headers = encode_upstream_headers(self, call, terms)
    return [field for field in headers if field[0] != names.EXPECT_REPLICA]


async def _stop_at_once(self):
    """End whatever still runs."""
    return None


async def _never_gone(caller, scope):
    """Notice no client that leaves."""
    await trio.sleep_forever()


def _any_upstream(self, service):
    """Return the upstreams of a service, those that leave too."""
    return [item for item in self.upstreams.values() if item.record.service == service]


def _newer_or_unknown(self, row, page):
    """Take a row that is not known, whatever page it comes in."""
    known = self._rows.get(row.key)
    return known is None or row.version > known.version


def _compare_by_version(self, summary):
    """Take the other router's word without a look at the rows that exist."""
    if not summary.version or (
        self.version >= summary.last_change_version and summary.version < self.version
    ):
        return TableComparison.NOTHING_NEW
    missing = not self.version or self.version < summary.last_change_version
    return TableComparison.CHANGES_MISSING if missing else TableComparison.SAME


class BlindSplitter(forwarding.EventSplitter):
    """Split events and lose their ids."""

    def feed(self, data):
        """Return events without ids."""
        return [StreamEvent(None, event.raw) for event in super().feed(data)]


PLANTED = {
    "repeat_everything": [Planted(RetryState, "repeatable", property(lambda self: True))],
    "promise_not_run": [Planted(RetryState, "cannot_have_run", property(lambda self: True))],
    "take_any_answer": [
        Planted(PlatformHeaderCodec, "decode_response_head", _answer_without_id),
        Planted(HttpConnection, "has_no_input", lambda self: True),
    ],
    "keep_old_keys": [
        Planted(RoutePlan, "workspace", lambda self, key: next(iter(self.workspaces.values())))
    ],
    "stop_at_once": [Planted(EntryRouter, "_drain_requests", _stop_at_once)],
    "resume_blindly": [Planted(forwarding, "EventSplitter", BlindSplitter)],
    "use_leaving_upstreams": [Planted(ClusterState, "upstreams_of", _any_upstream)],
    "use_emptied_zones": [Planted(ClusterState, "usable_upstreams", ClusterState.upstreams_of)],
    "spare_no_cold_upstream": [Planted(ColdRequestLimit, "allows", lambda self, *args: True)],
    "repeat_without_budget": [Planted(FleetRetryBudget, "try_spend", lambda self, *args: True)],
    "send_to_any_name": [
        Planted(PlatformHeaderCodec, "encode_upstream_headers", _send_without_name)
    ],
    "take_older_rows": [Planted(RowCache, "_is_newer", lambda self, row, page: True)],
    "take_rows_that_are_gone": [Planted(RowCache, "_is_newer", _newer_or_unknown)],
    "believe_the_version_alone": [Planted(RowCache, "compare", _compare_by_version)],
    "send_by_rank_to_no_limit": [Planted(ColdRequestLimit, "_limit", lambda self, cold_per_s: 3)],
    "follow_any_failure": [
        Planted(RetryState, "may_retry", lambda self, outcome: self.attempts < 4)
    ],
    "work_for_nobody": [Planted(CallerServer, "_cancel_on_disconnect", staticmethod(_never_gone))],
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Run a block with a fault planted."""
    with ExitStack() as stack:
        for item in PLANTED[name]:
            stack.enter_context(patch.object(item.owner, item.attribute, item.wrong))
        yield


if __name__ == "__main__":
    with planted(sys.argv[1]):
        sys.exit(daemon.main([]))
