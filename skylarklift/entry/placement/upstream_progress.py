"""Progress of upstreams, which distinguishes a lost response from a slow or hung upstream.

An upstream that is only slow must not be left: its work would start again elsewhere, and an
overloaded service would get more of it.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ReplicaId

# An upstream that sent nothing useful to any request for this long is taken as hung.
HUNG_AFTER_MS = 1800
# A silent request is taken as lost when it has waited this long, and this many of its route that
# were sent later have an answer.  Upstreams work on several requests at once and answer in another
# order, by priority, by the length of prompts and of the work.
LOST_AFTER_MS = 1000
LATER_ANSWERS = 3
REMEMBERED_ANSWERS = 32
# A time of this span without a sign of work is a pause.  The first part of one does not count as
# time in which a lost answer should have come.
MIN_PAUSE_MS = 600
EXCUSED_PAUSE_MS = 1500


class Silence(Enum):
    """Why an upstream that accepts connections may be silent towards one request."""

    SLOW = "slow"
    ANSWER_LOST = "answer_lost"
    HUNG = "hung"


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which an upstream sent nothing useful to any request."""

    began_at: Millis
    ended_at: Millis

    def excused_ms(self, silent_since: Millis) -> int:
        """Return how much of it excuses a silence since a time."""
        span_ms = self.ended_at - max(self.began_at, silent_since)
        return min(span_ms, EXCUSED_PAUSE_MS) if span_ms >= MIN_PAUSE_MS else 0


class UpstreamProgress:
    """The last sign of work from each upstream, and which requests it answered lately."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_progress: dict[ReplicaId, Millis] = {}
        self._pauses: dict[ReplicaId, Pause] = {}
        # By upstream and route, when the requests were sent that were answered last.
        self._answered: dict[ReplicaId, dict[str, deque[Millis]]] = {}

    def record_progress(self, replica: ReplicaId) -> None:
        """Record that an upstream sent something useful."""
        now = self._clock.now()
        before = self._last_progress.get(replica, Millis(0))
        if now - before >= MIN_PAUSE_MS:
            self._pauses[replica] = Pause(before, now)
        self._last_progress[replica] = now

    def record_answer(self, replica: ReplicaId, route: str, sent_at: Millis) -> None:
        """Record the first event or the complete answer to a request that was sent at a time."""
        answers = self._answered.setdefault(replica, {})
        if route not in answers:
            answers[route] = deque(maxlen=REMEMBERED_ANSWERS)
        answers[route].append(sent_at)

    def classify(self, replica: ReplicaId, route: str, silent_since: Millis) -> Silence:
        """Return why an upstream has been silent to a request since a time."""
        now = self._clock.now()
        heard_at = max(self._last_progress.get(replica, silent_since), silent_since)
        if now - heard_at >= HUNG_AFTER_MS:
            return Silence.HUNG
        answers = self._answered.get(replica, {}).get(route, ())
        later = sum(sent_at > silent_since for sent_at in answers)
        pause = self._pauses.get(replica)
        waited_ms = now - silent_since - (pause.excused_ms(silent_since) if pause else 0)
        if waited_ms >= LOST_AFTER_MS and later >= LATER_ANSWERS:
            return Silence.ANSWER_LOST
        return Silence.SLOW

    def forget(self, replica: ReplicaId) -> None:
        """Drop what is known of a removed upstream."""
        self._last_progress.pop(replica, None)
        self._pauses.pop(replica, None)
        self._answered.pop(replica, None)
