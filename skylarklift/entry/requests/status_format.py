"""Interface that translates what an upstream says of its process."""

from abc import ABC, abstractmethod


class StatusFormat(ABC):
    """How an upstream answers questions about its process; `target` is where to ask."""

    target: bytes

    @abstractmethod
    def decode_started_ms(self, body: bytes) -> int | None:
        """Return when the process started, as its entry would say it, `None` if it names none."""
