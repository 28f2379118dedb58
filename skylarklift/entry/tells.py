"""What routers tell each other: small datagrams, and rows over a stream."""

import zlib

import msgpack
import trio

from skylarklift.entry.fleet import Tell
from skylarklift.entry.prefixes import Placement
from skylarklift.entry.rowset import RowChange, RowPage, TableNews
from skylarklift.errors import PeerError
from skylarklift.ids import ReplicaId

FORMAT = 2
LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 16_777_216
REQUEST_LIMIT_BYTES = 4096
READ_BYTES = 65536
COMPRESSION_LEVEL = 1


def encode_tell(tell: Tell) -> bytes:
    """Return a tell as a datagram."""
    return msgpack.packb(
        (
            FORMAT,
            tell.node,
            tell.boot,
            tell.address,
            [(news.cursor, news.material, news.digest, news.age_ms) for news in tell.tables],
            tell.reader,
            tell.leaving,
            tell.loads,
            tell.ejected,
            tell.lost,
            tell.crashes,
            [(placement.names, placement.replica) for placement in tell.placements],
        )
    )


def decode_tell(data: bytes) -> Tell:
    """Return the tell of a datagram; raise `PeerError` for one that is none."""
    try:
        form, *items = msgpack.unpackb(data, use_list=False)
        if form != FORMAT:
            raise PeerError(f"a tell of format {form}")
        node, boot, address, tables, reader, leaving, *rest = items
        loads, ejected, lost, crashes, placements = rest
        return Tell(
            node=str(node),
            boot=str(boot),
            address=str(address),
            tables=tuple(TableNews(*(int(number) for number in news)) for news in tables),
            reader=bool(reader),
            leaving=bool(leaving),
            loads={str(name): int(count) for name, count in loads.items()},
            ejected={str(name): int(left) for name, left in ejected.items()},
            lost=tuple(str(name) for name in lost),
            crashes=tuple((int(mark), str(name)) for mark, name in crashes),
            placements=tuple(
                Placement(tuple(str(name) for name in names), ReplicaId(replica))
                for names, replica in placements
            ),
        )
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as exc:
        raise PeerError(f"not a tell: {exc}") from exc


def encode_page(page: RowPage) -> bytes:
    """Return rows as a compressed message."""
    rows = [(row.key, row.version, row.data) for row in page.rows]
    return zlib.compress(msgpack.packb((page.version, page.whole, rows)), COMPRESSION_LEVEL)


def decode_page(data: bytes) -> RowPage:
    """Return the rows of a message; raise `PeerError`."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, FRAME_LIMIT_BYTES)
        if unpacker.unconsumed_tail:
            raise PeerError(f"rows of over {FRAME_LIMIT_BYTES} bytes")
        version, whole, rows = msgpack.unpackb(text)
        found = [RowChange(str(key), int(number), value) for key, number, value in rows]
        return RowPage(found, int(version), bool(whole))
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as exc:
        raise PeerError(f"not a page of rows: {exc}") from exc


async def send_frame(stream: trio.abc.Stream, body: bytes) -> None:
    """Send one message with its length before it."""
    await stream.send_all(len(body).to_bytes(LENGTH_BYTES, "big") + body)


async def receive_frame(stream: trio.abc.Stream, limit: int) -> bytes | None:
    """Return the next message, or `None` at the end of the connection."""
    head = await _take(stream, LENGTH_BYTES)
    if head is None:
        return None
    length = int.from_bytes(head, "big")
    if length > limit:
        raise PeerError(f"a message of {length} bytes is over the limit")
    return await _take(stream, length)


async def _take(stream: trio.abc.Stream, count: int) -> bytes | None:
    """Return the next `count` bytes, or `None` if the connection ends before."""
    parts, size = [], 0
    while size < count:
        data = await stream.receive_some(min(READ_BYTES, count - size))
        if not data:
            return None
        parts.append(data)
        size += len(data)
    return b"".join(parts)
