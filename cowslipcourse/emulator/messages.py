"""Emulated messages between daemons, with delay, loss and isolation."""

import asyncio

__all__ = ["MessageNetwork"]


class _EmulatedPeers:
    """Implements :class:`~cowslipcourse.quarantine_runtime.QuarantinePeers`."""

    def __init__(self, network, name):
        self._network = network
        self.address = name

    def alive_addresses(self):
        """Return the names of the other daemons that can be reached."""
        return self._network.reachable_names(self.address)

    def all_addresses(self):
        """Return the names of all other daemons."""
        return [name for name in self._network.names if name != self.address]

    def repeat_addresses(self):
        """Return all others if this name sorts before those of reachable daemons."""
        others = self.all_addresses()
        is_first = all(self.address < name for name in self.alive_addresses())
        return others if is_first else []

    def send(self, message, addresses):
        """Send a message to other daemons."""
        for address in addresses:
            if address != self.address:
                self._network.send(message, self.address, address)


class MessageNetwork:
    """Delivers messages to the quarantines of daemons.

    :param settings: :class:`~cowslipcourse.emulator.site_file.SiteSettings`
    :param rng: :class:`random.Random`
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._quarantines = {}
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

    def attach(self, name, quarantine):
        """Run a daemon's quarantine, in place of an earlier one."""
        if name in self._tasks:
            self._tasks[name].cancel()
        self._quarantines[name] = quarantine
        self._tasks[name] = asyncio.create_task(quarantine.run())

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
        if not self._is_isolated(receiver):
            self._quarantines[receiver].handle_message(message)

    def stop(self):
        """Cancel the tasks of all quarantines."""
        for task in self._tasks.values():
            task.cancel()
