"""Apply patches to the routing configuration and plan the writes that accept them.

A patch names the version it was made against.  It is written together with the new
head in one conditional transaction, so the store accepts only one of two patches
against the same version.  The row of the patch id shows later whether the patch was
accepted.
"""

from dataclasses import dataclass
from typing import Any

import json_merge_patch
import jsonpatch
from msgspec import convert, to_builtins

from skylarklift.config.routing import RoutingTable, check_value
from skylarklift.errors import PatchError, StalePatch
from skylarklift.generated import HeadRow, PatchFormat, PatchRow
from skylarklift.ids import PatchId, Version
from skylarklift.store.base import ABSENT, Row, Write

HEAD_PREFIX = "head/"
HEAD_KEY = "head/config"
VIEW_KEY = "head/view"
PATCH_PREFIX = "config/patch/"
PATCH_ID_PREFIX = "config/patch-id/"
SNAPSHOT_PREFIX = "config/snapshot/"


@dataclass(frozen=True)
class PatchRequest:
    """A patch as submitted by an operator."""

    base: Version
    patch_id: PatchId
    operator: str
    format: PatchFormat
    patch: Any
    note: str = ""


@dataclass(frozen=True)
class PatchPlan:
    """A validated patch: the resulting configuration, the patch row and the writes."""

    table: RoutingTable
    row: PatchRow
    writes: list[Write]


def patch_key(version: int) -> str:
    """Return the key of a patch row; zero-padded, so that keys sort by version."""
    return f"{PATCH_PREFIX}{version:010d}"


def snapshot_key(version: int) -> str:
    """Return the key of the object that holds the configuration of a version."""
    return f"{SNAPSHOT_PREFIX}{version:010d}"


def apply_patch(value: Any, patch_format: PatchFormat, patch: Any) -> Any:
    """Return a copy of a configuration with the patch applied."""
    if patch_format is PatchFormat.MERGE:
        # `merge` changes its first argument in place.
        return json_merge_patch.merge(to_builtins(value), patch)
    try:
        return jsonpatch.apply_patch(value, patch, in_place=False)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError) as exc:
        raise PatchError(f"the patch does not apply: {exc}") from exc


def plan_patch(table: RoutingTable, head: Row | None, request: PatchRequest) -> PatchPlan:
    """Validate a patch against the configuration in force and return the writes."""
    if request.base != table.version:
        raise StalePatch(table.version, [])
    value = apply_patch(table.value, request.format, request.patch)
    check_value("patch", value)
    successor = RoutingTable(Version(table.version + 1), value)
    row = PatchRow(
        version=successor.version,
        patch_id=request.patch_id,
        operator=request.operator,
        format=request.format,
        patch=request.patch,
        digest=successor.digest,
        note=request.note,
    )
    snapshot = convert(head.value, type=HeadRow).snapshot if head else 0
    head_row = HeadRow(version=successor.version, snapshot=snapshot, digest=successor.digest)
    writes = [
        Write(HEAD_KEY, to_builtins(head_row), head.version if head else ABSENT),
        Write(patch_key(successor.version), to_builtins(row), ABSENT),
        Write(PATCH_ID_PREFIX + request.patch_id, {"version": successor.version}, ABSENT),
    ]
    return PatchPlan(successor, row, writes)


def apply_patch_row(table: RoutingTable, row: PatchRow) -> RoutingTable:
    """Return the configuration after an accepted patch, whose digest must match."""
    if row.version != table.version + 1:
        raise PatchError(f"patch {row.version} does not follow on version {table.version}")
    value = apply_patch(table.value, row.format, row.patch)
    successor = RoutingTable(Version(row.version), value)
    if successor.digest != row.digest:
        raise PatchError(f"version {row.version} has another digest than its patch row says")
    return successor


def empty_table() -> RoutingTable:
    """Return the configuration before the first patch."""
    return RoutingTable(Version(0), {"zones": {}})
