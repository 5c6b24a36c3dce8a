"""Interface of the platform's store: versioned rows and a feed of changes."""

from typing import NamedTuple, Protocol

__all__ = ["RowChanges", "RowStore", "RowWrite", "StoredRow"]


class StoredRow(NamedTuple):
    """One row.

    :param key: key within its table.
    :param value: content; empty if deleted.
    :param version: version of the transaction that wrote it.
    :param deleted: whether the row was deleted (only in a feed).
    """

    key: str
    value: bytes
    version: int
    deleted: bool = False


class RowWrite(NamedTuple):
    """A conditional write of one row.

    :param table: table name.
    :param key: key within the table.
    :param value: new content.
    :param expected_version: version that the row must have; 0 for no row, ``None``
        for any.
    """

    table: str
    key: str
    value: bytes
    expected_version: int | None = None


class RowChanges(NamedTuple):
    """Rows and the version up to which they are complete.

    :param rows: tuple of :class:`StoredRow`.
    :param version: pass it to the next call to get later changes.
    """

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(Protocol):
    """The platform's transactional store.

    Versions are packed versions: see :func:`~cowslipcourse.ports.pack_version`.
    """

    @property
    def era(self):
        """Newest era that a response has stated; 0 as long as there is none."""

    async def read_table(self, table):
        """Return all rows of a table as :class:`RowChanges`.

        :raises StoreUnavailable: the store did not respond.
        """

    async def wait_for_changes(self, table, after, wait_s):
        """Return :class:`RowChanges` as soon as there is a change or the wait is over.

        :param after: version up to which the caller knows the table.
        :param wait_s: maximum wait for a change, in seconds.
        :raises HistoryDropped: the table must be read again.
        :raises StoreUnavailable: the store did not respond.
        """

    async def write(self, row_write):
        """Write one row and return its version.

        :param row_write: :class:`RowWrite`
        :raises ConditionFailed: nothing was written.
        :raises StoreUnavailable: nothing was written.
        :raises ReplyLost: the row may have been written, or may be later.
        """
