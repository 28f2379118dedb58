"""Compare placement policies by cache reuse and load skew, in virtual time with one admitter."""

import random
from dataclasses import replace

from bench.churn import UNBOUNDED_LOAD_FACTOR, ChurnPlan, ChurnResult, ChurnRun
from bench.policies import HashPolicy, LeastLoadPolicy, RandomPolicy
from bench.report import Report
from skylarklift.pools.policies import AffinityPolicy, PlacementPolicy

TARGETS = {3: 0.85, 10: 0.95, 30: 0.98}
LOAD_FACTOR = 1.25


def run(seed: int) -> Report:
    """Run every policy at each mean load."""
    report = Report("reuse", "reuse as a share of unbounded affinity, six replicas, c = 1.25")
    report.axes = ("mean requests in flight a replica", "share of unbounded affinity")
    for mean, target in TARGETS.items():
        plan = ChurnPlan(mean_load=mean, cache_chats=800, seed=seed)
        no_wait = replace(plan, affinity_wait_ms=0)
        unbounded = run_policy(replace(no_wait, load_factor=UNBOUNDED_LOAD_FACTOR), HashPolicy())
        others = {
            "random": run_policy(no_wait, RandomPolicy(random.Random(seed))),
            "least load": run_policy(no_wait, LeastLoadPolicy(random.Random(seed))),
            "bounded hashing": run_policy(no_wait, HashPolicy()),
            "holders, no wait": run_policy(no_wait, AffinityPolicy()),
        }
        own = run_policy(plan, AffinityPolicy())
        shares = {name: relative_reuse(result, unbounded) for name, result in others.items()}
        baseline = ", ".join(f"{name} {value:.2f}" for name, value in shares.items())
        report.at_least(
            f"reuse at mean {mean}", relative_reuse(own, unbounded), target, baseline=baseline
        )
        add_skew(report, mean, own, unbounded)
        for name, value in (*shares.items(), ("skylarklift", relative_reuse(own, unbounded))):
            report.series.setdefault(name, []).append((mean, round(value, 3)))
    return report


def run_policy(plan: ChurnPlan, policy: PlacementPolicy) -> ChurnResult:
    """Run a plan with a policy and return its counts."""
    return ChurnRun(plan, policy).run()


def relative_reuse(result: ChurnResult, unbounded: ChurnResult) -> float:
    """Return the reuse of a run divided by that of affinity without a load bound."""
    return result.reuse() / unbounded.reuse()


def add_skew(report: Report, mean: int, own: ChurnResult, unbounded: ChurnResult) -> None:
    """Add breaches of the bound, load skew and waits at one mean load."""
    report.at_most(f"breaches of the bound at mean {mean}", own.breaches, 0)
    allowed = max(1, -(-LOAD_FACTOR * mean // 1)) / mean
    baseline = (
        f"unbounded affinity {unbounded.worst_skew():.2f}; the bound at the mean {allowed:.2f}"
    )
    report.add(f"largest load over the mean at mean {mean}", own.worst_skew(), "x", baseline)
    report.add(f"mean wait for a place at mean {mean}", own.mean_wait_ms(), "ms")
