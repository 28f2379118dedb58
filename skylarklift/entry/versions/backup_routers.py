"""Choose the routers that keep the origin of a stream: the first ones in an order known to all."""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nlargest

from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import RequestId

# This many routers keep the origin of a stream besides the one that began it.
BACKUP_ROUTERS = 3


@dataclass(frozen=True, slots=True)
class BackupRouters:
    """The backup routers of a stream, the first ones `among` some routers."""

    nodes: tuple[str, ...]
    among: frozenset[str]


def first_nodes(request: RequestId, nodes: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first routers in the order of a stream."""
    return tuple(nlargest(count, nodes, key=lambda node: rendezvous_weight(request, node)))


def choose_backups(
    request: RequestId, among: frozenset[str], earlier: BackupRouters | None = None
) -> BackupRouters:
    """Return the backup routers of a stream; `earlier` is an earlier choice for it."""
    if earlier is None or not among.issuperset(earlier.nodes):
        return BackupRouters(first_nodes(request, among, BACKUP_ROUTERS), among)
    if among is earlier.among:
        return earlier
    # Those that came behind the earlier ones still do.
    candidates = (*earlier.nodes, *(among - earlier.among))
    return BackupRouters(first_nodes(request, candidates, BACKUP_ROUTERS), among)
