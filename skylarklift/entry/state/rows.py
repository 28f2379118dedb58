"""Rows of the platform's store as routers read and exchange them, and the sources of rows."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NewType

from skylarklift.entry.model import RoutePlan, UpstreamRecord
from skylarklift.entry.rollouts.order import RolloutRow
from skylarklift.errors import SkylarkError
from skylarklift.ids import ReplicaId, ZoneId

if TYPE_CHECKING:
    from skylarklift.entry.rollouts.state import RolloutState, StoredRollout
    from skylarklift.entry.versions.release_rows import ReleaseReport


class RowTable(Enum):
    """The tables that routers follow; the values are sent between routers."""

    OPERATOR = 0
    UPSTREAMS = 1


Era = NewType("Era", int)
# The era of rows whose source names none.
NO_ERA = Era(0)
# The era of a store that was never restored.
FIRST_ERA = Era(1)


class InvalidRow(SkylarkError):
    """A row that cannot be decoded; it is skipped and the other rows are still applied."""


class ChangesUnavailable(SkylarkError):
    """The requested changes are no longer kept; the whole table must be read."""


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row at a version; `data` is `None` for the tombstone of a removed row."""

    key: str
    version: int
    data: bytes | None


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one table up to a version.

    If `complete` is true, the page holds every row that exists; else only changed rows.  `era`
    counts how often the store has been restored from an older copy.
    """

    rows: list[RowChange]
    version: int
    complete: bool
    era: Era = NO_ERA


@dataclass(frozen=True, slots=True)
class TableSummary:
    """A router's summary of one table, sent to the other routers.

    `version` is the version up to which the router knows the table.  `last_change_version` is
    the version of the last change other than a heartbeat.  `digest` is a hash of the keys of
    the existing rows.  `age_ms` is the time since the store confirmed the version.  Versions
    can be compared only within one `era`.
    """

    version: int
    last_change_version: int
    digest: int
    age_ms: int
    era: Era = NO_ERA


class TableComparison(Enum):
    """How another router's summary of a table compares with this router's copy."""

    NOTHING_NEW = "nothing"
    SAME = "as_new"
    CHANGES_MISSING = "changes_missing"
    ROWS_DIFFER = "different"


@dataclass(frozen=True, slots=True)
class EvacuationRow:
    """An operator's order to evacuate a zone, or the end of that order."""

    zone: ZoneId
    active: bool


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """An entry of the list of upstreams; `record` is `None` if it was removed."""

    replica: ReplicaId
    record: UpstreamRecord | None


class RowFormat(ABC):
    """How the platform encodes rows."""

    @abstractmethod
    def table_name(self, table: RowTable) -> str:
        """Return the name of a table in the store."""

    @abstractmethod
    def decode(
        self, table: RowTable, key: str, data: bytes | None
    ) -> RoutePlan | EvacuationRow | RolloutRow | UpstreamRow | None:
        """Return the decoded row, or `None` if routers do not use it; raise `InvalidRow`."""


class RowSource(ABC):
    """A source of rows, such as the store."""

    @abstractmethod
    async def read_table(self, table: RowTable) -> RowPage:
        """Return all rows of a table."""

    @abstractmethod
    async def read_changes(
        self, table: RowTable, after: int, wait_ms: int, era: Era = NO_ERA
    ) -> RowPage:
        """Return the changes after a version of an era, waiting up to `wait_ms` for one.

        Raise `ChangesUnavailable`, also if the store is in another era.
        """


class MemberStore(ABC):
    """The registry of routers, in which routers that start later find the others."""

    @abstractmethod
    async def read_members(self) -> dict[str, str]:
        """Return the peer address of each registered router by its name."""

    @abstractmethod
    async def write_member(self, node: str, address: str | None) -> None:
        """Register a router's peer address, or deregister the router if `address` is `None`."""


class ReleaseStore(ABC):
    """The rows that say in which proportions software versions begin streams."""

    @abstractmethod
    async def read_releases(self) -> "list[ReleaseReport]":
        """Return the rows of all services."""

    @abstractmethod
    async def write_release(self, report: "ReleaseReport") -> "ReleaseReport":
        """Write a service's row if its version is still the one named; return the row as it is."""


class RolloutStore(ABC):
    """The rows that hold the states of roll-outs."""

    @abstractmethod
    async def read_rollouts(self) -> "list[StoredRollout]":
        """Return the states of all services."""

    @abstractmethod
    async def write_rollout(
        self, state: "RolloutState", row_version: int
    ) -> "StoredRollout | None":
        """Write a state, and the status for the operator, if its row has this version.

        Return the row as it is in the store, `None` if there is none.
        """
