"""What happened in a run of the soak of streams, by the clock that all its processes share."""

import json
import time
from pathlib import Path
from typing import Any

from skylarklift.clock import MS_PER_SECOND
from skylarklift.platform.store import RELEASE_TABLE
from standins.rows import RowStore, StoreCopy

# Events of the log of a run.
ROUTER_START, ROUTER_STOP = "router_start", "router_stop"


def now_ms() -> int:
    """Return the time of the machine's clock that never goes back."""
    return int(time.monotonic() * MS_PER_SECOND)


class RunLog:
    """A file with one JSON object for each thing that the soak does to its processes."""

    def __init__(self, path: Path):
        self._path = path

    def write(self, event: str, **fields: object) -> None:
        """Add a line with the time, an event and its fields."""
        line = json.dumps({"at_ms": now_ms(), "event": event, **fields})
        with self._path.open("a") as log:
            log.write(f"{line}\n")

    def read_lines(self) -> list[str]:
        """Return all lines."""
        return self._path.read_text().splitlines() if self._path.exists() else []


class LoggedStore(RowStore):
    """A store that logs the rows on software versions as they are performed, and restores."""

    def __init__(self, log: RunLog):
        super().__init__()
        self._log = log

    def write(self, table: str, key: str, data: bytes | None) -> int:
        """Write a row, or remove it if `data` is `None`; return the new version."""
        version = super().write(table, key, data)
        if table == RELEASE_TABLE and data is not None:
            row = json.loads(data)
            step = row["steps"][-1]
            step_age_ms = self.now_ms() - step["since_ms"]
            self._log.write(
                "row_written",
                subject=key,
                row_version=version,
                era=self.era,
                written_in=row.get("era"),
                replicas=step["replicas"],
                step_age_ms=step_age_ms,
                steps=len(row["steps"]),
            )
        return version

    async def transact_later(self, value: dict[str, Any], delay_s: float) -> bool:
        """Write and remove rows after a time."""
        is_release = any(row["table"] == RELEASE_TABLE for row in value["write"])
        if is_release:
            expected = [row["row_version"] for row in value["expected"]]
            self._log.write("write_put_off", expected=expected, delay_s=round(delay_s, 3))
        is_performed = await super().transact_later(value, delay_s)
        if is_release:
            self._log.write("late_write", expected=expected, is_performed=is_performed)
        return is_performed

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy."""
        super().restore(copy)
        self._log.write("store_restored", era=self.era, version=self.version)
