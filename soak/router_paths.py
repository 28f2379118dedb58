"""The ways of one router to the replicas of a test world, which can be cut."""

import json
import os
import socket
from enum import Enum
from pathlib import Path

from soak.proxy import HOST, LoopbackProxy
from standins.path_router import PATHS_SUFFIX

# Connections that fill the queue of a listener that accepts none, with some to spare.
FILLING_CONNECTIONS = 4


class Cut(Enum):
    """What becomes of a router's connections to replicas.

    `HANG`: open ones and new ones hang.  `RESET`: open ones are reset, new ones refused.
    `REFUSE`: open ones live on, new ones are refused.  `END`: open ones are ended in order, and new
    ones work.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"
    END = "end"


class BlackHole:
    """A port at which connections hang: its queue is full, so that the kernel drops requests."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen(0)
        self.port = self._listener.getsockname()[1]
        self._fillers = [socket.socket() for _ in range(FILLING_CONNECTIONS)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))

    def close(self) -> None:
        """Close its sockets."""
        for sock in (self._listener, *self._fillers):
            sock.close()


class RouterPaths:
    """The proxies between one router and the replicas, by the replicas' ports.

    The router runs as `standins.path_router`, with `folder / f"{name}.conf"` as its settings.
    """

    def __init__(self, world, name: str):
        self._world = world
        self._name = name
        self._file = Path(world.folder) / f"{name}{PATHS_SUFFIX}"
        self._proxies: dict[int, LoopbackProxy] = {}
        self._black_hole = BlackHole()
        self._closed_port = world.reserve_port()

    async def add(self, port: int) -> None:
        """Put a proxy before the port of a replica."""
        proxy = LoopbackProxy(port, passes_resets=True)
        proxy.port = await self._world.listen(f"path-{self._name}-{port}", proxy.serve)
        self._proxies[port] = proxy
        self._write({target: item.port for target, item in self._proxies.items()})

    def cut(self, how: Cut, ports: set[int] | None = None) -> None:
        """Cut the ways to the replicas at some ports, by default all ways."""
        chosen = set(self._proxies) if ports is None else ports
        sound = {target: item.port for target, item in self._proxies.items()}
        if how is Cut.HANG:
            self._write({**sound, **dict.fromkeys(chosen, self._black_hole.port)})
        elif how is not Cut.END:
            self._write({**sound, **dict.fromkeys(chosen, self._closed_port)})
        for proxy in (self._proxies[port] for port in chosen):
            if how is Cut.HANG:
                proxy.freeze()
            elif how is Cut.RESET:
                proxy.break_off()
            elif how is Cut.END:
                proxy.reset()

    def restore(self) -> None:
        """Let new connections work again; those that hung go on."""
        self._write({target: item.port for target, item in self._proxies.items()})
        for proxy in self._proxies.values():
            proxy.thaw()

    def list_proxies(self, ports: set[int]) -> list[LoopbackProxy]:
        """Return the proxies before the replicas at some ports."""
        return [proxy for port, proxy in self._proxies.items() if port in ports]

    def carries(self, port: int) -> bool:
        """Return whether a connection to a replica comes from a local port of these ways."""
        return any(proxy.carries(port) for proxy in self._proxies.values())

    def close(self) -> None:
        """Close the sockets of this process."""
        self._black_hole.close()

    def _write(self, ports: dict[int, int]) -> None:
        """Write the file that the router reads, at once."""
        draft = self._file.with_suffix(f"{PATHS_SUFFIX}.new")
        draft.write_text(json.dumps({str(target): port for target, port in ports.items()}))
        os.replace(draft, self._file)
