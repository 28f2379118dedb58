"""Keep one request from crashing upstreams: before it is sent, and after an answer broke off."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.crashes.crash_records import CrashReport
from skylarklift.entry.crashes.quarantine import Hold
from skylarklift.entry.crashes.suspects import JUDGEMENT_DELAY_MS, suspect_parts, suspects_of_call
from skylarklift.entry.model import Call
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.reachability import is_reachable
from skylarklift.entry.requests.retry_state import Outcome, RetryState
from skylarklift.errors import OutcomeUnknown, Refusal
from skylarklift.ids import Fingerprint

# A request that may soon be held back is not sent again before its parts have been judged.
RETRY_AFTER_CRASH_MS = JUDGEMENT_DELAY_MS + 50
# Callers of a request that is held back come back after the hold, spread over this time.
RETRY_AFTER_JITTER_MS = 1000


class CrashGuard:
    """Check one request against what is held back, and report the crashes that it takes part in.

    `suspects` are the request and the shared parts of its prompt; `held_by` is the hold that
    ended it, if one did.
    """

    def __init__(self, core: Core, call: Call, fingerprint: Fingerprint):
        self._core = core
        self._call = call
        self._fingerprint = fingerprint
        self._on_trial = False
        self.suspects = suspects_of_call(call, fingerprint)
        self.held_by: Hold | None = None

    def find_hold(self) -> Hold | None:
        """Return the hold on the request or on a part of its prompt, `None` without one."""
        hold = self._core.suspects.find_hold(self.suspects)
        if hold is not None:
            self.held_by = hold
        return hold

    def is_held_back(self) -> bool:
        """Return whether the request may not be sent again, not even as a trial."""
        hold = self.find_hold()
        if hold is None:
            return False
        return self._on_trial or not self._core.suspects.is_on_trial(hold)

    def check_before_send(self, retry_state: RetryState) -> None:
        """Let a request that is held back pass only as a trial.

        Raise `Refusal`, or `OutcomeUnknown` if an earlier attempt may have run.
        """
        core = self._core
        hold = core.suspects.find_hold(self.suspects)
        if hold is None or self._on_trial:
            return
        suspect = hold.suspect
        if core.suspects.start_trial(hold, core.fleet.rank(suspect.name)):
            self._on_trial = True
            core.event_log.write(
                "quarantine_trial", id=self._call.request, subject=suspect.name, term=hold.term
            )
            return
        self.held_by = hold
        core.metrics.increment("quarantine_refusals", suspect.kind.value)
        reason = f"the {suspect.kind.value} {suspect.name} crashed {hold.crashes} upstreams"
        if not retry_state.cannot_have_run:
            raise OutcomeUnknown(reason)
        left_ms = max(0, hold.until - core.clock.now())
        retry_after_ms = left_ms + core.rng.randrange(RETRY_AFTER_JITTER_MS)
        raise Refusal("crashes_upstreams", reason, retry_after_ms=retry_after_ms)

    async def check_for_crash(self, attempt: Attempt) -> None:
        """Report a suspected crash if an answer broke off at its start and a probe fails."""
        if attempt.outcome is not Outcome.BROKEN or attempt.has_settled():
            return
        core = self._core
        broken_at, answered = core.clock.now(), attempt.has_started()
        with trio.CancelScope(shield=True):
            alive = await is_reachable(core, attempt, since=broken_at)
        if alive:
            return
        # An upstream that fell silent may have lost power: that says nothing of prompts.
        parts = () if attempt.aborted else suspect_parts(self._call)
        replica = attempt.record.replica
        started_ms = attempt.process_started_ms()
        core.event_log.write(
            "crash_suspected",
            id=self._call.request,
            upstream=replica,
            started_ms=started_ms,
            parts=list(parts),
            answer_age_ms=attempt.answer_age_ms(),
        )
        attempt.crash_reported = True
        core.report_crash(
            CrashReport(replica, broken_at, self._fingerprint, parts, answered, started_ms)
        )

    async def wait_for_judgement(self, attempt: Attempt) -> None:
        """Wait until parts have been judged, if one may be convicted by this attempt's crash."""
        if attempt.crash_reported and self._core.suspects.may_be_convicted(self.suspects):
            await trio.sleep(RETRY_AFTER_CRASH_MS / MS_PER_SECOND)

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that say why the request was held back, none if it was not."""
        hold = self.held_by
        if hold is None:
            return {}
        return {
            "subject": hold.suspect.name,
            "kind": hold.suspect.kind.value,
            "crashes": hold.crashes,
            "held_ms": self._core.clock.now() - hold.held_at,
        }
