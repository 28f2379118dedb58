"""The checks of a random run of entry routers, made on what callers and replicas observe."""

from collections import Counter

import trio

from features.entry_run_state import (
    COLD_PER_S,
    COLD_WINDOW_S,
    DISCONNECT_NOTICE_S,
    DRAIN_LIMIT_S,
    ENGINE_PATHS,
    EVACUATION_LIMIT_S,
    LIMIT_NOTICE_S,
    LIMIT_OVERSHOOT,
    LIMIT_STABLE_S,
    LIMIT_TOLERANCE,
    LIMIT_WINDOW_S,
    MAX_ATTEMPTS,
    MAX_OVERLOADED_RATIO,
    MIN_OVERLOADED,
    MS_PER_S,
    RECOVERY_S,
    REPLICAS_BY_SERVICE,
    REQUEST_READ_S,
    LimitSpan,
    RunState,
)
from features.virtual_world import RecordingReplica
from skylarklift.entry.state.rows import RowTable
from soak.checker import SentRequest


class InvariantChecks(RunState):
    """Checks of the invariants, made while a run goes on and at its end."""

    def _check_response(self, sent: SentRequest) -> None:
        """Check the response to one request."""
        response = sent.response
        self._judge.requests.append(sent)
        self._sent_requests[sent.request_id] = sent
        self._judge.counts[f"status {response.status}"] += 1
        if response.status == 200 and response.complete and not self._judge.is_own_response(sent):
            self._record_violation(
                f"{sent.request_id} at {sent.router}: response incomplete or to another request"
            )
        if sent.request_id in self._disconnected_at:
            return
        if any(self._was_cut_off_by_shutdown(sent, name, at) for name, at in self._shutdowns):
            self._record_violation(
                f"{sent.request_id} at {sent.router}: cut off by the router's shutdown"
            )
        if not self._is_fault_free("", sent.sent_at, sent.done_at):
            return
        if response.status in (200, 503) and response.complete:
            return
        self._record_violation(
            f"{sent.request_id} at {sent.router}: status {response.status} without a fault"
        )

    def _was_cut_off_by_shutdown(self, sent: SentRequest, name: str, at: float) -> bool:
        """Return whether a router cut off a running request when it was shut down at a moment.

        An unplanned fault during the request or shortly before the shutdown excuses it.
        """
        if (
            sent.router != name
            or sent.response.complete
            or not sent.sent_at + REQUEST_READ_S < at < sent.done_at
        ):
            return False
        return not any(
            item.start < sent.done_at and item.end > at - RECOVERY_S
            for item in self._faults
            if not item.planned
        )

    async def _check_versions(self) -> None:
        """Check repeatedly that no router returns to an older configuration or upstream list."""
        while True:
            for router in self.world.routers:
                if router.core is None or router.core.cluster_state.plan is None:
                    continue
                state = router.core.cluster_state
                cache = state.caches[RowTable.UPSTREAMS]
                # Versions order rows only within one era of the store.
                now = (state.plan.version, (getattr(cache, "era", 0), cache.version))
                before = self._seen_versions.get(router.name, (0, (0, 0)))
                if now[0] < before[0] or now[1] < before[1]:
                    self._record_violation(
                        f"{router.name} went back from versions {before} to {now}"
                    )
                self._seen_versions[router.name] = now
            await trio.sleep(0.05)

    def _check_run(self) -> None:
        """Make the checks that need the whole run."""
        for router in self.world.routers:
            if router.error is not None:
                self._record_violation(f"{router.name} failed with {router.error!r}")
        self._judge.check_runs(self._all_replicas)
        self.result.violations += self._judge.violations
        for replica in self._all_replicas:
            self._check_cold_limit(replica)
            self._check_named_limit(replica)
            self._check_removal_from_service(replica)
        self._check_destinations()
        self._check_attempt_limit()
        self._check_retry_budget()
        self._check_cancellations()
        self._check_load_bound()
        self._check_convergence()

    def _check_cold_limit(self, replica: RecordingReplica) -> None:
        """Check that a cold replica got no more requests per second than its limit.

        Counted are those that were sent and arrived within the second.
        """
        limit = COLD_PER_S * self.world.bounds.cold_overshoot + self.world.bounds.cold_tolerance
        for span in self._cold_spans[replica.name]:
            arrivals = [
                item
                for item in replica.arrivals
                if span.start <= item.at <= span.end and not item.rejected
            ]
            for first in (item.sent_at for item in arrivals):
                count = sum(
                    first <= item.sent_at and item.at < first + COLD_WINDOW_S for item in arrivals
                )
                if count > limit:
                    self._record_violation(
                        f"{replica.name}: {count} requests per second while cold"
                    )
                    break

    def _check_named_limit(self, replica: RecordingReplica) -> None:
        """Check that a replica that names a limit got no more from the routers that knew it."""
        for span in self._limit_spans[replica.name]:
            limit = LIMIT_OVERSHOOT * span.per_second * LIMIT_WINDOW_S + LIMIT_TOLERANCE
            moments = self._arrivals_from_informed(replica, span)
            for index, first in enumerate(moments):
                count = sum(first <= moment < first + LIMIT_WINDOW_S for moment in moments[index:])
                if count > limit:
                    self._record_violation(
                        f"{replica.name}: {count} requests from {first:.3f} on, for a limit of "
                        f"{span.per_second} a second"
                    )
                    break
            self.result.counts["requests under a limit"] += len(moments)

    def _arrivals_from_informed(self, replica: RecordingReplica, span: LimitSpan) -> list[float]:
        """Return when requests arrived under a limit, from routers without a fault that knew it."""
        names = {item.host: item.name for item in self.world.routers}
        informed_at: dict[str, float] = {}
        moments = []
        for arrival in replica.arrivals:
            if not span.start <= arrival.at <= span.end or arrival.rejected:
                continue
            router = names[arrival.router]
            answered = self._passed_on_at(arrival.request)
            if answered is not None:
                informed_at[router] = min(answered, informed_at.get(router, answered))
            known = informed_at.get(router, arrival.at) + LIMIT_NOTICE_S <= arrival.at
            if (
                known
                and arrival.at >= span.start + LIMIT_STABLE_S
                and self._is_fault_free(router, arrival.at, arrival.at)
            ):
                moments.append(arrival.at)
        return moments

    def _passed_on_at(self, request: str) -> float | None:
        """Return when the caller of a request had its complete success, `None` without one."""
        sent = self._sent_requests.get(request)
        if sent is None or sent.response.status != 200 or not sent.response.complete:
            return None
        return sent.done_at

    def _check_removal_from_service(self, replica: RecordingReplica) -> None:
        """Check that draining replicas and replicas of evacuated zones got no late requests."""
        spans = [
            (item, EVACUATION_LIMIT_S) for item in self._evacuations[self._zones[replica.name]]
        ]
        if replica.name in self._draining:
            spans.append((self._draining[replica.name], DRAIN_LIMIT_S))
        hosts = {item.host: item.name for item in self.world.routers}
        for arrival in replica.arrivals:
            router = hosts[arrival.router]
            late = any(item.start + limit < arrival.at < item.end for item, limit in spans)
            if (
                late
                and not arrival.rejected
                and self._is_fault_free(router, arrival.at, arrival.at)
            ):
                self._record_violation(
                    f"{arrival.request} reached {replica.name} from {router} too late"
                )

    def _check_destinations(self) -> None:
        """Check that replicas ran only requests for their service that named them as expected."""
        for replica in self._all_replicas:
            service = self.world.services[replica.name]
            for run in replica.runs:
                if run.target.startswith(ENGINE_PATHS) != (service == "lm"):
                    self._record_violation(
                        f"{run.request_id} for {run.target} ran at {replica.name}"
                    )
                if run.headers.get("x-expect-replica") != replica.name:
                    self._record_violation(
                        f"{run.request_id} ran at {replica.name} without x-expect-replica naming it"
                    )

    def _check_attempt_limit(self) -> None:
        """Check that no request ran more often than its route allows."""
        runs = Counter(run.request_id for replica in self._all_replicas for run in replica.runs)
        for request, count in runs.items():
            if count > MAX_ATTEMPTS:
                self._record_violation(f"{request} ran {count} times")

    def _check_retry_budget(self) -> None:
        """Check that the retries of all routers stayed within their common budget."""
        bounds = self.world.bounds
        window_s = bounds.retry_window_ms / 1000
        for service in REPLICAS_BY_SERVICE:
            sent_at = sorted(
                item.sent_at
                for item in self._judge.requests
                if item.path.startswith(ENGINE_PATHS) == (service == "lm")
            )
            seen: set[str] = set()
            retried_at = []
            arrivals = [
                arrival
                for replica in self._all_replicas
                if self.world.services[replica.name] == service
                for arrival in replica.arrivals
            ]
            for arrival in sorted(arrivals, key=lambda item: item.at):
                if arrival.request in seen:
                    retried_at.append(arrival.at)
                seen.add(arrival.request)
            self.result.counts["retries"] += len(retried_at)
            for moment in retried_at:
                count = sum(moment - window_s < other <= moment for other in retried_at)
                requests = sum(moment - window_s < other <= moment for other in sent_at)
                if count > bounds.retry_ratio * requests + bounds.retry_extra:
                    self._record_violation(f"{count} retries at {service} for {requests} requests")
                    break

    def _check_cancellations(self) -> None:
        """Check that replicas cancelled work soon after its caller had disconnected."""
        late, checked = [], 0
        for replica in self._all_replicas:
            arrived = {item.request: item.at for item in replica.arrivals}
            for run in replica.runs:
                disconnected_at = self._disconnected_at.get(run.request_id)
                events = replica.events if run.target.startswith(ENGINE_PATHS) else 1
                would_end_at = arrived[run.request_id] + events * replica.pace_ms / MS_PER_S
                if disconnected_at is None or disconnected_at + DISCONNECT_NOTICE_S > would_end_at:
                    continue
                checked += 1
                if run.completed:
                    late.append(run.request_id)
        self.result.counts["cancellations checked"] += checked
        if len(late) > max(3, checked // 4):
            self._record_violation(f"work went on for callers that had disconnected: {late[:5]}")

    def _check_load_bound(self) -> None:
        """Check that without faults few chats reached replicas loaded far above the mean."""
        engines = [r for r in self._all_replicas if self.world.services[r.name] == "lm"]
        arrivals = sorted(
            (item.at, replica.name, item.running)
            for replica in engines
            for item in replica.arrivals
        )
        factor = self.world.bounds.load_factor
        overloaded = checked = 0
        loads: dict[str, int] = {}
        for at, name, running in arrivals:
            loads[name] = running
            if not self._is_fault_free("", at - 2.0, at):
                continue
            checked += 1
            mean = sum(loads.values()) / len(loads)
            overloaded += running > factor * mean + 3
        self.result.counts["loads checked"] += checked
        if overloaded >= MIN_OVERLOADED and overloaded > MAX_OVERLOADED_RATIO * checked:
            self._record_violation(f"{overloaded} of {checked} chats reached an overloaded replica")

    def _check_convergence(self) -> None:
        """Check that after all faults every router runs and has the state of the store."""
        store = self.world.store
        listed = {key for key, row in store.tables["servers"].items() if row.data is not None}
        for router in self.world.routers:
            core = router.core
            if core is None:
                self._record_violation(f"{router.name} does not run at the end")
                continue
            if (
                core.cluster_state.plan is None
                or core.cluster_state.plan.version != self.world.plan_version
            ):
                self._record_violation(f"{router.name} does not have the newest configuration")
            known = set(core.cluster_state.upstreams)
            if known != listed:
                self._record_violation(
                    f"{router.name} and the store differ in the upstreams {sorted(known ^ listed)}"
                )
