"""A router's copy of the configuration, the evacuated zones and the list of upstreams.

The state is built from rows of the platform's store, read by this router or received from
another one.  A row is applied only if its version is newer than the known one, so the state
never goes back to an older version.  Versions order rows only within one era of the store; when
it was restored from a copy, what its writers count themselves shows which row is older.
"""

from collections.abc import Mapping
from dataclasses import replace

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import RoutePlan, UpstreamRecord
from skylarklift.entry.rollouts.order import RolloutRow
from skylarklift.entry.rollouts.orders import RolloutOrders
from skylarklift.entry.state.cold_periods import ColdPeriods
from skylarklift.entry.state.restored_rows import DecodedRow, DepartedUpstreams, RestoredRows
from skylarklift.entry.state.row_cache import RowCache
from skylarklift.entry.state.rows import (
    NO_ERA,
    Era,
    EvacuationRow,
    InvalidRow,
    RowChange,
    RowFormat,
    RowPage,
    RowTable,
    TableSummary,
    UpstreamRow,
)
from skylarklift.entry.state.service_index import ServiceIndex
from skylarklift.entry.state.upstream import (
    ROW_INVALID,
    UPSTREAM_ADDED,
    UPSTREAM_REMOVED,
    StateChange,
    Upstream,
    is_restart,
)
from skylarklift.ids import ReplicaId, ServiceId, ZoneId

# After an outage the store drops the entries that upstreams could not renew during it.  The
# upstreams write them again within about two seconds, so removals right after an outage are
# delayed by this much.
REMOVAL_DELAY_MS = 2200
MAX_TOMBSTONES = 500
# If the list of upstreams was not confirmed for longer than this, the store may have been
# unavailable and upstreams may have failed to renew their entries.
STORE_OUTAGE_MS = 2500
NEVER_CONFIRMED_AGE_MS = 1_000_000


class ClusterState:
    """The decoded rows of both tables."""

    def __init__(self, clock: Clock, rows: RowFormat):
        self._clock = clock
        self._format = rows
        self.caches = {table: RowCache() for table in RowTable}
        self.plan: RoutePlan | None = None
        self.upstreams: dict[ReplicaId, Upstream] = {}
        self.evacuated_zones: set[ZoneId] = set()
        self.rollout_orders = RolloutOrders()
        self.services = ServiceIndex(self.upstreams)
        self._cold_periods = ColdPeriods(clock)
        self._list_known = False
        self._delayed_removals: dict[ReplicaId, Millis] = {}
        self._removal_delay_until = Millis(0)
        self.restored = RestoredRows(clock)
        self.departed = DepartedUpstreams(clock)
        # The era in which the configuration was seen last, and the version of its first page.
        self._plan_era = NO_ERA
        self._first_plan_version = 0
        # Per table, the version of the last row that changed the state; a heartbeat, which
        # only renews an entry, counts just after a restore: others may have the entry of the copy.
        self.last_change_version = dict.fromkeys(RowTable, 0)
        self._confirmed_at: dict[RowTable, Millis | None] = dict.fromkeys(RowTable)

    @property
    def complete(self) -> bool:
        """Return whether both tables have been read."""
        return self.plan is not None and self.caches[RowTable.UPSTREAMS].version > 0

    def confirm_version(
        self, table: RowTable, version: int, age_ms: int = 0, era: Era = NO_ERA
    ) -> None:
        """Record that all changes up to `version` are known, confirmed by the store `age_ms` ago.

        If the list of upstreams was unconfirmed for long before that, delay removals for a while.
        What is said of an older era confirms nothing.
        """
        cache = self.caches[table]
        if era < cache.era:
            return
        if era == cache.era:
            cache.version = max(cache.version, version)
        confirmed_at = Millis(self._clock.now() - age_ms)
        last_confirmed_at = self._confirmed_at[table]
        if (
            table is RowTable.UPSTREAMS
            and last_confirmed_at is not None
            and confirmed_at - last_confirmed_at > STORE_OUTAGE_MS
        ):
            self._removal_delay_until = Millis(confirmed_at + REMOVAL_DELAY_MS)
        if last_confirmed_at is None or confirmed_at > last_confirmed_at:
            self._confirmed_at[table] = confirmed_at

    def summarize(self, table: RowTable) -> TableSummary:
        """Return the summary of a table that is sent to the other routers."""
        cache = self.caches[table]
        return TableSummary(
            cache.version,
            self.last_change_version[table],
            cache.digest,
            self.age_ms(table),
            cache.era,
        )

    def confirmed_at(self, table: RowTable) -> Millis | None:
        """Return when the store last confirmed the known version of a table, `None` if never."""
        return self._confirmed_at[table]

    def age_ms(self, table: RowTable) -> int:
        """Return the milliseconds since the store last confirmed the known version of a table."""
        confirmed_at = self._confirmed_at[table]
        return NEVER_CONFIRMED_AGE_MS if confirmed_at is None else self._clock.now() - confirmed_at

    def apply_page(self, table: RowTable, page: RowPage) -> list[StateChange]:
        """Merge a page of rows into the state and return the changes."""
        changes: list[StateChange] = []
        cache = self.caches[table]
        # Without rows of an earlier era there is nothing that a copy could be older than.
        restored = page.complete and page.era > cache.era and cache.version > 0
        if restored:
            self._start_era(table, page)
        for row in cache.merge(page):
            decoded = self._decode(table, row, changes)
            if decoded is not None:
                self.restored.release(table, row.key)
                if self._may_be_outdated(decoded, first_page=restored):
                    self.restored.hold(table, row.key, decoded, row.version)
                    changes.append(StateChange("restored_row_held", row.key, row.version))
                else:
                    changes += self._apply_row(decoded, row.version)
            if changes or self.restored.is_settling(table):
                self.last_change_version[table] = max(self.last_change_version[table], row.version)
        cache.prune_tombstones(MAX_TOMBSTONES)
        if table is RowTable.UPSTREAMS and not self._list_known:
            self._list_known = True
            for upstream in self.upstreams.values():
                upstream.mark_listed_at_start(page.era)
        return changes

    def _start_era(self, table: RowTable, page: RowPage) -> None:
        """Prepare for the first rows of a store that was restored from a copy."""
        self.restored.start_era(table)
        self.last_change_version[table] = page.version
        if table is RowTable.OPERATOR:
            self._first_plan_version = page.version
        else:
            until = Millis(self._clock.now() + REMOVAL_DELAY_MS)
            self._removal_delay_until = max(self._removal_delay_until, until)

    def _decode(
        self, table: RowTable, row: RowChange, changes: list[StateChange]
    ) -> DecodedRow | None:
        """Return a decoded row, `None` if it is not used; add a change if it is invalid."""
        try:
            return self._format.decode(table, row.key, row.data)
        except InvalidRow as exc:
            changes.append(StateChange(ROW_INVALID, row.key, row.version, str(exc)))
        except Exception as exc:
            # One row must not keep the router from the others.
            changes.append(StateChange("row_decode_failed", row.key, row.version, repr(exc)))
        if table is RowTable.UPSTREAMS:
            # An invalid entry replaces an earlier valid one: the replica is no longer used.
            return UpstreamRow(ReplicaId(row.key), None)
        return None

    def _apply_row(self, row: DecodedRow, version: int) -> list[StateChange]:
        """Apply a decoded row."""
        match row:
            case RoutePlan():
                return self._apply_plan(row, version)
            case EvacuationRow():
                return self._apply_evacuation(row, version)
            case RolloutRow():
                is_settling = self.restored.is_settling(RowTable.OPERATOR)
                return self.rollout_orders.apply(row, version, is_settling=is_settling)
            case UpstreamRow():
                return self._apply_upstream(row, version)

    def _may_be_outdated(self, row: DecodedRow, *, first_page: bool) -> bool:
        """Return whether a row of a restored store may be older than what is known.

        In the first page of an era, rows of the copy look like those written since.
        """
        match row:
            case RoutePlan():
                known = self.plan
                settling = first_page or self.restored.is_settling(RowTable.OPERATOR)
                return settling and known is not None and row.version < known.version
            case EvacuationRow():
                # That a zone gets nothing is right in any case; an order of the copy ends soon.
                return first_page and not row.active
            case RolloutRow():
                return first_page and self.rollout_orders.differs(row)
            case UpstreamRow(record=None):
                return False
            case UpstreamRow():
                upstream = self.upstreams.get(row.replica)
                last = upstream.record if upstream else self.departed.last_entry(row.replica)
                return first_page and last is not None and not last.is_older_than(row.record)

    def apply_settled_rows(self) -> list[StateChange]:
        """Apply the rows that were held back after the store was restored, once that has settled.

        A configuration of the copy stays unused: the known one has been accepted later.
        """
        changes: list[StateChange] = []
        for held in self.restored.take_due():
            if not isinstance(held.row, RoutePlan) or held.version > self._first_plan_version:
                changes += self._apply_row(held.row, held.version)
        return changes

    def _is_newer_plan(self, plan: RoutePlan, known: RoutePlan) -> bool:
        """Return whether a configuration was accepted after the known one.

        After a restore its number may be given out again, and be lower than the known one.
        """
        if plan.version > known.version:
            return True
        if self.caches[RowTable.OPERATOR].era <= self._plan_era or plan == known:
            return False
        return plan.version == known.version or not self.restored.is_settling(RowTable.OPERATOR)

    def _apply_plan(self, plan: RoutePlan, version: int) -> list[StateChange]:
        """Use a configuration from now on, unless the current one is at least as new."""
        era = self.caches[RowTable.OPERATOR].era
        known = self.plan
        if known is not None and not self._is_newer_plan(plan, known):
            if plan == known:
                self._plan_era = era
            return [StateChange("stale_plan_ignored", str(plan.version), version)]
        self.plan, self._plan_era = plan, era
        detail = f"{plan.route_count} routes, {len(plan.workspaces)} keys"
        return [StateChange("plan", str(plan.version), version, detail)]

    def _apply_evacuation(self, row: EvacuationRow, version: int) -> list[StateChange]:
        """Record that a zone is evacuated, or that its evacuation has ended.

        The replicas of a restored zone count as cold again, also if this router did not hear that
        it was evacuated.
        """
        if row.active:
            self.evacuated_zones.add(row.zone)
            return [StateChange("zone_out", row.zone, version)]
        self.evacuated_zones.discard(row.zone)
        for upstream in self.upstreams.values():
            if upstream.record.zone == row.zone:
                self._cold_periods.extend(upstream, self._cold_ms(upstream.record))
        return [StateChange("zone_restored", row.zone, version)]

    def _cold_ms(self, record: UpstreamRecord) -> int:
        """Return how long a replica of a service stays cold after it starts."""
        plan = self.plan.services.get(record.service) if self.plan else None
        return plan.cold_ms if plan else record.cold_ms

    def restart_cold_period(self, replica: ReplicaId) -> None:
        """Treat a replica as just started, since it may have restarted while it was unreachable."""
        upstream = self.upstreams.get(replica)
        if upstream is not None:
            self._cold_periods.extend(upstream, self._cold_ms(upstream.record))

    def doubt_software(self, replica: ReplicaId) -> None:
        """Record that a replica could not be reached: its entry may be from before a restart."""
        upstream = self.upstreams.get(replica)
        if upstream is not None:
            upstream.software_doubted = True

    def suspect_restart(self, replica: ReplicaId, *, seen_here: bool = True) -> None:
        """Record that a replica ended a connection, here or at another router."""
        upstream = self.upstreams.get(replica)
        if upstream is not None:
            upstream.suspect_restart(self._clock.now(), seen_here=seen_here)

    def seen_restarts(self) -> list[ReplicaId]:
        """Return the replicas that ended a connection of this router lately."""
        now = self._clock.now()
        return [name for name, item in self.upstreams.items() if item.tells_restart(now)]

    def mark_leaving(self, record: UpstreamRecord) -> list[StateChange]:
        """Record that an upstream said in an answer that it leaves, until it restarts.

        Its entry may be gone by then, and come back.
        """
        upstream = self.upstreams.get(record.replica)
        if upstream is not None and (upstream.leaving or is_restart(record, upstream.record)):
            return []
        self.departed.add_announced(record)
        if upstream is None:
            return []
        upstream.leaving = True
        self.services.clear()
        return [StateChange("upstream_leaving", record.replica, 0, record.service)]

    def apply_reported_cold_time(self, replica: ReplicaId, span_ms: int) -> None:
        """Apply the remaining cold time that a replica reported in a response."""
        upstream = self.upstreams.get(replica)
        if upstream is not None and span_ms > 0:
            self._cold_periods.extend(upstream, span_ms)

    def _apply_upstream(self, row: UpstreamRow, version: int) -> list[StateChange]:
        """Add, update or remove an upstream according to its entry in the list."""
        if row.record is None:
            return self._remove_or_delay(row.replica, version)
        was_delayed = self._delayed_removals.pop(row.replica, None) is not None
        known = self.upstreams.get(row.replica)
        if known is None or is_restart(known.record, row.record):
            return self._add_upstream(row.record, version)
        event = self._update_upstream(known, row.record)
        if not event and was_delayed:
            event = "upstream_removal_cancelled"
        return [StateChange(event, row.replica, version, row.record.service)] if event else []

    def _update_upstream(self, upstream: Upstream, record: UpstreamRecord) -> str:
        """Update an upstream that has not restarted.

        Return the log event for the change, or an empty string for a mere heartbeat.
        """
        event = ""
        known = upstream.record
        if replace(record, cold_ms=known.cold_ms, sequence=known.sequence) != known:
            event = "upstream_changed"
            self.services.clear()
        if self._cold_periods.apply_entry(upstream, record.cold_ms):
            event = "upstream_cold"
        if record.draining != upstream.draining:
            event = "upstream_draining"
            self.services.clear()
        upstream.record = record
        upstream.draining = record.draining
        upstream.software_doubted = False
        return event

    def _add_upstream(self, record: UpstreamRecord, version: int) -> list[StateChange]:
        """Add a replica, or replace its record after a restart under the same name."""
        now = self._clock.now()
        upstream = Upstream(
            record,
            now,
            known_since=now,
            draining=record.draining,
            leaving=self.departed.has_announced(record),
        )
        self._cold_periods.forget(record.replica)
        self._cold_periods.apply_entry(upstream, record.cold_ms)
        self.upstreams[record.replica] = upstream
        self.services.clear()
        detail = f"{record.service} {record.host}:{record.port} cold {record.cold_ms} ms"
        return [StateChange(UPSTREAM_ADDED, record.replica, version, detail)]

    def _remove_or_delay(self, replica: ReplicaId, version: int) -> list[StateChange]:
        """Remove a replica, or delay the removal after an outage of the store."""
        known = self.upstreams.get(replica)
        if known is None:
            return []
        now = self._clock.now()
        if now < self._removal_delay_until and not known.draining:
            self._delayed_removals[replica] = self._removal_delay_until
            return [StateChange("upstream_removal_delayed", replica, version)]
        return self._remove_upstream(replica, version)

    def _remove_upstream(self, replica: ReplicaId, version: int) -> list[StateChange]:
        """Remove a replica at once."""
        upstream = self.upstreams.pop(replica)
        self.departed.add(upstream.record, announced=upstream.leaving)
        self._cold_periods.forget(replica)
        self._delayed_removals.pop(replica, None)
        self.services.clear()
        return [StateChange(UPSTREAM_REMOVED, replica, version)]

    def apply_delayed_removals(self) -> list[StateChange]:
        """Remove the replicas whose delay has ended, if the list was confirmed recently."""
        if self.age_ms(RowTable.UPSTREAMS) > STORE_OUTAGE_MS:
            return []
        now = self._clock.now()
        due = [replica for replica, moment in self._delayed_removals.items() if moment <= now]
        return [change for replica in due for change in self._remove_upstream(replica, 0)]

    def members_of(self, service: ServiceId) -> Mapping[ReplicaId, Upstream]:
        """Return the replicas of a service that are not draining.

        The mapping is the same object as long as they are the same.
        """
        return self.services.members(service)

    def usable_members(self, service: ServiceId) -> Mapping[ReplicaId, Upstream]:
        """Return the replicas of a service outside evacuated zones."""
        members = self.members_of(service)
        if not self.evacuated_zones:
            return members
        return {
            replica: upstream
            for replica, upstream in members.items()
            if upstream.record.zone not in self.evacuated_zones
        }
