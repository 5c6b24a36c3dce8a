"""Detect that this daemon has lost its links to all targets."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import TargetConnection
from cowslipcourse.reachability import choose_probed, reaches_targets

__all__ = ["ReachabilityMonitor", "accepts_connections"]

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
"""A healthy target accepts within a few ms."""
CHECK_INTERVAL_S = 0.25
MAX_SILENCE_S = 1.0
"""Time without any byte from targets, while requests are in flight, after which the
links are probed."""

log = get_logger(__name__)


async def accepts_connections(address):
    """Return whether a connection to a target can be opened.

    :param address: ``ip:port``
    """
    try:
        connection = await TargetConnection.connect(address, PROBE_TIMEOUT_S)
    except TargetUnreachable:
        return False
    connection.abort()
    return True


class ReachabilityMonitor:
    """Probes targets after failures that may be those of this daemon's own links.

    It implements :class:`~cowslipcourse.entry.unloaded_components.Reachability`.

    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param rng: :class:`random.Random`
    :param silent_s: callable that returns the seconds for which no target has sent
        anything although requests are in flight.
    :param probe: coroutine function like :func:`accepts_connections`.
    """

    def __init__(self, fleet, rng, silent_s, probe=accepts_connections):
        self._fleet = fleet
        self._rng = rng
        self._silent_s = silent_s
        self._probe = probe
        self._is_reachable = True
        self._doubted = asyncio.Event()
        self._round = None

    @property
    def is_reachable(self):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        return self._is_reachable

    def doubt(self):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        self._doubted.set()

    async def confirm(self):
        """Return whether this daemon reaches targets, by a round of probes."""
        if self._round is None:
            self._round = asyncio.create_task(self._probe_links())
            self._round.add_done_callback(self._end_round)
        await asyncio.shield(self._round)
        return self._is_reachable

    def _end_round(self, task):
        self._round = None

    async def run(self):
        """Probe the links whenever they are in doubt or lost, until cancelled."""
        while True:
            if self._is_reachable:
                await self._wait_for_doubt()
            self._doubted.clear()
            await self.confirm()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _wait_for_doubt(self):
        while not self._doubted.is_set() and self._silent_s() <= MAX_SILENCE_S:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._doubted.wait()
            except TimeoutError:
                continue

    async def _probe_links(self):
        probed = choose_probed(self._fleet.entries.values(), self._rng)
        results = await asyncio.gather(*(self._probe(e.address) for e in probed))
        reached_count = sum(results)
        was_reachable = self._is_reachable
        self._is_reachable = reaches_targets(was_reachable, len(probed), reached_count)
        if self._is_reachable == was_reachable:
            return
        log.warning(
            "targets-reachable" if self._is_reachable else "targets-unreachable",
            probed=len(probed),
            reached=reached_count,
        )
