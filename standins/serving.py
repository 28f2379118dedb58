"""Run a stand-in's HTTP app in this process until a signal stops it."""

import argparse
import signal
from collections.abc import Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from skylarklift.util.response_ends import ResponseEnds


def hypercorn_config(port: int) -> Config:
    """Return the settings of a server on the loopback interface."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.2
    return config


async def run_app(app: QuartTrio, port: int) -> None:
    """Serve the app until SIGTERM or SIGINT arrives."""
    stop = trio.Event()

    async def watch_signals() -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_signals)
        served = ResponseEnds(app)
        await serve(served, hypercorn_config(port), shutdown_trigger=stop.wait, mode="asgi")
        nursery.cancel_scope.cancel()


def main(description: str, make_app: Callable[[argparse.Namespace], QuartTrio], add_options=None):
    """Parse the command line and serve a stand-in's app."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    if add_options:
        add_options(parser)
    options = parser.parse_args()
    trio.run(run_app, make_app(options), options.port)
