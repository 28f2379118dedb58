"""Obtain grants from the router that admits for a pool, and release them.

`Placer` keeps the grants that this router holds.  A router that takes over a pool
asks for them by `Inventory`.  From then on releases are sent to it, and a grant from
an earlier tenure that arrives later is dropped.  A tenure is a time during which one
router admits without a break; it starts a new one if it regains a lost lease.
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
from skylarklift.pools.grants import GRANT_TTL_MS, Grant, GrantKey
from skylarklift.pools.host import NOT_ADMITTING, STALE, PoolHost
from skylarklift.pools.hosted import RELEASE_CAUSES, admitter_order
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import PeerTransport

PRIORITIES = list(Priority)
RETRY_DELAY_MS = 25
ADMITTER_CHECK_INTERVAL_MS = 50
RELEASE_BATCH_DELAY_MS = 5
RELEASE_RETRY_DELAY_MS = 200
MAX_RELEASE_ATTEMPTS = 50
RETRYABLE_CODES = (NOT_ADMITTING, STALE)


@dataclass(frozen=True)
class PlacementRequest:
    """A request for a replica of a pool."""

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
    """A grant that this router holds; it must be used before `usable_until`."""

    grant: GrantId
    request: PlacementRequest
    replica: ReplicaId
    admitter: RouterId
    usable_until: Millis


@dataclass
class PlacerCounts:
    """Totals for metrics."""

    asked: int = 0
    retried: int = 0
    dropped_grants: int = 0
    lost_releases: int = 0


@dataclass
class _PendingRelease:
    """A release that has not been delivered yet."""

    entry: ReleaseEntry
    attempts: int = 0


@dataclass
class _Outbox:
    """The releases to send to one router for one pool."""

    releases: list[_PendingRelease] = field(default_factory=list)


class Placer:
    """Obtains, keeps and releases the grants of one router."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        membership: Membership,
        peers: PeerTransport,
        nursery: trio.Nursery,
    ):
        self._clock = clock
        self._me = me
        self._membership = membership
        self._peers = peers
        self._nursery = nursery
        self.pool_host: PoolHost | None = None
        # A random start makes it unlikely that a restarted router reuses its earlier numbers.
        self._last_grant = random.getrandbits(24) << 8
        self._placements: dict[GrantId, Placement] = {}
        self._last_inventory: dict[PoolId, tuple[Millis, int]] = {}
        self._outboxes: dict[tuple[RouterId, PoolId], _Outbox] = defaultdict(_Outbox)
        self.counts = PlacerCounts()

    # Requesting grants.

    async def place(self, request: PlacementRequest) -> Placement:
        """Obtain a grant; raise `Refusal` if none is given within the request's `wait_ms`."""
        deadline = self._clock.now() + request.wait_ms
        self.counts.asked += 1
        code = NOT_ADMITTING
        while (remaining_ms := deadline - self._clock.now()) > 0:
            admitter = self._expected_admitter(request.pool)
            if admitter is not None:
                asked_at = self._clock.now()
                # Each `Ask` has its own grant number, so that the release of an
                # abandoned `Ask` cannot end the grant of a later one.
                self._last_grant += 1
                reply = await self._ask(admitter, request, GrantId(self._last_grant), remaining_ms)
                if isinstance(reply, Granted):
                    placement = self._accept_grant(admitter, asked_at, request, reply)
                    if placement is not None:
                        return placement
                elif isinstance(reply, Refused):
                    code = reply.code
                    if code not in RETRYABLE_CODES:
                        raise _refusal(code, reply.retry_ms)
            self.counts.retried += 1
            await sleep_ms(RETRY_DELAY_MS * random.uniform(0.5, 1.5))
        raise _refusal(code, MS_PER_SECOND)

    def _expected_admitter(self, pool: PoolId) -> RouterId | None:
        """Return the router that should admit for the pool, or `None` if none is eligible."""
        order = admitter_order(pool, self._membership.eligible())
        return order[0] if order else None

    async def _ask(
        self, admitter: RouterId, request: PlacementRequest, grant: GrantId, wait_ms: int
    ) -> Granted | Refused | None:
        """Send an `Ask` and return its answer.

        Returns `None` if no answer came, or if by now another router should admit.
        """
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
        settled = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_on_admitter_change, request.pool, admitter, nursery)
                reply = await self._send_ask(admitter, message, wait_ms)
                settled = True
                nursery.cancel_scope.cancel()
        except* PeerTimeout as group:
            FAILURES.record("ask_timed_out", group, router=admitter)
        except* PeerError as group:
            # The message was not sent, so there is no grant to release.
            FAILURES.record("ask_send_failed", group, router=admitter)
            settled = True
        finally:
            if not settled:
                self._queue_release(admitter, request.pool, grant, ReleaseCause.CANCELLED, -1)
        return reply if isinstance(reply, Granted | Refused) else None

    async def _send_ask(self, admitter: RouterId, message: Ask, wait_ms: int):
        """Send an `Ask` to another router, or pass it to this router's own admitter."""
        if admitter == self._me:
            with trio.move_on_after((wait_ms + RETRY_DELAY_MS) / MS_PER_SECOND):
                return await self.pool_host.answer_ask(self._me, message)
            raise PeerTimeout("no decision from this router's own admitter in time")
        timeout_ms = wait_ms + self._peers.identity.cfg.call_timeout_ms
        return await self._peers.call(admitter, message, timeout_ms)

    async def _cancel_on_admitter_change(
        self, pool: PoolId, admitter: RouterId, nursery: trio.Nursery
    ) -> None:
        """Cancel the `Ask` as soon as another router should admit."""
        while self._expected_admitter(pool) == admitter:
            await sleep_ms(ADMITTER_CHECK_INTERVAL_MS)
        nursery.cancel_scope.cancel()

    def _accept_grant(
        self, admitter: RouterId, asked_at: Millis, request: PlacementRequest, reply: Granted
    ) -> Placement | None:
        """Keep a grant, or release it if it has expired or another tenure has begun."""
        usable_until = Millis(asked_at + reply.waited_ms + GRANT_TTL_MS)
        listed_at, tenure = self._last_inventory.get(request.pool, (Millis(-1), 0))
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

    # Releasing grants.

    def release(self, placement: Placement, cause: ReleaseCause, first_token_ms: int = -1) -> None:
        """Release a grant; a background task sends the release and retries it."""
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
        """Put a release into the outbox of a router."""
        entry = ReleaseEntry(grant, RELEASE_CAUSES.index(cause), first_token_ms)
        outbox = self._outboxes[admitter, pool]
        outbox.releases.append(_PendingRelease(entry))
        if len(outbox.releases) == 1:
            self._nursery.start_soon(self._send_releases, admitter, pool)

    async def _send_releases(self, admitter: RouterId, pool: PoolId) -> None:
        """Send the releases of an outbox in batches until it is empty."""
        outbox = self._outboxes[admitter, pool]
        await sleep_ms(RELEASE_BATCH_DELAY_MS)
        while outbox.releases:
            batch = list(outbox.releases)
            message = Release(0, pool, [item.entry for item in batch])
            try:
                await self._send_release(admitter, message)
            except PeerError as exc:
                FAILURES.record("release_send_failed", exc, router=admitter)
                self._record_failed_attempt(admitter, outbox, batch)
                await sleep_ms(RELEASE_RETRY_DELAY_MS)
                continue
            outbox.releases = [item for item in outbox.releases if item not in batch]
        self._outboxes.pop((admitter, pool), None)

    async def _send_release(self, admitter: RouterId, message: Release) -> None:
        """Send a `Release` to another router, or pass it to this router's own admitter."""
        if admitter == self._me:
            await self.pool_host.answer_release(self._me, message)
        else:
            await self._peers.call(admitter, message)

    def _record_failed_attempt(
        self, admitter: RouterId, outbox: _Outbox, batch: list[_PendingRelease]
    ) -> None:
        """Count a failed attempt for each release of a batch.

        Drops the releases that reached the attempt limit, and all if the admitter left the
        view.
        """
        for item in batch:
            item.attempts += 1
        departed = admitter not in self._membership.members
        kept = [
            item
            for item in outbox.releases
            if not departed and item.attempts < MAX_RELEASE_ATTEMPTS
        ]
        self.counts.lost_releases += len(outbox.releases) - len(kept)
        outbox.releases = kept

    async def flush(self) -> None:
        """Wait until all outboxes are empty."""
        while self._outboxes:
            await sleep_ms(RELEASE_BATCH_DELAY_MS)

    # Listing grants.

    def own_grants(self, pool: PoolId, tenure: int) -> list[Grant]:
        """List the grants held for a pool to this router's own admitter."""
        self._record_inventory(pool, self._me, tenure)
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
        """List the grants held for a pool to the router that takes it over."""
        pool = PoolId(message.pool)
        self._record_inventory(pool, router, message.tenure)
        entries = [
            GrantEntry(item.grant, item.replica, item.request.workspace, item.request.chat)
            for item in self._placements.values()
            if item.request.pool == pool
        ]
        return InventoryReply(0, True, entries)

    def _record_inventory(self, pool: PoolId, admitter: RouterId, tenure: int) -> None:
        """Record the time and tenure of an inventory, and direct later releases to its sender."""
        self._last_inventory[pool] = (self._clock.now(), tenure)
        for placement in self._placements.values():
            if placement.request.pool == pool:
                placement.admitter = admitter

    def grants_held(self) -> int:
        """Return how many grants this router holds."""
        return len(self._placements)


def _refusal(code: str, retry_ms: int) -> Refusal:
    """Return the error for the code of a refusal."""
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
