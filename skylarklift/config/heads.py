"""Keep the newest configuration and view: read them, hand them on, accept changes.

`HeadKeeper` owns what this router acts on.  It reads the store at a rate that keeps
the whole fleet within its share, takes newer versions from other routers, and
accepts patches and changes of the view by conditional writes.
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
    empty_table,
    patch_key,
    plan_patch,
    replay,
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
from skylarklift.votes.freshness import AcceptanceWatch, Freshness, HeadNumbers
from skylarklift.votes.lease import VoterSets

ROWS_KEPT = 256
WRITE_LIMIT_MS = 10_000
SETTLE_LIMIT_MS = 8_000
SETTLE_PAUSE_MS = 200
POLL_JITTER = 0.2

Announce = Callable[[], None]
Prepare = Callable[[HeadNumbers], Awaitable[bool]]
Withdraw = Callable[[HeadNumbers], Awaitable[None]]


@dataclass
class StoreHeads:
    """What one read of the head rows found."""

    config: Row | None
    view: Row | None

    def numbers(self) -> HeadNumbers:
        """Return the numbers of the rows; 0 for an absent one."""
        version = self.config.value["version"] if self.config else 0
        view = self.view.value["number"] if self.view else 0
        return HeadNumbers(version, view)


class HeadKeeper:
    """The configuration and the view that this router acts on."""

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
        self.watch = AcceptanceWatch(clock, WRITE_LIMIT_MS)
        self.table = empty_table()
        self.view = ViewRow(number=0, members={})
        self.rows: deque[PatchRow] = deque(maxlen=ROWS_KEPT)
        self.store_away = False
        self.installed_at = clock.now()
        self._accepting = trio.Lock()
        self._loading = trio.Lock()
        self.on_change: list[Callable[[], None]] = []
        self.announce: Announce = lambda: None
        self.prepare: Prepare = _agree_alone
        self.withdraw: Withdraw = _withdraw_alone

    def heads(self) -> HeadNumbers:
        """Return the numbers in force at this router."""
        return HeadNumbers(self.table.version, self.view.number)

    # Reading the store.

    async def poll(self) -> None:
        """Read the head rows once; load what is newer.

        Raises `StoreError` when the store cannot be read.
        """
        await self.refresh()

    async def refresh(self) -> StoreHeads:
        """Read the head rows, load what is newer, and return the rows."""
        found = await self._read_heads()
        if found.numbers().is_newer_than(self.heads()):
            await self._load(found)
        return found

    async def _read_heads(self) -> StoreHeads:
        """Read both head rows in one call and keep the evidence."""
        asked_at = self._clock.now()
        try:
            rows = {row.key: row for row in await self._store.read_prefix(HEAD_PREFIX)}
        except StoreError:
            self.store_away = True
            raise
        self.store_away = False
        found = StoreHeads(rows.get(HEAD_KEY), rows.get(VIEW_KEY))
        self.watch.see_store_read(asked_at)
        self._freshness.see_store(asked_at, found.numbers())
        return found

    async def _load(self, found: StoreHeads) -> None:
        """Load a newer configuration and view from the store."""
        asked_at = self._clock.now()
        async with self._loading:
            if found.config and found.config.value["version"] > self.table.version:
                await self._load_table(convert(found.config.value, type=HeadRow))
            if found.view is not None:
                self._install_view(convert(found.view.value, type=ViewRow))
            self._freshness.see_store(asked_at, found.numbers())

    async def _load_table(self, head: HeadRow) -> None:
        """Load a configuration from the latest snapshot and the patches after it."""
        table = self.table
        if head.snapshot > table.version:
            body = await self._objects.get(snapshot_key(head.snapshot))
            if body is not None:
                table = RoutingTable(Version(head.snapshot), json.decode(body))
                self.rows.clear()
        while table.version < head.version:
            row = await self._store.read(patch_key(table.version + 1))
            if row is None:
                raise StoreUnavailable(f"patch {table.version + 1} is missing")
            patch = convert(row.value, type=PatchRow)
            table = replay(table, patch)
            self.rows.append(patch)
        self._install_table(table)

    def _install_table(self, table: RoutingTable) -> None:
        """Act on a newer configuration; an older one never replaces it."""
        if table.version <= self.table.version:
            return
        self.table = table
        self._installed()

    def install_written_view(self, view: ViewRow, started_at: Millis) -> None:
        """Act on a view whose write began at `started_at` and succeeded."""
        self._install_view(view)
        self._freshness.see_store(started_at, self.heads())

    def _install_view(self, view: ViewRow) -> None:
        """Act on a newer view."""
        if view.number <= self.view.number:
            return
        self.view = view
        self._voters.change_view(view.number, [RouterId(name) for name in view.members])
        self._installed()

    def _installed(self) -> None:
        """Tell everyone concerned that the heads changed."""
        self.installed_at = self._clock.now()
        self._freshness.take_over(self.heads())
        self.watch.learn(self.heads())
        for callback in self.on_change:
            callback()
        self.announce()

    async def run_polls(self) -> None:
        """Read the heads for ever, at this router's share of the fleet's reads."""
        while True:
            try:
                await self.poll()
            except (StoreError, PatchError) as exc:
                FAILURES.record("poll_failed", exc)
            await sleep_ms(self._poll_span_ms())

    def _poll_span_ms(self) -> float:
        """Return the pause to the next read, with jitter so that reads spread out."""
        share = len(self.view.members) / self._cfg.fleet_reads_per_second * MS_PER_SECOND
        span = max(self._cfg.poll_interval_ms, share)
        return span * random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    # Handing on to other routers.

    def fetch_reply(self, version: int, view: int) -> FetchReply:
        """Return what a router lacks that has these numbers."""
        rows = [row for row in self.rows if row.version > version]
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

    def take_fetch(self, asked_at: Millis, reply: FetchReply) -> None:
        """Take over what another router sent, where it is newer, and its evidence."""
        table = self.table
        if reply.routing is not None and reply.routing.version > table.version:
            value = json.decode(reply.routing.body)
            table = RoutingTable(Version(reply.routing.version), value)
            if table.digest != reply.routing.digest:
                raise PatchError("a snapshot has another digest than it says")
            self.rows.clear()
        for body in reply.patches:
            row = json.decode(body, type=PatchRow)
            if row.version == table.version + 1:
                table = replay(table, row)
                self.rows.append(row)
        self._install_table(table)
        if reply.view:
            self._install_view(json.decode(reply.view, type=ViewRow))
        found = HeadNumbers(reply.version, reply.view_number)
        self._freshness.see_peer(asked_at, found, reply.evidence_age_ms)

    # Accepting patches.

    async def accept(self, request: PatchRequest) -> Version:
        """Accept a patch, once for each patch id; return its version.

        Raises `StalePatch`, `SettingsError`, `PatchError`, `StoreUnavailable` when it
        was not accepted, and `PatchUnsettled` when that could not be found out.
        """
        async with self._accepting:
            found = await self.refresh()
            known = await self._accepted_version(request.patch_id)
            if known is not None:
                return known
            if request.base != self.table.version:
                raise StalePatch(self.table.version, await self.changes_since(request.base))
            plan = plan_patch(self.table, found.config, request)
            written_at = await self._write_plan(plan, request)
            self.rows.append(plan.row)
            self._install_table(plan.table)
            self._freshness.see_store(written_at, self.heads())
            await self._write_snapshot_if_due(plan)
            return plan.table.version

    async def _accepted_version(self, patch_id: PatchId) -> Version | None:
        """Return the version that a patch id was accepted as, or `None`."""
        row = await self._store.read(PATCH_ID_PREFIX + patch_id)
        return None if row is None else Version(convert(row.value, type=PatchIdRow).version)

    async def _write_plan(self, plan: PatchPlan, request: PatchRequest) -> Millis:
        """Write an acceptance and settle lost answers; return when the last try began.

        The same conditional transaction is sent again until an answer comes: it
        either takes effect now, or fails since the first one did.
        """
        announced = HeadNumbers(plan.table.version, self.view.number)
        if not await self.prepare(announced):
            raise PatchError("too few routers answer to put a change in force; try again")
        lost = False
        deadline = self._clock.now() + SETTLE_LIMIT_MS
        while True:
            started_at = self._clock.now()
            try:
                await self._store.transact(plan.writes)
                return started_at
            except StoreConflict as exc:
                await self._settle_conflict(plan, request, exc, lost)
                return started_at
            except StoreAnswerLost:
                lost = True
            except StoreUnavailable:
                if not lost:
                    await self.withdraw(announced)
                    raise
            if self._clock.now() >= deadline:
                raise PatchUnsettled("the store did not say whether the patch was accepted")
            await sleep_ms(SETTLE_PAUSE_MS)

    async def _settle_conflict(
        self, plan: PatchPlan, request: PatchRequest, exc: StoreConflict, lost: bool
    ) -> None:
        """Return if the conflict is with our own write; else raise `StalePatch`."""
        own = exc.rows.get(PATCH_ID_PREFIX + request.patch_id)
        if lost and own is not None and own.value["version"] == plan.table.version:
            return
        head = exc.rows.get(HEAD_KEY)
        current = head.value["version"] if head else self.table.version
        try:
            await self.poll()
        except (StoreError, PatchError) as later:
            FAILURES.record("changes_not_read", later, version=str(current))
            raise StalePatch(current, []) from exc
        raise StalePatch(current, await self.changes_since(request.base)) from exc

    async def changes_since(self, version: int) -> list[PatchRow]:
        """Return the accepted patches after a version, the oldest first."""
        rows = [row for row in self.rows if row.version > version]
        if rows and rows[0].version == version + 1 or version >= self.table.version:
            return rows
        found = await self._store.read_prefix(PATCH_PREFIX)
        patches = [convert(row.value, type=PatchRow) for row in found]
        return [row for row in patches if row.version > version]

    async def _write_snapshot_if_due(self, plan: PatchPlan) -> None:
        """Write a snapshot each so many versions; a failure leaves it to the next time."""
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
            # The next snapshot that is due covers what this one would have.
            FAILURES.record("snapshot_not_written", exc, version=str(version))

    def age_ms(self) -> int:
        """Return how long ago the present numbers came into force here."""
        return self._clock.now() - self.installed_at


async def _agree_alone(_heads: HeadNumbers) -> bool:
    """Agree where there is no other router to ask."""
    return True


async def _withdraw_alone(_heads: HeadNumbers) -> None:
    """Do nothing where there is no other router to tell."""
