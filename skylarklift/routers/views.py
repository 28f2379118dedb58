"""Change the view: enter a router, mark it as leaving, take it out."""

import random
from collections.abc import Callable

from msgspec import to_builtins
from msgspec.structs import replace

from skylarklift.clock import Clock, sleep_ms
from skylarklift.config.heads import HeadKeeper
from skylarklift.config.patching import VIEW_KEY
from skylarklift.errors import PatchError, StoreAnswerLost, StoreConflict, StoreUnavailable
from skylarklift.generated import Member, ViewRow
from skylarklift.ids import RouterId
from skylarklift.logger import FAILURES
from skylarklift.store.base import ABSENT, Row, TableStore, Write
from skylarklift.votes.freshness import HeadNumbers

ATTEMPTS = 20
LONGEST_PAUSE_MS = 200


class ViewChanger:
    """Writes the next view by a conditional write, announced like a patch."""

    def __init__(self, clock: Clock, heads: HeadKeeper, store: TableStore):
        self._clock = clock
        self._heads = heads
        self._store = store

    async def join(self, router: RouterId, member: Member) -> None:
        """Enter this router into the view."""
        await self._change_members(lambda members: {**members, router: member})

    async def mark_leaving(self, router: RouterId) -> None:
        """Mark a router as leaving: it stays in the view but admits for no pool."""

        def change(members: dict[str, Member]) -> dict[str, Member]:
            if router not in members:
                return members
            return {**members, router: replace(members[router], leaving=True)}

        await self._change_members(change)

    async def remove(self, routers: list[RouterId]) -> None:
        """Take routers out of the view."""
        await self._change_members(
            lambda members: {name: item for name, item in members.items() if name not in routers}
        )

    async def _change_members(
        self, change: Callable[[dict[str, Member]], dict[str, Member]]
    ) -> None:
        """Write a changed view; start over when another router changed it first."""
        for _ in range(ATTEMPTS):
            found = await self._heads.refresh()
            members = change(self._heads.view.members)
            if members == self._heads.view.members:
                return
            if await self._write_view(found.view, members):
                return
            await sleep_ms(random.uniform(0, LONGEST_PAUSE_MS))
        raise PatchError("the view could not be changed")

    async def _write_view(self, row: Row | None, members: dict[str, Member]) -> bool:
        """Try once to write the next view; tell whether it is in force."""
        if (row.value["number"] if row else 0) != self._heads.view.number:
            return False
        view = ViewRow(number=self._heads.view.number + 1, members=members)
        announced = HeadNumbers(self._heads.table.version, view.number)
        if not await self._heads.prepare(announced):
            return False
        write = Write(VIEW_KEY, to_builtins(view), row.version if row else ABSENT)
        started_at = self._clock.now()
        try:
            await self._store.transact([write])
        except StoreUnavailable:
            await self._heads.withdraw(announced)
            raise
        except (StoreConflict, StoreAnswerLost) as exc:
            FAILURES.record("view_not_written", exc, view=str(view.number))
            # The next attempt reads what is there now.
            return False
        self._heads.install_written_view(view, started_at)
        return True
