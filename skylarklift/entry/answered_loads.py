"""Record and pass on what upstreams say of their load and speed."""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from skylarklift.entry.gossip.fleet import Peer
from skylarklift.entry.gossip.load_messages import LoadMessage, encode_load_message
from skylarklift.entry.gossip.speed_fields import add_wait_to_slow
from skylarklift.entry.gossip.waiting import add_wait_to_loads
from skylarklift.entry.model import ReplicaLoad
from skylarklift.entry.placement.choice import Choice

if TYPE_CHECKING:
    from skylarklift.entry.core import Core


def record_answered_load(core: "Core", choice: Choice, answered: ReplicaLoad) -> None:
    """Record the load and speed in an answer; tell the others at once if it is busy or slow."""
    chooser, replica = core.chooser, choice.upstream.record.replica
    if chooser.speeds.record(replica, answered.work_percent):
        core.metrics.increment("slow_upstreams")
        core.load_observed.set()
    if choice.busy_load <= 0:
        # A plain service has few replicas, and its calls are short.
        return
    load = answered.running + answered.waiting
    if chooser.observed_loads.record(replica, load, choice.busy_load):
        core.metrics.increment("busy_upstreams")
        core.load_observed.set()


def make_load_messages(core: "Core", peers: Iterable[Peer]) -> Iterator[tuple[Peer, bytes]]:
    """Yield the datagram for each of some routers, in the form that its release reads."""
    loads, slow = core.chooser.observed_loads.reports(), core.chooser.speeds.reports()
    for peer in peers:
        if peer.knows_slow_replicas():
            yield peer, encode_load_message(LoadMessage(loads, slow))
        elif loads:
            yield peer, encode_load_message(LoadMessage(loads))


def apply_load_message(core: "Core", message: LoadMessage, waited_ms: int = 0) -> None:
    """Apply a message that arrived `waited_ms` ago; pass on at once what is urgent."""
    for observed in add_wait_to_loads(message.loads, waited_ms):
        if core.chooser.observed_loads.apply_report(observed):
            core.load_observed.set()
    for slow in add_wait_to_slow(message.slow_replicas, waited_ms):
        if slow.replica in core.cluster_state.upstreams:
            core.chooser.speeds.apply_report(slow)
