"""Emulated messages between daemons, with delay, loss and isolation."""

import asyncio

from cowslipcourse.peer_protocol import LimitUpdate, PermitRequest, PermitResponse

__all__ = ["MessageNetwork"]


DATA_CENTRE = "dc"
"""Data centre of all daemons, as far as messages are concerned."""


class _EmulatedPeers:
    """Implements :class:`~cowslipcourse.quarantine_runtime.QuarantinePeers` and
    :class:`~cowslipcourse.rate_limit_runtime.LimiterPeers`.
    """

    def __init__(self, network, name):
        self._network = network
        self.address = name

    def alive_addresses(self):
        """Return the names of the other daemons that can be reached."""
        return self._network.reachable_names(self.address)

    def ready_addresses(self):
        """Return the names of the daemons that can be reached, and its own."""
        return {DATA_CENTRE: frozenset((self.address, *self.alive_addresses()))}

    def is_isolated(self):
        """Whether it reaches fewer than half of the daemons."""
        return 2 * (len(self.alive_addresses()) + 1) < len(self._network.names)

    def all_addresses(self):
        """Return the names of all other daemons."""
        return [name for name in self._network.names if name != self.address]

    def repeat_addresses(self):
        """Return all others if this name sorts before those of reachable daemons."""
        others = self.all_addresses()
        is_first = all(self.address < name for name in self.alive_addresses())
        return others if is_first else []

    def shared_repeat_addresses(self):
        """Return the same, as there is one data centre."""
        return self.repeat_addresses()

    def send(self, message, addresses):
        """Send a message to other daemons."""
        for address in addresses:
            if address != self.address:
                self._network.send(message, self.address, address)

    def broadcast(self, message):
        """Send a message to all other daemons."""
        self.send(message, self.all_addresses())


class MessageNetwork:
    """Delivers messages to the quarantines and rate limiters of daemons.

    :param settings: :class:`~cowslipcourse.emulator.site_file.SiteSettings`
    :param rng: :class:`random.Random`
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._quarantines = {}
        self._rate_limiters = {}
        self._tasks = {}
        self._isolated_until = {}
        self.sent_count = 0

    @property
    def names(self):
        """Names of all daemons."""
        return list(self._quarantines)

    def peers_of(self, name):
        """Return the messaging interface of a daemon."""
        return _EmulatedPeers(self, name)

    def attach(self, name, quarantine, rate_limiter=None):
        """Run a daemon's quarantine and rate limiter, in place of earlier ones."""
        for task in self._tasks.get(name, ()):
            task.cancel()
        self._quarantines[name] = quarantine
        self._rate_limiters[name] = rate_limiter
        self._tasks[name] = [
            asyncio.create_task(component.run())
            for component in (quarantine, rate_limiter)
            if component is not None
        ]

    def isolate(self, name, duration_s):
        """Isolate a daemon for ``duration_s`` seconds."""
        self._isolated_until[name] = asyncio.get_running_loop().time() + duration_s

    def _is_isolated(self, name):
        isolated_until = self._isolated_until.get(name, float("-inf"))
        return asyncio.get_running_loop().time() < isolated_until

    def reachable_names(self, name):
        """Return the names of the daemons that a daemon can reach."""
        if self._is_isolated(name):
            return []
        return [
            other
            for other in self.names
            if other != name and not self._is_isolated(other)
        ]

    def send(self, message, sender, receiver):
        """Deliver a message to its receiver after a delay, or lose it."""
        self.sent_count += 1
        if (
            self._is_isolated(sender)
            or self._rng.random() < self._settings.message_loss
        ):
            return
        delay_s = self._rng.uniform(0, self._settings.message_late_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, message, receiver)

    def _deliver(self, message, receiver):
        if self._is_isolated(receiver):
            return
        if isinstance(message, LimitUpdate | PermitRequest | PermitResponse):
            self._rate_limiters[receiver].handle_message(message)
        else:
            self._quarantines[receiver].handle_message(message)

    def stop(self):
        """Cancel the tasks of all daemons."""
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()
