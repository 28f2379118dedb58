"""Run an entry router with a mutation of `standins.mutations`.

Usage: python -m standins.mutated_router NAME
"""

import sys

from skylarklift.util.signals import receive_signals
from skylarklift.util.standard_streams import STDOUT


def main(name: str) -> int:
    """Run the mutated router; return its exit code."""
    signals = receive_signals([], STDOUT)
    # These imports take long, so they come after, as in the daemon.
    from skylarklift.platform.program import run_program
    from standins.mutations import mutated

    with mutated(name):
        return run_program([], signals)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
