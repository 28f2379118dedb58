"""Decide whether a stream has ended, over all runs that contribute to it.

Only its framing shows where a stream ends.  One that its connection ends is followed by another run
that is to bring the last event again and none behind it.  Where no such run can tell, the end is
believed unless something speaks against it: to doubt it would cut off whole streams.
"""

from dataclasses import dataclass, replace
from enum import Enum

from skylarklift.clock import Millis
from skylarklift.entry.model import ResponseHead
from skylarklift.entry.requests.answer_end import Doubt
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.retry_state import RetryState
from skylarklift.entry.versions.stream_origins import DoubtedEnd
from skylarklift.upstreams.stream_position import StreamPosition

# Runs of one answer that end behind the same event with their connections, and those of all tries.
RUNS_TO_CONFIRM = 2
ALL_RUNS_TO_CONFIRM = 3
# Another run confirms or disproves an end within this time; the caller waits meanwhile.
CONFIRMATION_MS = 1500
# It has so long at least, also if the process of the end was silent when it was asked.
MIN_CONFIRMATION_MS = 550


class EndProof(Enum):
    """What showed that a stream which was completed had ended.

    `FRAMING`: a length or chunks.  `SECOND_RUN`: its connection ended, and another run brought the
    last event once more, and none behind it.  `NO_EARLY_END`: its connection ended in order, its
    process lives, no other run could tell, and nothing speaks against it.
    """

    FRAMING = "framing"
    SECOND_RUN = "second_run"
    NO_EARLY_END = "no_early_end"


@dataclass(frozen=True, slots=True)
class UnconfirmedEnd:
    """Where a stream ended with its connection; `last_event` is `None` before the first one.

    `brought_events` is whether the run that ended there had brought any.  `runs` have ended there,
    `earlier_runs` of them in earlier tries of the caller.
    """

    last_event: int | None
    brought_events: bool
    runs: int = 1
    earlier_runs: int = 0

    def is_confirmed(self) -> bool:
        """Return whether so many runs have ended there that it is the end of the stream.

        More are asked for over several tries: the first one may have been broken off.
        """
        return self.runs - self.earlier_runs >= RUNS_TO_CONFIRM or self.runs >= ALL_RUNS_TO_CONFIRM

    def count_run(self, *, brought_events: bool) -> "UnconfirmedEnd":
        """Return the end after one more run has ended there."""
        return replace(self, brought_events=brought_events, runs=self.runs + 1)


class StreamEnds:
    """The ends of a stream's runs.

    `proof` is what showed that a completed stream had ended, and `run_has_events` whether the
    current run has brought an event.
    """

    def __init__(self, position: StreamPosition, retry_state: RetryState):
        self._position = position
        self._retry_state = retry_state
        self._end_place: UnconfirmedEnd | None = None
        # The attempt whose run ended in order with its connection behind all that the caller has.
        self._believable: Attempt | None = None
        self._confirm_until = Millis(0)
        # Whether a run had neither a length nor chunks, as those that follow may have none.
        self._is_undelimited = False
        # Whether a run that was to confirm that end broke off.
        self._contradicted = False
        self.proof: EndProof | None = None
        self.run_has_events = False

    @property
    def ask_after(self) -> int | None:
        """Return the id behind which to ask for another run, `None` for a whole one.

        A run that may only confirm an end brings the event there again, and so shows how far it
        came: behind the last event it could bring nothing, like one that is cut off at once.
        """
        last = self._position.last
        if not self._is_undelimited and not self._is_expected():
            return last
        return last - 1 if last else None

    def _is_expected(self) -> bool:
        """Return whether a run has ended with its connection where the caller's events end."""
        return (
            self._end_place is not None
            and self._end_place.last_event == self._position.last is not None
        )

    def start_run(self) -> None:
        """Count what the run that is sent now will bring."""
        self.run_has_events = False

    def record_framing(self, attempt: Attempt) -> None:
        """Record whether a run has neither a length nor chunks."""
        self._is_undelimited |= attempt.conn.ends_with_connection

    def confirm(self, attempt: Attempt) -> bool:
        """Count a run; return whether its framing, or a second run at this place, shows the end.

        A replica that lives may end the connection between two events, too.
        """
        if not attempt.conn.ends_with_connection:
            self.proof = EndProof.FRAMING
            return True
        if self._lacks_repeated_event(attempt):
            return False
        last, brought_events = self._position.last, bool(attempt.event_range)
        if not self._is_expected():
            self._end_place = UnconfirmedEnd(last, brought_events)
        else:
            self._end_place = self._end_place.count_run(brought_events=brought_events)
        may_go_on = self._retry_state.repeatable and self._position.exact
        if not may_go_on or last is None or not self._end_place.is_confirmed():
            return False
        self.proof = EndProof.SECOND_RUN
        return True

    def _lacks_repeated_event(self, attempt: Attempt) -> bool:
        """Return whether a run was asked for the last event again, and ended before it."""
        was_asked_again = attempt.options.resume_after != self._position.last
        return was_asked_again and not self._position.run_brought_events

    def record(self, attempt: Attempt) -> None:
        """Record a run that ended in order with its connection, at a process that lives."""
        attempt.reading.record_end()
        if self.run_has_events:
            self._believable, self._contradicted = attempt, False
            soonest = attempt.core.clock.now() + MIN_CONFIRMATION_MS
            self._confirm_until = Millis(max(attempt.reading.ended_at + CONFIRMATION_MS, soonest))
        elif self._lacks_repeated_event(attempt) and not attempt.reached_deadline():
            self._contradicted = True
            attempt.report_early_end()

    def contradict(self, attempt: Attempt) -> None:
        """Let a run that broke off speak against the end that it was to confirm.

        One that ended in order behind the last event does not: what became of its process, or its
        link, after that tells nothing of the end.  Nor does one that came to its deadline.
        """
        ended_behind = attempt.end_sign is not None and self.run_has_events
        if not ended_behind and not attempt.reached_deadline():
            self._contradicted = True

    def disprove(self, attempt: Attempt) -> None:
        """Report the run that ended before an event that another attempt has now brought."""
        if self._believable is not None and self._believable is not attempt:
            self._believable.report_early_end()
            self._believable = None

    @property
    def is_believed(self) -> bool:
        """Return whether the caller has a stream up to an end that nothing speaks against."""
        return self._believable is not None and self.doubt is None

    @property
    def doubt(self) -> Doubt | None:
        """Return what speaks against the end that the caller has a stream up to, if any does."""
        if self._believable is None:
            return None
        return Doubt.CONTRADICTED if self._contradicted else self._believable.find_doubt()

    def believe(self) -> ResponseHead:
        """Take the end for that of the stream; return the head of the run that ended there."""
        self.proof = EndProof.NO_EARLY_END
        return self._believable.head

    def expect(self, end: DoubtedEnd | None) -> None:
        """Count a run that brings nothing to those of earlier tries that ended there."""
        if end is not None and end.last_event == self._position.last:
            self._end_place = UnconfirmedEnd(end.last_event, False, end.runs, end.runs)

    @property
    def doubted(self) -> DoubtedEnd | None:
        """Return where runs have ended if the caller has all up to there, `None` otherwise."""
        last = self._position.last
        ended_here = self._end_place is not None and self._end_place.last_event == last
        if not ended_here or last is None or not self._position.exact:
            return None
        return DoubtedEnd(last, self._end_place.runs)

    @property
    def confirm_until(self) -> Millis | None:
        """Return until when another run is to confirm an end, `None` if it is to bring more."""
        if self._believable is None or not self._is_expected():
            return None
        return self._confirm_until
