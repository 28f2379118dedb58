"""Steps for random runs of whole entry routers."""

from behave import then, when

from features.entry_run import run_seed
from standins.mutations import mutated

MAX_SEEDS = 8


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
    with mutated(mutation):
        for seed in range(1, MAX_SEEDS + 1):
            context.violations = run_seed(seed, span, tuple(faults.split(","))).violations
            if context.violations:
                return


@then('a run violates an invariant with the text "{text}"')
def violates_with_text(context, text):
    assert any(text in item for item in context.violations), context.violations[:5]
