"""The replicas and software versions of each service, kept until the list of upstreams changes."""

from collections.abc import Mapping

from skylarklift.entry.state.upstream import Upstream
from skylarklift.ids import ReplicaId, ServiceId, SoftwareVersion


class ServiceIndex:
    """What is derived from the list of upstreams for each service."""

    def __init__(self, upstreams: Mapping[ReplicaId, Upstream]):
        self._upstreams = upstreams
        self._members: dict[ServiceId, dict[ReplicaId, Upstream]] = {}
        self._replicas: dict[ServiceId, frozenset[ReplicaId]] = {}
        self._versions: dict[ServiceId, frozenset[SoftwareVersion | None]] = {}

    def clear(self) -> None:
        """Drop what was derived, since an upstream has changed."""
        self._members.clear()
        self._replicas.clear()
        self._versions.clear()

    def members(self, service: ServiceId) -> Mapping[ReplicaId, Upstream]:
        """Return the replicas of a service that take new requests."""
        members = self._members.get(service)
        if members is None:
            members = {
                replica: upstream
                for replica, upstream in self._upstreams.items()
                if upstream.record.service == service
                and not (upstream.draining or upstream.leaving)
            }
            self._members[service] = members
        return members

    def replicas(self, service: ServiceId) -> frozenset[ReplicaId]:
        """Return all replicas of a service, also those that may get no request."""
        replicas = self._replicas.get(service)
        if replicas is None:
            replicas = frozenset(
                replica
                for replica, upstream in self._upstreams.items()
                if upstream.record.service == service
            )
            self._replicas[service] = replicas
        return replicas

    def versions(self, service: ServiceId) -> frozenset[SoftwareVersion | None]:
        """Return the software versions of a service's replicas, `None` for those that name none."""
        versions = self._versions.get(service)
        if versions is None:
            versions = frozenset(
                self._upstreams[replica].record.software for replica in self.replicas(service)
            )
            self._versions[service] = versions
        return versions
