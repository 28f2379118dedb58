"""Steps for the ages of datagrams whose arrivals are recorded by a time of day that is set."""

import struct
from socket import SOL_SOCKET

import trio
from behave import given, then, when

from skylarklift.clock import MS_PER_SECOND
from skylarklift.util.datagrams import SO_TIMESTAMPNS, DatagramReceiver, Moment

NS_PER_MS = 1_000_000
FIRST_MS = 1_000_000
FIRST_TIME_OF_DAY_MS = 1_700_000_000_000
LIMIT = 100


class RecordedSocket:
    """A socket that receives one datagram, recorded by the time of day, once time has passed."""

    def __init__(self):
        self.now_ms, self.time_of_day_ms = FIRST_MS, FIRST_TIME_OF_DAY_MS
        self.plan = None
        self.arrived = False

    def clocks(self):
        """Return the current moment."""
        return Moment(self.now_ms / MS_PER_SECOND, self.time_of_day_ms / MS_PER_SECOND)

    def advance(self, span_ms, set_by_ms=0):
        """Let time pass, and then set the time of day."""
        self.now_ms += span_ms
        self.time_of_day_ms += span_ms + set_by_ms

    def setsockopt(self, *_arguments):
        """Accept any option."""

    def is_readable(self):
        """Return whether a datagram has arrived."""
        return self.arrived

    async def recvmsg(self, _limit, _control_bytes):
        """Return the datagram after all that the plan says has happened."""
        idle, set_before, waited, set_after = self.plan
        self.advance(idle, set_before)
        recorded = struct.pack("@ll", *divmod(self.time_of_day_ms * NS_PER_MS, 1_000_000_000))
        self.advance(waited, set_after)
        return b"", [(SOL_SOCKET, SO_TIMESTAMPNS, recorded)], 0, ("127.0.0.1", 1)


@given("a socket that was found empty, and gets a datagram {idle:d} ms later")
def empty_socket(context, idle):
    context.idle = idle


@when(
    "the time of day is set by {before:d} ms before its arrival, and by {after:d} ms after it, "
    "and it is read {waited:d} ms after it"
)
def set_and_read(context, before, after, waited):
    sock = RecordedSocket()
    receiver = DatagramReceiver(sock, sock.clocks)
    sock.plan = (context.idle, before, waited, after)
    context.waited_ms = trio.run(receiver.receive, LIMIT).waited_ms


@then("it counts as {age:d} ms old")
def counts_as_old(context, age):
    # Clocks are decimal numbers of seconds.
    assert age - 1 <= context.waited_ms <= age, context.waited_ms
