"""Ports that a test reserves, so that no other test process gets them meanwhile."""

import socket
from collections.abc import Iterable
from random import SystemRandom

HOST = "127.0.0.1"
# Below the system's ephemeral ports, so that neither an outgoing connection nor a listener
# without a port of its choice can take one.
PORT_RANGE = (11_000, 32_000)
# Drawn at random, since test processes that run side by side must not choose the same ports.
_port_choice = SystemRandom()
_given: set[int] = set()
_reservations: dict[int, socket.socket] = {}


def reserve_port() -> int:
    """Return a port that is free and that this process has not returned before.

    No other process can reserve it until it is released, also while nothing listens on it.
    """
    while True:
        port = _port_choice.randrange(*PORT_RANGE)
        if port in _given:
            continue
        _given.add(port)
        sock = socket.socket()
        try:
            sock.bind((HOST, port))
        except OSError:
            sock.close()
            continue
        # Only set now: the bind itself must fail if another process has reserved the port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations[port] = sock
        return port


def reserve_ports(count: int) -> list[int]:
    """Return several reserved ports."""
    return [reserve_port() for _ in range(count)]


def release_ports(ports: Iterable[int]) -> None:
    """Let other processes reserve these ports again."""
    for port in ports:
        _reservations.pop(port).close()
