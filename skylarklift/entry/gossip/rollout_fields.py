"""Encode and decode what gossip says of roll-outs."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from skylarklift.entry.rollouts.evidence import (
    LAST_BUCKET,
    MAX_BAD_REPLICAS,
    MAX_COUNTS,
    EvidenceReport,
    RouteCounts,
)
from skylarklift.entry.rollouts.news import RolloutNews, StateReport
from skylarklift.entry.rollouts.state import PHASE_ORDER, RolloutPhase
from skylarklift.ids import ReplicaId, ServiceId, SoftwareVersion
from skylarklift.util.bounded import checked_age, checked_integer, checked_list, checked_text

ROLLOUT_STATES_KEY = "rollout_states"
ROLLOUT_EVIDENCE_KEY = "rollout_evidence"
MAX_SERVICES = 64


def rollout_fields(news: RolloutNews) -> dict[str, list]:
    """Return the fields for a message, none without a roll-out."""
    fields = {}
    if news.states:
        fields[ROLLOUT_STATES_KEY] = [_state_fields(state) for state in news.states]
    if news.evidence:
        fields[ROLLOUT_EVIDENCE_KEY] = [_evidence_fields(report) for report in news.evidence]
    return fields


def decode_rollouts(extras: Mapping) -> RolloutNews:
    """Return what a message says, nothing from an earlier release; raise `ValueError`."""
    states = checked_list(extras.get(ROLLOUT_STATES_KEY, ()))
    evidence = checked_list(extras.get(ROLLOUT_EVIDENCE_KEY, ()))
    return RolloutNews(
        tuple(_decode_state(*fields) for fields in states[:MAX_SERVICES]),
        tuple(_decode_evidence(*fields) for fields in evidence[:MAX_SERVICES]),
    )


def _state_fields(state: StateReport) -> tuple:
    """Return the fields of a state."""
    return (
        state.service,
        state.to,
        state.order_version,
        state.age_ms,
        state.duration_ms,
        PHASE_ORDER.index(state.phase),
        state.step,
    )


def _decode_state(service: Any, to: Any, *numbers: Any) -> StateReport:
    """Return a state; raise `ValueError`."""
    # A later release may add fields.
    order_version, age_ms, duration_ms, phase, step, *_ = numbers
    return StateReport(
        ServiceId(checked_text(service)),
        SoftwareVersion(checked_text(to)),
        checked_integer(order_version),
        checked_age(age_ms),
        checked_integer(duration_ms, 1),
        _decode_phase(phase),
        checked_integer(step),
    )


def _decode_phase(number: Any) -> RolloutPhase:
    """Return a phase; raise `ValueError`."""
    return PHASE_ORDER[checked_integer(number, most=len(PHASE_ORDER) - 1)]


def _evidence_fields(report: EvidenceReport) -> tuple:
    """Return the fields of what a router counted."""
    routes = [
        (step, version, route, counts.answers, counts.bad, sorted(counts.times.items()))
        for (step, version, route), counts in report.routes.items()
    ]
    return report.service, report.order_version, routes, report.trimmed_replicas()


def _decode_evidence(
    service: Any, order_version: Any, routes: Sequence, replicas: Sequence
) -> EvidenceReport:
    """Return what another router counted; raise `ValueError`."""
    report = EvidenceReport(ServiceId(checked_text(service)), checked_integer(order_version))
    for step, version, route, *numbers in checked_list(routes)[:MAX_COUNTS]:
        key = checked_integer(step), SoftwareVersion(checked_text(version)), checked_text(route)
        report.routes[key] = _decode_counts(*numbers)
    for replica, count in checked_list(replicas)[:MAX_BAD_REPLICAS]:
        report.bad_replicas[ReplicaId(checked_text(replica))] = checked_integer(count)
    return report


def _decode_counts(answers: Any, bad: Any, times: Any) -> RouteCounts:
    """Return the counts of a version on a route; raise `ValueError`."""
    pairs = checked_list(times)[: LAST_BUCKET + 1]
    buckets = {
        checked_integer(bucket, most=LAST_BUCKET): checked_integer(count) for bucket, count in pairs
    }
    total = checked_integer(answers)
    return RouteCounts(total, checked_integer(bad, most=total), Counter(buckets))
