"""What an attempt that has ended says of the software version of its upstream."""

from skylarklift.entry.model import Call
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.placement.choose import Chooser
from skylarklift.entry.placement.prefixes import shared_parts
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.retry_state import Outcome
from skylarklift.entry.rollouts.evidence import Sample
from skylarklift.entry.rollouts.rollouts import Rollouts

# What did not run says nothing of the version.
COUNTED_OUTCOMES = (Outcome.ANSWERED, Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT)
# A replica that lacks more than this part of a prompt's shared tokens needs longer to read it.
MIN_HELD_RATIO = 0.5


def is_comparable(chooser: Chooser, call: Call, choice: Choice) -> bool:
    """Return whether the time to first event can be compared with those of other replicas.

    It is asked before the request is sent, after which the replica counts as holding the prompt.
    """
    if choice.cold:
        return False
    tokens = sum(part.tokens for part in shared_parts(call.parts))
    return not tokens or chooser.held_tokens(call, choice.upstream) >= MIN_HELD_RATIO * tokens


def record_attempt(rollouts: Rollouts, attempt: Attempt, *, comparable: bool) -> None:
    """Count an attempt that has ended, if a roll-out of its service is in force."""
    record = attempt.record
    if record.software is None or rollouts.order(record.service) is None or attempt.withdrawn:
        return
    if attempt.outcome not in COUNTED_OUTCOMES:
        return
    if attempt.outcome is Outcome.SILENT and attempt.choice.cold:
        # A replica that has just started is slow, whatever its version.
        return
    bad = attempt.outcome is not Outcome.ANSWERED
    took_ms = None
    if comparable and not bad and attempt.answered_at is not None:
        took_ms = attempt.answered_at - attempt.sent_at
    sample = Sample(record.software, attempt.route_name, record.replica, bad, took_ms)
    rollouts.record(record.service, sample)
