"""Play a part of a release with the routers of one build, as writers of the row and as its readers.

It runs with the packages of the current folder, and reads and prints JSON.

Usage: python build_releases.py play | resume, with a `Play` as JSON at its input
"""

import json
import sys
from dataclasses import dataclass, field, fields
from typing import Any

from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.state.rows import Era
from skylarklift.entry.versions import releases

try:
    from skylarklift.entry.versions import release_rows
except ImportError:
    # In earlier builds both are one module.
    release_rows = releases

SERVICE = "lm"
KEYS_PER_STEP = 10
LONGEST_MS = 15_000


@dataclass
class Play:
    """The row and the streams so far, and the numbers of replicas of which rows are to be written.

    `rows` holds the time and the data of each row, `streams` the key, the time and the version.
    """

    now: int
    era: int = 1
    gap_ms: int = 400
    rows: list[tuple[int, str]] = field(default_factory=list)
    streams: list[tuple[str, int, str]] = field(default_factory=list)
    counts: list[dict[str, int]] = field(default_factory=list)


def read_row(play: Play, known: Any) -> None:
    """Let a router read the row."""
    if not play.rows:
        return
    row = release_rows.decode_release_row(bytes.fromhex(play.rows[-1][1]), play.now)
    values = {
        "service": SERVICE,
        "row_version": len(play.rows),
        "steps": row.steps,
        "era": Era(play.era),
        "written_in": getattr(row, "written_in", None),
    }
    names = {item.name for item in fields(release_rows.ReleaseReport)}
    kept = {name: value for name, value in values.items() if name in names}
    known.apply(release_rows.ReleaseReport(**kept))
    known.confirm(0)


def start_router(play: Play, clock: ManualClock) -> Any:
    """Return what a router knows that starts now."""
    known = releases.Releases(clock)
    if hasattr(known, "note_era"):
        known.note_era(Era(play.era))
    read_row(play, known)
    return known


def encode_next(known: Any, counts: dict[str, int], now: int) -> bytes | None:
    """Return the row that a router writes, `None` if all is right."""
    if hasattr(known, "next_report"):
        report = known.next_report(SERVICE, counts)
        return None if report is None else release_rows.encode_report(report, now)
    steps = known.next_row(SERVICE, counts)
    return (
        None
        if steps is None
        else release_rows.encode_release_row(release_rows.ReleaseRow(steps), now)
    )


def play_release(play: Play) -> Play:
    """Write the rows of a part of a release, and let streams begin after each."""
    clock = ManualClock(Millis(play.now))
    known = start_router(play, clock)
    for counts in play.counts:
        data = encode_next(known, counts, play.now)
        if data is not None:
            play.rows.append((play.now, data.hex()))
        read_row(play, known)
        for number in range(KEYS_PER_STEP):
            key = f"k{play.now}-{number}"
            play.streams.append((key, play.now, known.assigned_version(SERVICE, key)))
        clock.advance(play.gap_ms)
        play.now += play.gap_ms
    play.counts = []
    return play


def resume(play: Play) -> list[tuple[str, str | None]]:
    """Return where the streams of late began, and may go on by a router that starts now."""
    known = start_router(play, ManualClock(Millis(play.now)))
    found = []
    for key, began_at, version in play.streams:
        if play.now - began_at <= LONGEST_MS:
            versions = known.began_at(SERVICE, key, play.now - began_at) or ()
            found.append((version, next(iter(versions)) if len(versions) == 1 else None))
    return found


if __name__ == "__main__":
    given = Play(**json.load(sys.stdin))
    print(json.dumps(vars(play_release(given)) if sys.argv[1] == "play" else resume(given)))
