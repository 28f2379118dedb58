"""Gauges of roll-outs on the metrics page."""

from collections import Counter

from skylarklift.entry.metrics import Metrics
from skylarklift.entry.rollouts.rollouts import Rollouts
from skylarklift.entry.rollouts.state import PHASE_ORDER

PERCENT = 100


def update_rollout_gauges(metrics: Metrics, rollouts: Rollouts) -> None:
    """Set the gauges of the roll-outs in force; those of ended orders are dropped."""
    share: dict[str, float] = {}
    phase: dict[str, float] = {}
    answers: Counter[str] = Counter()
    bad: Counter[str] = Counter()
    slow: dict[str, float] = {}
    for state in rollouts.states():
        label = f"{state.service}:{state.to}"
        share[label] = round(PERCENT * rollouts.share(state.service), 1)
        phase[label] = PHASE_ORDER.index(state.phase)
        for (_, version, _), counts in rollouts.evidence(state.service).summed().routes.items():
            answers[f"{state.service}:{version}"] += counts.answers
            bad[f"{state.service}:{version}"] += counts.bad
        judgement = rollouts.judge(state.service)
        slow[label] = judgement.bad if judgement.kind == "slow" else 0
    metrics.replace_gauges("rollout_share_percent", share)
    metrics.replace_gauges("rollout_phase", phase)
    metrics.replace_gauges("rollout_answers", dict(answers))
    metrics.replace_gauges("rollout_bad_answers", dict(bad))
    metrics.replace_gauges("rollout_slow_answers", slow)
