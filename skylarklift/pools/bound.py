"""The load bound of a pool, and the replicas that it is computed over.

An admission may not raise the load of a replica above ``max(1, ceil(c * mean))``
requests, where ``c`` is the pool's load factor and the mean, which includes the new
request, is taken over the replicas in service.  A replica on its ramp has few requests and
lowers the mean, so with too many of them in service the bound would throttle the
warm replicas.  `select_in_service` therefore takes replicas on the ramp into
service only as long as that does not push the pool's capacity below the demand.
"""

from collections.abc import Mapping, Sequence
from math import ceil, floor

from skylarklift.ids import ReplicaId

DEMAND_HEADROOM_FACTOR = 1.3
# Keeps a floating-point error above a whole number from raising the bound by one.
ROUNDING_TOLERANCE = 1e-9


def load_bound(load_factor: float, total: int, replicas: int) -> int:
    """Return how many requests one replica may have when the pool has `total` requests."""
    if replicas <= 0:
        return 0
    return max(1, ceil(load_factor * total / replicas - ROUNDING_TOLERANCE))


def capacity(load_factor: float, limits: Sequence[int]) -> int:
    """Return how many requests the whole pool can have within the limits and the load bound."""
    total = sum(limits)
    while True:
        bound = load_bound(load_factor, total, len(limits))
        admissible = sum(min(limit, bound) for limit in limits)
        if admissible >= total:
            return total
        total = admissible


def select_in_service(
    load_factor: float, limits: Mapping[ReplicaId, int], demand: int
) -> list[ReplicaId]:
    """Return the replicas to have in service for a demand of `demand` requests.

    Replicas are taken in descending order of their limits.  The result is the largest
    set taken in this way whose capacity covers the demand with headroom; if no set
    does, it is the largest set with the highest capacity.
    """
    ordered = sorted(limits, key=lambda name: (-limits[name], name))
    values = [limits[name] for name in ordered]
    capacities = [capacity(load_factor, values[:count]) for count in range(1, len(values) + 1)]
    if not capacities:
        return []
    required = min(max(capacities), floor(DEMAND_HEADROOM_FACTOR * demand) + len(values))
    count = max(index + 1 for index, total in enumerate(capacities) if total >= required)
    return ordered[:count]
