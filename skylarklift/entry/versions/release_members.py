"""Which processes of replicas a row on software versions was written for, as a digest.

A store that was restored from a copy has lost rows only if proportions changed after the copy was
made.  That takes another process of a replica, which shows in the replicas' own entries once all of
them have been written again, or a version that could not be used.
"""

from collections.abc import Iterable
from typing import NewType

from skylarklift.entry.model import UpstreamRecord
from skylarklift.hashing import text_digest

MembersDigest = NewType("MembersDigest", str)


def digest_members(records: Iterable[UpstreamRecord]) -> MembersDigest | None:
    """Return a digest of the processes, `None` if one does not say when it started."""
    found = sorted((record.replica, record.started_ms, record.software or "") for record in records)
    if not found or not all(started_ms for _, started_ms, _ in found):
        return None
    return MembersDigest(text_digest(repr(found)))
