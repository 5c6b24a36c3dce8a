"""What stands in the place of late components until they are loaded."""

from typing import Protocol

__all__ = ["AlwaysReachable", "Reachability", "UnloadedCoordinator"]


class Reachability(Protocol):
    """Whether this daemon reaches targets over its own links."""

    @property
    def is_reachable(self) -> bool:
        """Whether it reaches targets, as far as it knows."""

    def doubt(self) -> None:
        """Check the links soon, after a connection to a target has failed."""


class AlwaysReachable:
    """Implements :class:`Reachability` as long as nothing checks the links."""

    is_reachable = True

    def doubt(self):
        """Ignore the doubt."""


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
