"""Find which software version began a stream that a client resumes, and share who began which.

What is known exactly goes first: the memory of this router, then that of the others, also where
this router knows of one version only.  Else the stream may go on at the version to which its prompt
was assigned all the time.
"""

from dataclasses import dataclass, field, replace
from enum import Enum

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.gossip.fleet import Fleet, Peer
from skylarklift.entry.gossip.silences import SILENCE_TTL_MS
from skylarklift.entry.model import Endpoint
from skylarklift.entry.versions.backup_routers import choose_backups, first_nodes
from skylarklift.entry.versions.nominal_starts import NominalStart
from skylarklift.entry.versions.nominal_steps import TOLERANCE_MS
from skylarklift.entry.versions.origin_messages import (
    MAX_ORIGINS,
    OriginMessage,
    split_doubted_ends,
)
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.running_streams import RunningStreams
from skylarklift.entry.versions.stream_origins import (
    MAX_KEPT_MS,
    DoubtedEnd,
    StreamOrigin,
    StreamOrigins,
    lost_origin,
)
from skylarklift.ids import RequestId, ServiceId, SoftwareVersion

# A router asks some more than the backup routers, as some of these may be gone, and views differ.
ASKED_ROUTERS = 8
ANSWER_TIMEOUT_MS = 120
# A stream that no router remembers waits for rows that were confirmed after it began: a router
# that reads the store confirms them each second.
MAX_ROWS_WAIT_MS = 1500
ROWS_POLL_MS = 50
# What is resumed began this long ago at least: its first event went out, and its caller came back.
MIN_RESUMED_AGE_MS = 100
MAX_OUTGOING = 1000
OUTDATED_RETRY_AFTER_MS = 300
# A row follows the end of the time for which a history may be known again by this.
WRITE_DELAY_MS = 400
# Routers that were heard within this time are asked and informed.
BACKUP_TTL_MS = 30_000


class OriginSource(Enum):
    """From where a router knows which version began a stream, or why it does not."""

    OWN = "known_here"
    PEER = "known_to_another_router"
    ASSIGNED = "assigned"
    UNNAMED = "replica_named_no_version"
    AMBIGUOUS = "version_ambiguous"
    UNKNOWN = "version_unknown"
    OUTDATED = "releases_outdated"
    LOST = "release_history_lost"
    DROPPED = "origins_dropped"


@dataclass(frozen=True, slots=True)
class ResumedStream:
    """A stream that a caller resumes: the request that began it, and what its prompt shares.

    It began at most `max_age_ms` ago and, if its caller did not wait here, at least `min_age_ms`
    ago.  Its version is that of its nominal start, if that is known.  With `is_unanswered` a router
    that was asked, and may have begun it, has not answered.
    """

    request: RequestId
    service: ServiceId
    key: str
    max_age_ms: int
    nominal: NominalStart | None = None
    min_age_ms: int = MIN_RESUMED_AGE_MS
    is_unanswered: bool = False

    def aged(self, elapsed_ms: int) -> "ResumedStream":
        """Return this stream as it is `elapsed_ms` later."""
        nominal = self.nominal
        if nominal is not None:
            ages = (nominal.age_ms + elapsed_ms, nominal.oldest_ms + elapsed_ms)
            nominal = NominalStart(*ages)
        return replace(
            self,
            max_age_ms=self.max_age_ms + elapsed_ms,
            min_age_ms=self.min_age_ms + elapsed_ms,
            nominal=nominal,
        )

    def latest_ms(self) -> int:
        """Return how long ago the proportions held at the latest that decide.

        A version that had left when the stream began was replaced, by the newest ones of then.
        """
        if self.nominal is None or self.is_unanswered:
            return self.min_age_ms
        return self.nominal.age_ms - TOLERANCE_MS

    def oldest_ms(self) -> int:
        """Return how long ago the proportions held at the earliest that decide."""
        return self.max_age_ms if self.nominal is None else self.nominal.oldest_ms


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The version at which a stream may go on, `None` if it may not, and the source of that.

    `asked` is how many other routers were asked, and `releases_age_ms` how old the rows on
    software versions were, `None` if that is not known.  `doubted_end` is that of the origin.
    `retry_after_ms` is when it may be known, if it is not.
    `max_age_ms` is how long ago the stream began at most, `nominal_age_ms` how long ago nominally,
    `None` if that is not known, and `steps` how many proportions of that time were known.
    `apart_ms` is since when a router may have used old proportions, 0 if none has.
    """

    source: OriginSource
    service: ServiceId
    version: SoftwareVersion | None = None
    asked: int = 0
    releases_age_ms: int | None = None
    doubted_end: DoubtedEnd | None = None
    max_age_ms: int = 0
    steps: int = 0
    retry_after_ms: int | None = None
    nominal_age_ms: int | None = None
    apart_ms: int = 0


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to another router."""

    address: Endpoint
    message: OriginMessage


@dataclass(slots=True)
class Question:
    """How many other routers were asked about a stream, and how many have yet to answer.

    `dropped` is true once one of them may have dropped the origin.
    """

    asked: int
    open_answers: int
    dropped: bool = False
    answered: trio.Event = field(default_factory=trio.Event)

    def is_answered(self) -> bool:
        """Return whether all have answered."""
        return self.open_answers <= 0

    def count_unknown(self) -> None:
        """Note that one of them does not know the stream."""
        self.open_answers -= 1
        if self.is_answered():
            self.answered.set()


class Resumptions:
    """The origins of streams: record, share and look them up, answer others."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        origins: StreamOrigins,
        releases: Releases,
    ):
        self._clock = clock
        self._fleet = fleet
        self._origins = origins
        self._releases = releases
        self._running = RunningStreams(clock)
        self._heard: frozenset[str] = frozenset()
        self._questions: dict[RequestId, Question] = {}
        self._sender, self.outgoing = trio.open_memory_channel(MAX_OUTGOING)

    def record_begun(
        self,
        origin: StreamOrigin,
        kept_ms: int = MAX_KEPT_MS,
        *,
        run: RequestId | None = None,
    ) -> None:
        """Record which version sent the first event of a stream, or goes on with it.

        Send it to backup routers, also if one version alone serves: another one may join before
        the stream is resumed.  A router may just have been replaced by one of an earlier release.
        The client may come back within `kept_ms`.  `run` is the request that the stream answers
        while it runs.
        """
        peers = self._heard_peers()
        backups = choose_backups(origin.request, self._heard)
        if run is not None:
            self._running.record(run, origin, backups)
        self._record(origin, kept_ms, self._fleet.own_node)
        messages = split_doubted_ends(OriginMessage(self._fleet.own_node, origins=(origin,)))
        for node in backups.nodes:
            for message in messages:
                self._send(peers[node].address, message)

    def end_run(self, run: RequestId) -> None:
        """Note that a request is answered by a stream no longer."""
        self._running.end(run)

    def renew_running(self) -> None:
        """Record the origins of the streams that run here again, here and at backup routers."""
        renewed: dict[str, list[StreamOrigin]] = {}
        peers = self._heard_peers()
        for stream in self._running.take_due(self._heard):
            self._record(stream.origin, 0, self._fleet.own_node)
            for node in stream.backups.nodes:
                renewed.setdefault(node, []).append(stream.origin)
        for node, origins in renewed.items():
            message = OriginMessage(self._fleet.own_node, origins=tuple(origins[:MAX_ORIGINS]))
            self._send(peers[node].address, message)

    def _record(self, origin: StreamOrigin, kept_ms: int, node: str) -> None:
        """Record an origin that a router reported."""
        derivable = self._releases.begins_only_at(origin.service, origin.version)
        self._origins.record(origin, kept_ms, node=node, derivable=derivable)

    def _learn(self, origin: StreamOrigin, node: str) -> None:
        """Record an origin that another router reports.

        What one router could not find the version of, no other one can.  A client may have left a
        router that still takes its stream for running.
        """
        known = self._origins.find_recorded(origin.request)
        if known is not None and known.origin.version is None and known.node != node:
            return
        longest = self._releases.deadlines.longest(origin.service)
        self._record(origin, MAX_KEPT_MS if longest is None else longest.span_ms, node)

    async def find(self, stream: ResumedStream) -> FoundOrigin:
        """Return where a stream that a caller resumes may go on."""
        origin, asked = self._origins.find(stream.request), 0
        source, dropped, needs_rows = OriginSource.OWN, self._origins.lacks_some(), False
        if origin is None:
            asked_at = self._clock.now()
            question = await self._ask(stream.request)
            asked, dropped = question.asked, dropped or question.dropped
            stream = replace(stream, is_unanswered=not question.is_answered())
            needs_rows = stream.nominal is not None or stream.is_unanswered
            if needs_rows and not dropped:
                await self._wait_for_rows(stream, asked_at)
            stream = stream.aged(self._clock.now() - asked_at)
            origin, source = self._origins.find(stream.request), OriginSource.PEER
        if origin is None and dropped:
            found = FoundOrigin(OriginSource.DROPPED, stream.service)
        elif origin is None:
            found = self._derive(stream, needs_rows=needs_rows)
        else:
            source = OriginSource.UNNAMED if origin.version is None else source
            found = FoundOrigin(
                source, origin.service, origin.version, doubted_end=origin.doubted_end
            )
        return replace(
            found,
            asked=asked,
            releases_age_ms=self._releases.age_ms(),
            max_age_ms=stream.max_age_ms,
            nominal_age_ms=None if stream.nominal is None else stream.nominal.age_ms,
            apart_ms=self._fleet.longest_apart_ms(stream.oldest_ms()),
            steps=self._releases.count_steps(stream.service, stream.max_age_ms),
        )

    async def _wait_for_rows(self, stream: ResumedStream, asked_at: Millis) -> None:
        """Wait until the rows say all about a stream, a router tells it late, or they are outdated.

        A row that was written since they were confirmed may have decided about it.
        """
        for _ in range(MAX_ROWS_WAIT_MS // ROWS_POLL_MS):
            if not self._may_learn_more(stream.aged(self._clock.now() - asked_at)):
                return
            await trio.sleep(ROWS_POLL_MS / MS_PER_SECOND)

    def _may_learn_more(self, stream: ResumedStream) -> bool:
        """Return whether nothing is known of a stream that began after the rows were confirmed."""
        if self._origins.find(stream.request) is not None:
            return False
        return self._knows_releases() and not self._are_confirmed_since(stream)

    def _are_confirmed_since(self, stream: ResumedStream) -> bool:
        """Return whether no row can have been written that decided about a stream."""
        age_ms = self._releases.age_ms()
        if self._is_unchangeable():
            return True
        return age_ms is not None and age_ms <= stream.latest_ms()

    def _is_unchangeable(self) -> bool:
        """Return whether all other routers are heard, and none of them reads the store."""
        return self._fleet.hears_all() and not self._fleet.any_peer_reads_store()

    def _knows_releases(self) -> bool:
        """Return whether the rows on software versions are the newest ones.

        While no router reads the store nobody changes them, so it is enough to hear all others.
        """
        return self._releases.are_current() or self._is_unchangeable()

    def _derive(self, stream: ResumedStream, *, needs_rows: bool) -> FoundOrigin:
        """Return where a stream may go on that no router remembers, by the proportions.

        With `needs_rows` another router may have begun it by a row that is not known here.
        """
        is_covered = not needs_rows or self._are_confirmed_since(stream)
        if not self._releases.are_judged or not self._knows_releases() or not is_covered:
            return FoundOrigin(
                OriginSource.OUTDATED, stream.service, retry_after_ms=OUTDATED_RETRY_AFTER_MS
            )
        oldest_ms = stream.oldest_ms()
        if oldest_ms > SILENCE_TTL_MS:
            return FoundOrigin(OriginSource.LOST, stream.service)
        versions = self._find_versions(stream, self._fleet.longest_apart_ms(oldest_ms))
        if versions is None:
            left_ms = self._releases.settles_in_ms(stream.service)
            retry_after_ms = None if left_ms is None else left_ms + WRITE_DELAY_MS
            return FoundOrigin(OriginSource.LOST, stream.service, retry_after_ms=retry_after_ms)
        if len(versions) == 1:
            return FoundOrigin(OriginSource.ASSIGNED, stream.service, next(iter(versions)))
        source = OriginSource.AMBIGUOUS if versions else OriginSource.UNKNOWN
        return FoundOrigin(source, stream.service)

    def _find_versions(
        self, stream: ResumedStream, apart_ms: int
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions at which a stream can have begun, `None` if that is not known.

        A router may have been apart since `apart_ms` ago.
        """
        releases, service, key = self._releases, stream.service, stream.key
        if stream.nominal is not None:
            return releases.began_nominally(service, key, stream.nominal, apart_ms)
        return releases.began_at(service, key, stream.max_age_ms, apart_ms)

    async def _ask(self, request: RequestId) -> Question:
        """Ask other routers about a stream, and wait until one knows it or all have answered.

        Return the question, as it was answered.
        """
        peers = self._heard_peers()
        asked = first_nodes(request, peers, ASKED_ROUTERS)
        if not asked:
            return Question(0, 0)
        question = self._questions.setdefault(request, Question(len(asked), len(asked)))
        for node in asked:
            self._send(peers[node].address, OriginMessage(self._fleet.own_node, asked=(request,)))
        with trio.move_on_after(ANSWER_TIMEOUT_MS / MS_PER_SECOND):
            await question.answered.wait()
        self._questions.pop(request, None)
        return question

    def apply_message(self, message: OriginMessage, sender: Endpoint) -> None:
        """Record what another router reports, and answer what it asks."""
        for origin in message.origins:
            question = self._questions.get(origin.request)
            if not origin.is_lost:
                self._learn(origin, message.node)
            if question is not None and origin.is_lost:
                question.dropped = True
                question.count_unknown()
            elif question is not None:
                question.answered.set()
        for request in message.unknown:
            question = self._questions.get(request)
            if question is not None:
                question.count_unknown()
        if message.asked:
            found = [self._origins.find(request) for request in message.asked]
            known = tuple(origin for origin in found if origin is not None)
            names = {origin.request for origin in known}
            unknown = tuple(request for request in message.asked if request not in names)
            if self._origins.lacks_some():
                known, unknown = (*known, *map(lost_origin, unknown)), ()
            answer = OriginMessage(self._fleet.own_node, origins=known, unknown=unknown)
            self._answer(message.node, sender, answer)

    def _answer(self, node: str, address: Endpoint, answer: OriginMessage) -> None:
        """Answer a router; it goes on with the first message that names the stream."""
        peer = self._fleet.peers.get(node)
        heard = peer.last_message if peer is not None else None
        is_read = heard is not None and heard.knows_doubted_ends
        for message in (answer,) if is_read else split_doubted_ends(answer):
            self._send(address, message)

    def _heard_peers(self) -> dict[str, Peer]:
        """Return the routers heard lately."""
        peers = {peer.node: peer for peer in self._fleet.peers_heard_within(BACKUP_TTL_MS)}
        if peers.keys() != self._heard:
            self._heard = frozenset(peers)
        return peers

    def _send(self, address: Endpoint, message: OriginMessage) -> None:
        """Let the task that owns the socket send a message; drop it if too many wait."""
        try:
            self._sender.send_nowait(Outgoing(address, message))
        except trio.WouldBlock:
            return
