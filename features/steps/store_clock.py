"""Steps for the time of the store's clock."""

from behave import given, then, when

from skylarklift.clock import ManualClock
from skylarklift.platform.store_clock import StoreClock


@given("a store whose clock is {ahead:d} ms ahead")
def store_ahead(context, ahead):
    context.clock, context.ahead_ms = ManualClock(1_000_000), ahead
    context.store_clock = StoreClock(context.clock)


def answer(context, late_ms):
    """Read an answer that tells the time of `late_ms` ago."""
    context.store_clock.record(context.clock.now() + context.ahead_ms - late_ms)


@when("it answers {late} ms late, {gap:d} ms after each other")
def answers_late(context, late, gap):
    for item in late.split():
        context.clock.advance(gap)
        answer(context, int(item))


@when("it answers {late:d} ms late each second for {span:d} s")
def answers_each_second(context, late, span):
    for _ in range(span):
        context.clock.advance(1000)
        answer(context, late)


@then("its clock is taken to be {behind:d} ms behind")
def taken_behind(context, behind):
    true_ms = context.clock.now() + context.ahead_ms
    assert true_ms - context.store_clock.now_ms() == behind, context.store_clock.now_ms()
