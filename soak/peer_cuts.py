"""Cut routers off from the other routers alone, both ways or one way."""

import json
import os
from collections.abc import Iterable
from enum import Enum
from pathlib import Path

from soak.router_paths import BlackHole
from standins.apart_router import APART_SUFFIX
from standins.entry_world import ROOT

PROGRAM = str(ROOT / "standins" / "apart_router.py")


class Loss(Enum):
    """Which messages between a router and the others are lost.

    Connections between them are made in neither direction, whichever it is.
    """

    BOTH = "both ways"
    INWARD = "from the others"
    OUTWARD = "to the others"

    @property
    def inward(self) -> bool:
        """Return whether messages from the other routers are lost."""
        return self is not Loss.OUTWARD

    @property
    def outward(self) -> bool:
        """Return whether messages to the other routers are lost."""
        return self is not Loss.INWARD


class PeerCuts:
    """The cuts between routers that run as `standins.apart_router`, by the routers' names."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._ports: dict[str, int] = {}
        self._losses: dict[str, Loss] = {}
        self._black_hole = BlackHole()

    def choose_arguments(self, arguments: tuple[str, ...]) -> tuple[str, ...]:
        """Return the Python arguments that start a router that can be cut off."""
        return (PROGRAM, arguments[-1])

    def add(self, name: str, port: int) -> None:
        """Add a router and the port at which the others reach it."""
        self._ports[name] = port

    def cut(self, names: Iterable[str], loss: Loss) -> None:
        """Cut routers off from all others; two that are cut off do not reach each other either."""
        self._losses.update(dict.fromkeys(names, loss))
        self._write_all()

    def restore(self, names: Iterable[str]) -> None:
        """Let routers reach the others again."""
        for name in names:
            self._losses.pop(name, None)
        self._write_all()

    def loses(self, sender: str, receiver: str) -> bool:
        """Return whether the messages from one router to another are lost."""
        sent, received = self._losses.get(sender), self._losses.get(receiver)
        return (sent is not None and sent.outward) or (received is not None and received.inward)

    def close(self) -> None:
        """Close the sockets of this process."""
        self._black_hole.close()

    def _write_all(self) -> None:
        """Write the files that the routers read, each at once."""
        for name in self._ports:
            others = [item for item in self._ports if item != name]
            lost = [self._ports[item] for item in others if self.loses(name, item)]
            hung = [item for item in others if self.loses(name, item) or self.loses(item, name)]
            fields = {
                "lost": lost,
                "hung": {str(self._ports[item]): self._black_hole.port for item in hung},
            }
            path = self._folder / f"{name}{APART_SUFFIX}"
            draft = path.with_suffix(f"{APART_SUFFIX}.new")
            draft.write_text(json.dumps(fields))
            os.replace(draft, path)
