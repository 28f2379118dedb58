"""Standard streams that the starter of a daemon has closed."""

import os
import sys

STDIN = 0
STDOUT = 1
STDERR = 2


def open_closed_streams() -> None:
    """Open the null device in place of each standard stream that is closed.

    Else a socket gets its number, and lines of the log are written to that socket.
    """
    for descriptor in (STDIN, STDOUT, STDERR):
        if not _is_open(descriptor):
            # The lowest free number is the one of this stream.
            os.open(os.devnull, os.O_RDWR)
    sys.stdout = sys.stdout or open(STDOUT, "w", closefd=False)
    sys.stderr = sys.stderr or open(STDERR, "w", closefd=False)


def _is_open(descriptor: int) -> bool:
    """Return whether a descriptor is open."""
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
