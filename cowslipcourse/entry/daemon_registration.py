"""Register this daemon in the store and read the other registrations."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedResponse, StoreError
from cowslipcourse.peer_protocol import (
    Registration,
    decode_registration,
    encode_registration,
)
from cowslipcourse.ports import RowWrite

__all__ = ["DaemonRegistrar"]

DAEMONS_TABLE = "daemons"
RETRY_INTERVAL_S = 0.5
REWRITE_SPREAD_S = 5.0
"""Time over which daemons spread rewrites of rows that the store may have lost."""

log = get_logger(__name__)


class DaemonRegistrar:
    """Writes this daemon's registration and reads those of the others.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param on_registrations: called with a list of
        :class:`~cowslipcourse.peer_protocol.Registration`.
    :param rng: :class:`random.Random`
    """

    def __init__(self, settings, store, on_registrations, rng):
        self._settings = settings
        self._store = store
        self._on_registrations = on_registrations
        self._rng = rng
        self._version = 0
        self._finished_at = None
        self._rewrite_requested = asyncio.Event()

    @property
    def version(self):
        """Store version at which this daemon registered; 0 until it has.

        It orders daemons by registration and does not change when the row is rewritten.
        """
        return self._version

    @property
    def completed_at(self):
        """Loop time at which the other registrations were first read, or ``None``."""
        return self._finished_at

    async def run(self):
        """Register, read the other registrations, and rewrite the row on request."""
        self._version = await self._register()
        while not await self.read_registrations():
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._finished_at = asyncio.get_running_loop().time()
        while True:
            await self._rewrite_requested.wait()
            self._rewrite_requested.clear()
            await asyncio.sleep(self._rng.uniform(0.0, REWRITE_SPREAD_S))
            await self._register()

    async def _register(self):
        """Write this daemon's row, retrying until it succeeds; return its version."""
        listen = self._settings.listen
        registration = Registration(listen.peer, self._settings.data_centre)
        content = encode_registration(registration)
        write = RowWrite(DAEMONS_TABLE, self._settings.name, content)
        while True:
            try:
                version = await self._store.write(write)
            except StoreError as error:
                log.warning("not-registered", error=error.code, why=error)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            log.info("registered", version=version)
            return version

    def rewrite_later(self):
        """Request a delayed rewrite of the row, which the store may have lost."""
        self._rewrite_requested.set()

    async def read_registrations(self):
        """Read the other registrations; return whether the read succeeded."""
        try:
            snapshot = await self._store.read_table(DAEMONS_TABLE)
        except StoreError as error:
            log.warning("daemons-not-read", error=error.code, why=error)
            return False
        registrations = []
        for row in snapshot.rows:
            try:
                registrations.append(decode_registration(row.value))
            except MalformedResponse as error:
                log.warning("registration-unreadable", daemon=row.key, why=error)
        self._on_registrations(registrations)
        return True
