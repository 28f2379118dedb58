"""Faults of a site's days that meet replicas: releases, crashes, scaling, failing and slow ones."""

import signal
import subprocess
from random import Random

import trio

from soak.checker import Checker
from soak.site_file import Site, SiteFault
from soak.stream_checker import PLAIN_SERVICE, STREAM_SERVICE
from soak.stream_faults import StreamFaults
from soak.stream_world import ReplicaProcess, StreamWorld

# The part of the leaving replicas that never report it.
ABRUPT_RATIO = 0.3
# Replicas serve on for up to this after they drained.
LINGER_S = 1.5
# The store removes the entry of a replica that is silent for so long.
ENTRY_EXPIRES_S = 3.6
# A release, or replicas that leave, spare this part of those that there were at first.
LEAST_RATIO = 0.5
PULSE_S = 0.3
SLOW_PERIOD_S = 0.1
SILENT_WAYS = {"hang", "mute", "slow", "busy"}


class ReplicaFaults(StreamFaults):
    """Injects the faults of replicas that a site file names."""

    def __init__(self, world: StreamWorld, rng: Random, checker: Checker, site: Site):
        super().__init__(world, rng, checker)
        self._site = site
        self._replica_count = 0

    async def add_replica(self, service: str, zone: str, software: str) -> None:
        """Start one more replica."""
        self._replica_count += 1
        number = self._replica_count
        self._replica_world.run_log.write(
            "replica_added", number=number, zone=zone, version=software
        )
        await self._replica_world.place_replica(number, service, zone, self._rng, software)

    def _choose_replicas(
        self, fault: SiteFault, default_share: float, service: str = STREAM_SERVICE
    ) -> list[ReplicaProcess]:
        """Return the replicas of a service that a fault meets."""
        free = [item for item in self.list_free_replicas() if item.service == service]
        return self._rng.sample(free, fault.choose_count(len(free), default_share))

    async def play_release(self, fault: SiteFault) -> None:
        """Replace a part of the replicas by ones of a new version, each new one first."""
        self.release_count += 1
        software = f"v{self.release_count}"
        chosen, at_once = self._choose_replicas(fault, 0.5), round(fault.x or 1)
        async with trio.open_nursery() as nursery:
            for number, replica in enumerate(chosen):
                if number and number % at_once == 0:
                    await trio.sleep(fault.gap_s)
                if self.ending:
                    return
                if replica.name not in self._busy:
                    self._start_replacement(nursery, replica, software)

    def _start_replacement(
        self, nursery: trio.Nursery, replica: ReplicaProcess, software: str
    ) -> None:
        """Begin to replace a replica, which no other fault meets from now on."""
        self._busy.add(replica.name)
        nursery.start_soon(self._replace_by_new, replica, software)

    async def _replace_by_new(self, replica: ReplicaProcess, software: str) -> None:
        """Start a replica of another version, then let the old one leave."""
        await self.add_replica(replica.service, replica.zone, software)
        await self._retire(replica)

    async def _retire(self, replica: ReplicaProcess) -> None:
        """Let a replica drain and leave; some never report that they drain."""
        world = self._replica_world
        abrupt = self._rng.random() < ABRUPT_RATIO
        world.run_log.write("replica_leaves", replica=replica.name, abrupt=abrupt)
        if abrupt:
            world.remove_entry(replica)
        else:
            world.write_entry(replica, state="draining")
        await trio.sleep(self._site.drain_s + self._rng.uniform(0.0, LINGER_S))
        if not abrupt:
            world.remove_entry(replica)
        replica.process.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(replica.process.wait)
        world.forget_replica(replica)

    async def play_scale_out(self, fault: SiteFault) -> None:
        """Start more replicas of the newest version."""
        streams = [place for place in self._site.replicas if place.service == STREAM_SERVICE]
        count = fault.choose_count(len(streams), 0.3)
        running = self._count_streams()
        for place in self._rng.sample(streams, count)[: 2 * len(streams) - running]:
            await self.add_replica(place.service, place.zone, f"v{self.release_count}")
            await trio.sleep(fault.gap_s / count)

    async def play_scale_in(self, fault: SiteFault) -> None:
        """Let a part of the replicas drain and leave."""
        least = LEAST_RATIO * sum(item.service == STREAM_SERVICE for item in self._site.replicas)
        spared = max(0, self._count_streams() - round(least))
        async with trio.open_nursery() as nursery:
            for replica in self._choose_replicas(fault, 0.15)[:spared]:
                self._busy.add(replica.name)
                nursery.start_soon(self._retire, replica)

    def _count_streams(self) -> int:
        """Return the number of replicas of streams."""
        replicas = self._replica_world.replica_processes.values()
        return sum(item.service == STREAM_SERVICE for item in replicas)

    async def play_srv_crash(self, fault: SiteFault) -> None:
        """Kill replicas, or silence them first, and start them again later under their ids."""
        async with trio.open_nursery() as nursery:
            for replica in self._choose_replicas(fault, 0.15):
                self._busy.add(replica.name)
                nursery.start_soon(self._crash, replica, fault)

    async def _crash(self, replica: ReplicaProcess, fault: SiteFault) -> None:
        """Let one replica be down for a while; its entry expires meanwhile."""
        is_dark = "dark" in fault.how
        replica.process.send_signal(signal.SIGSTOP if is_dark else signal.SIGKILL)
        await trio.sleep(min(fault.for_s, ENTRY_EXPIRES_S))
        if fault.for_s > ENTRY_EXPIRES_S:
            self._replica_world.remove_entry(replica)
            await trio.sleep(fault.for_s - ENTRY_EXPIRES_S)
        await self.restart(replica, replica.software, signal.SIGKILL)

    async def play_srv_grey(self, fault: SiteFault) -> None:
        """Let replicas break off, or hang, now and then."""
        chosen = self._choose_replicas(fault, 0.15)
        is_silent = bool(SILENT_WAYS & set(fault.how))
        for _ in range(round(fault.for_s / PULSE_S)):
            met = [item for item in chosen if self._rng.random() < (fault.x or 0.4)]
            if is_silent:
                await self._suspend(met, PULSE_S)
            else:
                self._break_connections(met, signal.SIGUSR1)
                await trio.sleep(PULSE_S)

    async def _suspend(self, replicas: list[ReplicaProcess], span_s: float) -> None:
        """Suspend replicas for a moment."""
        free = [item for item in replicas if item.name not in self._busy]
        for replica in free:
            self._busy.add(replica.name)
            replica.process.send_signal(signal.SIGSTOP)
        await trio.sleep(span_s)
        for replica in free:
            replica.process.send_signal(signal.SIGCONT)
            self._busy.discard(replica.name)

    def _break_connections(self, replicas: list[ReplicaProcess], number: signal.Signals) -> None:
        """Let replicas end all their connections."""
        for replica in replicas:
            if replica.name not in self._busy:
                replica.process.send_signal(number)

    async def play_srv_slow(self, fault: SiteFault) -> None:
        """Let replicas run so many times slower."""
        chosen = self._choose_replicas(fault, 0.15)
        self._busy.update(item.name for item in chosen)
        await slow_down([item.process for item in chosen], fault.x or 4.0, fault.for_s)
        self._busy.difference_update(item.name for item in chosen)

    async def play_answer_lost(self, fault: SiteFault) -> None:
        """Let replicas reset their connections a few times, so that answers are lost."""
        await self._break_in_pulses(fault, 0.5, (signal.SIGUSR1,))

    async def play_garble(self, fault: SiteFault) -> None:
        """Let replicas of both services break off answers, reset or in order, a few times.

        The stand-ins leave out lengths, answer early and send extra answers all the while.
        """
        await self._break_in_pulses(fault, 0.5, (signal.SIGUSR1, signal.SIGUSR2))

    async def _break_in_pulses(
        self, fault: SiteFault, share: float, numbers: tuple[signal.Signals, ...]
    ) -> None:
        """Let one of the replicas that a fault meets break off now and then."""
        chosen = self._choose_replicas(fault, share)
        chosen += self._choose_replicas(fault, share, PLAIN_SERVICE)
        if not chosen:
            return
        for _ in range(round(fault.for_s)):
            self._break_connections([self._rng.choice(chosen)], self._rng.choice(numbers))
            await trio.sleep(1.0)

    async def play_replace_with_reuse(self, fault: SiteFault) -> None:
        """Crash replicas of both services, and start each at the address of another service."""
        total = sum(item.service == PLAIN_SERVICE for item in self._site.replicas)
        for _ in range(fault.choose_count(total, 0.15)):
            await self.replica_addresses_swap()


async def slow_down(processes: list[subprocess.Popen], factor: float, span_s: float) -> None:
    """Let processes run so many times slower, by suspending them most of the time."""
    try:
        for _ in range(round(span_s / SLOW_PERIOD_S)):
            send_all(processes, signal.SIGSTOP)
            await trio.sleep(SLOW_PERIOD_S * (1 - 1 / factor))
            send_all(processes, signal.SIGCONT)
            await trio.sleep(SLOW_PERIOD_S / factor)
    finally:
        send_all(processes, signal.SIGCONT)


def send_all(processes: list[subprocess.Popen], number: signal.Signals) -> None:
    """Send a signal to all processes that run."""
    for process in processes:
        process.send_signal(number)
