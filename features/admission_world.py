"""Routers with admission control before simulated replicas, on virtual time."""

import random
from dataclasses import dataclass, field, replace

import trio

from features.entry_fixtures import apply_rows, core_with_replicas, new_call
from features.world import run_virtual
from skylarklift.clock import MS_PER_SECOND, LoopClock, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.model import Endpoint, RouteKind, UpstreamRecord, Workspace
from skylarklift.entry.requests.admitted_search import AdmittedSearch
from skylarklift.entry.requests.retry_state import Outcome, RetryState
from skylarklift.entry.requests.upstream_search import SearchedRequest
from skylarklift.entry.state.rows import RowTable, TableSummary
from skylarklift.errors import Refusal
from skylarklift.ids import Fingerprint

SLOTS = 4
DEADLINE_MS = 2000
REPORT_INTERVAL_MS = 50
SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2


@dataclass
class Result:
    """What became of one request."""

    workspace: str
    work_ms: int
    arrived_at: int
    sent_at: int | None = None
    refused_at: int | None = None
    retry_after_ms: int = 0
    tries: int = 1
    name: str = ""


class AnyVersion:
    """The stream version of a request that is no resumable stream."""

    def wanted(self, service, *, again=False):
        return None


@dataclass
class SimulatedAttempt:
    """The part of an attempt that the search looks at."""

    record: UpstreamRecord
    outcome: Outcome = Outcome.ANSWERED


@dataclass
class World:
    """The routers, the replicas and the results of the requests; `sent` is in that order."""

    replicas: int
    gossip: bool = True
    returns: bool = False
    seed: int = 1
    cores: list[Core] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)
    sent: list[Result] = field(default_factory=list)
    load: dict[str, int] = field(default_factory=dict)
    most: int = 0

    def start(self, routers: int) -> None:
        """Make the routers; each knows that the others exist."""
        self.rng = random.Random(self.seed)
        self.places = {f"r{n}": trio.CapacityLimiter(SLOTS) for n in range(self.replicas)}
        for _ in range(routers):
            core = core_with_replicas(self.replicas, LoopClock(), slots=SLOTS)
            core.settings = replace(core.settings, admission_control=True)
            core.rng = random.Random(self.seed)
            self.cores.append(core)
        self.report(loads=False)

    def report(self, *, loads: bool = True) -> None:
        """Let each router hear the others; without `loads` only once, to count them."""
        for sender, source in enumerate(self.cores):
            in_flight = dict(source.chooser.in_flight) if loads else {}
            message = GossipMessage(f"n{sender}", "b", "", SUMMARIES, loads=in_flight)
            for receiver, core in enumerate(self.cores):
                if receiver != sender:
                    core.fleet.record_message(message, Endpoint("127.0.0.2", sender + 1))
                    core.apply_limit_reports((), f"n{sender}")

    async def report_loop(self) -> None:
        """Report the loads at intervals."""
        while True:
            await trio.sleep(REPORT_INTERVAL_MS / MS_PER_SECOND)
            if self.gossip:
                self.report()

    def remove_replica(self, name: str) -> None:
        """Take a replica out of the list of upstreams."""
        for core in self.cores:
            apply_rows(core, RowTable.UPSTREAMS, 2, {name: None})

    async def request(
        self,
        workspace="w1",
        work_ms=100,
        priority=1,
        kind=RouteKind.STREAM,
        name="",
        runs=0,
        failures=0,
        resumes=False,
    ) -> None:
        """Make one request at a random router; a refused one comes back once if callers do.

        Of its `failures` so far, it may have run in `runs`.
        """
        clock = LoopClock()
        result = Result(workspace, work_ms, clock.now(), name=name)
        self.results.append(result)
        body = f"{len(self.results)}"
        for number in range(1 + self.returns):
            result.tries = number + 1
            try:
                await self.send(result, priority, kind, body, (failures, runs), resumes)
                return
            except Refusal as exc:
                result.refused_at, result.retry_after_ms = clock.now(), exc.retry_after_ms
                if number < self.returns:
                    await trio.sleep(exc.retry_after_ms / MS_PER_SECOND)

    async def send(self, result: Result, priority, kind, body, past, resumes) -> None:
        """Choose a replica and run the request there when it has a slot."""
        core = self.cores[0] if self.returns else self.rng.choice(self.cores)
        call = new_call("", request=body)
        call.received_at = core.clock.now()
        route = replace(core.cluster_state.plan.route(call.host, call.path), kind=kind)
        deadline = Millis(call.received_at + DEADLINE_MS)
        workspace = Workspace(result.workspace)
        fingerprint = Fingerprint(int(body))
        searched = SearchedRequest(call, route, "lm", workspace, priority, deadline, fingerprint)
        call.resume_after = 1 if resumes else None
        search = AdmittedSearch(core, searched, RetryState(route, *past), AnyVersion())
        choice = await search.choose()
        replica = choice.upstream.record.replica
        result.sent_at, result.refused_at = core.clock.now(), None
        self.sent.append(result)
        with search.watch(SimulatedAttempt(choice.upstream.record)):
            core.chooser.start_request(choice, call)
            self.load[replica] = self.load.get(replica, 0) + 1
            self.most = max(self.most, self.load[replica])
            try:
                async with self.places[replica]:
                    await trio.sleep(result.work_ms / MS_PER_SECOND)
            finally:
                self.load[replica] -= 1
                core.chooser.end_request(replica)

    async def demand(self, nursery, per_s: float, span_ms: int, **fields) -> None:
        """Make requests at regular intervals."""
        for _ in range(int(per_s * span_ms / MS_PER_SECOND)):
            nursery.start_soon(lambda: self.request(**fields))
            await trio.sleep(1 / per_s)

    async def clock_sleep(self, span_ms: int) -> None:
        """Let a time pass."""
        await trio.sleep(span_ms / MS_PER_SECOND)

    def run(self, routers: int, drive) -> None:
        """Run `drive(nursery)` on virtual time and wait until all requests have ended."""

        async def main():
            self.start(routers)
            async with trio.open_nursery() as outer:
                outer.start_soon(self.report_loop)
                async with trio.open_nursery() as nursery:
                    await drive(nursery)
                outer.cancel_scope.cancel()

        run_virtual(self.seed, main)

    def refused(self, workspace: str | None = None) -> list[Result]:
        """Return the requests that were refused for good."""
        found = [item for item in self.results if item.refused_at is not None]
        return [item for item in found if workspace in (None, item.workspace)]

    def served(self) -> list[Result]:
        """Return the requests that were sent."""
        return [item for item in self.results if item.refused_at is None]
