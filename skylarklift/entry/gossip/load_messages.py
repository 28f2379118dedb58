"""Messages between routers about upstreams that have just become busy or slow."""

from dataclasses import dataclass

import msgpack

from skylarklift.entry.gossip.speed_fields import (
    decode_slow_replicas,
    encode_slow_replicas,
)
from skylarklift.entry.gossip.wire import decode_observed_load
from skylarklift.entry.placement.observed_loads import MAX_REPORTS, ObservedLoad
from skylarklift.entry.placement.replica_speeds import SlowReplica
from skylarklift.errors import PeerError

# The first item of a message; other messages between routers have other numbers there.
LOAD_FORMAT = 103


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """What a router knows of busy and of slow upstreams."""

    loads: tuple[ObservedLoad, ...] = ()
    slow_replicas: tuple[SlowReplica, ...] = ()


def encode_load_message(message: LoadMessage) -> bytes:
    """Return a message as a datagram.

    Routers of earlier releases refuse one that has an item for slow replicas.
    """
    loads = [(item.replica, item.load, item.age_ms, item.urgent) for item in message.loads]
    slow = encode_slow_replicas(message.slow_replicas)
    return msgpack.packb((LOAD_FORMAT, loads, slow) if slow else (LOAD_FORMAT, loads))


def is_load_message(data: bytes) -> bool:
    """Return whether a datagram is a message about busy upstreams."""
    return data[1:2] == msgpack.packb(LOAD_FORMAT)


def decode_load_message(data: bytes) -> LoadMessage:
    """Return the message in a datagram; raise `PeerError` if it is invalid."""
    try:
        _, loads, *extras = msgpack.unpackb(data, use_list=False)
        return LoadMessage(
            tuple(decode_observed_load(*fields) for fields in loads[:MAX_REPORTS]),
            decode_slow_replicas(extras[0]) if extras else (),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid message about loads: {exc}") from exc
