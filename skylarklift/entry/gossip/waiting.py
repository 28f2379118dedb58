"""Add to the ages in messages the time for which they had waited to be read.

A router that stood still, or was busy, reads messages long after their arrival.
"""

from collections.abc import Iterable
from dataclasses import replace

from skylarklift.entry.gossip.backpressure_fields import add_wait_to_backpressure
from skylarklift.entry.gossip.early_end_fields import add_wait_to_early_ends
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.speed_fields import add_wait_to_slow
from skylarklift.entry.placement.observed_loads import ObservedLoad
from skylarklift.entry.rollouts.news import RolloutNews
from skylarklift.entry.versions.release_rows import ReleaseReport


def add_wait(message: GossipMessage, waited_ms: int) -> GossipMessage:
    """Return a message with the ages of now, after it has waited."""
    if not waited_ms:
        return message
    age_ms = message.releases_age_ms
    return replace(
        message,
        tables=tuple(
            replace(summary, age_ms=summary.age_ms + waited_ms) for summary in message.tables
        ),
        ejected={
            replica: max(0, left_ms - waited_ms) for replica, left_ms in message.ejected.items()
        },
        hold_offs={
            replica: max(0, left_ms - waited_ms) for replica, left_ms in message.hold_offs.items()
        },
        limits=tuple(
            replace(report, age_ms=report.age_ms + waited_ms) for report in message.limits
        ),
        observed_loads=add_wait_to_loads(message.observed_loads, waited_ms),
        slow_replicas=add_wait_to_slow(message.slow_replicas, waited_ms),
        backpressure=add_wait_to_backpressure(message.backpressure, waited_ms),
        releases=tuple(_add_wait_to_release(report, waited_ms) for report in message.releases),
        releases_age_ms=None if age_ms is None else age_ms + waited_ms,
        silences=tuple(
            replace(item, began_ms=item.began_ms + waited_ms, ended_ms=item.ended_ms + waited_ms)
            for item in message.silences
        ),
        rollouts=_add_wait_to_rollouts(message.rollouts, waited_ms),
        early_ends=add_wait_to_early_ends(message.early_ends, waited_ms),
    )


def add_wait_to_loads(loads: Iterable[ObservedLoad], waited_ms: int) -> tuple[ObservedLoad, ...]:
    """Return observed loads with the ages of now."""
    return tuple(replace(load, age_ms=load.age_ms + waited_ms) for load in loads)


def _add_wait_to_rollouts(news: RolloutNews, waited_ms: int) -> RolloutNews:
    """Return what a message says of roll-outs with the ages of now."""
    states = (replace(state, age_ms=state.age_ms + waited_ms) for state in news.states)
    return replace(news, states=tuple(states))


def _add_wait_to_release(report: ReleaseReport, waited_ms: int) -> ReleaseReport:
    """Return a row on software versions with the ages of now."""
    deadline = report.deadline
    if deadline is not None:
        deadline = replace(deadline, age_ms=deadline.age_ms + waited_ms)
    shorter = tuple(
        replace(item, age_ms=item.age_ms + waited_ms) for item in report.shorter_deadlines
    )
    return replace(
        report,
        steps=tuple(step.aged(waited_ms) for step in report.steps),
        deadline=deadline,
        shorter_deadlines=shorter,
        spans=tuple(span.aged(waited_ms) for span in report.spans),
    )
