"""Encode and decode what gossip says of upstreams that must not be overloaded."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from skylarklift.entry.placement.concurrency_limits import (
    MAX_REPORTS,
    Backpressure,
    Rejection,
    RejectionLimit,
)
from skylarklift.ids import ReplicaId, ServiceId
from skylarklift.util.bounded import checked_age, checked_integer, checked_list, checked_text

REJECTION_LIMITS_KEY = "rejection_limits"
REJECTIONS_KEY = "rejections"


def backpressure_fields(reports: Backpressure) -> dict[str, list]:
    """Return the fields for a message, none without anything to report."""
    fields = {}
    if reports.limits:
        fields[REJECTION_LIMITS_KEY] = [
            (limit.service, limit.per_second, limit.age_ms) for limit in reports.limits
        ]
    if reports.rejections:
        fields[REJECTIONS_KEY] = [(item.replica, item.age_ms) for item in reports.rejections]
    return fields


def decode_backpressure(extras: Mapping) -> Backpressure:
    """Return what a message reports, nothing from an earlier release; raise `ValueError`."""
    if REJECTION_LIMITS_KEY not in extras and REJECTIONS_KEY not in extras:
        return Backpressure()
    return Backpressure(
        tuple(
            _decode_limit(*fields)
            for fields in checked_list(extras.get(REJECTION_LIMITS_KEY, ()))[:MAX_REPORTS]
        ),
        tuple(
            _decode_rejection(*fields)
            for fields in checked_list(extras.get(REJECTIONS_KEY, ()))[:MAX_REPORTS]
        ),
    )


def add_wait_to_backpressure(reports: Backpressure, waited_ms: int) -> Backpressure:
    """Return reports with the ages of now."""
    return Backpressure(
        tuple(replace(item, age_ms=item.age_ms + waited_ms) for item in reports.limits),
        tuple(replace(item, age_ms=item.age_ms + waited_ms) for item in reports.rejections),
    )


def _decode_limit(service: Any, per_second: Any, age_ms: Any) -> RejectionLimit:
    """Return what another router knows of a service's limit; raise `ValueError`."""
    return RejectionLimit(
        ServiceId(checked_text(service)), checked_integer(per_second), checked_age(age_ms)
    )


def _decode_rejection(replica: Any, age_ms: Any) -> Rejection:
    """Return what another router knows of an upstream's rejection; raise `ValueError`."""
    return Rejection(ReplicaId(checked_text(replica)), checked_age(age_ms))
