"""Steps of the soak."""

from behave import then, when

from soak.run import Options, run_seed


@when("the soak runs for {span:d} s with seed {seed:d}")
def soak_runs(context, span, seed):
    context.judge = run_seed(Options(seed, span))


@when(
    'the soak runs for {span:d} s with the planted fault "{planted}" and only the faults "{faults}"'
)
def soak_planted(context, span, planted, faults):
    program = ("-m", "standins.planted", planted)
    options = Options(1, span, program=program, only=tuple(faults.split(",")), quick=True)
    context.judge = run_seed(options)


@then("no promise was broken")
def nothing_broken(context):
    assert not context.judge.broken, context.judge.broken[:20]
    assert len(context.judge.sent) > 100


@then('a promise was broken as "{text}"')
def something_broken(context, text):
    assert any(text in item for item in context.judge.broken), context.judge.broken[:20]
