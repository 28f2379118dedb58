"""Play days of a site file: its routers, replicas and callers, and faults of its kinds."""

import argparse
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from soak.planned_work import add_silences, choose_conduct, is_planned
from soak.site_faults import NOT_PLAYED, SiteFaults, list_choices, list_played
from soak.site_file import Site, SiteError, SiteFault, read_site
from soak.stream_checker import NOT_RUN_STATUSES, SentCall
from soak.stream_load import DEADLINES_MS, EVENTS, StreamLoad
from soak.stream_world import FIRST_VERSION, ReplicaPath, StreamWorld, write_lines
from soak.streams import Options, Result, StreamSoak
from standins.replica_conduct import Conduct
from standins.stream_wire import Ending

# Each request has at least this part of its class's deadline.
LEAST_DEADLINE = 0.85
FAULTS_AT_ONCE = (1, 3)
FAULT_STEP_S = (0.0, 1.5)
FAULT_PAUSE_S = (1.0, 4.0)
FIRST_FAULT_S = (1.0, 3.0)
# Beside the faults, releases follow each other as planned work.
PLANNED_KIND = "release"
RELEASE_PAUSE_S = (1.0, 5.0)
# Routers reach these directly, but for the links of each router, which can be cut.
REPLICA_PATHS = (ReplicaPath.OWN, ReplicaPath.KEPT)


@dataclass(frozen=True)
class Outcome:
    """What became of the streams of a run."""

    streams: int
    whole: int
    resumed: int
    joined: int
    refused: int

    def describe(self) -> str:
        """Return the counts as text."""
        return ", ".join(f"{name} {count}" for name, count in vars(self).items())


def count_outcome(calls: list[SentCall]) -> Outcome:
    """Return what became of the streams; one is refused if its last try is and it is not whole."""
    streams = [call for call in calls if call.kind.is_stream]
    return Outcome(
        streams=len(streams),
        whole=sum(call.is_served() for call in streams),
        resumed=sum(len({event.run for event in list_events(call)}) > 1 for call in streams),
        joined=sum(len({event.software for event in list_events(call)}) > 1 for call in streams),
        refused=sum(is_refused(call) for call in streams),
    )


def list_events(call: SentCall) -> list:
    """Return all events that the caller received."""
    return [event for item in call.tries for event in item.events]


def is_refused(call: SentCall) -> bool:
    """Return whether the last try of a request that is not complete was refused."""
    return not call.is_served() and call.tries[-1].status in NOT_RUN_STATUSES


def make_load(site: Site) -> StreamLoad:
    """Return the load of a site's classes."""
    return StreamLoad(
        events={**EVENTS, **{item.kind: item.events for item in site.classes}},
        deadlines_ms={**DEADLINES_MS, **{item.kind: item.deadline_ms for item in site.classes}},
        weights={item.kind: item.weight for item in site.classes},
        least_deadline=LEAST_DEADLINE,
    )


class SiteSoak(StreamSoak):
    """One run of a site with one seed."""

    def __init__(self, options: Options, world: StreamWorld, site: Site):
        super().__init__(options, world)
        self._site = site
        self._faults = SiteFaults(world, self._rng, self._checker, site)

    async def _build(self) -> None:
        """Start the site's replicas and routers."""
        world, site = self._world, self._site
        world.replica_paths = REPLICA_PATHS
        world.timeouts_ms = {
            **DEADLINES_MS,
            **{item.kind: item.timeout_ms for item in site.classes},
        }
        world.unframed_cut = self._rng.choice(list(Ending))
        world.conduct = self._options.conduct
        self._set_grace()
        world.write_routes()
        for place in site.replicas:
            await self._faults.add_replica(place.service, place.zone, FIRST_VERSION)
        for zone in site.routers:
            await self._faults.add_router(zone)
        for router in world.routers:
            await world.wait_ready(router)

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        """Inject one to three faults close to each other, then pause; they may overlap."""
        choices = list_choices(self._site, self._options.only_faults)
        played = self._faults.played()
        # Not shared with what faults draw, so that a seed always gives the same series.
        rng = Random(f"{self._options.seed} faults")
        if PLANNED_KIND in choices:
            nursery.start_soon(self._release_in_turn, choices[PLANNED_KIND])
        await trio.sleep(rng.uniform(*FIRST_FAULT_S))
        while True:
            for _ in range(rng.randint(*FAULTS_AT_ONCE)):
                kind = rng.choice(list(choices))
                fault = rng.choice(choices[kind])
                self._checker.counts[kind] += 1
                self._world.run_log.write("fault", **vars(fault))
                nursery.start_soon(played[kind], fault)
                await trio.sleep(rng.uniform(*FAULT_STEP_S))
            await trio.sleep(rng.uniform(*FAULT_PAUSE_S))

    async def _release_in_turn(self, choices: list[SiteFault]) -> None:
        """Make releases as planned work beside the faults, one after the other."""
        rng = Random(f"{self._options.seed} releases")
        while not self._faults.ending:
            await trio.sleep(rng.uniform(*RELEASE_PAUSE_S))
            self._checker.counts[PLANNED_KIND] += 1
            await self._faults.play_release(rng.choice(choices))


def run_site(site: Site, options: Options) -> Result:
    """Run a site with one seed and return what it showed."""
    options.load = make_load(site)
    if is_planned(options.only_faults) and options.conduct is Conduct.FAULTY:
        options.conduct = Conduct.STEADY

    async def main(folder: str) -> Result:
        async with trio.open_nursery() as nursery:
            world = StreamWorld(nursery, folder, options.seed)
            try:
                result = await SiteSoak(options, world, site).run()
            finally:
                world.stop()
            nursery.cancel_scope.cancel()
        return result

    with tempfile.TemporaryDirectory() as folder:
        return trio.run(main, options.keep or folder)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(prog="soak.site", description=__doc__)
    parser.add_argument("site", nargs="?", type=Path, help="the site file")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", default="", help="the only kinds of faults, with commas")
    parser.add_argument("--span", type=float, default=30.0, help="seconds of faults")
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--keep", default="", help="folder to keep logs and records in")
    add_silences(parser)
    parser.add_argument("--list", action="store_true", help="list the kinds of faults")
    arguments = parser.parse_args()
    unknown = set(filter(None, arguments.kinds.split(","))) - set(list_played())
    if unknown:
        parser.error(f"kinds that are not played: {', '.join(sorted(unknown))}")
    if arguments.site is None and not arguments.list:
        parser.error("a site file is needed")
    return arguments


def print_kinds() -> None:
    """Print which kinds of faults are played and which are not."""
    print(f"played: {', '.join(list_played())}")
    print(f"not played: {', '.join(NOT_PLAYED)}")


def main() -> int:
    """Play one day and print what became of it; return 1 if a rule was broken, else 0."""
    arguments = parse_arguments()
    if arguments.list:
        print_kinds()
        return 0
    try:
        site = read_site(arguments.site)
    except SiteError as exc:
        print(f"{arguments.site}: {exc}", file=sys.stderr)
        return 2
    options = Options(arguments.seed, arguments.span, callers=arguments.callers)
    options.only_faults = tuple(filter(None, arguments.kinds.split(",")))
    options.conduct = choose_conduct(arguments, planned=is_planned(options.only_faults))
    if arguments.keep:
        # Logs of an earlier run would count as those of this one.
        Path(arguments.keep).mkdir(parents=True)
        options.keep = arguments.keep
    result = run_site(site, options)
    outcome = count_outcome(result.calls).describe()
    outcome += f"; {result.lost.describe()}; silences {result.silences}"
    print(f"{site.name} seed {options.seed}: {outcome}; faults {dict(result.faults)}")
    for text in result.violations:
        print(f"  BROKEN {text}")
    if options.keep:
        write_lines(Path(options.keep) / "broken.txt", result.violations)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
