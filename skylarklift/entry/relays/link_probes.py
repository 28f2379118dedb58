"""Find out when a link that was cut is back, and which open connections outlived the cut."""

import trio

from skylarklift.clock import MS_PER_SECOND
from skylarklift.entry.core import Core
from skylarklift.entry.model import UpstreamRecord
from skylarklift.errors import ConnectFailed
from skylarklift.ids import ZoneId

PROBE_INTERVAL_MS = 250
PROBE_TIMEOUT_MS = 150
# Upstreams of a zone that are probed at a time, as one of them may be down.
PROBED_UPSTREAMS = 2


class LinkProbes:
    """Probe the links that are cut."""

    def __init__(self, core: Core):
        self._core = core

    async def run(self) -> None:
        """Probe at intervals while a link is cut, until cancelled."""
        core = self._core
        while True:
            await core.dialer.link_cut.wait()
            core.state_changed.set()
            while zones := core.links.cut_zones():
                for zone in zones:
                    core.connection_pool.close_lost(core.links)
                    await self._probe_zone(zone)
                await trio.sleep(PROBE_INTERVAL_MS / MS_PER_SECOND)
            core.dialer.link_cut = trio.Event()

    async def _probe_zone(self, zone: ZoneId) -> None:
        """Probe the link to a zone once."""
        core = self._core
        records = [item.record for item in core.cluster_state.upstreams.values()]
        records = [record for record in records if record.zone == zone]
        if not records:
            reached = [True]
        else:
            chosen = core.rng.sample(records, min(PROBED_UPSTREAMS, len(records)))
            reached = [await self._is_reached(record) for record in chosen]
        if core.links.record_probe(zone, reached=any(reached)):
            core.event_log.write("link_restored", zone=zone)
            core.state_changed.set()

    async def _is_reached(self, record: UpstreamRecord) -> bool:
        """Return whether a direct connection to an upstream can be made."""
        try:
            stream = await self._core.dialer.dial_directly(record, PROBE_TIMEOUT_MS)
        except ConnectFailed:
            return False
        stream.socket.close()
        return True
