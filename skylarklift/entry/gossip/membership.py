"""Register a router in the store, and find the routers that are registered there."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.model import parse_endpoint
from skylarklift.entry.state.rows import MemberStore
from skylarklift.errors import StoreError

MEMBERS_RETRY_DELAY_MS = 1500
# Routers that start together register at the same time, so the first read may miss some; the
# members are read again after this long.
MEMBERS_REREAD_DELAY_MS = 3000
REJOIN_JITTER_MS = 2000


class Membership:
    """The entry of this router in the store, and those of the others."""

    def __init__(self, core: Core, members: MemberStore):
        self._core = core
        self._members = members

    async def run(self) -> None:
        """Register this router in the store and read which others are registered.

        Do it again each time that the store was restored from a copy, which may lack the entry.
        """
        core = self._core
        await self._retry_until_success(self._register)
        with trio.move_on_after(MEMBERS_REREAD_DELAY_MS / MS_PER_SECOND):
            await core.store_restored.wait()
        await self._retry_until_success(self._read_members)
        while True:
            await core.store_restored.wait()
            core.store_restored = trio.Event()
            # All routers register again, so they spread their calls.
            await trio.sleep(core.rng.randrange(REJOIN_JITTER_MS) / MS_PER_SECOND)
            await self._retry_until_success(self._register)

    async def _retry_until_success(self, step) -> None:
        """Retry a call of the store until it succeeds, with jitter in the delay between retries."""
        core = self._core
        while True:
            try:
                await step()
                return
            except StoreError as exc:
                core.event_log.write("membership_sync_failed", cause=str(exc))
                span = MEMBERS_RETRY_DELAY_MS + core.rng.randrange(MEMBERS_RETRY_DELAY_MS)
                await trio.sleep(span / MS_PER_SECOND)

    async def _register(self) -> None:
        """Register this router and read the members."""
        core, settings = self._core, self._core.settings
        try:
            await self._members.write_member(settings.node, str(settings.peers))
        except StoreError:
            core.note_first_write(taken=False)
            raise
        core.note_first_write(taken=True)
        await self._read_members()

    async def _read_members(self) -> None:
        """Add the registered routers to the fleet."""
        for node, address in (await self._members.read_members()).items():
            endpoint = parse_endpoint(address)
            if endpoint is not None:
                self._core.fleet.add(node, endpoint)
            else:
                self._core.event_log.write("member_address_invalid", peer=node, address=address)

    async def end(self) -> None:
        """Deregister this router."""
        try:
            await self._members.write_member(self._core.settings.node, None)
        except StoreError as exc:
            self._core.event_log.write("member_remove_failed", cause=str(exc))
