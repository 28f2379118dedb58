"""Run a router with a fault planted in one of its promises, to show that tests find it.

Usage: python -m standins.planted NAME
"""

import sys

from skylarklift.entry import forwarding
from skylarklift.entry.attempts import Attempts
from skylarklift.entry.events import StreamEvent
from skylarklift.entry.link import Link
from skylarklift.entry.model import RoutePlan
from skylarklift.entry.process import EntryRouter
from skylarklift.platform import daemon
from skylarklift.platform.calls import PlatformCalls


def repeat_everything() -> None:
    """Send again what must not run twice."""
    Attempts.repeatable = property(lambda self: True)


def promise_not_run() -> None:
    """Say of a request that may have run that it has not."""
    Attempts.surely_not_run = property(lambda self: True)


def take_any_answer() -> None:
    """Take what comes on a connection for the answer, whosever it is."""
    decode = PlatformCalls.decode_answer

    def without_id(self, status, headers):
        head = decode(self, status, headers)
        head.request = None
        return head

    PlatformCalls.decode_answer = without_id
    Link.quiet = lambda self: True


def keep_old_keys() -> None:
    """Let every key in that there ever was."""
    RoutePlan.workspace = lambda self, key: next(iter(self.workspaces.values()))


def stop_at_once() -> None:
    """End at the signal, whatever still runs."""

    async def stop(self):
        return None

    EntryRouter._stop = stop


def resume_blindly() -> None:
    """Go on with a stream elsewhere without regard to the events sent so far."""
    forwarding.EventSplitter = BlindSplitter


class BlindSplitter(forwarding.EventSplitter):
    """Split events and lose their ids."""

    def feed(self, data):
        """Return events without ids."""
        return [StreamEvent(None, event.raw) for event in super().feed(data)]


PLANTED = {
    function.__name__: function
    for function in (
        repeat_everything,
        promise_not_run,
        take_any_answer,
        keep_old_keys,
        stop_at_once,
        resume_blindly,
    )
}


if __name__ == "__main__":
    PLANTED[sys.argv[1]]()
    sys.exit(daemon.main([]))
