"""Interfaces of the platform: table service, object store and VM list."""

from typing import Any, NamedTuple, Protocol

from cowslipcourse.fleet import VM

__all__ = ["ABSENT", "ObjectStore", "Row", "TableService", "Transaction", "VmList"]

ABSENT = 0
"""Version of a row that does not exist."""


class Row(NamedTuple):
    """One row of the table service.

    :param key: primary key.
    :param value: JSON object.
    :param version: increases with every commit, also across deletions.
    """

    key: str
    value: Any
    version: int


class Transaction(NamedTuple):
    """Conditional writes that are applied atomically.

    :param conditions: expected version by key; :data:`ABSENT` for no row.
    :param writes: new value by key; ``None`` deletes the row.
    """

    conditions: dict[str, int]
    writes: dict[str, Any]


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if there is none.

        :raises StoreUnavailable: if the service did not respond.
        """

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with the prefix, in key order.

        :raises StoreUnavailable: if the service did not respond.
        """

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the version of the rows written.

        :raises ConditionFailed: nothing was applied.
        :raises StoreUnavailable: nothing was applied.
        :raises ReplyLost: the transaction may have been applied.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object.

        :raises StoreError: the object may or may not have been stored.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none.

        :raises StoreUnavailable: if the store did not respond.
        """


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which lags behind."""

    async def list_vms(self) -> list[VM]:
        """Return the VMs, with the platform's labels.

        :raises StoreUnavailable: if the platform did not respond.
        """
