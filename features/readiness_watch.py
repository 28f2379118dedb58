"""Measure, in a process of its own, how long a router takes to answer readiness checks.

Usage: python -m features.readiness_watch HOST PORT

It checks until its input is closed, then prints the longest time in milliseconds.
"""

import http.client
import select
import sys
import time

INTERVAL_S = 0.02
TIMEOUT_S = 10
READY_PATH = "/-/readyz"
MS_PER_SECOND = 1000


def check(host: str, port: int) -> float:
    """Make one check, and return how long its answer took in milliseconds."""
    started = time.monotonic()
    conn = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    conn.request("GET", READY_PATH)
    conn.getresponse().read()
    conn.close()
    return (time.monotonic() - started) * MS_PER_SECOND


def main() -> None:
    """Check at intervals until the input is closed."""
    host, port = sys.argv[1], int(sys.argv[2])
    longest_ms = 0.0
    while not select.select([sys.stdin], [], [], INTERVAL_S)[0]:
        longest_ms = max(longest_ms, check(host, port))
    print(longest_ms)


if __name__ == "__main__":
    main()
