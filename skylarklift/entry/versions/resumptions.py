"""Find which software version began a stream that a client resumes, and share who began which.

What is known exactly goes first: the memory of this router, then that of the others, also where
this router knows of one version only.  Else the stream may go on at the version to which its prompt
was assigned all the time.
"""

from dataclasses import dataclass, field, replace
from enum import Enum

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.gossip.fleet import Fleet, Peer
from skylarklift.entry.model import Endpoint
from skylarklift.entry.versions.origin_messages import OriginMessage, split_doubted_ends
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.stream_origins import DoubtedEnd, StreamOrigin, StreamOrigins
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import RequestId, ServiceId, SoftwareVersion

# This many routers keep the origin of a stream besides the one that began it.
BACKUP_ROUTERS = 3
# A router asks some more than the backup routers, as some of these may be gone, and views differ.
ASKED_ROUTERS = 8
ANSWER_TIMEOUT_MS = 120
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


@dataclass(frozen=True, slots=True)
class ResumedStream:
    """A stream that a caller resumes: the request that began it, and what its prompt shares.

    It began at most `max_age_ms` ago.
    """

    request: RequestId
    service: ServiceId
    key: str
    max_age_ms: int


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The version at which a stream may go on, `None` if it may not, and the source of that.

    `asked` is how many other routers were asked, and `releases_age_ms` how old the rows on
    software versions were, `None` if that is not known.  `doubted_end` is that of the origin.
    `retry_after_ms` is when it may be known, if it is not.
    `max_age_ms` is how long ago the stream began at most, and `steps` how many proportions of
    that time were known.
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


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to another router."""

    address: Endpoint
    message: OriginMessage


@dataclass(slots=True)
class Question:
    """What this router asked the others about a stream, and how many have yet to answer."""

    open_answers: int
    answered: trio.Event = field(default_factory=trio.Event)


class Resumptions:
    """The origins of streams: record, share and look them up, answer others."""

    def __init__(
        self,
        fleet: Fleet,
        origins: StreamOrigins,
        releases: Releases,
    ):
        self._fleet = fleet
        self._origins = origins
        self._releases = releases
        self._questions: dict[RequestId, Question] = {}
        self._sender, self.outgoing = trio.open_memory_channel(MAX_OUTGOING)

    def record_begun(self, origin: StreamOrigin) -> None:
        """Record which version sent the first event of a stream, or goes on with it.

        Send it to backup routers, also if one version alone serves: another one may join before
        the stream is resumed.  A router may just have been replaced by one of an earlier release.
        """
        self._origins.record(origin)
        messages = split_doubted_ends(OriginMessage(self._fleet.own_node, origins=(origin,)))
        for peer in self._others(origin.request, BACKUP_ROUTERS):
            for message in messages:
                self._send(peer.address, message)

    async def find(self, stream: ResumedStream) -> FoundOrigin:
        """Return where a stream that a caller resumes may go on."""
        origin, asked = self._origins.find(stream.request), 0
        source = OriginSource.OWN
        if origin is None:
            asked = await self._ask(stream.request)
            origin, source = self._origins.find(stream.request), OriginSource.PEER
        if origin is None:
            found = self._derive(stream)
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
            steps=self._releases.count_steps(stream.service, stream.max_age_ms),
        )

    def _knows_releases(self) -> bool:
        """Return whether the rows on software versions are the newest ones.

        While no router reads the store nobody changes them, so it is enough to hear all others.
        """
        if self._releases.are_current():
            return True
        return self._fleet.hears_all() and not self._fleet.any_peer_reads_store()

    def _derive(self, stream: ResumedStream) -> FoundOrigin:
        """Return where a stream may go on that no router remembers, by the proportions."""
        if not self._knows_releases():
            return FoundOrigin(
                OriginSource.OUTDATED, stream.service, retry_after_ms=OUTDATED_RETRY_AFTER_MS
            )
        versions = self._releases.began_at(
            stream.service, stream.key, stream.max_age_ms, self._fleet.longest_silence_ms()
        )
        if versions is None:
            left_ms = self._releases.settles_in_ms(stream.service)
            retry_after_ms = None if left_ms is None else left_ms + WRITE_DELAY_MS
            return FoundOrigin(OriginSource.LOST, stream.service, retry_after_ms=retry_after_ms)
        if len(versions) == 1:
            return FoundOrigin(OriginSource.ASSIGNED, stream.service, next(iter(versions)))
        source = OriginSource.AMBIGUOUS if versions else OriginSource.UNKNOWN
        return FoundOrigin(source, stream.service)

    async def _ask(self, request: RequestId) -> int:
        """Ask other routers about a stream, and wait until one knows it or all have answered.

        Return how many were asked.
        """
        peers = self._others(request, ASKED_ROUTERS)
        if not peers:
            return 0
        question = self._questions.setdefault(request, Question(len(peers)))
        for peer in peers:
            self._send(peer.address, OriginMessage(self._fleet.own_node, asked=(request,)))
        with trio.move_on_after(ANSWER_TIMEOUT_MS / MS_PER_SECOND):
            await question.answered.wait()
        self._questions.pop(request, None)
        return len(peers)

    def apply_message(self, message: OriginMessage, sender: Endpoint) -> None:
        """Record what another router tells, and answer what it asks."""
        for origin in message.origins:
            self._origins.record(origin)
            question = self._questions.get(origin.request)
            if question is not None:
                question.answered.set()
        for request in message.unknown:
            question = self._questions.get(request)
            if question is not None:
                question.open_answers -= 1
                if question.open_answers <= 0:
                    question.answered.set()
        if message.asked:
            found = [self._origins.find(request) for request in message.asked]
            known = tuple(origin for origin in found if origin is not None)
            names = {origin.request for origin in known}
            unknown = tuple(request for request in message.asked if request not in names)
            answer = OriginMessage(self._fleet.own_node, origins=known, unknown=unknown)
            self._answer(message.node, sender, answer)

    def _answer(self, node: str, address: Endpoint, answer: OriginMessage) -> None:
        """Answer a router; it goes on with the first message that names the stream."""
        peer = self._fleet.peers.get(node)
        heard = peer.last_message if peer is not None else None
        is_read = heard is not None and heard.knows_doubted_ends
        for message in (answer,) if is_read else split_doubted_ends(answer):
            self._send(address, message)

    def _others(self, request: RequestId, count: int) -> list[Peer]:
        """Return the first routers in the order of a stream, among those heard lately."""
        peers = self._fleet.peers_heard_within(BACKUP_TTL_MS)
        if len(peers) <= count:
            return peers
        peers.sort(key=lambda peer: rendezvous_weight(request, peer.node), reverse=True)
        return peers[:count]

    def _send(self, address: Endpoint, message: OriginMessage) -> None:
        """Let the task that owns the socket send a message; drop it if too many wait."""
        try:
            self._sender.send_nowait(Outgoing(address, message))
        except trio.WouldBlock:
            return
