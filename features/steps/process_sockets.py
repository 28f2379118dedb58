"""Steps for the options of a process's sockets."""

import trio
from behave import then, when

from standins.process_sockets import read_tcp_options

ALL_BEGUN_S = 0.4


@when('the options of its TCP sockets are read while {count:d} requests to "{path}" run')
def read_router_options(context, count, path):
    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(context.world.call, context.router, path)
            await trio.sleep(ALL_BEGUN_S)
            context.options = read_tcp_options(context.router.process.pid)

    context.thread.run(run)


@when('the options of the TCP sockets of "{name}" are read')
def read_deployment_options(context, name):
    process = context.deployment.processes[name].process
    context.options = read_tcp_options(process.pid)


@then("none of {count:d} or more connected ones has a user time-out or sends keep-alive probes")
def no_timeouts(context, count):
    connected = [item for item in context.options if item.connected]
    assert len(connected) >= count, context.options
    wrong = [item for item in context.options if item.user_timeout_ms or item.sends_probes]
    assert not wrong, wrong
