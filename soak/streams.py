"""Run the soak of streams: real routers and replicas, and a check of all tries of each request."""

import argparse
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from soak.believed_ends import Proof, find_believed, mark_believed
from soak.builds import BuildMix, extract_build
from soak.checker import Checker
from soak.lost_answers import (
    Bounds,
    LostJudge,
    LostSummary,
    describe_lost,
    parse_reports,
    parse_stops,
)
from soak.peer_cuts import PeerCuts
from soak.planned_work import add_arguments, choose_conduct, choose_faults
from soak.proxy import LoopbackProxy
from soak.replica_silences import ReplicaSilences
from soak.router_clocks import RouterClocks
from soak.router_limits import MemoryWatch, RouterLimits
from soak.stream_callers import Caller
from soak.stream_checker import Kind, ReplicaRun, SentCall, StreamChecker, parse_runs
from soak.stream_decisions import check_decisions, parse_decisions
from soak.stream_faults import QUICK_RELEASES, SLOW_RELEASES, ReleasePace, StreamFaults
from soak.stream_habits import HEAVY_MIX, ODD_MIX, PROMPT_MIX, REPEAT_MIXES, LoadMix
from soak.stream_load import LOADS, SHORT, StreamLoad
from soak.stream_world import REPLICAS_PER_PLAIN, ZONES, ReplicaPath, StreamWorld, write_lines
from soak.take_ups import TakeUpCounts
from standins.replica_conduct import Conduct
from standins.stream_replica import Framing
from standins.stream_wire import Ending

MS_PER_SECOND = 1000
GRACE_CHOICES_S = (3, 8)
SERIES_STEP_S = (0.0, 0.8)
# The load goes on for this long after the faults.
SETTLE_S = 2.0
# One router of so many has ways to replicas that no fault cuts.
ROUTERS_PER_UNCUT = 3
# With quick releases, one replica of so many serves single answers.
REPLICAS_PER_PLAIN_IN_LARGE = 9


@dataclass(frozen=True)
class FaultSeries:
    """How many faults follow each other closely, and the pause after them."""

    length: tuple[int, int] = (2, 5)
    pause_s: tuple[float, float] = (0.2, 2.0)


CLOSE_FAULTS = FaultSeries()
SPARSE_FAULTS = FaultSeries(pause_s=(2.0, 6.0))
SINGLE_FAULTS = FaultSeries(length=(1, 1), pause_s=(3.0, 5.0))
SERIES = {"close": CLOSE_FAULTS, "sparse": SPARSE_FAULTS, "single": SINGLE_FAULTS}


@dataclass
class Options:
    """The size of a run."""

    seed: int
    span_s: float = 20.0
    routers: int = 6
    replicas: int = 9
    callers: int = 24
    keep: str = ""
    # Python arguments that start a router; if empty, the platform's daemon is started.
    program: tuple[str, ...] = ()
    framings: tuple[Framing, ...] = tuple(Framing)
    paths: tuple[ReplicaPath, ...] = tuple(ReplicaPath)
    # How replicas that live on break off between events of an answer that its connection ends; if
    # `None`, the seed determines it.
    unframed_cut: Ending | None = None
    mix: LoadMix = LoadMix()
    load: StreamLoad = SHORT
    series: FaultSeries = CLOSE_FAULTS
    release_pace: ReleasePace = SLOW_RELEASES
    replicas_per_plain: int = REPLICAS_PER_PLAIN
    # Names of the faults to inject; if empty, all of them.
    only_faults: tuple[str, ...] = ()
    # The commit of the old build of half of the routers; without it, all are of this tree.
    old_build: str = ""
    limits: RouterLimits = RouterLimits()
    # Whether faults step the routers' time of day.
    steps_clocks: bool = False
    # With sound replicas, faults are to be planned work alone, and no answer may be cut off.
    conduct: Conduct = Conduct.FAULTY


@dataclass
class Result:
    """What one run showed."""

    calls: list[SentCall]
    faults: Counter[str]
    unframed_cut: Ending
    violations: list[str] = field(default_factory=list)
    # The routers started of each build, if there are two.
    starts: Counter[str] = field(default_factory=Counter)
    # The most memory that a router was seen to use.
    peak_mb: float = 0.0
    lost: LostSummary = field(default_factory=LostSummary)
    # How often a sound replica's process was silent.
    silences: int = 0
    take_ups: TakeUpCounts = field(default_factory=TakeUpCounts)
    # How many early ends in order routers could not tell from those of whole streams.
    ends_believed: Counter[Proof] = field(default_factory=Counter)

    def summary(self) -> str:
        """Return counts of the requests by kind, complete of all, and of the faults."""
        sent = Counter(call.kind.name.lower() for call in self.calls)
        served = Counter(call.kind.name.lower() for call in self.calls if call.is_served())
        kinds = ", ".join(f"{name} {served[name]}/{sent[name]}" for name in sorted(sent))
        tries = sum(len(call.tries) for call in self.calls)
        cut = self.unframed_cut.value
        oldest_s = self.oldest_resumption_ms() / MS_PER_SECOND
        text = (
            f"{kinds}; {tries} tries; oldest resumption {oldest_s:.1f} s; unframed cut {cut}; "
            f"faults {dict(self.faults)}; {self.take_ups.describe()}"
        )
        if self.repeats() or self.late_connections():
            text += f"; ids sent again {self.repeats()}"
            text += f"; silent connections that went on {self.late_connections()}"
        text += f"; {self.lost.describe()}; silences {self.silences}"
        text += f"; early ends believed {self.ends_believed[Proof.BELIEVED]}"
        text += f", of two runs {self.ends_believed[Proof.SECOND_RUN]}"
        text += f"; routers used up to {self.peak_mb:.0f} MB"
        return f"{text}; routers started {dict(self.starts)}" if self.starts else text

    def repeats(self) -> int:
        """Return how often an id was sent again while its stream went on."""
        return sum(item.repeats_id for call in self.calls for item in call.tries)

    def late_connections(self) -> int:
        """Return how many connections went on after their stream was taken up elsewhere."""
        return sum(item.went_on_late for call in self.calls for item in call.tries)

    def oldest_resumption_ms(self) -> int:
        """Return how long after its begin a stream at most was taken up and went on."""
        return max((call.oldest_resumption_ms() for call in self.calls), default=0)

    def served_ratio(self, kind: Kind) -> float:
        """Return the part of the requests of a kind that were complete, 1 without any."""
        served = [call.is_served() for call in self.calls if call.kind is kind]
        return sum(served) / len(served) if served else 1.0


class StreamSoak:
    """One run with one seed."""

    def __init__(self, options: Options, world: StreamWorld):
        self._options = options
        self._world = world
        self._rng = Random(options.seed)
        self._checker = Checker()
        self._calls: list[SentCall] = []
        self._grace_s = 0
        self._loading = True
        self._faults = StreamFaults(world, self._rng, self._checker)
        self._faults.release_pace = options.release_pace
        self._memory = MemoryWatch(options.limits)
        self._silences = ReplicaSilences(world, options.seed)

    async def run(self) -> Result:
        """Run load and faults, then check what callers received."""
        await self._build()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._faults.watch_routers)
            nursery.start_soon(self._memory.run, self._world.routers)
            if self._options.conduct is Conduct.SILENT:
                nursery.start_soon(self._silences.run)
            async with trio.open_nursery() as callers:
                for number in range(self._options.callers):
                    caller = self._make_caller(number)
                    callers.start_soon(caller.run, lambda: self._loading)
                async with trio.open_nursery() as faults:
                    with trio.move_on_after(self._options.span_s):
                        await self._inject_faults(faults)
                    self._faults.ending = True
                await trio.sleep(SETTLE_S)
                self._loading = False
                callers.cancel_scope.deadline = (
                    trio.current_time() + self._options.load.last_calls_s
                )
            nursery.cancel_scope.cancel()
        return self._check()

    def _make_caller(self, number: int) -> Caller:
        """Return one caller."""
        options = self._options
        rng = Random(f"{options.seed} caller {number}")
        routers, name = self._world.routers, f"c{number}"
        take_ups = self._world.take_ups
        return Caller(routers, rng, self._calls, name, options.mix, options.load, take_ups)

    async def _build(self) -> None:
        """Start replicas, store endpoints and routers, with proxies between some."""
        world, options = self._world, self._options
        world.program = options.program
        if options.old_build:
            tree = extract_build(options.old_build, world.folder)
            world.builds = BuildMix(tree, options.seed, world.folder / "builds.log")
        if options.steps_clocks:
            world.clocks = RouterClocks(world.folder)
        elif not options.program:
            world.peer_cuts = PeerCuts(world.folder)
        world.router_limits = options.limits
        world.framings, world.replica_paths = options.framings, options.paths
        world.replicas_per_plain, world.conduct = options.replicas_per_plain, options.conduct
        world.timeouts_ms = options.load.deadlines_ms
        world.unframed_cut = options.unframed_cut or self._rng.choice(list(Ending))
        self._set_grace()
        world.write_routes()
        for number in range(options.replicas):
            await world.add_replica_process(number, self._rng)
        for number in range(options.routers):
            await world.open_store_endpoint()
            proxy = LoopbackProxy(world.store_endpoints[number][1])
            port = await world.listen(f"proxy-store-endpoint-{number}", proxy.serve)
            world.store_endpoints[number] = (world.store_endpoints[number][0], port)
            self._faults.store_proxies.append(proxy)
            world.extra_settings["zone"] = ZONES[number % len(ZONES)]
            if number % ROUTERS_PER_UNCUT and not options.program:
                await world.add_router_paths(f"n{number}")
            world.launch_router(f"n{number}", store_endpoint_index=number)
        for router in world.routers:
            await world.wait_ready(router)

    def _set_grace(self) -> None:
        """Draw the grace period of the routers."""
        self._grace_s = self._rng.choice(GRACE_CHOICES_S)
        self._world.extra_settings = {"bounds.grace_s": str(self._grace_s)}

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        """Inject series of faults that overlap, with pauses between the series."""
        kinds = self._faults.draw_kinds(self._options.only_faults)
        series = self._options.series
        while True:
            for _ in range(self._rng.randint(*series.length)):
                kind = next(kinds)
                self._checker.counts[kind.__name__] += 1
                self._world.run_log.write("fault", kind=kind.__name__)
                nursery.start_soon(kind)
                await trio.sleep(self._rng.uniform(*SERIES_STEP_S))
            await trio.sleep(self._rng.uniform(*series.pause_s))

    def _check(self) -> Result:
        """Check all requests."""
        world = self._world
        runs = parse_runs(world.log_lines())
        checker, judge = StreamChecker(runs), self._make_judge(runs)
        decisions = parse_decisions(world.router_log_lines())
        reports = parse_reports(world.router_log_lines())
        believed = find_believed(world.router_log_lines(), runs)
        ends_believed = mark_believed(self._calls, runs, believed)
        for call in self._calls:
            found = check_decisions(call, decisions)
            lost = judge.count(call)
            if self._options.conduct.ratios.sound:
                found += [
                    describe_lost(item, reports, judge.find_stop_age_ms(item)) for item in lost
                ]
            checker.check(call, found)
        violations = self._checker.violations + checker.violations + self._memory.violations()
        cut = self._world.unframed_cut
        starts = self._world.builds.count_starts() if self._world.builds else Counter()
        counts, peak_mb = self._checker.counts, self._memory.peak_mb()
        lost, silences = judge.summary, self._silences.count
        taken_up = world.take_ups.count(self._calls, decisions)
        return Result(
            self._calls,
            counts,
            cut,
            violations,
            starts,
            peak_mb,
            lost,
            silences,
            taken_up,
            ends_believed,
        )

    def _make_judge(self, runs: list[ReplicaRun]) -> LostJudge:
        """Return the judge of the tries that were cut off."""
        sound = self._options.conduct.ratios.sound
        bounds = Bounds(self._grace_s * MS_PER_SECOND, self._world.timeouts_ms, sound)
        return LostJudge(runs, parse_stops(self._world.run_log_lines()), bounds)


def run_seed(options: Options) -> Result:
    """Run one seed and return what it showed."""

    async def main(folder: str) -> Result:
        async with trio.open_nursery() as nursery:
            world = StreamWorld(nursery, folder, options.seed)
            try:
                result = await StreamSoak(options, world).run()
            finally:
                world.stop()
            nursery.cancel_scope.cancel()
        return result

    with tempfile.TemporaryDirectory() as folder:
        return trio.run(main, options.keep or folder)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(prog="soak.streams", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed (default: %(default)s)")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds (default: %(default)s)"
    )
    parser.add_argument("--span", type=float, default=20.0, help="seconds of faults per seed")
    parser.add_argument("--routers", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=9)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument(
        "--orderly-cuts",
        action="store_true",
        help="replicas end answers without a length in order between two events (default: the seed"
        " determines whether)",
    )
    parser.add_argument(
        "--large-events",
        action="store_true",
        help="all streams have large events, and most callers pause",
    )
    parser.add_argument("--prompt-callers", action="store_true", help="no caller pauses")
    parser.add_argument(
        "--odd-callers",
        action="store_true",
        help="events' ids have gaps, and callers take streams up by the name of a try never made",
    )
    parser.add_argument(
        "--repeated-ids",
        choices=REPEAT_MIXES,
        help="callers send an id again while its stream goes on, for the rest of the stream or also"
        " for the whole, and leave no connection that falls silent as they take its stream up",
    )
    parser.add_argument(
        "--streams",
        choices=LOADS,
        default="short",
        help="how long streams last (default: %(default)s; long: over 30 s, longer: over 60 s)",
    )
    parser.add_argument("--more-tries", action="store_true", help="callers try more often")
    parser.add_argument(
        "--series",
        choices=SERIES,
        default="close",
        help="how faults follow each other (default: %(default)s)",
    )
    parser.add_argument(
        "--quick-releases",
        action="store_true",
        help="releases replace many replicas at once, and most replicas serve streams",
    )
    parser.add_argument("--faults", default="", help="names of the only faults, with commas")
    parser.add_argument(
        "--paths", default="own,kept,proxy", help="what routers reach at the replicas' addresses"
    )
    parser.add_argument(
        "--old-build", default="", help="commit of an earlier build that half of the routers run"
    )
    parser.add_argument(
        "--router-memory-mb", type=int, default=0, help="memory of each router (default: any)"
    )
    parser.add_argument(
        "--router-cores", type=int, default=0, help="cores of each router (default: all)"
    )
    parser.add_argument(
        "--clock-steps", action="store_true", help="routers have a clock of their own, set at times"
    )
    parser.add_argument("--keep", default="", help="folder to keep logs and records in")
    add_arguments(parser)
    return parser.parse_args()


def make_options(arguments: argparse.Namespace, seed: int) -> Options:
    """Return the options of the run with one seed; create the folder that keeps its logs."""
    options = Options(
        seed, arguments.span, arguments.routers, arguments.replicas, arguments.callers
    )
    options.paths = tuple(ReplicaPath(value) for value in arguments.paths.split(","))
    names = tuple(filter(None, arguments.faults.split(",")))
    options.only_faults = choose_faults(names, planned=arguments.planned)
    options.conduct = choose_conduct(arguments, planned=arguments.planned)
    options.framings = tuple(Framing(value) for value in arguments.framings.split(","))
    options.old_build = arguments.old_build
    options.limits = RouterLimits(arguments.router_memory_mb, arguments.router_cores)
    options.steps_clocks = arguments.clock_steps
    if arguments.orderly_cuts:
        options.unframed_cut = Ending.ORDERLY
    if arguments.large_events:
        options.mix = HEAVY_MIX
    elif arguments.prompt_callers:
        options.mix = PROMPT_MIX
    elif arguments.odd_callers:
        options.mix = ODD_MIX
    elif arguments.repeated_ids:
        options.mix = REPEAT_MIXES[arguments.repeated_ids]
    options.load = LOADS[arguments.streams]
    if arguments.more_tries:
        options.load = options.load.with_more_tries()
    options.series = SERIES[arguments.series]
    if arguments.quick_releases:
        options.release_pace = QUICK_RELEASES
        options.replicas_per_plain = REPLICAS_PER_PLAIN_IN_LARGE
    if arguments.keep:
        folder = Path(arguments.keep) / str(seed)
        # Logs of an earlier run would count as those of this one.
        folder.mkdir(parents=True)
        options.keep = str(folder)
    return options


def main() -> int:
    """Run the seeds and print their violations; return 1 if there are any, else 0."""
    arguments = parse_arguments()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = make_options(arguments, seed)
        result = run_seed(options)
        failed += bool(result.violations)
        print(f"seed {seed}: {result.summary()}", flush=True)
        for text in result.violations:
            print(f"  BROKEN {text}", flush=True)
        if options.keep:
            write_lines(Path(options.keep) / "broken.txt", result.violations)
    print(f"{arguments.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
