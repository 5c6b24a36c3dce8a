"""The sum of what other daemons have in flight at targets."""

__all__ = ["PeerLoad"]


class PeerLoad:
    """Requests in flight by target id, summed over senders.

    A message replaces what its sender told before, so taking it in costs what it says
    and not what all have said.
    """

    def __init__(self):
        self._by_sender = {}
        self._total = {}

    @property
    def total(self):
        """Requests in flight by target id."""
        return self._total

    @property
    def senders(self):
        """Who has told something."""
        return self._by_sender.keys()

    def replace(self, sender, in_flight):
        """Take what a sender has in flight, in place of what it told before."""
        self.drop(sender)
        self._by_sender[sender] = in_flight
        for target, number in in_flight.items():
            self._total[target] = self._total.get(target, 0) + number

    def drop(self, sender):
        """Forget what a sender told."""
        for target, number in self._by_sender.pop(sender, {}).items():
            left = self._total[target] - number
            if left:
                self._total[target] = left
            else:
                del self._total[target]

    def retain(self, senders):
        """Forget all senders but those."""
        for sender in list(self._by_sender):
            if sender not in senders:
                self.drop(sender)
