"""The checks of a random run of entry routers: the promises, as clients and replicas see them."""

from collections import Counter

import trio

from features.entry_scene import (
    COLD_PER_S,
    DRAIN_S,
    ENGINE_PATHS,
    EVACUATE_S,
    MAX_ATTEMPTS,
    MS,
    NOTICE_S,
    ONE_SECOND,
    OVERLOADED_FEWEST,
    OVERLOADED_PART,
    SENT_S,
    SERVICES,
    STABLE_S,
    Scene,
)
from features.virtual_world import RecordingReplica
from skylarklift.entry.rows import RowTable
from soak.judge import Sent


class Checks(Scene):
    """What must hold, checked while a run goes on and at its end."""

    def _judge_answer(self, sent: Sent) -> None:
        """Judge one request by its answer."""
        answer = sent.answer
        self._judge.sent.append(sent)
        self._judge.counts[f"status {answer.status}"] += 1
        if answer.status == 200 and answer.whole and not self._judge.own_answer(sent):
            self._breaks(f"{sent.request} at {sent.router}: not its own whole answer")
        if sent.request in self._left:
            return
        if any(self._cut_by_stop(sent, name, at) for name, at in self._stops):
            self._breaks(f"{sent.request} at {sent.router}: cut at its stop")
        if not self._calm("", sent.at, sent.done_at):
            return
        if answer.status in (200, 503) and answer.whole:
            return
        self._breaks(f"{sent.request} at {sent.router}: status {answer.status} while calm")

    def _cut_by_stop(self, sent: Sent, name: str, at: float) -> bool:
        """Tell whether a router that was told to stop dropped a request that ran there."""
        if sent.router != name or sent.answer.whole or not sent.at + SENT_S < at < sent.done_at:
            return False
        return not any(
            item.start < sent.done_at and item.end > at - STABLE_S
            for item in self._troubles
            if not item.planned
        )

    async def _watch_versions(self) -> None:
        """See that no router goes back to an older configuration or list."""
        while True:
            for router in self.world.routers:
                if router.core is None or router.core.cluster_state.plan is None:
                    continue
                state = router.core.cluster_state
                now = (state.plan.version, state.caches[RowTable.UPSTREAMS].version)
                before = self._versions.get(router.name, (0, 0))
                if now[0] < before[0] or now[1] < before[1]:
                    self._breaks(f"{router.name} went back from {before} to {now}")
                self._versions[router.name] = now
            await trio.sleep(0.05)

    def _judge_end(self) -> None:
        """Judge what can be told only from the whole run."""
        for router in self.world.routers:
            if router.error is not None:
                self._breaks(f"{router.name} ended with {router.error!r}")
        self._judge.judge_runs(self._all_replicas)
        self.result.broken += self._judge.broken
        for replica in self._all_replicas:
            self._judge_cold(replica)
            self._judge_leaving(replica)
        self._judge_routes()
        self._judge_attempts()
        self._judge_repeats()
        self._judge_left()
        self._judge_loads()
        self._judge_agreement()

    def _judge_cold(self, replica: RecordingReplica) -> None:
        """See that a cold replica got no more a second than it bears."""
        limit = COLD_PER_S * self.world.bounds.cold_overshoot + self.world.bounds.cold_tolerance
        for span in self._cold[replica.name]:
            moments = [
                item.at
                for item in replica.arrivals
                if span.start <= item.at <= span.end and not item.rejected
            ]
            for index, first in enumerate(moments):
                count = sum(first <= moment < first + ONE_SECOND for moment in moments[index:])
                if count > limit:
                    self._breaks(f"{replica.name}: {count} requests a second while cold")
                    break

    def _judge_leaving(self, replica: RecordingReplica) -> None:
        """See that nothing reached a replica that was leaving, or whose zone was emptied."""
        spans = [(item, EVACUATE_S) for item in self._evacuated[self._zones[replica.name]]]
        if replica.name in self._draining:
            spans.append((self._draining[replica.name], DRAIN_S))
        hosts = {item.host: item.name for item in self.world.routers}
        for arrival in replica.arrivals:
            router = hosts[arrival.router]
            late = any(item.start + limit < arrival.at < item.end for item, limit in spans)
            if late and not arrival.rejected and self._calm(router, arrival.at, arrival.at):
                self._breaks(f"{arrival.request} reached {replica.name} by {router}, too late")

    def _judge_routes(self) -> None:
        """See that no replica ran what its service does not serve."""
        for replica in self._all_replicas:
            service = self.world.services[replica.name]
            for run in replica.runs:
                if run.target.startswith(ENGINE_PATHS) != (service == "lm"):
                    self._breaks(f"{run.request} for {run.target} ran at {replica.name}")
                if run.fields.get("x-expect-replica") != replica.name:
                    self._breaks(f"{run.request} ran at {replica.name} without its name")

    def _judge_attempts(self) -> None:
        """See that no request ran on more replicas than its route allows."""
        runs = Counter(run.request for replica in self._all_replicas for run in replica.runs)
        for request, count in runs.items():
            if count > MAX_ATTEMPTS:
                self._breaks(f"{request} ran {count} times")

    def _judge_repeats(self) -> None:
        """See that repeats stayed within what all routers may spend."""
        bounds = self.world.bounds
        window_s = bounds.retry_window_ms / 1000
        for service in SERVICES:
            asked = sorted(
                item.at
                for item in self._judge.sent
                if item.path.startswith(ENGINE_PATHS) == (service == "lm")
            )
            seen: set[str] = set()
            again = []
            arrivals = [
                arrival
                for replica in self._all_replicas
                if self.world.services[replica.name] == service
                for arrival in replica.arrivals
            ]
            for arrival in sorted(arrivals, key=lambda item: item.at):
                if arrival.request in seen:
                    again.append(arrival.at)
                seen.add(arrival.request)
            self.result.counts["repeats"] += len(again)
            for moment in again:
                count = sum(moment - window_s < other <= moment for other in again)
                requests = sum(moment - window_s < other <= moment for other in asked)
                if count > bounds.retry_ratio * requests + bounds.retry_extra:
                    self._breaks(f"{count} repeats at {service} for {requests} requests")
                    break

    def _judge_left(self) -> None:
        """See that work ended soon after its client had left."""
        late, left = [], 0
        for replica in self._all_replicas:
            arrived = {item.request: item.at for item in replica.arrivals}
            for run in replica.runs:
                gone_at = self._left.get(run.request)
                events = replica.events if run.target.startswith(ENGINE_PATHS) else 1
                lasts_until = arrived[run.request] + events * replica.pace_ms / MS
                if gone_at is None or gone_at + NOTICE_S > lasts_until:
                    continue
                left += 1
                if run.ended:
                    late.append(run.request)
        self.result.counts["left"] += left
        if len(late) > max(3, left // 4):
            self._breaks(f"work went on for clients that had left: {late[:5]}")

    def _judge_loads(self) -> None:
        """See that in calm spans chats reached no replica far above the mean."""
        engines = [r for r in self._all_replicas if self.world.services[r.name] == "lm"]
        arrivals = sorted(
            (item.at, replica.name, item.running)
            for replica in engines
            for item in replica.arrivals
        )
        factor = self.world.bounds.load_factor
        over = checked = 0
        loads: dict[str, int] = {}
        for at, name, running in arrivals:
            loads[name] = running
            if not self._calm("", at - 2.0, at):
                continue
            checked += 1
            mean = sum(loads.values()) / len(loads)
            over += running > factor * mean + 3
        self.result.counts["loads checked"] += checked
        if over >= OVERLOADED_FEWEST and over > OVERLOADED_PART * checked:
            self._breaks(f"{over} of {checked} chats reached an overloaded replica")

    def _judge_agreement(self) -> None:
        """See that after all faults every router serves and knows what the store says."""
        store = self.world.store
        listed = {key for key, row in store.tables["servers"].items() if row.data is not None}
        for router in self.world.routers:
            core = router.core
            if core is None:
                self._breaks(f"{router.name} does not run after the faults")
                continue
            if (
                core.cluster_state.plan is None
                or core.cluster_state.plan.version != self.world.plan_version
            ):
                self._breaks(f"{router.name} has not the newest configuration")
            known = set(core.cluster_state.upstreams)
            if known != listed:
                self._breaks(f"{router.name} knows {sorted(known ^ listed)} differently")
