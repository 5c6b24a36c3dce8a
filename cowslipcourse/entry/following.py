"""Follow the platform's store: configuration and list of targets."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import (
    ConfigurationError,
    HistoryDropped,
    MalformedAnswer,
    StoreError,
)

__all__ = ["TableFollower"]

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.5
FED_S = 2.5
"""Time for which others must have told what changes: by then what lapsed in an outage
has come back, or is gone for them too."""
LATELY_S = 5.0
"""Time for which a daemon that the store refused leaves the reading to others. It would
find out only by trying again, and nobody coordinates meanwhile."""

log = get_logger(__name__)


class TableFollower:
    """Keeps up with one table and hands on what changes.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param settings: :class:`~cowslipcourse.entry.settings.StoreSettings`
    :param table: table name.
    :param take_all: called with all rows, as
        :class:`~cowslipcourse.ports.RowChanges`.
    :param take_changes: called with the version that was known and the changes.
    :param batch_s: pause between two reads, so that changes come together.
    """

    def __init__(self, store, settings, table, take_all, take_changes, batch_s):
        self._store = store
        self._settings = settings
        self._table = table
        self._take_all = take_all
        self._take_changes = take_changes
        self._batch_s = batch_s
        self._version = None
        self._failed_since = None
        self._failed_at = None
        self._fed_since = None
        self._has_read = False
        self._active = asyncio.Event()
        self._active.set()

    @property
    def is_current(self):
        """Whether the store answers."""
        return self._has_read and self._failed_since is None

    @property
    def was_unavailable(self):
        """Whether the store did not answer until now, and nobody told what changed."""
        return self._failed_since is not None and not self._was_fed()

    def _was_fed(self):
        if self._fed_since is None:
            return False
        return asyncio.get_running_loop().time() - self._fed_since >= FED_S

    def note_peer_update(self):
        """Note that another daemon has told what it read in the store."""
        if self._failed_since is not None and self._fed_since is None:
            self._fed_since = asyncio.get_running_loop().time()

    @property
    def has_failed_recently(self):
        """Whether the store refused this daemon a short while ago."""
        if self._failed_at is None:
            return False
        return asyncio.get_running_loop().time() - self._failed_at < LATELY_S

    def set_following(self, active):
        """Follow the store, or rest until told to go on."""
        if active == self._active.is_set():
            return
        log.info("following" if active else "resting", table=self._table)
        if active:
            self._version = None
            self._active.set()
        else:
            self._active.clear()

    def request_full_read(self):
        """Read the whole table instead of waiting for changes the next time."""
        self._version = None

    async def run(self):
        """Follow the table for ever."""
        retry_s = FIRST_RETRY_S
        while True:
            await self._active.wait()
            try:
                await self._step()
            except HistoryDropped:
                log.warning("history-dropped", table=self._table, version=self._version)
                self._version = None
                continue
            except (StoreError, ConfigurationError, MalformedAnswer) as error:
                self._note_failure(error)
                await asyncio.sleep(retry_s)
                retry_s = min(LONGEST_RETRY_S, retry_s * 2)
                continue
            if self._failed_since is not None:
                log.info("store-regained", table=self._table)
                self._failed_since = None
            retry_s = FIRST_RETRY_S
            await asyncio.sleep(self._batch_s)

    async def _step(self):
        if self._version is None or self._failed_since is not None:
            everything = await self._store.read_table(self._table)
            self._take_all(everything)
            self._version = everything.version
            self._has_read = True
            return
        after = self._version
        changes = await self._store.wait_for_changes(
            self._table, after, self._settings.feed_wait_s
        )
        if changes.rows:
            self._take_changes(after, changes)
        if self._version is not None:
            # Unless the whole table is to be read again by now.
            self._version = changes.version

    def _note_failure(self, error):
        self._fed_since = None
        self._failed_at = asyncio.get_running_loop().time()
        if self._failed_since is None:
            self._failed_since = asyncio.get_running_loop().time()
            log.warning("store-lost", table=self._table, error=error.code, why=error)
