"""Show the logs of a run of the soak of streams as one table of times, over all starts of routers.

Usage: python -m soak.timeline FOLDER [--request NAME] [--since MS] [--until MS]
"""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

RUN_LOG = "run.log"
REPLICA_LOG = "replicas.log"
# Events of routers that concern the versions of all streams.
RELEASE_EVENTS = ("start", "store_era", "release_step", "release_sync_failed")
# Fields that tell when and where.
PLACE_FIELDS = ("ms", "at_ms", "node", "event", "monotonic_ms")


@dataclass(frozen=True, order=True)
class Record:
    """What happened where, at a time of the clock that all processes share."""

    at_ms: int
    place: str
    event: str
    fields: str

    def describe(self) -> str:
        """Return the record as a line."""
        return f"{self.at_ms:>12}  {self.place:<8}  {self.event:<20}  {self.fields}"


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects in a file; a process may have been killed as it wrote one."""
    with path.open(errors="replace") as log:
        for line in log:
            try:
                yield json.loads(line)
            except ValueError:
                continue


def make_record(at_ms: int, place: str, event: str, line: dict[str, Any]) -> Record:
    """Return the record of a line."""
    shown = {name: value for name, value in line.items() if name not in PLACE_FIELDS}
    return Record(at_ms, place, event, json.dumps(shown))


def read_router_log(path: Path) -> Iterator[Record]:
    """Yield the records of a router over all its starts, each with a clock of its own."""
    offset_ms = None
    for line in read_lines(path):
        if line.get("event") == "start":
            offset_ms = line["monotonic_ms"] - line["ms"]
        # A process that ends before it serves logs that without a time.
        if offset_ms is not None and "event" in line and "ms" in line:
            yield make_record(line["ms"] + offset_ms, line["node"], line["event"], line)


def read_records(folder: Path) -> list[Record]:
    """Return the records of a run, the oldest first."""
    found: list[Record] = []
    for path in sorted(folder.glob("*.log")):
        if path.name == RUN_LOG:
            found += [
                make_record(line["at_ms"], "soak", line["event"], line) for line in read_lines(path)
            ]
        elif path.name == REPLICA_LOG:
            found += [
                make_record(line["at_ms"], "replica", "run", line)
                for line in read_lines(path)
                if "at_ms" in line
            ]
        elif path.with_suffix(".conf").exists():
            found += read_router_log(path)
    return sorted(found)


def choose_records(records: Iterable[Record], request: str) -> Iterator[Record]:
    """Yield the records of one request, and those that concern the versions of all streams."""
    for record in records:
        if record.place == "soak" or record.event in RELEASE_EVENTS:
            yield record
        elif request and (f'"{request}"' in record.fields or f'"{request}t' in record.fields):
            yield record


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="soak.timeline", description=__doc__)
    parser.add_argument("folder", type=Path, help="folder that a run has kept")
    parser.add_argument("--request", default="", help="name of the request to show")
    parser.add_argument("--since", type=int, default=0, help="the first time, in ms")
    parser.add_argument("--until", type=int, default=sys.maxsize, help="the last time, in ms")
    arguments = parser.parse_args()
    for record in choose_records(read_records(arguments.folder), arguments.request):
        if arguments.since <= record.at_ms <= arguments.until:
            print(record.describe())
    return 0


if __name__ == "__main__":
    sys.exit(main())
