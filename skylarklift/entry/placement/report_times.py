"""When another router saw what it reports."""

from skylarklift.clock import Clock, Millis

# A report counts as this much older than it says, for its time on the way, so that what comes back
# from another router is never taken for something newer.
RELAY_DELAY_MS = 20
# So much for a limit, which stays in force until something newer is known.
LIMIT_RELAY_DELAY_MS = 50


def reported_moment(clock: Clock, age_ms: int, relay_delay_ms: int = RELAY_DELAY_MS) -> Millis:
    """Return the moment of what another router saw `age_ms` before it sent a report."""
    return Millis(clock.now() - max(0, age_ms) - relay_delay_ms)
