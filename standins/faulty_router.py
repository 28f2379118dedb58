"""An entry router in which some requests, and some settings, fail with an unexpected error.

These are requests to `FAULTY_PATH`, and settings that contain `FAULTY_SETTING`.

Usage: python -m standins.faulty_router
"""

import sys

from skylarklift.entry.requests.request_handler import RequestHandler
from skylarklift.platform import daemon, settings_file

FAULTY_PATH = "/check/faulty"
FAULTY_SETTING = "faulty="

run = RequestHandler.run
parse_node_settings = settings_file.parse_node_settings


async def run_or_fail(self) -> None:
    """Fail for a request to `FAULTY_PATH`, else serve it."""
    if self.call.path == FAULTY_PATH:
        raise RuntimeError("a fault of the router")
    await run(self)


def parse_or_fail(name, text):
    """Fail for settings that contain `FAULTY_SETTING`, else parse them."""
    if FAULTY_SETTING in text:
        raise RuntimeError("a fault of the router")
    return parse_node_settings(name, text)


if __name__ == "__main__":
    RequestHandler.run = run_or_fail
    settings_file.parse_node_settings = parse_or_fail
    sys.exit(daemon.main())
