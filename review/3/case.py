"""Another writer's entry in the list of servers has an address that cannot be read."""

import json
import tempfile
from collections import Counter
from pathlib import Path

import trio

from review.fleet import BROKEN, HELD, Fleet, Record, run_case, with_trouble

FOLDER = Path(__file__).resolve().parent
RUN_S, RESTART_S, GAP_S = 15, 0.5, 0.1
# "On a tenth of the machines in use (two at least) processes end by themselves three times".
MACHINES_AT_LEAST, ENDS_AT_LEAST = 2, 3
FOREIGN_ENTRY = {
    "service": "till",
    "address": "127.0.0.1:" + "8" * 5000,
    "zone": "za",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "version": "v1",
    "sequence": 1,
    "born": 1,
}


class Case:
    """One run of the case: the deployment, its clients, and the disruption."""

    def __init__(self, fleet: Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.ends: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()

    async def run(self) -> int:
        """Play the day; return the exit code."""
        fleet = self.fleet
        await fleet.open_store_endpoint()
        fleet.write_plan()
        for name in ("till-1", "till-2"):
            await fleet.add_replica(name, "till")
        for number in (1, 2, 3):
            await fleet.start_router(f"edge-za-{number}")
        async with trio.open_nursery() as nursery:
            for router in fleet.routers:
                nursery.start_soon(self.keep_running, router)
                nursery.start_soon(self.send, router)
            await trio.sleep(2)
            if with_trouble():
                fleet.store.write("servers", "i-other", json.dumps(FOREIGN_ENTRY).encode())
                self.record.write("another writer's entry i-other is in the list of servers")
            await trio.sleep(RUN_S)
            nursery.cancel_scope.cancel()
        self.record.write(f"ends by themselves: {dict(self.ends)}, answers: {dict(self.statuses)}")
        machines = sum(number >= ENDS_AT_LEAST for number in self.ends.values())
        return BROKEN if machines >= MACHINES_AT_LEAST else HELD

    async def keep_running(self, router) -> None:
        """Start a router again, as the platform does, a short time after it has ended by itself."""
        while True:
            code = router.process.poll()
            if code is not None:
                self.ends[router.name] += 1
                lines = [line for line in router.log.read_text().splitlines() if "Error: " in line]
                self.record.write(
                    f"{router.name} ended by itself, exit code {code}: {lines[-1].strip(' |')[:60]}"
                )
                await trio.sleep(RESTART_S)
                await self.fleet.restart_router(router)
            await trio.sleep(0.05)

    async def send(self, router) -> None:
        """Send requests to a router."""
        number = 0
        while True:
            number += 1
            name = f"{router.name}-{number}"
            try:
                response = await self.fleet.call(router, f"/check/{number}", request_id=name)
                status = response.status
            except OSError:
                status = 0
            self.statuses[status] += 1
            self.record.write(f"client got {name}: {status or 'no connection'}")
            await trio.sleep(GAP_S)


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, folder, record)
            try:
                code = await Case(fleet, record).run()
            finally:
                fleet.stop()
            nursery.cancel_scope.cancel()
    return code


if __name__ == "__main__":
    run_case(main)
