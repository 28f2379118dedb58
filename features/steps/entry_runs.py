"""Steps of random runs of whole entry routers."""

from behave import then, when

from features.entry_run import run_seed
from standins.planted import planted

MOST_SEEDS = 8


@when("entry routers run for {span:d} virtual seconds with seed {seed:d}")
def step_run(context, span, seed):
    context.violations = run_seed(seed, span).broken


@when(
    'entry routers run for {span:d} s with "{fault}" and only the faults "{faults}" '
    "until one breaks"
)
def step_planted(context, span, fault, faults):
    with planted(fault):
        for seed in range(1, MOST_SEEDS + 1):
            context.violations = run_seed(seed, span, tuple(faults.split(","))).broken
            if context.violations:
                return


@then('a promise was broken with "{text}"')
def step_found(context, text):
    assert any(text in item for item in context.violations), context.violations[:5]
