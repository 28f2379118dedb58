"""A part that crashes replicas is not found as long as the same part follows it a few times."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import BROKEN, ENGINE, HELD, Head, Stage, call, run_case

HERE = Path(__file__).resolve().parent
STABLE_S = 3.0
MOST_LATER_REQUESTS = 3
CRASHES_THAT_COUNT = 5
REPLICAS = 6
LEDGERS = 4
QUESTIONS_EACH = 2
PAUSE_S = 4.5
SOUND_PER_S = 8
BAD_PART, SOUND_PART = "0badf00d", "5c1e07a2"
ROUTE = {
    "name": "month-end-recon",
    "prefix": "/recon/",
    "route_type": "streaming",
    "timeout_ms": 15000,
    "goal_ms": 1000,
    "priority": 1,
    "service": ENGINE,
    "max_attempts": 2,
    "session_affinity": True,
    "stream_resume": True,
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


def prompt(instructions: str, ledger: int) -> dict[str, str]:
    """Return the fields of a prompt: shared instructions, a long ledger, and a question."""
    own = random.getrandbits(32)
    return {
        "X-Model-Id": "m",
        "X-Token-Count": "11812,64",
        "X-Prefix-Hash": f"{instructions}:512,{ledger:08x}:10000,{own:08x}:1300",
    }


def is_bad(head: Head) -> bool:
    """Return whether a prompt has the part that crashes replicas."""
    return f"{BAD_PART}:" in head.fields.get("x-prefix-hash", "")


async def send(stage: Stage, instructions: str, ledger: int) -> int:
    """Send one question about a ledger at any router; return the status of the answer."""
    router = random.choice(stage.routers)
    body = b'{"question":"%016x"}' % random.getrandbits(64)
    fields = prompt(instructions, ledger)
    answer = await call(
        stage, router, "POST", "/recon/2f", body=body, deadline_ms=4000, fields=fields
    )
    return answer.status


async def send_sound(stage: Stage) -> None:
    """Send sound requests with other instructions."""
    while True:
        stage.spawn(send(stage, SOUND_PART, random.randrange(1000, 1400)))
        await asyncio.sleep(1 / SOUND_PER_S)


async def play(trouble: bool) -> int:
    """Ask about one ledger after the other: once in a sound way, twice with the bad part."""
    async with Stage(HERE) as stage:
        for index in range(REPLICAS):
            replica = await stage.add_replica(
                f"i-{index + 1:08x}", ENGINE, cold_s=3.0, has_new_ids=True
            )
            replica.crashes_on = is_bad if trouble else None
        stage.write_config([ROUTE], [SERVICE])
        await stage.start_routers()
        stage.spawn(send_sound(stage))
        await asyncio.sleep(3)
        for ledger in range(LEDGERS):
            await send(stage, SOUND_PART, ledger)
            await asyncio.sleep(PAUSE_S)
            for question in range(QUESTIONS_EACH):
                stage.record.write("question", ledger=ledger, number=question + 1)
                await send(stage, BAD_PART, ledger)
                await asyncio.sleep(PAUSE_S)
            status = await send(stage, SOUND_PART, ledger)
            stage.record.write("sound_question", ledger=ledger, status=status)
        return judge(stage)


def judge(stage: Stage) -> int:
    """Count the requests with the part that reached replicas later than allowed."""
    runs = sorted(
        (arrival.at, replica.name)
        for replica in stage.replicas
        for arrival in replica.arrivals
        if is_bad(arrival.head)
    )
    crashes = sorted(at for replica in stage.replicas for at in replica.crashes)
    fifth = crashes[CRASHES_THAT_COUNT - 1] if len(crashes) >= CRASHES_THAT_COUNT else None
    later = [run for run in runs if fifth is not None and run[0] > fifth + STABLE_S]
    stage.record.write(
        "judged",
        reached=len(runs),
        crashes=len(crashes),
        fifth_crash_at=fifth,
        reached_later=[f"{at:.2f} {name}" for at, name in later],
        allowed=MOST_LATER_REQUESTS,
    )
    print(f"{len(runs)} reached replicas, {len(crashes)} crashes, {len(later)} reached too late")
    return BROKEN if len(later) > MOST_LATER_REQUESTS else HELD


if __name__ == "__main__":
    run_case(play)
