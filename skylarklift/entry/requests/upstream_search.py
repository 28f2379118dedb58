"""Find the upstream for each attempt of a request, checking for a short time if there is none."""

from collections.abc import Iterator, Set
from contextlib import contextmanager
from dataclasses import dataclass, replace

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.model import Call, Route, Workspace
from skylarklift.entry.placement.choice import Choice, NoUpstream, WantedVersion
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.process_identity import identify_suspects
from skylarklift.entry.requests.retry_state import RetryState
from skylarklift.entry.versions.stream_version import StreamVersion
from skylarklift.errors import OutcomeUnknown, Refusal
from skylarklift.ids import Fingerprint, ReplicaId, ServiceId

# While no upstream can take a request, the request waits and the upstreams are checked at this
# interval, for up to the route's latency objective divided by `UPSTREAM_WAIT_DIVISOR`.
UPSTREAM_POLL_INTERVAL_MS = 20
UPSTREAM_WAIT_DIVISOR = 8
# A stream waits this long for the entries of replicas that may have restarted.
RESTART_WAIT_MS = 3000
RETRY_AFTER_MS = 500
RETRY_AFTER_JITTER_MS = 1000
MAX_LOGGED_PASSED_OVER = 4
# Reasons that a short wait does not change, so that the request is refused at once.
LASTING_REASONS = (
    NoUpstream.LIMITED,
    NoUpstream.SATURATED,
    NoUpstream.HELD_OFF,
    NoUpstream.OTHER_VERSION,
)


@dataclass(frozen=True, slots=True)
class SearchedRequest:
    """A request with its service, its priority and its deadline."""

    call: Call
    route: Route
    service: ServiceId
    workspace: Workspace | None
    priority: int
    deadline: Millis
    fingerprint: Fingerprint


class UpstreamSearch:
    """Find the upstream for each attempt of one request.

    `tried_replicas` are passed over until all have been tried.  `passed_over` names upstreams that
    would have been better but may get no request now, as REPLICA:REASON.
    """

    def __init__(
        self,
        core: Core,
        request: SearchedRequest,
        retry_state: RetryState,
        stream_version: StreamVersion,
    ):
        self._core = core
        self._request = request
        self._retry_state = retry_state
        self._stream_version = stream_version
        self.tried_replicas: list[ReplicaId] = []
        self.passed_over: list[str] = []
        # The version of the last choice, `None` if it was free.
        self._version: WantedVersion | None = None
        self._chosen_before = False

    async def choose(self) -> Choice:
        """Return an upstream; raise `Refusal` or `OutcomeUnknown` if there is none in time."""
        choice = await self._find()
        self._chosen_before = True
        self._record_passed_over(choice)
        return choice

    @contextmanager
    def watch(self, attempt: Attempt) -> Iterator[None]:
        """Take note of an attempt, which lasts as long as the block."""
        yield

    def log_fields(self) -> dict[str, int | list[str]]:
        """Return, for the log, the upstreams that were passed over."""
        return {"passed_over": self.passed_over} if self.passed_over else {}

    def retry_after_ms(self) -> int:
        """Return the Retry-After delay, with jitter so that callers retry at different times."""
        return RETRY_AFTER_MS + self._core.rng.randrange(RETRY_AFTER_JITTER_MS)

    async def _find(self) -> Choice:
        """Return an upstream; check for one at intervals for a short time."""
        core = self._core
        waited_from = core.clock.now()
        until = waited_from + self._request.route.objective_ms // UPSTREAM_WAIT_DIVISOR
        while True:
            found = self._look()
            if isinstance(found, Choice):
                return found
            if found is NoUpstream.MAYBE_RESTARTED:
                await identify_suspects(core, self._request.service, self._version.version)
                until = waited_from + RESTART_WAIT_MS
            if found in LASTING_REASONS or core.clock.now() >= min(until, self._request.deadline):
                return self._raise_no_upstream(found)
            await trio.sleep(UPSTREAM_POLL_INTERVAL_MS / MS_PER_SECOND)

    def _look(self) -> Choice | NoUpstream:
        """Return an upstream of the version of a stream, or why there is none."""
        wanted = self._wanted()
        if wanted is not None and wanted.begun:
            self._core.connection_pool.find_early_ends()
        found = self._choose_version(wanted)
        if found is NoUpstream.TRIED:
            # Every usable upstream has been tried; one of them may take the request now.
            self.tried_replicas.clear()
            return self._look()
        return found

    def _choose_version(self, wanted: WantedVersion | None) -> Choice | NoUpstream:
        """Return an upstream of the wanted version, or of another one if that may be."""
        self._version = wanted
        if wanted is None:
            return self._choose(None)
        service, rollouts = self._request.service, self._core.rollouts
        if wanted.begun and rollouts.is_withdrawn(service, wanted.version):
            return NoUpstream.OTHER_VERSION
        found = self._choose(wanted)
        if wanted.begun or isinstance(found, Choice):
            return found
        if wanted.others and rollouts.order(service) is None:
            # Only an order that may still come keeps the new version from requests.
            self._version = None
            return self._choose(None)
        is_free = self._stream_version.assigned is None and not wanted.others
        if is_free and not rollouts.is_completed(service):
            # The new version of a roll-out has no room; the other one serves as before.
            self._version = replace(wanted, others=True)
            found = self._choose(self._version)
        if found is NoUpstream.OTHER_VERSION:
            # All replicas of the assigned version leave; none will take the stream up either.
            self._version = None
            found = self._choose(None)
        return found

    def _wanted(self) -> WantedVersion | None:
        """Return the version that is to take the request; raise `OutcomeUnknown` without one."""
        service = self._request.service
        wanted = self._stream_version.wanted(service, again=self._chosen_before)
        if self._retry_state.forwarded and not (wanted is not None and wanted.begun):
            raise OutcomeUnknown("the upstream named no version at which the stream can go on")
        return wanted

    def _choose(
        self, version: WantedVersion | None, excluded: Set[ReplicaId] = frozenset()
    ) -> Choice | NoUpstream:
        """Return an upstream of a version, of any one if `None`, or why there is none.

        One that crashed as it ran the same request comes last: another one shows which is at fault.
        """
        crashed = self._core.suspects.replicas_crashed(self._request.fingerprint)
        if crashed:
            found = self._choose_among(version, excluded | crashed)
            if isinstance(found, Choice):
                return found
        return self._choose_among(version, excluded)

    def _choose_among(
        self, version: WantedVersion | None, excluded: Set[ReplicaId]
    ) -> Choice | NoUpstream:
        """Return an upstream that is not excluded and was not tried, or why there is none."""
        request = self._request
        tried = excluded.union(self.tried_replicas) if excluded else self.tried_replicas
        return self._core.chooser.choose(
            request.call, request.route, request.service, tried, request.workspace, version
        )

    def _record_passed_over(self, choice: Choice) -> None:
        """Count the upstreams that the choice passed over, and keep some for the log."""
        for item in choice.passed_over:
            self._core.metrics.increment("passed_over", item.reason.value)
        names = [f"{item.replica}:{item.reason.value}" for item in choice.passed_over]
        self.passed_over = [*self.passed_over, *names][:MAX_LOGGED_PASSED_OVER]

    def _raise_no_upstream(self, reason: NoUpstream) -> Choice:
        """Raise the error for a request that no upstream can take."""
        if not self._retry_state.cannot_have_run:
            raise OutcomeUnknown(f"the upstream failed, and no other one: {reason.value}")
        raise Refusal(
            reason.value,
            "no upstream can take it now",
            retry_after_ms=self._no_upstream_retry_ms(),
        )

    def _no_upstream_retry_ms(self) -> int:
        """Return the Retry-After delay, after the time for which all upstreams ask to wait."""
        return self._core.chooser.wait_ms(self._request.service) + self.retry_after_ms()
