"""Steps for the soak."""

from behave import then, when

from soak.run import Options, run_seed

MAX_SEEDS = 5


@when("the soak runs for {duration:d} s with seed {seed:d}")
def soak_runs(context, duration, seed):
    context.checker = run_seed(Options(seed, duration))


@when(
    'soaks of {duration:d} s run with the mutation "{mutation}" and only the faults "{faults}" '
    "until a violation is found"
)
def soak_mutated(context, duration, mutation, faults):
    # Whether a request meets the fault is random, and a busy machine sends fewer requests, so
    # several seeds are tried.
    program = ("-m", "standins.mutated_router", mutation)
    for seed in range(1, MAX_SEEDS + 1):
        options = Options(
            seed, duration, program=program, only_faults=tuple(faults.split(",")), short_pauses=True
        )
        context.checker = run_seed(options)
        if context.checker.violations:
            return


@then("the soak found no violation")
def no_violation(context):
    assert not context.checker.violations, context.checker.violations[:20]
    assert len(context.checker.requests) > 100


@then('a violation contains "{text}"')
def violation_contains(context, text):
    assert any(text in item for item in context.checker.violations), context.checker.violations[:20]
