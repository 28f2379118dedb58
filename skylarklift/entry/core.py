"""What the tasks of one router share."""

import random
from dataclasses import dataclass, field

import trio

from skylarklift.clock import Clock, Millis
from skylarklift.entry.beliefs import Beliefs
from skylarklift.entry.choose import Chooser
from skylarklift.entry.connection_pool import ConnectionPool
from skylarklift.entry.event_log import EventLog
from skylarklift.entry.fleet import Fleet
from skylarklift.entry.header_codec import HeaderCodec
from skylarklift.entry.health import Health
from skylarklift.entry.metrics import Metrics
from skylarklift.entry.model import NodeSettings
from skylarklift.entry.rowset import RowFormat, RowTable
from skylarklift.entry.shares import RetryShare
from skylarklift.entry.suspects import CrashSuspects
from skylarklift.ids import ReplicaId


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether an upstream took a connection, and when."""

    at: Millis
    alive: bool


@dataclass
class Core:
    """The beliefs, decisions and plumbing of one router."""

    settings: NodeSettings
    clock: Clock
    codec: HeaderCodec
    journal: EventLog
    meters: Metrics
    beliefs: Beliefs
    fleet: Fleet
    health: Health
    chooser: Chooser
    retries: RetryShare
    suspects: CrashSuspects
    pool: ConnectionPool
    rng: random.Random = field(default_factory=random.Random)
    probes: dict[ReplicaId, Probe] = field(default_factory=dict)
    stopping_since: Millis | None = None
    requests_open: int = 0
    reading: dict[RowTable, bool] = field(default_factory=lambda: dict.fromkeys(RowTable, False))
    changed: trio.Event = field(default_factory=trio.Event)

    def forget(self, replica: ReplicaId) -> None:
        """Forget an upstream that is gone."""
        self.health.forget(replica)
        self.chooser.cold.forget(replica)
        self.pool.close_idle(replica)
        self.probes.pop(replica, None)

    def measure(self) -> None:
        """Set the values that the metrics address shows of what this router believes now."""
        meters, plan = self.meters, self.beliefs.plan
        meters.set_gauge("plan_version", plan.version if plan else 0)
        meters.set_gauge("requests_open", self.requests_open)
        meters.set_gauge("routers_heard", len(self.fleet.heard()))
        meters.set_gauge("upstreams_known", len(self.beliefs.upstreams))
        for table in RowTable:
            meters.set_gauge("rows_age_ms", self.beliefs.age(table), table.name.lower())
            meters.set_gauge("reads_store", int(self.reading[table]), table.name.lower())

    def stopping_ms(self) -> int | None:
        """Return for how long this router has been stopping, or `None`."""
        if self.stopping_since is None:
            return None
        return self.clock.now() - self.stopping_since


def make_core(
    settings: NodeSettings, clock: Clock, codec: HeaderCodec, rows: RowFormat, journal: EventLog
) -> Core:
    """Return the core of a router that knows nothing yet."""
    bounds = settings.bounds
    beliefs = Beliefs(clock, rows)
    fleet = Fleet(clock, settings.node)
    health = Health(clock)
    chooser = Chooser(clock, beliefs, fleet, health, bounds, settings.zone, settings.regions)
    return Core(
        settings=settings,
        clock=clock,
        codec=codec,
        journal=journal,
        meters=Metrics(),
        beliefs=beliefs,
        fleet=fleet,
        health=health,
        chooser=chooser,
        retries=RetryShare(clock, bounds),
        suspects=CrashSuspects(clock),
        pool=ConnectionPool(clock),
    )
