"""A replica that becomes cold again gets requests at the full rate."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import BROKEN, ENGINE, HELD, Stage, call, run_case

HERE = Path(__file__).resolve().parent
COLD_PER_S = 13.0
MOST_IN_A_SECOND = int(COLD_PER_S * 1.5 + 5)
REPLICAS = 3
REQUESTS_PER_S = 120
# Of the bench's doses, an outage of the store lasts 9 s at most.
STORE_AWAY = os.environ.get("STORE", "away") == "away"
AWAY_S = 8.0
COLD_S = 3.0
ROUTE = {
    "name": "till-summary",
    "prefix": "/till/",
    "route_type": "streaming",
    "timeout_ms": 12000,
    "goal_ms": 400,
    "priority": 0,
    "service": ENGINE,
    "max_attempts": 1,
    "session_affinity": True,
    "stream_resume": False,
    "gap_target_ms": 300,
}
SERVICE = {
    "name": ENGINE,
    "health_check": "/healthz",
    "max_connections": 370,
    "cold_start_s": COLD_S,
    "cold_per_s": COLD_PER_S,
    "runtime": {"slots": 64, "kv_capacity": 435790, "model_list": [{"name": "m"}]},
}


async def send(stage: Stage) -> None:
    """Send one short stream at any router."""
    session, own = random.randrange(90), random.getrandbits(32)
    fields = {
        "X-Model-Id": "m",
        "X-Token-Count": "850,60",
        "X-Prefix-Hash": f"5c1e07a2:119,{session:08x}:580,{own:08x}:130",
    }
    body = b'{"till":"%016x"}' % random.getrandbits(64)
    router = random.choice(stage.routers)
    await call(stage, router, "POST", "/till/2f", body=body, deadline_ms=4000, fields=fields)


async def send_all(stage: Stage) -> None:
    """Send streams at the usual rate."""
    while True:
        stage.spawn(send(stage))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def play(trouble: bool) -> int:
    """Let one replica become cold again, without a restart, while the store is away."""
    async with Stage(HERE) as stage:
        for index in range(REPLICAS):
            await stage.add_replica(f"i-{index + 1:08x}", ENGINE, cold_s=COLD_S, pace_s=0.005)
        stage.write_config([ROUTE], [SERVICE])
        await stage.start_routers()
        stage.spawn(send_all(stage))
        await asyncio.sleep(5)
        spans = []
        if trouble:
            stage.store.is_away = STORE_AWAY
            stage.record.write("store", away=STORE_AWAY)
            await asyncio.sleep(2)
            for replica in stage.replicas[:1]:
                replica.become_cold()
                replica.write_entry()
                begun = stage.record.now()
                spans.append((replica, begun, begun + COLD_S))
            await asyncio.sleep(AWAY_S - 2)
            stage.store.is_away = False
            stage.record.write("store", away=False)
        await asyncio.sleep(4)
        return judge(stage, spans)


def judge(stage: Stage, spans: list) -> int:
    """Return whether a cold replica got too many requests in some second."""
    worst = 0
    for replica, begun, ended in spans:
        times = [item.at for item in replica.arrivals if begun <= item.at <= ended]
        most = max((sum(start <= at < start + 1 for at in times) for start in times), default=0)
        worst = max(worst, most)
        by_part = [
            sum(begun + part / 2 <= at < begun + part / 2 + 0.5 for at in times)
            for part in range(int(COLD_S * 2))
        ]
        stage.record.write(
            "judged", replica=replica.name, most=most, allowed=MOST_IN_A_SECOND, halves=by_part
        )
    print(f"{worst} requests in one second at a cold replica, {MOST_IN_A_SECOND} allowed")
    return BROKEN if worst > MOST_IN_A_SECOND else HELD


if __name__ == "__main__":
    run_case(play)
