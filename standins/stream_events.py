"""The events of a stream that a caller asks a replica for, as both sides know them."""

from dataclasses import dataclass

EVENT_BYTES = 55
LARGE_EVENT_BYTES = 40_000
EVENT_PAUSE_MS = 35
EVENT_END = b"\n\n"
PADDING = b"."


@dataclass(frozen=True)
class WantedStream:
    """What the target of a request asks for: events up to `last`, each of at least a size.

    The replica makes one each `event_pause_ms`.
    """

    name: str
    last: int
    event_bytes: int = EVENT_BYTES
    event_pause_ms: int = EVENT_PAUSE_MS

    def target(self, prefix: str) -> str:
        """Return the target of a request for it."""
        return f"{prefix}{self.last}/{self.event_bytes}/{self.event_pause_ms}/{self.name}"

    @classmethod
    def parse(cls, target: str) -> "WantedStream":
        """Return what a target asks for."""
        _, _, last, size, pause_ms, name = target.split("/")
        return cls(name, int(last), int(size), int(pause_ms))


def encode_event(number: int, names: str, size: int) -> bytes:
    """Return one event; `names` tells its replica, software, run and stream."""
    return f"id: {number}\ndata: {names} {number}".encode().ljust(size, PADDING) + EVENT_END


def has_size(raw: bytes, size: int) -> bool:
    """Return whether an event, without its end, has all the bytes that it is to have."""
    return raw == raw.rstrip(PADDING).ljust(size, PADDING)
