"""Track the newest configuration and membership view, and accept changes to them.

A head is the newest configuration version or the newest view, each stored in a row
of the table service.  `HeadManager` holds the heads that this router acts on.  It
polls the store at an interval that keeps the whole fleet below
`fleet_reads_per_second`, installs newer versions that other routers send, and
accepts patches by conditional writes.
"""

import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from msgspec import convert, json, to_builtins

from skylarklift.clock import MS_PER_SECOND, Clock, Millis, sleep_ms
from skylarklift.config.patching import (
    HEAD_KEY,
    HEAD_PREFIX,
    PATCH_ID_PREFIX,
    PATCH_PREFIX,
    VIEW_KEY,
    PatchPlan,
    PatchRequest,
    apply_patch_row,
    empty_table,
    patch_key,
    plan_patch,
    snapshot_key,
)
from skylarklift.config.routing import RoutingTable
from skylarklift.errors import (
    PatchError,
    PatchUnsettled,
    StalePatch,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from skylarklift.generated import (
    FetchReply,
    HeadRow,
    PatchIdRow,
    PatchRow,
    Snapshot,
    StoreSettings,
    ViewRow,
)
from skylarklift.ids import PatchId, RouterId, Version
from skylarklift.logger import FAILURES
from skylarklift.store.base import ObjectStore, Row, TableStore, Write
from skylarklift.votes.freshness import AcceptanceTracker, Freshness, HeadNumbers
from skylarklift.votes.lease import VoterSets

MAX_CACHED_PATCHES = 256
# A write can take effect up to this long after it was sent.
MAX_WRITE_DELAY_MS = 10_000
SETTLE_TIMEOUT_MS = 8_000
SETTLE_RETRY_DELAY_MS = 200
POLL_JITTER = 0.2

Announce = Callable[[], None]
Prepare = Callable[[HeadNumbers], Awaitable[bool]]
Withdraw = Callable[[HeadNumbers], Awaitable[None]]


@dataclass
class StoreHeads:
    """The two head rows that one read of the store returned; `None` for an absent row.

    `read_at` is when the read began, the last moment at which they are known to be the newest.
    """

    config: Row | None
    view: Row | None
    read_at: Millis

    def numbers(self) -> HeadNumbers:
        """Return the configuration version and the view number; 0 for an absent row."""
        version = self.config.value["version"] if self.config else 0
        view = self.view.value["number"] if self.view else 0
        return HeadNumbers(version, view)


class HeadManager:
    """Holds the configuration and the view that this router acts on, and updates them."""

    def __init__(
        self,
        clock: Clock,
        cfg: StoreSettings,
        table_store: TableStore,
        object_store: ObjectStore,
        freshness: Freshness,
        voters: VoterSets,
    ):
        self._clock = clock
        self._cfg = cfg
        self._store = table_store
        self._objects = object_store
        self._freshness = freshness
        self._voters = voters
        self.acceptance_tracker = AcceptanceTracker(clock, MAX_WRITE_DELAY_MS)
        self.table = empty_table()
        self.view = ViewRow(number=0, members={})
        self.recent_patches: deque[PatchRow] = deque(maxlen=MAX_CACHED_PATCHES)
        self.store_away = False
        self.installed_at = clock.now()
        self._accept_lock = trio.Lock()
        self._load_lock = trio.Lock()
        self.on_change: list[Callable[[], None]] = []
        self.announce: Announce = lambda: None
        self.prepare: Prepare = _prepare_without_peers
        self.withdraw: Withdraw = _withdraw_without_peers

    def numbers(self) -> HeadNumbers:
        """Return the configuration version and the view number that this router acts on."""
        return HeadNumbers(self.table.version, self.view.number)

    # Reading the store.

    async def poll(self) -> None:
        """Read the head rows once and load newer versions.

        Raises `StoreError` when the store cannot be read.
        """
        await self.refresh()

    async def refresh(self) -> StoreHeads:
        """Read the head rows, load newer versions, and return the rows."""
        stored = await self._read_heads()
        if stored.numbers().is_newer_than(self.numbers()):
            await self._load(stored)
        return stored

    async def _read_heads(self) -> StoreHeads:
        """Read both head rows in one call and record the read as freshness evidence."""
        asked_at = self._clock.now()
        try:
            rows = {row.key: row for row in await self._store.read_prefix(HEAD_PREFIX)}
        except StoreError:
            self.store_away = True
            raise
        self.store_away = False
        stored = StoreHeads(rows.get(HEAD_KEY), rows.get(VIEW_KEY), asked_at)
        self.acceptance_tracker.record_store_read(asked_at)
        self._freshness.record_store_read(asked_at, stored.numbers())
        return stored

    async def _load(self, stored: StoreHeads) -> None:
        """Load a newer configuration and view from the store."""
        async with self._load_lock:
            if stored.config and stored.config.value["version"] > self.table.version:
                await self._load_table(convert(stored.config.value, type=HeadRow))
            if stored.view is not None:
                self._install_view(convert(stored.view.value, type=ViewRow))
            self._freshness.record_store_read(stored.read_at, stored.numbers())

    async def _load_table(self, head: HeadRow) -> None:
        """Load a configuration from the latest snapshot and the patches that follow it."""
        table = self.table
        if head.snapshot > table.version:
            body = await self._objects.get(snapshot_key(head.snapshot))
            if body is not None:
                table = RoutingTable(Version(head.snapshot), json.decode(body))
                self.recent_patches.clear()
        while table.version < head.version:
            row = await self._store.read(patch_key(table.version + 1))
            if row is None:
                raise StoreUnavailable(f"patch {table.version + 1} is missing")
            patch = convert(row.value, type=PatchRow)
            table = apply_patch_row(table, patch)
            self.recent_patches.append(patch)
        self._install_table(table)

    def _install_table(self, table: RoutingTable) -> None:
        """Replace the configuration if the given one is newer."""
        if table.version <= self.table.version:
            return
        self.table = table
        self._notify_change()

    def install_written_view(self, view: ViewRow, read_at: Millis) -> None:
        """Install a view that this router wrote.

        The write says nothing about the configuration, which was read at `read_at`.
        """
        self._install_view(view)
        self._freshness.record_store_read(read_at, self.numbers())

    def _install_view(self, view: ViewRow) -> None:
        """Replace the view if the given one is newer."""
        if view.number <= self.view.number:
            return
        self.view = view
        self._voters.apply_view(view.number, [RouterId(name) for name in view.members])
        self._notify_change()

    def _notify_change(self) -> None:
        """Notify local components and announce the new heads to other routers."""
        self.installed_at = self._clock.now()
        self._freshness.apply_heads(self.numbers())
        self.acceptance_tracker.record_heads(self.numbers())
        for callback in self.on_change:
            callback()
        self.announce()

    async def run_polls(self) -> None:
        """Poll the store until cancelled, at this router's share of `fleet_reads_per_second`."""
        while True:
            try:
                await self.poll()
            except (StoreError, PatchError) as exc:
                FAILURES.record("heads_poll_failed", exc)
            await sleep_ms(self._next_poll_delay_ms())

    def _next_poll_delay_ms(self) -> float:
        """Return the delay before the next poll, with jitter to spread the fleet's reads."""
        rate_limit_interval_ms = (
            len(self.view.members) / self._cfg.fleet_reads_per_second * MS_PER_SECOND
        )
        interval_ms = max(self._cfg.poll_interval_ms, rate_limit_interval_ms)
        return interval_ms * random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    # Transfer between routers.

    def fetch_reply(self, version: int, view: int) -> FetchReply:
        """Return what a router with this configuration version and view number lacks."""
        rows = [row for row in self.recent_patches if row.version > version]
        snapshot = None
        if version < self.table.version and (not rows or rows[0].version != version + 1):
            body = json.encode(self.table.value)
            snapshot = Snapshot(self.table.version, self.table.digest, body)
            rows = []
        view_body = json.encode(self.view) if self.view.number > view else b""
        return FetchReply(
            0,
            snapshot,
            [json.encode(row) for row in rows],
            view_body,
            self.table.version,
            self.view.number,
            self._freshness.evidence_age_ms(),
        )

    def apply_fetch_reply(self, asked_at: Millis, reply: FetchReply) -> None:
        """Install newer versions from another router's reply and record its evidence."""
        table = self.table
        if reply.routing is not None and reply.routing.version > table.version:
            value = json.decode(reply.routing.body)
            table = RoutingTable(Version(reply.routing.version), value)
            if table.digest != reply.routing.digest:
                raise PatchError(
                    f"snapshot of version {table.version} has digest {table.digest}, "
                    f"expected {reply.routing.digest}"
                )
            self.recent_patches.clear()
        for body in reply.patches:
            row = json.decode(body, type=PatchRow)
            if row.version == table.version + 1:
                table = apply_patch_row(table, row)
                self.recent_patches.append(row)
        self._install_table(table)
        if reply.view:
            self._install_view(json.decode(reply.view, type=ViewRow))
        peer_numbers = HeadNumbers(reply.version, reply.view_number)
        self._freshness.record_peer_reply(asked_at, peer_numbers, reply.evidence_age_ms)

    # Accepting patches.

    async def accept(self, request: PatchRequest) -> Version:
        """Accept a patch, at most once per patch id; return its version.

        Raises `StalePatch`, `SettingsError`, `PatchError` or `StoreUnavailable` when
        the patch was not accepted, and `PatchUnsettled` when the outcome is unknown.
        """
        async with self._accept_lock:
            stored = await self.refresh()
            accepted_version = await self._accepted_version(request.patch_id)
            if accepted_version is not None:
                return accepted_version
            if request.base != self.table.version:
                raise StalePatch(self.table.version, await self.changes_since(request.base))
            plan = plan_patch(self.table, stored.config, request)
            await self._write_plan(plan, request)
            self.recent_patches.append(plan.row)
            self._install_table(plan.table)
            # The write says nothing about the view, which was read before.
            self._freshness.record_store_read(stored.read_at, self.numbers())
            await self._write_snapshot_if_due(plan)
            return plan.table.version

    async def agree_on(self, announced: HeadNumbers) -> bool:
        """Announce a change to the freshness voters; return whether it may be written now.

        Voters wait for the write for a limited time, in which this router may have stood still.
        """
        asked_at = self._clock.now()
        if not await self.prepare(announced):
            return False
        if self._clock.now() - asked_at < SETTLE_TIMEOUT_MS:
            return True
        await self.withdraw(announced)
        return False

    async def _accepted_version(self, patch_id: PatchId) -> Version | None:
        """Return the version under which a patch id was accepted, or `None`."""
        row = await self._store.read(PATCH_ID_PREFIX + patch_id)
        return None if row is None else Version(convert(row.value, type=PatchIdRow).version)

    async def _write_plan(self, plan: PatchPlan, request: PatchRequest) -> None:
        """Announce and write a planned patch.

        After a lost answer the same conditional transaction is sent again.  It
        either takes effect now, or conflicts because an earlier attempt took effect.
        """
        announced = HeadNumbers(plan.table.version, self.view.number)
        if not await self.agree_on(announced):
            raise PatchError("too few routers answer to put a change in force; try again")
        answer_lost = False
        deadline = self._clock.now() + SETTLE_TIMEOUT_MS
        while True:
            try:
                await self._store.transact(plan.writes)
                return
            except StoreConflict as exc:
                await self._settle_conflict(plan, request, exc, answer_lost)
                return
            except StoreAnswerLost:
                answer_lost = True
            except StoreUnavailable:
                if not answer_lost:
                    await self.withdraw(announced)
                    raise
            if self._clock.now() >= deadline:
                raise PatchUnsettled("the store did not say whether the patch was accepted")
            await sleep_ms(SETTLE_RETRY_DELAY_MS)

    async def _settle_conflict(
        self, plan: PatchPlan, request: PatchRequest, exc: StoreConflict, answer_lost: bool
    ) -> None:
        """Return if an earlier attempt of this router caused the conflict.

        Raises `StalePatch` otherwise.
        """
        own = exc.rows.get(PATCH_ID_PREFIX + request.patch_id)
        if answer_lost and own is not None and own.value["version"] == plan.table.version:
            return
        head = exc.rows.get(HEAD_KEY)
        current = head.value["version"] if head else self.table.version
        try:
            await self.poll()
        except (StoreError, PatchError) as read_error:
            FAILURES.record("changes_read_failed", read_error, version=str(current))
            raise StalePatch(current, []) from exc
        raise StalePatch(current, await self.changes_since(request.base)) from exc

    async def changes_since(self, version: int) -> list[PatchRow]:
        """Return the accepted patches after a version, oldest first."""
        rows = [row for row in self.recent_patches if row.version > version]
        if rows and rows[0].version == version + 1 or version >= self.table.version:
            return rows
        found = await self._store.read_prefix(PATCH_PREFIX)
        patches = [convert(row.value, type=PatchRow) for row in found]
        return [row for row in patches if row.version > version]

    async def _write_snapshot_if_due(self, plan: PatchPlan) -> None:
        """Write a snapshot if the version is a multiple of `snapshot_every_versions`.

        A failure is only logged, since the patch is accepted without a snapshot too.
        """
        version = plan.table.version
        if version % self._cfg.snapshot_every_versions:
            return
        try:
            await self._objects.put(snapshot_key(version), json.encode(plan.table.value))
            row = await self._store.read(HEAD_KEY)
            head = convert(row.value, type=HeadRow)
            if head.version == version:
                head.snapshot = version
                await self._store.transact([Write(HEAD_KEY, to_builtins(head), row.version)])
        except StoreError as exc:
            # The next snapshot also contains this version.
            FAILURES.record("snapshot_write_failed", exc, version=str(version))

    def age_ms(self) -> int:
        """Return the time since this router last installed a configuration or a view."""
        return self._clock.now() - self.installed_at


async def _prepare_without_peers(_heads: HeadNumbers) -> bool:
    """Agree, as there is no other router to ask."""
    return True


async def _withdraw_without_peers(_heads: HeadNumbers) -> None:
    """Do nothing, as there is no other router to notify."""
