"""Notice an upstream that is silent, and give it up where the request may go on elsewhere."""

from collections.abc import Awaitable, Callable
from contextlib import contextmanager

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.attempt import Attempt, is_reachable
from skylarklift.entry.caller_connection import CallerDisconnected
from skylarklift.entry.core import Core
from skylarklift.errors import AnswerBroken, LinkError, RequestError

MIN_CHECK_INTERVAL_MS = 100
# An upstream that takes connections and still says nothing is given up after this long.
MAX_SILENCE_MS = 1800


class SilenceTimer:
    """Since when a router waits for an upstream, and how long it may before it looks.

    `given_up` tells that the upstream was silent for too long.
    """

    def __init__(self, clock: Clock, check_after_ms: int):
        self._clock = clock
        self.check_after_ms = check_after_ms
        self.since: Millis | None = None
        self.attempt_aborted = False

    @contextmanager
    def waiting(self):
        """Note the time of the block as waiting for the upstream."""
        self.since = self._clock.now()
        try:
            yield
        finally:
            self.since = None

    def remaining_ms(self) -> int:
        """Return how long until the upstream may have been silent for too long."""
        if self.since is None:
            return self.check_after_ms
        return self.since + self.check_after_ms - self._clock.now()

    def has_lasted(self, span_ms: int) -> bool:
        """Tell whether the upstream has been silent for `span_ms`."""
        return self.since is not None and self._clock.now() - self.since >= span_ms


async def forward_until_silent(
    core: Core,
    attempt: Attempt,
    timer: SilenceTimer,
    forward: Callable[[Attempt, SilenceTimer], Awaitable[int]],
) -> int:
    """Return what `forward` returns; raise `AnswerBroken` for an upstream that is gone."""
    failure: Exception | None = None
    status: int | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_abort_when_silent, core, attempt, timer)
        try:
            status = await forward(attempt, timer)
        except (LinkError, RequestError, CallerDisconnected) as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if isinstance(failure, LinkError) and timer.attempt_aborted:
        raise AnswerBroken(attempt.detail or "silent for too long") from failure
    if failure is not None:
        raise failure
    return status


async def _abort_when_silent(core: Core, attempt: Attempt, timer: SilenceTimer) -> None:
    """Close the connection to an upstream that is silent and gone, or silent for too long.

    What has arrived by then is still passed on: only the wait for more ends, so that no event
    is lost between its arrival and its way to the client.
    """
    while True:
        await trio.sleep(max(MIN_CHECK_INTERVAL_MS, timer.remaining_ms()) / MS_PER_SECOND)
        if not timer.has_lasted(timer.check_after_ms):
            continue
        alive = await is_reachable(core, attempt)
        if timer.has_lasted(timer.check_after_ms) and (
            not alive or timer.has_lasted(MAX_SILENCE_MS)
        ):
            if attempt.conn is None:
                # Connecting has a limit of its own.
                continue
            core.journal.write(
                "upstream_silent",
                id=attempt.call.request,
                upstream=attempt.record.replica,
                reached=alive,
            )
            timer.attempt_aborted = True
            attempt.conn.abort()
            return
