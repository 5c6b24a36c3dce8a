"""Messages between emulated daemons: late, lost, and cut off."""

import asyncio

__all__ = ["MessageNetwork"]


class _Peers:
    """Meets :class:`~cowslipcourse.quarantining.QuarantinePeers`."""

    def __init__(self, network, name):
        self._network = network
        self.address = name

    def alive_addresses(self):
        """Return the names of the other daemons that it hears."""
        return self._network.heard_by(self.address)

    def all_addresses(self):
        """Return the names of all other daemons."""
        return [name for name in self._network.names if name != self.address]

    def repeat_addresses(self):
        """Return all others if it is the first that it knows of."""
        others = self.all_addresses()
        is_first = all(self.address < name for name in self.alive_addresses())
        return others if is_first else []

    def send(self, message, addresses):
        """Send a message."""
        for address in addresses:
            if address != self.address:
                self._network.send(message, self.address, address)


class MessageNetwork:
    """Brings messages to daemons' quarantines.

    :param settings: :class:`~cowslipcourse.emulator.site_file.SiteSettings`
    :param rng: :class:`random.Random`
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._quarantines = {}
        self._running = {}
        self._cut_until = {}
        self.sent = 0

    @property
    def names(self):
        """Names of all daemons."""
        return list(self._quarantines)

    def peers_of(self, name):
        """Return how a daemon reaches the others."""
        return _Peers(self, name)

    def attach(self, name, quarantine):
        """Run a daemon's quarantine from now on, in place of an earlier one."""
        if name in self._running:
            self._running[name].cancel()
        self._quarantines[name] = quarantine
        self._running[name] = asyncio.create_task(quarantine.run())

    def cut(self, name, for_s):
        """Cut a daemon off for a time."""
        self._cut_until[name] = asyncio.get_running_loop().time() + for_s

    def _is_cut(self, name):
        until = self._cut_until.get(name, float("-inf"))
        return asyncio.get_running_loop().time() < until

    def heard_by(self, name):
        """Return the names of the daemons that one hears."""
        if self._is_cut(name):
            return []
        return [each for each in self.names if each != name and not self._is_cut(each)]

    def send(self, message, sender, receiver):
        """Bring a message to its receiver, or lose it."""
        self.sent += 1
        if self._is_cut(sender) or self._rng.random() < self._settings.message_loss:
            return
        late_s = self._rng.uniform(0, self._settings.message_late_s)
        loop = asyncio.get_running_loop()
        loop.call_later(late_s, self._deliver, message, receiver)

    def _deliver(self, message, receiver):
        if not self._is_cut(receiver):
            self._quarantines[receiver].handle_message(message)

    def stop(self):
        """End all quarantines."""
        for running in self._running.values():
            running.cancel()
