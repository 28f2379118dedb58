"""Encode what a router and its relay, another router, say to each other on a connection.

The first frame is a request, the second one the reply.  If the relay has connected to the upstream,
the bytes of the requests follow as they are, and those of the answers in frames.  An empty frame
stands for the end of the upstream's connection, so that the relay's own end is not taken for it.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgpack

from skylarklift.entry.model import MAX_PORT, Endpoint
from skylarklift.errors import PeerError
from skylarklift.ids import ReplicaId
from skylarklift.util.bounded import checked_integer, checked_text

# The first item of a request; requests for rows have the number of a table there.
RELAY_FORMAT = 103
MAX_REPLY_BYTES = 64
MAX_CONNECT_MS = 2000


class RelayReply(Enum):
    """What a relay says to a request.

    `UNREACHABLE`: the upstream refuses its connection, too.  `TIMED_OUT`: the upstream did not
    answer it in time.  `CUT_OFF`: it has lost its own links to the upstream's zone.
    `UNKNOWN_UPSTREAM`: it knows no upstream of this name at this address.  `BUSY`: it has no room.
    `STOPPING`: it is about to end.
    """

    CONNECTED = "connected"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    CUT_OFF = "cut_off"
    UNKNOWN_UPSTREAM = "unknown_upstream"
    BUSY = "busy"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request to connect to an upstream within a time."""

    replica: ReplicaId
    address: Endpoint
    timeout_ms: int


def encode_relay_request(request: RelayRequest) -> bytes:
    """Return a request as the body of a frame."""
    address = request.address
    return msgpack.packb(
        (RELAY_FORMAT, request.replica, address.host, address.port, request.timeout_ms)
    )


def is_relay_request(body: bytes) -> bool:
    """Return whether the first frame of a connection asks this router to be a relay."""
    return body[1:2] == msgpack.packb(RELAY_FORMAT)


def decode_relay_request(body: bytes) -> RelayRequest:
    """Return the request in a frame; raise `PeerError` if it is invalid."""
    try:
        _, replica, host, port, timeout_ms = msgpack.unpackb(body, use_list=False)
        return RelayRequest(
            ReplicaId(checked_text(replica)),
            Endpoint(checked_text(host), checked_integer(port, 1, MAX_PORT)),
            checked_integer(timeout_ms, 1, MAX_CONNECT_MS),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid request to relay: {exc}") from exc


def encode_relay_reply(reply: RelayReply) -> bytes:
    """Return a reply as the body of a frame."""
    return msgpack.packb(reply.value)


def decode_relay_reply(body: bytes) -> RelayReply:
    """Return the reply in a frame; raise `PeerError` if it is invalid."""
    try:
        value: Any = msgpack.unpackb(body)
        return RelayReply(value)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise PeerError(f"invalid reply of a relay: {exc}") from exc
