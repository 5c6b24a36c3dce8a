"""Follow a table of the platform's store: snapshots and changes."""

import asyncio

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
PEER_FEED_S = 2.5
"""Time for which peers must have sent the changes: by then entries that lapsed in an
outage have come back, or peers have seen their removal."""
RECENT_FAILURE_S = 5.0
"""Time after a failed read for which a daemon leaves reading to others. It could learn
of a recovery only by reading again, and nobody coordinates meanwhile."""

READ_AGAIN_POLL_S = 0.05

log = get_logger(__name__)


class TableFollower:
    """Reads one table and passes its changes to callbacks.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param settings: :class:`~cowslipcourse.entry.settings.StoreSettings`
    :param table: table name.
    :param on_snapshot: called with all rows, as
        :class:`~cowslipcourse.ports.RowChanges`.
    :param on_changes: called with the previously known version and the changes.
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
        self._failed_since = None
        self._failed_at = None
        self._peer_fed_since = None
        self._has_snapshot = False
        self._active = asyncio.Event()
        self._active.set()

    @property
    def is_current(self):
        """Whether the last read succeeded."""
        return self._has_snapshot and self._failed_since is None

    @property
    def was_unavailable(self):
        """Whether reads failed until now and no peer sent the changes meanwhile."""
        return self._failed_since is not None and not self._is_fed_by_peers()

    def _is_fed_by_peers(self):
        if self._peer_fed_since is None:
            return False
        return asyncio.get_running_loop().time() - self._peer_fed_since >= PEER_FEED_S

    def note_peer_update(self):
        """Record that a peer has sent changes that it read from the store."""
        if self._failed_since is not None and self._peer_fed_since is None:
            self._peer_fed_since = asyncio.get_running_loop().time()

    @property
    def has_failed_recently(self):
        """Whether a read has failed within ``RECENT_FAILURE_S``."""
        if self._failed_at is None:
            return False
        return asyncio.get_running_loop().time() - self._failed_at < RECENT_FAILURE_S

    def set_following(self, active):
        """Start or suspend following the table."""
        if active == self._active.is_set():
            return
        log.info("following" if active else "resting", table=self._table)
        if active:
            self._version = None
            self._active.set()
        else:
            self._active.clear()

    def request_full_read(self):
        """Read the whole table next time instead of waiting for changes."""
        self._version = None

    async def read_again(self):
        """Read the whole table once more, also if it is no longer followed."""
        self.request_full_read()
        while self._active.is_set():
            if self._version is not None:
                return
            await asyncio.sleep(READ_AGAIN_POLL_S)
        try:
            snapshot = await self._store.read_table(self._table)
        except (StoreError, MalformedResponse) as error:
            log.warning("not-read-again", table=self._table, error=error.code)
            return
        self._failed_since = None
        self._on_snapshot(snapshot)

    async def run(self):
        """Follow the table until cancelled."""
        retry_s = INITIAL_RETRY_S
        while True:
            await self._active.wait()
            try:
                await self._read_once()
            except HistoryDropped:
                log.warning("history-dropped", table=self._table, version=self._version)
                self._version = None
                continue
            except (StoreError, ConfigurationError, MalformedResponse) as error:
                self._record_failure(error)
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            if self._failed_since is not None:
                log.info("store-regained", table=self._table)
                self._failed_since = None
            retry_s = INITIAL_RETRY_S
            await asyncio.sleep(self._batch_s)

    async def _read_once(self):
        if self._version is None or self._failed_since is not None:
            snapshot = await self._store.read_table(self._table)
            self._on_snapshot(snapshot)
            self._version = snapshot.version
            self._has_snapshot = True
            return
        known_version = self._version
        changes = await self._store.wait_for_changes(
            self._table, known_version, self._settings.feed_wait_s
        )
        if changes.rows:
            self._on_changes(known_version, changes)
        if self._version is not None:
            # A full read may have been requested by a callback.
            self._version = changes.version

    def _record_failure(self, error):
        self._peer_fed_since = None
        self._failed_at = asyncio.get_running_loop().time()
        if self._failed_since is None:
            self._failed_since = asyncio.get_running_loop().time()
            log.warning("store-lost", table=self._table, error=error.code, why=error)
