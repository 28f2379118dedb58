"""Send orders to engines from one router at a time.

Only the holder of a lease in the table service may send orders.  The lease has a fencing
number that grows with each change of holder, and engines that check it refuse an old
holder.  Some engines do not check it.  The holder therefore checks its own clock before
each order.  A new holder waits until the old lease and its last order must have ended,
counted on its own clock from when it first saw the lease row in its present version.
"""

from dataclasses import dataclass
from enum import Enum

import httpx
from msgspec import ValidationError, convert, to_builtins

from skylarklift.clock import MS_PER_SECOND, Clock, Millis, sleep_ms
from skylarklift.errors import SkylarkError, StoreAnswerLost, StoreConflict
from skylarklift.generated import OrderKind, OrderLeaseRow, OrderSettings
from skylarklift.ids import BootId
from skylarklift.invariants import INVARIANTS
from skylarklift.logger import FAILURES
from skylarklift.store.base import ABSENT, Row, TableStore, Write
from skylarklift.votes.lease import CLOCK_DRIFT_PERCENT

ORDER_LEASE_KEY = "orders/lease"
LOADING_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER, OrderKind.LOAD_VERSION)


class OrderError(SkylarkError):
    """An order did not reach its engine."""


class OrderLeaseHeldElsewhere(OrderError):
    """Another router holds the order lease; retry after `retry_ms`."""

    def __init__(self, holder: str, retry_ms: int):
        super().__init__(f"{holder} gives orders at the moment")
        self.holder = holder
        self.retry_ms = retry_ms


class OrderOutcome(Enum):
    """The result of an order that was sent.

    `FENCED`: the engine has seen a newer fencing number.  `UNKNOWN`: the engine returned
    an error or no response.
    """

    DONE = "done"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Order:
    """An order to the engine at `url`."""

    url: str
    kind: OrderKind
    name: str


class OrderLease:
    """The rules for taking, renewing and using the order lease, without I/O."""

    def __init__(self, clock: Clock, me: BootId, cfg: OrderSettings):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self._seen_version = ABSENT
        self._seen_since = Millis(0)
        self._held_until = Millis(0)
        self.fence = 0

    def plan_write(self, row: Row | None) -> Write:
        """Return the write that takes or renews the lease; raise while another router holds it."""
        now = self._clock.now()
        if row is None:
            return self._write(1, ABSENT)
        stored_lease = parse_lease_row(row)
        if stored_lease.holder == self._me:
            return self._write(stored_lease.fence, row.version)
        if row.version != self._seen_version:
            self._seen_version, self._seen_since = row.version, now
        takeover_wait_ms = stored_lease.lease_ms + self._cfg.order_limit_ms
        left_ms = self._seen_since + takeover_wait_ms * (100 + CLOCK_DRIFT_PERCENT) // 100 - now
        if left_ms > 0:
            raise OrderLeaseHeldElsewhere(stored_lease.holder, left_ms)
        return self._write(stored_lease.fence + 1, row.version)

    def _write(self, fence: int, expect: int) -> Write:
        """Return the write of a lease row, on the condition of its version."""
        row = OrderLeaseRow(holder=self._me, fence=fence, lease_ms=self._cfg.lease_ms)
        return Write(ORDER_LEASE_KEY, to_builtins(row), expect)

    def confirm(self, started_at: Millis, fence: int) -> None:
        """Record that the lease is held, counted from before its write was sent."""
        INVARIANTS.require("fence_grows", fence >= self.fence, fence=fence, known=self.fence)
        self.fence = fence
        safe_lease_ms = self._cfg.lease_ms * (100 - CLOCK_DRIFT_PERCENT) // 100
        self._held_until = Millis(started_at + safe_lease_ms)

    def mark_lost(self) -> None:
        """Record that the lease is no longer held."""
        self._held_until = Millis(0)

    def has_time_for_order(self) -> bool:
        """Return whether an order that is sent now would end before the lease."""
        return self._clock.now() + self._cfg.order_limit_ms <= self._held_until


class WeightLoadPacer:
    """Keep the minimum gap between orders that load weights, as the weight store requires."""

    def __init__(self, clock: Clock, gap_ms: int):
        self._clock = clock
        self._gap_ms = gap_ms
        self._next_load_at = Millis(0)
        self._fence = 0

    def wait_ms(self, fence: int) -> int:
        """Return the milliseconds to wait before the next load.

        A new holder does not know when the old one last loaded, so it waits a full gap.
        """
        now = self._clock.now()
        if fence != self._fence:
            self._fence = fence
            self._next_load_at = Millis(now + self._gap_ms)
        return max(0, self._next_load_at - now)

    def record_load(self) -> None:
        """Record that a load starts now."""
        self._next_load_at = Millis(self._clock.now() + self._gap_ms)


def parse_lease_row(row: Row) -> OrderLeaseRow:
    """Return the lease in a row; raise `OrderError` if the row is invalid."""
    try:
        return convert(row.value, type=OrderLeaseRow)
    except ValidationError as exc:
        raise OrderError(f"the lease row cannot be read: {exc}") from exc


class OrderDispatcher:
    """Send orders to engines under this router's order lease."""

    def __init__(self, clock: Clock, me: BootId, cfg: OrderSettings, store: TableStore):
        self._clock = clock
        self._cfg = cfg
        self._store = store
        self.lease = OrderLease(clock, me, cfg)
        self._pacer = WeightLoadPacer(clock, cfg.weight_gap_ms)
        timeout = cfg.order_limit_ms / MS_PER_SECOND
        self._client = httpx.AsyncClient(timeout=timeout, trust_env=False)

    async def close(self) -> None:
        """Close the connections to the engines."""
        await self._client.aclose()

    async def dispatch(self, order: Order) -> OrderOutcome:
        """Send one order; raise `OrderError` or `StoreError` if it did not reach the engine."""
        await self._ensure_lease()
        if order.kind in LOADING_KINDS:
            await sleep_ms(self._pacer.wait_ms(self.lease.fence))
            # The lease may have run out during the wait.
            await self._ensure_lease()
            self._pacer.record_load()
        if not self.lease.has_time_for_order():
            raise OrderError("the lease ended before the order could be given")
        return await self.send(order, self.lease.fence)

    async def _ensure_lease(self) -> None:
        """Take or renew the lease unless enough of it is left for an order."""
        if self.lease.has_time_for_order():
            return
        row = await self._store.read(ORDER_LEASE_KEY)
        write = self.lease.plan_write(row)
        started_at = self._clock.now()
        try:
            await self._store.transact([write])
        except StoreConflict as exc:
            self.lease.mark_lost()
            raise OrderError("another router took the right to give orders") from exc
        except StoreAnswerLost as exc:
            await self._settle_lease_write(write, exc)
        self.lease.confirm(started_at, write.value["fence"])

    async def _settle_lease_write(self, write: Write, exc: StoreAnswerLost) -> None:
        """Read the lease row after the store's answer was lost; raise unless it was written."""
        row = await self._store.read(ORDER_LEASE_KEY)
        if row is None or row.value != write.value:
            raise OrderError("the lease could not be taken; try again") from exc

    async def send(self, order: Order, fence: int) -> OrderOutcome:
        """Send an order to its engine with the fencing number."""
        body = {"fence": fence, "kind": order.kind.value, "name": order.name}
        try:
            response = await self._client.post(f"{order.url}/orders", json=body)
        except httpx.ConnectError as exc:
            raise OrderError(f"the engine cannot be reached: {exc}") from exc
        except httpx.HTTPError as exc:
            FAILURES.record("order_response_read_failed", exc)
            return OrderOutcome.UNKNOWN
        if response.status_code == 409:
            self.lease.mark_lost()
            return OrderOutcome.FENCED
        return OrderOutcome.DONE if response.status_code < 300 else OrderOutcome.UNKNOWN
