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

    The replica makes one each `event_pause_ms`.  With an `id_step` over 1 their ids have gaps.
    """

    name: str
    last: int
    event_bytes: int = EVENT_BYTES
    event_pause_ms: int = EVENT_PAUSE_MS
    id_step: int = 1

    def target(self, prefix: str) -> str:
        """Return the target of a request for it."""
        sizes = (self.last, self.event_bytes, self.event_pause_ms, self.id_step)
        return f"{prefix}{'/'.join(str(size) for size in sizes)}/{self.name}"

    @classmethod
    def parse(cls, target: str) -> "WantedStream":
        """Return what a target asks for."""
        _, _, *sizes, name = target.split("/")
        return cls(name, *(int(size) for size in sizes))


def make_event_id(number: int, id_step: int) -> int:
    """Return the id of an event; the gaps between ids differ, and are below twice the step."""
    return number * id_step + number % id_step


def find_event_number(event_id: int, id_step: int) -> int:
    """Return the number of the event with an id."""
    return event_id // id_step


def encode_event(number: int, names: str, size: int, id_step: int = 1) -> bytes:
    """Return one event; `names` tells its replica, software, run and stream."""
    event_id = make_event_id(number, id_step)
    return f"id: {event_id}\ndata: {names} {number}".encode().ljust(size, PADDING) + EVENT_END


def has_size(raw: bytes, size: int) -> bool:
    """Return whether an event, without its end, has all the bytes that it is to have."""
    return raw == raw.rstrip(PADDING).ljust(size, PADDING)
