"""Messages between routers about upstreams that have just become busy."""

import msgpack

from skylarklift.entry.gossip.wire import decode_observed_load
from skylarklift.entry.placement.observed_loads import MAX_REPORTS, ObservedLoad
from skylarklift.errors import PeerError

# The first item of a message; other messages between routers have other numbers there.
LOAD_FORMAT = 103


def encode_load_message(loads: tuple[ObservedLoad, ...]) -> bytes:
    """Return observed loads as a datagram."""
    return msgpack.packb(
        (LOAD_FORMAT, [(item.replica, item.load, item.age_ms, item.urgent) for item in loads])
    )


def is_load_message(data: bytes) -> bool:
    """Return whether a datagram is a message about busy upstreams."""
    return data[1:2] == msgpack.packb(LOAD_FORMAT)


def decode_load_message(data: bytes) -> tuple[ObservedLoad, ...]:
    """Return the observed loads in a datagram; raise `PeerError` if it is invalid."""
    try:
        _, loads = msgpack.unpackb(data, use_list=False)
        return tuple(decode_observed_load(*fields) for fields in loads[:MAX_REPORTS])
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid message about loads: {exc}") from exc
