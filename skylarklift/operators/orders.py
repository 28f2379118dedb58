"""Give orders to engines, one order-giver at a time.

The right to give orders is a lease in the table service with a fencing number that
grows with each change of holder.  Engines that check the number refuse an old
holder.  For those that do not, the holder looks at its own clock before each order,
and a new holder waits until the old one's lease and its last order must be over,
counted on its own clock from when it saw the lease unchanged.
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
from skylarklift.votes.lease import DRIFT_PERCENT

ORDER_LEASE_KEY = "orders/lease"
LOADING_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER, OrderKind.LOAD_VERSION)


class OrderError(SkylarkError):
    """An order that was not given, or that the engine refused."""


class OrderLeaseHeldElsewhere(OrderError):
    """Another router has the right to give orders; try again after `retry_ms`."""

    def __init__(self, holder: str, retry_ms: int):
        super().__init__(f"{holder} gives orders at the moment")
        self.holder = holder
        self.retry_ms = retry_ms


class OrderOutcome(Enum):
    """What an engine made of an order."""

    DONE = "done"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Order:
    """An order to one engine."""

    url: str
    kind: OrderKind
    name: str


class OrderLease:
    """The decisions about the lease, without I/O."""

    def __init__(self, clock: Clock, me: BootId, cfg: OrderSettings):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self._seen_version = ABSENT
        self._seen_since = Millis(0)
        self._held_until = Millis(0)
        self.fence = 0

    def plan_write(self, row: Row | None) -> Write:
        """Return the write that takes or renews the lease; raise while it is another's."""
        now = self._clock.now()
        if row is None:
            return self._write(1, ABSENT)
        found = parse_lease(row)
        if found.holder == self._me:
            return self._write(found.fence, row.version)
        if row.version != self._seen_version:
            self._seen_version, self._seen_since = row.version, now
        takeover_wait_ms = found.lease_ms + self._cfg.order_limit_ms
        left_ms = self._seen_since + takeover_wait_ms * (100 + DRIFT_PERCENT) // 100 - now
        if left_ms > 0:
            raise OrderLeaseHeldElsewhere(found.holder, left_ms)
        return self._write(found.fence + 1, row.version)

    def _write(self, fence: int, expect: int) -> Write:
        """Return the conditional write of a lease row."""
        row = OrderLeaseRow(holder=self._me, fence=fence, lease_ms=self._cfg.lease_ms)
        return Write(ORDER_LEASE_KEY, to_builtins(row), expect)

    def confirm(self, started_at: Millis, fence: int) -> None:
        """Hold the lease, counted from before its write was sent."""
        INVARIANTS.require("fence_grows", fence >= self.fence, fence=fence, known=self.fence)
        self.fence = fence
        safe_lease_ms = self._cfg.lease_ms * (100 - DRIFT_PERCENT) // 100
        self._held_until = Millis(started_at + safe_lease_ms)

    def mark_lost(self) -> None:
        """Stop holding the lease."""
        self._held_until = Millis(0)

    def has_time_for_order(self) -> bool:
        """Tell whether an order that starts now would be over before the lease is."""
        return self._clock.now() + self._cfg.order_limit_ms <= self._held_until


class WeightLoadPacer:
    """Keeps a gap between orders that load weights, as the weight store demands."""

    def __init__(self, clock: Clock, gap_ms: int):
        self._clock = clock
        self._gap_ms = gap_ms
        self._next_load_at = Millis(0)
        self._fence = 0

    def wait_ms(self, fence: int) -> int:
        """Return how long to wait before the next load.

        A new holder does not know when the last one loaded, so it waits a whole gap.
        """
        now = self._clock.now()
        if fence != self._fence:
            self._fence = fence
            self._next_load_at = Millis(now + self._gap_ms)
        return max(0, self._next_load_at - now)

    def record_load(self) -> None:
        """Note that a load begins now."""
        self._next_load_at = Millis(self._clock.now() + self._gap_ms)


def parse_lease(row: Row) -> OrderLeaseRow:
    """Return the lease of a row; raise `OrderError` for one that cannot be read."""
    try:
        return convert(row.value, type=OrderLeaseRow)
    except ValidationError as exc:
        raise OrderError(f"the lease row cannot be read: {exc}") from exc


class OrderDispatcher:
    """Gives the orders of one router."""

    def __init__(self, clock: Clock, me: BootId, cfg: OrderSettings, store: TableStore):
        self._clock = clock
        self._cfg = cfg
        self._store = store
        self.lease = OrderLease(clock, me, cfg)
        self._pacer = WeightLoadPacer(clock, cfg.weight_gap_ms)
        timeout = cfg.order_limit_ms / MS_PER_SECOND
        self._client = httpx.AsyncClient(timeout=timeout, trust_env=False)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def dispatch(self, order: Order) -> OrderOutcome:
        """Give one order; raise `OrderError` or `StoreError` if it was surely not given."""
        await self._ensure_lease()
        if order.kind in LOADING_KINDS:
            await sleep_ms(self._pacer.wait_ms(self.lease.fence))
            # The wait may have used the lease up.
            await self._ensure_lease()
            self._pacer.record_load()
        if not self.lease.has_time_for_order():
            raise OrderError("the lease ended before the order could be given")
        return await self.send(order, self.lease.fence)

    async def _ensure_lease(self) -> None:
        """Take or renew the lease unless enough of it is left."""
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
        """Return if a write whose answer was lost took effect."""
        row = await self._store.read(ORDER_LEASE_KEY)
        if row is None or row.value != write.value:
            raise OrderError("the lease could not be taken; try again") from exc

    async def send(self, order: Order, fence: int) -> OrderOutcome:
        """Send an order to the engine."""
        body = {"fence": fence, "kind": order.kind.value, "name": order.name}
        try:
            response = await self._client.post(f"{order.url}/orders", json=body)
        except httpx.ConnectError as exc:
            raise OrderError(f"the engine cannot be reached: {exc}") from exc
        except httpx.HTTPError as exc:
            FAILURES.record("order_answer_lost", exc)
            return OrderOutcome.UNKNOWN
        if response.status_code == 409:
            self.lease.mark_lost()
            return OrderOutcome.FENCED
        return OrderOutcome.DONE if response.status_code < 300 else OrderOutcome.UNKNOWN
