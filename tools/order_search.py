"""Search every order of the events of a system, up to a depth."""

from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterator
from copy import deepcopy


class System(ABC):
    """A state to search, with the events possible in it and its invariants."""

    @abstractmethod
    def events(self) -> Iterator[str]:
        """Yield the names of the events that are possible now."""

    @abstractmethod
    def apply_event(self, event: str) -> None:
        """Change the state by one event."""

    @abstractmethod
    def state_key(self) -> Hashable:
        """Return a key; of states with equal keys, only one is searched."""

    @abstractmethod
    def violation(self) -> str:
        """Return a description of the violated invariant, or an empty string."""


def search(start: System, depth: int) -> list[str] | None:
    """Return the shortest order of events that violates an invariant, or `None`."""
    seen = {start.state_key()}
    states: list[tuple[System, list[str]]] = [(start, [])]
    for _ in range(depth):
        next_states = []
        for state, path in states:
            for event in state.events():
                next_state = deepcopy(state)
                next_state.apply_event(event)
                steps = [*path, event]
                text = next_state.violation()
                if text:
                    return [*steps, text]
                if next_state.state_key() not in seen:
                    seen.add(next_state.state_key())
                    next_states.append((next_state, steps))
        states = next_states
    return None
