"""Decide which attempts that met a tolerated silence use up none of those allowed."""

from skylarklift.entry.placement.unanswered import TOLERATED_SILENCE_MS
from skylarklift.entry.requests.connection_pool import CONNECT_TIMEOUT_MS
from skylarklift.entry.requests.retry_state import MAX_ATTEMPTS

# An attempt that ends by this age of its request is excused.
MAX_EXCUSED_AGE_MS = TOLERATED_SILENCE_MS
# So is one that began before and ends by this age: one more, short one then finds an upstream that
# went on as the silence came to its end.
MAX_LATE_AGE_MS = 1750
LAST_CONNECT_TIMEOUT_MS = 100


def is_excused(began_ms: int, ended_ms: int) -> bool:
    """Return whether an attempt is excused that lasted between two ages of its request."""
    return began_ms < MAX_EXCUSED_AGE_MS and ended_ms < MAX_LATE_AGE_MS


def connect_timeout_ms(attempts: int, age_ms: int) -> int:
    """Return how long the next connection may take, after some attempts at an age of a request."""
    is_last = attempts >= MAX_ATTEMPTS and age_ms >= MAX_EXCUSED_AGE_MS
    return LAST_CONNECT_TIMEOUT_MS if is_last else CONNECT_TIMEOUT_MS
