"""Steps for what replicas of the soak send although nobody asked for it."""

import socket
from random import Random

from behave import then, when

from standins.stream_extras import Extra, ExtraKind, ExtraMoment, Extras
from standins.stream_wire import ConnectionCuts, Wire

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
READ_BYTES = 100


def draw_copy(extras: Extras, moment: ExtraMoment) -> Extra:
    """Return a second answer that is sent at a moment."""
    while True:
        extra = extras.draw()
        if (extra.kind, extra.moment) == (ExtraKind.SECOND_ANSWER, moment):
            return extra


def answer(wire: Wire, extras: Extras, router: socket.socket, body: bytes) -> None:
    """Answer the next request."""
    router.sendall(REQUEST)
    wire.read_head()
    extras.precede_answer()
    wire.write(body)


@when('a replica answers "{first}", then "{second}", and sends a copy of the first "{moment}"')
def replica_answers(context, first, second, moment):
    router, accepted = connect()
    with router, accepted:
        wire = Wire(accepted, ConnectionCuts())
        extras = Extras(wire, Random(1), ratio=1.0)
        answer(wire, extras, router, first.encode())
        extras.send(draw_copy(extras, ExtraMoment(moment)))
        context.before = router.recv(READ_BYTES).decode()
        answer(wire, extras, router, second.encode())
        context.after = router.recv(READ_BYTES).decode()


def connect() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection over TCP."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        router = socket.create_connection(listener.getsockname())
        return router, listener.accept()[0]


@then('the router receives "{before}" before its second request, and "{after}" after it')
def router_receives(context, before, after):
    assert (context.before, context.after) == (before, after), (context.before, context.after)
