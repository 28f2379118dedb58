"""The components that all chats of a router share."""

from collections.abc import Callable
from dataclasses import dataclass

from skylarklift.clock import Clock
from skylarklift.generated import RetrySettings
from skylarklift.ids import Fingerprint, ReplicaId
from skylarklift.pools.placer import Placer
from skylarklift.requests.claims import ClaimWriter
from skylarklift.requests.gate import Gate
from skylarklift.telemetry import Telemetry
from skylarklift.upstreams.client import UpstreamClient
from skylarklift.upstreams.crashes import CrashTracker
from skylarklift.upstreams.reports import LoadReportClient
from skylarklift.upstreams.retries import RetryBudget

CrashBroadcast = Callable[[Fingerprint, ReplicaId], None]


@dataclass
class ChatDependencies:
    """The parts of a router that serve its chats."""

    clock: Clock
    gate: Gate
    placer: Placer
    upstreams: UpstreamClient
    load_reports: LoadReportClient
    claims: ClaimWriter
    budget: RetryBudget
    poison: CrashTracker
    retries: RetrySettings
    telemetry: Telemetry
    broadcast_crash: CrashBroadcast
