"""Run one entry router on the platform, from the settings file that the platform provides."""

import argparse
import gc
import os
from collections.abc import AsyncIterator, Callable
from functools import partial

from skylarklift.clock import LoopClock
from skylarklift.entry.core import make_core
from skylarklift.entry.event_log import EventLog
from skylarklift.entry.model import NodeSettings
from skylarklift.entry.process import EntryRouter
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.settings_file import DEFAULT_PATH, PATH_VARIABLE, read_node_settings
from skylarklift.platform.status import PlatformStatusFormat
from skylarklift.platform.store import PlatformStore
from skylarklift.util.daemons import Daemon, run_daemon
from skylarklift.util.signals import ProcessSignals

# Net allocations between two runs of the cyclic garbage collector.
GC_THRESHOLD_OBJECTS = 5000


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
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


def run_program(argv: list[str] | None, signals: ProcessSignals) -> int:
    """Run the router; return its exit code."""
    options = make_parser().parse_args(argv)
    path = options.settings
    load = partial(read_node_settings, path)
    run = partial(run_router, load=load, metrics_port=options.metrics_port)
    daemon = Daemon("skylarklift", path, load, lambda settings: settings.node, run)
    return run_daemon(daemon, signals, check=options.check)


async def run_router(
    settings: NodeSettings,
    signals: AsyncIterator[int],
    load: Callable[[], NodeSettings],
    metrics_port: int,
) -> None:
    """Run one router until SIGTERM or SIGINT."""
    # Objects that exist at the start are never freed, and requests create few reference cycles,
    # so frequent collections would only cost time.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    clock = LoopClock()
    rows = PlatformRowFormat()
    event_log = EventLog(clock, settings.node)
    core = make_core(
        settings, clock, PlatformHeaderCodec(), rows, PlatformStatusFormat(), event_log
    )
    store = PlatformStore(settings.store, rows)
    router = EntryRouter(core, store, store, store, load, metrics_port, rollouts=store)
    await router.run(signals)
