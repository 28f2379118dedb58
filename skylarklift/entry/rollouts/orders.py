"""The operators' orders for roll-outs, as the rows of the store say."""

from collections.abc import Iterator

from skylarklift.entry.rollouts.order import KnownOrder, RolloutRow
from skylarklift.entry.state.upstream import StateChange
from skylarklift.ids import ServiceId


class RolloutOrders:
    """The order in force for each service."""

    def __init__(self):
        self._known: dict[ServiceId, KnownOrder] = {}

    def __iter__(self) -> Iterator[ServiceId]:
        """Iterate over the services with an order."""
        return iter(self._known)

    def __len__(self) -> int:
        """Return the number of orders."""
        return len(self._known)

    def get(self, service: ServiceId) -> KnownOrder | None:
        """Return the order for a service, `None` without one."""
        return self._known.get(service)

    def differs(self, row: RolloutRow) -> bool:
        """Return whether a row says something else than the known order.

        In a copy of the store an order that was made since is missing, or is an earlier one.
        """
        known = self._known.get(row.service)
        return known is not None and row.order != known.order

    def apply(self, row: RolloutRow, version: int, *, is_settling: bool) -> list[StateChange]:
        """Use a row, and return what it changes.

        The same order in the rows of a restored store stays the same, whatever their versions.
        """
        known = self._known.get(row.service)
        if row.order is None:
            if self._known.pop(row.service, None) is None:
                return []
            return [StateChange("rollout_order_removed", row.service, version)]
        if known is not None and known.order == row.order:
            if known.row_version == version or is_settling:
                return []
        self._known[row.service] = KnownOrder(row.order, version)
        detail = f"to {row.order.to} within {row.order.duration_ms} ms"
        return [StateChange("rollout_ordered", row.service, version, detail)]
