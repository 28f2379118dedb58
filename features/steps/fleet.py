"""Steps that run a fleet on fakes in virtual time."""

from behave import then, when

from features.fleet_cases import run_case
from features.mutations import mutated
from features.random_run import run_seed
from features.world import run_virtual


@when('the fleet case "{name}" is run with seed {seed:d}')
def step_case(context, name, seed):
    context.violations = run_virtual(seed, run_case, name, seed)


@when('the fleet case "{name}" is run with seed {seed:d} and the fault "{fault}"')
def step_mutated_case(context, name, seed, fault):
    with mutated(fault):
        try:
            context.violations = run_virtual(seed, run_case, name, seed)
        except* (AssertionError, KeyError) as exc:
            context.violations = [str(exc)]


@when("a random run of {span:d} virtual seconds is made with seed {seed:d}")
def step_random(context, span, seed):
    context.violations = run_seed(seed, span).violations


@when('random runs of {span:d} virtual seconds are made with the fault "{fault}" until one breaks')
def step_mutated_random(context, span, fault):
    with mutated(fault):
        for seed in range(1, 9):
            context.violations = run_seed(seed, span).violations
            if context.violations:
                return


@then("no invariant was violated")
def step_holds(context):
    assert not context.violations, context.violations[:5]


@then("an invariant was violated")
def step_broken(context):
    assert context.violations
