"""Exchange state with other routers: gossip by datagram, rows by stream."""

import secrets

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.answered_loads import apply_load_message, make_load_messages
from skylarklift.entry.backpressure import apply_backpressure
from skylarklift.entry.core import Core
from skylarklift.entry.crashes.crash_messages import (
    decode_crash_message,
    encode_crash_message,
    is_crash_message,
)
from skylarklift.entry.gossip.fleet import (
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_MS,
    MIN_GOSSIP_INTERVAL_MS,
    GossipMessage,
    Peer,
    Turns,
)
from skylarklift.entry.gossip.load_messages import (
    LoadMessage,
    decode_load_message,
    is_load_message,
)
from skylarklift.entry.gossip.membership import Membership
from skylarklift.entry.gossip.release_parts import (
    ReleaseParts,
    RoundEncoder,
    confirm_by_digest,
    is_digest,
)
from skylarklift.entry.gossip.silences import MAX_SILENCES
from skylarklift.entry.gossip.waiting import add_wait
from skylarklift.entry.gossip.wire import (
    MAX_ROW_REQUEST_BYTES,
    decode_gossip,
    receive_frame,
    send_frame,
)
from skylarklift.entry.model import Endpoint
from skylarklift.entry.relays.relay_messages import is_relay_request
from skylarklift.entry.relays.relay_server import RelayServer
from skylarklift.entry.rollouts.exchange import apply_news, make_news
from skylarklift.entry.state.follower import fetch_rows, rows_for_request
from skylarklift.entry.state.rows import MemberStore, RowTable, TableComparison, TableSummary
from skylarklift.entry.versions.origin_messages import (
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from skylarklift.entry.versions.releases import REPORT_DELAY_MS
from skylarklift.errors import PeerError
from skylarklift.util.datagrams import DatagramReceiver
from skylarklift.util.listening import open_datagram_socket

MAX_DATAGRAM_BYTES = 65507
# All holds are sent once in this time, so that each router knows them soon after its start.
HOLDS_INTERVAL_MS = 1000
ROWS_TIMEOUT_MS = 2000
MAX_CONCURRENT_ROW_REQUESTS = 4
# A round to many routers is sent in small parts: what overflows a queue on the way is lost, each
# time for the same routers.
MAX_BURST_DATAGRAMS = 16
BURST_PAUSE_MS = 4
# In a large fleet one of so many rounds tells the silences that have ended: each router still hears
# them from others several times a second, and they count for minutes.
SILENCE_ROUNDS = 4
# After an error of receiving, which may last.
RECEIVE_PAUSE_MS = 5


class Peering:
    """Gossip with the other routers, serve rows to them, and register in the store."""

    def __init__(self, core: Core, members: MemberStore):
        self._core = core
        self._membership = Membership(core, members)
        self._boot = secrets.token_hex(4)
        self._socket: trio.socket.SocketType | None = None
        # What is new of busy upstreams must not take the turns of whole messages.
        self._gossip_turns, self._load_turns = Turns(), Turns()
        self._last_round_at = Millis(0)
        self._rounds = 0
        self._serving_count = 0
        self._release_parts = ReleaseParts(core.clock)
        self._relay_server = RelayServer(core)
        for seed in core.settings.seeds:
            if seed != core.settings.peers:
                core.fleet.add_seed(seed)

    # Sending.

    async def send_loop(self) -> None:
        """Send gossip at intervals and after each change of the cluster state."""
        core = self._core
        while True:
            with trio.move_on_after(GOSSIP_INTERVAL_MS / MS_PER_SECOND):
                await core.state_changed.wait()
            core.state_changed = trio.Event()
            await self.send_round()
            await trio.sleep(MIN_GOSSIP_INTERVAL_MS / MS_PER_SECOND)

    async def send_observed_loads(self) -> None:
        """Send what is new about busy and slow upstreams to the next routers in turn, at once.

        A router that reads the store sends it to as few as others do, so that it keeps up.
        """
        core = self._core
        while True:
            await core.load_observed.wait()
            core.load_observed = trio.Event()
            peers = self._load_turns.next(list(core.fleet.peers.values()))
            for peer, data in make_load_messages(core, peers):
                await self._send(peer, [data])
            await trio.sleep(MIN_GOSSIP_INTERVAL_MS / MS_PER_SECOND)

    async def send_round(self) -> None:
        """Send gossip to the routers of this round."""
        targets = self._next_targets()
        self._rounds += 1
        self._last_round_at = self._core.clock.now()
        await self._send_to(targets)

    async def _send_to(self, targets: list[Peer]) -> None:
        """Send gossip to other routers."""
        now = self._core.clock.now()
        encoder = RoundEncoder(self._release_parts, self._make_message)
        self._release_parts.forget_others(self._core.fleet.peers)
        burst = 0
        for peer in targets:
            # What the last message held is sent once more: datagrams may be lost.
            since = Millis(peer.sent_at - GOSSIP_INTERVAL_MS)
            message = encoder.encode(peer.node, since)
            datagrams = [*message, *self._encode_crashes(peer, since)]
            peer.sent_at = now
            if burst + len(datagrams) > MAX_BURST_DATAGRAMS:
                burst = 0
                await trio.sleep(BURST_PAUSE_MS / MS_PER_SECOND)
            burst += len(datagrams)
            await self._send(peer, datagrams)

    async def _send(self, peer: Peer, datagrams: list[bytes]) -> None:
        """Send datagrams to another router."""
        try:
            for data in datagrams:
                await self._send_datagram(data, peer.address)
        except OSError as exc:
            self._core.event_log.write("gossip_send_failed", peer=peer.node, cause=str(exc))

    async def _send_datagram(self, data: bytes, address: Endpoint) -> None:
        """Send one datagram; drop it while the socket is not bound yet.

        The others take the sender's address for this router's.
        """
        if self._socket is not None:
            await self._socket.sendto(data, (address.host, address.port))

    def _encode_crashes(self, peer: Peer, since: Millis) -> list[bytes]:
        """Return the message about crashes for another router, none if there is nothing to send."""
        core = self._core
        now = core.clock.now()
        message = core.suspects.make_message(
            core.settings.node,
            since if peer.sent_at else Millis(0),
            relay=len(core.fleet.peers) > GOSSIP_FANOUT,
            with_holds=now - peer.holds_sent_at >= HOLDS_INTERVAL_MS,
        )
        if message is None:
            return []
        if message.decisions:
            peer.holds_sent_at = now
        return [encode_crash_message(message, now)]

    def _next_targets(self) -> list[Peer]:
        """Return the routers to send to in this round.

        These are all others if the fleet is small or if this router reads the store, else the
        next `GOSSIP_FANOUT` in turn, and, after a crash report or while a version is rolled out,
        those that read the store.
        """
        peers = list(self._core.fleet.peers.values())
        if len(peers) <= GOSSIP_FANOUT or self._reads_store():
            return peers
        targets = self._gossip_turns.next(peers)
        core = self._core
        if core.suspects.has_changes_since(self._last_round_at) or core.rollouts.has_open_orders():
            targets += [peer for peer in self._store_readers() if peer not in targets]
        return targets

    def _store_readers(self) -> list[Peer]:
        """Return the live routers that read the store and so send to all others."""
        return [peer for peer in self._core.fleet.live_peers() if peer.last_message.reads_store]

    def _reads_store(self) -> bool:
        """Return whether this router reads the store itself."""
        return all(self._core.reading_store.values())

    def _make_message(self, since: Millis) -> GossipMessage:
        """Return the current gossip message, with the placements after `since`."""
        core = self._core
        state = core.cluster_state
        ejected = core.health.ejected()
        return GossipMessage(
            node=core.settings.node,
            boot=self._boot,
            address=str(core.settings.peers),
            tables=tuple(state.summarize(table) for table in RowTable),
            reads_store=self._reads_store(),
            leaving=core.stopping_since is not None,
            loads=dict(core.chooser.in_flight),
            ejected=ejected,
            maybe_restarted=tuple(
                replica for replica in ejected if core.health.maybe_restarted(replica)
            ),
            placements=tuple(core.chooser.prefixes.own_placements_since(since)),
            router_count=core.fleet.router_count(),
            limits=core.chooser.rate_limits.reports(),
            observed_loads=core.chooser.observed_loads.reports(),
            slow_replicas=core.chooser.speeds.reports(),
            releases=core.releases.reports(),
            releases_age_ms=core.releases.age_ms(),
            # Ends of connections show nothing of upstreams while a link of this router may be cut.
            suspected_restarts=() if core.links.is_in_doubt() else tuple(state.seen_restarts()),
            store_restored=state.restored.is_settling(RowTable.UPSTREAMS),
            zone=core.settings.zone,
            cut_zones=core.links.cut_zones(),
            hold_offs=core.chooser.hold_offs.relayed_ms(state.upstreams),
            backpressure=core.chooser.concurrency_limits.reports(),
            silences=core.fleet.silences.reports() if self._tells_silences(since) else (),
            route_waits=core.releases.spans.waits(),
            rollouts=make_news(core.rollouts, core.clock.now()),
            early_ends=core.early_ends.reports(),
        )

    def _tells_silences(self, since: Millis) -> bool:
        """Return whether a message has the silences: those to routers that have just started do."""
        is_first = since <= 0
        is_small = len(self._core.fleet.peers) <= GOSSIP_FANOUT
        return is_first or is_small or self._rounds % SILENCE_ROUNDS == 0

    # Receiving.

    async def receive_loop(self, nursery: trio.Nursery) -> None:
        """Receive gossip and apply it, once the datagram socket is open."""
        core, address = self._core, self._core.settings.peers
        self._socket = await open_datagram_socket(
            address.host, address.port, core.clock, core.event_log.write
        )
        receiver = DatagramReceiver(self._socket)
        while True:
            try:
                datagram = await receiver.receive(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # A datagram to a closed port comes back as an error; the socket stays usable.
                core.event_log.write("gossip_receive_failed", cause=str(exc))
                await trio.sleep(RECEIVE_PAUSE_MS / MS_PER_SECOND)
                continue
            sender = Endpoint(datagram.host, datagram.port)
            try:
                self._apply_datagram(datagram.data, sender, nursery, datagram.waited_ms)
            except PeerError as exc:
                core.event_log.write("gossip_invalid", peer=str(sender), cause=str(exc))
            except Exception as exc:
                # One message must not keep the router from those of others.
                core.record_fault(exc, str(sender))

    async def send_origins(self) -> None:
        """Send the messages about the origins of streams."""
        async for item in self._core.resumptions.outgoing:
            try:
                data = encode_origin_message(item.message)
                await self._send_datagram(data, item.address)
            except OSError as exc:
                self._core.event_log.write(
                    "origin_send_failed", peer=str(item.address), cause=str(exc)
                )

    def _apply_datagram(
        self, data: bytes, address: Endpoint, nursery: trio.Nursery, waited_ms: int = 0
    ) -> None:
        """Apply a message of any kind that arrived `waited_ms` ago; raise `PeerError`.

        This router's own messages are ignored.
        """
        core = self._core
        if is_crash_message(data):
            report = decode_crash_message(data, Millis(core.clock.now() - waited_ms))
            if report.node != core.settings.node:
                core.apply_hold_changes(core.suspects.apply_message(report), report.node)
                if report.crashes:
                    core.crash_reported.set()
            return
        if is_load_message(data):
            apply_load_message(core, decode_load_message(data), waited_ms)
            return
        if is_origin_message(data):
            core.resumptions.apply_message(decode_origin_message(data), address)
            return
        if is_digest(data):
            confirm_by_digest(core.releases, data, waited_ms)
            return
        message = decode_gossip(data)
        if message.node != core.settings.node:
            self._apply_message(message, address, nursery, waited_ms)

    def _apply_message(
        self, message: GossipMessage, address: Endpoint, nursery: trio.Nursery, waited_ms: int = 0
    ) -> None:
        """Apply one gossip message that arrived `waited_ms` ago."""
        core = self._core
        message = add_wait(message, waited_ms)
        if message.node not in core.fleet.peers:
            core.event_log.write("router_discovered", peer=message.node, address=str(address))
        peer = core.fleet.record_message(message, address, waited_ms)
        for silence in message.silences[:MAX_SILENCES]:
            core.fleet.silences.apply_report(silence)
        core.doubt_entries(message)
        for replica, left_ms in message.ejected.items():
            doubted = replica in message.maybe_restarted
            if doubted and not core.health.maybe_restarted(replica):
                core.event_log.write("upstream_doubted", subject=replica, source=message.node)
            core.health.apply_reported_ejection(replica, left_ms, maybe_restarted=doubted)
        core.apply_hold_offs(message.hold_offs)
        core.apply_limit_reports(message.limits, message.node)
        apply_backpressure(core, message.backpressure, message.node)
        for report in message.early_ends:
            core.early_ends.apply_report(report)
        for report in message.releases:
            core.apply_release(report, message.node)
        apply_news(core, message.rollouts, message.node, message.boot)
        for wait in message.route_waits:
            core.releases.spans.seen.apply_report(wait)
        if message.releases_age_ms is not None:
            core.releases.confirm(message.releases_age_ms + REPORT_DELAY_MS)
        apply_load_message(core, LoadMessage(message.observed_loads, message.slow_replicas))
        for placement in message.placements:
            core.chooser.prefixes.record_reported(placement)
        for table in RowTable:
            self._sync_table(table, peer, nursery)
        # Loads and limits may leave room for requests that wait.
        core.gate.wake_all()

    def _sync_table(self, table: RowTable, peer: Peer, nursery: trio.Nursery) -> None:
        """Confirm a table by a peer's summary, or fetch the rows that this router lacks."""
        state = self._core.cluster_state
        summary = peer.last_message.tables[table.value]
        comparison = state.caches[table].compare(summary)
        if comparison is TableComparison.SAME:
            state.confirm_version(table, summary.version, summary.age_ms, summary.era)
        elif comparison is not TableComparison.NOTHING_NEW and self._core.row_fetches.start(
            table, peer.node
        ):
            complete = comparison is TableComparison.ROWS_DIFFER
            nursery.start_soon(self._fetch_rows, table, peer, summary, complete)

    async def _fetch_rows(
        self, table: RowTable, peer: Peer, summary: TableSummary, complete: bool
    ) -> None:
        """Fetch rows of one table from another router."""
        try:
            await fetch_rows(self._core, table, peer.address, summary, complete=complete)
        finally:
            self._core.row_fetches.end(table, peer.node)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection of another router, which asks for rows or to be its relay."""
        core = self._core
        try:
            with trio.fail_after(ROWS_TIMEOUT_MS / MS_PER_SECOND):
                body = await receive_frame(stream, MAX_ROW_REQUEST_BYTES)
            if body is not None and is_relay_request(body):
                await self._relay_server.serve(stream, body)
            elif body is not None:
                await self.serve_rows(stream, body)
        except (PeerError, OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            core.event_log.write("peer_serve_failed", cause=repr(exc))

    async def serve_rows(self, stream: trio.SocketStream, body: bytes) -> None:
        """Send the requested rows to another router, unless too many requests are in progress.

        A router that gets no answer requests the rows from another one, which may have received
        them meanwhile.  So the transfer of a large configuration is spread over many routers.
        """
        core = self._core
        try:
            with trio.fail_after(ROWS_TIMEOUT_MS / MS_PER_SECOND):
                if self._serving_count < MAX_CONCURRENT_ROW_REQUESTS:
                    self._serving_count += 1
                    try:
                        await send_frame(stream, rows_for_request(core, body))
                        # The transfer is in progress until the other side has received the rows
                        # and closes the connection.
                        await stream.receive_some(1)
                    finally:
                        self._serving_count -= 1
        except (PeerError, OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            core.event_log.write("rows_serve_failed", cause=repr(exc))
        finally:
            stream.socket.close()

    # Members.

    async def join(self) -> None:
        """Register this router in the store and find the others, until cancelled."""
        await self._membership.run()

    async def leave(self) -> None:
        """Announce that this router leaves, and deregister it from the store."""
        await self.send_round()
        await self._membership.end()
