"""Sum of the requests that other daemons have in flight at targets."""

__all__ = ["PeerLoad"]


class PeerLoad:
    """Requests in flight by target id, summed over senders.

    A message replaces the counts of its sender, so applying it costs time proportional
    to that message and not to all counts.
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
        """Senders whose counts are included."""
        return self._by_sender.keys()

    def replace(self, sender, in_flight):
        """Replace the counts of a sender."""
        self.drop(sender)
        self._by_sender[sender] = in_flight
        for target, count in in_flight.items():
            self._total[target] = self._total.get(target, 0) + count

    def drop(self, sender):
        """Remove the counts of a sender."""
        for target, count in self._by_sender.pop(sender, {}).items():
            remaining_count = self._total[target] - count
            if remaining_count:
                self._total[target] = remaining_count
            else:
                del self._total[target]

    def retain(self, senders):
        """Remove the counts of all senders except the given ones."""
        for sender in list(self._by_sender):
            if sender not in senders:
                self.drop(sender)
