"""Keep the pauses of a replica's streams apart from suspensions of its process.

Either is as long as a sound replica may be silent; one right after the other would be longer.
"""

import fcntl
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


class PauseLock:
    """A lock of one replica: streams that pause share it, and a suspension excludes them."""

    def __init__(self, log: str | Path, replica: str):
        self._path = Path(f"{log}.{replica}.lock")

    @contextmanager
    def hold_for_pause(self) -> Iterator[bool]:
        """Hold it while a stream pauses; yield whether it may, as no suspension is near."""
        with self._held(fcntl.LOCK_SH) as held:
            yield held

    @contextmanager
    def hold_for_suspension(self) -> Iterator[bool]:
        """Hold it around a suspension; yield whether one may begin, as no stream pauses."""
        with self._held(fcntl.LOCK_EX) as held:
            yield held

    @contextmanager
    def _held(self, kind: int) -> Iterator[bool]:
        """Hold the lock if it is free; yield whether it is held."""
        with self._path.open("a") as file:
            try:
                fcntl.flock(file, kind | fcntl.LOCK_NB)
            except BlockingIOError:
                yield False
                return
            yield True
