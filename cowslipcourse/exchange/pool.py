"""Kept connections to targets."""

import asyncio
from collections import deque

from cowslipcourse.exchange.connection import TargetConnection

__all__ = ["ConnectionPool"]

KEEP_MARGIN_S = 0.6
"""Closed this long before the target would: a request must not cross its close."""
UNTOLD_KEEP_S = 1.0
"""Where the target does not say how long it keeps a connection."""
MOST_IDLE = 16
"""Idle connections kept to one target."""


class ConnectionPool:
    """Connections to targets by address and instance.

    :param connect_timeout_s: longest time to connect.
    """

    def __init__(self, connect_timeout_s):
        self._connect_timeout_s = connect_timeout_s
        self._idle = {}

    async def acquire(self, key, address, fresh=False):
        """Return a connection that can take a request.

        :param key: instance at the address; connections are not shared between them.
        :param address: ``ip:port``
        :param fresh: whether it must be new.
        :raises TargetUnreachable: nothing was sent.
        """
        now = asyncio.get_running_loop().time()
        kept = self._idle.get(key)
        while kept and not fresh:
            connection = kept.pop()
            if connection.is_reusable and now < _usable_until(connection):
                return connection
            connection.abort()
        return await TargetConnection.connect(address, self._connect_timeout_s)

    def release(self, key, connection):
        """Keep a connection whose exchange is over, or close it."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        kept = self._idle.setdefault(key, deque())
        kept.append(connection)
        if len(kept) > MOST_IDLE:
            kept.popleft().abort()

    def close_stale(self, live_keys):
        """Close what is too old to be used, and what leads to targets that left."""
        now = asyncio.get_running_loop().time()
        for key in list(self._idle):
            kept = self._idle[key]
            while kept and (key not in live_keys or now >= _usable_until(kept[0])):
                kept.popleft().abort()
            if not kept:
                del self._idle[key]

    def close(self):
        """Close all idle connections."""
        self.close_stale(frozenset())


def _usable_until(connection):
    keep_s = connection.keep_alive_s
    keep_s = UNTOLD_KEEP_S if keep_s is None else keep_s - KEEP_MARGIN_S
    return connection.idle_since + keep_s
