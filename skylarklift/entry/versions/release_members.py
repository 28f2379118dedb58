"""Which processes of replicas a row on software versions was written for: a digest, and some names.

A store that was restored from a copy has lost rows only if proportions changed after the copy was
made.  That takes another process of a replica, which shows in the replicas' own entries once all of
them have been written again, or a version that could not be used.

While the store takes no writes, a version may lose its last replica and come back, which no row
tells.  The row names some processes of each version: one that serves on was there all the time.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

from skylarklift.entry.model import UpstreamRecord
from skylarklift.hashing import text_digest
from skylarklift.ids import SoftwareVersion

# The processes of each version, and the versions, that a row names.
MAX_PROCESSES = 4
MAX_NAMED_VERSIONS = 16
# The entry of a single replica may have lapsed, and be back, while the store was away.
MIN_REPLICAS = 2

MembersDigest = NewType("MembersDigest", str)
ProcessName = NewType("ProcessName", str)


@dataclass(frozen=True, slots=True)
class VersionProcesses:
    """Some of the processes that served at a version."""

    version: SoftwareVersion
    names: tuple[ProcessName, ...]


def digest_members(records: Iterable[UpstreamRecord]) -> MembersDigest | None:
    """Return a digest of the processes, `None` if one does not say when it started."""
    found = sorted((record.replica, record.started_ms, record.software or "") for record in records)
    if not found or not all(started_ms for _, started_ms, _ in found):
        return None
    return MembersDigest(text_digest(repr(found)))


def name_processes(records: Iterable[UpstreamRecord]) -> tuple[VersionProcesses, ...]:
    """Return a few processes of each version, those that started first."""
    found: dict[SoftwareVersion, list[ProcessName]] = {}
    for record in sorted(records, key=lambda record: (record.started_ms, record.replica)):
        if record.software is not None and record.started_ms:
            found.setdefault(record.software, []).append(_name_process(record))
    named = sorted(found.items())[:MAX_NAMED_VERSIONS]
    return tuple(VersionProcesses(item, tuple(names[:MAX_PROCESSES])) for item, names in named)


def _name_process(record: UpstreamRecord) -> ProcessName:
    """Return what tells a process from others, also from those of the same replica."""
    return ProcessName(text_digest(f"{record.replica} {record.started_ms}"))


def find_certain(
    named: Iterable[VersionProcesses], records: Iterable[UpstreamRecord]
) -> frozenset[SoftwareVersion]:
    """Return the versions that have had replicas all the time since a row named processes.

    One of these still serves, beside another replica.
    """
    serving: dict[SoftwareVersion, set[ProcessName]] = {}
    for record in records:
        if record.software is not None:
            serving.setdefault(record.software, set()).add(_name_process(record))
    return frozenset(
        item.version
        for item in named
        if min(len(item.names), len(serving.get(item.version, ()))) >= MIN_REPLICAS
        and not serving[item.version].isdisjoint(item.names)
    )
