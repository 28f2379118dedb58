"""Steps for random runs of whole entry routers."""

from behave import then, when

from features.entry_run import run_seed
from standins.mutations import mutated

MAX_SEEDS = 16


@when("entry routers run for {span:d} virtual seconds with seed {seed:d}")
def run_with_seed(context, span, seed):
    context.violations = run_seed(seed, span).violations


@when(
    "entry routers run for {span:d} virtual seconds with seed {seed:d} and only the faults "
    '"{faults}"'
)
def run_with_faults(context, seed, span, faults):
    context.violations = run_seed(seed, span, tuple(faults.split(","))).violations


@when(
    'entry routers run for {span:d} s with the mutation "{mutation}" and only the faults "{faults}"'
)
def run_with_mutation(context, span, mutation, faults):
    context.mutation, context.run = mutation, (span, tuple(faults.split(",")))


@then('a run violates an invariant with the text "{text}"')
def violates_with_text(context, text):
    # Other invariants may be violated first; the same seed is sound without the mutation.
    others = []
    for seed in range(1, MAX_SEEDS + 1):
        with mutated(context.mutation):
            violations = run_seed(seed, *context.run).violations
        if any(text in item for item in violations):
            unchanged = run_seed(seed, *context.run).violations
            assert not any(text in item for item in unchanged), unchanged[:5]
            return
        others += violations[:2]
    raise AssertionError(f"no run violates it; others: {others[:5]}")
