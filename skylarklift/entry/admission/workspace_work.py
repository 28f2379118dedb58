"""The recent work of each workspace, on a scale on which the order does not change with time."""

import math
from collections import OrderedDict

from skylarklift.clock import Clock, Millis
from skylarklift.ids import WorkspaceId

# Work counts half as much after this time.
HALF_LIFE_MS = 2000
MAX_WORKSPACES = 4096
# Work without any request, below that of every workspace that has sent one.
NO_WORK = -math.inf


class WorkspaceWork:
    """The decayed sum of the work of each workspace.

    All sums decay at the same rate, so instead of decaying the sums, later work counts for more.
    The binary logarithm is kept, as the sums themselves would overflow.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started_at: Millis = clock.now()
        # The workspace with the oldest work first.
        self._levels: OrderedDict[WorkspaceId, float] = OrderedDict()

    def record(self, workspace: WorkspaceId, work: float) -> None:
        """Add the work of one request."""
        added = math.log2(work) + (self._clock.now() - self._started_at) / HALF_LIFE_MS
        known = self._levels.pop(workspace, NO_WORK)
        high, low = max(known, added), min(known, added)
        self._levels[workspace] = high + math.log2(1 + 2 ** (low - high))
        if len(self._levels) > MAX_WORKSPACES:
            self._levels.popitem(last=False)

    def level(self, workspace: WorkspaceId) -> float:
        """Return a figure that is higher for a workspace with more recent work."""
        return self._levels.get(workspace, NO_WORK)
