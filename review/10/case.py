"""A whole stream that its connection ends is never complete for the caller."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import APP, BROKEN, ENGINE, HELD, Answer, Client, Router, Stage, run_case

HERE = Path(__file__).resolve().parent
CONFIG_APPLY_S = 2.0
ROUNDS = 3
STREAMS_EACH = 8
EVENTS = 6
COMMON = {"timeout_ms": 12000, "goal_ms": 400, "priority": 0, "max_attempts": 1}
ROUTES = [
    {
        **COMMON,
        "name": "till-summary",
        "prefix": "/till/",
        "route_type": "streaming",
        "service": ENGINE,
        "session_affinity": True,
        "stream_resume": False,
        "gap_target_ms": 300,
    },
    {
        **COMMON,
        "name": "wallet-check",
        "prefix": "/wallet/",
        "route_type": "idempotent",
        "service": APP,
        "session_affinity": False,
        "stream_resume": False,
    },
]
SERVICES = [
    {
        "name": ENGINE,
        "health_check": "/healthz",
        "max_connections": 370,
        "cold_start_s": 3.0,
        "cold_per_s": 13.0,
        "runtime": {"slots": 64, "kv_capacity": 435790, "model_list": [{"name": "m"}]},
    },
    {
        "name": APP,
        "health_check": "/healthz",
        "max_connections": 110,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    },
]


async def send(stage: Stage, router: Router, number: int) -> Answer:
    """Send a short request, and then a stream on the same connection."""
    client = Client(stage, router)
    try:
        await client.send("GET", "/wallet/2f", deadline_ms=1500)
        own = random.getrandbits(32)
        fields = {
            "X-Model-Id": "m",
            "X-Token-Count": "850,60",
            "X-Prefix-Hash": f"5c1e07a2:119,{number:08x}:580,{own:08x}:130",
        }
        body = b'{"till":%d}' % number
        return await client.send("POST", "/till/2f", body=body, deadline_ms=6000, fields=fields)
    finally:
        client.close()


async def play(trouble: bool) -> int:
    """Send streams just after a SIGHUP; their answers have neither a length nor chunks."""
    async with Stage(HERE) as stage:
        for index in range(3):
            await stage.add_replica(
                f"i-{index + 1:08x}", ENGINE, events=EVENTS, is_undelimited=trouble
            )
            await stage.add_replica(f"t-{index + 1:08x}", APP)
        stage.write_config(ROUTES, SERVICES)
        await stage.start_routers()
        # Of two routers one gets the signal.
        router = stage.routers[0]
        answers: list[Answer] = []
        for number in range(ROUNDS):
            hup_at = stage.record.now()
            if trouble:
                router.send_signal(signal.SIGHUP)
                stage.record.write("sighup", router=router.name)
            await asyncio.sleep(0.2)
            for item in range(STREAMS_EACH):
                answer = await send(stage, router, number * STREAMS_EACH + item)
                if answer.sent_at <= hup_at + CONFIG_APPLY_S:
                    answers.append(answer)
            await asyncio.sleep(4)
        return judge(stage, answers)


def judge(stage: Stage, answers: list[Answer]) -> int:
    """Count the streams that were passed on, and whose connection ended before their end.

    The deadline is 6 s and the route's time-out 12 s, so no stream has reached either.
    """
    run = {
        arrival.request for replica in stage.replicas for arrival in replica.arrivals if arrival.run
    }
    lost = [item for item in answers if item.request in run and not item.whole]
    last = b"id: %d\n" % EVENTS
    sent_whole = sum(last in b"".join(item.parts) for item in lost)
    stage.record.write(
        "judged", streams=len(answers), not_complete=len(lost), last_event_came_in=sent_whole
    )
    print(f"{len(answers)} streams just after a SIGHUP, {len(lost)} passed on and not complete")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run_case(play)
