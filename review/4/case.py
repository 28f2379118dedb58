"""Replicas restart under their ids with new software while the store is down."""

import re
import tempfile
from itertools import count
from pathlib import Path

import trio

from review.fleet import BROKEN, HELD, Fleet, Record, run_case, with_trouble

FOLDER = Path(__file__).resolve().parent
STORE_DOWN_S = 8.0
REPLICA_DOWN_S = 2.0
HEARTBEAT_S = 1.2
ALLOWED_STREAMS = 2
SHORT_EVENTS, LONG_EVENTS = 1, 24
PACE_MS = 160


class Case:
    """One run of the case: the deployment, its clients, and the disruption."""

    def __init__(self, fleet: Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.numbers = count(1)
        self.stopping = False
        self.joined: list[str] = []
        self.streams = self.complete = 0
        self.born = dict.fromkeys(("lm-1", "lm-2", "lm-3", "lm-4"), 1)
        self.up = set(self.born)

    async def run(self) -> int:
        """Play the day; return the exit code."""
        fleet = self.fleet
        fleet.pace_ms = PACE_MS
        door = await fleet.open_store_endpoint()
        fleet.write_plan(timeout_ms=15000, goal_ms=1000)
        for name in self.born:
            await fleet.add_replica(name, "lm")
        routers = [await fleet.start_router(f"edge-za-{number}") for number in (1, 2)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.heartbeats, door, nursery.cancel_scope)
            async with trio.open_nursery() as clients:
                for router in routers:
                    clients.start_soon(self.send, clients, router, SHORT_EVENTS, 0.05)
                await trio.sleep(3)
                if with_trouble():
                    door.faults.silent = True
                    self.record.write("the store is down")
                clients.start_soon(self.restore, door, STORE_DOWN_S)
                await trio.sleep(0.2)
                await self.restart("lm-1")
                await trio.sleep(2.0)
                for router in routers:
                    clients.start_soon(self.send, clients, router, LONG_EVENTS, 0.06)
                await trio.sleep(3.2)
                await self.restart("lm-2")
                await trio.sleep(1)
                self.stopping = True
            nursery.cancel_scope.cancel()
        self.record.write(
            f"{self.streams} streams, {self.complete} complete, {len(self.joined)} hold events of "
            f"two versions (at most {ALLOWED_STREAMS} may)"
        )
        return BROKEN if len(self.joined) > ALLOWED_STREAMS else HELD

    async def restore(self, door, span_s: float) -> None:
        """Let the store answer again."""
        await trio.sleep(span_s)
        door.faults.silent = False
        self.record.write("the store answers")

    async def restart(self, name: str) -> None:
        """Crash a replica; it is back after some seconds, with its id and the newer software."""
        self.record.write(f"{name} crashes")
        self.up.discard(name)
        self.fleet.stop_replica(name)
        await trio.sleep(REPLICA_DOWN_S)
        replica = self.fleet.replicas[name]
        replica.software = "v2"
        self.born[name] += 1
        port = await self.fleet.listen(name, replica.serve, self.fleet.ports[name])
        assert port == self.fleet.ports[name]
        self.up.add(name)
        self.record.write(f"{name} is back with the software v2")

    async def heartbeats(self, door, scope) -> None:
        """Write the entries of the replicas that run, as long as the store takes them."""
        while True:
            if not door.faults.silent:
                for name in sorted(self.up):
                    replica = self.fleet.replicas[name]
                    self.fleet.register_replica(
                        name, "lm", version=replica.software, born=self.born[name]
                    )
            await trio.sleep(HEARTBEAT_S / 4)

    async def send(self, clients, router, events: int, gap_s: float) -> None:
        """Begin streams at a router, each of its own chat."""
        while not self.stopping:
            clients.start_soon(self.stream, router, next(self.numbers), events)
            await trio.sleep(gap_s)

    async def stream(self, router, number: int, events: int) -> None:
        """Read one stream, and note which versions made its events."""
        name = f"req{number:05d}"
        self.record.write(f"client sends {name} to {router.name}, {events} events")
        response = await self.fleet.call(
            router,
            f"/chat/{events}/{number}",
            request_id=name,
            deadline_ms=15000,
            headers={"x-prefix-hash": f"aa{number:06x}:500,bb{number:06x}:40,cc{number:06x}:10"},
        )
        made = re.findall(r"data: (\S+) (\S+) (\d+)", response.body.decode())
        versions = sorted({version for _, version, _ in made})
        self.streams += 1
        self.complete += response.complete
        line = f"client got {name}: {response.status}, {len(made)} events, versions {versions}"
        if len(versions) > 1:
            self.joined.append(name)
            line += f" JOINED {sorted({(one, other) for one, other, _ in made})}"
        self.record.write(line)


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, folder, record)
            try:
                code = await Case(fleet, record).run()
            finally:
                fleet.stop()
                record.write_logs(fleet, ("upstream_", "store_", "start"))
            nursery.cancel_scope.cancel()
    return code


if __name__ == "__main__":
    run_case(main)
