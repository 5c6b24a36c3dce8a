"""What stands in the place of late components until they are loaded."""

from typing import Protocol

__all__ = [
    "AlwaysReachable",
    "NoRelays",
    "Reachability",
    "RelayService",
    "UnloadedCoordinator",
    "UnloadedSpeedExchange",
]


class Reachability(Protocol):
    """Whether this daemon reaches targets over its own links."""

    @property
    def is_reachable(self) -> bool:
        """Whether it reaches targets, as far as it knows."""

    def doubt(self) -> None:
        """Check the links soon, as a target has become silent."""

    async def confirm(self) -> bool:
        """Check the links after a connection to a target has failed.

        :returns: whether this daemon reaches targets.
        """

    async def accepts_connections(self, address) -> bool:
        """Whether the host of a target accepts a connection.

        :param address: ``ip:port``
        """

    def is_host_lost(self, entry, now) -> bool:
        """Whether a target's host is known to answer nothing, while others do.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param now: loop time.
        """


class AlwaysReachable:
    """Implements :class:`Reachability` as long as nothing checks the links."""

    is_reachable = True

    def doubt(self):
        """Ignore the doubt."""

    async def confirm(self):
        """Return that it reaches targets."""
        return True

    async def accepts_connections(self, address):
        """Return that it is not known."""
        return False

    def is_host_lost(self, entry, now):
        """Return that it is not known."""
        return False


class RelayService(Protocol):
    """Other daemons, which serve requests while this one reaches no targets."""

    def choose(self, tried_ids):
        """Return the :class:`~cowslipcourse.entry.attempts.RelayPeer` to send to.

        :param tried_ids: ids of the targets and peers that the request was sent to.
        :returns: ``None`` if no daemon is likely to serve the request.
        """

    def record_failure(self, peer) -> None:
        """Record that a peer has not served a request."""

    def open(self, call, run, last_event_id=None):
        """Send a request to the peer of a run, as an asynchronous context."""


class NoRelays:
    """Implements :class:`RelayService` as long as relays are not loaded.

    It chooses no peer, so nothing is ever sent to one.
    """

    def choose(self, tried_ids):
        """Return no peer."""


class _UnobservedDomains:
    def update_entries(self, entries):
        """Ignore entries; the tracker gets all of them when it is built."""

    def mark_unlisted(self, ids):
        """Ignore removed entries."""


class UnloadedCoordinator:
    """Coordinates nothing, as a daemon that owns no domain.

    A daemon takes no role before it has registered and heard the others, so that no
    domain waits for the coordinator to be loaded.

    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    """

    isolated_until = 0.0

    def __init__(self, settings):
        self.settings = settings
        self.domains = _UnobservedDomains()

    def investigate(self, target, epoch):
        """Investigate no suspect, since no domain is owned."""


class UnloadedSpeedExchange:
    """Stands in the place of the exchange of speeds until that is loaded."""

    def handle_message(self, message):
        """Ignore a report; reports are repeated."""
