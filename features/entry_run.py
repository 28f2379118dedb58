"""A random run of whole entry routers: load, an operator, faults, and the promises checked."""

import trio

from features.entry_checks import Checks
from features.entry_scene import (
    BOUNDS,
    CLIENT_LIMIT_S,
    CLIENTS,
    COLD_PER_S,
    COLD_S,
    ENGINE_PATHS,
    HEALED_S,
    LEAVING_PART,
    PACE_MS,
    PATHS,
    ROUTERS,
    SERVICES,
    Leaving,
    RunResult,
)
from features.entry_troubles import Troubles
from features.virtual_world import CALLER_HOST, CALLER_PORT, ZONES, VirtualRouter, VirtualWorld
from features.world import run_virtual
from soak.judge import Sent
from standins.entryworld import Answer, exchange


class EntryRun(Troubles, Checks):
    """One run of a seed for a span of virtual time."""

    def run(self) -> RunResult:
        """Run it in virtual time."""
        run_virtual(self.seed, self._main)
        self.result.counts += self._judge.counts
        return self.result

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
        with self.world.net.at(CALLER_HOST):
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

    # The operator and the replicas' own beats.

    async def _beat(self) -> None:
        """Let replicas tell that they are there."""
        while True:
            for name in list(self.world.replicas):
                if name not in self._busy and name not in self._draining:
                    self._list(name)
            await trio.sleep(1.2)

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


def run_seed(seed: int, span_s: float, only: tuple[str, ...] = ()) -> RunResult:
    """Run one seed."""
    return EntryRun(seed, span_s, only).run()
