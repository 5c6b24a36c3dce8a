"""The platform's store over HTTP."""

import asyncio
import base64
from typing import NamedTuple

import aiohttp
import msgspec

from cowslipcourse.exceptions import (
    ConditionFailed,
    HistoryDropped,
    MalformedAnswer,
    ReplyLost,
    StoreUnavailable,
)
from cowslipcourse.platform.wire import Count, decode_as
from cowslipcourse.ports import RowChanges, StoredRow

__all__ = [
    "CONFIGURATION_TABLE",
    "TARGETS_TABLE",
    "HttpRowStore",
    "RowPage",
    "decode_rows",
]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"

CONDITION_FAILED = 412
HISTORY_DROPPED = 410

_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NETWORK = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class _WireRow(msgspec.Struct, frozen=True):
    key: str
    # JSON holds base64; empty for a row that was dropped.
    value: bytes | None = None
    # Of the transaction that wrote the row; in whole answers, of the newest one.
    ver: Count = 0
    deleted: bool | None = None


class _WireRows(msgspec.Struct, frozen=True):
    rows: tuple[_WireRow, ...]
    ver: Count
    hasMore: bool | None = None  # noqa: N815


class RowPage(NamedTuple):
    """Rows as one call returns them.

    :param rows: :class:`~cowslipcourse.ports.StoredRow`
    :param version: newest version of the whole store.
    :param has_more: whether further keys follow.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool


class _WireWritten(msgspec.Struct, frozen=True):
    ver: Count


class HttpRowStore:
    """Meets :class:`~cowslipcourse.ports.RowStore`.

    All rows have the empty ``part``: a part's rate limits are far above what is
    written. ``ver`` of an answer is the newest version of the whole store, ``ver`` of
    a row that of the transaction which wrote it.

    :param settings: :class:`~cowslipcourse.entry.settings.StoreSettings`
    """

    def __init__(self, settings):
        self._settings = settings
        self._session = None

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        rows, version, start = [], None, ""
        while True:
            query = {"table": table, "part": "", "from": start, "limit": "500"}
            page = await self._get("/rows-get", query, self._settings.timeout_s)
            rows += page.rows
            # The first page's version: what changes between pages is in the feed.
            version = page.version if version is None else version
            if not page.has_more or not page.rows:
                return RowChanges(tuple(rows), version)
            start = page.rows[-1].key + "\0"

    async def changes(self, table, after, wait_s):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        query = {"table": table, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        page = await self._get(
            "/rows-feed", query, wait_s + self._settings.feed_margin_s
        )
        return RowChanges(page.rows, page.version)

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        row = {"table": row_write.table, "part": "", "key": row_write.key}
        value = base64.b64encode(row_write.value).decode()
        expected = []
        if row_write.expected is not None:
            expected = [{**row, "ver": row_write.expected}]
        body = {"expected": expected, "puts": [{**row, "value": value}], "deletes": []}
        try:
            async with self._client().post(
                "/rows-tx",
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=self._settings.timeout_s),
            ) as response:
                content = await response.read()
        except _NOT_SENT as error:
            raise StoreUnavailable(repr(error)) from error
        except _NETWORK as error:
            raise ReplyLost(repr(error)) from error
        if response.status == CONDITION_FAILED:
            raise ConditionFailed([f"{row_write.table}/{row_write.key}"])
        if response.status != 200:
            raise StoreUnavailable(f"the store answered {response.status}")
        try:
            return decode_as(_WireWritten, content, "/rows-tx answer").ver
        except MalformedAnswer as error:
            # It was written, at a version that is not known.
            raise ReplyLost(str(error)) from error

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _client(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(f"http://{self._settings.address}")
        return self._session

    async def _get(self, path, query, timeout_s):
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=self._settings.timeout_s
        )
        try:
            async with self._client().get(
                path, params=query, timeout=timeout
            ) as response:
                content = await response.read()
        except _NETWORK as error:
            raise StoreUnavailable(repr(error)) from error
        if response.status == HISTORY_DROPPED:
            raise HistoryDropped(path)
        if response.status != 200:
            raise StoreUnavailable(f"{path} answered {response.status}")
        try:
            return decode_rows(content)
        except MalformedAnswer as error:
            raise StoreUnavailable(f"{path}: {error}") from error


def decode_rows(content):
    """Return the :class:`RowPage` in an answer.

    :param content: JSON bytes.
    :raises MalformedAnswer: it cannot be read.
    """
    fields = decode_as(_WireRows, content, "rows")
    rows = tuple(_row(row) for row in fields.rows)
    return RowPage(rows, fields.ver, bool(fields.hasMore))


def _row(fields):
    return StoredRow(
        key=fields.key,
        value=fields.value or b"",
        version=fields.ver,
        deleted=bool(fields.deleted),
    )
