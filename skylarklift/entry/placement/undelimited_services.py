"""Services whose answers may end with their connection while their processes tell no start.

Only a second connection that was made before such an answer was asked for shows, after a
standstill of this router, that its process has lived on.  It is a connection more for answers with
a length, so it is made only where it may be needed.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ServiceId

# An answer without a length makes further ones of its service expected for this long.
EXPECTED_MS = 30_000
# As long as no answer of a service has shown what they are like, so often one may have no length.
UNKNOWN_INTERVAL_MS = 1000
MAX_SERVICES = 1000


class UndelimitedServices:
    """What the answers of each service have been like."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # When an answer without a length last came from a process that tells no start.
        self._seen_at: dict[ServiceId, Millis] = {}
        # When a second connection was last made as nothing was known of the service.
        self._tried_at: dict[ServiceId, Millis] = {}
        # Services with an answer that has a length or chunks, or whose process tells its start.
        self._known: set[ServiceId] = set()

    def is_expected(self, service: ServiceId) -> bool:
        """Return whether the next answer of a service may need a second connection before it."""
        now = self._clock.now()
        seen_at = self._seen_at.get(service)
        if seen_at is not None and now - seen_at < EXPECTED_MS:
            return True
        if service in self._known:
            return False
        tried_at = self._tried_at.get(service)
        if tried_at is not None and now - tried_at < UNKNOWN_INTERVAL_MS:
            return False
        if tried_at is None and len(self._tried_at) >= MAX_SERVICES:
            return False
        self._tried_at[service] = now
        return True

    def record_other(self, service: ServiceId) -> None:
        """Record an answer with a length or chunks, or a process that tells its start."""
        if len(self._known) < MAX_SERVICES:
            self._known.add(service)

    def record_undelimited(self, service: ServiceId) -> None:
        """Record an answer without a length whose process tells no start."""
        if service in self._seen_at or len(self._seen_at) < MAX_SERVICES:
            self._seen_at[service] = self._clock.now()
            self._known.add(service)
