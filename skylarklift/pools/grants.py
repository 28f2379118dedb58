"""Requests for admission, and the decisions on them: a grant or a refusal."""

from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Millis
from skylarklift.ids import ChatKey, GrantId, ReplicaId, RouterId, WorkspaceId

# A router must use a grant within this time, counted from before it sent the `Ask` and
# not counting the time in the queue.  A new admitter that could not collect all grants
# waits as long before it admits; by then, the grants it does not know of have expired.
GRANT_TTL_MS = 1500


class RefusalCode(Enum):
    """Why a request was not admitted."""

    NO_REPLICA = "no_replica"
    QUEUE_FULL = "queue_full"
    NO_CAPACITY = "no_capacity"
    WORKSPACE_LIMIT = "workspace_limit"
    HANDED_OVER = "handed_over"


@dataclass(frozen=True)
class GrantKey:
    """The key of a grant: the router that asked, and that router's number for the grant."""

    router: RouterId
    number: GrantId


@dataclass(frozen=True)
class AdmissionRequest:
    """A request for admission to a pool.

    A lower `priority` number is granted first; `share` and `in_flight_limit` are those
    of the workspace.
    """

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
    """The permission to send one request to a replica."""

    key: GrantKey
    replica: ReplicaId
    workspace: WorkspaceId
    chat: ChatKey
    granted_at: Millis = Millis(0)


@dataclass(frozen=True)
class Refused:
    """The refusal of a request; the caller may retry after `retry_ms`."""

    key: GrantKey
    code: RefusalCode
    retry_ms: int


Decision = Grant | Refused
