"""The program of `skylarkliftd`: its command line, and the run of one router."""

import argparse
import gc
import signal
from collections.abc import AsyncIterator
from functools import partial

import trio

from skylarklift import __version__
from skylarklift.generated import Settings
from skylarklift.logger import log
from skylarklift.router import Router
from skylarklift.settings import load_settings
from skylarklift.util.daemons import Daemon, run_daemon
from skylarklift.util.signals import ProcessSignals


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="skylarkliftd",
        description="Run one router of the fleet.",
        epilog="example: skylarkliftd --settings /etc/skylarklift/router.json",
    )
    parser.add_argument("--settings", required=True, help="settings file, JSON with comments")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def run_program(argv: list[str] | None, signals: ProcessSignals) -> int:
    """Run the daemon; return its exit code."""
    options = make_parser().parse_args(argv)
    path = options.settings
    load = partial(load_settings, path)
    daemon = Daemon("skylarkliftd", path, load, lambda cfg: cfg.router, run_router)
    return run_daemon(daemon, signals, check=options.check)


async def run_router(cfg: Settings, signals: AsyncIterator[int]) -> None:
    """Run a router until a graceful shutdown on SIGTERM or SIGINT has finished."""
    # Objects created at startup live as long as the process; excluding them from garbage
    # collection keeps collections short.
    gc.freeze()
    async with trio.open_nursery() as nursery:
        router = Router(cfg, nursery)
        nursery.start_soon(_handle_signals, signals, router)
        await router.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(signals: AsyncIterator[int], router: Router) -> None:
    """Start the graceful shutdown on the first stop signal; the settings are read only once."""
    stopping = False
    async for number in signals:
        if stopping or number == signal.SIGHUP:
            log.info("signal_ignored", signal=signal.Signals(number).name)
            continue
        stopping = True
        router.stop()
