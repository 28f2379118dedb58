"""Load settings from a file that another program may be writing at the moment."""

import os
import time
from collections.abc import Callable
from typing import TypeVar

from skylarklift.clock import MS_PER_SECOND
from skylarklift.errors import SettingsError

# A file that can't be used when a process starts is read again for this long.
START_LIMIT_MS = 3000
RETRY_INTERVAL_MS = 50
# A file may be written in parts, and what has been written so far may be valid.
SETTLE_MS = 100

SettingsT = TypeVar("SettingsT")


def load_at_start(path: str, load: Callable[[], SettingsT]) -> SettingsT:
    """Return settings once their file is valid and settled.

    After `START_LIMIT_MS`, raise `SettingsError` if the file is invalid.
    """
    deadline = time.monotonic() + START_LIMIT_MS / MS_PER_SECOND
    while True:
        settled = has_settled(path)
        is_last = time.monotonic() >= deadline
        try:
            settings = load()
        except SettingsError:
            if is_last:
                raise
        else:
            if is_last or settled:
                return settings
        time.sleep(RETRY_INTERVAL_MS / MS_PER_SECOND)


def has_settled(path: str) -> bool:
    """Return whether a file was last changed at least `SETTLE_MS` ago.

    Also return true for a change in the future: the clock was set back since.
    """
    try:
        age_s = time.time() - os.stat(path).st_mtime
    except OSError:
        return False
    return age_s < 0 or age_s >= SETTLE_MS / MS_PER_SECOND
