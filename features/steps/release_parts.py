"""Steps for rows on software versions that are sent in parts."""

import errno

import trio
from behave import given, then, when

from features.entry_fixtures import new_core
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.peering import MAX_DATAGRAM_BYTES, Peering
from skylarklift.entry.model import Endpoint
from skylarklift.entry.state.rows import NO_ERA, RowTable
from skylarklift.entry.versions.release_rows import ReleaseReport
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight
from skylarklift.errors import PeerError

HOST = "127.0.0.1"
FIRST_PORT = 100
ROUND_MS = 250
MAX_ROUNDS = 200


class Datagrams:
    """A socket that delivers datagrams at once, and refuses too long ones as the system does."""

    def __init__(self, context, lost):
        self._context = context
        self._loses = lost != "nothing is lost"
        self._count = 0

    async def sendto(self, data, address):
        if len(data) > MAX_DATAGRAM_BYTES:
            raise OSError(errno.EMSGSIZE, "message too long")
        self._count += 1
        if self._loses and self._count % 3 == 0:
            return
        receiver = self._context.receivers[address[1] - FIRST_PORT]
        try:
            receiver._apply_datagram(data, Endpoint(HOST, 1), None)
        except PeerError as exc:
            raise AssertionError(exc) from exc


def make_row(number, steps, row_version=1):
    """Return the row of a service in a long release of its replicas."""
    changes = tuple(
        ReleaseStep(
            1000 * (steps - step), (VersionWeight("v1", step + 1), VersionWeight("v2", steps))
        )
        for step in range(steps)
    )
    return ReleaseReport(f"service-{number:03}", row_version, changes, written_in=NO_ERA)


@given("a router that knows {count:d} rows of {steps:d} steps, and {peers:d} others where {lost}")
def router_with_rows(context, count, steps, peers, lost):
    context.clock = ManualClock(100_000)
    context.core, context.count = new_core(context.clock, node="sender"), count
    for table in RowTable:
        context.core.reading_store[table] = True
    for number in range(count):
        context.core.releases.apply(make_row(number, steps))
    context.core.releases.confirm(0)
    context.core.chooser.in_flight["r0"] = 1
    context.sender = Peering(context.core, None)
    context.sender._socket = Datagrams(context, lost)
    context.cores = [new_core(context.clock, node=f"n{number}") for number in range(peers)]
    context.receivers = [Peering(core, None) for core in context.cores]
    for number, core in enumerate(context.cores):
        address = Endpoint(HOST, FIRST_PORT + number)
        context.core.fleet.add(core.settings.node, address)


def send_rounds(context, is_done):
    """Send rounds until all is done; return how many, and note who confirms too few rows."""
    context.too_early = []
    for number in range(1, MAX_ROUNDS + 1):
        context.clock.advance(ROUND_MS)
        context.core.releases.confirm(0)
        trio.run(context.sender.send_round)
        context.too_early += [
            core.settings.node
            for core in context.cores
            if core.releases.age_ms() is not None and len(core.releases.reports()) < context.count
        ]
        if is_done():
            return number
    return None


def all_current(context):
    """Return whether all others hold their rows for the newest ones."""
    return all(core.releases.are_current() for core in context.cores)


@given("it has sent a round each 250 ms until each of them holds its rows for the newest ones")
@when("it sends a round each 250 ms until each of them holds its rows for the newest ones")
def send_until_current(context):
    context.rounds = send_rounds(context, lambda: all_current(context))


@then("that takes at most {most:d} rounds")
def rounds_taken(context, most):
    assert context.rounds is not None and context.rounds <= most, context.rounds


@then("each of them has all rows and heard of all loads")
def have_all_rows(context):
    expected = sorted(report.service for report in context.core.releases.reports())
    for core in context.cores:
        assert sorted(report.service for report in core.releases.reports()) == expected
        assert core.fleet.peers["sender"].last_message.loads == {"r0": 1}


@then("none held its rows for the newest ones before it had all")
def none_too_early(context):
    assert not context.too_early, context.too_early


@when("the row of service {number:d} changes, and it sends 1 round")
def row_changes(context, number):
    context.changed = make_row(number, 24, row_version=2)
    assert context.core.releases.apply(context.changed)
    send_rounds(context, lambda: True)


@then("the others have the change")
def others_have_change(context):
    for core in context.cores:
        assert core.releases.row_version(context.changed.service) == 2
