"""The upstreams among which a request has a choice, with their loads."""

from collections.abc import Callable, Collection, Iterator, Mapping

from skylarklift.entry.model import Route, Workspace
from skylarklift.entry.state.upstream import Upstream
from skylarklift.ids import ReplicaId


class Candidates:
    """The members of a service without those that may not take the request now.

    Loads count requests in flight: `own_loads` of this router, `peer_loads` of the others.
    `observed_loads` holds what busy members answered of themselves, and `slowdown` tells how much
    longer than usual work takes at a member.
    Members are not copied, and loads are looked up where they are needed: a service may have
    hundreds of members, and a choice weighs only a few of them.
    """

    def __init__(
        self,
        members: Mapping[ReplicaId, Upstream],
        excluded: Collection[ReplicaId],
        own_loads: Mapping[ReplicaId, int],
        peer_loads: Mapping[ReplicaId, int],
        observed_loads: Mapping[ReplicaId, int],
        slowdown: Callable[[ReplicaId], float],
    ):
        self._members = members
        self._excluded = {name for name in excluded if name in members}
        self._own_loads = own_loads
        self._peer_loads = peer_loads
        self._observed_loads = observed_loads
        self._slowdown = slowdown

    def __len__(self) -> int:
        """Return how many candidates there are."""
        return len(self._members) - len(self._excluded)

    def __contains__(self, name: ReplicaId) -> bool:
        """Return whether an upstream is a candidate."""
        return name in self._members and name not in self._excluded

    def __iter__(self) -> Iterator[ReplicaId]:
        """Return an iterator over the names of the candidates."""
        if not self._excluded:
            return iter(self._members)
        return (name for name in self._members if name not in self._excluded)

    def __getitem__(self, name: ReplicaId) -> Upstream:
        """Return the candidate of a name."""
        return self._members[name]

    def load(self, name: ReplicaId) -> int:
        """Return the known number of requests in flight at an upstream from all routers."""
        counted = self._own_loads.get(name, 0) + self._peer_loads.get(name, 0)
        return max(counted, self._observed_loads.get(name, 0))

    def weighted_load(self, name: ReplicaId) -> float:
        """Return the load times the slowdown: at a slow replica requests stay longer."""
        return self.load(name) * self._slowdown(name)


def allowed_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions whose upstreams a request may reach, `None` for all."""
    limits = [route.allowed_regions, workspace.allowed_regions if workspace else ()]
    bound = [frozenset(regions) for regions in limits if regions]
    return frozenset.intersection(*bound) if bound else None
