"""Steps that run a fleet on fakes in virtual time."""

from behave import then, when

from features.fleet_cases import run_case
from features.mutations import mutated
from features.random_run import run_seed
from features.world import run_virtual


@when('the fleet case "{name}" is run with seed {seed:d}')
def step_case(context, name, seed):
    context.breaches = run_virtual(seed, run_case, name, seed)


@when('the fleet case "{name}" is run with seed {seed:d} and the fault "{fault}"')
def step_mutated_case(context, name, seed, fault):
    with mutated(fault):
        try:
            context.breaches = run_virtual(seed, run_case, name, seed)
        except* (AssertionError, KeyError) as exc:
            context.breaches = [str(exc)]


@when("a random run of {span:d} virtual seconds is made with seed {seed:d}")
def step_random(context, span, seed):
    context.breaches = run_seed(seed, span).breaches


@when('random runs of {span:d} virtual seconds are made with the fault "{fault}" until one breaks')
def step_mutated_random(context, span, fault):
    with mutated(fault):
        for seed in range(1, 9):
            context.breaches = run_seed(seed, span).breaches
            if context.breaches:
                return


@then("nothing that must always hold was broken")
def step_holds(context):
    assert not context.breaches, context.breaches[:5]


@then("something that must always hold was broken")
def step_broken(context):
    assert context.breaches
