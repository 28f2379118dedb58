"""Watch attempts for upstreams that fall silent, and abort those that may be repeated."""

from collections.abc import Awaitable, Callable

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.placement.upstream_progress import Silence
from skylarklift.entry.requests.attempt import Attempt
from skylarklift.entry.requests.caller_connection import CallerDisconnected
from skylarklift.entry.requests.reachability import is_reachable
from skylarklift.errors import RequestError, ResponseBroken, TransportError

MIN_CHECK_INTERVAL_MS = 100
# An attempt that is only watched is checked less often: each check may open a connection.
WATCH_INTERVAL_MS = 600
# What waits unread, as this router stood still or was busy, has been read after this long.
READ_DELAY_MS = 20


class SilenceTimer:
    """Measure how long the router has waited for an upstream that made no progress.

    Bytes alone are no progress: an upstream that sends one now and then would never be noticed.
    The upstream is probed after `probe_after_ms`.
    """

    def __init__(self, clock: Clock, probe_after_ms: int):
        self._clock = clock
        self.probe_after_ms = probe_after_ms
        self._waiting_since: Millis | None = None
        # The waits that have ended since the last progress.
        self._waited_ms = 0

    def waiting(self) -> "SilenceTimer":
        """Return a block whose time counts as silence, unless progress is recorded after it."""
        return self

    def __enter__(self) -> None:
        """Start to wait."""
        self._waiting_since = self._clock.now()

    def __exit__(self, *exc_info: object) -> None:
        """Stop to wait."""
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

    def silent_since(self) -> Millis:
        """Return when the silence began, without the time in which the router did not wait."""
        return Millis(self._clock.now() - self._silent_ms())

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
        nursery.start_soon(_watch_silence, core, attempt, timer)
        nursery.start_soon(attempt.second_connection.run)
        if attempt.confirm_until is not None:
            nursery.start_soon(_bound_confirmation, attempt, attempt.confirm_until)
        try:
            status = await forward(attempt, timer)
        except (TransportError, RequestError, CallerDisconnected) as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if isinstance(failure, TransportError) and attempt.aborted:
        raise ResponseBroken(attempt.detail or "the upstream sent no data") from failure
    if failure is not None:
        raise failure
    return status


async def _bound_confirmation(attempt: Attempt, until: Millis) -> None:
    """Abort a run that brings nothing in time; its caller waits for the end of a stream."""
    await trio.sleep(max(0, until - attempt.core.clock.now()) / MS_PER_SECOND)
    if not attempt.event_range:
        attempt.give_up("the end of the stream was not confirmed in time")


async def _watch_silence(core: Core, attempt: Attempt, timer: SilenceTimer) -> None:
    """Probe a silent upstream, which ejects it if it is unreachable; abort a repeatable attempt.

    It is aborted if the upstream is unreachable, hung, or has answered later requests meanwhile.
    An attempt at an upstream that is only slow goes on, and so does one that must not be repeated:
    its answer may still come.
    """
    while True:
        await trio.sleep(_next_check_ms(attempt, timer) / MS_PER_SECOND)
        if not timer.has_lasted(timer.probe_after_ms):
            continue
        alive = await is_reachable(core, attempt)
        await trio.sleep(READ_DELAY_MS / MS_PER_SECOND)
        if not timer.has_lasted(timer.probe_after_ms) or attempt.conn is None:
            # It sent something meanwhile, or is still connecting, which has its own time-out.
            continue
        cause = core.progress.classify(
            attempt.record.replica, attempt.route_name, timer.silent_since()
        )
        lost = attempt.is_on_lost_link()
        if (alive and cause is Silence.SLOW and not lost) or (alive and not attempt.repeatable):
            continue
        core.event_log.write(
            "upstream_silent",
            id=attempt.call.request,
            upstream=attempt.record.replica,
            reached=alive,
            cause="lost_link" if lost else cause.value,
            aborted=attempt.repeatable,
        )
        if attempt.repeatable:
            # Closing the connection ends only the wait for more data: what has arrived is still
            # forwarded.  Cancelling the task instead could lose an event between its arrival and
            # its way to the caller.
            attempt.aborted = True
            attempt.conn.abort()
        return


def _next_check_ms(attempt: Attempt, timer: SilenceTimer) -> int:
    """Return the milliseconds until the timer is to be checked again."""
    shortest = MIN_CHECK_INTERVAL_MS if attempt.repeatable else WATCH_INTERVAL_MS
    return max(shortest, timer.remaining_ms())
