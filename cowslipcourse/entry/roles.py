"""Decide whether this daemon reads the store and coordinates groups."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peer_protocol import registration_order

__all__ = ["ReaderSelection", "RoleAssignment", "is_settled"]

ROLE_CHECK_INTERVAL_S = 0.1
"""Interval at which a daemon checks its roles."""
REGISTRATION_SETTLE_S = 0.6
"""Time between registration and taking a role. Daemons that registered earlier answer
the first heartbeat at once, but one of those datagrams may be lost. Without the delay,
45 of the 195 daemons of a site took a role at the same moment after a loss of power,
each before it had received who had registered earlier."""

PROVING_S = 2.5
"""Time after a change of the first reader for which others read the store too. A read
that gets no answer fails sooner."""
MAX_PROVING_READERS = 2
MAX_OUTAGE_READERS = 2
"""Daemons whose reads overlap while none is known to reach the store."""
THIRD_READER_DELAY_S = 0.5
"""Time after which a third daemon reads: two may have been cut off together."""

log = get_logger(__name__)


def is_settled(completed_at, now):
    """Whether a daemon has had time to receive all earlier registrations.

    :param completed_at: loop time at which it had registered and knew the addresses
        of the others, or ``None``.
    :param now: loop time.
    """
    return completed_at is not None and now - completed_at >= REGISTRATION_SETTLE_S


class ReaderSelection:
    """Selects the daemons of a data centre that read the store.

    Nobody knows of a daemon that has not read the store whether it reaches it, so more
    than one read until the first has had time to fail. Afterwards only the first reads:
    two readers per data centre caused half of a large site's calls to the store.
    """

    def __init__(self):
        self._first = None
        self._first_since = 0.0

    def selects(self, name, reading_order, now):
        """Whether a daemon reads the store; all do if none is known to be healthy.

        :param name: name of the daemon.
        :param reading_order: names of daemons that may read, the preferred one first.
        :param now: loop time.
        """
        if not reading_order:
            self._first = None
            return True
        if reading_order[0] != self._first:
            self._first, self._first_since = reading_order[0], now
        return name in reading_order[: self._reader_count(now - self._first_since)]

    def has_proven(self, now):
        """Whether the first reader has had time to fail, and reads the store."""
        return self._first is not None and now - self._first_since >= PROVING_S

    def _reader_count(self, elapsed_s):
        if elapsed_s >= PROVING_S:
            return 1
        return MAX_PROVING_READERS + (elapsed_s >= THIRD_READER_DELAY_S)


class RoleAssignment:
    """Determines the roles of this daemon periodically.

    It implements :class:`~cowslipcourse.entry.coordination_scope.CoordinationScope`.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param registry: :class:`~cowslipcourse.peer_protocol.PeerRegistry`
    :param registrar: :class:`~cowslipcourse.entry.daemon_registration.DaemonRegistrar`
    :param replica: has ``set_following(active, may_overlap)`` and
        ``note_peer_read()``.
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
        self._readers = ReaderSelection()

    @property
    def is_reporter(self):
        """Whether this daemon speaks for its data centre, or stands by to do so."""
        return self._is_reporter

    @property
    def coordinator_count(self):
        """Number of daemons that coordinate groups; 1 if none is known."""
        return max(1, len(self._first_reporters))

    def coordinates(self, data_centre):
        """Whether this daemon coordinates the domains of a data centre.

        :param data_centre: name of the data centre, or ``None`` if it is not known.
        """
        if not self._is_reporter or not self._first_reporters:
            return False
        coordinator = self._first_reporters.get(data_centre)
        if coordinator is None:
            coordinator = min(self._first_reporters.values(), key=registration_order)
        return coordinator.name == self._settings.name

    async def run(self):
        """Assign the roles until cancelled."""
        loop = asyncio.get_running_loop()
        was_reporter = False
        while True:
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            now = loop.time()
            if not is_settled(self._registrar.completed_at, now):
                continue
            own = self._daemon.heartbeat()
            reporters = self._registry.reporter_names(own, now)
            is_reporter = self._is_reporter = own.member.name in reporters
            self._first_reporters = self._registry.first_reporter_by_data_centre(
                own, now
            )
            self._assign_reading(own, now)
            if self._daemon.is_draining:
                continue
            if is_reporter and not was_reporter:
                log.info("reporting", data_centre=self._settings.data_centre)
                # Other daemons may have registered since this one last read.
                is_reporter = await self._registrar.read_registrations()
            was_reporter = is_reporter

    def _assign_reading(self, own, now):
        reading_order = self._registry.reading_order(own, now)
        name = own.member.name
        first_registered = self._registry.registered_names(own, now)[
            :MAX_OUTAGE_READERS
        ]
        may_overlap = name in reading_order or name in first_registered
        is_reader = self._readers.selects(name, reading_order, now)
        self._replica.set_following(is_reader, may_overlap)
        if reading_order[:1] != [name] and self._readers.has_proven(now):
            self._replica.note_peer_read()
