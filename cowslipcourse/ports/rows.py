"""Rows of the platform's store, with versions and a feed of changes."""

from typing import NamedTuple, Protocol

__all__ = ["RowChanges", "RowStore", "RowWrite", "StoredRow"]


class StoredRow(NamedTuple):
    """One row.

    :param key: key within its table.
    :param value: content; empty if deleted.
    :param version: version of the transaction that wrote it.
    :param deleted: whether the row was dropped (only in a feed).
    """

    key: str
    value: bytes
    version: int
    deleted: bool = False


class RowWrite(NamedTuple):
    """Write of one row, under a condition.

    :param table: table name.
    :param key: key within the table.
    :param value: new content.
    :param expected: version that the row must have, 0 for none; ``None`` for any.
    """

    table: str
    key: str
    value: bytes
    expected: int | None = None


class RowChanges(NamedTuple):
    """Rows and the version up to which they are complete.

    :param rows: tuple of :class:`StoredRow`.
    :param version: pass it on to hear of what changes next.
    """

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(Protocol):
    """The platform's transactional store.

    Versions are points in its history: see :func:`~cowslipcourse.ports.pack_version`.
    """

    @property
    def era(self):
        """Newest era that an answer has told; 0 as long as there is none."""

    async def read_table(self, table):
        """Return all rows of a table as :class:`RowChanges`.

        :raises StoreUnavailable: the store did not answer.
        """

    async def changes(self, table, after, wait_s):
        """Return :class:`RowChanges` once there is a change, or after a time.

        :param after: version up to which the table is known.
        :param wait_s: longest time to wait for a change.
        :raises HistoryDropped: the table must be read again.
        :raises StoreUnavailable: the store did not answer.
        """

    async def write(self, row_write):
        """Write one row and return its version.

        :param row_write: :class:`RowWrite`
        :raises ConditionFailed: nothing was written.
        :raises StoreUnavailable: nothing was written.
        :raises ReplyLost: the row may have been written, or may be later.
        """
