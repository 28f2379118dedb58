"""Steps of the soak."""

from behave import then, when

from soak.run import Options, run_seed

MOST_SEEDS = 5


@when("the soak runs for {span:d} s with seed {seed:d}")
def soak_runs(context, span, seed):
    context.judge = run_seed(Options(seed, span))


@when(
    'soaks of {span:d} s run with the planted fault "{planted}" and only the faults "{faults}" '
    "until one breaks"
)
def soak_planted(context, span, planted, faults):
    # Which requests meet the fault is chance; a busy machine sends fewer of them.
    program = ("-m", "standins.planted", planted)
    for seed in range(1, MOST_SEEDS + 1):
        options = Options(seed, span, program=program, only=tuple(faults.split(",")), quick=True)
        context.judge = run_seed(options)
        if context.judge.broken:
            return


@then("no promise was broken")
def nothing_broken(context):
    assert not context.judge.broken, context.judge.broken[:20]
    assert len(context.judge.sent) > 100


@then('a promise was broken as "{text}"')
def something_broken(context, text):
    assert any(text in item for item in context.judge.broken), context.judge.broken[:20]
