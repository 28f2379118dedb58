"""The faults of the soak of streams that change a router's build or its clock."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from soak.builds import Build
from soak.checker import Checker
from soak.faults import Faults
from soak.stream_records import ROUTER_STOP
from soak.stream_world import StreamWorld
from standins.entry_world import RouterProcess

ROUTER_REPLACEMENT_PAUSE_S = (0.1, 1.0)
MAX_CLOCK_STEPS = 3
CLOCK_STEP_PAUSE_S = (0.05, 1.0)


class RouterFaults(Faults):
    """Injects faults of routers that need a world with builds or clocks."""

    def __init__(self, world: StreamWorld, rng: Random, checker: Checker):
        super().__init__(world, rng, checker)
        self._stream_world = world
        # Set when no fault follows; a series in progress then stops.
        self.ending = False

    def note_stop(self, router: RouterProcess) -> None:
        """Note that a router is about to get SIGTERM, for the judge of LOST too."""
        super().note_stop(router)
        self._stream_world.run_log.write(ROUTER_STOP, node=router.name)

    def router_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that inject one such fault each, as the world has what they need."""
        builds = [self.routers_replaced, self.routers_replaced_both_ways]
        return [
            *(builds if self._stream_world.builds else []),
            *([self.router_clock_steps] if self._stream_world.clocks else []),
        ]

    async def routers_replaced(self) -> None:
        """Replace the routers in turn by ones of the old build, or of the new one."""
        await self._replace_routers(self._rng.choice(list(Build)))

    async def routers_replaced_both_ways(self) -> None:
        """Replace the routers in turn by ones of one build, and then by ones of the other."""
        for build in self._rng.sample(list(Build), len(Build)):
            await self._replace_routers(build)

    async def _replace_routers(self, build: Build) -> None:
        """Replace the routers in turn by ones of a build."""
        for router in list(self._world.routers):
            if self.ending:
                return
            if router.name not in self._busy:
                self._stream_world.builds.name_next(router.name, build)
                await self._stop_router(router)
                await trio.sleep(self._rng.uniform(*ROUTER_REPLACEMENT_PAUSE_S))

    async def router_clock_steps(self) -> None:
        """Step the time of day of one router, or of all, a few times."""
        names = [router.name for router in self._world.routers]
        chosen = names if self._rng.random() < 0.5 else [self._rng.choice(names)]
        for _ in range(self._rng.randint(1, MAX_CLOCK_STEPS)):
            for name in chosen:
                self._stream_world.clocks.step(name, self._rng)
            await trio.sleep(self._rng.uniform(*CLOCK_STEP_PAUSE_S))
