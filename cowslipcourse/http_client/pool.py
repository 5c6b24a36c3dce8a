"""New connections to targets, and the pool of idle ones."""

import asyncio
import enum
from collections import deque
from typing import NamedTuple

from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client.connection import TargetConnection

__all__ = ["ConnectionPool", "PortCheck", "PortState", "check_port"]

KEEP_ALIVE_MARGIN_S = 0.6
"""A connection expires this long before the target closes it, as a request must not
cross the close on the wire."""
DEFAULT_KEEP_ALIVE_S = 1.0
"""Lifetime of an idle connection if the target states no ``Keep-Alive`` timeout."""
MAX_IDLE_PER_TARGET = 16
"""Limit of idle connections to one target."""


class PortState(enum.Enum):
    """What a host does with a new connection."""

    OPEN = "open"
    """It accepts it; one that it resets then has met a process with too many."""
    CLOSED = "closed"
    """It refuses it, or accepts and closes it."""
    UNANSWERED = "unanswered"


class PortCheck(NamedTuple):
    """Result of a check.

    :param state: :class:`PortState`
    :param connection: the :class:`TargetConnection` that was accepted, or ``None``.
    """

    state: PortState
    connection: object = None


async def check_port(address, max_attempts, connect_timeout_s, open_s):
    """Connect to an address and see whether the connection stays open.

    :param address: ``ip:port``
    :param max_attempts: connection attempts while there is neither an answer nor a
        refusal.
    :param connect_timeout_s: time limit of each of them, in seconds.
    :param open_s: time for which the connection must stay open, in seconds.
    :returns: :class:`PortCheck`
    """
    for _ in range(max_attempts):
        try:
            connection = await TargetConnection.connect(address, connect_timeout_s)
        except TargetUnreachable as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return PortCheck(PortState.CLOSED)
            continue
        is_closed = await connection.is_closed_within(open_s)
        state = PortState.CLOSED if is_closed else PortState.OPEN
        return PortCheck(state, connection)
    return PortCheck(PortState.UNANSWERED)


class ConnectionPool:
    """Keeps idle connections to targets by instance.

    :param connect_timeout_s: maximum time to connect, in seconds, or ``None``.
    """

    def __init__(self, connect_timeout_s):
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_key = {}

    async def acquire(self, key, address, force_new=False):
        """Return a connection that can take a request.

        :param key: identifies the instance; instances do not share connections.
        :param address: ``ip:port``
        :param force_new: whether to open a new connection in any case.
        :raises TargetUnreachable: nothing was sent.
        """
        now = asyncio.get_running_loop().time()
        idle_connections = self._idle_by_key.get(key)
        while idle_connections and not force_new:
            connection = idle_connections.pop()
            if connection.is_reusable and now < _expires_at(connection):
                return connection
            connection.abort()
        return await TargetConnection.connect(address, self._connect_timeout_s)

    def release(self, key, connection):
        """Return a connection to the pool; close it if it is not reusable."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle_connections = self._idle_by_key.setdefault(key, deque())
        idle_connections.append(connection)
        if len(idle_connections) > MAX_IDLE_PER_TARGET:
            idle_connections.popleft().abort()

    def close_expired(self):
        """Close expired idle connections."""
        self.close_stale(self._idle_by_key.keys())

    def close_stale(self, live_keys):
        """Close expired idle connections and those to targets that are gone.

        :param live_keys: set of the keys of all present targets.
        """
        now = asyncio.get_running_loop().time()
        for key in list(self._idle_by_key):
            idle_connections = self._idle_by_key[key]
            while idle_connections and (
                key not in live_keys or now >= _expires_at(idle_connections[0])
            ):
                idle_connections.popleft().abort()
            if not idle_connections:
                del self._idle_by_key[key]

    def close(self):
        """Close all idle connections."""
        self.close_stale(frozenset())


def _expires_at(connection):
    lifetime_s = connection.keep_alive_s
    lifetime_s = (
        DEFAULT_KEEP_ALIVE_S if lifetime_s is None else lifetime_s - KEEP_ALIVE_MARGIN_S
    )
    return connection.idle_since + lifetime_s
