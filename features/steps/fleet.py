"""Steps that run a fleet of routers on fakes in virtual time."""

from behave import then, when

from features.fleet_cases import run_case
from features.mutations import mutated
from features.random_run import run_seed
from features.world import run_virtual


@when('the fleet case "{name}" is run with seed {seed:d}')
def step_case(context, name, seed):
    context.violations = run_virtual(seed, run_case, name, seed)


@when('the fleet case "{name}" is run with seed {seed:d} and the mutation "{mutation}"')
def step_mutated_case(context, name, seed, mutation):
    with mutated(mutation):
        try:
            context.violations = run_virtual(seed, run_case, name, seed)
        except* (AssertionError, KeyError) as exc:
            context.violations = [str(exc)]


@when("a random run of {duration:d} virtual seconds is made with seed {seed:d}")
def step_random(context, duration, seed):
    context.violations = run_seed(seed, duration).violations


@when(
    "random runs of {duration:d} virtual seconds are made "
    'with the mutation "{mutation}" until one fails'
)
def step_mutated_random(context, duration, mutation):
    with mutated(mutation):
        for seed in range(1, 9):
            context.violations = run_seed(seed, duration).violations
            if context.violations:
                return


@then("no invariant was violated")
def step_no_violation(context):
    assert not context.violations, context.violations[:5]


@then("an invariant was violated")
def step_violation(context):
    assert context.violations
