"""Detection of targets whose process has exited while they ran requests.

A broken connection is weak evidence: it may have been reset on the way, or the target
may have closed it. After a process has exited nothing listens on its port, so its host
refuses the next connection, or whatever keeps the port open for the next process closes
it soon; a target that has too many connections resets further ones. A host that is
lost or unreachable refuses nothing, and a target that was about to leave has exited as
planned: neither says anything about the requests that it ran.
"""

import asyncio
from collections import OrderedDict

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.http_client import PortState, check_port

__all__ = ["TargetExitDetector", "refuses_connections"]

CONNECT_TIMEOUT_S = 0.4
"""A live host answers within some ms; a lost packet is retransmitted after a second."""
CLOSE_WAIT_S = CONNECT_TIMEOUT_S
"""Time for which a new connection must stay open; no request waits for it."""
MAX_CONNECT_ATTEMPTS = 3
"""Connection attempts while there is neither an answer nor a refusal."""
MAX_REMEMBERED_EXITS = 1_000
"""Exited incarnations that are remembered, about 200 KB: several requests ask about the
same exit."""

log = get_logger(__name__)


async def refuses_connections(address):
    """Return whether the host of an address is up and refuses connections there, or
    closes them soon.

    :param address: ``ip:port``
    """
    state, connection = await check_port(
        address, MAX_CONNECT_ATTEMPTS, CONNECT_TIMEOUT_S, CLOSE_WAIT_S
    )
    if connection is not None:
        connection.abort()
    return state is PortState.CLOSED


class TargetExitDetector:
    """Checks targets after broken connections, once for all affected requests.

    :param is_expected: callable that returns whether a target is listed with this
        incarnation and is not about to leave.
    :param check_refusal: coroutine function like :func:`refuses_connections`.
    """

    def __init__(self, is_expected, check_refusal=refuses_connections):
        self._is_expected = is_expected
        self._refuses_connections = check_refusal
        self._checks = {}
        self._exited = OrderedDict()

    def detect_exit(self, entry):
        """Return a task whose result is whether this incarnation has exited by itself.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        """
        target_key = entry.id, entry.incarnation
        check = self._checks.get(target_key)
        if check is None:
            check = asyncio.create_task(self._has_exited(entry))
            self._checks[target_key] = check
            check.add_done_callback(lambda done: self._checks.pop(target_key, None))
        return check

    async def _has_exited(self, entry):
        target_key = entry.id, entry.incarnation
        if target_key in self._exited:
            return True
        if not self._is_expected(entry):
            return False
        if not await self._refuses_connections(entry.address):
            return False
        self._exited[target_key] = None
        if len(self._exited) > MAX_REMEMBERED_EXITS:
            self._exited.popitem(last=False)
        log.warning("target-ended", target=entry.id, incarnation=entry.incarnation)
        return True
