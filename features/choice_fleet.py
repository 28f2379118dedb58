"""An in-process run of many routers' choices: seeded, without sockets, in virtual time.

Each router is a real chooser with its own view of the fleet.  Routers tell each other what they do
by the messages and in the turns of real ones; streams end after a time that grows with the load of
their replica.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from features.entry_fixtures import (
    ZONES,
    apply_rows,
    new_call,
    new_core,
    plan_data,
    upstream_data,
)
from features.slow_machines import SlowMachines
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.answered_loads import make_load_messages
from skylarklift.entry.core import Core
from skylarklift.entry.gossip.fleet import (
    GOSSIP_INTERVAL_MS,
    MIN_GOSSIP_INTERVAL_MS,
    GossipMessage,
    Peer,
)
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.model import USUAL_WORK_PERCENT, Call, Endpoint, ReplicaLoad
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.entry.state.rows import RowTable
from skylarklift.ids import ReplicaId

ROUND_MS = GOSSIP_INTERVAL_MS + MIN_GOSSIP_INTERVAL_MS
SERVICE = "lm"
# A request travels this long, and a message between routers.
TRAVEL_MS = 3
FIRST_EVENT_MS = 40
SLOWER_PER_REQUEST = 0.02
SUBJECT_SKEW = 0.3
# Peaks are noted once the first streams run.
SETTLING_MS = 2000
# Callers come in groups of this many on average.
GROUP_SIZE = 3
WINDOW_MS = 5000
# The stated bound: at most this share of a window's requests, or this many, may reach a replica
# over the bound.
MAX_OVER_RATIO = 0.03
MAX_OVER_COUNT = 20


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request: its share of all, how long its streams last, and its subjects."""

    name: str
    ratio: float
    stream_ms: int
    subjects: int
    tokens: int


KINDS = (
    RequestKind("report", 0.22, 1900, 280, 10_000),
    RequestKind("summary", 0.29, 1300, 370, 600),
    RequestKind("question", 0.49, 110, 630, 2000),
)


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that reached a replica: when, and whether that was over the bound on load."""

    sent_at: Millis
    over: bool


@dataclass
class Outcome:
    """What a run showed; `peaks` holds the highest load over the mean at each moment looked at.

    `first_events` and `streams` hold the milliseconds from a request's arrival at its replica to
    its first event and to its end; `slow_arrivals` counts the requests that reach a replica whose
    machine has slowed down.
    """

    sent: list[SentRequest] = field(default_factory=list)
    peaks: list[float] = field(default_factory=list)
    refused: int = 0
    read_again: int = 0
    messages: int = 0
    first_events: list[int] = field(default_factory=list)
    streams: list[int] = field(default_factory=list)
    slow_arrivals: int = 0

    def worst_window(self) -> float:
        """Return the greatest share of a window's requests that were over the bound."""
        window: deque[SentRequest] = deque()
        over, worst = 0, 0.0
        for item in self.sent:
            window.append(item)
            over += item.over
            while window[0].sent_at <= item.sent_at - WINDOW_MS:
                over -= window.popleft().over
            if over >= MAX_OVER_COUNT:
                worst = max(worst, over / len(window))
        return worst

    def peak(self) -> float:
        """Return the load over the mean that the fullest replica passes in 1 of 100 moments."""
        ordered = sorted(self.peaks)
        return ordered[int(0.99 * len(ordered))] if ordered else 0.0


class ChoiceFleet:
    """Many routers before the replicas of one service."""

    def __init__(self, routers: int, replicas: int, per_second: float, seed: int):
        self.clock = ManualClock(100_000)
        self.rng = random.Random(seed)
        self.replicas = [f"r{number}" for number in range(replicas)]
        self.outcome = Outcome()
        self._per_second = per_second
        self._next_group_ms = float(self.clock.now())
        self._state = self._make_state(replicas)
        self._row_version = 1
        self._cores = [self._make_core(number) for number in range(routers)]
        self._peerings = [Peering(core, None) for core in self._cores]
        self._introduce()
        self._true_loads: Counter[ReplicaId] = Counter()
        self._events: list[tuple[Millis, int, Callable[[], None]]] = []
        self._order = self._requests = 0
        self._settled_at = Millis(self.clock.now() + SETTLING_MS)
        self._weights = {
            kind: [1 / (rank + 1) ** SUBJECT_SKEW for rank in range(kind.subjects)]
            for kind in KINDS
        }
        self._cached: dict[ReplicaId, set[str]] = {}
        # The share of requests that are about one subject.
        self.hot_ratio = 0.0
        self.machines: SlowMachines | None = None
        # Whether answers tell how long work takes.
        self.tells_speed = True
        # Routers gossip for this long before the first requests.
        self.quiet_ms = 0

    # Set-up.

    def _make_state(self, replicas: int) -> ClusterState:
        """Return the cluster state that all routers share: each would decode the same rows."""
        core = new_core(self.clock)
        apply_rows(core, RowTable.OPERATOR, 1, {"config": plan_data()}, complete=True)
        rows = {f"r{n}": self._entry(n, 0) for n in range(replicas)}
        apply_rows(core, RowTable.UPSTREAMS, 1, rows, complete=True)
        return core.cluster_state

    def _entry(self, number: int, cold_ms: int, born: int = 1) -> bytes:
        """Return the entry of a replica."""
        zone = ZONES[number % len(ZONES)]
        return upstream_data(zone=zone, port=9000 + number, cold_remaining_ms=cold_ms, born=born)

    def _make_core(self, number: int) -> Core:
        """Return a router."""
        core = new_core(self.clock, node=f"n{number}", zone=ZONES[number % len(ZONES)])
        core.cluster_state = core.chooser._cluster_state = self._state
        return core

    def _introduce(self) -> None:
        """Let all routers know each other, each in an order of its own."""
        for core in self._cores:
            others = [other for other in self._cores if other is not core]
            self.rng.shuffle(others)
            for other in others:
                core.fleet.add(other.settings.node, Endpoint("127.0.0.1", 1))

    # Events.

    def at(self, moment_ms: int, action: Callable[[], None]) -> None:
        """Let something happen at a moment, in milliseconds from now."""
        self._order += 1
        item = (Millis(self.clock.now() + moment_ms), self._order, action)
        heapq.heappush(self._events, item)

    def run(self, span_ms: int) -> Outcome:
        """Run for a span of virtual time and return what it showed."""
        end = self.clock.now() + span_ms
        for peering in self._peerings:
            self.at(
                self.rng.randrange(ROUND_MS), lambda peering=peering: self._gossip_in_turn(peering)
            )
        self._next_group_ms += self.quiet_ms
        self._settled_at = Millis(self._settled_at + self.quiet_ms)
        self.at(self.quiet_ms, self._send_next)
        self.at(0, self._look)
        while self._events and self._events[0][0] <= end:
            moment, _, action = heapq.heappop(self._events)
            self.clock.advance(moment - self.clock.now())
            action()
        return self.outcome

    def _look(self) -> None:
        """Note the highest load over the mean."""
        mean = self._mean()
        if mean and self.clock.now() >= self._settled_at:
            self.outcome.peaks.append(max(self._true_loads.values()) / mean)
        self.at(100, self._look)

    def _mean(self) -> float:
        """Return the mean load of all replicas of the service."""
        return sum(self._true_loads.values()) / max(1, len(self._state.upstreams))

    # Faults and changes.

    def evacuate(self, zone: str, active: bool) -> None:
        """Evacuate a zone, or end that."""
        self._row_version += 1
        data = b"{}" if active else None
        self._apply(RowTable.OPERATOR, {f"evacuate/{zone}": data})

    def add_replicas(self, count: int, cold_ms: int) -> None:
        """Add replicas that hold nothing and are cold."""
        first = len(self.replicas)
        names = [f"r{number}" for number in range(first, first + count)]
        self.replicas += names
        self._row_version += 1
        entries = {name: self._entry(first + n, cold_ms) for n, name in enumerate(names)}
        self._apply(RowTable.UPSTREAMS, entries)

    def remove(self, numbers: range) -> None:
        """Let replicas end without notice, and their entries with them."""
        self._row_version += 1
        self._apply(RowTable.UPSTREAMS, {f"r{n}": None for n in numbers})

    def restart(self, numbers: range, cold_ms: int) -> None:
        """Let replicas start again under their names, cold and empty."""
        self._row_version += 1
        self._apply(
            RowTable.UPSTREAMS,
            {f"r{n}": self._entry(n, cold_ms, born=self._row_version) for n in numbers},
        )
        for number in numbers:
            self._cached.pop(f"r{number}", None)

    def limit(self, numbers: range, per_second: float | None) -> None:
        """Let replicas name a limit that all routers know, or none any more."""
        for core in self._cores:
            for number in numbers:
                core.record_rate_limit(f"r{number}", per_second, self.clock.now())

    def _apply(self, table: RowTable, rows: dict[str, bytes | None]) -> None:
        """Apply rows to the state of all routers."""
        apply_rows(self._cores[0], table, self._row_version, rows)

    # Messages.

    def _gossip_in_turn(self, peering: Peering) -> None:
        """Let a router send its messages of one round, and plan the next one."""
        self._send_to(peering, peering._next_targets())
        self.at(ROUND_MS, lambda: self._gossip_in_turn(peering))

    def _send_to(self, peering: Peering, targets: list[Peer]) -> None:
        """Let a router send its messages to others."""
        now = self.clock.now()
        encoded = {}
        for peer in targets:
            since = Millis(peer.sent_at - GOSSIP_INTERVAL_MS)
            if since not in encoded:
                encoded[since] = peering._make_message(since)
            peer.sent_at = now
            self.outcome.messages += 1
            number, message = int(peer.node[1:]), encoded[since]
            self.at(
                TRAVEL_MS, lambda number=number, message=message: self._receive(number, message)
            )

    def _receive(self, number: int, message: GossipMessage) -> None:
        """Let a router receive a message."""
        self._peerings[number]._apply_message(message, Endpoint("127.0.0.1", 1), None)
        self._spread_loads(self._cores[number])

    def _spread_loads(self, core: Core) -> None:
        """Let a router send at once what is new to it, as far apart as messages must be."""
        if core.load_observed.is_set():
            core.load_observed = trio.Event()
            self.at(MIN_GOSSIP_INTERVAL_MS, lambda: self._send_loads(core))

    def _send_loads(self, core: Core) -> None:
        """Let a router send what it knows of busy and slow replicas to the next ones in turn."""
        peering = self._peerings[int(core.settings.node[1:])]
        peers = peering._load_turns.next(list(core.fleet.peers.values()))
        for peer, data in make_load_messages(core, peers):
            self.outcome.messages += 1
            number = int(peer.node[1:])
            self.at(TRAVEL_MS, lambda number=number, data=data: self._receive_loads(number, data))

    def _receive_loads(self, number: int, data: bytes) -> None:
        """Let a router receive what another one knows of busy and slow replicas."""
        self._peerings[number]._apply_datagram(data, Endpoint("127.0.0.1", 1), None)
        self._spread_loads(self._cores[number])

    # Requests.

    def _send_next(self) -> None:
        """Let a group of callers' requests arrive at some routers, and plan the next one."""
        for _ in range(1 + int(self.rng.expovariate(1 / (GROUP_SIZE - 0.5)))):
            self._send(self._pick_core())
        # Several groups may come within a millisecond, so the fractions are kept.
        self._next_group_ms += self.rng.expovariate(self._per_second / GROUP_SIZE / 1000)
        self.at(max(0, int(self._next_group_ms) - self.clock.now()), self._send_next)

    def _pick_core(self) -> Core:
        """Return the router at which a request arrives."""
        return self.rng.choice(self._cores)

    def _make_call(self, kind: RequestKind) -> Call:
        """Return a request of a kind about one of its subjects."""
        if self.rng.random() < self.hot_ratio:
            subject = 0
        else:
            subject = self.rng.choices(range(kind.subjects), self._weights[kind])[0]
        self._requests += 1
        parts = f"{kind.name}:500,{kind.name}{subject}:{kind.tokens},own:130"
        return new_call(parts, request=f"q{self._requests}")

    def _send(self, core: Core) -> None:
        """Choose an upstream for a request of a random kind and send it there."""
        kind = self.rng.choices(KINDS, [kind.ratio for kind in KINDS])[0]
        call = self._make_call(kind)
        route = self._state.plan.route("app.example", "/chat/x")
        choice = core.chooser.choose(call, route, SERVICE)
        if not isinstance(choice, Choice):
            self.outcome.refused += 1
            return
        core.chooser.start_request(choice, call)
        self.at(TRAVEL_MS, lambda: self._arrive(core, choice, call, kind))

    def _arrive(self, core: Core, choice: Choice, call: Call, kind: RequestKind) -> None:
        """Let a request reach its replica, and plan its first event and its end."""
        replica = choice.upstream.record.replica
        held = self._true_loads[replica]
        bound = core.settings.bounds.load_factor * self._mean() + 3
        self.outcome.sent.append(SentRequest(self.clock.now(), held > bound))
        if self.machines is not None and self.machines.is_slow(replica, self.clock.now()):
            self.outcome.slow_arrivals += 1
        subject = call.parts[-2].name
        cached = self._cached.setdefault(replica, set())
        if subject not in cached and choice.copy_source is None:
            self.outcome.read_again += 1
        cached.add(subject)
        self._true_loads[replica] += 1
        slower = 1 + SLOWER_PER_REQUEST * held
        first_ms = self._span_ms(replica, FIRST_EVENT_MS * slower)
        self.at(first_ms, lambda: self._answer(core, choice))
        span_ms = self._span_ms(replica, kind.stream_ms * slower * self.rng.uniform(0.4, 1.6))
        self.outcome.first_events.append(first_ms)
        self.outcome.streams.append(span_ms)
        self.at(span_ms, lambda: self._end(core, replica))

    def _span_ms(self, replica: ReplicaId, work_ms: float) -> int:
        """Return how long work takes that begins now."""
        now, machines = self.clock.now(), self.machines
        return int(work_ms) if machines is None else machines.span_ms(replica, now, work_ms)

    def _work_percent(self, replica: ReplicaId) -> int:
        """Return how long a replica tells that work takes."""
        if self.machines is None or not self.tells_speed:
            return USUAL_WORK_PERCENT
        return round(USUAL_WORK_PERCENT * self.machines.factor(replica, self.clock.now()))

    def _answer(self, core: Core, choice: Choice) -> None:
        """Let the router read the head of an answer, which tells the load of the replica."""
        replica = choice.upstream.record.replica
        load = ReplicaLoad(self._true_loads[replica], 0, 64, self._work_percent(replica))
        core.record_observed_load(choice, load)
        self._spread_loads(core)

    def _end(self, core: Core, replica: ReplicaId) -> None:
        """Let a stream end."""
        self._true_loads[replica] -= 1
        core.chooser.end_request(replica)
