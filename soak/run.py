"""Run the soak: routers as processes, clients, an operator, and faults for a while."""

import argparse
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from soak.faults import Faults
from soak.judge import CALM_S, Disturbance, Judge, Sent
from soak.proxy import LoopbackProxy
from standins.entryworld import Answer, EntryWorld, RouterProcess, exchange, free_port

HOST = "127.0.0.1"
PATHS = ("/chat/", "/once/", "/redeem/", "/check/")
CLIENT_LIMIT_S = 12.0
HEALED_S = CALM_S + 3.0
# So often a client uses any key that there ever was.
GONE_KEYS = 0.1


@dataclass
class Options:
    """How large a run is."""

    seed: int
    span_s: float = 20.0
    routers: int = 3
    replicas: int = 3
    clients: int = 6
    keep: str = ""
    program: tuple[str, ...] = ()
    # Names of the only faults to bring about, one soon after the other; empty for all.
    only: tuple[str, ...] = ()
    quick: bool = False


@dataclass
class Client:
    """A client that keeps its connections for as long as they last."""

    streams: dict[str, trio.SocketStream] = field(default_factory=dict)

    async def send(self, router: RouterProcess, target: str, fields, body: bytes) -> Answer:
        """Send a request on the open connection, or on a new one."""
        stream = self.streams.pop(router.name, None)
        method = "GET" if target.startswith("/check/") else "POST"
        answer = Answer()
        with trio.move_on_after(CLIENT_LIMIT_S):
            try:
                if stream is None:
                    stream = await trio.open_tcp_stream(HOST, router.callers)
                answer = await exchange(stream, method, target, fields, body)
            except (OSError, trio.BrokenResourceError):
                # The router is gone or has closed; that is an answer too.
                answer = Answer()
        if answer.whole and answer.fields.get("connection", "") != "close":
            self.streams[router.name] = stream
        elif stream is not None:
            stream.socket.close()
        return answer


class Soak:
    """One run of one seed."""

    def __init__(self, options: Options, world: EntryWorld):
        self._options = options
        self._world = world
        self._rng = Random(options.seed)
        self.judge = Judge()
        self._faults = Faults(world, self._rng, self.judge)
        self._number = 0
        self._keys = ["key-1"]
        self._loading = True

    async def run(self) -> None:
        """Run load and faults, then let all heal and judge."""
        await self._build()
        async with trio.open_nursery() as nursery:
            for _ in range(self._options.clients):
                nursery.start_soon(self._client)
            with trio.move_on_after(self._options.span_s):
                async with trio.open_nursery() as troubles:
                    troubles.start_soon(self._operate)
                    troubles.start_soon(self._bring_faults, nursery)
            await trio.sleep(HEALED_S)
            self._loading = False
        await self._check_healed()
        self.judge.judge_runs(list(self._world.replicas.values()))

    async def _build(self) -> None:
        """Start the store's doors, the replicas and the routers, all behind proxies."""
        world, options = self._world, self._options
        world.program = options.program
        world.write_plan()
        for number in range(options.replicas):
            for service in ("lm", "till"):
                name = f"{service}-{number}"
                await world.add_replica(name, service)
                proxy = LoopbackProxy(world.ports[name])
                proxy.port = await world.listen(f"proxy-{name}", proxy.serve)
                world.fronts[name] = proxy.port
                self._faults.replica_proxies[name] = proxy
                world.list_replica(name, service)
        for number in range(options.routers):
            await world.open_door()
            proxy = LoopbackProxy(world.doors[number][1])
            port = await world.listen(f"proxy-door-{number}", proxy.serve)
            world.doors[number] = (world.doors[number][0], port)
            self._faults.store_proxies.append(proxy)
            await world.start_router(f"n{number}", door=number, first_port=free_port())

    # Load.

    async def _client(self) -> None:
        """Send one request after the other."""
        client = Client()
        while self._loading:
            router = self._rng.choice(self._world.routers)
            await self._request(client, router)
            await trio.sleep(self._rng.uniform(0.0, 0.1))

    async def _request(self, client: Client, router: RouterProcess) -> None:
        """Send one request and judge its answer."""
        self._number += 1
        path = f"{self._rng.choice(PATHS)}{self._rng.randrange(20)}"
        keys = self._keys if self._rng.random() < GONE_KEYS else self._world.keys
        key = self._rng.choice(keys)
        sent = Sent(f"q{self._number}", path, key, router.name, trio.current_time())
        fields = {
            "host": "app.example",
            "x-attempt-id": sent.request,
            "x-api-key": key,
            "x-deadline-ms": "4000",
        }
        if path.startswith(("/chat/", "/once/")):
            fields["x-token-count"] = "100,50"
            fields["x-prefix-hash"] = f"aa:50,b{path[-1]}:40,c{self._number:x}:10"
        body = b"" if path.startswith("/check/") else b"work"
        sent.answer = await client.send(router, path, fields, body)
        sent.done_at = trio.current_time()
        self.judge.take(sent)

    # Changes and faults.

    async def _operate(self) -> None:
        """Change the configuration at random: keys come and go."""
        while True:
            await trio.sleep(self._rng.uniform(0.5, 3.0))
            if len(self._world.keys) > 1 and self._rng.random() < 0.5:
                gone = self._world.keys.pop(0)
                self._world.write_plan()
                self.judge.key_gone_at[gone] = trio.current_time()
            else:
                self._world.keys.append(f"key-{self._number}")
                self._world.write_plan()
                self._keys.append(self._world.keys[-1])
                self.judge.key_new_at[self._world.keys[-1]] = trio.current_time()

    async def _bring_faults(self, nursery: trio.Nursery) -> None:
        """Bring faults about, in series and overlapping, with calm spans between."""
        only = self._options.only
        kinds = [kind for kind in self._faults.kinds() if not only or kind.__name__ in only]
        if not kinds:
            return
        while True:
            for _ in range(self._rng.randint(1, 4)):
                nursery.start_soon(self._fault, self._rng.choice(kinds))
                await trio.sleep(self._rng.uniform(0.0, 2.0))
            pauses = (0.2,) if self._options.quick else (0.5, 2.0, 2 * CALM_S)
            await trio.sleep(self._rng.choice(pauses))

    async def _fault(self, kind) -> None:
        """Bring one fault about and note its span."""
        self.judge.counts[kind.__name__] += 1
        span = Disturbance(kind.__name__, trio.current_time())
        self.judge.disturbed.append(span)
        await kind()
        span.end = trio.current_time()

    async def _check_healed(self) -> None:
        """After the faults each router must run, be ready, and serve."""
        for router in self._world.routers:
            if router.process.poll() is not None:
                self.judge.broken.append(f"{router.name} ended with {router.process.poll()}")
            elif not await self._world.ready(router):
                self.judge.broken.append(f"{router.name} is not ready after the faults")
            else:
                await self._request(Client(), router)


def run_seed(options: Options) -> Judge:
    """Run one seed and return its judgement."""

    async def main() -> Judge:
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                world = EntryWorld(nursery, options.keep or folder)
                soak = Soak(options, world)
                try:
                    await soak.run()
                finally:
                    world.stop()
                nursery.cancel_scope.cancel()
                return soak.judge

    return trio.run(main)


def main() -> int:
    """Run seeds until one breaks a promise; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed (default: %(default)s)")
    parser.add_argument("--seeds", type=int, default=1, help="how many (default: %(default)s)")
    parser.add_argument("--span", type=float, default=20.0, help="seconds of faults a seed")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--clients", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=3, help="of each service")
    parser.add_argument("--keep", default="", help="folder to keep the routers' logs in")
    chosen = parser.parse_args()
    bad = 0
    for seed in range(chosen.seed, chosen.seed + chosen.seeds):
        keep = chosen.keep and str(Path(chosen.keep) / str(seed))
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
        options = Options(seed, chosen.span, chosen.routers, chosen.replicas, chosen.clients, keep)
        judge = run_seed(options)
        bad += bool(judge.broken)
        print(f"seed {seed}: {len(judge.sent)} requests, {dict(judge.counts)}", flush=True)
        for text in judge.broken[:20]:
            print(f"  BROKEN {text}", flush=True)
    print(f"{chosen.seeds - bad} passed, {bad} failed")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
