"""Which events of a stream its caller has, and which event of a run follows them."""

from skylarklift.errors import ResponseBroken, ResponseInvalid
from skylarklift.upstreams.events import StreamEvent


class StreamPosition:
    """The place in a stream up to which its caller has it, over all runs that contribute to it.

    `last` is the id of the last event that the caller has, `None` without one.  `exact` is false
    once an event without an id has followed that: no other run can go on from such a place.
    """

    def __init__(self, last: int | None):
        self.last = last
        self.exact = True
        self._continuing = False
        self._newest_of_run: int | None = None

    def start_run(self, *, continuing: bool) -> None:
        """Start to read a run, `continuing` if the caller has a part of the answer already."""
        self._continuing = continuing
        self._newest_of_run = None

    @property
    def run_brought_events(self) -> bool:
        """Return whether the run has brought an event with an id, be it one that the caller has."""
        return self._newest_of_run is not None

    def is_next(self, event: StreamEvent) -> bool:
        """Return whether the caller still lacks an event; raise `TransportError` at a gap."""
        if event.event_id is not None:
            return self._is_next_id(event.event_id)
        return event.is_comment or self._is_next_without_id()

    def _is_next_id(self, number: int) -> bool:
        """Return whether the caller still lacks the event with an id."""
        self._newest_of_run = max(number, self._newest_of_run or 0)
        if self.last is not None and number <= self.last:
            return False
        if self.last is not None and number != self.last + 1:
            text = f"event {number} follows event {self.last}; the events between are missing"
            raise ResponseBroken(text)
        self.last, self.exact = number, True
        return True

    def _is_next_without_id(self) -> bool:
        """Return whether the caller still lacks an event that has no id.

        The text of an error, for one, is no part of the stream that the caller has the start of.
        """
        if self._newest_of_run is None:
            if self._continuing:
                raise ResponseInvalid("a stream was resumed with an event without an id")
        elif self._newest_of_run < self.last:
            return False
        self.exact = False
        return True

    def end_run(self) -> None:
        """Raise `ResponseInvalid` if the run ended before the event that the caller has."""
        newest = self._newest_of_run
        if newest is not None and newest < self.last:
            text = f"the stream ended with event {newest}; the caller has event {self.last}"
            raise ResponseInvalid(text)
