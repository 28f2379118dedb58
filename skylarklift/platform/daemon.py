"""Run one entry router on the platform, from the settings file that the platform lays."""

import argparse
import gc
import os
import signal
import sys
from collections.abc import Callable
from functools import partial

import trio

from skylarklift.clock import LoopClock
from skylarklift.entry.core import make_core
from skylarklift.entry.journal import Journal
from skylarklift.entry.model import NodeSettings
from skylarklift.entry.process import EntryRouter
from skylarklift.platform.calls import PlatformCalls
from skylarklift.platform.nodefile import DEFAULT_PATH, PATH_VARIABLE, read_node_settings
from skylarklift.platform.rows import PlatformRows
from skylarklift.platform.store import PlatformStore
from skylarklift.util.daemons import run_daemon

# New objects between two searches for cycles.
GARBAGE_OBJECTS = 5000


def make_parser() -> argparse.ArgumentParser:
    """Return the command line."""
    parser = argparse.ArgumentParser(
        prog="skylarklift.platform.daemon",
        description="Run one entry router on the platform.",
        epilog="example: python3 -m skylarklift.platform.daemon --settings settings.conf --check",
    )
    path = os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    parser.add_argument("--settings", default=path, help="settings file (default: %(default)s)")
    parser.add_argument("--check", action="store_true", help="check the settings and end")
    parser.add_argument(
        "--metrics-port", type=int, default=0, help="port of the metrics; 0 for any that is free"
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the router; return its exit code."""
    options = make_parser().parse_args(argv)
    path = options.settings
    load = partial(read_node_settings, path)
    run = partial(run_router, load=load, metrics_port=options.metrics_port)
    return run_daemon("skylarklift", path, load, run, check=options.check)


async def run_router(
    settings: NodeSettings, load: Callable[[], NodeSettings], metrics_port: int
) -> None:
    """Run one router until it is told to stop."""
    # What stands at the start stays for ever, and requests leave few cycles behind.
    gc.freeze()
    gc.set_threshold(GARBAGE_OBJECTS)
    clock = LoopClock()
    rows = PlatformRows()
    journal = Journal(clock, settings.node)
    core = make_core(settings, clock, PlatformCalls(), rows, journal)
    store = PlatformStore(settings.store, rows)
    router = EntryRouter(core, store, store, load, metrics_port)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        await router.run(signals)


if __name__ == "__main__":
    sys.exit(main())
