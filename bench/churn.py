"""Simulate returning chats against the admitter of one pool, in virtual time.

The admitter is the router's own.  Each simulated replica holds a bounded LRU cache of
chats and runs each request for a random duration.  A run counts skew, breaches of the
load bound, and reuse of cached prefixes.
"""

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from skylarklift.clock import ManualClock
from skylarklift.generated import Pool, Ramp, Replica
from skylarklift.ids import ChatKey, GrantId, ReplicaId, RouterId, WorkspaceId
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.bound import load_bound
from skylarklift.pools.grants import AdmissionRequest, Grant, GrantKey
from skylarklift.pools.policies import PlacementPolicy

TICK_MS = 20
UNBOUNDED_LOAD_FACTOR = 1e9


@dataclass(frozen=True)
class ChurnPlan:
    """The parameters of a run; `mean_load` is the mean number of requests at a replica."""

    replicas: int = 6
    mean_load: float = 10
    mean_duration_ms: float = 3000
    chats: int = 6000
    cache_chats: int = 1500
    requests: int = 12000
    load_factor: float = 1.25
    affinity_wait_ms: int = 150
    seed: int = 1


@dataclass
class ChurnResult:
    """The counts of a run; `returns` are requests of chats that were served before."""

    reused: int = 0
    served: int = 0
    refused: int = 0
    breaches: int = 0
    returns: int = 0
    waits_ms: list[int] = field(default_factory=list)
    skews: list[float] = field(default_factory=list)

    def reuse(self) -> float:
        """Return the share of returning requests whose replica held their prefix."""
        return self.reused / max(1, self.returns)

    def worst_skew(self) -> float:
        """Return the largest ratio of a replica's load at admission to the mean load."""
        return max(self.skews, default=0.0)

    def mean_wait_ms(self) -> float:
        """Return the mean time from a request to its grant."""
        return sum(self.waits_ms) / max(1, len(self.waits_ms))


class ChurnRun:
    """One run of a plan with one policy."""

    def __init__(self, plan: ChurnPlan, policy: PlacementPolicy):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._clock = ManualClock()
        names = [ReplicaId(f"r{index}") for index in range(plan.replicas)]
        pool = Pool(
            models=["m"],
            replicas={name: Replica(url="http://fake", zone="z", slots=100_000) for name in names},
            load_factor=plan.load_factor,
            affinity_wait_ms=plan.affinity_wait_ms,
            queue_limit=100_000,
            ramp=Ramp(duration_ms=0),
        )
        self._admitter = PoolAdmitter(self._clock, pool, names, policy, warm=True)
        self._caches: dict[ReplicaId, OrderedDict[ChatKey, None]] = {
            name: OrderedDict() for name in names
        }
        self._seen: set[ChatKey] = set()
        self._asked: dict[GrantKey, tuple[int, ChatKey]] = {}
        self._end_times: list[tuple[int, int, GrantKey]] = []
        self._durations = self._request_durations()
        self.result = ChurnResult()

    def _request_durations(self):
        """Yield log-normally distributed durations with the mean of the plan."""
        mean = self._plan.mean_duration_ms
        sigma = 0.6
        while True:
            yield int(mean * self._rng.lognormvariate(-sigma * sigma / 2, sigma))

    def _next_chat(self) -> ChatKey:
        """Return a random chat; low numbers are the most frequent."""
        rank = int(self._plan.chats * self._rng.random() ** 2)
        return ChatKey(rank)

    def run(self) -> ChurnResult:
        """Run all requests of the plan, with exponentially distributed gaps between them."""
        plan = self._plan
        gap_ms = plan.mean_duration_ms / (plan.mean_load * plan.replicas)
        arrival = 0.0
        for number in range(plan.requests):
            arrival += self._rng.expovariate(1 / gap_ms)
            self._advance_to(int(arrival))
            self._ask(number)
        return self.result

    def _advance_to(self, moment: int) -> None:
        """Advance the clock to a moment, with the releases and ticks that are due on the way."""
        while self._clock.now() < moment:
            next_at = moment
            if self._admitter.queued():
                next_at = min(next_at, self._clock.now() + TICK_MS)
            if self._end_times:
                next_at = min(next_at, max(self._end_times[0][0], self._clock.now()))
            self._clock.advance(next_at - self._clock.now())
            self._release_finished()
            if self._admitter.queued():
                self._apply_decisions(self._admitter.tick())

    def _release_finished(self) -> None:
        """Release the grants of the requests that have ended."""
        while self._end_times and self._end_times[0][0] <= self._clock.now():
            self._apply_decisions(self._admitter.release(heapq.heappop(self._end_times)[-1]))

    def _ask(self, number: int) -> None:
        """Ask the admitter for a grant for the next request."""
        chat = self._next_chat()
        key = GrantKey(RouterId("router"), GrantId(number))
        self._asked[key] = (self._clock.now(), chat)
        request = AdmissionRequest(key, chat, WorkspaceId("w"), wait_ms=60_000)
        self._apply_decisions(self._admitter.ask(request))

    def _apply_decisions(self, decisions) -> None:
        """Start the granted requests and count the refused ones."""
        for decision in decisions:
            asked_at, chat = self._asked.pop(decision.key)
            if not isinstance(decision, Grant):
                self.result.refused += 1
                continue
            self._check_bound(decision.replica)
            self._serve(decision.replica, chat)
            self.result.waits_ms.append(self._clock.now() - asked_at)
            end = self._clock.now() + next(self._durations)
            heapq.heappush(self._end_times, (end, decision.key.number, decision.key))

    def _check_bound(self, replica: ReplicaId) -> None:
        """Check a replica's load against the bound, independently of the admitter.

        The loads already include all grants of the admitter call that returned this one.
        """
        loads = self._admitter.loads()
        total = sum(loads.values())
        if loads[replica] > load_bound(self._plan.load_factor, total, len(loads)):
            self.result.breaches += 1
        if total >= self._plan.replicas * self._plan.mean_load / 2:
            self.result.skews.append(loads[replica] * len(loads) / total)

    def _serve(self, replica: ReplicaId, chat: ChatKey) -> None:
        """Count whether the replica's cache holds the chat, and put the chat into it."""
        cache = self._caches[replica]
        hit = chat in cache
        cache[chat] = None
        cache.move_to_end(chat)
        if len(cache) > self._plan.cache_chats:
            cache.popitem(last=False)
        self.result.served += 1
        if chat in self._seen:
            self.result.returns += 1
            self.result.reused += hit
        self._seen.add(chat)
