"""How many processes one request, which its client repeats, has crashed.

A replica that starts again under its id is another process.  One that crashes for a reason of its
own, again and again, breaks off a sound request each time that this waits there.  So several
crashes of one replica count as often only if the request alone was there each time.
"""

from collections.abc import Collection, Mapping

from skylarklift.entry.crashes.crash_records import Crash, Suspect, SuspectKind, SuspectRecord
from skylarklift.ids import ReplicaId

# The weight of a crash at which a suspect was only in requests that had been answered for a while.
ANSWERED_WEIGHT = 0.5


class ProcessCrashes:
    """The crashes that are evidence against a request, by replica and by start of its process.

    `all_crashes` are the recent ones of all replicas, and `records` those of all suspects.
    """

    def __init__(
        self,
        request: Suspect,
        counted: Collection[Crash],
        all_crashes: Collection[Crash],
        records: Mapping[Suspect, SuspectRecord],
    ):
        self._request = request
        self._record = records[request]
        self._all_crashes = all_crashes
        self._records = records
        self._by_replica: dict[ReplicaId, dict[int, float]] = {}
        for crash in counted:
            starts = self._by_replica.setdefault(crash.replica, {})
            known = starts.get(crash.started_ms, 0.0)
            starts[crash.started_ms] = max(known, self._weigh(crash))

    def _weigh(self, crash: Crash) -> float:
        """Return the weight of one crash."""
        return 1.0 if crash in self._record.unanswered else ANSWERED_WEIGHT

    def replica_weight(self) -> float:
        """Return how many different replicas the request has crashed."""
        return sum(max(starts.values()) for starts in self._by_replica.values())

    def process_weight(self) -> float:
        """Return how many different processes it has crashed, as far as nothing else may have."""
        return sum(
            sum(starts.values()) if self._alone_crashes(replica) else max(starts.values())
            for replica, starts in self._by_replica.items()
        )

    def _alone_crashes(self, replica: ReplicaId) -> bool:
        """Return whether nothing else explains that a replica crashed several times."""
        return len(self._by_replica[replica]) > 1 and not self._crashes_otherwise(replica)

    def _crashes_otherwise(self, replica: ReplicaId) -> bool:
        """Return whether a replica crashed without the request, or always with another one too."""
        crashes = [crash for crash in self._all_crashes if crash.replica == replica]
        if any(crash not in self._record.crashes for crash in crashes):
            return True
        return any(
            suspect.kind is SuspectKind.REQUEST
            and suspect != self._request
            and all(crash in record.crashes for crash in crashes)
            for suspect, record in self._records.items()
        )
