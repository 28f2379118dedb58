"""A random run of whole entry routers with load, an operator, faults and checked invariants."""

import trio

from features.entry_checks import InvariantChecks
from features.entry_faults import FaultInjection
from features.entry_run_state import (
    CALLER_COUNT,
    CALLER_TIMEOUT_S,
    COLD_PER_S,
    COLD_S,
    DISCONNECT_RATIO,
    ENGINE_PATHS,
    FINAL_FAULT_FREE_S,
    HEARTBEAT_S,
    PACE_MS,
    PATH_PREFIXES,
    REPLICAS_BY_SERVICE,
    ROUTER_COUNT,
    TIGHT_BOUNDS,
    RunResult,
    TimeSpan,
)
from features.virtual_world import CALLER_HOST, CALLER_PORT, ZONES, VirtualRouter, VirtualWorld
from features.world import run_virtual
from soak.checker import SentRequest
from standins.entry_world import Response, exchange


class EntryRun(FaultInjection, InvariantChecks):
    """One run with a seed, for a span of virtual time."""

    def run(self) -> RunResult:
        """Run in virtual time and return the result."""
        run_virtual(self.seed, self._main)
        self.result.counts += self._judge.counts
        return self.result

    async def _main(self) -> None:
        """Start the world, send requests and inject faults, end the faults, and check."""
        async with trio.open_nursery() as nursery:
            self.world = VirtualWorld(nursery, self._rng, TIGHT_BOUNDS)
            await self._build()
            nursery.start_soon(self._check_versions)
            async with trio.open_nursery() as callers:
                for _ in range(CALLER_COUNT):
                    callers.start_soon(self._run_caller)
                with trio.move_on_after(self._span_s):
                    async with trio.open_nursery() as background:
                        background.start_soon(self._write_heartbeats)
                        background.start_soon(self._run_operator)
                        background.start_soon(self._copy_store)
                        background.start_soon(self._inject_faults, nursery)
                with trio.move_on_after(FINAL_FAULT_FREE_S):
                    await self._write_heartbeats()
                self._sending = False
            self._check_run()
            nursery.cancel_scope.cancel()

    async def _build(self) -> None:
        """Start the replicas and the routers."""
        world = self.world
        world.service_plans = [
            {**plan, "cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
            for plan in world.service_plans
        ]
        world.write_plan()
        for service, count in REPLICAS_BY_SERVICE.items():
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                name = f"{service}-{number}"
                self._zones[name] = zone
                replica = await world.add_replica(name, service, zone)
                replica.pace_ms = PACE_MS[service]
        for number in range(ROUTER_COUNT):
            await world.start_router(ZONES[number % len(ZONES)])
        await trio.sleep(1)

    # Load.

    async def _run_caller(self) -> None:
        """Send requests one after the other, each to a random router."""
        while self._sending:
            router = self._rng.choice(self.world.routers)
            await self._send_request(router)
            await trio.sleep(self._rng.uniform(0.0, 0.6))

    async def _send_request(self, router: VirtualRouter) -> None:
        """Send one request on a new connection and check its response."""
        self._last_number += 1
        path = f"{self._rng.choice(PATH_PREFIXES)}{self._rng.randrange(20)}"
        sent = SentRequest(f"q{self._last_number}", path, "key-1", router.name, trio.current_time())
        disconnects = self._rng.random() < DISCONNECT_RATIO
        timeout_s = self._rng.uniform(0.01, 0.3) if disconnects else CALLER_TIMEOUT_S
        with trio.move_on_after(timeout_s) as scope:
            sent.response = await self._exchange(router, sent)
        sent.done_at = trio.current_time()
        if scope.cancelled_caught:
            self._disconnected_at[sent.request_id] = sent.done_at
        self._check_response(sent)

    async def _exchange(self, router: VirtualRouter, sent: SentRequest) -> Response:
        """Send a request and return the response, empty if the router is down or gets killed."""
        fields = {
            "host": "app.example",
            "x-attempt-id": sent.request_id,
            "x-api-key": sent.key,
            "x-deadline-ms": "4000",
        }
        if sent.path.startswith(ENGINE_PATHS):
            fields["x-token-count"] = "100,50"
            fields["x-prefix-hash"] = f"aa:500,b{sent.path[-1]}:400,c{sent.request_id}:10"
        method, body = ("GET", b"") if sent.path.startswith("/check/") else ("POST", b"work")
        with self.world.net.on_host(CALLER_HOST):
            try:
                stream = await trio.open_tcp_stream(router.host, CALLER_PORT)
            except OSError:
                # The router is down; a caller would use another one.
                return Response()
        try:
            return await exchange(stream, method, sent.path, fields, body)
        except (OSError, trio.BrokenResourceError):
            # The router was killed while it served the request.
            return Response()
        finally:
            stream.socket.close()

    # The operator, and the heartbeats of replicas.

    async def _write_heartbeats(self) -> None:
        """Write the entries of the replicas that are up and not draining, again and again."""
        while True:
            for name in list(self.world.replicas):
                if name not in self._reserved and name not in self._draining:
                    self._write_entry(name)
            await trio.sleep(HEARTBEAT_S)

    async def _run_operator(self) -> None:
        """Write configurations and evacuate zones at random."""
        while True:
            await trio.sleep(self._rng.uniform(0.5, 4.0))
            if self._rng.random() < 0.7:
                self.world.write_plan()
                continue
            await self._evacuate_zone(self._rng.choice(ZONES))

    async def _evacuate_zone(self, zone: str) -> None:
        """Evacuate a zone and restore it with cold replicas, each once the store is available."""
        store = self.world.store
        await self._wait_for_store()
        span = TimeSpan(trio.current_time())
        self._evacuations[zone].append(span)
        store.write("op", f"evacuate/{zone}", b"{}")
        try:
            await trio.sleep(self._rng.choice((1.0, 3.0, 7.0)))
            await self._wait_for_store()
            for name, replica_zone in self._zones.items():
                if replica_zone == zone:
                    self._restart_cold_span(name)
        finally:
            span.end = trio.current_time()
            store.write("op", f"evacuate/{zone}", None)


def run_seed(seed: int, span_s: float, only_faults: tuple[str, ...] = ()) -> RunResult:
    """Run one seed with all faults, or only the named ones."""
    return EntryRun(seed, span_s, only_faults).run()
