"""Rows of the platform's store as routers see and pass them on, and who can provide them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from skylarklift.entry.model import RoutePlan, UpstreamRecord
from skylarklift.errors import SkylarkError
from skylarklift.ids import ReplicaId, ZoneId


class RowTable(Enum):
    """The tables that routers follow; the value goes on the wire between routers."""

    OPERATOR = 0
    UPSTREAMS = 1


class InvalidRow(SkylarkError):
    """A row that cannot be read; it says nothing, and the other rows hold."""


class ChangesUnavailable(SkylarkError):
    """The changes asked for are no longer kept; the table must be read whole."""


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row as of a version; `data` is `None` for a row that was removed."""

    key: str
    version: int
    data: bytes | None


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one table up to a version; `whole` where rows that are missing do not exist."""

    rows: list[RowChange]
    version: int
    complete: bool


@dataclass(frozen=True, slots=True)
class TableSummary:
    """What a router tells of one table.

    `cursor` is the version up to which it knows the table, `material` that of the last change
    that mattered, `digest` a number that depends on which rows exist, `age_ms` the time since
    the store confirmed all that.
    """

    version: int
    last_change_version: int
    digest: int
    age_ms: int


class TableComparison(Enum):
    """What news of another router mean for this one."""

    NOTHING_NEW = "nothing"
    SAME = "as_new"
    CHANGES_MISSING = "changes_missing"
    ROWS_DIFFER = "different"


@dataclass(frozen=True, slots=True)
class EvacuationRow:
    """An operator's order to send nothing to a zone, or its end."""

    zone: ZoneId
    active: bool


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """An entry of the list of upstreams; no record where it was removed."""

    replica: ReplicaId
    record: UpstreamRecord | None


class RowFormat(ABC):
    """How rows are written by those who own them."""

    @abstractmethod
    def table_name(self, table: RowTable) -> str:
        """Return the store's name of a table."""

    @abstractmethod
    def decode(
        self, table: RowTable, key: str, data: bytes | None
    ) -> RoutePlan | EvacuationRow | UpstreamRow | None:
        """Return what a row says, `None` where it concerns nobody here; raise `BadRow`."""


class RowSource(ABC):
    """A place to read rows from: the store, or another router."""

    @abstractmethod
    async def read_table(self, table: RowTable) -> RowPage:
        """Return all rows of a table."""

    @abstractmethod
    async def read_changes(self, table: RowTable, after: int, wait_ms: int) -> RowPage:
        """Return what changed after a version, waiting for a change; raise `HistoryLost`."""


class MemberStore(ABC):
    """Where routers note that they exist, so that those that start later find them."""

    @abstractmethod
    async def read_members(self) -> dict[str, str]:
        """Return the peer address of each noted router by its name."""

    @abstractmethod
    async def write_member(self, node: str, address: str | None) -> None:
        """Note a router's peer address, or remove the note."""
