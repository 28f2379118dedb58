"""A retry budget: it limits retries to a configured ratio of the requests.

A limit per request would not bound the added load when many requests fail at once; a
ratio of all requests does.
"""

from skylarklift.generated import RetrySettings


class RetryBudget:
    """The retry budget of one router, kept as a balance that requests add to."""

    def __init__(self, cfg: RetrySettings):
        self._cfg = cfg
        self._balance = cfg.reserve
        self.spent = 0
        self.denied = 0

    def record_request(self) -> None:
        """Add the ratio to the balance for a new request, up to the reserve."""
        self._balance = min(self._balance + self._cfg.ratio, self._cfg.reserve)

    def try_spend(self) -> bool:
        """Take one retry from the balance; return whether the budget allowed it."""
        if self._balance < 1:
            self.denied += 1
            return False
        self._balance -= 1
        self.spent += 1
        return True
