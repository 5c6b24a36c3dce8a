"""Permits for probes of held parts, of which one at a time is under way at all daemons.

The first evaluator of a service permits them. A daemon asks for a permit when a request
with a held part comes; without an answer in time the request is refused.
"""

import asyncio

from cowslipcourse.peer_protocol import ProbeGrant, ProbeRequest
from cowslipcourse.quarantine_runtime.crash_reporting import service_evaluators

__all__ = ["ProbePermits"]

PERMIT_WAIT_S = 0.4
"""Time for which a request waits for a permit: longer than a round trip."""


class ProbePermits:
    """Asks for permits, and grants them to other daemons.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param holds: :class:`~cowslipcourse.quarantine.part_holds.PartHolds`
    """

    def __init__(self, peers, holds):
        self._peers = peers
        self._holds = holds
        self._grants = {}

    async def acquire(self, parts):
        """Return whether a request with some held parts may be sent as their probe.

        While one request waits for a permit, others with the same part are refused.

        :param parts: fingerprints.
        """
        if any(part in self._grants for part in parts):
            return False
        loop = asyncio.get_running_loop()
        grants = {part: loop.create_future() for part in parts}
        self._grants |= grants
        try:
            for part in parts:
                self._ask(part)
            async with asyncio.timeout(PERMIT_WAIT_S):
                await asyncio.gather(*grants.values())
        except TimeoutError:
            return False
        finally:
            for part in parts:
                del self._grants[part]
        return True

    def _ask(self, part):
        evaluator = service_evaluators(self._peers, part)[0]
        message = ProbeRequest(part, self._peers.address)
        if evaluator == self._peers.address:
            self.handle_request(message)
        else:
            self._peers.send(message, [evaluator])

    def handle_request(self, message):
        """Grant a permit if no other probe is under way.

        :param message: :class:`~cowslipcourse.peer_protocol.ProbeRequest`
        """
        now = asyncio.get_running_loop().time()
        if not self._holds.try_permit(message.part, now):
            return
        if message.address == self._peers.address:
            self.handle_grant(ProbeGrant(message.part))
        else:
            self._peers.send(ProbeGrant(message.part), [message.address])

    def handle_grant(self, message):
        """Use a permit.

        :param message: :class:`~cowslipcourse.peer_protocol.ProbeGrant`
        """
        grant = self._grants.get(message.part)
        if grant is not None and not grant.done():
            grant.set_result(None)
