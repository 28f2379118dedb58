"""Keys are taken away until no tenant holds one."""

import json
import tempfile
from collections import Counter
from pathlib import Path

import trio

from review.fleet import BROKEN, HELD, Fleet, Record, run_case, with_trouble
from standins.platform_world import ROUTE_DEFAULTS, ROUTES, SERVICES

FOLDER = Path(__file__).resolve().parent
# As in the site's trouble { kind = "revoke", count = 2, gap_s = 1.5 }.
REVOKE_GAP_S = 1.5
CONFIG_APPLY_MS = 2000
KEYS = {"w1": "key-of-w1", "w2": "key-of-w2"}
NEVER_HELD = "key-of-nobody"
GAP_S = 0.1


class Case:
    """One run of the case: the deployment, its clients, and the changes of its keys."""

    def __init__(self, fleet: Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.version = 0
        self.taken_away: dict[str, float] = {}
        self.answers: Counter[tuple[str, int]] = Counter()
        self.sent: dict[str, tuple[str, bool]] = {}

    async def run(self) -> int:
        """Play the day; return the exit code."""
        fleet = self.fleet
        await fleet.open_store_endpoint()
        held = dict(KEYS)
        self.write_configuration(held)
        replicas = [await fleet.add_replica(name, "till") for name in ("till-1", "till-2")]
        for number in (1, 2, 3):
            await fleet.start_router(f"edge-za-{number}")
        async with trio.open_nursery() as nursery:
            for router in fleet.routers:
                for key in (*KEYS.values(), NEVER_HELD):
                    nursery.start_soon(self.send, router, key)
            await trio.sleep(2)
            if with_trouble():
                for tenant, key in KEYS.items():
                    del held[tenant]
                    self.write_configuration(held)
                    self.taken_away[key] = trio.current_time()
                    await trio.sleep(REVOKE_GAP_S)
            await trio.sleep(6)
            nursery.cancel_scope.cancel()
        return self.judge(replicas)

    def write_configuration(self, held: dict[str, str]) -> None:
        """Write the next version; all tenants stay, with the keys that they still hold."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": [
                {**ROUTE_DEFAULTS, "name": prefix, "prefix": prefix, **fields}
                for prefix, fields in ROUTES.items()
            ],
            "services": SERVICES,
            "limits": {"idle_timeout_ms": 15000},
            "tenants": [
                {"name": tenant, "api_keys": [held[tenant]] if tenant in held else []}
                for tenant in KEYS
            ],
        }
        self.fleet.store.write("op", "config", json.dumps(value).encode())
        self.record.write(f"version {self.version} is acknowledged, tenants {value['tenants']}")

    async def send(self, router, key: str) -> None:
        """Send requests that may not be repeated with a key."""
        number = 0
        while True:
            number += 1
            name = f"{router.name}-{key}-{number}"
            taken_at = self.taken_away.get(key)
            late = taken_at is not None and (
                trio.current_time() > taken_at + CONFIG_APPLY_MS / 1000
            )
            self.sent[name] = (key, late)
            response = await self.fleet.call(router, "/redeem/1", request_id=name, key=key)
            self.answers[key, response.status] += 1
            self.record.write(f"client sent {name}, got {response.status}")
            await trio.sleep(GAP_S)

    def judge(self, replicas) -> int:
        """Return whether a request ran whose key no configuration held, or holds no more."""
        never, dropped = 0, 0
        for replica in replicas:
            for run in replica.runs:
                key, late = self.sent[run.request_id]
                tenant = run.headers.get("x-tenant")
                self.record.write(f"{replica.name} ran {run.request_id} for the tenant {tenant}")
                never += key == NEVER_HELD
                dropped += late
        self.record.write(
            f"answers {dict(self.answers)}; {never} requests ran with a key that no configuration "
            f"ever held, {dropped} with one that was taken away over {CONFIG_APPLY_MS} ms before"
        )
        return BROKEN if never or dropped else HELD


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
