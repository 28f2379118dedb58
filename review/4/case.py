"""All routers are killed at the same moment, while two versions of a service serve."""

import re
import tempfile
from pathlib import Path

import trio

from review.fleet import BROKEN, HELD, Fleet, Record, resume_options, run_case, with_trouble

FOLDER = Path(__file__).resolve().parent
TIMEOUT_MS, DEADLINE_MS = 8000, 15000
STREAMS, EVENTS, GAP_S = 48, 88, 0.06
# As on day scale-2 of the site: share = 0.46, x = 1.0, gap_s = 0.72.
OLD, REPLACED, RELEASE_GAP_S = 7, 3, 0.72
RESTART_S = 0.5
TRIES, RETRY_S = 5, 0.4
ALLOWED_STREAMS = 2


class Case:
    """One run of the case: the deployment, its clients, and the disruption."""

    def __init__(self, fleet: Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.joined: list[str] = []
        self.complete = self.resumed = 0

    async def run(self) -> int:
        """Play the day; return the exit code."""
        fleet = self.fleet
        await fleet.open_store_endpoint()
        fleet.write_plan(timeout_ms=TIMEOUT_MS, goal_ms=1000)
        for number in range(OLD):
            await fleet.add_replica(f"old-{number}", "lm")
        for number in (1, 2, 3):
            await fleet.start_router(f"edge-za-{number}")
        await trio.sleep(2)
        async with trio.open_nursery() as clients:
            for number in range(STREAMS):
                clients.start_soon(self.stream, number)
                await trio.sleep(GAP_S)
            for number in range(REPLACED):
                await self.replace(number)
                await trio.sleep(RELEASE_GAP_S)
            await trio.sleep(1.5)
            if with_trouble():
                await self.kill_all()
        self.record.write(
            f"{STREAMS} streams, {self.resumed} resumed, {self.complete} complete, "
            f"{len(self.joined)} hold events of two versions (at most {ALLOWED_STREAMS} may)"
        )
        return BROKEN if len(self.joined) > ALLOWED_STREAMS else HELD

    async def replace(self, number: int) -> None:
        """Start a replica of the newer version; an old one drains, and serves on for a while."""
        replica = self.fleet.make_replica(f"new-{number}")
        replica.software = "v2"
        name = replica.name
        self.fleet.replicas[name], self.fleet.services[name] = replica, "lm"
        self.fleet.ports[name] = await self.fleet.listen(name, replica.serve)
        self.fleet.register_replica(name, "lm", version="v2")
        self.fleet.register_replica(f"old-{number}", "lm", state="draining")
        self.record.write(f"{name} is added with the software v2, old-{number} is draining")

    async def kill_all(self) -> None:
        """Kill all routers at the same moment; the platform starts them again soon after."""
        self.record.write("all routers are killed")
        for router in self.fleet.routers:
            router.process.kill()
        await trio.sleep(RESTART_S)
        for router in self.fleet.routers:
            await self.fleet.restart_router(router)
        self.record.write("all routers are started again")

    async def stream(self, number: int) -> None:
        """Read one stream; take it up again at another router after a broken connection."""
        first_try, made = f"req{number:03d}-1", []
        started = trio.current_time()
        for attempt in range(1, TRIES + 1):
            router = self.fleet.routers[(number + attempt) % len(self.fleet.routers)]
            name = f"req{number:03d}-{attempt}"
            options = resume_options(first_try, made, DEADLINE_MS, started)
            last = made[-1][2] if made else 0
            self.record.write(f"client sends {name} to {router.name} after event {last}")
            self.resumed += bool(made)
            try:
                response = await self.fleet.call(
                    router, f"/chat/{EVENTS}/{number}", request_id=name, **options
                )
            except OSError:
                self.record.write(f"client got {name}: no connection")
                await trio.sleep(RETRY_S)
                continue
            found = re.findall(r"data: (\S+) (\S+) (\d+)\n", response.body.decode())
            if not made:
                first_try = name
            made += found
            self.record.write(
                f"client got {name}: {response.status}, {len(found)} events, "
                f"complete {response.complete}"
            )
            if response.complete and response.status == 200:
                self.complete += 1
                break
            await trio.sleep(RETRY_S)
        versions = sorted({version for _, version, _ in made})
        if len(versions) > 1:
            self.joined.append(first_try)
            self.record.write(f"JOINED {first_try}: {sorted({pair[:2] for pair in made})}")


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
