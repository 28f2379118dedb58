"""Open connections to upstreams: directly, or relayed by another router."""

import random
from dataclasses import dataclass

import trio

from skylarklift.clock import MS_PER_SECOND, Clock
from skylarklift.entry.event_log import EventLog
from skylarklift.entry.gossip.fleet import Peer
from skylarklift.entry.gossip.wire import receive_frame, send_frame
from skylarklift.entry.metrics import Metrics
from skylarklift.entry.model import Endpoint, UpstreamRecord
from skylarklift.entry.placement.zone_links import ZoneLinks
from skylarklift.entry.relays.link_states import LinkStates
from skylarklift.entry.relays.relay_choice import RelayChoice
from skylarklift.entry.relays.relay_messages import (
    MAX_REPLY_BYTES,
    RelayReply,
    RelayRequest,
    decode_relay_reply,
    encode_relay_request,
)
from skylarklift.entry.relays.relayed_stream import RelayedStream
from skylarklift.entry.requests.http_connection import UpstreamStream, connect
from skylarklift.errors import ConnectFailed, ConnectTimeout, LocalShortage, NoRelay, PeerError

# A connection between VMs takes a millisecond or two.  After this long another router is asked.
HEDGE_DELAY_MS = 150
# A second direct connection is begun so long after the first one: the system would repeat its
# request only after a second.
DIRECT_RETRY_MS = 100
# Two direct connections and a relayed one.
RACING_TRIES = 3
# What a relay reaches is tried directly once more, for this long, before the link is blamed.
CONFIRM_TIMEOUT_MS = 100
RELAY_CONNECT_TIMEOUT_MS = 200
RELAY_REPLY_TIMEOUT_MS = 400
# A relay tries the upstream for this long, and answers before its own time is over.
RELAYED_CONNECT_TIMEOUT_MS = 250
# Another router is asked beside one that has not answered for this long.
RELAY_HEDGE_DELAY_MS = 60
# Routers of different zones that are asked before an upstream counts as unreachable.
MAX_RELAYS_ASKED = 3


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """What a router said when it was asked to relay, `None` if nothing, and the connection."""

    reply: RelayReply | None
    stream: RelayedStream | None = None


class RelayPoll:
    """The answers of routers that are asked to relay one connection; the first one is used."""

    def __init__(self, count: int):
        self._open_count = count
        self._changed = trio.Event()
        self._abandoned = False
        self.stream: RelayedStream | None = None
        self.said: list[str] = []
        self._replies: set[RelayReply | None] = set()

    def record(self, node: str, answer: RelayAnswer) -> None:
        """Record what a router has answered; close a connection that is not used."""
        self._open_count -= 1
        self._replies.add(answer.reply)
        self.said.append(f"{node} {answer.reply.value if answer.reply else 'silent'}")
        if answer.stream is not None and (self.stream is not None or self._abandoned):
            answer.stream.socket.close()
        elif answer.stream is not None:
            self.stream = answer.stream
        self._changed.set()
        self._changed = trio.Event()

    def error_type(self) -> type[ConnectFailed]:
        """Return what it means that none of them has connected."""
        if RelayReply.UNREACHABLE in self._replies:
            return ConnectFailed
        return ConnectTimeout if RelayReply.TIMED_OUT in self._replies else NoRelay

    def is_decided(self) -> bool:
        """Return whether there is a connection, or none will come."""
        return self.stream is not None or not self._open_count

    async def wait_for_answer(self) -> None:
        """Wait until one more router has answered."""
        await self._changed.wait()

    async def wait_decided(self) -> None:
        """Wait until there is a connection, or all have answered."""
        while not self.is_decided():
            await self._changed.wait()

    def abandon(self) -> None:
        """Close the connection, as nobody waits for it any more."""
        self._abandoned = True
        if self.stream is not None:
            self.stream.socket.close()


class DialRace:
    """Several tries of an upstream at once, of which the first one that arrives is used."""

    def __init__(self):
        self.stream: UpstreamStream | None = None
        self.error: ConnectFailed | None = None
        self._open_ways = RACING_TRIES
        self.decided = trio.Event()

    def win(self, stream: UpstreamStream) -> bool:
        """Use a connection, unless there is one already; return whether it is used."""
        if self.stream is not None:
            stream.socket.close()
            return False
        self.stream = stream
        self.decided.set()
        return True

    def abandon(self) -> None:
        """Close the connection, as nobody waits for it any more."""
        if self.stream is not None:
            self.stream.socket.close()

    def lose(self, exc: ConnectFailed) -> None:
        """Record that one way has failed."""
        self._open_ways -= 1
        # A refusal tells more than a time-out.
        if self.error is None or isinstance(self.error, ConnectTimeout):
            self.error = exc
        if not self._open_ways:
            self.decided.set()


class Dialer:
    """Open connections to upstreams.

    A connection is made directly while the link to the upstream's zone is sound.  If that takes
    too long or fails, another router is asked to relay one: where it succeeds, the link of this
    router is at fault and not the upstream.
    """

    def __init__(
        self,
        clock: Clock,
        links: LinkStates,
        relays: RelayChoice,
        event_log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        zone_links: ZoneLinks | None = None,
    ):
        self._clock = clock
        self._links = links
        self._relays = relays
        self._event_log = event_log
        self._metrics = metrics
        self._rng = rng
        self._zone_links = zone_links or ZoneLinks(clock)
        # Set when the link to a zone is newly cut.
        self.link_cut = trio.Event()

    async def dial(self, record: UpstreamRecord, timeout_ms: int) -> UpstreamStream:
        """Return a connection to an upstream; raise `ConnectFailed`."""
        if self._links.any_doubt and self._rng.random() >= self._links.direct_share(record):
            return await self._dial_relayed(record, tried=False)
        try:
            return await self._dial_directly(record, min(timeout_ms, HEDGE_DELAY_MS))
        except LocalShortage:
            raise
        except ConnectFailed as exc:
            late = isinstance(exc, ConnectTimeout)
            left_ms = timeout_ms - HEDGE_DELAY_MS
            if not late or left_ms <= 0:
                return await self._dial_instead(record, exc)
        return await self._race(record, left_ms)

    async def dial_by(
        self, relay: str | None, record: UpstreamRecord, timeout_ms: int
    ) -> UpstreamStream:
        """Return a connection by one way only, directly without a relay; raise `ConnectFailed`."""
        if relay is None:
            return await connect(record.host, record.port, timeout_ms)
        peer = self._relays.find(relay)
        answer = RelayAnswer(None) if peer is None else await self._ask(peer, record)
        if answer.stream is None:
            kind = ConnectTimeout if answer.reply is RelayReply.TIMED_OUT else ConnectFailed
            raise kind(f"{relay} does not relay to {record.replica}")
        return answer.stream

    def may_use(self, relay: str | None, record: UpstreamRecord) -> bool:
        """Return whether an idle connection to an upstream may carry another request.

        Not if the router that relays it ends soon, or the own link is back.
        """
        if relay is None:
            return not (self._links.any_doubt and self._links.open_connections_are_lost(record))
        return self._links.is_cut(record) and not self._relays.is_leaving(relay)

    async def dial_directly(self, record: UpstreamRecord, timeout_ms: int) -> trio.SocketStream:
        """Return a direct connection, by which the link is probed; raise `ConnectFailed`."""
        return await connect(record.host, record.port, timeout_ms)

    async def _dial_directly(self, record: UpstreamRecord, timeout_ms: int) -> trio.SocketStream:
        """Return a direct connection, and record that the link works; raise `ConnectFailed`."""
        # The clock's whole milliseconds do not tell near zones from far ones.
        begun = trio.current_time()
        stream = await connect(record.host, record.port, timeout_ms)
        self._zone_links.record(record.zone, (trio.current_time() - begun) * MS_PER_SECOND)
        if self._links.any_doubt:
            self._links.record_reached(record)
        return stream

    async def _dial_instead(self, record: UpstreamRecord, failure: ConnectFailed) -> RelayedStream:
        """Return a relayed connection after a direct one has failed; raise `ConnectFailed`."""
        try:
            return await self._dial_relayed(record, tried=True)
        except ConnectFailed as exc:
            unclear = isinstance(exc, NoRelay) and self._relays.knows_others()
            kind = NoRelay if unclear else type(failure)
            raise kind(f"{failure}; {exc}") from exc

    async def _race(self, record: UpstreamRecord, left_ms: int) -> UpstreamStream:
        """Return the first connection that is made, directly or relayed; raise `ConnectFailed`."""
        race = DialRace()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_direct, race, record, left_ms)
                nursery.start_soon(self._run_direct, race, record, left_ms, DIRECT_RETRY_MS)
                nursery.start_soon(self._run_relayed, race, record)
                await race.decided.wait()
                nursery.cancel_scope.cancel()
        except BaseException:
            race.abandon()
            raise
        if race.stream is None:
            if isinstance(race.error, NoRelay) and not self._relays.knows_others():
                raise ConnectTimeout(str(race.error)) from race.error
            raise race.error
        return race.stream

    async def _run_direct(
        self, race: DialRace, record: UpstreamRecord, left_ms: int, delay_ms: int = 0
    ) -> None:
        """Take part in a race with a direct connection, some time after its start."""
        await trio.sleep(delay_ms / MS_PER_SECOND)
        try:
            race.win(await self._dial_directly(record, max(1, left_ms - delay_ms)))
        except ConnectFailed as exc:
            race.lose(exc)

    async def _run_relayed(self, race: DialRace, record: UpstreamRecord) -> None:
        """Take part in a race with a relayed connection."""
        try:
            race.win(await self._dial_relayed(record, tried=True))
        except ConnectFailed as exc:
            race.lose(exc)

    # Relays.

    async def _dial_relayed(self, record: UpstreamRecord, *, tried: bool) -> RelayedStream:
        """Return a connection by way of another router; raise `ConnectFailed`.

        A few are asked, one soon after the other, as some may be cut off and not know it yet.
        `tried` is whether a direct connection has just failed.
        """
        peers = self._relays.candidates(record)[:MAX_RELAYS_ASKED]
        poll = RelayPoll(len(peers))
        try:
            async with trio.open_nursery() as nursery:
                for peer in peers:
                    nursery.start_soon(self._ask_in_poll, poll, peer, record)
                    with trio.move_on_after(RELAY_HEDGE_DELAY_MS / MS_PER_SECOND):
                        await poll.wait_for_answer()
                    if poll.is_decided():
                        break
                await poll.wait_decided()
                nursery.cancel_scope.cancel()
            if tried and poll.stream is not None:
                await self._blame_link(record, poll.stream.relay)
        except BaseException:
            poll.abandon()
            raise
        if poll.stream is None:
            said = ", ".join(poll.said) or "none to ask"
            raise poll.error_type()(f"no router relays to {record.replica}: {said}")
        self._metrics.increment("relayed_connections", poll.stream.relay)
        return poll.stream

    async def _ask_in_poll(self, poll: RelayPoll, peer: Peer, record: UpstreamRecord) -> None:
        """Ask one of several routers to relay."""
        poll.record(peer.node, await self._ask(peer, record))

    async def _blame_link(self, record: UpstreamRecord, relay: str) -> None:
        """Record that only another router reaches an upstream, if a direct try fails again.

        A silence of the upstream may just have ended.
        """
        if record.zone not in self._links.cut_zones():
            try:
                stream = await self._dial_directly(record, CONFIRM_TIMEOUT_MS)
            except ConnectFailed:
                # The link is at fault.
                pass
            else:
                stream.socket.close()
                return
        if self._links.record_relayed(record):
            self._event_log.write("link_cut", zone=record.zone, relay=relay)
            self.link_cut.set()

    async def _ask(self, peer: Peer, record: UpstreamRecord) -> RelayAnswer:
        """Ask a router to relay, and return what it said."""
        reply: RelayReply | None = None
        stream: trio.SocketStream | None = None
        try:
            stream = await connect(peer.address.host, peer.address.port, RELAY_CONNECT_TIMEOUT_MS)
            with trio.fail_after(RELAY_REPLY_TIMEOUT_MS / MS_PER_SECOND):
                reply = await self._exchange(stream, record)
        except (
            ConnectFailed,
            PeerError,
            OSError,
            trio.TooSlowError,
            trio.BrokenResourceError,
        ) as exc:
            self._event_log.write("relay_failed", peer=peer.node, cause=repr(exc))
        finally:
            if reply is not RelayReply.CONNECTED and stream is not None:
                stream.socket.close()
        if reply is RelayReply.CONNECTED:
            return RelayAnswer(reply, RelayedStream(stream, peer.node))
        if reply not in (RelayReply.UNREACHABLE, RelayReply.TIMED_OUT):
            self._relays.record_no_help(peer.node)
        return RelayAnswer(reply)

    @staticmethod
    async def _exchange(stream: trio.SocketStream, record: UpstreamRecord) -> RelayReply:
        """Send a request to relay, and return the reply; raise `PeerError`."""
        address = Endpoint(record.host, record.port)
        request = RelayRequest(record.replica, address, RELAYED_CONNECT_TIMEOUT_MS)
        await send_frame(stream, encode_relay_request(request))
        body = await receive_frame(stream, MAX_REPLY_BYTES)
        if body is None:
            raise PeerError("connection closed before the reply")
        return decode_relay_reply(body)
