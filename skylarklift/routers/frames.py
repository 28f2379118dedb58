"""Message framing on one connection, and mutual authentication by a fleet key.

A frame is a four-byte big-endian length followed by a msgpack message.  The client
sends `Hello`, the server replies with `Challenge` (a nonce and one proof per key),
and the client replies with `Proof`.  A proof is an HMAC-SHA256 over the role and
both nonces.  During a key rotation both keys are valid, and each side accepts either.
"""

import hmac
import secrets
from collections import Counter
from functools import reduce
from operator import or_

import msgspec
import trio

from skylarklift import generated
from skylarklift.errors import AuthenticationError, PeerError
from skylarklift.generated import Challenge, Hello, Proof
from skylarklift.ids import BootId, RouterId
from skylarklift.routers.wire import MESSAGE_TAGS, Message

LENGTH_BYTES = 4
NONCE_BYTES = 16
READ_BYTES = 65536
MAX_HANDSHAKE_FRAME_BYTES = 1024

AnyMessage = reduce(or_, (getattr(generated, name) for name in MESSAGE_TAGS))


class FrameError(PeerError):
    """A frame that is too long or cannot be decoded; the connection must be closed."""


class TrafficCounter:
    """Counts the bytes sent and received, by message type."""

    def __init__(self):
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()

    def total(self) -> int:
        """Return the number of bytes sent and received."""
        return self.sent.total() + self.received.total()


class FrameStream:
    """Sends and receives messages on one connection."""

    def __init__(self, stream: trio.abc.Stream, limit_bytes: int, traffic: TrafficCounter):
        self._stream = stream
        self.limit_bytes = limit_bytes
        self._traffic = traffic
        self._buffer = bytearray()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)

    async def send(self, message: Message) -> None:
        """Send one message."""
        body = self._encoder.encode(message)
        frame = len(body).to_bytes(LENGTH_BYTES, "big") + body
        self._traffic.sent[type(message).__name__] += len(frame)
        await self._stream.send_all(frame)

    async def receive(self) -> Message | None:
        """Return the next message, or `None` if the connection has ended."""
        head = await self._read_exactly(LENGTH_BYTES)
        if head is None:
            return None
        length = int.from_bytes(head, "big")
        if length > self.limit_bytes:
            raise FrameError(f"frame of {length} bytes exceeds the limit of {self.limit_bytes}")
        body = await self._read_exactly(length)
        if body is None:
            return None
        try:
            message = self._decoder.decode(body)
        except msgspec.MsgspecError as exc:
            raise FrameError(f"invalid message: {exc}") from exc
        self._traffic.received[type(message).__name__] += LENGTH_BYTES + length
        return message

    async def _read_exactly(self, count: int) -> bytes | None:
        """Return the next `count` bytes, or `None` if the connection ends earlier."""
        while len(self._buffer) < count:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            self._buffer += data
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken

    async def close(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)


def make_proof(key: str, role: str, own_nonce: bytes, peer_nonce: bytes) -> bytes:
    """Return the proof with which the side of this role shows that it holds the key."""
    return hmac.digest(key.encode(), role.encode() + own_nonce + peer_nonce, "sha256")


def is_valid_proof(
    keys: list[str], role: str, own_nonce: bytes, peer_nonce: bytes, proof: bytes
) -> bool:
    """Return whether a proof was made with one of the keys, compared in constant time."""
    matches = [
        hmac.compare_digest(make_proof(key, role, own_nonce, peer_nonce), proof) for key in keys
    ]
    return any(matches)


async def authenticate_as_client(
    frames: FrameStream, me: RouterId, boot: BootId, keys: list[str]
) -> None:
    """Run the client's side of the handshake; raise `AuthenticationError` on failure."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    await frames.send(Hello(me, boot, nonce))
    challenge = await _receive_as(frames, Challenge)
    for key in keys:
        expected = make_proof(key, "server", challenge.nonce, nonce)
        if any([hmac.compare_digest(expected, proof) for proof in challenge.proofs]):
            await frames.send(Proof(make_proof(key, "client", nonce, challenge.nonce)))
            return
    raise AuthenticationError("the server's proofs match none of the fleet keys")


async def authenticate_as_server(frames: FrameStream, keys: list[str]) -> Hello:
    """Run the server's side of the handshake and return the client's `Hello`.

    Until the client is authenticated, frames are limited to the handshake's limit.
    Raises `AuthenticationError` on failure.
    """
    limit, frames.limit_bytes = frames.limit_bytes, MAX_HANDSHAKE_FRAME_BYTES
    hello = await _receive_as(frames, Hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proofs = [make_proof(key, "server", nonce, hello.nonce) for key in keys]
    await frames.send(Challenge(nonce, proofs))
    proof = await _receive_as(frames, Proof)
    if not is_valid_proof(keys, "client", hello.nonce, nonce, proof.proof):
        raise AuthenticationError(
            f"the proof of router {hello.router!r} matches none of the fleet keys"
        )
    frames.limit_bytes = limit
    return hello


async def _receive_as(frames: FrameStream, wanted: type) -> Message:
    """Return the next message; raise `AuthenticationError` if it has another type."""
    message = await frames.receive()
    if not isinstance(message, wanted):
        raise AuthenticationError(f"expected {wanted.__name__}, got {type(message).__name__}")
    return message
