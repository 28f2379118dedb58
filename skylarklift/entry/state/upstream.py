"""An upstream as a router knows it, and the changes of the cluster state that the log names."""

from dataclasses import dataclass

from skylarklift.clock import Millis
from skylarklift.entry.model import UpstreamRecord

UPSTREAM_ADDED = "upstream_added"
UPSTREAM_REMOVED = "upstream_removed"


@dataclass(slots=True)
class Upstream:
    """A replica that can take requests, with its known state.

    `leaving` is true after the replica has said so in an answer, whatever its entry says.
    `software_doubted` is true from when it could not be reached until its next entry: it may have
    come back with other software, and cannot say so while the store is away.
    `listed_at_start` is true if its entry is of the first list that this router got.
    """

    record: UpstreamRecord
    cold_until: Millis
    known_since: Millis
    draining: bool = False
    leaving: bool = False
    software_doubted: bool = False
    listed_at_start: bool = False


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of the cluster state, as written to the log."""

    event: str
    subject: str
    version: int
    detail: str = ""


def is_restart(known: UpstreamRecord, reported: UpstreamRecord) -> bool:
    """Return whether an entry shows that the replica has restarted since the known entry."""
    return (
        reported.started_ms != known.started_ms
        or (reported.host, reported.port) != (known.host, known.port)
        or reported.service != known.service
    )
