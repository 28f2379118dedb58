"""Encode and decode what messages between routers say of software that ends answers early."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from skylarklift.entry.placement.early_ends import MAX_REPORTS, EarlyEnd, Software
from skylarklift.ids import ServiceId, SoftwareVersion
from skylarklift.util.bounded import checked_age, checked_list, checked_text


def encode_early_ends(reports: Iterable[EarlyEnd]) -> list[tuple[str, str | None, int]]:
    """Return reports of early ends as a field of a message."""
    return [(item.software.service, item.software.version, item.age_ms) for item in reports]


def decode_early_ends(field: Any) -> tuple[EarlyEnd, ...]:
    """Return the reports in a field; raise `ValueError`."""
    return tuple(_decode_report(*fields) for fields in checked_list(field)[:MAX_REPORTS])


def add_wait_to_early_ends(reports: Iterable[EarlyEnd], waited_ms: int) -> tuple[EarlyEnd, ...]:
    """Return reports of early ends with the ages of now."""
    return tuple(replace(item, age_ms=item.age_ms + waited_ms) for item in reports)


def _decode_report(service: Any, version: Any, age_ms: Any) -> EarlyEnd:
    """Return when software ended an answer early; raise `ValueError`."""
    named = None if version is None else SoftwareVersion(checked_text(version))
    software = Software(ServiceId(checked_text(service)), named)
    return EarlyEnd(software, checked_age(age_ms))
