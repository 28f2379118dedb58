"""Abort an attempt at a silent upstream, for requests that may be retried at another one."""

from collections.abc import Awaitable, Callable
from contextlib import contextmanager

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.attempt import Attempt, is_reachable
from skylarklift.entry.caller_connection import CallerDisconnected
from skylarklift.entry.core import Core
from skylarklift.errors import RequestError, ResponseBroken, TransportError

MIN_CHECK_INTERVAL_MS = 100
# An attempt is aborted after this much silence even if the upstream accepts connections.
MAX_SILENCE_MS = 1800


class SilenceTimer:
    """Measure how long the router has waited for an upstream that made no progress.

    Bytes alone are no progress: an upstream that sends one now and then would never be noticed.
    The upstream is probed after `probe_after_ms`.  `attempt_aborted` is set when the attempt is
    aborted because of the silence.
    """

    def __init__(self, clock: Clock, probe_after_ms: int):
        self._clock = clock
        self.probe_after_ms = probe_after_ms
        self._waiting_since: Millis | None = None
        # The waits that have ended since the last progress.
        self._waited_ms = 0
        self.attempt_aborted = False

    @contextmanager
    def waiting(self):
        """Count the time of the block as silence, unless progress is recorded after it."""
        self._waiting_since = self._clock.now()
        try:
            yield
        finally:
            self._waited_ms += self._clock.now() - self._waiting_since
            self._waiting_since = None

    def record_progress(self) -> None:
        """Start to measure anew, since the upstream has sent something useful."""
        self._waited_ms = 0

    def remaining_ms(self) -> int:
        """Return the milliseconds until the upstream is to be probed, if it stays silent."""
        return self.probe_after_ms - self._silent_ms()

    def has_lasted(self, span_ms: int) -> bool:
        """Return whether the router waits, and has waited without progress for `span_ms`."""
        return self._waiting_since is not None and self._silent_ms() >= span_ms

    def _silent_ms(self) -> int:
        """Return how long the router has waited since the last progress."""
        if self._waiting_since is None:
            return self._waited_ms
        return self._waited_ms + self._clock.now() - self._waiting_since


async def forward_until_silent(
    core: Core,
    attempt: Attempt,
    timer: SilenceTimer,
    forward: Callable[[Attempt, SilenceTimer], Awaitable[int]],
) -> int:
    """Return what `forward` returns; raise `ResponseBroken` if the upstream stays silent."""
    failure: Exception | None = None
    status: int | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_abort_when_silent, core, attempt, timer)
        try:
            status = await forward(attempt, timer)
        except (TransportError, RequestError, CallerDisconnected) as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if isinstance(failure, TransportError) and timer.attempt_aborted:
        raise ResponseBroken(attempt.detail or "the upstream sent no data") from failure
    if failure is not None:
        raise failure
    return status


async def _abort_when_silent(core: Core, attempt: Attempt, timer: SilenceTimer) -> None:
    """Abort the connection to an upstream that is silent and unreachable, or silent for too long.

    The limit is `MAX_SILENCE_MS`.  Closing the connection ends only the wait for more data: what
    has arrived is still forwarded.  Cancelling the task instead could lose an event between its
    arrival and its way to the caller.
    """
    while True:
        await trio.sleep(max(MIN_CHECK_INTERVAL_MS, timer.remaining_ms()) / MS_PER_SECOND)
        if not timer.has_lasted(timer.probe_after_ms):
            continue
        alive = await is_reachable(core, attempt)
        if timer.has_lasted(timer.probe_after_ms) and (
            not alive or timer.has_lasted(MAX_SILENCE_MS)
        ):
            if attempt.conn is None:
                # The attempt is still connecting, which has its own time-out.
                continue
            core.event_log.write(
                "upstream_silent",
                id=attempt.call.request,
                upstream=attempt.record.replica,
                reached=alive,
            )
            timer.attempt_aborted = True
            attempt.conn.abort()
            return
