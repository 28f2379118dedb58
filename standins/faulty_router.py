"""An entry router in which serving a request to `FAULTY_PATH` fails with an unexpected error.

Usage: python -m standins.faulty_router
"""

import sys

from skylarklift.entry.requests.request_handler import RequestHandler
from skylarklift.platform import daemon

FAULTY_PATH = "/check/faulty"

run = RequestHandler.run


async def run_or_fail(self) -> None:
    """Fail for a request to `FAULTY_PATH`, else serve it."""
    if self.call.path == FAULTY_PATH:
        raise RuntimeError("a fault of the router")
    await run(self)


if __name__ == "__main__":
    RequestHandler.run = run_or_fail
    sys.exit(daemon.main())
