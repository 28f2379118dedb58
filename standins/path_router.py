"""Start an entry router whose ways to replicas a test can change.

A file beside its settings, with the suffix ``.paths``, maps ports to others, as a JSON object.  A
connection to a port that it names is made to the other one.

Usage: python -m standins.path_router
"""

import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

# Nothing that takes long or starts a process: signals have their default actions until `main`.
from skylarklift.platform.daemon import main

PATHS_SUFFIX = ".paths"
PATH_VARIABLE = "SKYLARKLIFT_NODE_FILE"


class Redirects:
    """The ports to which connections are made in place of others; the file is read again."""

    def __init__(self, path: Path):
        self._path = path
        self._read_at = 0
        self._ports: dict[str, int] = {}

    def apply(self, address: Any) -> Any:
        """Return the address to connect to in place of another one."""
        if not isinstance(address, tuple):
            return address
        self._read_changes()
        host, port, *rest = address
        return (host, self._ports.get(str(port), port), *rest)

    def _read_changes(self) -> None:
        """Read the file if it has changed."""
        if not self._path.exists():
            return
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._read_at:
            self._ports, self._read_at = json.loads(self._path.read_text()), changed_at


def redirect_connections(redirects: Redirects) -> None:
    """Let all sockets of this process connect to what the file says."""
    connect = socket.socket.connect

    def connect_redirected(self: socket.socket, address: Any) -> None:
        return connect(self, redirects.apply(address))

    socket.socket.connect = connect_redirected


if __name__ == "__main__":
    redirect_connections(Redirects(Path(os.environ[PATH_VARIABLE]).with_suffix(PATHS_SUFFIX)))
    sys.exit(main())
