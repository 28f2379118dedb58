"""The state and services that the tasks of one entry router share."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.admission.gate import Gate
from skylarklift.entry.answered_loads import record_answered_load
from skylarklift.entry.backpressure import record_backpressure
from skylarklift.entry.crashes.crash_records import CrashReport, Suspect
from skylarklift.entry.crashes.suspects import (
    QUARANTINE_EXTENDED,
    QUARANTINED,
    CrashSuspects,
    HoldChange,
)
from skylarklift.entry.event_log import EventLog
from skylarklift.entry.gossip.fleet import Fleet, GossipMessage
from skylarklift.entry.gossip.row_fetches import RowFetches
from skylarklift.entry.gossip.wire import PageEncoder
from skylarklift.entry.metrics import Metrics
from skylarklift.entry.model import NodeSettings, ReplicaLoad, ResponseHead, UpstreamRecord
from skylarklift.entry.placement.answering_services import AnsweringServices
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.choose import Chooser
from skylarklift.entry.placement.early_ends import EarlyEnds
from skylarklift.entry.placement.fleet_limits import FleetRetryBudget
from skylarklift.entry.placement.health import Health
from skylarklift.entry.placement.rate_limits import LimitReport
from skylarklift.entry.placement.undelimited_services import UndelimitedServices
from skylarklift.entry.placement.upstream_progress import UpstreamProgress
from skylarklift.entry.placement.zone_links import ZoneLinks
from skylarklift.entry.relays.dialer import Dialer
from skylarklift.entry.relays.link_states import LinkStates
from skylarklift.entry.relays.relay_choice import RelayChoice
from skylarklift.entry.requests.buffer_budget import BufferBudget
from skylarklift.entry.requests.connection_pool import ConnectionPool
from skylarklift.entry.requests.header_codec import HeaderCodec
from skylarklift.entry.requests.status_format import StatusFormat
from skylarklift.entry.rollouts.rollouts import Rollouts
from skylarklift.entry.standstill import Standstill
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.entry.state.rows import NO_ERA, Era, RowFormat, RowTable
from skylarklift.entry.state.upstream import ROW_INVALID, UPSTREAM_REMOVED, StateChange
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.resumptions import Resumptions
from skylarklift.entry.versions.stream_origins import StreamOrigins
from skylarklift.errors import leaf_errors, raise_location
from skylarklift.ids import ReplicaId, RequestId
from skylarklift.util.descriptors import DescriptorShares, descriptor_limit, divide_descriptors

if TYPE_CHECKING:
    from skylarklift.entry.requests.attempt import Attempt


# A relayed connection takes one descriptor to the other router and one to the upstream.
DESCRIPTORS_EACH_RELAY = 2


@dataclass(frozen=True, slots=True)
class Probe:
    """The result and time of a connection attempt that checked an upstream."""

    probed_at: Millis
    alive: bool


@dataclass
class Core:
    """The state, decisions and connections of one router.

    `reading_store` holds, per table, whether this router reads it from the store.
    `attempts` are the requests that have been sent to upstreams and not ended.
    `state_changed` is set when a change is to be sent to the other routers at once,
    `load_observed` when an upstream is newly busy or slow, and `crash_reported` when this router
    or another one has reported the crash of an upstream.
    `releases_read` is set once rows on software versions are known, or there are none, and
    `release_applied` with the next row that is new.
    `first_write_taken` is whether the store took the first write of this router, `None` until it
    was tried, and `rows_judged` is set once it is known if the rows were right before the start.
    `store_restored` is set when the store has lost what was written to it last.
    `descriptors_short` is set when a connection could not be opened for want of a descriptor.
    `accepts_callers` is true once callers can connect.
    """

    settings: NodeSettings
    clock: Clock
    header_codec: HeaderCodec
    status_format: StatusFormat
    event_log: EventLog
    metrics: Metrics
    cluster_state: ClusterState
    standstill: Standstill
    fleet: Fleet
    row_fetches: RowFetches
    health: Health
    chooser: Chooser
    gate: Gate
    retry_budget: FleetRetryBudget
    suspects: CrashSuspects
    progress: UpstreamProgress
    early_ends: EarlyEnds
    undelimited_services: UndelimitedServices
    answering_services: AnsweringServices
    connection_pool: ConnectionPool
    releases: Releases
    resumptions: Resumptions
    rollouts: Rollouts
    links: LinkStates
    dialer: Dialer
    buffers: BufferBudget
    descriptors: DescriptorShares
    rng: random.Random = field(default_factory=random.Random)
    probes: dict[ReplicaId, Probe] = field(default_factory=dict)
    attempts: set["Attempt"] = field(default_factory=set)
    newest_era: Era = NO_ERA
    releases_read: trio.Event = field(default_factory=trio.Event)
    release_applied: trio.Event = field(default_factory=trio.Event)
    first_write_taken: bool | None = True
    rows_judged: trio.Event = field(default_factory=trio.Event)
    stopping_since: Millis | None = None
    requests_open: int = 0
    # Connections of other routers to upstreams that this one relays.
    relays_open: int = 0
    accepts_callers: bool = False
    reading_store: dict[RowTable, bool] = field(
        default_factory=lambda: dict.fromkeys(RowTable, False)
    )
    state_changed: trio.Event = field(default_factory=trio.Event)
    load_observed: trio.Event = field(default_factory=trio.Event)
    crash_reported: trio.Event = field(default_factory=trio.Event)
    store_restored: trio.Event = field(default_factory=trio.Event)
    descriptors_short: trio.Event = field(default_factory=trio.Event)
    page_encoder: PageEncoder = field(default_factory=PageEncoder)

    def record_state_changes(
        self, changes: list[StateChange], source: str, age_ms: int = 0
    ) -> None:
        """Log changes of the cluster state, and send it to the other routers at once."""
        for change in changes:
            if change.event == ROW_INVALID:
                self.metrics.increment("rows_invalid")
            if change.event == UPSTREAM_REMOVED:
                self.forget_upstream(ReplicaId(change.subject))
            self.event_log.write(
                change.event,
                subject=change.subject,
                version=change.version,
                detail=change.detail,
                source=source,
                age_ms=age_ms,
            )
        if changes:
            self.state_changed.set()

    def doubt_entries(self, message: GossipMessage) -> None:
        """Doubt the entries of upstreams that may be outdated by another router's message."""
        state = self.cluster_state
        for replica in message.suspected_restarts:
            state.suspect_restart(replica, seen_here=False)
        for replica in message.maybe_restarted:
            state.doubt_software(replica)
        sender_era = message.tables[RowTable.UPSTREAMS.value].era
        sender_is_behind = NO_ERA < sender_era < state.caches[RowTable.UPSTREAMS].era
        if message.store_restored or sender_is_behind:
            for upstream in state.upstreams.values():
                upstream.doubt_copied_entry()

    def suspect_all_restarts(self) -> None:
        """Doubt all entries, after a time in which this router stood still and noticed nothing."""
        for replica in self.cluster_state.upstreams:
            self.cluster_state.suspect_restart(replica, seen_here=False)

    def apply_release(self, report: ReleaseReport, source: str) -> None:
        """Use a row on the software versions of a service, and tell the other routers."""
        if not self.releases.apply(report):
            return
        self.releases_read.set()
        self.event_log.write(
            "release_step",
            subject=report.service,
            row_version=report.row_version,
            era=report.era,
            replicas={item.version: item.weight for item in report.steps[-1].weights},
            steps=len(report.steps),
            step_ages_ms=[step.age_ms for step in report.steps],
            rows_age_ms=self.releases.age_ms(),
            age_ms=report.steps[-1].age_ms,
            settled_ms=report.steps[-1].settled_ms,
            spans={span.route: span.span_ms for span in report.spans},
            written_in=report.written_in,
            members=report.members,
            source=source,
        )
        self.state_changed.set()
        applied, self.release_applied = self.release_applied, trio.Event()
        applied.set()

    def expect_judgement(self) -> None:
        """Take up no stream by the rows until it is known whether they were right all the time."""
        self.first_write_taken = None
        self.releases.are_judged = False

    def note_first_write(self, *, taken: bool) -> None:
        """Record whether the store took a write, if it is the first one."""
        if self.first_write_taken is None:
            self.first_write_taken = taken

    def end_judgement(self) -> None:
        """Take streams up by the rows from now on, and by what is doubted of them."""
        self.releases.are_judged = True
        self.rows_judged.set()

    async def wait_for_judgement(self, limit_ms: int) -> None:
        """Wait until it is known whether the rows were right before this router started."""
        if not self.releases.are_judged:
            with trio.move_on_after(limit_ms / MS_PER_SECOND):
                await self.rows_judged.wait()

    async def wait_for_releases(self, limit_ms: int) -> None:
        """Wait until the rows on software versions have been read, `limit_ms` at most."""
        with trio.move_on_after(limit_ms / MS_PER_SECOND):
            await self.releases_read.wait()

    def record_fault(self, exc: Exception, source: str) -> None:
        """Log and count an exception that nothing expected, from serving or reading `source`."""
        self.metrics.increment("faults")
        leaves = leaf_errors(exc) if isinstance(exc, ExceptionGroup) else [exc]
        self.event_log.write(
            "unhandled_error", cause=repr(leaves), source=source, trace=raise_location(leaves[0])
        )

    def update_descriptors(self) -> None:
        """Divide the descriptors again, as the limit on them may have changed."""
        self.descriptors = divide_descriptors(descriptor_limit(self.settings.max_fds))

    def make_room_for_attempts(self) -> None:
        """Close idle connections to upstreams that take the descriptors of running attempts."""
        used = len(self.attempts) + DESCRIPTORS_EACH_RELAY * self.relays_open
        self.connection_pool.trim_idle(max(0, self.descriptors.upstreams - used))

    def caller_limit(self) -> int:
        """Return the limit on callers' connections, beside those that are relayed."""
        return max(1, self.descriptors.callers - DESCRIPTORS_EACH_RELAY * self.relays_open)

    def forget_upstream(self, replica: ReplicaId) -> None:
        """Drop what is kept about a removed upstream."""
        self.health.forget(replica)
        self.chooser.cold_limit.forget(replica)
        self.connection_pool.close_idle(replica)
        self.progress.forget(replica)
        self.probes.pop(replica, None)

    def record_hold_off(
        self, record: UpstreamRecord, span_ms: int, *, relayed: bool = False
    ) -> None:
        """Record that an upstream wants no request from this router, or its relay, for a time."""
        if relayed:
            self.state_changed.set()
        if self.chooser.hold_offs.record(record, span_ms, relayed=relayed):
            self.metrics.increment("hold_offs", record.replica)
            self.event_log.write("upstream_hold_off", subject=record.replica, span_ms=span_ms)

    def apply_hold_offs(self, hold_offs: Mapping[str, int]) -> None:
        """Apply what upstreams said to the relays of another router, which this one may be."""
        for replica, left_ms in hold_offs.items():
            upstream = self.cluster_state.upstreams.get(ReplicaId(replica))
            if upstream is not None and left_ms > 0:
                self.record_hold_off(upstream.record, left_ms)

    def record_observed_load(self, choice: Choice, answered: ReplicaLoad) -> None:
        """Record the load and speed that an upstream answered."""
        record_answered_load(self, choice, answered)

    def record_limits(self, record: UpstreamRecord, head: ResponseHead, sent_at: Millis) -> None:
        """Record the limits that the answer to a request sent at `sent_at` names."""
        if not head.limit_unreadable:
            self.record_rate_limit(record.replica, head.request_limit, sent_at)
        record_backpressure(self, record, head, sent_at)

    def record_rate_limit(
        self, replica: ReplicaId, per_second: float | None, sent_at: Millis
    ) -> None:
        """Record the limit that the answer to a request names, `None` if it names none."""
        limits = self.chooser.rate_limits
        if per_second is None:
            if limits.record_lifted(replica, sent_at):
                self._announce_rate_limit(replica, None, self.settings.node)
        elif limits.record_named(replica, per_second):
            self._announce_rate_limit(replica, per_second, self.settings.node)

    def apply_limit_reports(self, reports: Iterable[LimitReport], source: str) -> None:
        """Apply what another router knows of the limits that upstreams name."""
        for report in reports:
            if report.replica in self.cluster_state.upstreams:
                if self.chooser.rate_limits.apply_report(report):
                    self._announce_rate_limit(report.replica, report.per_second, source)

    def _announce_rate_limit(
        self, replica: ReplicaId, per_second: float | None, source: str
    ) -> None:
        """Log that a limit is new or lifted, and send it to the other routers at once."""
        if per_second is None:
            self.event_log.write("upstream_limit_lifted", subject=replica, source=source)
        else:
            self.event_log.write(
                "upstream_limit_named", subject=replica, per_second=per_second, source=source
            )
        self.state_changed.set()

    def expire_rate_limits(self) -> None:
        """Drop the limits of upstreams that are gone."""
        for replica in self.chooser.rate_limits.expire(self.cluster_state.upstreams):
            self.event_log.write("upstream_limit_expired", subject=replica)

    def note_era(self, era: Era, source: str) -> None:
        """Log that the store was restored from a copy since its rows were read last."""
        self.releases.note_era(era)
        if era > self.newest_era:
            self.event_log.write("store_era", era=era, before=self.newest_era, source=source)
            if self.newest_era != NO_ERA:
                self.store_restored.set()
            self.newest_era = era

    def report_early_end(
        self, record: UpstreamRecord, request: RequestId, *, by_reset: bool
    ) -> None:
        """Record that an upstream ended an answer early, and send it to the other routers at once.

        They learn of no reset, which may come from this router's link.
        """
        self.early_ends.record(record, by_reset=by_reset)
        self.metrics.increment("early_ends")
        self.event_log.write(
            "early_end",
            id=request,
            upstream=record.replica,
            version=record.software,
            by_reset=by_reset,
        )
        if not by_reset:
            self.state_changed.set()

    def report_crash(self, report: CrashReport) -> None:
        """Record a crash that this router saw, and send it to the other routers at once."""
        self.apply_hold_changes(self.suspects.record_own_crash(report), self.settings.node)
        self.crash_reported.set()
        self.state_changed.set()

    def apply_hold_changes(self, changes: list[HoldChange], source: str) -> None:
        """Log changes of what is held back, and send it to the other routers at once."""
        now = self.clock.now()
        for change in changes:
            hold = change.hold
            self.metrics.increment("quarantine_changes", change.event)
            self.event_log.write(
                change.event,
                subject=hold.suspect.name,
                kind=hold.suspect.kind.value,
                crashes=hold.crashes,
                held_ms=now - hold.held_at,
                left_ms=max(0, hold.until - now),
                term=hold.term,
                source=source,
            )
            if change.event in (QUARANTINED, QUARANTINE_EXTENDED):
                self._withdraw(hold.suspect)
        if changes:
            self.state_changed.set()

    def _withdraw(self, suspect: Suspect) -> None:
        """End the attempts of requests that are held back from now on."""
        for attempt in list(self.attempts):
            if suspect in attempt.suspects:
                attempt.withdraw()

    def report_sent(self, record: UpstreamRecord) -> None:
        """Count a request that is sent, and log what its choice changed about its zone."""
        if self.chooser.rate_limits.is_limited(record.replica):
            self.metrics.increment("limited_sends", record.replica)
        if record.zone != self.settings.zone:
            self.metrics.increment("requests_to_other_zone", record.zone)
        for change in self.chooser.zone_spill.pop_changes():
            self.event_log.write(
                "zone_spill_starts" if change.leaves else "zone_spill_ends",
                service=change.service,
                own_pressure=change.own_pressure,
                other_pressure=change.other_pressure,
            )

    def stop_at(self) -> Millis | None:
        """Return when this router ends all requests, or `None` if it is not stopping."""
        if self.stopping_since is None:
            return None
        return Millis(self.stopping_since + self.settings.bounds.drain_ms())

    def stopping_ms(self) -> int | None:
        """Return how long this router has been stopping, or `None` if it is not."""
        if self.stopping_since is None:
            return None
        return self.clock.now() - self.stopping_since


def make_core(
    settings: NodeSettings,
    clock: Clock,
    header_codec: HeaderCodec,
    row_format: RowFormat,
    status_format: StatusFormat,
    event_log: EventLog,
) -> Core:
    """Return the core of a router that has no rows yet."""
    bounds = settings.bounds
    cluster_state = ClusterState(clock, row_format)
    standstill = Standstill(clock)
    fleet = Fleet(clock, settings.node)
    health = Health(clock)
    releases = Releases(clock)
    rng = random.Random()
    links, metrics = LinkStates(clock), Metrics()
    relays = RelayChoice(clock, fleet, settings.zone, settings.regions, rng)
    zone_links = ZoneLinks(clock)
    # Without times of connections no link counts as long, and zones are weighed by the constant.
    measured_links = zone_links if settings.zone_spill else ZoneLinks(clock)
    dialer = Dialer(clock, links, relays, event_log, metrics, rng, measured_links)
    chooser = Chooser(
        clock,
        cluster_state,
        standstill,
        fleet,
        health,
        bounds,
        settings.zone,
        settings.regions,
        zone_links,
    )
    return Core(
        settings=settings,
        clock=clock,
        header_codec=header_codec,
        status_format=status_format,
        event_log=event_log,
        metrics=metrics,
        cluster_state=cluster_state,
        standstill=standstill,
        fleet=fleet,
        row_fetches=RowFetches(clock),
        health=health,
        chooser=chooser,
        gate=Gate(clock, cluster_state, health, chooser, fleet, metrics),
        retry_budget=FleetRetryBudget(clock, bounds),
        suspects=CrashSuspects(clock),
        progress=UpstreamProgress(clock),
        early_ends=EarlyEnds(clock),
        undelimited_services=UndelimitedServices(clock),
        answering_services=AnsweringServices(),
        connection_pool=ConnectionPool(clock, dialer, cluster_state.suspect_restart),
        releases=releases,
        resumptions=Resumptions(clock, fleet, StreamOrigins(clock), releases),
        rollouts=Rollouts(clock, bounds, cluster_state, fleet),
        links=links,
        dialer=dialer,
        buffers=BufferBudget(settings.memory_mb),
        descriptors=divide_descriptors(descriptor_limit(settings.max_fds)),
    )
