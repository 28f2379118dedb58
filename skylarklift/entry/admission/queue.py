"""The queue of the requests that wait for room at one service.

Requests that go ahead come first, then those of the most urgent priority.  Within a priority the
workspace with the least recent work comes first, and within a workspace a request that came back
after a refusal, then the oldest one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

import trio

from skylarklift.clock import Millis
from skylarklift.ids import WorkspaceId

MAX_WAITING = 10_000
# A request that has waited for this part of the time that it may wait is aged.
AGED_WAIT_RATIO = 0.5
# Of the places of a priority, one in this many goes to its oldest aged request.  The others keep
# the order by workspace, so that a workspace with many waiting requests does not take all places.
AGED_INTERVAL = 2
# Of all places, one in this many goes to the oldest aged request of any priority.
ANY_PRIORITY_INTERVAL = 8
# Removed requests stay in the heaps until there are this many more of them than waiting ones.
MAX_EXCESS_REMOVED = 64


@dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits; `woken` is set when it may have become its turn.

    `ahead` is whether it goes ahead of new requests: a retry, or a stream that is resumed.
    `returned` is whether it came back after a refusal.  After `latest_start` it cannot be started
    in time.
    """

    workspace: WorkspaceId
    priority: int
    queued_at: Millis
    latest_start: Millis
    ahead: bool = False
    returned: bool = False
    waiting: bool = False
    woken: trio.Event = field(default_factory=trio.Event)

    @property
    def aged_at(self) -> Millis:
        """Return when the request is aged."""
        wait_ms = max(0, self.latest_start - self.queued_at)
        return Millis(self.queued_at + int(wait_ms * AGED_WAIT_RATIO))

    def wake(self) -> None:
        """Let the request check whether it is its turn."""
        self.woken.set()


# The request with its sort key; the number keeps requests from being compared.
Entry = tuple[bool, Millis, int, QueuedRequest]
AgedEntry = tuple[Millis, int, QueuedRequest]


class PriorityQueue:
    """The waiting requests of one priority, by workspace and by age."""

    def __init__(self, level: Callable[[WorkspaceId], float]):
        self._level = level
        self._entries: dict[WorkspaceId, list[Entry]] = {}
        self._waiting: dict[WorkspaceId, int] = {}
        # Work only grows, so the level in this heap may be too low but never too high.
        self._workspaces: list[tuple[float, WorkspaceId]] = []
        self._by_age: list[AgedEntry] = []
        self.length = 0
        self.taken = 0

    def push(self, request: QueuedRequest, number: int) -> None:
        """Add a request."""
        workspace = request.workspace
        entries = self._entries.get(workspace)
        if entries is None:
            entries = self._entries[workspace] = []
            heappush(self._workspaces, (self._level(workspace), workspace))
        heappush(entries, (not request.returned, request.queued_at, number, request))
        heappush(self._by_age, (request.aged_at, number, request))
        self._waiting[workspace] = self._waiting.get(workspace, 0) + 1
        self.length += 1

    def remove(self, request: QueuedRequest) -> None:
        """Count a request as removed; its entries are dropped later."""
        left = self._waiting[request.workspace] - 1
        if left:
            self._waiting[request.workspace] = left
        else:
            del self._waiting[request.workspace]
        self.length -= 1
        if len(self._by_age) > 2 * self.length + MAX_EXCESS_REMOVED:
            self._drop_removed()

    def first(self, now: Millis) -> QueuedRequest | None:
        """Return the request whose turn it is."""
        if self.taken % AGED_INTERVAL == AGED_INTERVAL - 1:
            aged = self.oldest_aged(now)
            if aged is not None:
                return aged
        while self._workspaces:
            known, workspace = self._workspaces[0]
            entries = self._entries[workspace]
            while entries and not entries[0][-1].waiting:
                heappop(entries)
            level = self._level(workspace)
            if not entries:
                heappop(self._workspaces)
                del self._entries[workspace]
            elif known < level:
                heappop(self._workspaces)
                heappush(self._workspaces, (level, workspace))
            else:
                return entries[0][-1]
        return None

    def oldest_aged(self, now: Millis) -> QueuedRequest | None:
        """Return the request that has been aged for the longest time."""
        while self._by_age and not self._by_age[0][-1].waiting:
            heappop(self._by_age)
        if self._by_age and self._by_age[0][0] <= now:
            return self._by_age[0][-1]
        return None

    def count_before(self, workspace: WorkspaceId) -> int:
        """Return how many requests are served before a new one of a workspace.

        The workspaces take turns, so one with few requests does not wait for all of the others'.
        """
        turns = self._waiting.get(workspace, 0) + 1
        others = len(self._waiting) - (workspace in self._waiting)
        return min(self.length, turns - 1 + turns * others)

    def _drop_removed(self) -> None:
        """Drop the entries of requests that no longer wait."""
        self._by_age = [item for item in self._by_age if item[-1].waiting]
        heapify(self._by_age)
        for workspace, entries in list(self._entries.items()):
            kept = [item for item in entries if item[-1].waiting]
            heapify(kept)
            self._entries[workspace] = kept


class AdmissionQueue:
    """The requests that wait for one service, `MAX_WAITING` at most."""

    def __init__(self, level: Callable[[WorkspaceId], float], limit: int = MAX_WAITING):
        self._level = level
        self._limit = limit
        self._numbers = count()
        self._priorities: dict[tuple[bool, int], PriorityQueue] = {}
        self._length = 0
        self._taken = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._length

    def is_full(self) -> bool:
        """Return whether no other request may wait."""
        return self._length >= self._limit

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        request.waiting = True
        key = _priority_key(request)
        if key not in self._priorities:
            self._priorities[key] = PriorityQueue(self._level)
            self._priorities = dict(sorted(self._priorities.items()))
        self._priorities[key].push(request, next(self._numbers))
        self._length += 1

    def first(self, now: Millis) -> QueuedRequest | None:
        """Return the request whose turn it is, `None` if none waits."""
        if self._taken % ANY_PRIORITY_INTERVAL == ANY_PRIORITY_INTERVAL - 1:
            aged = [item.oldest_aged(now) for item in self._priorities.values()]
            oldest = min(filter(None, aged), key=lambda item: item.aged_at, default=None)
            if oldest is not None:
                return oldest
        for item in self._priorities.values():
            found = item.first(now)
            if found is not None:
                return found
        return None

    def take(self, request: QueuedRequest) -> None:
        """Remove a request that is sent."""
        self._priorities[_priority_key(request)].taken += 1
        self._taken += 1
        self.remove(request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that waits; one that does not is ignored."""
        if not request.waiting:
            return
        request.waiting = False
        self._length -= 1
        self._priorities[_priority_key(request)].remove(request)

    def count_before(self, request: QueuedRequest) -> int:
        """Return about how many requests are served before one that is about to wait."""
        own = _priority_key(request)
        before = 0
        for key, item in self._priorities.items():
            if key < own:
                before += item.length
            elif key == own:
                before += item.count_before(request.workspace)
        return before


def _priority_key(request: QueuedRequest) -> tuple[bool, int]:
    """Return the key by which the requests that go ahead come before all priorities."""
    return not request.ahead, request.priority
