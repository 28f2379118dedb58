"""What is asked of an admitter and what it answers."""

from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Millis
from skylarklift.ids import ChatKey, GrantId, ReplicaId, RouterId, WorkspaceId


class RefusalCode(Enum):
    """Why a request was not admitted."""

    NO_REPLICA = "no_replica"
    QUEUE_FULL = "queue_full"
    NO_CAPACITY = "no_capacity"
    WORKSPACE_LIMIT = "workspace_limit"
    HANDED_OVER = "handed_over"


@dataclass(frozen=True)
class GrantKey:
    """A grant's name: the router that asked, and its own number for it."""

    router: RouterId
    number: GrantId


@dataclass(frozen=True)
class AdmissionRequest:
    """A request to be placed; a lower priority number goes first."""

    key: GrantKey
    chat: ChatKey
    workspace: WorkspaceId
    priority: int = 1
    wait_ms: int = 1000
    avoid: frozenset[ReplicaId] = frozenset()
    share: float = 1.0
    in_flight_limit: int = 1_000_000


@dataclass(frozen=True)
class Grant:
    """A request may go to a replica."""

    key: GrantKey
    replica: ReplicaId
    workspace: WorkspaceId
    chat: ChatKey
    granted_at: Millis = Millis(0)


@dataclass(frozen=True)
class Refused:
    """A request may not run; it can be sent again after `retry_ms`."""

    key: GrantKey
    code: RefusalCode
    retry_ms: int


Decision = Grant | Refused
