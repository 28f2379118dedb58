"""Upstreams to which connections time out, as to one that is silent for a second or so."""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.errors import ConnectFailed, ConnectTimeout
from skylarklift.ids import ReplicaId

# A sound upstream may be silent for this long.
TOLERATED_SILENCE_MS = 1500
# It gets no request for this long after a connection to it has timed out, if others can take it.
AVOIDED_MS = 300


@dataclass(slots=True)
class TimeoutSpan:
    """Connections to an upstream that timed out in a row.

    The first one was begun at `began_at`, the last one at `last_began_at`.
    """

    began_at: Millis
    last_began_at: Millis
    last_at: Millis

    @property
    def tolerated(self) -> bool:
        """Return whether the upstream may have gone on in time, as far as time-outs show.

        One shows silence only for its beginning: what is lost then is sent again later than that.
        """
        return self.last_began_at - self.began_at < TOLERATED_SILENCE_MS


class Unanswered:
    """Since when upstreams have answered no request for a connection."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._spans: dict[ReplicaId, TimeoutSpan] = {}

    def tolerates(self, replica: ReplicaId, failure: ConnectFailed, began_at: Millis) -> bool:
        """Record why a connection that began at a time failed; return whether that is tolerated.

        Only a time-out is, unless connections have timed out for long.
        """
        if not isinstance(failure, ConnectTimeout):
            return False
        now = self._clock.now()
        span = self._spans.get(replica)
        if span is None or now - span.last_at > TOLERATED_SILENCE_MS:
            self._spans[replica] = span = TimeoutSpan(began_at, began_at, now)
        span.last_began_at, span.last_at = max(span.last_began_at, began_at), now
        return span.tolerated

    def record_answer(self, replica: ReplicaId) -> None:
        """Record that an upstream has accepted a connection, or sent something useful."""
        self._spans.pop(replica, None)

    def avoided(self) -> set[ReplicaId]:
        """Return the upstreams that are to get a request only if no other one can take it."""
        now = self._clock.now()
        return {name for name, span in self._spans.items() if now - span.last_at < AVOIDED_MS}

    def has_tolerated(self, replica: ReplicaId, look_ms: int) -> bool:
        """Return whether an upstream was found silent, and another look for `look_ms` is not due.

        One is due now and then, but none shortly before one can show too long a silence.
        """
        span, now = self._spans.get(replica), self._clock.now()
        if span is None or not span.tolerated or now - span.last_at > TOLERATED_SILENCE_MS:
            return False
        conclusive_in_ms = span.began_at + TOLERATED_SILENCE_MS - now
        if conclusive_in_ms <= 0:
            return False
        return now - span.last_at < AVOIDED_MS or conclusive_in_ms < look_ms
