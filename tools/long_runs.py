"""Run many random runs and print each breach with its seed: ``make long SEED=1``."""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from features.random_run import RunResult, run_seed


def main() -> int:
    """Run the seeds; the exit code tells whether all promises held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1000, help="the first seed")
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--span", type=float, default=60, help="virtual seconds of each run")
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    began = time.monotonic()
    seeds = range(options.seed, options.seed + options.runs)
    with ProcessPoolExecutor(options.workers) as pool:
        results = list(pool.map(run_seed, seeds, [options.span] * options.runs))
    for result in results:
        for breach in result.breaches:
            print(f"seed {result.seed}: {breach}")
    print_totals(results, options.span, time.monotonic() - began)
    return 1 if any(result.breaches for result in results) else 0


def print_totals(results: list[RunResult], span_s: float, took_s: float) -> None:
    """Print what was run."""
    outcomes, faults, counts = Counter(), Counter(), Counter()
    for result in results:
        outcomes += result.outcomes
        faults += result.faults
        counts += result.counts
    broken = sum(bool(result.breaches) for result in results)
    print(f"{len(results)} runs of {span_s:.0f} virtual seconds in {took_s:.0f} s, {broken} broken")
    print(f"patches accepted {sum(result.accepted for result in results)}")
    print(f"marked calls run {sum(result.claims for result in results)}")
    print(f"faults {dict(faults)}")
    print(f"outcomes {dict(outcomes.most_common())}")
    print(f"checks {dict(counts)}")


if __name__ == "__main__":
    sys.exit(main())
