"""The faults that a random run of entry routers injects."""

import json
import signal

import trio

from features.entry_run_state import (
    COLD_S,
    DRAIN_LIMIT_S,
    HEARTBEAT_S,
    LAPSE_HEARTBEATS,
    NAMED_LIMITS,
    PACE_MS,
    RECOVERY_S,
    REPLICAS_BY_SERVICE,
    ROUTER_COUNT,
    LimitSpan,
    RunState,
    TimeSpan,
)
from features.virtual_world import VirtualRouter
from standins.rows import StoreCopy


class FaultInjection(RunState):
    """Random faults of routers, replicas, the store and the network between them."""

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        """Start faults that may overlap, in groups of up to three with pauses between them."""
        kinds = [
            self._partition_router,
            self._partition_store,
            self._fail_store,
            self._compact_store,
            self._drop_datagrams,
            self._partition_replica,
            self._crash_replica,
            self._drain_replica,
            self._corrupt_responses,
            self._kill_router,
            self._shut_down_router,
            self._name_limit,
            self._restore_store,
        ]
        if self._only_faults:
            kinds = [kind for kind in kinds if kind.__name__.strip("_") in self._only_faults]
        pauses = (0.2,) if self._only_faults else (0.5, 2.0, 2 * RECOVERY_S)
        while kinds:
            for _ in range(self._rng.randint(1, 3)):
                kind = self._rng.choice(kinds)
                self.result.counts[kind.__name__.strip("_")] += 1
                nursery.start_soon(kind)
                await trio.sleep(self._rng.uniform(0.0, 2.0))
            await trio.sleep(self._rng.choice(pauses))

    async def _wait_fault_duration(self) -> None:
        """Sleep for the random duration of a fault."""
        await trio.sleep(self._rng.uniform(0.2, 5.0))

    async def _partition(self, pairs: list[tuple[str, str]]) -> None:
        """Block traffic from the first to the second host of each pair for a random time."""
        net = self.world.net
        for pair in pairs:
            net.cut(*pair)
        await self._wait_fault_duration()
        for pair in pairs:
            net.heal(*pair)

    async def _partition_router(self) -> None:
        """Partition a router from the other routers, in one direction or both."""
        router = self._rng.choice(self.world.routers)
        others = [item.host for item in self.world.routers if item is not router]
        directions = self._rng.choice(((True,), (False,), (True, False)))
        pairs = []
        for other in others:
            pairs += [
                (router.host, other) if outgoing else (other, router.host)
                for outgoing in directions
            ]
        with self._record_fault(*(item.name for item in self.world.routers)):
            await self._partition(pairs)

    async def _partition_store(self) -> None:
        """Partition one router or all routers from the store."""
        routers = self.world.routers
        chosen = routers if self._rng.random() < 0.3 else [self._rng.choice(routers)]
        pairs = [(item.host, "10.200.0.1") for item in chosen]
        with self._record_fault("store", *(item.name for item in chosen)):
            self._store_outages += chosen is routers
            await self._partition(pairs)
            self._end_store_outage(chosen is routers)

    async def _fail_store(self) -> None:
        """Make the store hang, refuse calls or lose its answers, for one router or all."""
        endpoints = [endpoint for endpoint, _ in self.world.store_endpoints]
        chosen = endpoints if self._rng.random() < 0.5 else [self._rng.choice(endpoints)]
        name, value = self._rng.choice(
            (("silent", True), ("status", 503), ("status", 429), ("lose_answers", True))
        )
        with self._record_fault("store"):
            self._store_outages += chosen is endpoints
            for endpoint in chosen:
                setattr(endpoint.faults, name, value)
            await self._wait_fault_duration()
            self._end_store_outage(chosen is endpoints)
            for endpoint in chosen:
                setattr(endpoint.faults, name, type(value)(0))

    async def _compact_store(self) -> None:
        """Make the store drop its history of changes."""
        with self._record_fault("store"):
            self.world.store.compact()

    async def _restore_store(self) -> None:
        """Take the store away for a moment and restore it from a copy that is some seconds old.

        The operator and the replicas write again what was lost, in the new era.
        """
        if self._store_outages or self._restoring:
            return
        self._restoring = True
        store = self.world.store
        copy = self._rng.choice(self._store_copies)
        endpoints = [endpoint for endpoint, _ in self.world.store_endpoints]
        with self._record_fault("store"):
            self._store_outages += 1
            for endpoint in endpoints:
                endpoint.faults.reset = True
            await trio.sleep(self._rng.uniform(0.1, 3.0))
            known = store.copy()
            store.restore(copy)
            self._write_operator_rows_again(known)
            for endpoint in endpoints:
                endpoint.faults.reset = False
            self._end_store_outage(True)
        await trio.sleep(self._rng.uniform(0.1, HEARTBEAT_S))
        self._write_draining_again(known)
        await trio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
        self._remove_lapsed(known)
        await trio.sleep(RECOVERY_S)
        self._restoring = False

    def _write_operator_rows_again(self, known: StoreCopy) -> None:
        """Let the operator write what it had written: its configuration and zones."""
        store = self.world.store
        restored = dict(store.tables.get("op", {}))
        for key, row in known.tables.get("op", {}).items():
            if key not in restored or restored[key].data != row.data:
                store.write("op", key, row.data)

    def _write_draining_again(self, known: StoreCopy) -> None:
        """Let the replicas that had said that they drain say so again."""
        for name, row in known.tables["servers"].items():
            if name in self._draining and name in self.world.replicas and row.data is not None:
                if json.loads(row.data)["state"] == "draining":
                    self._write_entry(name, state="draining")

    def _remove_lapsed(self, known: StoreCopy) -> None:
        """Remove the entries of replicas that have left and renew them no more."""
        store = self.world.store
        for name in list(store.tables["servers"]):
            gone = name not in self.world.replicas or name in self._draining
            row = known.tables["servers"].get(name)
            if gone and row is not None and row.data is None:
                store.write("servers", name, None)

    async def _copy_store(self) -> None:
        """Copy the store each second; keep the copies of the last seconds."""
        while True:
            self._store_copies.append(self.world.store.copy())
            await trio.sleep(1.0)

    async def _drop_datagrams(self) -> None:
        """Drop a random part of all datagrams."""
        with self._record_fault(*(item.name for item in self.world.routers)):
            self.world.net.loss_rate = 0.2
            await self._wait_fault_duration()
            self.world.net.loss_rate = 0.0

    async def _partition_replica(self) -> None:
        """Partition a replica from some routers, in one direction."""
        name = self._rng.choice(list(self.world.replicas))
        routers = self._rng.sample(self.world.routers, self._rng.randint(1, ROUTER_COUNT))
        pairs = [(item.host, self.world.host_of(name)) for item in routers]
        if self._rng.random() < 0.5:
            pairs = [(target, source) for source, target in pairs]
        with self._record_fault(name):
            await self._partition(pairs)

    async def _crash_replica(self) -> None:
        """Crash a replica and restart it at the same address, cold."""
        name = self._reserve_replica()
        if name is None:
            return
        with self._record_fault(name):
            self.world.stop_replica(name)
            self.world.net.reset(self.world.host_of(name))
            await self._wait_fault_duration()
            born = self.world.start_counts[name] = self.world.start_counts.get(name, 1) + 1
            now = trio.current_time()
            self._cold_spans[name].append(TimeSpan(now, now + COLD_S))
            await self.world.restart_replica(name, born)
            self._reserved.discard(name)
            self._write_entry(name)

    def _reserve_replica(self) -> str | None:
        """Reserve a replica that no other fault stops; return its name, if there is one."""
        free = [
            name
            for name in self.world.replicas
            if name not in self._reserved and name not in self._draining
        ]
        if not free:
            return None
        name = self._rng.choice(free)
        self._reserved.add(name)
        return name

    async def _drain_replica(self) -> None:
        """Drain or just remove a replica, then start another one at its address."""
        name = self._reserve_replica()
        service = name and self.world.services[name]
        running = [n for n in self.world.replicas if self.world.services[n] == service]
        if name is None or len(running) <= 2:
            self._reserved.discard(name)
            return
        self._draining[name] = TimeSpan(trio.current_time())
        if self._rng.random() < 0.7:
            self._write_entry(name, state="draining")
            await trio.sleep(DRAIN_LIMIT_S + self._rng.uniform(0.1, 3.0))
        self.world.store.write("servers", name, None)
        await trio.sleep(DRAIN_LIMIT_S)
        replica = self.world.replicas.pop(name)
        self._removed_replicas.append(replica)
        self.world.stop_accepting(name)
        replica.close_connections()
        await trio.sleep(2.0)
        await self._start_replacement(name, self._rng.choice(list(REPLICAS_BY_SERVICE)))

    async def _start_replacement(self, old: str, service: str) -> None:
        """Start a replica of a service at the address of a removed one."""
        self._last_number += 1
        name = f"{service}-r{self._last_number}"
        self.world.hosts[name] = self.world.host_of(old)
        self.world.ports[name] = self.world.ports[old]
        self._zones[name] = self._zones[old]
        now = trio.current_time()
        self._cold_spans[name].append(TimeSpan(now, now + COLD_S))
        replica = await self.world.add_replica(name, service, self._zones[name])
        replica.pace_ms = PACE_MS[service]
        self._write_entry(name)

    async def _corrupt_responses(self) -> None:
        """Make a replica give faulty responses to some requests."""
        name = self._rng.choice(list(self.world.replicas))
        replica = self.world.replicas[name]
        kinds = ("shed", "errors", "unsigned", "lose_response", "extra_response", "encoded")
        with self._record_fault(name):
            setattr(replica.faults, self._rng.choice(kinds), self._rng.randint(1, 6))
            replica.faults.break_after = self._rng.choice((None, 0, 3))
            await self._wait_fault_duration()
            replica.faults.break_after = None
            for kind in kinds:
                setattr(replica.faults, kind, 0)

    async def _name_limit(self) -> None:
        """Let a replica name a limit of requests a second in all its answers."""
        name = self._rng.choice(list(self.world.replicas))
        faults = self.world.replicas[name].faults
        if faults.request_limit is not None:
            return
        per_second = round(self._rng.uniform(*NAMED_LIMITS), 2)
        span = LimitSpan(trio.current_time(), per_second=per_second)
        self._limit_spans[name].append(span)
        faults.request_limit = per_second
        try:
            await trio.sleep(self._rng.uniform(5.0, 15.0))
        finally:
            span.end = trio.current_time()
            faults.request_limit = None

    def _reserve_router(self) -> VirtualRouter | None:
        """Reserve a running router that no other fault stops, unless fewer than two are left."""
        free = [r for r in self.world.routers if r.is_running() and r.name not in self._reserved]
        if len(free) < 2:
            return None
        router = self._rng.choice(free)
        self._reserved.add(router.name)
        return router

    async def _kill_router(self) -> None:
        """Kill a router and restart it."""
        router = self._reserve_router()
        if router is None:
            return
        with self._record_fault(router.name):
            await self.world.kill(router)
            await self._wait_fault_duration()
            self._seen_versions.pop(router.name, None)
            self.world.start_process(router)
        self._reserved.discard(router.name)

    async def _shut_down_router(self) -> None:
        """Shut a router down by SIGTERM and restart it."""
        router = self._reserve_router()
        if router is None:
            return
        with self._record_fault(router.name, planned=True):
            self._shutdowns.append((router.name, trio.current_time()))
            await router.signals.send(signal.SIGTERM)
            with trio.move_on_after(self.world.bounds.grace_ms / 1000):
                await router.ended.wait()
            if router.is_running():
                self._record_violation(f"{router.name} did not shut down in time")
                await self.world.kill(router)
            self._seen_versions.pop(router.name, None)
            self.world.start_process(router)
        self._reserved.discard(router.name)
