"""Start an entry router that can be cut off from the other routers alone.

A file beside its settings, with the suffix ``.apart``, is a JSON object: datagrams to the ports in
``lost`` are not sent, and a connection to one of the ports in ``hung`` is made to the other port
that is named for it, where it hangs.  Connections that are open stay so.

Usage: python standins/apart_router.py MODULE, in the folder of the router's build
"""

import json
import os
import runpy
import socket
import sys
from pathlib import Path
from typing import Any

APART_SUFFIX = ".apart"
PATH_VARIABLE = "SKYLARKLIFT_NODE_FILE"


class LostWays:
    """The ports of other routers that this process does not reach; the file is read again."""

    def __init__(self, path: Path):
        self._path = path
        self._read_at = 0
        self._lost: frozenset[int] = frozenset()
        self._hung: dict[str, int] = {}

    def loses(self, address: Any) -> bool:
        """Return whether a datagram to an address is lost."""
        self._read_changes()
        return isinstance(address, tuple) and address[1] in self._lost

    def redirect(self, address: Any) -> Any:
        """Return the address to connect to in place of another one."""
        self._read_changes()
        if not isinstance(address, tuple):
            return address
        host, port, *rest = address
        return (host, self._hung.get(str(port), port), *rest)

    def _read_changes(self) -> None:
        """Read the file if it has changed."""
        if not self._path.exists():
            return
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._read_at:
            fields = json.loads(self._path.read_text())
            self._lost, self._hung = frozenset(fields["lost"]), fields["hung"]
            self._read_at = changed_at


def install(ways: LostWays) -> None:
    """Let the sockets of this process lose what goes to the ports in the file."""
    connect, send = socket.socket.connect, socket.socket.sendto

    def connect_unless_hung(self: socket.socket, address: Any) -> None:
        return connect(self, ways.redirect(address))

    def send_unless_lost(self: socket.socket, data: bytes, *arguments: Any) -> int:
        return len(data) if ways.loses(arguments[-1]) else send(self, data, *arguments)

    socket.socket.connect, socket.socket.sendto = connect_unless_hung, send_unless_lost


if __name__ == "__main__":
    # The build's programs, in place of those beside this file.
    sys.path[0] = os.getcwd()
    install(LostWays(Path(os.environ[PATH_VARIABLE]).with_suffix(APART_SUFFIX)))
    runpy.run_module(sys.argv.pop(1), run_name="__main__", alter_sys=True)
