"""Read the options of another process's TCP sockets, through duplicates of its descriptors."""

import ctypes
import os
import socket
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

PIDFD_GETFD = 438


@dataclass(frozen=True)
class TcpOptions:
    """The options of a socket that decide when the kernel gives its connection up."""

    connected: bool
    user_timeout_ms: int
    sends_probes: bool


def read_tcp_options(pid: int) -> list[TcpOptions]:
    """Return the options of all TCP sockets of a process, listeners too."""
    found = []
    for sock in _sockets(pid):
        with closing(sock):
            if sock.type == socket.SOCK_STREAM and sock.family != socket.AF_UNIX:
                found.append(_read(sock))
    return found


def _read(sock: socket.socket) -> TcpOptions:
    """Return the options of one socket."""
    return TcpOptions(
        connected=not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN),
        user_timeout_ms=sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        sends_probes=bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
    )


def _sockets(pid: int) -> Iterator[socket.socket]:
    """Yield duplicates of the sockets of a process, which the caller closes."""
    libc = ctypes.CDLL(None, use_errno=True)
    handle = os.pidfd_open(pid)
    try:
        for link in Path(f"/proc/{pid}/fd").iterdir():
            try:
                is_socket = os.readlink(link).startswith("socket:")
            except FileNotFoundError:
                # It was closed meanwhile.
                continue
            descriptor = libc.syscall(PIDFD_GETFD, handle, int(link.name), 0) if is_socket else -1
            if descriptor >= 0:
                yield socket.socket(fileno=descriptor)
    finally:
        os.close(handle)
