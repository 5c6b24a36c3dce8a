"""Check whether the hosts of silent targets and relays still answer."""

import asyncio
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import TargetConnection

__all__ = ["HostChecks", "answers_nothing"]

CONNECT_TIMEOUT_S = 0.4
"""A healthy host accepts within a few ms."""
MAX_CONNECT_ATTEMPTS = 3
"""Connections in a row that a host must not answer before it counts as lost: a single
packet may be."""
RESULT_VALID_S = 1.0
"""Time for which the result of a check holds. A paused process accepts none of the
connections that its host queues, so they must be few."""

log = get_logger(__name__)


async def answers_nothing(address, connect=TargetConnection.connect):
    """Return whether a host neither accepts nor refuses any of several connections.

    A host that is up accepts connections for a paused process, or refuses them while
    its process finishes its work, and ends those of a process that has ended.

    :param address: ``ip:port``
    :param connect: coroutine function like :meth:`TargetConnection.connect`.
    """
    for _ in range(MAX_CONNECT_ATTEMPTS):
        try:
            connection = await connect(address, CONNECT_TIMEOUT_S)
        except TargetUnreachable as error:
            if isinstance(error.__cause__, ConnectionError):
                return False
            continue
        connection.abort()
        return False
    return True


class _Result(NamedTuple):
    is_lost: bool
    expires_at: float


class HostChecks:
    """Checks hosts in tasks, one at a time for each process, and keeps the results.

    :param check: coroutine function that takes an ``ip:port`` and returns whether the
        host is known to be lost.
    """

    def __init__(self, check):
        self._check = check
        self._running = {}
        self._results = {}

    def is_lost(self, entry, now):
        """Whether the host of a process is known to be lost; a check begins if needed.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry` or
            :class:`~cowslipcourse.entry.attempts.RelayPeer`
        :param now: loop time.
        """
        key = entry.id, entry.incarnation
        result = self._results.get(key)
        if result is not None and now < result.expires_at:
            return result.is_lost
        if key not in self._running:
            self._running[key] = asyncio.create_task(self._run(key, entry))
        return False

    async def _run(self, key, entry):
        try:
            is_lost = await self._check(entry.address)
        except Exception:
            log.exception("host-check-failed", target=entry.id)
            is_lost = False
        finally:
            del self._running[key]
        now = asyncio.get_running_loop().time()
        self._results = {
            each: result
            for each, result in self._results.items()
            if now < result.expires_at
        }
        self._results[key] = _Result(is_lost, now + RESULT_VALID_S)
        log.info("host-checked", target=entry.id, lost=is_lost)
