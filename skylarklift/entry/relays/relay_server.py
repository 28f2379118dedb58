"""Relay connections of other routers to upstreams that this router reaches."""

import socket

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import DESCRIPTORS_EACH_RELAY, Core
from skylarklift.entry.gossip.wire import send_frame
from skylarklift.entry.relays.relay_messages import (
    RelayReply,
    RelayRequest,
    decode_relay_request,
    encode_relay_reply,
)
from skylarklift.entry.relays.relayed_stream import READ_BYTES
from skylarklift.entry.requests.http_connection import CLOSE_IN_ORDER, RESET_ON_CLOSE, connect
from skylarklift.errors import ConnectFailed, ConnectTimeout, LocalShortage

# This part of the descriptors for upstreams may be used for relayed connections.
MAX_RELAY_RATIO = 0.5
# Before a refusal is passed on, so many others are tried, for this long each.
CHECKED_UPSTREAMS = 2
CHECK_TIMEOUT_MS = 100
# A stopping router relays nothing new for so long before it ends.
LAST_RELAY_MS = 1000
# A write in progress when the upstream's connection ends shows within this time whether it fails.
WRITE_RESULT_MS = 20
# The other router may take this long to read an answer whose connection broke.
MAX_END_READ_MS = 1000


class RelayServer:
    """Serve requests to relay.

    Only upstreams of this router's list are connected to, only directly, and only for routers that
    this one knows.
    """

    def __init__(self, core: Core):
        self._core = core

    async def serve(self, stream: trio.SocketStream, body: bytes) -> None:
        """Serve a connection whose first frame is a request; raise `PeerError` if it is invalid."""
        core = self._core
        request = decode_relay_request(body)
        refusal = self._find_refusal(request, stream.socket.getpeername()[0])
        if refusal is not None:
            core.metrics.increment("relays_refused", refusal.value)
            await send_frame(stream, encode_relay_reply(refusal))
            return
        core.relays_open += 1
        try:
            await self._connect_and_forward(stream, request)
        finally:
            core.relays_open -= 1

    def _find_refusal(self, request: RelayRequest, host: str) -> RelayReply | None:
        """Return why not to relay, `None` if nothing is against it."""
        core = self._core
        upstream = core.cluster_state.upstreams.get(request.replica)
        is_router = any(peer.address.host == host for peer in core.fleet.peers.values())
        if upstream is None or upstream.endpoint != request.address or not is_router:
            return RelayReply.UNKNOWN_UPSTREAM
        stopping_ms = core.stopping_ms()
        if (
            stopping_ms is not None
            and stopping_ms > core.settings.bounds.drain_ms() - LAST_RELAY_MS
        ):
            return RelayReply.STOPPING
        if core.links.is_cut(upstream.record):
            return RelayReply.CUT_OFF
        relays = DESCRIPTORS_EACH_RELAY * (core.relays_open + 1)
        limit = core.descriptors.upstreams
        is_full = relays > MAX_RELAY_RATIO * limit or len(core.attempts) + relays > limit
        return RelayReply.BUSY if is_full else None

    async def _connect_and_forward(self, stream: trio.SocketStream, request: RelayRequest) -> None:
        """Connect to the upstream, reply, and forward both directions until one side ends."""
        core = self._core
        core.make_room_for_attempts()
        address = request.address
        try:
            upstream = await connect(address.host, address.port, request.timeout_ms)
        except LocalShortage:
            core.descriptors_short.set()
            await send_frame(stream, encode_relay_reply(RelayReply.BUSY))
            return
        except ConnectTimeout:
            await send_frame(stream, encode_relay_reply(RelayReply.TIMED_OUT))
            return
        except ConnectFailed:
            sound = await self._reaches_another(request)
            reply = RelayReply.UNREACHABLE if sound else RelayReply.CUT_OFF
            await send_frame(stream, encode_relay_reply(reply))
            return
        try:
            # What is cut short must not look like an end, also if this process is killed.
            set_linger(stream, RESET_ON_CLOSE)
            set_linger(upstream, RESET_ON_CLOSE)
            await send_frame(stream, encode_relay_reply(RelayReply.CONNECTED))
            await forward(stream, upstream)
        finally:
            upstream.socket.close()

    async def _reaches_another(self, request: RelayRequest) -> bool:
        """Return whether this router reaches some other upstream, best one of the same zone.

        Else its own link may be cut, and it knows nothing of the upstream.
        """
        core, upstreams = self._core, self._core.cluster_state.upstreams
        wanted = upstreams.get(request.replica)
        records = [item.record for name, item in upstreams.items() if name != request.replica]
        core.rng.shuffle(records)
        records.sort(key=lambda item: wanted is None or item.zone != wanted.record.zone)
        for record in records[:CHECKED_UPSTREAMS]:
            try:
                stream = await connect(record.host, record.port, CHECK_TIMEOUT_MS)
            except ConnectFailed:
                continue
            stream.socket.close()
            return True
        return False


class UpstreamWriter:
    """Writes requests to an upstream, and remembers whether a write failed.

    A failed write takes the socket's pending error, so a reset is then read as an orderly end.
    """

    def __init__(self, target: trio.SocketStream):
        self.target = target
        self._failed = False
        self._idle = trio.Event()
        self._idle.set()

    async def send(self, data: bytes) -> None:
        """Send bytes, or drop them after a failed write.

        An upstream may have answered before it closed, so its answer is still read.
        """
        if self._failed:
            return
        self._idle = trio.Event()
        try:
            await self.target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._failed = True
        finally:
            self._idle.set()

    async def has_failed(self) -> bool:
        """Return whether a write failed, after a short wait for one that is in progress."""
        with trio.move_on_after(WRITE_RESULT_MS / MS_PER_SECOND):
            await self._idle.wait()
        return self._failed


async def forward(stream: trio.SocketStream, upstream: trio.SocketStream) -> None:
    """Forward until the upstream has ended its answers, or the other router its requests."""
    writer = UpstreamWriter(upstream)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(forward_requests, stream, writer, nursery.cancel_scope)
        if not await forward_answers(upstream, stream, writer):
            await end_broken(stream)
        nursery.cancel_scope.cancel()


async def forward_requests(
    source: trio.SocketStream, writer: UpstreamWriter, scope: trio.CancelScope
) -> None:
    """Forward the bytes of requests; cancel the scope once the other router has closed."""
    try:
        while data := await source.receive_some(READ_BYTES):
            await writer.send(data)
        set_linger(writer.target, CLOSE_IN_ORDER)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The request was given up: the upstream's connection is reset, too.
        pass
    scope.cancel()


async def forward_answers(
    source: trio.SocketStream, target: trio.SocketStream, writer: UpstreamWriter
) -> bool:
    """Forward the bytes of answers in frames; return whether the upstream ended them in order."""
    try:
        while data := await source.receive_some(READ_BYTES):
            await send_frame(target, data)
        if await writer.has_failed():
            return False
        await send_frame(target, b"")
        set_linger(target, CLOSE_IN_ORDER)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return False
    return True


async def end_broken(stream: trio.SocketStream) -> None:
    """End the answers without the frame for an orderly end, and let the other router read them.

    Resetting the connection at once would discard an answer that arrived whole before.  The
    other router closes when it has read the end, which cancels the wait.
    """
    try:
        await stream.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    await trio.sleep(MAX_END_READ_MS / MS_PER_SECOND)


def set_linger(stream: trio.SocketStream, linger: bytes) -> None:
    """Set how closing a connection ends it, unless it is closed already."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
