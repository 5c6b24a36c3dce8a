"""Tell whether a target has ended, after it closed connections under requests.

A connection that breaks says little: it may have been reset on the way, or the target
may have dropped it. A process that has ended leaves nobody who listens, so its host
refuses the next connection. A host that is lost or cut off refuses nothing, and a
target that was about to leave has ended as planned: neither says anything about the
requests that it ran.
"""

import asyncio
from collections import OrderedDict

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.exchange import TargetConnection

__all__ = ["TargetExitDetector", "refuses_connections"]

CONNECT_TIMEOUT_S = 0.4
"""A host that lives answers within some ms; a lost packet is sent again in a second."""
MAX_CONNECT_ATTEMPTS = 3
"""Connections that are tried while there is neither an answer nor a refusal."""
MAX_REMEMBERED_EXITS = 1_000
"""Lives whose end is remembered, about 200 KB: requests learn of one end together."""

log = get_logger(__name__)


async def refuses_connections(address):
    """Whether the host of an address lives, and nobody listens there.

    :param address: ``ip:port``
    """
    for _ in range(MAX_CONNECT_ATTEMPTS):
        try:
            connection = await TargetConnection.connect(address, CONNECT_TIMEOUT_S)
        except TargetUnreachable as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return True
            continue
        connection.abort()
        return False
    return False


class TargetExitDetector:
    """Looks into broken connections, once for all requests that they broke under.

    :param is_expected: callable that tells whether a target is listed with this
        incarnation and is
        not about to leave.
    :param check_refusal: coroutine function like :func:`refuses_connections`.
    """

    def __init__(self, is_expected, check_refusal=refuses_connections):
        self._is_expected = is_expected
        self._refuses_connections = check_refusal
        self._checks = {}
        self._ended = OrderedDict()

    def detect_exit(self, entry):
        """Return a task that tells whether this life of a target has ended by itself.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        """
        target_key = entry.id, entry.incarnation
        check = self._checks.get(target_key)
        if check is None:
            check = asyncio.create_task(self._has_ended(entry))
            self._checks[target_key] = check
            check.add_done_callback(lambda done: self._checks.pop(target_key, None))
        return check

    async def _has_ended(self, entry):
        target_key = entry.id, entry.incarnation
        if target_key in self._ended:
            return True
        if not self._is_expected(entry):
            return False
        if not await self._refuses_connections(entry.address):
            return False
        self._ended[target_key] = None
        if len(self._ended) > MAX_REMEMBERED_EXITS:
            self._ended.popitem(last=False)
        log.warning("target-ended", target=entry.id, incarnation=entry.incarnation)
        return True
