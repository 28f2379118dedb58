"""Notice an upstream that is silent, and give it up where the request may go on elsewhere."""

from collections.abc import Awaitable, Callable
from contextlib import contextmanager

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.caller import CallerGone
from skylarklift.entry.core import Core
from skylarklift.entry.sending import Send, reaches
from skylarklift.errors import AnswerBroken, LinkError, RequestError

LOOK_AT_LEAST_MS = 100
# An upstream that takes connections and still says nothing is given up after this long.
GIVE_UP_MS = 1800


class Silence:
    """Since when a router waits for an upstream, and how long it may before it looks.

    `given_up` tells that the upstream was silent for too long.
    """

    def __init__(self, clock: Clock, limit_ms: int):
        self._clock = clock
        self.limit_ms = limit_ms
        self.since: Millis | None = None
        self.given_up = False

    @contextmanager
    def waiting(self):
        """Note the time of the block as waiting for the upstream."""
        self.since = self._clock.now()
        try:
            yield
        finally:
            self.since = None

    def left_ms(self) -> int:
        """Return how long until the upstream may have been silent for too long."""
        if self.since is None:
            return self.limit_ms
        return self.since + self.limit_ms - self._clock.now()

    def lasts(self, span_ms: int) -> bool:
        """Tell whether the upstream has been silent for `span_ms`."""
        return self.since is not None and self._clock.now() - self.since >= span_ms


async def guard(
    core: Core,
    send: Send,
    silence: Silence,
    forward: Callable[[Send, Silence], Awaitable[int]],
) -> int:
    """Return what `forward` returns; raise `AnswerBroken` for an upstream that is gone."""
    failure: Exception | None = None
    status: int | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, core, send, silence)
        try:
            status = await forward(send, silence)
        except (LinkError, RequestError, CallerGone) as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if isinstance(failure, LinkError) and silence.given_up:
        raise AnswerBroken(send.detail or "silent for too long") from failure
    if failure is not None:
        raise failure
    return status


async def _watch(core: Core, send: Send, silence: Silence) -> None:
    """Close the connection to an upstream that is silent and gone, or silent for too long.

    What has arrived by then is still passed on: only the wait for more ends, so that no event
    is lost between its arrival and its way to the client.
    """
    while True:
        await trio.sleep(max(LOOK_AT_LEAST_MS, silence.left_ms()) / MS_PER_SECOND)
        if not silence.lasts(silence.limit_ms):
            continue
        alive = await reaches(core, send)
        if silence.lasts(silence.limit_ms) and (not alive or silence.lasts(GIVE_UP_MS)):
            if send.link is None:
                # Connecting has a limit of its own.
                continue
            core.event_log.write(
                "upstream_silent",
                id=send.call.request,
                upstream=send.record.replica,
                reached=alive,
            )
            silence.given_up = True
            send.link.abort()
            return
