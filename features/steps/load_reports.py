"""Steps for the loads that upstreams report in their answers."""

from behave import then, when

from features.outside_values import ANSWER_HEADERS, CODEC, encode_headers


@when('an answer reports the load "{field}"')
def decode_load(context, field):
    headers = encode_headers(ANSWER_HEADERS, x_replica_load=field)
    context.load = CODEC.decode_response_head(200, headers).load


@then("its load is unknown")
def check_no_load(context):
    assert context.load is None, context.load


@then(
    "its load is {running:d} running, {waiting:d} waiting, {slots:d} slots, "
    "work takes {percent:d} percent"
)
def check_load(context, running, waiting, slots, percent):
    load = context.load
    found = (load.running, load.waiting, load.slots, load.work_percent)
    assert found == (running, waiting, slots, percent), load
