"""Run a daemon of which one task fails soon after the start.

Usage: python -m standins.failing_daemon platform|own ARGUMENTS
"""

import sys
from unittest.mock import patch

import trio

import skylarklift.daemon
import skylarklift.platform.daemon
from skylarklift.entry.process import EntryRouter
from skylarklift.router import Router

FAILURE_DELAY_S = 0.5


async def fail(_router) -> None:
    """Raise an exception that nothing expects."""
    await trio.sleep(FAILURE_DELAY_S)
    raise LookupError("no such thing")


def main() -> int:
    """Run the daemon with the failing task; return its exit code."""
    name, *arguments = sys.argv[1:]
    if name == "platform":
        owner, attribute, run = EntryRouter, "_run_maintenance", skylarklift.platform.daemon.main
    else:
        owner, attribute, run = Router, "_run_gauges", skylarklift.daemon.main
    with patch.object(owner, attribute, fail):
        return run(arguments)


if __name__ == "__main__":
    sys.exit(main())
