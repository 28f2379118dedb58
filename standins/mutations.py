"""Mutations of the entry router that violate its invariants, to show that tests detect them.

`standins.mutated_router` runs a mutated router.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from unittest.mock import patch

import trio

from skylarklift.entry.gossip.fleet import Fleet
from skylarklift.entry.model import RoutePlan
from skylarklift.entry.placement.fleet_limits import ColdRequestLimit, FleetRetryBudget, FleetShare
from skylarklift.entry.placement.rate_limits import RateLimits
from skylarklift.entry.process import EntryRouter
from skylarklift.entry.requests import forwarding
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.entry.requests.retry_state import MAX_ATTEMPTS, RetryDenial, RetryState
from skylarklift.entry.requests.serving import CallerServer
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.entry.state.row_cache import RowCache
from skylarklift.entry.state.rows import NO_ERA, TableComparison
from skylarklift.platform import names
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.platform.store import PlatformStore
from skylarklift.upstreams.events import StreamEvent
from skylarklift.upstreams.stream_position import StreamPosition


@dataclass(frozen=True)
class Replacement:
    """An attribute of the router's code and the faulty value to patch it with."""

    owner: object
    attribute: str
    replacement: object


prepare_next_request = HttpConnection.prepare_next_request
decode_response_head = PlatformHeaderCodec.decode_response_head
encode_upstream_headers = PlatformHeaderCodec.encode_upstream_headers


def _prepare_as_new(self) -> bool:
    """Forget that a connection served a request."""
    usable = prepare_next_request(self)
    self.reused = False
    return usable


def _decode_without_request_id(self, status, headers):
    """Decode a response head, dropping the id of the request that it belongs to."""
    head = decode_response_head(self, status, headers)
    head.request = None
    return head


def _encode_without_expected_replica(self, call, terms):
    """Encode a request without the header that names the expected replica."""
    headers = encode_upstream_headers(self, call, terms)
    return [field for field in headers if field[0] != names.EXPECT_REPLICA]


async def _skip_drain(self):
    """Return without waiting for requests in progress."""
    return None


async def _never_notice_disconnect(caller, scope):
    """Wait for ever instead of cancelling a request when its caller disconnects."""
    await trio.sleep_forever()


def _include_draining_upstreams(self, service):
    """Return the members of a service, including those that are draining."""
    return {name: item for name, item in self.upstreams.items() if item.record.service == service}


def _is_newer_or_unknown(self, row, page):
    """Treat an unknown row as newer even if its page is older than the cache."""
    known = self._rows.get(row.key)
    return known is None or row.version > known.version


def _compare_only_versions(self, summary):
    """Compare table summaries by version alone, without the digest of their rows."""
    if not summary.version or (
        self.version >= summary.last_change_version and summary.version < self.version
    ):
        return TableComparison.NOTHING_NEW
    missing = not self.version or self.version < summary.last_change_version
    return TableComparison.CHANGES_MISSING if missing else TableComparison.SAME


def _deny_only_attempts(self, outcome):
    """Let another attempt follow any failure, up to the limit on attempts."""
    return RetryDenial.ATTEMPTS if self.attempts >= MAX_ATTEMPTS else None


read_table = PlatformStore.read_table
read_changes = PlatformStore.read_changes
merge = RowCache.merge
compare = RowCache.compare


class AnyEra:
    """Equal to each era."""

    def __eq__(self, other):
        return True

    def __ne__(self, other):
        return False


async def _read_table_without_era(self, table):
    """Read a table as if the store had never been restored."""
    return replace(await read_table(self, table), era=NO_ERA)


async def _read_changes_without_era(self, table, after, wait_ms, era=NO_ERA):
    """Read changes whatever era the store is in."""
    return replace(await read_changes(self, table, after, wait_ms, AnyEra()), era=NO_ERA)


def _never_outdated(self, row, *, first_page):
    """Take each row of a restored store for the newest."""
    return False


def _merge_any_era(self, page):
    """Merge a page of an older era as if it were of the current one."""
    return merge(self, replace(page, era=max(page.era, self.era)))


def _compare_any_era(self, summary):
    """Compare a summary of an older era as if it were of the current one."""
    return compare(self, replace(summary, era=max(summary.era, self.era)))


class IdDroppingSplitter(forwarding.EventSplitter):
    """An event splitter that drops the event ids."""

    def feed(self, data):
        """Return the completed events without ids."""
        return [StreamEvent(None, event.raw) for event in super().feed(data)]


MUTATIONS = {
    "retry_everything": [Replacement(RetryState, "repeatable", property(lambda self: True))],
    "report_not_run": [Replacement(RetryState, "cannot_have_run", property(lambda self: True))],
    "accept_any_response": [
        Replacement(PlatformHeaderCodec, "decode_response_head", _decode_without_request_id),
        Replacement(HttpConnection, "has_no_input", lambda self: True),
        Replacement(HttpConnection, "prepare_next_request", _prepare_as_new),
    ],
    "accept_removed_keys": [
        Replacement(RoutePlan, "workspace", lambda self, key: next(iter(self.workspaces.values())))
    ],
    "skip_drain": [Replacement(EntryRouter, "_drain_requests", _skip_drain)],
    "ignore_event_ids": [
        Replacement(forwarding, "EventSplitter", IdDroppingSplitter),
        Replacement(StreamPosition, "is_next", lambda self, event: True),
    ],
    "use_draining_upstreams": [
        Replacement(ClusterState, "members_of", _include_draining_upstreams)
    ],
    "use_evacuated_zones": [Replacement(ClusterState, "usable_members", ClusterState.members_of)],
    "ignore_cold_limit": [Replacement(ColdRequestLimit, "allows", lambda self, *args: True)],
    "ignore_named_limit": [Replacement(RateLimits, "allows", lambda self, *args: True)],
    "keep_limits_alone": [Replacement(Fleet, "share", lambda self, key: FleetShare(1, 0))],
    "retry_without_budget": [Replacement(FleetRetryBudget, "try_spend", lambda self, *args: True)],
    "omit_expected_replica": [
        Replacement(
            PlatformHeaderCodec, "encode_upstream_headers", _encode_without_expected_replica
        )
    ],
    "apply_older_rows": [Replacement(RowCache, "_is_newer", lambda self, row, page: True)],
    "ignore_eras": [
        Replacement(PlatformStore, "read_table", _read_table_without_era),
        Replacement(PlatformStore, "read_changes", _read_changes_without_era),
    ],
    "apply_rows_of_copy": [Replacement(ClusterState, "_may_be_outdated", _never_outdated)],
    "accept_old_era": [
        Replacement(RowCache, "merge", _merge_any_era),
        Replacement(RowCache, "compare", _compare_any_era),
    ],
    "apply_removed_rows": [Replacement(RowCache, "_is_newer", _is_newer_or_unknown)],
    "compare_only_versions": [Replacement(RowCache, "compare", _compare_only_versions)],
    "use_fixed_cold_limit": [Replacement(ColdRequestLimit, "_limit", lambda self, cold_per_s: 3)],
    "retry_any_failure": [Replacement(RetryState, "denial", _deny_only_attempts)],
    "ignore_disconnects": [
        Replacement(CallerServer, "_cancel_on_disconnect", staticmethod(_never_notice_disconnect))
    ],
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Run a block with a mutation applied."""
    with ExitStack() as stack:
        for item in MUTATIONS[name]:
            stack.enter_context(patch.object(item.owner, item.attribute, item.replacement))
        yield
