"""How the descriptors of a process are divided among its connections."""

import resource
from dataclasses import dataclass

# The most that is divided, also where the system sets no limit.
MAX_DESCRIPTORS = 65536
# Standard streams, the event loop, listening sockets, the store, files that are read.
BASE_DESCRIPTORS = 20
MIN_SERVICE_CONNECTIONS = 2
MAX_SERVICE_CONNECTIONS = 32
# One of so many descriptors is for readiness checks and metrics, and one for other routers.
SERVICE_DIVISOR = 8
MIN_CALLER_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Limits on open connections.

    `callers` and `upstreams` are equal, so that each caller's request can be sent. `monitoring` is
    for readiness checks and metrics, `routers` for other routers that fetch rows.
    """

    callers: int
    upstreams: int
    monitoring: int
    routers: int


def descriptor_limit(configured: int | None = None) -> int:
    """Return how many descriptors this process may have open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [MAX_DESCRIPTORS]
    if allowed != resource.RLIM_INFINITY:
        limits.append(allowed)
    if configured:
        limits.append(configured)
    return min(limits)


def divide_descriptors(limit: int) -> DescriptorShares:
    """Return the shares of a process that may have `limit` descriptors open."""
    service = (limit - BASE_DESCRIPTORS) // SERVICE_DIVISOR
    service = min(max(service, MIN_SERVICE_CONNECTIONS), MAX_SERVICE_CONNECTIONS)
    rest = limit - BASE_DESCRIPTORS - 2 * service
    callers = max(rest // 2, MIN_CALLER_CONNECTIONS)
    return DescriptorShares(callers, callers, service, service)
