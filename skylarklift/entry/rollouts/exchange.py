"""Apply what is said of roll-outs to a router, and log each step with its evidence."""

from dataclasses import asdict
from typing import TYPE_CHECKING

from skylarklift.clock import Millis
from skylarklift.entry.rollouts.news import RolloutNews, StateReport
from skylarklift.entry.rollouts.rollouts import RolloutEvent, Rollouts
from skylarklift.entry.rollouts.state import RolloutState

if TYPE_CHECKING:
    from skylarklift.entry.core import Core

LOGGED_DECIMALS = 2


def make_news(rollouts: Rollouts, now: Millis) -> RolloutNews:
    """Return what this router knows of roll-outs."""
    states = tuple(
        StateReport(
            state.service,
            state.to,
            state.order_version,
            max(0, now - state.ordered_at),
            state.duration_ms,
            state.phase,
            state.step,
        )
        for state in rollouts.states()
    )
    return RolloutNews(states, rollouts.reports())


def read_state(report: StateReport, now: Millis) -> RolloutState:
    """Return a state with the time of this router's clock."""
    return RolloutState(
        report.service,
        report.to,
        report.order_version,
        # Both clocks round down, so the earliest start would move back with each exchange.
        Millis(now - report.age_ms + 1),
        report.duration_ms,
        report.phase,
        report.step,
    )


def apply_news(core: "Core", news: RolloutNews, source: str, boot: str) -> None:
    """Use what another router says; one that restarted counts from 0 again."""
    for report in news.states:
        apply_state(core, read_state(report, core.clock.now()), source)
    for evidence in news.evidence:
        core.rollouts.apply_report(f"{source} {boot}", evidence)


def apply_state(core: "Core", state: RolloutState, source: str) -> None:
    """Use a state from the store or another router."""
    event = core.rollouts.apply(state)
    if event is not None:
        log_event(core, event, source)


def log_event(core: "Core", event: RolloutEvent, source: str) -> None:
    """Log a step of a roll-out with its evidence, and tell the other routers at once."""
    state, judgement = event.state, event.judgement
    core.metrics.increment("rollout_steps", state.phase.value)
    core.event_log.write(
        "rollout_step",
        subject=state.service,
        to=state.to,
        phase=state.phase.value,
        step=state.step,
        share=event.share,
        age_ms=core.clock.now() - state.ordered_at,
        source=source,
        evidence={
            **asdict(judgement),
            "verdict": judgement.verdict.value,
            "weight": round(judgement.weight, LOGGED_DECIMALS),
        },
    )
    core.state_changed.set()
