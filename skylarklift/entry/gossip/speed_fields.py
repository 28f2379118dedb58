"""Encode and decode what messages between routers say of slow replicas."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from skylarklift.entry.placement.replica_speeds import MAX_REPORTS, SlowReplica
from skylarklift.ids import ReplicaId
from skylarklift.util.bounded import checked_age, checked_integer, checked_list, checked_text


def encode_slow_replicas(reports: Iterable[SlowReplica]) -> list[tuple[str, int, int]]:
    """Return reports of slow replicas as a field of a message."""
    return [(item.replica, item.work_percent, item.age_ms) for item in reports]


def decode_slow_replicas(field: Any) -> tuple[SlowReplica, ...]:
    """Return the reports in a field; raise `ValueError`."""
    return tuple(_decode_report(*fields) for fields in checked_list(field)[:MAX_REPORTS])


def add_wait_to_slow(reports: Iterable[SlowReplica], waited_ms: int) -> tuple[SlowReplica, ...]:
    """Return reports of slow replicas with the ages of now."""
    return tuple(replace(item, age_ms=item.age_ms + waited_ms) for item in reports)


def _decode_report(replica: Any, work_percent: Any, age_ms: Any) -> SlowReplica:
    """Return what another router knows of a replica's speed; raise `ValueError`."""
    return SlowReplica(
        ReplicaId(checked_text(replica)),
        checked_integer(work_percent),
        checked_age(age_ms),
    )
