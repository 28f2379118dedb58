"""What upstreams sent to this router, from which a lost answer is told from a slow upstream.

An upstream that is only slow must not be left: its work would start again elsewhere, and an
overloaded service would get more of it.
"""

from collections import deque
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ReplicaId

# An upstream that sent nothing useful to any request for this long is taken as hung.
HUNG_AFTER_MS = 1800
# A silent request is taken as lost when this many that were sent later have an answer: upstreams
# may answer in another order, by priority and by the length of prompts.
LATER_ANSWERS = 3
REMEMBERED_ANSWERS = 32


class Silence(Enum):
    """Why an upstream that accepts connections may be silent towards one request."""

    SLOW = "slow"
    ANSWER_LOST = "answer_lost"
    HUNG = "hung"


class UpstreamProgress:
    """The last sign of work from each upstream, and which requests it answered lately."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_progress: dict[ReplicaId, Millis] = {}
        # When the requests were sent that the upstream answered last.
        self._answered: dict[ReplicaId, deque[Millis]] = {}

    def record_progress(self, replica: ReplicaId) -> None:
        """Record that an upstream sent something useful."""
        self._last_progress[replica] = self._clock.now()

    def record_answer(self, replica: ReplicaId, sent_at: Millis) -> None:
        """Record the first event or the complete answer to a request that was sent at a time."""
        answers = self._answered.get(replica)
        if answers is None:
            answers = self._answered[replica] = deque(maxlen=REMEMBERED_ANSWERS)
        answers.append(sent_at)

    def classify(self, replica: ReplicaId, silent_since: Millis) -> Silence:
        """Return why an upstream has been silent to a request since a time."""
        heard_at = max(self._last_progress.get(replica, silent_since), silent_since)
        if self._clock.now() - heard_at >= HUNG_AFTER_MS:
            return Silence.HUNG
        later = sum(sent_at > silent_since for sent_at in self._answered.get(replica, ()))
        return Silence.ANSWER_LOST if later >= LATER_ANSWERS else Silence.SLOW

    def forget(self, replica: ReplicaId) -> None:
        """Drop what is known of a removed upstream."""
        self._last_progress.pop(replica, None)
        self._answered.pop(replica, None)
