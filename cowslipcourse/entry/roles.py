"""Which parts a daemon takes for its data centre: reading the store, keeping groups."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peers import registration_order

__all__ = ["RoleAssignment", "is_settled"]

ROLE_CHECK_INTERVAL_S = 0.1
"""Interval at which a daemon looks whether it is a reporter."""
REGISTRATION_SETTLE_S = 0.6
"""Time after a daemon has registered until it takes a role. Those that registered
before it say so at once when they first hear it; one of those datagrams may be lost.
After all 195 daemons of a site had lost power, 45 of them took a role at the same
moment, each before it had heard who had registered earlier."""

log = get_logger(__name__)


def is_settled(completed_at, now):
    """Whether a daemon may have heard all who registered before it.

    :param finished_at: loop time at which it had registered and knew the others'
        addresses, or ``None``.
    :param now: loop time.
    """
    return completed_at is not None and now - completed_at >= REGISTRATION_SETTLE_S


class RoleAssignment:
    """Decides again and again which roles are this daemon's.

    It meets :class:`~cowslipcourse.entry.scope.CoordinationScope`.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param registry: :class:`~cowslipcourse.peers.PeerRegistry`
    :param registrar: :class:`~cowslipcourse.entry.registering.DaemonRegistrar`
    :param replica: has ``set_following(active)``.
    :param daemon: has ``heartbeat()`` and ``is_draining``.
    """

    def __init__(self, settings, registry, registrar, replica, daemon):
        self._settings = settings
        self._registry = registry
        self._registrar = registrar
        self._replica = replica
        self._daemon = daemon
        self._is_reporter = False
        self._first_reporters = {}

    @property
    def is_reporter(self):
        """Whether this daemon reads the store for its data centre, or stands by."""
        return self._is_reporter

    @property
    def coordinator_count(self):
        """Number of daemons that keep groups; 1 if none is known."""
        return max(1, len(self._first_reporters))

    def coordinates(self, data_centre):
        """Whether this daemon keeps the groups of a data centre's domains.

        :param data_centre: name of the data centre, or ``None`` if it is not known.
        """
        if not self._is_reporter or not self._first_reporters:
            return False
        coordinator = self._first_reporters.get(data_centre)
        if coordinator is None:
            coordinator = min(self._first_reporters.values(), key=registration_order)
        return coordinator.name == self._settings.name

    async def run(self):
        """Read the store only while this daemon speaks for its data centre."""
        loop = asyncio.get_running_loop()
        was_reporter = False
        while True:
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            now = loop.time()
            if not is_settled(self._registrar.completed_at, now):
                continue
            own = self._daemon.heartbeat()
            reporters = self._registry.reporters(own, now)
            is_reporter = self._is_reporter = own.member.name in reporters
            self._first_reporters = self._registry.first_reporter_by_data_centre(
                own, now
            )
            # Without any reporter everybody reads. The second one reads once the first
            # is late: two at once were half of a large site's calls to the store.
            self._replica.set_following(
                not reporters or self._registry.is_active_reporter(own, now)
            )
            if self._daemon.is_draining:
                continue
            if is_reporter and not was_reporter:
                log.info("reporting", data_centre=self._settings.data_centre)
                # Daemons elsewhere may have registered after this one had read.
                is_reporter = await self._registrar.read_registrations()
            was_reporter = is_reporter
