"""Steps that search the specification and event orders for violated invariants."""

from behave import then, when

from standins.mutations import mutated
from tools import orders
from tools.model import Specification, search


@when("the specification is searched to {depth:d} steps")
def step_search(context, depth):
    context.found = search(Specification(), depth)


@when('the specification with the fault "{mutation}" is searched to {depth:d} steps')
def step_search_mutated(context, mutation, depth):
    context.found = search(Specification(mutation), depth)


@when('every order of {depth:d} events of "{system}" is searched')
def step_orders(context, depth, system):
    context.found = orders.search(orders.SYSTEMS[system](), depth)


@when('every order of {depth:d} events of "{system}" is searched with the mutation "{mutation}"')
def step_orders_mutated(context, depth, system, mutation):
    with mutated(mutation):
        context.found = orders.search(orders.SYSTEMS[system](), depth)


@then("no path violates an invariant")
def step_holds(context):
    assert context.found is None, context.found


@then("a path violates an invariant")
def step_broken(context):
    assert context.found is not None
