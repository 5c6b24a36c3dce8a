"""Peers of a rate limiter that record its messages and never answer."""

__all__ = ["RecordingPeers"]


class RecordingPeers:
    """Implements :class:`~cowslipcourse.rate_limit_runtime.LimiterPeers`.

    :param address: address of the daemon.
    :param others: addresses of the other daemons, all of the same data centre.
    """

    def __init__(self, address="10.0.0.1:1", others=()):
        self.address = address
        self.others = list(others)
        self.sent = []
        self.isolated = False

    def ready_addresses(self):
        """Return this daemon and all others."""
        return {"x": frozenset((self.address, *self.others))}

    def is_isolated(self):
        """Return what the test has set."""
        return self.isolated

    def all_addresses(self):
        """Return all others."""
        return self.others

    def repeat_addresses(self):
        """Return all others."""
        return self.others

    def send(self, message, addresses):
        """Record a message with its receivers."""
        self.sent.append((message, tuple(addresses)))
