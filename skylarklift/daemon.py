"""The daemon `skylarkliftd`: run one router until SIGTERM or SIGINT."""

import argparse
import gc
import signal
import sys
from functools import partial

import trio

from skylarklift import __version__
from skylarklift.generated import Settings
from skylarklift.router import Router
from skylarklift.settings import load_settings
from skylarklift.util.daemons import run_daemon


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


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    options = make_parser().parse_args(argv)
    path = options.settings
    return run_daemon(
        "skylarkliftd", path, partial(load_settings, path), run_router, check=options.check
    )


async def run_router(cfg: Settings) -> None:
    """Run a router until a graceful shutdown on SIGTERM or SIGINT has finished."""
    # Objects created at startup live as long as the process; excluding them from garbage
    # collection keeps collections short.
    gc.freeze()
    async with trio.open_nursery() as nursery:
        router = Router(cfg, nursery)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            nursery.start_soon(_stop_on_signal, signals, router)
            await router.run()
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals, router: Router) -> None:
    """Start the graceful shutdown on the first signal."""
    async for _ in signals:
        router.stop()


if __name__ == "__main__":
    sys.exit(main())
