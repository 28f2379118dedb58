"""Place a chat: find its pool, and get a grant that may be used now."""

from collections.abc import Collection
from dataclasses import replace

from skylarklift.config.routing import RoutingTable
from skylarklift.errors import BadRequest, Refusal
from skylarklift.generated import ReleaseCause
from skylarklift.ids import PoolId, ReplicaId
from skylarklift.pools.placer import Placement, PlacementRequest
from skylarklift.requests.chat_dependencies import ChatDependencies
from skylarklift.requests.parsing import ChatRequest

CHAT_PATH = "/v1/chat/completions"


class ChatPlacer:
    """Get grants for one chat."""

    def __init__(self, deps: ChatDependencies, request: ChatRequest, trace: str):
        self._deps = deps
        self._request = request
        self._trace = trace

    async def place(self, failed_replicas: Collection[ReplicaId]) -> tuple[Placement, str]:
        """Return a grant that may be used now, and the URL to send the chat to."""
        deps, caller = self._deps, self._request.caller
        while True:
            table = await deps.gate.require_fresh_within(caller.left_ms(deps.clock))
            request = self._placement_request(table, failed_replicas)
            with deps.telemetry.span("place", request.trace) as trace:
                placement = await deps.placer.place(replace(request, trace=trace))
            replica = deps.gate.check_placement(placement)
            if replica is not None:
                return placement, replica.url + CHAT_PATH
            deps.placer.release(placement, ReleaseCause.CANCELLED)

    def _placement_request(
        self, table: RoutingTable, failed_replicas: Collection[ReplicaId]
    ) -> PlacementRequest:
        """Return the placement request under the configuration in force now."""
        deps, caller = self._deps, self._request.caller
        pool = resolve_pool(deps.gate.table(), self._request)
        if deps.poison.is_poisoned(caller.fingerprint):
            raise Refusal(
                "poisoned", "the request crashed replicas", status=422, retry_after_ms=None
            )
        return PlacementRequest(
            pool=pool,
            workspace=caller.workspace,
            chat=self._request.chat,
            priority=caller.priority,
            wait_ms=caller.left_ms(deps.clock),
            version=table.version,
            fingerprint=caller.fingerprint,
            avoid=frozenset(failed_replicas),
            trace=self._trace,
        )


def resolve_pool(table: RoutingTable, request: ChatRequest) -> PoolId:
    """Return a chat's pool; raise `BadRequest` for an unknown workspace or model."""
    workspace = table.workspace(request.caller.workspace)
    if workspace is None:
        text = f"no workspace {request.caller.workspace!r}"
        raise BadRequest("workspace_unknown", text, status=404)
    pool = table.pool_for(workspace, request.model)
    if pool is None:
        text = f"no model {request.model!r} for this workspace"
        raise BadRequest("model_unknown", text, status=404)
    return pool
