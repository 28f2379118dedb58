"""Run the benchmarks: ``python -m bench [--name NAME] [--seed N]``."""

import argparse
import importlib
import sys
import time
from pathlib import Path

MEASURES = (
    "reuse",
    "choice",
    "load_bound",
    "stream_origins",
    "path",
    "patches",
    "slopes",
    "zone",
    "surge",
    "control",
)
RESULTS = Path("bench/results")


def main() -> int:
    """Run the chosen benchmarks; return 0 if every target was met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", choices=MEASURES, help="run only this benchmark")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    met = True
    for name in [options.name] if options.name else MEASURES:
        began = time.monotonic()
        report = importlib.import_module(f"bench.{name}").run(options.seed)
        report.print()
        print(f"  took {time.monotonic() - began:.0f} s")
        report.write(RESULTS)
        met = met and report.all_met()
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
