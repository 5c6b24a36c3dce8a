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

POLL_RETRY_S = 0.1
"""Delay of a full read after a failed poll for changes."""
SINGLE_READ_INTERVAL_S = 0.5
"""Shortest interval of reads that do not overlap."""
RECENT_FAILURE_S = 5.0
"""Time after a failed read for which a daemon leaves reading to others. It could learn
of a recovery only by reading again, and nobody coordinates meanwhile."""
OVERLAPPING_READ_INTERVAL_S = 0.25
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
        self._failure_began_at = 0.0
        self._unanswered_poll_at = None
        self._left_unanswered = False
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
    def left_unanswered(self):
        """Whether the last full read had no answer to earlier requests than its own."""
        return self._left_unanswered

    @property
    def unanswered_poll_at(self):
        """Loop time at which the last poll began, if the store has left nothing else
        unanswered while the table has been followed; ``None`` otherwise.
        """
        return self._unanswered_poll_at

    @property
    def failure_began_at(self):
        """Loop time at which the last failed read began; 0 without one."""
        return self._failure_began_at

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
        self._unanswered_poll_at = None
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
        while True:
            await self._active.wait()
            try:
                has_answer = await self._read_once()
            except HistoryDropped:
                log.warning("history-dropped", table=self._table, version=self._version)
                self._version = None
                continue
            except READ_ERRORS:
                await asyncio.sleep(POLL_RETRY_S)
                continue
            if not has_answer:
                continue
            if self._is_failing:
                log.info("store-regained", table=self._table)
            self._is_failing = self._is_unanswered = False
            self._unanswered_poll_at = None
            self._has_read = self._active.is_set()
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
        snapshot = await self._first_snapshot()
        if snapshot is None:
            return False
        self._on_snapshot(snapshot)
        # A full read that was requested meanwhile has to begin after the request.
        is_outdated = self._full_read_requested.is_set()
        self._version = None if is_outdated else snapshot.version
        self._has_snapshot = True
        return True

    async def _first_snapshot(self):
        """Read until a read succeeds; ``None`` once the table is not followed."""
        loop = asyncio.get_running_loop()
        began_at, reads = float("-inf"), set()
        try:
            while self._active.is_set():
                tick_ends_at = loop.time() + OVERLAPPING_READ_INTERVAL_S
                if reads:
                    self._unanswered_poll_at = None
                is_rested = loop.time() - began_at >= SINGLE_READ_INTERVAL_S
                if self._may_overlap or (not reads and is_rested):
                    began_at = loop.time()
                    reads.add(asyncio.create_task(self._read_table()))
                while reads and loop.time() < tick_ends_at:
                    done, reads = await asyncio.wait(
                        reads,
                        timeout=tick_ends_at - loop.time(),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for read in done:
                        with contextlib.suppress(*READ_ERRORS):
                            self._left_unanswered = bool(reads)
                            return read.result()
                await asyncio.sleep(tick_ends_at - loop.time())
        finally:
            await _cancel(*reads)
        return None

    async def _read_table(self):
        began_at = asyncio.get_running_loop().time()
        try:
            return await self._store.read_table(self._table)
        except READ_ERRORS as error:
            self._unanswered_poll_at = None
            self._record_failure(error, began_at)
            raise

    async def _read_changes(self):
        """Pass on the next changes, unless a full read is requested meanwhile."""
        known_version, began_at = self._version, asyncio.get_running_loop().time()
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
            if self._active.is_set():
                self._unanswered_poll_at = began_at
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
        if self._active.is_set() and not self._is_failing:
            self._is_failing = True
            log.warning("store-lost", table=self._table, error=error.code, why=error)


async def _cancel(*tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
