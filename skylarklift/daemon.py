"""The daemon `skylarkliftd`: run one router until SIGTERM or SIGINT."""

import sys

from skylarklift.util.signals import receive_signals
from skylarklift.util.standard_streams import STDERR, open_closed_streams


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    signals = receive_signals(sys.argv[1:] if argv is None else argv, STDERR)
    open_closed_streams()
    # This import takes long, so it comes after.
    from skylarklift.program import run_program

    return run_program(argv, signals)


if __name__ == "__main__":
    sys.exit(main())
