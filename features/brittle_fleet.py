"""An in-process run of many routers before replicas that are brittle, in virtual time.

The routers' choices, their reading of answers and their messages are the real ones; messages go
through their encoding.
"""

from dataclasses import dataclass, field

import trio

from features.choice_fleet import (
    FIRST_EVENT_MS,
    KINDS,
    ROUND_MS,
    SERVICE,
    TRAVEL_MS,
    ZONES,
    ChoiceFleet,
    RequestKind,
)
from features.entry_fixtures import upstream_data
from skylarklift.clock import Millis
from skylarklift.entry.core import Core
from skylarklift.entry.gossip.fleet import GOSSIP_INTERVAL_MS, MIN_GOSSIP_INTERVAL_MS, Peer
from skylarklift.entry.gossip.peering import Peering
from skylarklift.entry.gossip.wire import encode_gossip
from skylarklift.entry.model import Call, Endpoint, Headers, SendOptions
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.concurrency_limits import KnownLoads
from skylarklift.entry.placement.health import HealthSignal
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.errors import ConnectFailed, ResponseBroken, TransportError
from skylarklift.ids import ReplicaId
from standins.brittle_replica import Admission, Brittleness, BrittleReplica

MAX_SENDS = 3
HERE = Endpoint("127.0.0.1", 1)
MEAN_STREAM_MS = sum(kind.ratio * kind.stream_ms for kind in KINDS)


@dataclass(frozen=True, slots=True)
class BrittleSetting:
    """What is played: the fleet, its replicas' places, how they are brittle, and the overload.

    `load_ratio` is the requests that come over those that the slots can run.
    """

    routers: int
    replicas: int
    slots: int
    waiting_room: int
    load_ratio: float
    brittleness: Brittleness
    tells_load: bool
    seed: int


@dataclass(eq=False)
class Sending:
    """One attempt of a request: who sent it where, and what it is."""

    core: Core
    attempt: Attempt
    call: Call
    kind: RequestKind
    sends: int
    tried: tuple[ReplicaId, ...]


@dataclass
class BrittleOutcome:
    """What a run showed."""

    served: int = 0
    refused: int = 0
    sent: int = 0
    codes: set[str] = field(default_factory=set)


class BrittleFleet(ChoiceFleet):
    """Many routers before the brittle replicas of one service."""

    def __init__(self, setting: BrittleSetting):
        self.setting = setting
        per_second = setting.load_ratio * setting.replicas * setting.slots * 1000 / MEAN_STREAM_MS
        super().__init__(setting.routers, setting.replicas, per_second, setting.seed)
        self.results = BrittleOutcome()
        start = self.clock.now()
        brittle = setting.brittleness
        brittle = Brittleness(
            start + brittle.since_ms,
            brittle.rejections_per_s,
            brittle.waiting_then,
            brittle.stable_ms,
            brittle.down_ms,
        )
        self.stable_at = Millis(brittle.since_ms + brittle.stable_ms)
        self.places = {
            name: BrittleReplica(
                setting.slots, setting.waiting_room, brittle, counted_from_ms=self.stable_at
            )
            for name in self.replicas
        }
        self._running: dict[ReplicaId, set[Sending]] = {name: set() for name in self.replicas}
        self._rounds = dict.fromkeys((core.settings.node for core in self._cores), 0)
        self._sent_round_at = dict.fromkeys(self._rounds, Millis(0))

    def _entry(self, number: int, cold_ms: int, born: int = 1) -> bytes:
        """Return the entry of a replica."""
        return upstream_data(
            zone=ZONES[number % len(ZONES)],
            port=9000 + number,
            cold_remaining_ms=cold_ms,
            born=born,
            slots=self.setting.slots,
        )

    # What a run showed.

    def falls(self) -> int:
        """Return how often replicas fell over."""
        return sum(item.falls for item in self.places.values())

    def rejections(self) -> int:
        """Return how many requests replicas turned away."""
        return sum(item.rejected for item in self.places.values())

    def used_ratio(self) -> float:
        """Return which part of the slots ran requests since the waiting room shrank."""
        now = self.clock.now()
        for item in self.places.values():
            item._count_busy(now)
        span_ms = now - self.stable_at
        slots = self.setting.slots * len(self.places)
        return sum(item.busy_ms for item in self.places.values()) / (slots * span_ms)

    # What a test lets happen.

    def answer(self, number: int, replica: ReplicaId, *, rejects: bool) -> None:
        """Let a router read the answer of a brittle replica, which may turn a request away."""
        core = self._cores[number]
        record = self._state.upstreams[replica].record
        fields = [(b"server-brittle", b"3"), *([(b"x-not-executed", b"1")] if rejects else [])]
        head = core.header_codec.decode_response_head(503 if rejects else 200, fields)
        core.record_limits(record, head, self.clock.now())
        self._spread_changes(core)

    def multiply_load(self, factor: float) -> None:
        """Let so many times as many requests come from now on."""
        self._per_second *= factor

    def restart_routers(self, numbers: range) -> None:
        """Kill routers, and start them again with nothing but the addresses of the others."""
        for number in numbers:
            self._cancel_requests(self._cores[number])
            core = self._cores[number] = self._make_core(number)
            for other in self._cores:
                core.fleet.add(other.settings.node, HERE)
            peering = self._peerings[number] = Peering(core, None)
            self._rounds[core.settings.node] += 1
            self._plan_round(peering, 0)

    def _cancel_requests(self, core: Core) -> None:
        """End the requests of a router that is killed."""
        for replica, running in self._running.items():
            for sending in [item for item in running if item.core is core]:
                running.discard(sending)
                following = self.places[replica].finish(self.clock.now())
                if following is not None:
                    self._run(following)

    def routers_without_place(self, replica: ReplicaId) -> int:
        """Return how many routers may send nothing to a replica, at which none has a request."""
        record = self._state.upstreams[replica].record
        return sum(
            not core.chooser.concurrency_limits.has_place(
                record, KnownLoads(0, 0, 0.0, len(self.replicas)), core.fleet.share(replica)
            )
            for core in self._cores
        )

    # Messages.

    def _gossip_in_turn(self, peering: Peering) -> None:
        """Let a router send its messages of one round, and plan the next one."""
        node = peering._core.settings.node
        self._rounds[node] += 1
        self._sent_round_at[node] = self.clock.now()
        peering._core.state_changed = trio.Event()
        self._send_to(peering, peering._next_targets())
        self._plan_round(peering, ROUND_MS)

    def _plan_round(self, peering: Peering, delay_ms: int) -> None:
        """Let a router send its next round after a delay, unless another one comes first."""
        node = peering._core.settings.node
        number = self._rounds[node]

        def send() -> None:
            if self._rounds[node] == number:
                self._gossip_in_turn(peering)

        self.at(delay_ms, send)

    def _spread_changes(self, core: Core) -> None:
        """Let a router send at once what is new, as far apart as rounds must be."""
        self._spread_loads(core)
        if core.state_changed.is_set():
            core.state_changed = trio.Event()
            node = core.settings.node
            due = self._sent_round_at[node] + MIN_GOSSIP_INTERVAL_MS
            peering = self._peerings[int(node[1:])]
            self._plan_round(peering, max(0, due - self.clock.now()))

    def _send_to(self, peering: Peering, targets: list[Peer]) -> None:
        """Let a router send its messages to others, encoded as they travel."""
        now = self.clock.now()
        encoded = {}
        for peer in targets:
            since = Millis(peer.sent_at - GOSSIP_INTERVAL_MS)
            if since not in encoded:
                encoded[since] = encode_gossip(peering._make_message(since))
            peer.sent_at = now
            self.outcome.messages += 1
            number, data = int(peer.node[1:]), encoded[since]
            self.at(TRAVEL_MS, lambda number=number, data=data: self._receive_data(number, data))

    def _receive_data(self, number: int, data: bytes) -> None:
        """Let a router receive a datagram."""
        self._peerings[number]._apply_datagram(data, HERE, None)
        self._spread_changes(self._cores[number])

    # Requests.

    def _send(self, core: Core) -> None:
        """Let a request of a random kind come to a router."""
        kind = self.rng.choices(KINDS, [kind.ratio for kind in KINDS])[0]
        self._try_send(core, self._make_call(kind), kind, 1, ())

    def _try_send(
        self, core: Core, call: Call, kind: RequestKind, sends: int, tried: tuple[ReplicaId, ...]
    ) -> None:
        """Choose an upstream for a request and send it there, or refuse it."""
        route = self._state.plan.route("app.example", "/chat/x")
        choice = core.chooser.choose(call, route, SERVICE, tried)
        if not isinstance(choice, Choice):
            self.results.refused += 1
            self.results.codes.add(choice.value)
            return
        replica = choice.upstream.record.replica
        options = SendOptions(replica, None, 1, None, None)
        attempt = Attempt(core, call, choice, options, repeatable=True)
        core.chooser.start_request(choice, call)
        self.results.sent += 1
        sending = Sending(core, attempt, call, kind, sends, (*tried, replica))
        self.at(TRAVEL_MS, lambda: self._reach(sending))

    def _reach(self, sending: Sending) -> None:
        """Let a request reach its replica."""
        replica = sending.attempt.record.replica
        places = self.places[replica]
        held = [*self._running[replica], *places.waiting]
        result = places.arrive(self.clock.now(), sending)
        if result is Admission.RUNS:
            self._run(sending)
        elif result is Admission.DOWN:
            self.at(TRAVEL_MS, lambda: self._read_refusal(sending))
        elif result is Admission.REJECTED:
            self.at(TRAVEL_MS, lambda: self._read_rejection(sending))
        elif result is Admission.FALLS:
            self._running[replica].clear()
            for item in (*held, sending):
                self.at(TRAVEL_MS, lambda item=item: self._fail(item, ResponseBroken("reset")))

    def _run(self, sending: Sending) -> None:
        """Let a request run: its answer begins soon, and ends when its slot is free."""
        self._running[sending.attempt.record.replica].add(sending)
        self.at(FIRST_EVENT_MS, lambda: self._read_answer(sending))
        span_ms = int(sending.kind.stream_ms * self.rng.uniform(0.4, 1.6))
        self.at(max(span_ms, FIRST_EVENT_MS + 1), lambda: self._finish(sending))

    def _headers(self, replica: ReplicaId) -> Headers:
        """Return the header fields of an answer, by which a replica speaks of itself."""
        places, now = self.places[replica], self.clock.now()
        fields = [(b"x-replica-signature", b"s")]
        if places.is_brittle(now):
            limit = places.brittleness.rejections_per_s
            fields.append((b"server-brittle", b"%d" % limit))
        if self.setting.tells_load:
            load = (places.running, len(places.waiting), places.slots)
            fields.append((b"x-replica-load", b"%d,%d,%d" % load))
        return fields

    def _read_head(self, sending: Sending, status: int, extra: Headers) -> None:
        """Let the router read the head of an answer."""
        core, headers = sending.core, self._headers(sending.attempt.record.replica)
        head = core.header_codec.decode_response_head(status, [*headers, *extra])
        sending.attempt._check_head(head)
        self._spread_changes(core)

    def _read_answer(self, sending: Sending) -> None:
        """Let the router read the head of a stream, unless its replica has fallen over."""
        if sending in self._running[sending.attempt.record.replica]:
            self._read_head(sending, 200, [])
            sending.attempt.report_signal(HealthSignal.GOOD)

    def _read_rejection(self, sending: Sending) -> None:
        """Let the router read a rejection, and try another replica."""
        self._read_head(sending, 503, [(b"x-not-executed", b"1")])
        self._end_attempt(sending)
        self._try_again(sending)

    def _read_refusal(self, sending: Sending) -> None:
        """Let the router's connection be refused, and let it try another replica."""
        self._fail(sending, ConnectFailed("refused"))
        self._try_again(sending)

    def _fail(self, sending: Sending, exc: TransportError) -> None:
        """Let a connection of the router fail."""
        sending.attempt.record_failure(exc)
        self._end_attempt(sending)
        self._spread_changes(sending.core)

    def _try_again(self, sending: Sending) -> None:
        """Let a router send a rejected request to another replica."""
        if sending.sends >= MAX_SENDS:
            self.results.refused += 1
            return
        sends = sending.sends + 1
        self._try_send(sending.core, sending.call, sending.kind, sends, sending.tried)

    def _end_attempt(self, sending: Sending) -> None:
        """Let the router count a request as ended."""
        replica = sending.attempt.record.replica
        sending.core.chooser.end_request(replica)
        sending.core.health.end_trial(replica)

    def _finish(self, sending: Sending) -> None:
        """Let a stream end, unless its replica has fallen over, and the next one run."""
        replica = sending.attempt.record.replica
        if sending not in self._running[replica]:
            return
        self._running[replica].discard(sending)
        self.results.served += 1
        following = self.places[replica].finish(self.clock.now())
        if following is not None:
            self._run(following)
        self.at(TRAVEL_MS, lambda: self._end_attempt(sending))
