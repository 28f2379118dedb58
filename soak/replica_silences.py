"""Silences of sound replicas: their whole process stands still for a second and goes on."""

import signal
from random import Random

import trio

from soak.stream_world import ReplicaProcess, StreamWorld
from standins.pause_lock import PauseLock
from standins.replica_conduct import SILENCE_S

# Between the begins of two silences of any replicas.
PAUSE_S = (0.5, 2.5)
# After a silence a replica has this long to send what is due, before a stream of it pauses.
RECOVERY_S = 0.5


class ReplicaSilences:
    """Let replicas that no fault ends stand still, one or a few at a time."""

    def __init__(self, world: StreamWorld, seed: int):
        self._world = world
        # Not shared with what faults draw, so that a seed gives the same faults with silences.
        self._rng = Random(f"{seed} silences")
        self.count = 0

    async def run(self) -> None:
        """Suspend one replica after the other, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(*PAUSE_S))
                nursery.start_soon(self._silence_one)

    async def _silence_one(self) -> None:
        """Suspend a replica for a second or so, one that is not silent and whose streams go on."""
        replicas = list(self._world.replica_processes.values())
        for replica in self._rng.sample(replicas, len(replicas)):
            lock = PauseLock(self._world.replica_log, replica.name)
            with lock.hold_for_suspension() as may_suspend:
                if may_suspend:
                    await self._suspend(replica)
                    await trio.sleep(RECOVERY_S)
                    return

    async def _suspend(self, replica: ReplicaProcess) -> None:
        """Suspend a replica's process for a second or so."""
        self.count += 1
        self._world.run_log.write("replica_silent", replica=replica.name)
        replica.process.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(self._rng.uniform(*SILENCE_S))
        finally:
            replica.process.send_signal(signal.SIGCONT)
            self._world.run_log.write("replica_goes_on", replica=replica.name)
