"""Interfaces of the platform's table service, object store and VM list."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

ABSENT = 0


@dataclass(frozen=True)
class Row:
    """One row of the table service; each write of the row increases its `version`."""

    key: str
    value: Any
    version: int


@dataclass(frozen=True)
class Write:
    """One conditional write.

    `expect` is the version that the row must have, `ABSENT` if the row must not exist,
    or `None` for an unconditional write.  A `value` of `None` deletes the row.  The
    service removes a row with `keep_ms` that many milliseconds after the write.
    """

    key: str
    value: Any
    expect: int | None = None
    keep_ms: int | None = None


@dataclass(frozen=True)
class WriteResult:
    """The outcome of one write of a batch; on a conflict, `row` is the current row."""

    done: bool
    version: int = ABSENT
    row: Row | None = None


@dataclass(frozen=True)
class VM:
    """One entry of the platform's VM list: the IP address and whether the VM is leaving."""

    host: str
    leaving: bool


class TableStore(ABC):
    """The transactional table service."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row, or `None` if there is none."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with `prefix`, sorted by key."""

    @abstractmethod
    async def transact(self, writes: list[Write]) -> list[int]:
        """Apply all writes or none; return the new versions.

        Raises `StoreConflict` when a row does not have the expected version,
        `StoreUnavailable` when nothing was written, and `StoreAnswerLost` when it is
        unknown whether the writes took effect.
        """

    @abstractmethod
    async def write_each(self, writes: list[Write]) -> list[WriteResult]:
        """Apply each write independently, in one call."""


class ObjectStore(ABC):
    """The object store."""

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return an object, or `None` if there is none."""

    @abstractmethod
    async def put(self, key: str, body: bytes) -> None:
        """Write an object, replacing any previous content."""


class VMList(ABC):
    """The platform's list of live and leaving VMs, which may be out of date."""

    @abstractmethod
    async def list_vms(self) -> list[VM]:
        """Return all listed VMs."""
