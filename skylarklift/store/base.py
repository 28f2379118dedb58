"""What the platform's table service, object store and VM list offer, as base classes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

ABSENT = 0


@dataclass(frozen=True)
class Row:
    """One row of the table service; `version` grows by each write of the row."""

    key: str
    value: Any
    version: int


@dataclass(frozen=True)
class Write:
    """One conditional write.

    `expect` is the version that the row must have, `ABSENT` for no row, or `None`
    for any.  `value` is `None` to delete.  A row with `keep_ms` is removed by the
    service that long after the write.
    """

    key: str
    value: Any
    expect: int | None = None
    keep_ms: int | None = None


@dataclass(frozen=True)
class WriteResult:
    """The outcome of one write of a batch; `row` is the row found on a conflict."""

    done: bool
    version: int = ABSENT
    row: Row | None = None


@dataclass(frozen=True)
class VM:
    """One VM of the platform's list: its IP number and whether it is leaving."""

    host: str
    leaving: bool


class TableStore(ABC):
    """The transactional table service."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row, or `None` if there is none."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with `prefix`, in the order of their keys."""

    @abstractmethod
    async def transact(self, writes: list[Write]) -> list[int]:
        """Do all writes or none; return the new versions.

        Raises `StoreConflict` when a row is not as expected, `StoreUnavailable`
        when nothing was written, `StoreAnswerLost` when that is not known.
        """

    @abstractmethod
    async def write_each(self, writes: list[Write]) -> list[WriteResult]:
        """Do each write by itself, in one call."""


class ObjectStore(ABC):
    """The object store."""

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return an object, or `None` if there is none."""

    @abstractmethod
    async def put(self, key: str, body: bytes) -> None:
        """Write an object whole."""


class VMList(ABC):
    """The platform's list of live and leaving VMs, which lags."""

    @abstractmethod
    async def list_vms(self) -> list[VM]:
        """Return the VMs of the list."""
