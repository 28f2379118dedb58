"""Record, log and pass on what upstreams say of the rejections that they can bear."""

from typing import TYPE_CHECKING

from skylarklift.clock import Millis
from skylarklift.entry.model import ResponseHead, UpstreamRecord
from skylarklift.entry.placement.concurrency_limits import Backpressure
from skylarklift.ids import ReplicaId, ServiceId

if TYPE_CHECKING:
    from skylarklift.entry.core import Core


def record_backpressure(
    core: "Core", record: UpstreamRecord, head: ResponseHead, sent_at: Millis
) -> None:
    """Record what the head of an answer says of rejections, and send what is new to the others."""
    limits, service = core.chooser.concurrency_limits, record.service
    if head.rejection_limit is None:
        if limits.record_unnamed(service, sent_at):
            core.event_log.write(
                "rejection_limit_lifted", subject=service, source=core.settings.node
            )
    elif limits.record_named(service, head.rejection_limit):
        _announce_limit(core, service, head.rejection_limit, core.settings.node)
    if not limits.is_limited(service):
        return
    if head.load is not None:
        limits.record_load(record.replica, head.load)
    if head.not_run:
        core.metrics.increment("rejections", record.replica)
        if limits.record_rejection(record.replica):
            _announce_rejection(core, record.replica, core.settings.node)


def apply_backpressure(core: "Core", reports: Backpressure, source: str) -> None:
    """Apply what another router reports, and pass on at once what is new."""
    limits, state = core.chooser.concurrency_limits, core.cluster_state
    for report in reports.limits:
        if state.members_of(report.service) and limits.apply_limit(report):
            _announce_limit(core, report.service, report.per_second, source)
    for rejection in reports.rejections:
        if rejection.replica in state.upstreams and limits.apply_rejection(rejection):
            _announce_rejection(core, rejection.replica, source)


def expire_backpressure(core: "Core") -> None:
    """Drop what no answer has confirmed for long."""
    for service in core.chooser.concurrency_limits.expire():
        core.event_log.write("rejection_limit_expired", subject=service)


def _announce_limit(core: "Core", service: ServiceId, per_second: int, source: str) -> None:
    """Log that the upstreams of a service can reject few requests, and tell the others at once."""
    core.event_log.write(
        "rejection_limit_named", subject=service, per_second=per_second, source=source
    )
    core.state_changed.set()


def _announce_rejection(core: "Core", replica: ReplicaId, source: str) -> None:
    """Log that an upstream had no room, and tell the other routers at once."""
    core.event_log.write("upstream_rejected", subject=replica, source=source)
    core.state_changed.set()
