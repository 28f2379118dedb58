"""Which replicas of a service run the software version that a stream needs."""

from collections.abc import Mapping

from skylarklift.entry.placement.choice import NoUpstream, WantedVersion
from skylarklift.entry.placement.health import Health
from skylarklift.entry.state.cluster_state import ClusterState
from skylarklift.entry.state.rows import RowTable
from skylarklift.entry.state.upstream import Upstream
from skylarklift.ids import ReplicaId, ServiceId


class SoftwareVersions:
    """Select replicas by the version in their entries, and doubt entries from before a restart."""

    def __init__(self, cluster_state: ClusterState, health: Health):
        self._cluster_state = cluster_state
        self._health = health

    def select(
        self, service: ServiceId, members: Mapping[ReplicaId, Upstream], wanted: WantedVersion
    ) -> Mapping[ReplicaId, Upstream] | NoUpstream:
        """Return the members of a software version, or why there are none.

        One that may have come back with another version goes on with no stream.
        """
        if wanted.others:
            others = {
                name: item
                for name, item in members.items()
                if item.record.software != wanted.version
            }
            return others or NoUpstream.OTHER_VERSION
        if not wanted.begun and self._cluster_state.services.versions(service) == {wanted.version}:
            return members
        named = {
            name: item for name, item in members.items() if item.record.software == wanted.version
        }
        if not wanted.begun:
            return named or NoUpstream.OTHER_VERSION
        certain = {
            name: item for name, item in named.items() if not self.may_have_other_software(item)
        }
        if not certain and any(self.is_restart_suspected(item) for item in named.values()):
            return NoUpstream.MAYBE_RESTARTED
        return certain or NoUpstream.OTHER_VERSION

    def may_have_other_software(self, upstream: Upstream) -> bool:
        """Return whether an upstream may have restarted since its entry was written."""
        return (
            upstream.software_doubted
            or self.is_restart_suspected(upstream)
            or self._health.maybe_restarted(upstream.record.replica)
        )

    def is_restart_suspected(self, upstream: Upstream) -> bool:
        """Return whether a connection ended lately that may have ended with its process."""
        confirmed_at = self._cluster_state.confirmed_at(RowTable.UPSTREAMS)
        return upstream.may_have_restarted(confirmed_at)
