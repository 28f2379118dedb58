"""The world of a random run of entry routers, and what its parts share."""

from collections import Counter, defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field
from random import Random

import trio

from features.virtual_world import RecordingReplica, VirtualWorld
from skylarklift.entry.model import Bounds
from soak.judge import Judge

ROUTERS = 4
CLIENTS = 10
PATHS = ("/chat/", "/chat/", "/once/", "/redeem/", "/check/")
ENGINE_PATHS = ("/chat/", "/once/")
SERVICES = {"lm": 4, "till": 3}
COLD_PER_S = 2.0
COLD_S = 4.0
# The promises' bounds, in seconds: draining, evacuation, and what a router in touch is.
DRAIN_S = 2.0
EVACUATE_S = 5.0
STABLE_S = 3.0
# A client that leaves is noticed within this span.
NOTICE_S = 0.05
MS = 1000
PACE_MS = {"lm": 40, "till": 150}
LEAVING_PART = 0.1
# A request sent this long ago has surely been read.
SENT_S = 0.05
HEALED_S = 8.0
CLIENT_LIMIT_S = 6.0
MAX_ATTEMPTS = 2
ONE_SECOND = 1.0
# Bounds so tight that the load of a run would break them if nobody kept them.
BOUNDS = Bounds(cold_overshoot=1.0, cold_tolerance=1, retry_ratio=0.02, retry_extra=3)
OVERLOADED_PART = 0.03
OVERLOADED_FEWEST = 20


@dataclass
class Trouble:
    """A fault from its start to its end, and which part of the world it concerns."""

    where: str
    start: float
    end: float = float("inf")
    planned: bool = False


@dataclass
class Leaving:
    """A replica or zone that is to get nothing from some moment on."""

    start: float
    end: float = float("inf")


@dataclass
class RunResult:
    """What a run showed."""

    seed: int
    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class Scene:
    """One run's world, its troubles so far, and helpers that load, faults and checks share."""

    def __init__(self, seed: int, span_s: float, only: tuple[str, ...] = ()):
        self.seed = seed
        self._span_s = span_s
        # Names of the only faults to bring about, one soon after the other; empty for all.
        self._only = only
        self._rng = Random(seed)
        self._judge = Judge()
        self._troubles: list[Trouble] = []
        self._draining: dict[str, Leaving] = {}
        self._evacuated: dict[str, list[Leaving]] = defaultdict(list)
        self._cold: dict[str, list[Leaving]] = defaultdict(list)
        self._zones: dict[str, str] = {}
        self._left: dict[str, float] = {}
        self._gone: list[RecordingReplica] = []
        self._stops: list[tuple[str, float]] = []
        self._busy: set[str] = set()
        # Faults that keep the store from all routers now.
        self._store_away = 0
        self._store_back = trio.Event()
        self._versions: dict[str, tuple[int, int]] = {}
        self._number = 0
        self._loading = True
        self.world: VirtualWorld | None = None
        self.result = RunResult(seed)

    def _breaks(self, text: str) -> None:
        """Note a broken promise."""
        self.result.broken.append(f"{trio.current_time():.3f} {text}")

    def _trouble(self, *places: str, planned: bool = False) -> ExitStack:
        """Return a block during which parts of the world are in trouble."""
        stack = ExitStack()
        for place in places:
            span = Trouble(place, trio.current_time(), planned=planned)
            self._troubles.append(span)
            stack.callback(lambda span=span: setattr(span, "end", trio.current_time()))
        return stack

    def _calm(self, place: str, start: float, end: float) -> bool:
        """Tell whether nothing was wrong with a part, or with any for an empty name."""
        return not any(
            item.start < end and item.end > start - STABLE_S
            for item in self._troubles
            if not place or item.where in (place, "store")
        )

    @property
    def _all_replicas(self) -> list[RecordingReplica]:
        """Return the replicas that ran at any time."""
        return [*self.world.replicas.values(), *self._gone]

    def _list(self, name: str, **fields) -> None:
        """Write a replica's entry with what is true of it."""
        left = max((span.end for span in self._cold[name]), default=0.0) - trio.current_time()
        fields.setdefault("cold_remaining_ms", max(0, int(left * 1000)))
        fields.setdefault("born", self.world.start_counts.get(name, 1))
        self.world.list_replica(name, self.world.services[name], self._zones[name], **fields)

    async def _until_store_is_up(self) -> None:
        """Wait while the store is away for all."""
        while self._store_away:
            await self._store_back.wait()

    def _let_store_back(self, was_away: bool) -> None:
        """End one fault that kept the store from all routers."""
        self._store_away -= was_away
        if not self._store_away:
            self._store_back.set()
            self._store_back = trio.Event()

    def _turn_cold(self, name: str) -> None:
        """Let a replica be cold from now on, and say so."""
        now = trio.current_time()
        self._cold[name].append(Leaving(now, now + COLD_S))
        if name not in self._draining and name not in self._busy:
            self._list(name)
