"""How the callers of the soak of streams behave, and which sizes of events they ask for."""

from dataclasses import dataclass, replace
from random import Random

import trio

from standins.stream_events import EVENT_BYTES, LARGE_EVENT_BYTES

READ_BYTES = 65536
SLOW_READ_BYTES = 100
SLOW_READ_PAUSE_S = 0.04
SMALL_BUFFER_BYTES = 4096
# A caller that pauses reads for the one time, then pauses for the other.
READING_S = (0.3, 2.5)
PAUSE_S = (0.3, 2.5)


@dataclass(frozen=True)
class LoadMix:
    """Which part of the callers pause, and which part of their streams are of which kind.

    `gaps` is the part with ids of events that have gaps, `unknown_resumes` that whose callers name
    a try that nobody made when they take a stream up.  `repeating` is the part of the callers that
    send an id again while its stream goes on, `whole_repeats` the part of these requests that ask
    for the whole stream, not for the rest.  With `keeps_links` all callers take a stream up
    elsewhere when it falls silent, and leave its earlier connection open.
    """

    pausing: float = 0.4
    large_if_pausing: float = 0.7
    large_if_not: float = 0.15
    gaps: float = 0.0
    unknown_resumes: float = 0.0
    repeating: float = 0.0
    whole_repeats: float = 0.0
    keeps_links: bool = False


PROMPT_MIX = LoadMix(pausing=0.0)
HEAVY_MIX = LoadMix(pausing=0.6, large_if_pausing=1.0, large_if_not=1.0)
ODD_MIX = LoadMix(gaps=0.2, unknown_resumes=0.3)
REPEAT_MIX = LoadMix(pausing=0.1, repeating=0.7, keeps_links=True)
WHOLE_REPEAT_MIX = replace(REPEAT_MIX, whole_repeats=0.5)
REPEAT_MIXES = {"rest": REPEAT_MIX, "whole": WHOLE_REPEAT_MIX}
ID_STEP = 7


@dataclass(frozen=True)
class Habits:
    """How one caller behaves.

    One that `pauses` has a small receive buffer, and now and then reads nothing for a while.
    """

    http_1_0: bool = False
    reads_slowly: bool = False
    overlaps: bool = False
    leaves_old_tries: bool = False
    takes_up_twice: bool = False
    repeats_ids: bool = False
    whole_repeats: float = 0.0
    pauses: bool = False
    large_ratio: float = 0.0

    @classmethod
    def draw(cls, rng: Random, mix: LoadMix) -> "Habits":
        """Return random habits."""
        pauses = rng.random() < mix.pausing
        return cls(
            http_1_0=rng.random() < 0.25,
            reads_slowly=rng.random() < 0.2,
            overlaps=rng.random() < 0.6 or mix.keeps_links,
            leaves_old_tries=rng.random() < 0.5 and not mix.keeps_links,
            takes_up_twice=rng.random() < 0.4,
            repeats_ids=mix.repeating > 0 and rng.random() < mix.repeating,
            whole_repeats=mix.whole_repeats,
            pauses=pauses,
            large_ratio=mix.large_if_pausing if pauses else mix.large_if_not,
        )

    def draw_event_bytes(self, rng: Random) -> int:
        """Return the size of the events of the next stream."""
        return LARGE_EVENT_BYTES if rng.random() < self.large_ratio else EVENT_BYTES


class Reader:
    """Reads the answers to one request, at the pace of its caller."""

    def __init__(self, habits: Habits, rng: Random, event_bytes: int):
        self._pauses = habits.pauses
        self._reads_slowly = habits.reads_slowly and event_bytes == EVENT_BYTES
        self._rng = rng
        self._pause_at = trio.current_time() + rng.uniform(*READING_S)

    async def receive(self, stream: trio.SocketStream) -> bytes:
        """Return the next bytes of a connection."""
        if self._pauses and trio.current_time() >= self._pause_at:
            await trio.sleep(self._rng.uniform(*PAUSE_S))
            self._pause_at = trio.current_time() + self._rng.uniform(*READING_S)
        if not self._reads_slowly:
            return await stream.receive_some(READ_BYTES)
        await trio.sleep(SLOW_READ_PAUSE_S)
        return await stream.receive_some(SLOW_READ_BYTES)
