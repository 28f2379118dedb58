"""The software version of one caller's stream: where it begins, and where it may go on."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.model import Call, Route, RouteKind
from skylarklift.entry.placement.affinity import affinity_key
from skylarklift.entry.placement.choice import WantedVersion
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.attempt_connection import ProcessCheck
from skylarklift.entry.requests.process_identity import Identity
from skylarklift.entry.state.cluster_state import STORE_OUTAGE_MS
from skylarklift.entry.state.rows import RowTable
from skylarklift.entry.state.upstream import is_restart
from skylarklift.entry.versions.resumptions import FoundOrigin, ResumedStream
from skylarklift.entry.versions.stream_deadlines import DEADLINE_MARGIN_MS
from skylarklift.entry.versions.stream_origins import MAX_KEPT_MS, DoubtedEnd, StreamOrigin
from skylarklift.errors import BadRequest, ProcessReplaced, Refusal, TransportError
from skylarklift.ids import RequestId, ServiceId, SoftwareVersion

MAX_RELEASES_WAIT_MS = 500
STATUS_CONFLICT = 409
# After this many replicas that may have restarted a new stream is also for one that does not say.
MAX_PROCESS_REFUSALS = 2


class StreamVersion:
    """The version at which a stream is to begin, or must go on once it has begun.

    `required` is the version of what the caller has of the stream, `assigned` the one that is to
    begin it; both stay `None` for other requests.  `origin` tells how the version of a stream that
    the caller resumes was found.
    """

    def __init__(self, core: Core, call: Call, route: Route):
        self._core = core
        self._call = call
        self._route = route
        self._resumable = route.kind is RouteKind.STREAM and route.resumable
        self._recorded: Attempt | None = None
        self._process_refusals = 0
        self.required: SoftwareVersion | None = None
        self.assigned: SoftwareVersion | None = None
        self.origin: FoundOrigin | None = None

    async def find(self, service: ServiceId) -> ServiceId:
        """Find the version, and return the service of the stream; raise `RequestError`."""
        core, call = self._core, self._call
        if not self._resumable:
            self._refuse_resumption()
            return service
        if call.resume_after is not None:
            return await self._find_origin(service)
        await self._wait_for_steps(service)
        releases, route, left_ms = core.releases, self._route, self._left_ms()
        releases.deadlines.record(service, call.deadline_ms)
        releases.spans.seen.record(service, route.name, left_ms, route.timeout_ms)
        nominal_age_ms = releases.spans.nominal_age_ms(service, route.name, left_ms)
        self.assigned = releases.assigned_version(service, affinity_key(call), nominal_age_ms)
        return service

    async def _wait_for_steps(self, service: ServiceId) -> None:
        """Wait for a moment while this router may not know the proportions that others use.

        One that has just started has not read the rows yet, or reads those of a copy until they are
        written again.
        """
        core = self._core
        if not core.releases.steps(service):
            await core.wait_for_releases(MAX_RELEASES_WAIT_MS)
        with trio.move_on_after(MAX_RELEASES_WAIT_MS / MS_PER_SECOND):
            while core.releases.may_lack_steps(service):
                await core.release_applied.wait()

    def _left_ms(self) -> int:
        """Return how long the caller will still wait, 0 if it names no time."""
        call = self._call
        if call.deadline_ms <= 0:
            return 0
        return max(1, call.deadline_ms - (self._core.clock.now() - call.received_at))

    def _refuse_resumption(self) -> None:
        """Refuse a stream that a caller resumes: what another run writes does not follow it."""
        if self._route.kind is RouteKind.STREAM and self._call.resume_after:
            raise BadRequest(
                "not_resumable", "streams of this route cannot be resumed", status=STATUS_CONFLICT
            )

    async def _find_origin(self, service: ServiceId) -> ServiceId:
        """Find where a stream that the caller resumes may go on; raise `Refusal` if nowhere."""
        core, call = self._core, self._call
        if not core.releases.steps(service):
            await core.wait_for_releases(MAX_RELEASES_WAIT_MS)
        await core.wait_for_judgement(MAX_RELEASES_WAIT_MS)
        request = call.resumes or call.request
        key = affinity_key(call) if call.parts else request
        max_age_ms = core.releases.max_age_ms(service, self._route.timeout_ms, call.deadline_ms)
        # The caller named the time that it had left before the request waited here.
        waited_ms = core.standstill.waiting_ms()
        nominal = core.releases.spans.nominal_start(
            service, self._route.name, self._left_ms(), waited_ms
        )
        stream = ResumedStream(request, service, key, max_age_ms + waited_ms, nominal)
        self.origin = await core.resumptions.find(stream)
        core.metrics.increment("resumptions", self.origin.source.value)
        self.required = self.origin.version
        if self.required is None:
            # Another router may know, and this one when it is in touch again.
            raise Refusal(
                self.origin.source.value,
                "which version began the stream is not known, so it cannot go on",
                retry_after_ms=self.origin.retry_after_ms,
            )
        targets = [target.service for target in self._route.targets]
        return self.origin.service if self.origin.service in targets else service

    def wanted(self, service: ServiceId, *, again: bool = False) -> WantedVersion | None:
        """Return the version that is to take the stream next, `None` if any may.

        `again` is whether an attempt has been made before.
        """
        rollouts = self._core.rollouts
        if self.required is not None:
            return WantedVersion(self.required, begun=True)
        if self.assigned is None:
            return rollouts.wanted(service, self._call.request, again=again)
        others = rollouts.is_withdrawn(service, self.assigned)
        return WantedVersion(self.assigned, begun=False, others=others)

    def process_check(self, service: ServiceId) -> ProcessCheck:
        """Return which process may get the next attempt.

        A new stream is served by another process than that of an entry only while no entry can
        come, as the store is away, and cannot be resumed then.  Nor can one at a process that says
        nothing, which gets streams only where no process of the service has ever answered.
        """
        if not self._resumable:
            return ProcessCheck.ANY
        if self.required is not None or self._process_refusals < MAX_PROCESS_REFUSALS:
            return ProcessCheck.SAME
        if self._is_store_away():
            return ProcessCheck.ASKED
        if self._core.answering_services.includes(service):
            return ProcessCheck.SAME_LATE
        return ProcessCheck.SAME_OR_SILENT

    def _is_store_away(self) -> bool:
        """Return whether no router can reach the store, as far as this one knows.

        One that does not hear all others may be cut off alone, and they would not learn from it
        which of its streams have no certain version.
        """
        core = self._core
        if core.cluster_state.age_ms(RowTable.UPSTREAMS) <= STORE_OUTAGE_MS:
            return False
        return not core.fleet.peers or core.fleet.hears_all()

    def record_failure(self, exc: TransportError) -> None:
        """Count an attempt that another process than that of its upstream's entry would get."""
        self._process_refusals += isinstance(exc, ProcessReplaced)

    def record_events(self, attempt: Attempt) -> None:
        """Record, before the first events of an attempt are sent, which version made them."""
        if not self._resumable:
            return
        version = self._version_of(attempt)
        if self._recorded is attempt and version == self.required:
            return
        if self._recorded is not attempt:
            self._count_begun()
        self._recorded = attempt
        self._record(version, run=self._call.request)

    def _count_begun(self) -> None:
        """Count a stream that begins here, or goes on here for a caller that resumes it."""
        if self.origin is not None:
            self._core.metrics.increment("resumptions_continued")
        elif self._recorded is None:
            self._core.metrics.increment("streams_begun")

    @property
    def doubted_end(self) -> DoubtedEnd | None:
        """Return where an earlier try of the caller was broken off in doubt."""
        return None if self.origin is None else self.origin.doubted_end

    def record_doubted_end(self, end: DoubtedEnd | None) -> None:
        """Record where the answer is broken off, as nothing confirms its end."""
        self.end()
        if self._resumable and end is not None:
            self._record(self.required, end)

    def end(self) -> None:
        """Note that the request is answered no longer."""
        self._core.resumptions.end_run(self._call.request)

    def _record(
        self,
        version: SoftwareVersion | None,
        doubted_end: DoubtedEnd | None = None,
        run: RequestId | None = None,
    ) -> None:
        """Record, here and at the backup routers, at which version the stream may go on."""
        self.required = version
        request = self._call.request
        if self.origin is not None and self._call.resumes is not None:
            request = self._call.resumes
        service = self._recorded.record.service if self._recorded else self.origin.service
        origin = StreamOrigin(request, service, version, doubted_end)
        self._core.resumptions.record_begun(origin, self._kept_ms(), run=run)

    def _kept_ms(self) -> int:
        """Return for how long the caller may still resume the stream."""
        call = self._call
        if call.deadline_ms <= 0:
            return MAX_KEPT_MS
        return call.received_at + call.deadline_ms + DEADLINE_MARGIN_MS - self._core.clock.now()

    def _version_of(self, attempt: Attempt) -> SoftwareVersion | None:
        """Return the version whose events an attempt brings, `None` if that is not certain."""
        if attempt.identity is Identity.SAME:
            return attempt.record.software
        if attempt.identity is Identity.UNKNOWN:
            return self._version_by_entry(attempt)
        return None

    def _version_by_entry(self, attempt: Attempt) -> SoftwareVersion | None:
        """Return the version of an upstream that does not say when it started, by its entries."""
        core, record = self._core, attempt.record
        current = core.cluster_state.upstreams.get(record.replica, attempt.choice.upstream)
        if is_restart(record, current.record):
            # Its events may be from before or after the restart.
            return record.software if record.software == current.record.software else None
        if self._recorded is attempt and self.required is not None:
            return self.required
        # The entry of a replica that may have restarted may be one of before.
        doubted = core.chooser.software.may_have_other_software(current)
        return None if doubted else record.software

    def log_fields(self) -> dict[str, str | int | None]:
        """Return, for the log, the version of a stream and how a resumption's was found."""
        fields: dict[str, str | int | None] = {}
        if self.required is not None:
            fields["version"] = self.required
        if self.origin is not None:
            fields["resumes"] = self._call.resumes
            fields["resumption"] = self.origin.source.value
            fields["routers_asked"] = self.origin.asked
            fields["releases_age_ms"] = self.origin.releases_age_ms
            fields["stream_max_age_ms"] = self.origin.max_age_ms
            fields["nominal_age_ms"] = self.origin.nominal_age_ms
            fields["apart_ms"] = self.origin.apart_ms
            fields["release_steps"] = self.origin.steps
        return fields
