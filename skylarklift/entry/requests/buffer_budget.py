"""A limit on what all requests of a router together keep in memory.

Each request may keep a little; only what it keeps beyond that is charged.  Without a common limit,
many large bodies at once would end the process, and the requests of all others with it.
"""

# What a request may keep without a charge.
FREE_BYTES = 16_384
# The part of the process's memory that may be charged.  A body is copied once while it is read.
BUDGET_RATIO = 0.25
BYTES_PER_MB = 1_000_000


class BufferBudget:
    """The bytes that requests are charged for, within a limit."""

    def __init__(self, memory_mb: int):
        self.used_bytes = 0
        self.limit_bytes = 0
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: int) -> None:
        """Set the limit by the memory that the process may use."""
        self.limit_bytes = int(memory_mb * BYTES_PER_MB * BUDGET_RATIO)

    def open_share(self) -> "BufferShare":
        """Return the share of one request; close it at the request's end."""
        return BufferShare(self)


class BufferShare:
    """What one request keeps in memory."""

    def __init__(self, budget: BufferBudget):
        self._budget = budget
        self._charged_bytes = 0

    def resize(self, size: int) -> bool:
        """Charge for `size` bytes in all; return false, and change nothing, over the limit."""
        budget = self._budget
        charged = max(0, size - FREE_BYTES)
        used = budget.used_bytes + charged - self._charged_bytes
        if charged > self._charged_bytes and used > budget.limit_bytes:
            return False
        budget.used_bytes, self._charged_bytes = used, charged
        return True

    def __enter__(self) -> "BufferShare":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resize(0)
