"""The load bound of a pool, and which replicas take part in it.

At admission no replica carries more than ``max(1, ceil(c * mean))``, with the
request counted in and the mean taken over the replicas in service.  A replica on
its ramp carries little and so draws the mean down: with too many of them in
service the bound would throttle the warm ones.  `service_set` therefore lets
replicas on the ramp into service only as far as the pool's capacity does not
suffer while there is demand for it.
"""

from collections.abc import Mapping, Sequence
from math import ceil, floor

from skylarklift.ids import ReplicaId

DEMAND_HEADROOM_FACTOR = 1.3
ROUNDING_TOLERANCE = 1e-9


def load_bound(load_factor: float, total: int, replicas: int) -> int:
    """Return the most that one replica may carry when the pool carries `total`."""
    if replicas <= 0:
        return 0
    return max(1, ceil(load_factor * total / replicas - ROUNDING_TOLERANCE))


def capacity(load_factor: float, limits: Sequence[int]) -> int:
    """Return the largest total that the limits and the bound allow together."""
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
    """Return the replicas to have in service for a demand of so many requests.

    The replicas with the highest limits come first; as many as possible are taken
    while the capacity covers the demand with some headroom, or is the largest.
    """
    ordered = sorted(limits, key=lambda name: (-limits[name], name))
    values = [limits[name] for name in ordered]
    capacities = [capacity(load_factor, values[:count]) for count in range(1, len(values) + 1)]
    if not capacities:
        return []
    required = min(max(capacities), floor(DEMAND_HEADROOM_FACTOR * demand) + len(values))
    count = max(index + 1 for index, total in enumerate(capacities) if total >= required)
    return ordered[:count]
