"""A request that crashes its replica each time is let through for ever, if the id stays."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import BROKEN, ENGINE, HELD, Head, Stage, call, run_case

HERE = Path(__file__).resolve().parent
STABLE_S = 3.0
MOST_LATER_RETRIES = 3
TRIES = 9
PAUSE_S = 5.5
SOUND_PER_S = 8
BAD_BODY = b'{"prompt":"the one that no replica survives"}'
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
    "cold_start_s": 3.0,
    "cold_per_s": 13.0,
    "runtime": {"slots": 64, "kv_capacity": 435790, "model_list": [{"name": "m"}]},
}


def prompt(session: str) -> dict[str, str]:
    """Return the header fields of a prompt of one session."""
    return {
        "X-Model-Id": "m",
        "X-Token-Count": "850,60",
        "X-Prefix-Hash": f"5c1e07a2:119,{session}:580,e4402b7d{session}:130",
    }


def is_bad(head: Head) -> bool:
    """Return whether a request is the one that crashes replicas."""
    return head.body == BAD_BODY


async def send_sound(stage: Stage) -> None:
    """Send sound requests of other sessions, at both routers."""
    number = 0
    while True:
        number += 1
        router = stage.routers[number % len(stage.routers)]
        body = b'{"prompt":"sound %d"}' % number
        fields = prompt(f"{number % 24:08x}")
        stage.spawn(
            call(stage, router, "POST", "/till/2f", body=body, deadline_ms=6000, fields=fields)
        )
        await asyncio.sleep(1 / SOUND_PER_S)


async def play(trouble: bool) -> int:
    """Send one request again and again, as its client does, and count where it was run."""
    async with Stage(HERE) as stage:
        for index in range(3):
            replica = await stage.add_replica(f"i-{index + 1:08x}", ENGINE, cold_s=3.0)
            replica.crashes_on = is_bad if trouble else None
        stage.write_config([ROUTE], [SERVICE])
        await stage.start_routers()
        stage.spawn(send_sound(stage))
        await asyncio.sleep(3)
        for attempt in range(TRIES):
            router = stage.routers[attempt % len(stage.routers)]
            await call(
                stage,
                router,
                "POST",
                "/till/2f",
                body=BAD_BODY,
                deadline_ms=4000,
                fields=prompt("000000ba"),
            )
            await asyncio.sleep(PAUSE_S)
        return judge(stage)


def judge(stage: Stage) -> int:
    """Count the retries that reached replicas later than allowed."""
    runs = sorted(
        (arrival.at, replica.name)
        for replica in stage.replicas
        for arrival in replica.arrivals
        if is_bad(arrival.head)
    )
    crashes = sorted(at for replica in stage.replicas for at in replica.crashes)
    third = crashes[2] if len(crashes) > 2 else None
    later = [run for run in runs if third is not None and run[0] > third + STABLE_S]
    stage.record.write(
        "judged",
        runs=len(runs),
        crashes=len(crashes),
        third_crash_at=third,
        later_retries=[f"{at:.2f} {name}" for at, name in later],
        allowed=MOST_LATER_RETRIES,
    )
    print(f"{len(runs)} runs, {len(crashes)} crashes, {len(later)} late retries")
    return BROKEN if len(later) > MOST_LATER_RETRIES else HELD


if __name__ == "__main__":
    run_case(play)
