"""An upstream as a router knows it, and the changes of the cluster state that the log names."""

from dataclasses import dataclass

from skylarklift.clock import Millis
from skylarklift.entry.model import Endpoint, UpstreamRecord
from skylarklift.entry.state.rows import FIRST_ERA, Era

ROW_INVALID = "row_invalid"
UPSTREAM_ADDED = "upstream_added"
UPSTREAM_REMOVED = "upstream_removed"
# The entry of a replica that restarted is in the store this long after its connections ended.
ENTRY_DELAY_MS = 1200
# Replicas have renewed the entries of a restored store this long after its return.
COPIED_ENTRY_MS = 2200
# A router that starts has heard others by then, which know whether the store was restored lately.
OTHERS_HEARD_MS = 300
# A suspicion is sent to other routers for this long, in two rounds of gossip or more.
SUSPICION_TOLD_MS = 700


@dataclass(slots=True)
class Upstream:
    """A replica that can take requests, with its known state.

    `leaving` is true after the replica has said so in an answer, whatever its entry says.
    `software_doubted` is true from when it could not be reached until its next entry: it may have
    come back with other software, and cannot say so while the store is away.
    `restart_suspected_at` is when it last ended a connection that was in use or could have been,
    and `restart_seen_at` the same of connections of this router.  `asked_at` is when this router
    last asked whether it has restarted.
    `listed_at_start` is true if its entry is of the first list that this router got.
    `process_seen_at` is when the process of its entry was last asked something that it answered.
    """

    record: UpstreamRecord
    cold_until: Millis
    known_since: Millis
    draining: bool = False
    leaving: bool = False
    software_doubted: bool = False
    listed_at_start: bool = False
    restart_suspected_at: Millis | None = None
    restart_seen_at: Millis | None = None
    asked_at: Millis = Millis(0)
    process_seen_at: Millis = Millis(0)

    @property
    def endpoint(self) -> Endpoint:
        """Return the address of the upstream."""
        return Endpoint(self.record.host, self.record.port)

    def mark_listed_at_start(self, era: Era) -> None:
        """Record that its entry is of the first list, which may be of a store restored lately.

        An entry of the copy says nothing of a cold period that began after the copy was made.
        """
        self.listed_at_start = True
        if era > FIRST_ERA:
            self._treat_as_cold(OTHERS_HEARD_MS)

    def doubt_copied_entry(self) -> None:
        """Treat it as cold for a while, if its entry was listed just after the store's restore."""
        if self.listed_at_start:
            self._treat_as_cold(COPIED_ENTRY_MS)

    def _treat_as_cold(self, span_ms: int) -> None:
        """Treat it as cold until this long after it became known."""
        self.cold_until = max(self.cold_until, Millis(self.known_since + span_ms))

    def suspect_restart(self, now: Millis, *, seen_here: bool) -> None:
        """Record that it ended a connection; another router tells the same one several times."""
        suspected_at = self.restart_suspected_at
        if seen_here:
            self.restart_seen_at = now
        elif suspected_at is not None and now < suspected_at + SUSPICION_TOLD_MS:
            return
        self.restart_suspected_at = now

    def tells_restart(self, now: Millis) -> bool:
        """Return whether to send to other routers that it may have restarted."""
        seen_at = self.restart_seen_at
        return (
            seen_at is not None
            and self.restart_suspected_at is not None
            and now < seen_at + SUSPICION_TOLD_MS
        )

    def may_have_restarted(self, rows_confirmed_at: Millis | None) -> bool:
        """Return whether it may have restarted since its entry was written.

        Not if the store confirmed the entry later than that of a new process would be there.
        """
        suspected_at = self.restart_suspected_at
        if suspected_at is None:
            return False
        return rows_confirmed_at is None or rows_confirmed_at < suspected_at + ENTRY_DELAY_MS

    def record_process_seen(self, asked_at: Millis) -> None:
        """Record that the process of the entry answered what it was asked at some time."""
        self.process_seen_at = max(self.process_seen_at, asked_at)

    def is_connected_to_process(self, connected_at: Millis) -> bool:
        """Return whether a connection made at some time is to the process of the entry.

        That process served before, as its entry was known, and after, as it has answered since.
        """
        return self.known_since < connected_at < self.process_seen_at

    def record_same_process(self) -> None:
        """Record that the process has said that it is the one of the entry."""
        self.restart_suspected_at = None


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
