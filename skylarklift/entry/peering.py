"""The tasks that talk to other routers: tells by datagram, rows by stream."""

import secrets

import trio

from skylarklift.clock import MS_PER_SECOND, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.fleet import TELL_AT_LEAST_MS, TELL_MS, TELLS_A_TICK, Peer, Tell
from skylarklift.entry.following import answer_rows, fetch_rows
from skylarklift.entry.model import Endpoint
from skylarklift.entry.rowset import Heard, MemberStore, RowPage, RowTable
from skylarklift.entry.tells import (
    REQUEST_LIMIT_BYTES,
    decode_tell,
    encode_page,
    encode_tell,
    receive_frame,
    send_frame,
)
from skylarklift.errors import PeerError, StoreError

DATAGRAM_BYTES = 65507
ROWS_TIMEOUT_MS = 2000
ROWS_AT_ONCE = 4
MEMBERS_RETRY_MS = 1500
# Routers that start together write their notes together; what the first read missed is read
# once more after this long.
MEMBERS_AGAIN_MS = 3000


class Peering:
    """Tell the other routers, and hear them."""

    def __init__(self, core: Core, members: MemberStore):
        self._core = core
        self._members = members
        self._boot = secrets.token_hex(4)
        self._socket: trio.socket.SocketType | None = None
        self._fetching: set[RowTable] = set()
        self._turn = 0
        self._serving = 0
        self._last_page: tuple[tuple[int, bool, int, str], bytes] = ((0, False, 0, ""), b"")
        for number, seed in enumerate(core.settings.seeds):
            if seed != core.settings.peers:
                core.fleet.add(f"seed-{number}", seed)

    async def open(self) -> None:
        """Bind the datagram socket."""
        address = self._core.settings.peers
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self._socket.bind((address.host, address.port))

    # Telling.

    async def tell_all(self) -> None:
        """Tell the other routers at intervals and after each change."""
        core = self._core
        while True:
            with trio.move_on_after(TELL_MS / MS_PER_SECOND):
                await core.changed.wait()
            core.changed = trio.Event()
            await self.tell_once()
            await trio.sleep(TELL_AT_LEAST_MS / MS_PER_SECOND)

    async def tell_once(self) -> None:
        """Tell the routers whose turn it is."""
        now = self._core.clock.now()
        encoded: dict[Millis, bytes] = {}
        for peer in self._turn_of():
            # What went out with the last tell goes once more, since datagrams get lost.
            since = Millis(peer.told - TELL_MS)
            if since not in encoded:
                encoded[since] = encode_tell(self._tell(since))
            peer.told = now
            try:
                address = (peer.address.host, peer.address.port)
                await self._socket.sendto(encoded[since], address)
            except OSError as exc:
                self._core.journal.write("tell_failed", peer=peer.node, cause=str(exc))

    def _turn_of(self) -> list[Peer]:
        """Return the routers to tell now; all of them in a small fleet."""
        peers = list(self._core.fleet.peers.values())
        if len(peers) <= TELLS_A_TICK or self._is_reader():
            return peers
        start = self._turn % len(peers)
        self._turn += TELLS_A_TICK
        return (peers + peers)[start : start + TELLS_A_TICK]

    def _is_reader(self) -> bool:
        """Tell whether this router reads the store itself."""
        return all(self._core.reading.values())

    def _tell(self, since: Millis) -> Tell:
        """Return what is told now; of crashes and placements, those from a moment on."""
        core = self._core
        beliefs = core.beliefs
        ejected = core.health.ejected()
        return Tell(
            node=core.settings.node,
            boot=self._boot,
            address=str(core.settings.peers),
            tables=tuple(beliefs.news(table) for table in RowTable),
            reader=self._is_reader(),
            leaving=core.stopping_since is not None,
            loads=dict(core.chooser.running),
            ejected=ejected,
            lost=tuple(replica for replica in ejected if core.health.lost(replica)),
            crashes=core.suspects.news(since),
            placements=tuple(core.chooser.prefixes.news(since)),
        )

    # Hearing.

    async def hear_all(self, nursery: trio.Nursery) -> None:
        """Take in what the other routers tell."""
        core = self._core
        while True:
            try:
                data, sender = await self._socket.recvfrom(DATAGRAM_BYTES)
            except OSError as exc:
                # A router that is gone answers a datagram with an error; the socket goes on.
                core.journal.write("hear_failed", cause=str(exc))
                continue
            try:
                tell = decode_tell(data)
            except PeerError as exc:
                core.journal.write("tell_unreadable", peer=str(sender), cause=str(exc))
                continue
            if tell.node != core.settings.node:
                self._take(tell, Endpoint(sender[0], sender[1]), nursery)

    def _take(self, tell: Tell, address: Endpoint, nursery: trio.Nursery) -> None:
        """Take in one tell."""
        core = self._core
        if tell.node not in core.fleet.peers:
            core.journal.write("router_heard", peer=tell.node, address=str(address))
            for node, peer in list(core.fleet.peers.items()):
                if node.startswith("seed-") and peer.address == address:
                    core.fleet.leave(node)
        peer = core.fleet.hear(tell, address)
        for replica, left_ms in tell.ejected.items():
            core.health.told_ejected(replica, left_ms, lost=replica in tell.lost)
        for fingerprint, replica in tell.crashes:
            core.suspects.record_crash(fingerprint, replica)
        for placement in tell.placements:
            core.chooser.prefixes.told(placement)
        for table in RowTable:
            self._compare(table, peer, nursery)

    def _compare(self, table: RowTable, peer: Peer, nursery: trio.Nursery) -> None:
        """Take the other router's word for a table, or fetch the rows that it knows better."""
        beliefs = self._core.beliefs
        news = peer.tell.tables[table.value]
        heard = beliefs.caches[table].judge(news)
        if heard is Heard.AS_NEW:
            beliefs.confirm(table, news.cursor, news.age_ms)
        elif heard is not Heard.NOTHING and table not in self._fetching:
            self._fetching.add(table)
            whole = heard is Heard.DIFFERENT
            nursery.start_soon(self._fetch, table, peer.address, news.age_ms, whole)

    async def _fetch(self, table: RowTable, address: Endpoint, age: int, whole: bool) -> None:
        """Fetch rows of one table; one fetch at a time."""
        try:
            await fetch_rows(self._core, table, address, age, whole=whole)
        finally:
            self._fetching.discard(table)

    async def serve_rows(self, stream: trio.SocketStream) -> None:
        """Answer another router that asks for rows, unless enough are being answered.

        One that is not answered asks a router that has the rows by then, so that a large
        configuration spreads over many links.
        """
        core = self._core
        try:
            with trio.fail_after(ROWS_TIMEOUT_MS / MS_PER_SECOND):
                body = await receive_frame(stream, REQUEST_LIMIT_BYTES)
                if body is not None and self._serving < ROWS_AT_ONCE:
                    self._serving += 1
                    try:
                        await send_frame(stream, self._encoded(answer_rows(core, body)))
                        # The rows are under way until the other side closes.
                        await stream.receive_some(1)
                    finally:
                        self._serving -= 1
        except (PeerError, OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            core.journal.write("rows_not_served", cause=repr(exc))
        finally:
            stream.socket.close()

    def _encoded(self, page: RowPage) -> bytes:
        """Return rows as a message; the last one is kept, since many ask for the same."""
        key = (page.version, page.whole, len(page.rows), page.rows[0].key if page.rows else "")
        if self._last_page[0] != key:
            self._last_page = (key, encode_page(page))
        return self._last_page[1]

    # Members.

    async def join(self) -> None:
        """Note this router in the store and learn of the others."""
        await self._until_done(self._write_note)
        await trio.sleep(MEMBERS_AGAIN_MS / MS_PER_SECOND)
        await self._until_done(self._read_notes)

    async def _until_done(self, step) -> None:
        """Repeat a step until the store takes it."""
        core = self._core
        while True:
            try:
                await step()
                return
            except StoreError as exc:
                core.journal.write("members_unknown", cause=str(exc))
                span = MEMBERS_RETRY_MS + core.rng.randrange(MEMBERS_RETRY_MS)
                await trio.sleep(span / MS_PER_SECOND)

    async def _write_note(self) -> None:
        """Note this router, and read who is there."""
        settings = self._core.settings
        await self._members.write_member(settings.node, str(settings.peers))
        await self._read_notes()

    async def _read_notes(self) -> None:
        """Learn which routers are noted."""
        for node, address in (await self._members.read_members()).items():
            host, _, port = address.rpartition(":")
            if host and port.isdigit():
                self._core.fleet.add(node, Endpoint(host, int(port)))
            else:
                self._core.journal.write("member_unreadable", peer=node, address=address)

    async def leave(self) -> None:
        """Tell the others, and remove the note in the store."""
        await self.tell_once()
        try:
            await self._members.write_member(self._core.settings.node, None)
        except StoreError as exc:
            self._core.journal.write("note_not_removed", cause=str(exc))
