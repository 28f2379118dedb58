"""Services whose processes answer the question when they started.

A process of one of them that says nothing stands still, or has just been replaced; where none has
answered, silence tells nothing.
"""

from skylarklift.ids import ServiceId

MAX_SERVICES = 1000


class AnsweringServices:
    """The services of which a process has answered this router."""

    def __init__(self) -> None:
        self._known: set[ServiceId] = set()

    def record(self, service: ServiceId) -> None:
        """Record that a process of a service has answered."""
        if len(self._known) < MAX_SERVICES:
            self._known.add(service)

    def includes(self, service: ServiceId) -> bool:
        """Return whether a process of a service has answered."""
        return service in self._known
