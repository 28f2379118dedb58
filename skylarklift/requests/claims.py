"""Run a non-idempotent request at most once: claim its key before anything is sent.

A claim is a row in the table service, written on the condition that it does not
exist.  The router that wrote the row may dispatch the request once.  No other router
may dispatch it, and a claim is never taken over.  A resend finds the row and gets
the recorded outcome, or "unknown" if there is none.

`ClaimWriter` writes the claims of many requests in one call.  If the store's answer is
lost, it repeats the same conditional write; the result shows which router holds the
claim.
"""

import random
import secrets
from dataclasses import dataclass, field
from enum import Enum

import trio
from msgspec import ValidationError, convert, to_builtins

from skylarklift.clock import Clock, Millis, sleep_ms
from skylarklift.errors import StoreAnswerLost, StoreError
from skylarklift.generated import ClaimRow, StoreSettings
from skylarklift.ids import RouterId, WorkspaceId
from skylarklift.invariants import INVARIANTS
from skylarklift.logger import FAILURES
from skylarklift.store.base import ABSENT, Row, TableStore, Write, WriteResult

CLAIM_PREFIX = "claim/"
CLAIM_ID_BYTES = 9
MIN_BACKOFF_MS = 100
# A claim's write is repeated until this many store time-outs after the claim's deadline, so
# that a row that was written although the answer was lost is found and removed.
CLEANUP_TIMEOUTS = 20
MAX_BACKOFF_MS = 1500
MAX_QUEUED_WRITES = 10_000


class ClaimState(Enum):
    """The result of trying to claim a request.

    `OURS`: this router may dispatch the request once.  `TAKEN`: the key was claimed
    before.  `NOT_OBTAINED`: the write did not succeed in time.
    """

    OURS = "ours"
    TAKEN = "taken"
    NOT_OBTAINED = "not_had"


@dataclass(frozen=True)
class ClaimName:
    """The workspace and the idempotency key that identify a claim."""

    workspace: WorkspaceId
    key: str

    def row_key(self) -> str:
        """Return the key of the claim's row in the table service."""
        return f"{CLAIM_PREFIX}{self.workspace}/{self.key}"


@dataclass(frozen=True)
class Outcome:
    """The recorded response of a non-idempotent request."""

    status: int
    content_type: str
    body: str


@dataclass
class Claim:
    """The result for one request: the right to dispatch it once, or the row found instead."""

    name: ClaimName
    state: ClaimState
    row: ClaimRow | None = None
    version: int = ABSENT
    dispatched: bool = False

    def mark_dispatched(self) -> None:
        """Mark the claim as dispatched; a second dispatch breaks an invariant."""
        INVARIANTS.require(
            "claimed_once",
            self.state is ClaimState.OURS and not self.dispatched,
            claim=self.name.row_key(),
            state=self.state.value,
        )
        self.dispatched = True

    def outcome(self) -> Outcome | None:
        """Return the recorded outcome of the first run, or `None` if there is none."""
        if self.row is None or not self.row.status:
            return None
        return Outcome(self.row.status, self.row.content_type, self.row.body)


def claim_from_result(name: ClaimName, own_row: ClaimRow, result: WriteResult) -> Claim:
    """Return the claim for the result of its conditional write.

    A conflict with a row that holds this claim's own id means that an earlier write
    took effect although the store's answer was lost.
    """
    if result.done:
        return Claim(name, ClaimState.OURS, own_row, result.version)
    if result.row is None:
        return Claim(name, ClaimState.NOT_OBTAINED)
    try:
        stored_row = convert(result.row.value, type=ClaimRow)
    except ValidationError as exc:
        FAILURES.record("claim_row_invalid", exc, claim=name.row_key())
        return Claim(name, ClaimState.TAKEN)
    state = ClaimState.OURS if stored_row.claim == own_row.claim else ClaimState.TAKEN
    return Claim(name, state, stored_row, result.row.version)


@dataclass
class ClaimCounts:
    """Totals of claims and recorded outcomes."""

    claimed: int = 0
    taken: int = 0
    not_obtained: int = 0
    batches: int = 0
    lost_answers: int = 0
    outcomes: int = 0
    outcomes_dropped: int = 0


@dataclass
class _PendingClaim:
    """A claim that waits to be written in a batch."""

    name: ClaimName
    row: ClaimRow
    deadline: Millis
    resolved: trio.Event = field(default_factory=trio.Event)
    claim: Claim | None = None

    def to_write(self, keep_ms: int) -> Write:
        """Return the write, on the condition that the row does not exist."""
        return Write(self.name.row_key(), to_builtins(self.row), ABSENT, keep_ms)

    def resolve(self, claim: Claim) -> None:
        """Set the result and wake the caller, unless a result was set before."""
        if self.claim is None:
            self.claim = claim
            self.resolved.set()


class ClaimWriter:
    """Write claims and outcomes in batches."""

    def __init__(self, clock: Clock, me: RouterId, cfg: StoreSettings, store: TableStore):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self._store = store
        self._pending: list[_PendingClaim] = []
        self._outcomes: list[Write] = []
        self._consecutive_failures = 0
        self._claims_queued = trio.Event()
        self._outcomes_queued = trio.Event()
        self.counts = ClaimCounts()

    async def run(self) -> None:
        """Write batches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_claims)
            nursery.start_soon(self._run_outcomes)

    async def claim(self, name: ClaimName, fingerprint: str, wait_ms: int) -> Claim:
        """Claim a request; the returned state says whether that worked within `wait_ms`."""
        claim_id = secrets.token_urlsafe(CLAIM_ID_BYTES)
        row = ClaimRow(claim=claim_id, router=self._me, fingerprint=fingerprint)
        pending = _PendingClaim(name, row, Millis(self._clock.now() + wait_ms))
        self._pending.append(pending)
        self._claims_queued.set()
        with trio.move_on_after(wait_ms / 1000):
            await pending.resolved.wait()
        if pending.claim is None:
            # The request was not dispatched, so `not_run` is true even if the row was
            # written; the row is removed once the store can be reached.
            pending.resolve(Claim(name, ClaimState.NOT_OBTAINED))
        self._count(pending.claim)
        return pending.claim

    def _count(self, claim: Claim) -> None:
        """Count a result by its state."""
        if claim.state is ClaimState.OURS:
            self.counts.claimed += 1
        elif claim.state is ClaimState.TAKEN:
            self.counts.taken += 1
        else:
            self.counts.not_obtained += 1

    async def _run_claims(self) -> None:
        """Collect claims for `claim_batch_wait_ms`, then write them in batches."""
        while True:
            await self._claims_queued.wait()
            self._claims_queued = trio.Event()
            await sleep_ms(self._cfg.claim_batch_wait_ms)
            while self._pending:
                limit = self._cfg.claim_batch_limit_rows
                batch, self._pending = self._pending[:limit], self._pending[limit:]
                await self._write_batch(batch)

    async def _write_batch(self, batch: list[_PendingClaim]) -> None:
        """Write a batch once; if the write fails, queue its claims again."""
        self.counts.batches += 1
        writes = [pending.to_write(self._cfg.claim_keep_ms) for pending in batch]
        try:
            results = await self._store.write_each(writes)
        except StoreError as exc:
            FAILURES.record("claims_write_failed", exc, claims=str(len(batch)))
            self.counts.lost_answers += isinstance(exc, StoreAnswerLost)
            await self._requeue_after_backoff(batch)
            return
        self._consecutive_failures = 0
        for pending, result in zip(batch, results, strict=True):
            claim = claim_from_result(pending.name, pending.row, result)
            if pending.claim is not None and claim.state is ClaimState.OURS:
                self._queue_removal(claim)
            pending.resolve(claim)

    async def _requeue_after_backoff(self, batch: list[_PendingClaim]) -> None:
        """Queue the claims again, expired ones too, so that rows written for them are removed."""
        now = self._clock.now()
        oldest_deadline = now - self._cfg.timeout_ms * CLEANUP_TIMEOUTS
        self._pending = [
            pending for pending in batch if pending.deadline > oldest_deadline
        ] + self._pending
        # Exponential backoff with jitter, so that the routers do not overload a store
        # that has just recovered by retrying all at once.
        self._consecutive_failures += 1
        max_backoff_ms = min(MIN_BACKOFF_MS * 2**self._consecutive_failures, MAX_BACKOFF_MS)
        await sleep_ms(random.uniform(MIN_BACKOFF_MS, max_backoff_ms))

    def _queue_removal(self, claim: Claim) -> None:
        """Queue the removal of a claim's row."""
        self._queue_write(Write(claim.name.row_key(), None, claim.version))

    def abandon(self, claim: Claim) -> None:
        """Remove a claim whose request was never sent, so that a resend may run."""
        INVARIANTS.require("abandon_unused", not claim.dispatched, claim=claim.name.row_key())
        self._queue_removal(claim)

    def withdraw_dispatch(self, claim: Claim) -> None:
        """Remove the claim of a dispatch that failed before any byte was sent."""
        claim.dispatched = False
        self._queue_removal(claim)

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Queue the outcome to be stored unless it is too large; a resend then gets "unknown"."""
        if len(outcome.body) > self._cfg.outcome_limit_bytes:
            self.counts.outcomes_dropped += 1
            return
        row = ClaimRow(
            claim=claim.row.claim,
            router=self._me,
            fingerprint=claim.row.fingerprint,
            status=outcome.status,
            body=outcome.body,
            content_type=outcome.content_type,
        )
        key = claim.name.row_key()
        write = Write(key, to_builtins(row), claim.version, self._cfg.claim_keep_ms)
        self._queue_write(write)

    def _queue_write(self, write: Write) -> None:
        """Queue a write that no caller waits for; drop it if the queue is full."""
        if len(self._outcomes) >= MAX_QUEUED_WRITES:
            self.counts.outcomes_dropped += 1
            return
        self._outcomes.append(write)
        self._outcomes_queued.set()

    async def _run_outcomes(self) -> None:
        """Write outcomes and removals in batches; a resend whose outcome is lost gets "unknown"."""
        while True:
            await self._outcomes_queued.wait()
            self._outcomes_queued = trio.Event()
            await sleep_ms(self._cfg.claim_batch_wait_ms)
            while self._outcomes:
                await self._write_outcomes(self._outcomes[: self._cfg.claim_batch_limit_rows])

    async def _write_outcomes(self, batch: list[Write]) -> None:
        """Write one batch of the queued writes; after a failure it stays queued."""
        try:
            await self._store.write_each(batch)
        except StoreError as exc:
            FAILURES.record("outcomes_write_failed", exc, outcomes=str(len(batch)))
            await sleep_ms(random.uniform(MIN_BACKOFF_MS, MAX_BACKOFF_MS))
            return
        self._outcomes = self._outcomes[len(batch) :]
        self.counts.outcomes += len(batch)

    async def flush(self) -> None:
        """Wait until all queued outcomes are written."""
        while self._outcomes:
            await sleep_ms(max(1, self._cfg.claim_batch_wait_ms))

    async def read(self, name: ClaimName) -> Row | None:
        """Return the row of a claim for the operators' API."""
        return await self._store.read(name.row_key())
