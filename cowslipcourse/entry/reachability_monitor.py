"""Detect that this daemon has lost its links to all targets."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.host_checks import HostChecks, answers_nothing
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import TargetConnection
from cowslipcourse.reachability import choose_probed, reaches_targets

__all__ = ["ReachabilityMonitor", "accepts_connections"]

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
"""A healthy target accepts within a few ms."""
CHECK_INTERVAL_S = 0.25
CONFIRMATION_VALIDITY_S = 0.1
"""Time for which the result of a round of probes holds for further failures."""
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
    :param on_lost: called after each round of probes that finds the links lost.
    :param probe: coroutine function like :func:`accepts_connections`.
    :param probe_lost: coroutine function like :func:`answers_nothing`.
    """

    def __init__(
        self,
        fleet,
        rng,
        silent_s,
        on_lost,
        probe=accepts_connections,
        probe_lost=answers_nothing,
    ):
        self._fleet = fleet
        self._rng = rng
        self._silent_s = silent_s
        self._on_lost = on_lost
        self._probe = probe
        self._probe_lost = probe_lost
        self._hosts = HostChecks(self.check_host)
        self._is_reachable = True
        self._doubted = asyncio.Event()
        self._round = None
        self._confirmed_at = float("-inf")

    @property
    def is_reachable(self):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        return self._is_reachable

    @property
    def _is_in_doubt(self):
        """Whether the links are to be probed; a request may have found them lost."""
        is_silent = self._silent_s() > MAX_SILENCE_S
        return not self._is_reachable or self._doubted.is_set() or is_silent

    def doubt(self):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        self._doubted.set()

    async def confirm(self):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        now = asyncio.get_running_loop().time()
        if self._is_reachable and now - self._confirmed_at > CONFIRMATION_VALIDITY_S:
            await self._join_round()
        return self._is_reachable

    async def accepts_connections(self, address):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        return await self._probe(address)

    def is_host_lost(self, entry, now):
        """See :class:`~cowslipcourse.entry.unloaded_components.Reachability`."""
        return self._hosts.is_lost(entry, now)

    async def check_host(self, address):
        """Return whether a host answers nothing, while another accepts connections.

        :param address: ``ip:port``
        """
        if not self._is_reachable or not await self._probe_lost(address):
            return False
        entries = self._fleet.entries.values()
        others = [entry for entry in entries if entry.address != address]
        return await self._count_reached(choose_probed(others, self._rng)) > 0

    async def _join_round(self):
        """Wait for the present round of probes, or for a new one."""
        if self._round is None:
            self._round = asyncio.create_task(self._probe_links())
            self._round.add_done_callback(self._end_round)
        await asyncio.shield(self._round)

    def _end_round(self, task):
        self._round = None
        self._confirmed_at = asyncio.get_running_loop().time()

    async def run(self):
        """Probe the links whenever they are in doubt or lost, until cancelled."""
        while True:
            await self._wait_for_doubt()
            self._doubted.clear()
            await self._join_round()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _wait_for_doubt(self):
        while not self._is_in_doubt:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._doubted.wait()
            except TimeoutError:
                continue

    async def _probe_links(self):
        probed = choose_probed(self._fleet.entries.values(), self._rng)
        reached_count = await self._count_reached(probed)
        was_reachable = self._is_reachable
        self._is_reachable = reaches_targets(was_reachable, len(probed), reached_count)
        if not self._is_reachable:
            self._on_lost()
        if self._is_reachable == was_reachable:
            return
        log.warning(
            "targets-reachable" if self._is_reachable else "targets-unreachable",
            probed=len(probed),
            reached=reached_count,
        )

    async def _count_reached(self, probed):
        """Return how many targets accept connections.

        While the links are not known to be lost, one success is enough to know.
        """
        tasks = [asyncio.create_task(self._probe(entry.address)) for entry in probed]
        reached_count = 0
        try:
            for task in asyncio.as_completed(tasks):
                reached_count += await task
                if self._is_reachable and reached_count:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return reached_count
