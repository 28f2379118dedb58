"""Progress of upstreams, which distinguishes a lost response from a slow or hung upstream.

An upstream that is only slow must not be left: its work would start again elsewhere, and an
overloaded service would get more of it.
"""

from collections import deque
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
        # By upstream and route, when the requests were sent that were answered last.
        self._answered: dict[ReplicaId, dict[str, deque[Millis]]] = {}

    def record_progress(self, replica: ReplicaId) -> None:
        """Record that an upstream sent something useful."""
        self._last_progress[replica] = self._clock.now()

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
        if now - silent_since >= LOST_AFTER_MS and later >= LATER_ANSWERS:
            return Silence.ANSWER_LOST
        return Silence.SLOW

    def forget(self, replica: ReplicaId) -> None:
        """Drop what is known of a removed upstream."""
        self._last_progress.pop(replica, None)
        self._answered.pop(replica, None)
