"""Messages between routers about which software version began a stream."""

from dataclasses import dataclass, replace
from typing import Any

import msgpack

from skylarklift.entry.versions.stream_origins import DoubtedEnd, StreamOrigin
from skylarklift.errors import PeerError
from skylarklift.ids import RequestId, ServiceId, SoftwareVersion
from skylarklift.util.bounded import checked_integer, checked_text

# The first item of a message; gossip messages and those about crashes have other numbers there.
ORIGIN_FORMAT = 102
MAX_ORIGINS = 64
MAX_ASKED = 16


@dataclass(frozen=True, slots=True)
class OriginMessage:
    """Origins that the sender knows, the requests it asks about, and those it does not know."""

    node: str
    origins: tuple[StreamOrigin, ...] = ()
    asked: tuple[RequestId, ...] = ()
    unknown: tuple[RequestId, ...] = ()


def encode_origin_message(message: OriginMessage) -> bytes:
    """Return a message as a datagram."""
    origins = [_origin_fields(item) for item in message.origins]
    return msgpack.packb(
        (
            ORIGIN_FORMAT,
            message.node,
            origins[:MAX_ORIGINS],
            message.asked[:MAX_ASKED],
            message.unknown[:MAX_ASKED],
        )
    )


def split_doubted_ends(message: OriginMessage) -> tuple[OriginMessage, ...]:
    """Return a message as ones of which any router reads the first, which has no doubted end.

    Routers of earlier releases drop a message with one, and with it the versions in it.
    """
    ended = tuple(item for item in message.origins if item.doubted_end is not None)
    if not ended:
        return (message,)
    plain = tuple(replace(item, doubted_end=None) for item in message.origins)
    return replace(message, origins=plain), OriginMessage(message.node, origins=ended)


def _origin_fields(origin: StreamOrigin) -> tuple:
    """Return the fields of an origin; routers of earlier releases know three."""
    fields, end = (origin.request, origin.service, origin.version), origin.doubted_end
    return fields if end is None else (*fields, end.last_event, end.runs)


def is_origin_message(data: bytes) -> bool:
    """Return whether a datagram is a message about the origins of streams."""
    return data[1:2] == msgpack.packb(ORIGIN_FORMAT)


def decode_origin_message(data: bytes) -> OriginMessage:
    """Return the message in a datagram; raise `PeerError` if it is invalid."""
    try:
        _, node, origins, asked, unknown = msgpack.unpackb(data, use_list=False)
        return OriginMessage(
            checked_text(node),
            tuple(_decode_origin(*fields) for fields in origins[:MAX_ORIGINS]),
            tuple(RequestId(checked_text(request)) for request in asked[:MAX_ASKED]),
            tuple(RequestId(checked_text(request)) for request in unknown[:MAX_ASKED]),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid message about streams: {exc}") from exc


def _decode_origin(request: Any, service: Any, version: Any, *doubted_end: Any) -> StreamOrigin:
    """Return the origin of one stream; raise `ValueError`."""
    end = None
    if doubted_end:
        last_event, runs = doubted_end
        end = DoubtedEnd(checked_integer(last_event), checked_integer(runs))
    return StreamOrigin(
        RequestId(checked_text(request)),
        ServiceId(checked_text(service)),
        None if version is None else SoftwareVersion(checked_text(version)),
        end,
    )
