"""HTTP client of the platform's store."""

import base64
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from cowslipcourse.exceptions import (
    ConditionFailed,
    HistoryDropped,
    MalformedResponse,
    ReplyLost,
    StoreUnavailable,
    TargetError,
    TargetUnreachable,
)
from cowslipcourse.http_client import HttpClient
from cowslipcourse.platform.eras import EraTracker
from cowslipcourse.platform.json_decoding import Count, decode_as
from cowslipcourse.ports import (
    RowChanges,
    StoredRow,
    era_of,
    pack_version,
    unpack_version,
)

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

_JSON = ((b"content-type", b"application/json"),)


class _WireRow(msgspec.Struct, frozen=True):
    key: str
    # Base64 in JSON; empty for a deleted row.
    value: bytes | None = None
    # Version of the transaction that wrote the row; at the top level of a response,
    # the newest version of the store.
    ver: Count = 0
    deleted: bool | None = None


class _WireRows(msgspec.Struct, frozen=True):
    rows: tuple[_WireRow, ...]
    ver: Count
    hasMore: bool | None = None  # noqa: N815


class RowPage(NamedTuple):
    """One page of rows.

    :param rows: :class:`~cowslipcourse.ports.StoredRow`
    :param version: newest packed version of the whole store.
    :param has_more: whether further keys follow.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool


class _WireWritten(msgspec.Struct, frozen=True):
    ver: Count


class HttpRowStore:
    """Implements :class:`~cowslipcourse.ports.RowStore`.

    All rows have the empty ``part``: a part's rate limits are far above what is
    written. ``ver`` of a response is the newest version of the whole store, ``ver``
    of a row that of the transaction which wrote it. Both are converted to packed
    versions, which the era orders first: see
    :func:`~cowslipcourse.ports.pack_version`.

    :param settings: :class:`~cowslipcourse.entry.settings.StoreSettings`
    """

    def __init__(self, settings):
        self._settings = settings
        self._http_client = HttpClient()
        self._era_tracker = EraTracker()

    @property
    def era(self):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        return self._era_tracker.newest

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        rows, version, start = [], None, ""
        while True:
            query = {"table": table, "part": "", "from": start, "limit": "500"}
            page = await self._get("/rows-get", query, self._settings.timeout_s)
            rows += page.rows
            # The first page's version: changes between pages are read from the feed.
            version = page.version if version is None else version
            if era_of(page.version) != era_of(version):
                raise StoreUnavailable(
                    "the store was restored to an older state while a table was read"
                )
            if not page.has_more or not page.rows:
                return RowChanges(tuple(rows), version)
            start = page.rows[-1].key + "\0"

    async def wait_for_changes(self, table, after, wait_s):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        self._require_current_era(after)
        query = {
            "table": table,
            "after": str(unpack_version(after)),
            "waitMs": str(int(wait_s * 1000)),
        }
        page = await self._get(
            "/rows-feed", query, wait_s + self._settings.feed_margin_s
        )
        # A newer era may have reached the same version with other changes.
        self._require_current_era(after)
        return RowChanges(page.rows, page.version)

    def _require_current_era(self, after):
        if era_of(after) != self._era_tracker.newest:
            raise HistoryDropped(f"version of era {era_of(after)}")

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        row = {"table": row_write.table, "part": "", "key": row_write.key}
        name = f"{row_write.table}/{row_write.key}"
        value = base64.b64encode(row_write.value).decode()
        expected = []
        if (
            row_write.expected_version
            and era_of(row_write.expected_version) != self._era_tracker.newest
        ):
            raise ConditionFailed([name])
        if row_write.expected_version is not None:
            expected = [{**row, "ver": unpack_version(row_write.expected_version)}]
        body = {"expected": expected, "puts": [{**row, "value": value}], "deletes": []}
        head, content = await self._post("/rows-tx", msgspec.json.encode(body))
        if head.status == CONDITION_FAILED:
            raise ConditionFailed([name])
        if head.status != 200:
            raise StoreUnavailable(f"store write failed with status {head.status}")
        try:
            era = self._era_tracker.observe(head)
            version = decode_as(_WireWritten, content, "/rows-tx response").ver
        except MalformedResponse as error:
            # The row was written, but at an unknown version.
            raise ReplyLost(str(error)) from error
        if row_write.expected_version and era_of(row_write.expected_version) != era:
            # Another era: the expected version was assigned a second time.
            raise ReplyLost(f"row written in era {era}")
        return pack_version(era, version)

    async def close(self):
        """Close the connections."""
        self._http_client.close()

    async def _post(self, path, body):
        settings = self._settings
        try:
            return await self._http_client.post(
                settings.address, path, settings.timeout_s, _JSON, body
            )
        except TargetUnreachable as error:
            if not error.sent:
                raise StoreUnavailable(str(error)) from error
            raise ReplyLost(str(error)) from error
        except TargetError as error:
            raise ReplyLost(str(error)) from error

    async def _get(self, path, query, timeout_s):
        try:
            head, content = await self._http_client.get(
                self._settings.address, f"{path}?{urlencode(query)}", timeout_s
            )
        except TargetError as error:
            raise StoreUnavailable(f"{path}: {error}") from error
        if head.status == HISTORY_DROPPED:
            raise HistoryDropped(path)
        if head.status != 200:
            raise StoreUnavailable(f"{path} failed with status {head.status}")
        try:
            return decode_rows(content, self._era_tracker.observe(head))
        except MalformedResponse as error:
            raise StoreUnavailable(f"{path}: {error}") from error


def decode_rows(content, era):
    """Decode a response into a :class:`RowPage`.

    :param content: JSON bytes.
    :param era: era of the store in the response.
    :raises MalformedResponse: the response cannot be decoded.
    """
    fields = decode_as(_WireRows, content, "rows")
    rows = tuple(_to_stored_row(row, era) for row in fields.rows)
    return RowPage(rows, pack_version(era, fields.ver), bool(fields.hasMore))


def _to_stored_row(fields, era):
    return StoredRow(
        key=fields.key,
        value=fields.value or b"",
        version=pack_version(era, fields.ver),
        deleted=bool(fields.deleted),
    )
