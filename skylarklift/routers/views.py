"""Change the membership view: add a router, mark it as leaving, remove it."""

import random
from collections.abc import Callable

from msgspec import to_builtins
from msgspec.structs import replace

from skylarklift.clock import sleep_ms
from skylarklift.config.heads import HeadManager, StoreHeads
from skylarklift.config.patching import VIEW_KEY
from skylarklift.errors import PatchError, StoreAnswerLost, StoreConflict, StoreUnavailable
from skylarklift.generated import Member, ViewRow
from skylarklift.ids import RouterId
from skylarklift.logger import FAILURES
from skylarklift.store.base import ABSENT, TableStore, Write
from skylarklift.votes.freshness import HeadNumbers

MAX_WRITE_ATTEMPTS = 20
MAX_RETRY_DELAY_MS = 200


class ViewChanger:
    """Changes the view by conditional writes, which are announced to the freshness voters first."""

    def __init__(self, heads: HeadManager, store: TableStore):
        self._heads = heads
        self._store = store

    async def join(self, router: RouterId, member: Member) -> None:
        """Add this router to the view."""
        await self._change_members(lambda members: {**members, router: member})

    async def mark_leaving(self, router: RouterId) -> None:
        """Mark a router as leaving: it stays a member but cannot become an admitter."""

        def change(members: dict[str, Member]) -> dict[str, Member]:
            if router not in members:
                return members
            return {**members, router: replace(members[router], leaving=True)}

        await self._change_members(change)

    async def remove(self, routers: list[RouterId]) -> None:
        """Remove routers from the view."""
        await self._change_members(
            lambda members: {name: item for name, item in members.items() if name not in routers}
        )

    async def _change_members(
        self, change: Callable[[dict[str, Member]], dict[str, Member]]
    ) -> None:
        """Write a changed view; retry on a conflict, a lost answer or too few agreeing voters."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._heads.refresh()
            members = change(self._heads.view.members)
            if members == self._heads.view.members:
                return
            if await self._write_view(stored, members):
                return
            await sleep_ms(random.uniform(0, MAX_RETRY_DELAY_MS))
        raise PatchError(f"view not changed after {MAX_WRITE_ATTEMPTS} attempts")

    async def _write_view(self, stored: StoreHeads, members: dict[str, Member]) -> bool:
        """Try once to write the next view; return whether it was written and installed."""
        row = stored.view
        if (row.value["number"] if row else 0) != self._heads.view.number:
            return False
        view = ViewRow(number=self._heads.view.number + 1, members=members)
        announced = HeadNumbers(self._heads.table.version, view.number)
        if not await self._heads.agree_on(announced):
            return False
        write = Write(VIEW_KEY, to_builtins(view), row.version if row else ABSENT)
        try:
            await self._store.transact([write])
        except StoreUnavailable:
            await self._heads.withdraw(announced)
            raise
        except (StoreConflict, StoreAnswerLost) as exc:
            FAILURES.record("view_write_failed", exc, view=str(view.number))
            # The next attempt reads the view again and sees whether this write took effect.
            return False
        self._heads.install_written_view(view, stored.read_at)
        return True
