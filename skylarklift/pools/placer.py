"""Ask for a place at the router that admits for a pool, and give it back.

`Placer` keeps the grants that this router holds.  When another router takes over a
pool it lists them by `Inventory`; from then on releases go to it, and an answer of
an earlier tenure that was still under way is dropped.  A router that admits again
after it lost the lease begins a new tenure.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis, sleep_ms
from skylarklift.errors import PeerError, PeerTimeout, Refusal
from skylarklift.generated import (
    Ask,
    Granted,
    GrantEntry,
    Inventory,
    InventoryReply,
    Priority,
    Refused,
    Release,
    ReleaseCause,
    ReleaseEntry,
)
from skylarklift.ids import (
    ChatKey,
    Fingerprint,
    GrantId,
    PoolId,
    ReplicaId,
    RouterId,
    Version,
    WorkspaceId,
)
from skylarklift.logger import FAILURES
from skylarklift.pools.grants import Grant, GrantKey
from skylarklift.pools.host import (
    GRANT_VALID_MS,
    NOT_ADMITTING,
    STALE,
    PoolHost,
)
from skylarklift.pools.hosted import CAUSES, admitter_order
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import Peers

PRIORITIES = list(Priority)
RETRY_PAUSE_MS = 25
WATCH_INTERVAL_MS = 50
RELEASE_WAIT_MS = 5
RELEASE_RETRY_MS = 200
RELEASE_ATTEMPTS = 50
TRY_AGAIN_CODES = (NOT_ADMITTING, STALE)


@dataclass(frozen=True)
class PlaceRequest:
    """What a place is asked for."""

    pool: PoolId
    workspace: WorkspaceId
    chat: ChatKey
    priority: Priority
    wait_ms: int
    version: Version
    fingerprint: Fingerprint = Fingerprint(0)
    avoid: frozenset[ReplicaId] = frozenset()
    trace: str = ""


@dataclass
class Placement:
    """A grant that this router holds."""

    grant: GrantId
    request: PlaceRequest
    replica: ReplicaId
    admitter: RouterId
    usable_until: Millis


@dataclass
class PlacingCounts:
    """Totals for metrics."""

    asked: int = 0
    asked_again: int = 0
    dropped_grants: int = 0
    lost_releases: int = 0


@dataclass
class _Ended:
    """A grant to give back."""

    entry: ReleaseEntry
    attempts: int = 0


@dataclass
class _Outbox:
    """The grants to give back to one router for one pool."""

    ended: list[_Ended] = field(default_factory=list)


class Placer:
    """The grants of one router."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        membership: Membership,
        peers: Peers,
        nursery: trio.Nursery,
    ):
        self._clock = clock
        self._me = me
        self._membership = membership
        self._peers = peers
        self._nursery = nursery
        self.host: PoolHost | None = None
        self._number = random.getrandbits(24) << 8
        self._placements: dict[GrantId, Placement] = {}
        self._listed: dict[PoolId, tuple[Millis, int]] = {}
        self._outboxes: dict[tuple[RouterId, PoolId], _Outbox] = defaultdict(_Outbox)
        self.counts = PlacingCounts()

    # Asking.

    async def place(self, request: PlaceRequest) -> Placement:
        """Return a grant; raise `Refusal` if there is none within the wait."""
        until = self._clock.now() + request.wait_ms
        self.counts.asked += 1
        code = NOT_ADMITTING
        while (left := until - self._clock.now()) > 0:
            admitter = self._admitter(request.pool)
            if admitter is not None:
                asked_at = self._clock.now()
                # A number of its own for each question: the release of a question
                # that was given up must not end the grant of a later one.
                self._number += 1
                reply = await self._ask(admitter, request, GrantId(self._number), left)
                if isinstance(reply, Granted):
                    placement = self._take(admitter, asked_at, request, reply)
                    if placement is not None:
                        return placement
                elif isinstance(reply, Refused):
                    code = reply.code
                    if code not in TRY_AGAIN_CODES:
                        raise _refusal(code, reply.retry_ms)
            self.counts.asked_again += 1
            await sleep_ms(RETRY_PAUSE_MS * random.uniform(0.5, 1.5))
        raise _refusal(code, MS_PER_SECOND)

    def _admitter(self, pool: PoolId) -> RouterId | None:
        """Return the router that should admit for the pool now."""
        order = admitter_order(pool, self._membership.eligible())
        return order[0] if order else None

    async def _ask(
        self, admitter: RouterId, request: PlaceRequest, grant: GrantId, wait_ms: int
    ) -> Granted | Refused | None:
        """Ask one router; return nothing if it gave no answer or is no longer the one."""
        message = Ask(
            0,
            grant,
            request.pool,
            request.chat,
            request.version,
            wait_ms,
            request.workspace,
            PRIORITIES.index(request.priority),
            request.fingerprint,
            sorted(request.avoid),
            request.trace,
        )
        reply = None
        answered = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_admitter, request.pool, admitter, nursery)
                reply = await self._send_ask(admitter, message, wait_ms)
                answered = True
                nursery.cancel_scope.cancel()
        except* PeerTimeout as group:
            FAILURES.record("ask_unanswered", group, router=admitter)
        except* PeerError as group:
            # Nothing was sent, so there is nothing to give back.
            FAILURES.record("ask_not_sent", group, router=admitter)
            answered = True
        finally:
            if not answered:
                self._queue_release(admitter, request.pool, grant, ReleaseCause.CANCELLED, -1)
        return reply if isinstance(reply, Granted | Refused) else None

    async def _send_ask(self, admitter: RouterId, message: Ask, wait_ms: int):
        """Ask this router or another one."""
        if admitter == self._me:
            with trio.move_on_after((wait_ms + RETRY_PAUSE_MS) / MS_PER_SECOND):
                return await self.host.answer_ask(self._me, message)
            raise PeerTimeout("this router's own admitter")
        timeout_ms = wait_ms + self._peers.identity.cfg.call_timeout_ms
        return await self._peers.call(admitter, message, timeout_ms)

    async def _watch_admitter(
        self, pool: PoolId, admitter: RouterId, nursery: trio.Nursery
    ) -> None:
        """Give up the question once another router should admit."""
        while self._admitter(pool) == admitter:
            await sleep_ms(WATCH_INTERVAL_MS)
        nursery.cancel_scope.cancel()

    def _take(
        self, admitter: RouterId, asked_at: Millis, request: PlaceRequest, reply: Granted
    ) -> Placement | None:
        """Keep a grant, unless it is too old or of a router that no longer admits."""
        usable_until = Millis(asked_at + reply.waited_ms + GRANT_VALID_MS)
        listed_at, tenure = self._listed.get(request.pool, (Millis(-1), 0))
        taken_over = listed_at >= asked_at and tenure != reply.tenure
        if taken_over or self._clock.now() >= usable_until:
            self.counts.dropped_grants += 1
            grant = GrantId(reply.grant)
            self._queue_release(admitter, request.pool, grant, ReleaseCause.CANCELLED, -1)
            return None
        placement = Placement(
            GrantId(reply.grant), request, ReplicaId(reply.replica), admitter, usable_until
        )
        self._placements[placement.grant] = placement
        return placement

    # Giving back.

    def release(self, placement: Placement, cause: ReleaseCause, first_token_ms: int = -1) -> None:
        """Give a grant back; it is sent in the background and again until it arrives."""
        if self._placements.pop(placement.grant, None) is None:
            return
        pool = placement.request.pool
        self._queue_release(placement.admitter, pool, placement.grant, cause, first_token_ms)

    def _queue_release(
        self,
        admitter: RouterId,
        pool: PoolId,
        grant: GrantId,
        cause: ReleaseCause,
        first_token_ms: int,
    ) -> None:
        """Put a grant into the outbox of a router."""
        entry = ReleaseEntry(grant, CAUSES.index(cause), first_token_ms)
        outbox = self._outboxes[admitter, pool]
        outbox.ended.append(_Ended(entry))
        if len(outbox.ended) == 1:
            self._nursery.start_soon(self._send_releases, admitter, pool)

    async def _send_releases(self, admitter: RouterId, pool: PoolId) -> None:
        """Send an outbox until it is empty; releases that come meanwhile go together."""
        outbox = self._outboxes[admitter, pool]
        await sleep_ms(RELEASE_WAIT_MS)
        while outbox.ended:
            batch = list(outbox.ended)
            message = Release(0, pool, [item.entry for item in batch])
            try:
                await self._send_release(admitter, message)
            except PeerError as exc:
                FAILURES.record("release_not_sent", exc, router=admitter)
                self._count_attempt(admitter, outbox, batch)
                await sleep_ms(RELEASE_RETRY_MS)
                continue
            outbox.ended = [item for item in outbox.ended if item not in batch]
        self._outboxes.pop((admitter, pool), None)

    async def _send_release(self, admitter: RouterId, message: Release) -> None:
        """Send one message of releases."""
        if admitter == self._me:
            await self.host.answer_release(self._me, message)
        else:
            await self._peers.call(admitter, message)

    def _count_attempt(self, admitter: RouterId, outbox: _Outbox, batch: list[_Ended]) -> None:
        """Drop what cannot be delivered, as when the router is gone."""
        for item in batch:
            item.attempts += 1
        gone = admitter not in self._membership.members
        kept = [item for item in outbox.ended if not gone and item.attempts < RELEASE_ATTEMPTS]
        self.counts.lost_releases += len(outbox.ended) - len(kept)
        outbox.ended = kept

    async def flush(self) -> None:
        """Wait until all grants are given back."""
        while self._outboxes:
            await sleep_ms(RELEASE_WAIT_MS)

    # Listing.

    def own_grants(self, pool: PoolId, tenure: int) -> list[Grant]:
        """Return the grants held for a pool, for this router's own admitter."""
        self._note_listed(pool, self._me, tenure)
        return [
            Grant(
                GrantKey(self._me, item.grant),
                item.replica,
                item.request.workspace,
                item.request.chat,
                self._clock.now(),
            )
            for item in self._placements.values()
            if item.request.pool == pool
        ]

    async def answer_inventory(self, router: RouterId, message: Inventory) -> InventoryReply:
        """List the grants held for a pool to the router that admits for it."""
        pool = PoolId(message.pool)
        self._note_listed(pool, router, message.tenure)
        entries = [
            GrantEntry(item.grant, item.replica, item.request.workspace, item.request.chat)
            for item in self._placements.values()
            if item.request.pool == pool
        ]
        return InventoryReply(0, True, entries)

    def _note_listed(self, pool: PoolId, admitter: RouterId, tenure: int) -> None:
        """Send releases to the router that listed the grants from now on."""
        self._listed[pool] = (self._clock.now(), tenure)
        for placement in self._placements.values():
            if placement.request.pool == pool:
                placement.admitter = admitter

    def held(self) -> int:
        """Return how many grants this router holds."""
        return len(self._placements)


def _refusal(code: str, retry_ms: int) -> Refusal:
    """Return the error for a refusal of an admitter."""
    texts = {
        NOT_ADMITTING: "no router admits for the pool at the moment",
        STALE: "the routers cannot show that their configuration is the newest",
        "no_replica": "no replica of the pool is in service",
        "queue_full": "too many requests wait already",
        "no_capacity": "no replica had room in time",
        "workspace_limit": "the workspace has as many requests in flight as it may",
        "poisoned": "the request crashed replicas and is refused for some time",
    }
    status = 429 if code in ("queue_full", "workspace_limit") else 503
    if code == "poisoned":
        return Refusal(code, texts[code], status=422, retry_after_ms=None)
    return Refusal(code, texts.get(code, code), status=status, retry_after_ms=retry_ms or 1000)
