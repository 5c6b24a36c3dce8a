"""Spreads the set of evacuated data centres between daemons.

Only reporters follow the store in a large data centre, and some daemons cannot reach
it. The set is therefore sent on as soon as it changes, and repeated for those that
missed it.
"""

import asyncio

__all__ = ["EvacuationExchange"]

REPEAT_INTERVAL_S = 1.0
RESEND_DELAY_S = 0.3
"""Delay after which a changed set is sent once more: a datagram may be lost."""
FANOUT = 4
"""Daemons to which one that is no reporter passes a changed set on: enough to reach all
within a few steps where no reporter does."""


class EvacuationExchange:
    """Sends the known set to other daemons, and applies theirs.

    Nothing is sent before the operators have asked for the first evacuation.

    :param evacuations: :class:`~cowslipcourse.entry.evacuations.Evacuations`
    :param peers: has ``repeat_addresses()``, ``local_addresses()``,
        ``all_addresses()`` and ``send(message, addresses)``.
    :param rng: :class:`random.Random` that chooses receivers.
    """

    def __init__(self, evacuations, peers, rng):
        self._evacuations = evacuations
        self._peers = peers
        self._rng = rng
        self._is_spread = False
        evacuations.set_listener(self._on_change)

    async def run(self):
        """Repeat the set until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            if self._is_spread:
                self._send(self._repeat_receivers())

    def handle_message(self, message):
        """Apply a set that another daemon has sent.

        A daemon that has read an older set may have missed that others no longer send
        a newer one, so that this daemon sends its own from now on.

        :param message: :class:`~cowslipcourse.peer_protocol.EvacuatedSet`
        """
        self._is_spread = True
        self._evacuations.learn_message(message)

    def greet(self, address):
        """Send the set to a daemon that has just started."""
        if self._is_spread:
            self._send([address])

    def _on_change(self, source):
        self._is_spread = True
        addresses = self._receivers(source)
        self._send(addresses)
        loop = asyncio.get_running_loop()
        loop.call_later(RESEND_DELAY_S, self._send, addresses)

    def _repeat_receivers(self):
        repeated = self._peers.repeat_addresses()
        return repeated or self._some(self._peers.local_addresses(), 1)

    def _receivers(self, source):
        repeated = self._peers.repeat_addresses()
        if repeated:
            return repeated
        # Where no reporter reads the store, nobody else may tell other data centres.
        is_first = source == "store"
        known = (
            self._peers.all_addresses() if is_first else self._peers.local_addresses()
        )
        return self._some(known, FANOUT)

    def _some(self, addresses, count):
        return self._rng.sample(addresses, min(count, len(addresses)))

    def _send(self, addresses):
        if self._evacuations.version:
            self._peers.send(self._evacuations.message(), addresses)
