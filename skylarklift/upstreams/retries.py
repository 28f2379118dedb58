"""A retry budget: retries may be a set ratio of the requests, and no more.

The budget is a ratio and not a count for each request, so that the load which
retries add stays bounded when many requests fail at once.
"""

from skylarklift.generated import RetrySettings


class RetryBudget:
    """The budget of one router."""

    def __init__(self, cfg: RetrySettings):
        self._cfg = cfg
        self._balance = cfg.reserve
        self.spent = 0
        self.denied = 0

    def record_request(self) -> None:
        """Earn a part of a retry for a new request."""
        self._balance = min(self._balance + self._cfg.ratio, self._cfg.reserve)

    def try_spend(self) -> bool:
        """Spend one retry; tell whether the budget allowed it."""
        if self._balance < 1:
            self.denied += 1
            return False
        self._balance -= 1
        self.spent += 1
        return True
