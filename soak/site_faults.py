"""All faults of a site that are played: those of the store and the operator, and the rest."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import trio

from soak.site_file import Site, SiteFault
from soak.site_routers import RouterFaults
from standins.rows import LATE_S, STATUS_UNAVAILABLE, LateWrites, StoreEndpoint

METHOD_PREFIX = "play_"
STATUS_MANY = 429
# The store's usual time for an answer.
USUAL_MS = 4
AT_ONCE_S = (0.0, 0.0)
FEED_SILENCE_S = 1.0
CHANGES_IN_SILENCE = 4
# Kinds of the users' list that no fault here plays.
NOT_PLAYED = (
    "after_ack_kill",
    "big_config",
    "burst",
    "clock_step",
    "cold_return",
    "core_cut",
    "give_up",
    "hot_key",
    "hot_tenant",
    "one_way",
    "retry_abuse",
    "revoke",
    "shift",
    "srv_cut",
    "zone_loss",
)


@dataclass(frozen=True)
class StoreState:
    """The fields of an endpoint's faults that one way of being down sets."""

    status: int = 0
    silent: bool = False
    reset: bool = False


SOUND = StoreState()
DOWN_STATES = {
    "busy": StoreState(status=STATUS_UNAVAILABLE),
    "many": StoreState(status=STATUS_MANY),
    "reset": StoreState(reset=True),
    "silent": StoreState(silent=True),
}


class SiteFaults(RouterFaults):
    """Injects the faults that a site file names."""

    def played(self) -> dict[str, Callable[[SiteFault], Awaitable[None]]]:
        """Return the functions that play the kinds of faults, by kind."""
        return {kind: getattr(self, METHOD_PREFIX + kind) for kind in list_played()}

    def _list_endpoints(self, fault: SiteFault) -> list[StoreEndpoint]:
        """Return the endpoints of the store that a fault meets: of all routers, or of a part."""
        endpoints = [endpoint for endpoint, _ in self._world.store_endpoints]
        if "nodes" not in fault.how:
            return endpoints
        return self._rng.sample(endpoints, fault.choose_count(len(endpoints), 0.35))

    async def play_platform_down(self, fault: SiteFault) -> None:
        """Let the store be down for all routers, or for a part of them."""
        found = [state for how, state in DOWN_STATES.items() if how in fault.how]
        state, endpoints = (found or [DOWN_STATES["silent"]])[0], self._list_endpoints(fault)
        for endpoint in endpoints:
            vars(endpoint.faults).update(vars(state))
        await trio.sleep(fault.for_s)
        for endpoint in endpoints:
            vars(endpoint.faults).update(vars(SOUND))

    async def play_platform_slow(self, fault: SiteFault) -> None:
        """Let the store's answers take so many times as long."""
        endpoints = [endpoint for endpoint, _ in self._world.store_endpoints]
        for endpoint in endpoints:
            endpoint.faults.slow_ms = round(USUAL_MS * (fault.x or 50.0))
        await trio.sleep(fault.for_s)
        for endpoint in endpoints:
            endpoint.faults.slow_ms = 0

    async def play_platform_lost(self, fault: SiteFault) -> None:
        """Let a part of the writes of all routers be done, at once or late, and not answered."""
        delay_s = LATE_S if "late" in fault.how else AT_ONCE_S
        late_writes = LateWrites(Random(self._rng.random()), fault.x or 0.3, delay_s)
        endpoints = [endpoint for endpoint, _ in self._world.store_endpoints]
        for endpoint in endpoints:
            endpoint.faults.late_writes = late_writes
        await trio.sleep(fault.for_s)
        for endpoint in endpoints:
            endpoint.faults.late_writes = None

    async def play_platform_compact(self, fault: SiteFault) -> None:
        """Let the feed be silent while changes are made, then drop the history."""
        world = self._replica_world
        world.store.is_feed_silent = True
        async with trio.open_nursery() as nursery:
            if "drain" in fault.how:
                for replica in self._choose_replicas(SiteFault("", count=1), 0.0):
                    self._start_replacement(nursery, replica, replica.software)
            for _ in range(CHANGES_IN_SILENCE):
                await self.config_change()
                await trio.sleep(FEED_SILENCE_S / CHANGES_IN_SILENCE)
            world.store.compact()
            world.store.is_feed_silent = False
            world.store.notify()

    async def play_store_restored(self, fault: SiteFault) -> None:
        """Let the store come back from a copy some seconds old."""
        await self._store_losses.store_restored()

    async def play_config_change(self, fault: SiteFault) -> None:
        """Change the configuration in what must not change any answer."""
        await self.config_change()

    async def play_config_storm(self, fault: SiteFault) -> None:
        """Change the configuration many times."""
        for _ in range(fault.count or round(fault.for_s / fault.gap_s)):
            await self.config_change()
            await trio.sleep(fault.gap_s)

    async def play_evacuate(self, fault: SiteFault) -> None:
        """Take a zone out and put it back."""
        zone = fault.zone or self._rng.choice(self._site.zones)
        self._replica_world.write_evacuation(zone, active=True)
        await trio.sleep(fault.for_s)
        self._replica_world.write_evacuation(zone, active=False)


def list_played() -> list[str]:
    """Return the kinds of faults that are played."""
    names = [name for name in dir(SiteFaults) if name.startswith(METHOD_PREFIX)]
    return [name.removeprefix(METHOD_PREFIX) for name in names]


def list_choices(site: Site, kinds: tuple[str, ...]) -> dict[str, list[SiteFault]]:
    """Return the faults from which to draw, by kind; of a kind the site lacks its defaults."""
    found = {kind: [SiteFault(kind)] for kind in kinds or list_played()}
    for kind in found:
        found[kind] = [item for item in site.faults if item.kind == kind] or found[kind]
    return found
