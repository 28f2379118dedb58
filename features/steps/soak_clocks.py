"""Steps for the clocks of routers that the soak sets."""

import json
import socket
import tempfile
from pathlib import Path

from behave import then, when

from standins.stepped_router import NS_PER_S, SO_TIMESTAMPNS, TIMESPEC, SteppedClock

STEP_AT_NS = 1_000 * NS_PER_S
READ_AT_NS = STEP_AT_NS + NS_PER_S
# How long before or after the step the datagram arrives.
GAP_NS = NS_PER_S // 10


@when("a datagram arrives {moment} a router's clock is set by {step:d} s, and is read later")
def datagram_arrives(context, moment, step):
    arrived_ns = STEP_AT_NS + {"before": -GAP_NS, "after": GAP_NS}[moment]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "n1.clock"
        path.write_text(json.dumps([[STEP_AT_NS, step * NS_PER_S]]))
        clock = SteppedClock(path)
        stamp = TIMESPEC.pack(*divmod(arrived_ns, NS_PER_S))
        ((_, _, shifted),) = clock.shift_stamps([(socket.SOL_SOCKET, SO_TIMESTAMPNS, stamp)])
        read_ns = clock.shift(READ_AT_NS)
    seconds, nanoseconds = TIMESPEC.unpack(shifted)
    age_ns = read_ns - (seconds * NS_PER_S + nanoseconds)
    context.error_s = (age_ns - (READ_AT_NS - arrived_ns)) // NS_PER_S


@then("by that clock it is {error:d} s older than it is")
def datagram_age(context, error):
    assert context.error_s == error, context.error_s
