"""Parts of a daemon that tests of its forwarding share."""

import itertools

from cowslipcourse.entry.settings import EntrySettings

__all__ = ["InOrder", "daemon_settings"]

UNUSED_ADDRESS = "127.0.0.1:1"


class InOrder:
    """Draws increasing numbers, so that targets are chosen in the order of the list."""

    def __init__(self):
        self._numbers = itertools.count()

    def random(self):
        """Return the next number."""
        return next(self._numbers)

    def sample(self, population, count):
        """Return the first items."""
        return population[:count]


def daemon_settings():
    """Return the :class:`~cowslipcourse.entry.settings.EntrySettings` of a daemon."""
    listen = dict.fromkeys(("front", "directory", "ready", "peer"), UNUSED_ADDRESS)
    return EntrySettings(
        name="a", data_centre="x", listen=listen, store={"address": UNUSED_ADDRESS}
    )
