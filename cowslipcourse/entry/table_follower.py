"""Follow a table of the platform's store: snapshots and changes."""

import asyncio
import contextlib

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import (
    ConfigurationError,
    HistoryDropped,
    MalformedResponse,
    StoreError,
)

__all__ = ["TableFollower"]

INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 0.5
RECENT_FAILURE_S = 5.0
"""Time after a failed read for which a daemon leaves reading to others. It could learn
of a recovery only by reading again, and nobody coordinates meanwhile."""
READ_INTERVAL_S = 0.25
"""Interval of overlapping reads: a read that a silent store has not answered fails long
after the store has returned."""

READ_ERRORS = StoreError, ConfigurationError, MalformedResponse

log = get_logger(__name__)


class TableFollower:
    """Reads one table and passes its changes to callbacks.

    What it has seen of the store counts only while it follows the table: it may have
    changed when the table is followed again.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param settings: :class:`~cowslipcourse.entry.settings.StoreSettings`
    :param table: table name.
    :param on_snapshot: called with all rows, as
        :class:`~cowslipcourse.ports.RowChanges`.
    :param on_changes: called with the changes.
    :param batch_s: seconds between two reads, so that changes are batched.
    """

    def __init__(self, store, settings, table, on_snapshot, on_changes, batch_s):
        self._store = store
        self._settings = settings
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._batch_s = batch_s
        self._version = None
        self._failed_at = None
        self._is_unanswered = False
        self._answered_peer_at = None
        self._failure_began_at = None
        self._is_failing = False
        self._has_snapshot = False
        self._has_read = False
        self._may_overlap = False
        self._active = asyncio.Event()
        self._active.set()
        self._full_read_requested = asyncio.Event()

    @property
    def is_current(self):
        """Whether the last read succeeded."""
        return self._has_snapshot and not self._is_failing

    @property
    def has_read(self):
        """Whether a read has succeeded since the table has been followed."""
        return self._has_read

    @property
    def is_failing(self):
        """Whether reads have failed, and none has succeeded since."""
        return self._is_failing

    @property
    def has_failed_recently(self):
        """Whether a read has failed within ``RECENT_FAILURE_S``."""
        if self._failed_at is None:
            return False
        return asyncio.get_running_loop().time() - self._failed_at < RECENT_FAILURE_S

    @property
    def may_be_lost(self):
        """Whether the last read has failed, and did so recently."""
        return self._is_unanswered and self.has_failed_recently

    @property
    def answered_peer_at(self):
        """Loop time at which the store is first known to have answered another daemon
        after the beginning of the last failed read, or ``None``.
        """
        return self._answered_peer_at

    @property
    def failure_began_at(self):
        """Loop time at which the last failed read began, or ``None``."""
        return self._failure_began_at

    def note_peer_read(self):
        """Record that the store answers another daemon."""
        if self._is_unanswered and self._answered_peer_at is None:
            self._answered_peer_at = asyncio.get_running_loop().time()

    def set_following(self, active, may_overlap=False):
        """Start or suspend following the table.

        :param may_overlap: whether it is read again before earlier reads have ended.
        """
        self._may_overlap = may_overlap
        if active == self._active.is_set():
            return
        log.info("following" if active else "resting", table=self._table)
        self._is_failing = active and self.may_be_lost
        self._has_read = False
        if active:
            self._version = None
            self._active.set()
        else:
            self._active.clear()

    def request_full_read(self):
        """Read the whole table now instead of waiting for changes."""
        self._version = None
        self._full_read_requested.set()

    async def read_now(self):
        """Read the whole table now, also if it is no longer followed.

        :returns: whether it has been read; a followed one is read until that succeeds.
        """
        if self._active.is_set():
            self.request_full_read()
            return True
        try:
            snapshot = await self._store.read_table(self._table)
        except READ_ERRORS as error:
            log.warning("not-read-again", table=self._table, error=error.code)
            return False
        self._on_snapshot(snapshot)
        self._is_unanswered = False
        return True

    async def run(self):
        """Follow the table until cancelled."""
        retry_s = INITIAL_RETRY_S
        while True:
            await self._active.wait()
            try:
                has_answer = await self._read_once()
            except HistoryDropped:
                log.warning("history-dropped", table=self._table, version=self._version)
                self._version = None
                continue
            except READ_ERRORS:
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            if not has_answer:
                continue
            if self._is_failing:
                log.info("store-regained", table=self._table)
            self._is_failing = self._is_unanswered = False
            self._has_read = self._active.is_set()
            retry_s = INITIAL_RETRY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._batch_s):
                    await self._full_read_requested.wait()

    async def _read_once(self):
        """Read a snapshot or changes; return whether the store has answered."""
        if self._version is None or self._is_failing:
            return await self._read_snapshot()
        return await self._read_changes()

    async def _read_snapshot(self):
        self._full_read_requested.clear()
        if self._may_overlap:
            snapshot = await self._read_overlapping()
        else:
            snapshot = await self._read_table()
        if snapshot is None:
            return False
        self._on_snapshot(snapshot)
        self._version = snapshot.version
        self._has_snapshot = True
        return True

    async def _read_overlapping(self):
        """Return the first snapshot, or ``None`` once the table is not followed."""
        loop = asyncio.get_running_loop()
        reads = set()
        try:
            while self._active.is_set():
                next_read_at = loop.time() + READ_INTERVAL_S
                reads.add(asyncio.create_task(self._read_table()))
                while reads and loop.time() < next_read_at:
                    done, reads = await asyncio.wait(
                        reads,
                        timeout=next_read_at - loop.time(),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for read in done:
                        with contextlib.suppress(*READ_ERRORS):
                            return read.result()
                await asyncio.sleep(next_read_at - loop.time())
        finally:
            await _cancel(*reads)
        return None

    async def _read_table(self):
        began_at = asyncio.get_running_loop().time()
        try:
            return await self._store.read_table(self._table)
        except READ_ERRORS as error:
            self._record_failure(error, began_at)
            raise

    async def _read_changes(self):
        """Pass on the next changes, unless a full read is requested meanwhile."""
        known_version = self._version
        feed = asyncio.create_task(
            self._store.wait_for_changes(
                self._table, known_version, self._settings.feed_wait_s
            )
        )
        requested = asyncio.create_task(self._full_read_requested.wait())
        try:
            await asyncio.wait((feed, requested), return_when=asyncio.FIRST_COMPLETED)
            if self._version is None:
                return False
            changes = await feed
        except READ_ERRORS as error:
            self._record_failure(error, asyncio.get_running_loop().time())
            raise
        finally:
            await _cancel(feed, requested)
        if changes.rows:
            self._on_changes(changes)
        if self._version is not None:
            # A full read may have been requested by a callback.
            self._version = changes.version
        return True

    def _record_failure(self, error, began_at):
        """Record a failed read.

        :param began_at: loop time at which the store had not answered yet.
        """
        if isinstance(error, HistoryDropped):
            return
        self._failed_at = asyncio.get_running_loop().time()
        self._failure_began_at = began_at
        self._is_unanswered = True
        if self._answered_peer_at is not None and self._answered_peer_at < began_at:
            self._answered_peer_at = None
        if self._active.is_set() and not self._is_failing:
            self._is_failing = True
            log.warning("store-lost", table=self._table, error=error.code, why=error)


async def _cancel(*tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
