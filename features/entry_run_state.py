"""The state of a random run of entry routers, shared by its load, its faults and its checks."""

from collections import Counter, defaultdict, deque
from contextlib import ExitStack
from dataclasses import dataclass, field
from random import Random

import trio

from features.virtual_world import RecordingReplica, VirtualWorld
from skylarklift.entry.model import Bounds
from soak.checker import Checker, SentRequest
from standins.rows import StoreCopy

ROUTER_COUNT = 4
CALLER_COUNT = 10
PATH_PREFIXES = ("/chat/", "/chat/", "/once/", "/redeem/", "/check/")
ENGINE_PATHS = ("/chat/", "/once/")
REPLICAS_BY_SERVICE = {"lm": 4, "till": 3}
COLD_PER_S = 2.0
COLD_S = 4.0
# The limits that replicas name, in requests a second, are drawn from this range.
NAMED_LIMITS = (0.2, 2.0)
# A replica or zone must get no more requests this long after it began to drain or was evacuated.
DRAIN_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
# After a fault, limits need not hold for this long.
RECOVERY_S = 3.0
# A router notices a disconnected caller within this time.
DISCONNECT_NOTICE_S = 0.05
MS_PER_S = 1000
PACE_MS = {"lm": 40, "till": 150}
DISCONNECT_RATIO = 0.1
# A router has read a request by this long after it was sent.
REQUEST_READ_S = 0.05
# The fault-free time at the end of a run, before the final checks.
FINAL_FAULT_FREE_S = 8.0
CALLER_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 2
HEARTBEAT_S = 1.2
# The store drops an entry that was not renewed for this many heartbeats.
LAPSE_HEARTBEATS = 3
KEPT_COPIES = 10
COLD_WINDOW_S = 1.0
# These bounds are so tight that the load of a run exceeds them if routers do not enforce them.
TIGHT_BOUNDS = Bounds(cold_overshoot=1.0, cold_tolerance=1, retry_ratio=0.02, retry_extra=3)
# A replica that names a limit gets at most this many times what the limit allows, and some more, in
# each window, from all routers that had passed on such an answer a while before.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_TOLERANCE = 5
LIMIT_NOTICE_S = 0.5
LIMIT_STABLE_S = 3.0
MAX_OVERLOADED_RATIO = 0.03
MIN_OVERLOADED = 20


@dataclass
class Fault:
    """A fault, from its start to its end, and the name of the router or replica it affects.

    The target `store` affects all routers.
    """

    target: str
    start: float
    end: float = float("inf")
    planned: bool = False


@dataclass
class TimeSpan:
    """A time span in which a replica or zone drains, is evacuated or is cold."""

    start: float
    end: float = float("inf")


@dataclass
class LimitSpan(TimeSpan):
    """A time span in which a replica names a limit, in requests a second."""

    per_second: float = 0.0


@dataclass
class RunResult:
    """The violated invariants and the counts of a run."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class RunState:
    """The state of one run and the helpers that load, faults and checks share."""

    def __init__(self, seed: int, span_s: float, only_faults: tuple[str, ...] = ()):
        self.seed = seed
        self._span_s = span_s
        # The names of the faults to inject, with short pauses between them; empty for all faults.
        self._only_faults = only_faults
        self._rng = Random(seed)
        self._judge = Checker()
        self._faults: list[Fault] = []
        self._draining: dict[str, TimeSpan] = {}
        self._evacuations: dict[str, list[TimeSpan]] = defaultdict(list)
        self._cold_spans: dict[str, list[TimeSpan]] = defaultdict(list)
        self._limit_spans: dict[str, list[LimitSpan]] = defaultdict(list)
        self._zones: dict[str, str] = {}
        # When callers disconnected, by request.
        self._disconnected_at: dict[str, float] = {}
        self._removed_replicas: list[RecordingReplica] = []
        self._shutdowns: list[tuple[str, float]] = []
        # Routers and replicas that a running fault stops, so that no other fault does too.
        self._reserved: set[str] = set()
        # The number of current faults that keep all routers from the store.
        self._store_outages = 0
        self._store_restored = trio.Event()
        self._restoring = False
        self._store_copies: deque[StoreCopy] = deque(maxlen=KEPT_COPIES)
        self._seen_versions: dict[str, tuple[int, tuple[int, int]]] = {}
        self._last_number = 0
        self._sent_requests: dict[str, SentRequest] = {}
        self._sending = True
        self.world: VirtualWorld | None = None
        self.result = RunResult(seed)

    def _record_violation(self, text: str) -> None:
        """Record a violated invariant with the virtual time."""
        self.result.violations.append(f"{trio.current_time():.3f} {text}")

    def _record_fault(self, *targets: str, planned: bool = False) -> ExitStack:
        """Record a fault of each target; return a context manager that ends the faults."""
        stack = ExitStack()
        for target in targets:
            fault = Fault(target, trio.current_time(), planned=planned)
            self._faults.append(fault)
            stack.callback(lambda fault=fault: setattr(fault, "end", trio.current_time()))
        return stack

    def _is_fault_free(self, target: str, start: float, end: float) -> bool:
        """Return whether no fault affected a target in a time span or shortly before it.

        An empty name stands for all targets.
        """
        return not any(
            item.start < end and item.end > start - RECOVERY_S
            for item in self._faults
            if not target or item.target in (target, "store")
        )

    @property
    def _all_replicas(self) -> list[RecordingReplica]:
        """Return all replicas of the run, the removed ones too."""
        return [*self.world.replicas.values(), *self._removed_replicas]

    def _write_entry(self, name: str, **fields) -> None:
        """Write a replica's entry to the store, with its current state unless given."""
        left_s = (
            max((span.end for span in self._cold_spans[name]), default=0.0) - trio.current_time()
        )
        fields.setdefault("cold_remaining_ms", max(0, int(left_s * 1000)))
        fields.setdefault("born", self.world.start_counts.get(name, 1))
        self.world.register_replica(name, self.world.services[name], self._zones[name], **fields)

    async def _wait_for_store(self) -> None:
        """Wait until no fault keeps all routers from the store."""
        while self._store_outages:
            await self._store_restored.wait()

    def _end_store_outage(self, affected_all: bool) -> None:
        """End a fault of the store; only faults that affected all routers are counted."""
        self._store_outages -= affected_all
        if not self._store_outages:
            self._store_restored.set()
            self._store_restored = trio.Event()

    def _restart_cold_span(self, name: str) -> None:
        """Let a replica be cold from now on, and write that to its entry."""
        now = trio.current_time()
        self._cold_spans[name].append(TimeSpan(now, now + COLD_S))
        if name not in self._draining and name not in self._reserved:
            self._write_entry(name)
