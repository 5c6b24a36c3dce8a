"""What the platform gives: table service, object store and VM list."""

from typing import Any, NamedTuple, Protocol

from cowslipcourse.fleet import VM

__all__ = ["ABSENT", "ObjectStore", "Row", "TableService", "Transaction", "VmList"]

ABSENT = 0
"""Row version that stands for a row that does not exist."""


class Row(NamedTuple):
    """One row of the table service.

    :param key: primary key.
    :param value: JSON object.
    :param version: grows with every commit, also over deletions.
    """

    key: str
    value: Any
    version: int


class Transaction(NamedTuple):
    """Writes that take effect together or not at all.

    :param conditions: expected version by key; :data:`ABSENT` for no row.
    :param writes: new value by key; ``None`` deletes the row.
    """

    conditions: dict[str, int]
    writes: dict[str, Any]


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if there is none.

        :raises StoreUnavailable: if the service did not answer.
        """

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with the prefix, in key order.

        :raises StoreUnavailable: if the service did not answer.
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

        :raises StoreUnavailable: if the store did not answer.
        """


class VmList(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def list_vms(self) -> list[VM]:
        """Return the VMs, with the platform's own labels.

        :raises StoreUnavailable: if the platform did not answer.
        """
