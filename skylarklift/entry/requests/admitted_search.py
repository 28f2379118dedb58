"""Find an upstream with room for each attempt of a request; wait in a queue, or refuse."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.admission.decision import Decision, Demand, RefusalReason, Room, decide
from skylarklift.entry.admission.queue import QueuedRequest
from skylarklift.entry.admission.refusals import retry_after_ms
from skylarklift.entry.model import RouteKind
from skylarklift.entry.placement.candidates import allowed_regions
from skylarklift.entry.placement.choice import Choice, NoUpstream
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.process_identity import identify_suspects
from skylarklift.entry.requests.retry_state import Outcome
from skylarklift.entry.requests.upstream_search import (
    LASTING_REASONS,
    RESTART_WAIT_MS,
    UPSTREAM_POLL_INTERVAL_MS,
    UPSTREAM_WAIT_DIVISOR,
    UpstreamSearch,
)
from skylarklift.errors import Refusal
from skylarklift.ids import WorkspaceId

# Reasons that mean that there is no room now.
NO_ROOM_REASONS = (
    NoUpstream.COLD,
    NoUpstream.LIMITED,
    NoUpstream.FULL,
    NoUpstream.SATURATED,
    NoUpstream.HELD_OFF,
)
# A stream is started by this part of its objective; the rest is for reading its prompt.
STREAM_START_RATIO = 0.75
# At most this part of a request's time is kept free for its work.
MAX_WORK_RATIO = 0.5
# The request whose turn it is checks at this interval for what no event tells: limits that refill
# and reports that expire.
RECHECK_INTERVAL_MS = 50
# A request with this many more tokens counts as one more request of its workspace.
TOKENS_PER_REQUEST = 1000


class AdmittedSearch(UpstreamSearch):
    """Find an upstream with room; a request waits for one in the queue of its service.

    `held_ms` is how long the request has waited in the queue.
    """

    held_ms = 0

    @contextmanager
    def watch(self, attempt: Attempt) -> Iterator[None]:
        """Count and measure an attempt, and let the waiting requests know that it has ended."""
        core, service = self._core, self._request.service
        replica, began_at = attempt.record.replica, core.clock.now()
        core.gate.count(service, replica, 1)
        try:
            yield
            # One that its caller abandons says nothing of how long requests take.
            if attempt.outcome is Outcome.ANSWERED:
                core.gate.rates.record_end(service, core.clock.now() - began_at)
        finally:
            core.gate.count(service, replica, -1)
            core.gate.wake(service)

    def retry_after_ms(self, drain_per_s: float | None = None) -> int:
        """Return when the caller is to come back, and remember the request until then."""
        core, request = self._core, self._request
        wait_ms = retry_after_ms(
            len(core.gate.queue(request.service)),
            drain_per_s or core.gate.drain_per_s(request.service),
            request.deadline - core.clock.now(),
            core.rng,
            core.chooser.wait_ms(request.service),
        )
        core.gate.refused.record(request.fingerprint, wait_ms)
        return wait_ms

    def _no_upstream_retry_ms(self) -> int:
        """Return the Retry-After delay, which covers the time for which upstreams ask to wait."""
        return self.retry_after_ms()

    def log_fields(self) -> dict[str, int | list[str]]:
        """Return, for the log, the upstreams passed over and how long the request was held."""
        held = {"held_ms": self.held_ms} if self.held_ms else {}
        return {**super().log_fields(), **held}

    async def _find(self) -> Choice:
        """Return an upstream with room, or any one if an attempt may have run and time is up."""
        gate, service = self._core.gate, self._request.service
        queued = self._make_queued()
        queue = gate.queue(service)
        before = queue.count_before(queued)
        if queue.is_full():
            room = Room(free=False, taken=0, places=0, before=before, queue_full=True)
            return self._apply(queued, None, room, first=False)
        # Only a request that has just come is refused for those before it.
        drain_per_s = gate.drain_per_s(service) if before else None
        gate.push(service, queued)
        choice = None
        try:
            choice = await self._wait_for_room(queued, before, drain_per_s)
            # The work decides whose turn it is next, so it counts before the next one is woken.
            tokens = sum(part.tokens for part in self._request.call.parts)
            gate.work.record(queued.workspace, 1 + tokens / TOKENS_PER_REQUEST)
        finally:
            self.held_ms += self._core.clock.now() - queued.queued_at
            gate.leave(service, queued, sent=choice is not None)
        if self._core.clock.now() > queued.queued_at:
            self._core.metrics.increment("admitted_after_wait", service)
        return choice

    async def _wait_for_room(
        self, queued: QueuedRequest, before: int, drain_per_s: float | None
    ) -> Choice:
        """Wait in the queue until an upstream has room."""
        core, service = self._core, self._request.service
        queue = core.gate.queue(service)
        has_waited = False
        unavailable_since: Millis | None = None
        while True:
            queued.woken = trio.Event()
            turn = queue.first(core.clock.now())
            if has_waited and turn is not None and turn is not queued:
                # The turn may have moved on since this request was woken.
                turn.wake()
            first = turn is queued or not queued.waiting
            found = self._look() if first else None
            if isinstance(found, NoUpstream) and found not in NO_ROOM_REASONS:
                # Room would not help this request, so it does not hold up those behind it.
                core.gate.leave(service, queued)
                unavailable_since = unavailable_since or core.clock.now()
                await self._wait_until_available(found, unavailable_since)
                continue
            found, room = self._find_room(queued, found, 0 if first else before, drain_per_s)
            choice = self._apply(queued, found, room, first=first)
            if choice is not None:
                return choice
            is_constrained = self._is_narrowed() or bool(self.tried_replicas)
            if first and is_constrained and self._has_room_for_others(queued):
                core.gate.leave(service, queued)
            await self._wait(queued, checks=first)
            has_waited, drain_per_s = True, None

    async def _wait_until_available(self, reason: NoUpstream, since: Millis) -> None:
        """Wait a moment for upstreams that room does not bring back; raise an error in the end."""
        core, request = self._core, self._request
        until = since + request.route.objective_ms // UPSTREAM_WAIT_DIVISOR
        if reason is NoUpstream.MAYBE_RESTARTED:
            await identify_suspects(core, request.service, self._version.version)
            until = since + RESTART_WAIT_MS
        if reason in LASTING_REASONS or core.clock.now() >= min(until, request.deadline):
            self._raise_no_upstream(reason)
        await trio.sleep(UPSTREAM_POLL_INTERVAL_MS / MS_PER_SECOND)

    def _find_room(
        self,
        queued: QueuedRequest,
        found: Choice | NoUpstream | None,
        before: int,
        drain_per_s: float | None,
    ) -> tuple[Choice | None, Room]:
        """Return the best upstream, one with room if there is any, and the room of the service."""
        if not isinstance(found, Choice):
            return None, Room(free=False, taken=0, places=0, before=before, drain_per_s=drain_per_s)
        gate, service = self._core.gate, self._request.service
        if found.load < found.upstream.record.slots and not gate.hears_no_loads():
            # With a free slot there, the room of the whole service does not matter.
            return found, Room(free=True, taken=0, places=0, before=before)
        room, service_ms = gate.room(service), gate.rates.service_ms(service)
        left_ms = self._left_ms(queued)

        def has_room(choice: Choice) -> bool:
            replica = choice.upstream.record.replica
            return room.has_room(replica, choice.load, left_ms, service_ms)

        free = has_room(found)
        if not free:
            other = self._choose(self._version, room.full(left_ms, service_ms))
            if isinstance(other, Choice) and has_room(other):
                found, free = other, True
        # What is free elsewhere does not matter for a request that may use some upstreams only.
        places = 0 if self._is_narrowed() else room.slots
        return found, Room(free, room.taken, places, before, drain_per_s)

    def _apply(
        self, queued: QueuedRequest, found: Choice | None, room: Room, *, first: bool
    ) -> Choice | None:
        """Return the choice of an admitted request, `None` if it waits; raise `Refusal`."""
        may_have_run = not self._retry_state.cannot_have_run
        expired = self._core.clock.now() >= self._request.deadline
        demand = Demand(self._left_ms(queued), first, queued.ahead, may_have_run, expired)
        verdict = decide(demand, room)
        if verdict.decision is Decision.REFUSE:
            self._refuse(queued, verdict.reason, room)
        if verdict.decision is Decision.WAIT:
            return None
        if found is not None:
            return found
        # An attempt may have run, so the request goes to an upstream without room.
        late = self._look()
        return late if isinstance(late, Choice) else self._raise_no_upstream(late)

    def _refuse(self, queued: QueuedRequest, reason: RefusalReason, room: Room) -> None:
        """Raise `Refusal` with a useful Retry-After, and log it."""
        core, request = self._core, self._request
        gate, now = core.gate, core.clock.now()
        wait_ms = self.retry_after_ms(room.drain_per_s)
        core.metrics.increment("admission_refused", reason.value)
        core.event_log.write(
            "admission_refused",
            id=request.call.request,
            service=request.service,
            reason=reason.value,
            held_ms=now - queued.queued_at,
            waiting=len(gate.queue(request.service)),
            retry_after_ms=wait_ms,
        )
        raise Refusal(reason.value, "no upstream can start it in time", retry_after_ms=wait_ms)

    async def _wait(self, queued: QueuedRequest, *, checks: bool) -> None:
        """Wait until the request is woken, or is to check or to be refused."""
        wait_ms = max(1, self._left_ms(queued))
        if checks:
            wait_ms = min(wait_ms, RECHECK_INTERVAL_MS)
        with trio.move_on_after(wait_ms / MS_PER_SECOND):
            await queued.woken.wait()

    def _make_queued(self) -> QueuedRequest:
        """Return the request as it waits in the queue."""
        core, request, state = self._core, self._request, self._retry_state
        retried = state.attempts > 0
        return QueuedRequest(
            request.workspace.name if request.workspace else WorkspaceId(""),
            request.priority,
            core.clock.now(),
            self._latest_start(retried=retried),
            ahead=retried or request.call.resume_after is not None,
            returned=not retried and core.gate.refused.recognize(request.fingerprint),
        )

    def _latest_start(self, *, retried: bool) -> Millis:
        """Return until when the request can start in time.

        A stream is to begin within its objective, unless an attempt of it has failed already;
        other requests are to end before their deadline.
        """
        request, received_at = self._request, self._request.call.received_at
        span_ms = request.deadline - received_at
        service_ms = self._core.gate.rates.service_ms(request.service) or 0
        by_deadline = request.deadline - min(service_ms, MAX_WORK_RATIO * span_ms)
        if request.route.kind is not RouteKind.STREAM or retried:
            return Millis(int(by_deadline))
        by_objective = received_at + STREAM_START_RATIO * request.route.objective_ms
        return Millis(int(min(by_objective, request.deadline)))

    def _left_ms(self, queued: QueuedRequest) -> int:
        """Return how long the request may still wait."""
        return queued.latest_start - self._core.clock.now()

    def _is_narrowed(self) -> bool:
        """Return whether its version or its regions leave the request some upstreams only."""
        if allowed_regions(self._request.route, self._request.workspace) is not None:
            return True
        wanted = self._version
        if wanted is None or wanted.others:
            return False
        versions = self._core.cluster_state.services.versions(self._request.service)
        return wanted.begun or versions != {wanted.version}

    def _has_room_for_others(self, queued: QueuedRequest) -> bool:
        """Return whether a request that may use any upstream would find one with room."""
        core, request = self._core, self._request
        service_ms = core.gate.rates.service_ms(request.service)
        full = core.gate.room(request.service).full(self._left_ms(queued), service_ms)
        route = replace(request.route, allowed_regions=())
        return isinstance(core.chooser.choose(request.call, route, request.service, full), Choice)
