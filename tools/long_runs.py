"""Run many random runs and print each violated invariant with its seed: ``make long SEED=1``."""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from features import entry_run, random_run
from features.random_run import RunResult


def main() -> int:
    """Run all seeds; return 1 if an invariant was violated in any run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1000, help="the first seed")
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--span", type=float, default=60, help="virtual seconds of each run")
    parser.add_argument("--entry-runs", type=int, default=60, help="runs of entry routers")
    parser.add_argument("--entry-span", type=float, default=20)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    began = time.monotonic()
    with ProcessPoolExecutor(options.workers) as pool:
        seeds = range(options.seed, options.seed + options.runs)
        results = list(pool.map(random_run.run_seed, seeds, [options.span] * options.runs))
        seeds = range(options.seed, options.seed + options.entry_runs)
        spans = [options.entry_span] * options.entry_runs
        entry_results = list(pool.map(entry_run.run_seed, seeds, spans))
    for result in results:
        for breach in result.violations:
            print(f"seed {result.seed}: {breach}")
    for result in entry_results:
        for text in result.violations:
            print(f"entry seed {result.seed}: {text}")
    print_totals(results, options.span, time.monotonic() - began)
    print_entry_totals(entry_results, options.entry_span)
    any_breach = any(result.violations for result in results)
    return 1 if any_breach or any(result.violations for result in entry_results) else 0


def print_entry_totals(results: list[entry_run.RunResult], duration_s: float) -> None:
    """Print the number of runs of entry routers, how many failed, and their counts."""
    counts = sum((result.counts for result in results), Counter())
    broken = sum(bool(result.violations) for result in results)
    print(
        f"{len(results)} runs of entry routers, {duration_s:.0f} virtual seconds each, "
        f"{broken} with violations"
    )
    print(f"counts {dict(counts.most_common())}")


def print_totals(results: list[RunResult], duration_s: float, elapsed_s: float) -> None:
    """Print the number of runs, how many failed, and the sums of their counts."""
    outcomes, faults, counts = Counter(), Counter(), Counter()
    for result in results:
        outcomes += result.outcomes
        faults += result.faults
        counts += result.counts
    broken = sum(bool(result.violations) for result in results)
    print(
        f"{len(results)} runs of {duration_s:.0f} virtual seconds in {elapsed_s:.0f} s, "
        f"{broken} with violations"
    )
    print(f"patches accepted {sum(result.patches_accepted for result in results)}")
    print(f"non-idempotent requests executed {sum(result.requests_executed for result in results)}")
    print(f"faults {dict(faults)}")
    print(f"outcomes {dict(outcomes.most_common())}")
    print(f"checks {dict(counts)}")


if __name__ == "__main__":
    sys.exit(main())
