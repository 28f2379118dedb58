"""A random run of whole entry routers: load, an operator, faults, and the promises checked."""

import signal
from collections import Counter, defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field
from random import Random

import trio

from features.virtual_world import (
    CALLER_PORT,
    CLIENT_HOST,
    ZONES,
    VirtualRouter,
    VirtualWorld,
    WatchedReplica,
)
from features.world import run_virtual
from skylarklift.entry.model import Bounds
from skylarklift.entry.rowset import RowTable
from soak.judge import Judge, Sent
from standins.entryworld import Answer, exchange

ROUTERS = 4
CLIENTS = 10
PATHS = ("/chat/", "/chat/", "/once/", "/redeem/", "/check/")
ENGINE_PATHS = ("/chat/", "/once/")
SERVICES = {"lm": 4, "till": 3}
COLD_PER_S = 2.0
COLD_S = 4.0
# The promises' bounds, in seconds: draining, evacuation, and what a router in touch is.
DRAIN_S = 2.0
EVACUATE_S = 5.0
STABLE_S = 3.0
# A client that leaves is noticed within this span.
NOTICE_S = 0.05
MS = 1000
PACE_MS = {"lm": 40, "till": 150}
LEAVING_PART = 0.1
# A request sent this long ago has surely been read.
SENT_S = 0.05
HEALED_S = 8.0
CLIENT_LIMIT_S = 6.0
MAX_ATTEMPTS = 2
ONE_SECOND = 1.0
# Bounds so tight that the load of a run would break them if nobody kept them.
BOUNDS = Bounds(cold_overshoot=1.0, cold_tolerance=1, retry_ratio=0.02, retry_extra=3)
OVERLOADED_PART = 0.03
OVERLOADED_FEWEST = 20


@dataclass
class Trouble:
    """A fault from its start to its end, and which part of the world it concerns."""

    where: str
    start: float
    end: float = float("inf")
    planned: bool = False


@dataclass
class Leaving:
    """A replica or zone that is to get nothing from some moment on."""

    start: float
    end: float = float("inf")


@dataclass
class RunResult:
    """What a run showed."""

    seed: int
    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class EntryRun:
    """One run of a seed for a span of virtual time."""

    def __init__(self, seed: int, span_s: float, only: tuple[str, ...] = ()):
        self.seed = seed
        self._span_s = span_s
        # Names of the only faults to bring about, one soon after the other; empty for all.
        self._only = only
        self._rng = Random(seed)
        self._judge = Judge()
        self._troubles: list[Trouble] = []
        self._draining: dict[str, Leaving] = {}
        self._evacuated: dict[str, list[Leaving]] = defaultdict(list)
        self._cold: dict[str, list[Leaving]] = defaultdict(list)
        self._zones: dict[str, str] = {}
        self._left: dict[str, float] = {}
        self._gone: list[WatchedReplica] = []
        self._stops: list[tuple[str, float]] = []
        self._busy: set[str] = set()
        # Faults that keep the store from all routers now.
        self._store_away = 0
        self._store_back = trio.Event()
        self._versions: dict[str, tuple[int, int]] = {}
        self._number = 0
        self._loading = True
        self.world: VirtualWorld | None = None
        self.result = RunResult(seed)

    def run(self) -> RunResult:
        """Run it in virtual time."""
        run_virtual(self.seed, self._main)
        self.result.counts += self._judge.counts
        return self.result

    def _breaks(self, text: str) -> None:
        """Note a broken promise."""
        self.result.broken.append(f"{trio.current_time():.3f} {text}")

    async def _main(self) -> None:
        """Build the world, load it, bring faults about, heal it, and judge."""
        async with trio.open_nursery() as nursery:
            self.world = VirtualWorld(nursery, self._rng, BOUNDS)
            await self._build()
            nursery.start_soon(self._watch_versions)
            async with trio.open_nursery() as load:
                for _ in range(CLIENTS):
                    load.start_soon(self._client)
                with trio.move_on_after(self._span_s):
                    async with trio.open_nursery() as troubles:
                        troubles.start_soon(self._beat)
                        troubles.start_soon(self._operate)
                        troubles.start_soon(self._bring_faults, nursery)
                with trio.move_on_after(HEALED_S):
                    await self._beat()
                self._loading = False
            self._judge_end()
            nursery.cancel_scope.cancel()

    async def _build(self) -> None:
        """Start the replicas and the routers."""
        world = self.world
        world.service_plans = [
            {**plan, "cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
            for plan in world.service_plans
        ]
        world.write_plan()
        for service, count in SERVICES.items():
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                name = f"{service}-{number}"
                self._zones[name] = zone
                replica = await world.add_replica(name, service, zone)
                replica.pace_ms = PACE_MS[service]
        for number in range(ROUTERS):
            await world.start_router(ZONES[number % len(ZONES)])
        await trio.sleep(1)

    # Load.

    async def _client(self) -> None:
        """Send one request after the other."""
        while self._loading:
            router = self._rng.choice(self.world.routers)
            await self._request(router)
            await trio.sleep(self._rng.uniform(0.0, 0.6))

    async def _request(self, router: VirtualRouter) -> None:
        """Send one request on a new connection and judge its answer."""
        self._number += 1
        path = f"{self._rng.choice(PATHS)}{self._rng.randrange(20)}"
        sent = Sent(f"q{self._number}", path, "key-1", router.name, trio.current_time())
        leaves = self._rng.random() < LEAVING_PART
        limit = self._rng.uniform(0.01, 0.3) if leaves else CLIENT_LIMIT_S
        with trio.move_on_after(limit) as scope:
            sent.answer = await self._exchange(router, sent)
        sent.done_at = trio.current_time()
        if scope.cancelled_caught:
            self._left[sent.request] = sent.done_at
        self._judge_answer(sent)

    async def _exchange(self, router: VirtualRouter, sent: Sent) -> Answer:
        """Send a request and return what came."""
        fields = {
            "host": "app.example",
            "x-attempt-id": sent.request,
            "x-api-key": sent.key,
            "x-deadline-ms": "4000",
        }
        if sent.path.startswith(ENGINE_PATHS):
            fields["x-token-count"] = "100,50"
            fields["x-prefix-hash"] = f"aa:500,b{sent.path[-1]}:400,c{sent.request}:10"
        method, body = ("GET", b"") if sent.path.startswith("/check/") else ("POST", b"work")
        with self.world.net.at(CLIENT_HOST):
            try:
                stream = await trio.open_tcp_stream(router.host, CALLER_PORT)
            except OSError:
                # The router is down; its clients go elsewhere.
                return Answer()
        try:
            return await exchange(stream, method, sent.path, fields, body)
        except (OSError, trio.BrokenResourceError):
            # The router was killed while it served.
            return Answer()
        finally:
            stream.socket.close()

    def _judge_answer(self, sent: Sent) -> None:
        """Judge one request by its answer."""
        answer = sent.answer
        self._judge.sent.append(sent)
        self._judge.counts[f"status {answer.status}"] += 1
        if answer.status == 200 and answer.whole and not self._judge.own_answer(sent):
            self._breaks(f"{sent.request} at {sent.router}: not its own whole answer")
        if sent.request in self._left:
            return
        if any(self._cut_by_stop(sent, name, at) for name, at in self._stops):
            self._breaks(f"{sent.request} at {sent.router}: cut at its stop")
        if not self._calm("", sent.at, sent.done_at):
            return
        if answer.status in (200, 503) and answer.whole:
            return
        self._breaks(f"{sent.request} at {sent.router}: status {answer.status} while calm")

    def _cut_by_stop(self, sent: Sent, name: str, at: float) -> bool:
        """Tell whether a router that was told to stop dropped a request that ran there."""
        if sent.router != name or sent.answer.whole or not sent.at + SENT_S < at < sent.done_at:
            return False
        return not any(
            item.start < sent.done_at and item.end > at - STABLE_S
            for item in self._troubles
            if not item.planned
        )

    # The operator and the replicas' own beats.

    async def _beat(self) -> None:
        """Let replicas tell that they are there."""
        while True:
            for name in list(self.world.replicas):
                if name not in self._busy and name not in self._draining:
                    self._list(name)
            await trio.sleep(1.2)

    def _list(self, name: str, **fields) -> None:
        """Write a replica's entry with what is true of it."""
        left = max((span.end for span in self._cold[name]), default=0.0) - trio.current_time()
        fields.setdefault("cold_remaining_ms", max(0, int(left * 1000)))
        fields.setdefault("born", self.world.borns.get(name, 1))
        self.world.list_replica(name, self.world.services[name], self._zones[name], **fields)

    async def _operate(self) -> None:
        """Change the configuration, and empty zones."""
        while True:
            await trio.sleep(self._rng.uniform(0.5, 4.0))
            if self._rng.random() < 0.7:
                self.world.write_plan()
                continue
            await self._evacuate(self._rng.choice(ZONES))

    async def _evacuate(self, zone: str) -> None:
        """Empty a zone and take it back, cold; a store that is away takes no such order."""
        store = self.world.store
        await self._until_store_is_up()
        span = Leaving(trio.current_time())
        self._evacuated[zone].append(span)
        store.write("op", f"evacuate/{zone}", b"{}")
        try:
            await trio.sleep(self._rng.choice((1.0, 3.0, 7.0)))
            await self._until_store_is_up()
            for name, place in self._zones.items():
                if place == zone:
                    self._turn_cold(name)
        finally:
            span.end = trio.current_time()
            store.write("op", f"evacuate/{zone}", None)

    async def _until_store_is_up(self) -> None:
        """Wait while the store is away for all."""
        while self._store_away:
            await self._store_back.wait()

    def _let_store_back(self, was_away: bool) -> None:
        """End one fault that kept the store from all routers."""
        self._store_away -= was_away
        if not self._store_away:
            self._store_back.set()
            self._store_back = trio.Event()

    def _turn_cold(self, name: str) -> None:
        """Let a replica be cold from now on, and say so."""
        now = trio.current_time()
        self._cold[name].append(Leaving(now, now + COLD_S))
        if name not in self._draining and name not in self._busy:
            self._list(name)

    # Faults.

    async def _bring_faults(self, nursery: trio.Nursery) -> None:
        """Bring faults about, in series and overlapping, with calm spans between."""
        kinds = [
            self._cut_routers,
            self._cut_store,
            self._store_fails,
            self._store_forgets,
            self._lossy,
            self._cut_replica,
            self._crash,
            self._drain,
            self._spoil,
            self._kill,
            self._stop,
        ]
        if self._only:
            kinds = [kind for kind in kinds if kind.__name__.strip("_") in self._only]
        pauses = (0.2,) if self._only else (0.5, 2.0, 2 * STABLE_S)
        while kinds:
            for _ in range(self._rng.randint(1, 3)):
                kind = self._rng.choice(kinds)
                self.result.counts[kind.__name__.strip("_")] += 1
                nursery.start_soon(kind)
                await trio.sleep(self._rng.uniform(0.0, 2.0))
            await trio.sleep(self._rng.choice(pauses))

    async def _hold(self) -> None:
        """Let a fault last."""
        await trio.sleep(self._rng.uniform(0.2, 5.0))

    def _trouble(self, *places: str, planned: bool = False) -> ExitStack:
        """Return a block during which parts of the world are in trouble."""
        stack = ExitStack()
        for place in places:
            span = Trouble(place, trio.current_time(), planned=planned)
            self._troubles.append(span)
            stack.callback(lambda span=span: setattr(span, "end", trio.current_time()))
        return stack

    async def _cut(self, pairs: list[tuple[str, str]]) -> None:
        """Cut ways for a while."""
        net = self.world.net
        for pair in pairs:
            net.cut(*pair)
        await self._hold()
        for pair in pairs:
            net.heal(*pair)

    async def _cut_routers(self) -> None:
        """Part a router from the other routers, in one direction or both."""
        router = self._rng.choice(self.world.routers)
        others = [item.host for item in self.world.routers if item is not router]
        ways = self._rng.choice(((True,), (False,), (True, False)))
        pairs = []
        for other in others:
            pairs += [(router.host, other) if out else (other, router.host) for out in ways]
        with self._trouble(*(item.name for item in self.world.routers)):
            await self._cut(pairs)

    async def _cut_store(self) -> None:
        """Part a router, or all, from the store."""
        routers = self.world.routers
        chosen = routers if self._rng.random() < 0.3 else [self._rng.choice(routers)]
        pairs = [(item.host, "10.200.0.1") for item in chosen]
        with self._trouble("store", *(item.name for item in chosen)):
            self._store_away += chosen is routers
            await self._cut(pairs)
            self._let_store_back(chosen is routers)

    async def _store_fails(self) -> None:
        """Let the store be silent, refuse, or lose answers for some routers or all."""
        doors = [door for door, _ in self.world.doors]
        chosen = doors if self._rng.random() < 0.5 else [self._rng.choice(doors)]
        name, value = self._rng.choice(
            (("silent", True), ("status", 503), ("status", 429), ("lose_answers", True))
        )
        with self._trouble("store"):
            self._store_away += chosen is doors
            for door in chosen:
                setattr(door.faults, name, value)
            await self._hold()
            self._let_store_back(chosen is doors)
            for door in chosen:
                setattr(door.faults, name, type(value)(0))

    async def _store_forgets(self) -> None:
        """Let the store forget its history."""
        with self._trouble("store"):
            self.world.store.compact()

    async def _lossy(self) -> None:
        """Lose a part of all datagrams."""
        with self._trouble(*(item.name for item in self.world.routers)):
            self.world.net.loss = 0.2
            await self._hold()
            self.world.net.loss = 0.0

    async def _cut_replica(self) -> None:
        """Part a replica from some routers."""
        name = self._rng.choice(list(self.world.replicas))
        routers = self._rng.sample(self.world.routers, self._rng.randint(1, ROUTERS))
        pairs = [(item.host, self.world.host_of(name)) for item in routers]
        if self._rng.random() < 0.5:
            pairs = [(target, source) for source, target in pairs]
        with self._trouble(name):
            await self._cut(pairs)

    async def _crash(self) -> None:
        """End a replica and start it again at its address, cold."""
        name = self._take_replica()
        if name is None:
            return
        with self._trouble(name):
            self.world.stop_replica(name)
            self.world.net.reset(self.world.host_of(name))
            await self._hold()
            born = self.world.borns[name] = self.world.borns.get(name, 1) + 1
            now = trio.current_time()
            self._cold[name].append(Leaving(now, now + COLD_S))
            await self.world.restart_replica(name, born)
            self._busy.discard(name)
            self._list(name)

    def _take_replica(self) -> str | None:
        """Return a replica that nothing else happens to."""
        free = [
            name
            for name in self.world.replicas
            if name not in self._busy and name not in self._draining
        ]
        if not free:
            return None
        name = self._rng.choice(free)
        self._busy.add(name)
        return name

    async def _drain(self) -> None:
        """Drain a replica, let it leave, and put another one at its address."""
        name = self._take_replica()
        service = name and self.world.services[name]
        running = [n for n in self.world.replicas if self.world.services[n] == service]
        if name is None or len(running) <= 2:
            self._busy.discard(name)
            return
        self._draining[name] = Leaving(trio.current_time())
        if self._rng.random() < 0.7:
            self._list(name, state="draining")
            await trio.sleep(DRAIN_S + self._rng.uniform(0.1, 3.0))
        self.world.store.write("servers", name, None)
        await trio.sleep(DRAIN_S)
        replica = self.world.replicas.pop(name)
        self._gone.append(replica)
        self.world.shut(name)
        replica.drop_links()
        await trio.sleep(2.0)
        await self._replace(name, self._rng.choice(list(SERVICES)))

    async def _replace(self, old: str, service: str) -> None:
        """Start a replica, of any service, where another one was."""
        self._number += 1
        name = f"{service}-r{self._number}"
        self.world.hosts[name] = self.world.host_of(old)
        self.world.ports[name] = self.world.ports[old]
        self._zones[name] = self._zones[old]
        now = trio.current_time()
        self._cold[name].append(Leaving(now, now + COLD_S))
        replica = await self.world.add_replica(name, service, self._zones[name])
        replica.pace_ms = PACE_MS[service]
        self._list(name)

    async def _spoil(self) -> None:
        """Let a replica spoil some of its answers."""
        name = self._rng.choice(list(self.world.replicas))
        replica = self.world.replicas[name]
        kinds = ("shed", "errors", "unsigned", "lose_answer", "extra_answer", "encoded")
        with self._trouble(name):
            setattr(replica.faults, self._rng.choice(kinds), self._rng.randint(1, 6))
            replica.faults.break_after = self._rng.choice((None, 0, 3))
            await self._hold()
            replica.faults.break_after = None
            for kind in kinds:
                setattr(replica.faults, kind, 0)

    def _take_router(self) -> VirtualRouter | None:
        """Return a router that runs and that nothing else happens to."""
        free = [r for r in self.world.routers if r.is_up() and r.name not in self._busy]
        if len(free) < 2:
            return None
        router = self._rng.choice(free)
        self._busy.add(router.name)
        return router

    async def _kill(self) -> None:
        """Kill a router and start it again."""
        router = self._take_router()
        if router is None:
            return
        with self._trouble(router.name):
            await self.world.kill(router)
            await self._hold()
            self._versions.pop(router.name, None)
            self.world.launch(router)
        self._busy.discard(router.name)

    async def _stop(self) -> None:
        """Stop a router in order and start it again."""
        router = self._take_router()
        if router is None:
            return
        with self._trouble(router.name, planned=True):
            self._stops.append((router.name, trio.current_time()))
            await router.signals.send(signal.SIGTERM)
            with trio.move_on_after(self.world.bounds.grace_ms / 1000):
                await router.ended.wait()
            if router.is_up():
                self._breaks(f"{router.name} did not end in time")
                await self.world.kill(router)
            self._versions.pop(router.name, None)
            self.world.launch(router)
        self._busy.discard(router.name)

    # Checks.

    async def _watch_versions(self) -> None:
        """See that no router goes back to an older configuration or list."""
        while True:
            for router in self.world.routers:
                if router.core is None or router.core.beliefs.plan is None:
                    continue
                beliefs = router.core.beliefs
                now = (beliefs.plan.version, beliefs.caches[RowTable.UPSTREAMS].version)
                before = self._versions.get(router.name, (0, 0))
                if now[0] < before[0] or now[1] < before[1]:
                    self._breaks(f"{router.name} went back from {before} to {now}")
                self._versions[router.name] = now
            await trio.sleep(0.05)

    def _calm(self, place: str, start: float, end: float) -> bool:
        """Tell whether nothing was wrong with a part, or with any for an empty name."""
        return not any(
            item.start < end and item.end > start - STABLE_S
            for item in self._troubles
            if not place or item.where in (place, "store")
        )

    @property
    def _all_replicas(self) -> list[WatchedReplica]:
        """Return the replicas that ran at any time."""
        return [*self.world.replicas.values(), *self._gone]

    def _judge_end(self) -> None:
        """Judge what can be told only from the whole run."""
        for router in self.world.routers:
            if router.fault is not None:
                self._breaks(f"{router.name} ended with {router.fault!r}")
        self._judge.judge_runs(self._all_replicas)
        self.result.broken += self._judge.broken
        for replica in self._all_replicas:
            self._judge_cold(replica)
            self._judge_leaving(replica)
        self._judge_routes()
        self._judge_attempts()
        self._judge_repeats()
        self._judge_left()
        self._judge_loads()
        self._judge_agreement()

    def _judge_cold(self, replica: WatchedReplica) -> None:
        """See that a cold replica got no more a second than it bears."""
        limit = COLD_PER_S * self.world.bounds.cold_overshoot + self.world.bounds.cold_tolerance
        for span in self._cold[replica.name]:
            moments = [
                item.at
                for item in replica.arrivals
                if span.start <= item.at <= span.end and not item.rejected
            ]
            for index, first in enumerate(moments):
                count = sum(first <= moment < first + ONE_SECOND for moment in moments[index:])
                if count > limit:
                    self._breaks(f"{replica.name}: {count} requests a second while cold")
                    break

    def _judge_leaving(self, replica: WatchedReplica) -> None:
        """See that nothing reached a replica that was leaving, or whose zone was emptied."""
        spans = [(item, EVACUATE_S) for item in self._evacuated[self._zones[replica.name]]]
        if replica.name in self._draining:
            spans.append((self._draining[replica.name], DRAIN_S))
        hosts = {item.host: item.name for item in self.world.routers}
        for arrival in replica.arrivals:
            router = hosts[arrival.router]
            late = any(item.start + limit < arrival.at < item.end for item, limit in spans)
            if late and not arrival.rejected and self._calm(router, arrival.at, arrival.at):
                self._breaks(f"{arrival.request} reached {replica.name} by {router}, too late")

    def _judge_routes(self) -> None:
        """See that no replica ran what its service does not serve."""
        for replica in self._all_replicas:
            service = self.world.services[replica.name]
            for run in replica.runs:
                if run.target.startswith(ENGINE_PATHS) != (service == "lm"):
                    self._breaks(f"{run.request} for {run.target} ran at {replica.name}")
                if run.fields.get("x-expect-replica") != replica.name:
                    self._breaks(f"{run.request} ran at {replica.name} without its name")

    def _judge_attempts(self) -> None:
        """See that no request ran on more replicas than its route allows."""
        runs = Counter(run.request for replica in self._all_replicas for run in replica.runs)
        for request, count in runs.items():
            if count > MAX_ATTEMPTS:
                self._breaks(f"{request} ran {count} times")

    def _judge_repeats(self) -> None:
        """See that repeats stayed within what all routers may spend."""
        bounds = self.world.bounds
        window_s = bounds.retry_window_ms / 1000
        for service in SERVICES:
            asked = sorted(
                item.at
                for item in self._judge.sent
                if item.path.startswith(ENGINE_PATHS) == (service == "lm")
            )
            seen: set[str] = set()
            again = []
            arrivals = [
                arrival
                for replica in self._all_replicas
                if self.world.services[replica.name] == service
                for arrival in replica.arrivals
            ]
            for arrival in sorted(arrivals, key=lambda item: item.at):
                if arrival.request in seen:
                    again.append(arrival.at)
                seen.add(arrival.request)
            self.result.counts["repeats"] += len(again)
            for moment in again:
                count = sum(moment - window_s < other <= moment for other in again)
                requests = sum(moment - window_s < other <= moment for other in asked)
                if count > bounds.retry_ratio * requests + bounds.retry_extra:
                    self._breaks(f"{count} repeats at {service} for {requests} requests")
                    break

    def _judge_left(self) -> None:
        """See that work ended soon after its client had left."""
        late, left = [], 0
        for replica in self._all_replicas:
            arrived = {item.request: item.at for item in replica.arrivals}
            for run in replica.runs:
                gone_at = self._left.get(run.request)
                events = replica.events if run.target.startswith(ENGINE_PATHS) else 1
                lasts_until = arrived[run.request] + events * replica.pace_ms / MS
                if gone_at is None or gone_at + NOTICE_S > lasts_until:
                    continue
                left += 1
                if run.ended:
                    late.append(run.request)
        self.result.counts["left"] += left
        if len(late) > max(3, left // 4):
            self._breaks(f"work went on for clients that had left: {late[:5]}")

    def _judge_loads(self) -> None:
        """See that in calm spans chats reached no replica far above the mean."""
        engines = [r for r in self._all_replicas if self.world.services[r.name] == "lm"]
        arrivals = sorted(
            (item.at, replica.name, item.running)
            for replica in engines
            for item in replica.arrivals
        )
        factor = self.world.bounds.load_factor
        over = checked = 0
        loads: dict[str, int] = {}
        for at, name, running in arrivals:
            loads[name] = running
            if not self._calm("", at - 2.0, at):
                continue
            checked += 1
            mean = sum(loads.values()) / len(loads)
            over += running > factor * mean + 3
        self.result.counts["loads checked"] += checked
        if over >= OVERLOADED_FEWEST and over > OVERLOADED_PART * checked:
            self._breaks(f"{over} of {checked} chats reached an overloaded replica")

    def _judge_agreement(self) -> None:
        """See that after all faults every router serves and knows what the store says."""
        store = self.world.store
        listed = {key for key, row in store.tables["servers"].items() if row.data is not None}
        for router in self.world.routers:
            core = router.core
            if core is None:
                self._breaks(f"{router.name} does not run after the faults")
                continue
            if core.beliefs.plan is None or core.beliefs.plan.version != self.world.plan_version:
                self._breaks(f"{router.name} has not the newest configuration")
            known = set(core.beliefs.upstreams)
            if known != listed:
                self._breaks(f"{router.name} knows {sorted(known ^ listed)} differently")


def run_seed(seed: int, span_s: float, only: tuple[str, ...] = ()) -> RunResult:
    """Run one seed."""
    return EntryRun(seed, span_s, only).run()
