"""Run the soak: router processes under load, changes of configuration and random faults."""

import argparse
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from soak.checker import RECOVERY_S, Checker, FaultSpan, SentRequest
from soak.faults import Faults
from soak.proxy import LoopbackProxy
from standins.entry_world import EntryWorld, Response, RouterProcess, exchange

HOST = "127.0.0.1"
PATHS = ("/chat/", "/once/", "/redeem/", "/check/")
RESPONSE_TIMEOUT_S = 12.0
SETTLE_S = RECOVERY_S + 3.0
# Part of the requests with a key drawn from all keys so far, including removed ones.
ANY_KEY_RATIO = 0.1


@dataclass
class Options:
    """The size of a run."""

    seed: int
    duration_s: float = 20.0
    routers: int = 3
    replicas: int = 3
    callers: int = 6
    keep: str = ""
    program: tuple[str, ...] = ()
    # Names of the faults to inject; if empty, all of them.
    only_faults: tuple[str, ...] = ()
    short_pauses: bool = False


@dataclass
class Caller:
    """A caller that reuses its connections while the routers keep them open."""

    streams: dict[str, trio.SocketStream] = field(default_factory=dict)

    async def send(self, router: RouterProcess, target: str, headers, body: bytes) -> Response:
        """Send a request on an open connection, or on a new one, and return its response."""
        stream = self.streams.pop(router.name, None)
        method = "GET" if target.startswith("/check/") else "POST"
        response = Response()
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            try:
                if stream is None:
                    stream = await trio.open_tcp_stream(HOST, router.caller_port)
                response = await exchange(stream, method, target, headers, body)
            except (OSError, trio.BrokenResourceError):
                # The router has ended or closed the connection; the checker gets an empty response.
                response = Response()
        if response.complete and response.headers.get("connection", "") != "close":
            self.streams[router.name] = stream
        elif stream is not None:
            stream.socket.close()
        return response


class Soak:
    """One run of the soak with one seed."""

    def __init__(self, options: Options, world: EntryWorld):
        self._options = options
        self._world = world
        self._rng = Random(options.seed)
        self.checker = Checker()
        self._faults = Faults(world, self._rng, self.checker)
        self._request_count = 0
        self._all_keys = ["key-1"]
        self._loading = True

    async def run(self) -> None:
        """Run load and faults, then wait for recovery and check the result."""
        await self._build()
        async with trio.open_nursery() as nursery:
            for _ in range(self._options.callers):
                nursery.start_soon(self._run_caller)
            with trio.move_on_after(self._options.duration_s):
                async with trio.open_nursery() as changes:
                    changes.start_soon(self._change_keys)
                    changes.start_soon(self._inject_faults, nursery)
            await trio.sleep(SETTLE_S)
            self._loading = False
        await self._check_recovered()
        self.checker.check_runs(list(self._world.replicas.values()))

    async def _build(self) -> None:
        """Start the replicas, store endpoints and routers, with proxies between them."""
        world, options = self._world, self._options
        world.program = options.program
        world.write_plan()
        for number in range(options.replicas):
            for service in ("lm", "till"):
                name = f"{service}-{number}"
                await world.add_replica(name, service)
                proxy = LoopbackProxy(world.ports[name])
                proxy.port = await world.listen(f"proxy-{name}", proxy.serve)
                world.proxy_ports[name] = proxy.port
                self._faults.replica_proxies[name] = proxy
                world.register_replica(name, service)
        for number in range(options.routers):
            await world.open_store_endpoint()
            proxy = LoopbackProxy(world.store_endpoints[number][1])
            port = await world.listen(f"proxy-store-endpoint-{number}", proxy.serve)
            world.store_endpoints[number] = (world.store_endpoints[number][0], port)
            self._faults.store_proxies.append(proxy)
            await world.start_router(f"n{number}", store_endpoint_index=number)

    # Load.

    async def _run_caller(self) -> None:
        """Send requests one after another, each to a random router."""
        caller = Caller()
        while self._loading:
            router = self._rng.choice(self._world.routers)
            await self._send_request(caller, router)
            await trio.sleep(self._rng.uniform(0.0, 0.1))

    async def _send_request(self, caller: Caller, router: RouterProcess) -> None:
        """Send one request and check its response."""
        self._request_count += 1
        path = f"{self._rng.choice(PATHS)}{self._rng.randrange(20)}"
        keys = self._all_keys if self._rng.random() < ANY_KEY_RATIO else self._world.keys
        key = self._rng.choice(keys)
        sent = SentRequest(f"q{self._request_count}", path, key, router.name, trio.current_time())
        headers = {
            "host": "app.example",
            "x-attempt-id": sent.request_id,
            "x-api-key": key,
            "x-deadline-ms": "4000",
        }
        if path.startswith(("/chat/", "/once/")):
            headers["x-token-count"] = "100,50"
            headers["x-prefix-hash"] = f"aa:50,b{path[-1]}:40,c{self._request_count:x}:10"
        body = b"" if path.startswith("/check/") else b"work"
        sent.response = await caller.send(router, path, headers, body)
        sent.done_at = trio.current_time()
        self.checker.check_response(sent)

    # Changes and faults.

    async def _change_keys(self) -> None:
        """Add and remove API keys in the configuration at random times."""
        while True:
            await trio.sleep(self._rng.uniform(0.5, 3.0))
            if len(self._world.keys) > 1 and self._rng.random() < 0.5:
                removed_key = self._world.keys.pop(0)
                self._world.write_plan()
                self.checker.key_removed_at[removed_key] = trio.current_time()
            else:
                self._world.keys.append(f"key-{self._request_count}")
                self._world.write_plan()
                self._all_keys.append(self._world.keys[-1])
                self.checker.key_added_at[self._world.keys[-1]] = trio.current_time()

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        """Inject faults, one by one and overlapping, with pauses between."""
        kinds = self._faults.choose_kinds(self._options.only_faults)
        if not kinds:
            return
        while True:
            for _ in range(self._rng.randint(1, 4)):
                nursery.start_soon(self._inject_fault, self._rng.choice(kinds))
                await trio.sleep(self._rng.uniform(0.0, 2.0))
            pauses = (0.2,) if self._options.short_pauses else (0.5, 2.0, 2 * RECOVERY_S)
            await trio.sleep(self._rng.choice(pauses))

    async def _inject_fault(self, kind) -> None:
        """Inject one fault and record its span."""
        self.checker.counts[kind.__name__] += 1
        fault_span = FaultSpan(kind.__name__, trio.current_time())
        self.checker.fault_spans.append(fault_span)
        await kind()
        fault_span.end = trio.current_time()

    async def _check_recovered(self) -> None:
        """Check that each router runs, is ready and serves a request after the faults."""
        for router in self._world.routers:
            if router.process.poll() is not None:
                self.checker.violations.append(
                    f"{router.name} exited with code {router.process.poll()}"
                )
            elif not await self._world.is_ready(router):
                self.checker.violations.append(f"{router.name} is not ready after the faults")
            else:
                await self._send_request(Caller(), router)


def run_seed(options: Options) -> Checker:
    """Run one seed and return its checker."""

    async def main() -> Checker:
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                world = EntryWorld(nursery, options.keep or folder)
                soak = Soak(options, world)
                try:
                    await soak.run()
                finally:
                    world.stop()
                nursery.cancel_scope.cancel()
                return soak.checker

    return trio.run(main)


def main() -> int:
    """Run the seeds and print their violations; return 1 if there are any, else 0."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed (default: %(default)s)")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds (default: %(default)s)"
    )
    parser.add_argument("--span", type=float, default=20.0, help="seconds of faults per seed")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--clients", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=3, help="replicas of each service")
    parser.add_argument("--keep", default="", help="folder to keep the routers' logs in")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        keep = arguments.keep and str(Path(arguments.keep) / str(seed))
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
        options = Options(
            seed, arguments.span, arguments.routers, arguments.replicas, arguments.clients, keep
        )
        checker = run_seed(options)
        failed += bool(checker.violations)
        print(f"seed {seed}: {len(checker.requests)} requests, {dict(checker.counts)}", flush=True)
        for text in checker.violations[:20]:
            print(f"  BROKEN {text}", flush=True)
    print(f"{arguments.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
